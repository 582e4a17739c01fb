//! The state of the connection model: the pool of connections, the engine's side of each connection, and the attempts.

use super::scenario::ConnectionScenario;
use crate::search::START_TIME;
use crate::wire::{Peer, ready_endpoint};
use emberflow::{AttemptOutcome, EngineId};
use emberflow_router::context::Context;
use emberflow_router::discovery::EndpointRecord;
use emberflow_router::engine_pool::EnginePool;
use emberflow_router::slots::Slot;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1000);
/// The port of the first engine and of its replacement.
const ENGINE_PORT: u16 = 9;
/// Time after the end of an attempt within which its call may still arrive at the engine.
const ABANDONED_CALL_LIMIT: Duration = Duration::from_millis(100);
/// The id of the engine that is listed at the start.
pub const FIRST_ENGINE: u32 = 7;
/// The id of the engine that may replace the first one at its address.
pub const REPLACEMENT: u32 = 8;

/// The possible cause of the end of an attempt.
#[derive(Clone, Copy, PartialEq)]
pub enum Cause {
    /// A cause that is not attributed to an attempt; every attempt may end.
    Unspecified,
    /// A well-formed answer to this attempt; no other attempt may end.
    AnswerTo(usize),
    /// A well-formed message that answers no attempt; no attempt may end.
    AnswerToNone,
}

/// An observable action of the pool, the passing of time, or the end of a run.
pub enum Event {
    /// The pool reports the end of an attempt. `body` is the result; `None` if the attempt has not succeeded.
    AttemptEnds { attempt: usize, outcome: AttemptOutcome, body: Option<Vec<u8>>, cause: Cause },
    /// A call has arrived completely at the engine.
    CallArrives { attempt: usize },
    /// The pool writes the first bytes of a call.
    CallBegins,
    /// The pool has read an engine's message, and holds this number of bytes of results.
    RepliesRead { bytes_held: usize },
    /// The clock advances to `to`.
    TimePasses { to: Duration },
    /// The run ends, because no transition is enabled.
    Terminal,
}

/// The engine's side of a connection.
#[derive(Clone, Default, Hash)]
pub struct EngineSide {
    /// The receiving side of the connection, with the bytes that the pool has written.
    pub peer: Peer,
    /// The indices of the attempts whose calls have arrived completely on this connection.
    pub received_calls: Vec<usize>,
    /// The indices of the attempts whose second page was requested and not sent yet.
    pub requested_pages: Vec<usize>,
    /// The second half of an answer whose first half was sent; empty if there is none.
    pub unsent_half: Vec<u8>,
    /// Whether the engine has sent malformed bytes, after which it can send nothing else.
    pub is_corrupted: bool,
}

impl EngineSide {
    /// Returns the side of a new connection that accepts `capacity` bytes before it blocks; `None` for no limit.
    pub fn with_capacity(capacity: Option<usize>) -> Self {
        Self { peer: Peer::with_capacity(capacity), ..Self::default() }
    }
}

/// An attempt, as known to its caller and to the engine.
#[derive(Clone)]
pub struct AttemptRecord {
    /// Index of the request.
    pub request: usize,
    /// The number of the attempt within its request, from 0.
    pub number: usize,
    /// The pool's handle of the attempt.
    pub slot: Slot,
    /// The time at which the attempt times out.
    pub deadline: Duration,
    /// The time from which the call must not be written; `None` for no limit.
    pub key_window_end: Option<Duration>,
    /// The outcome that the pool has reported; `None` while the attempt is in flight.
    pub outcome: Option<AttemptOutcome>,
    /// The time at which the pool has reported the outcome.
    pub ended_at: Option<Duration>,
    /// Number of complete arrivals of the call at an engine.
    pub arrivals: u8,
    /// Number of pages of the engine's answer, 0 for an answer without a result; `None` before an answer.
    pub pages: Option<usize>,
    /// Whether the engine has sent a progress update.
    pub has_progress_update: bool,
}

/// A connection on which the answer to an abandoned attempt may still arrive.
#[derive(Clone)]
pub struct LateAnswer {
    /// Index of the request of the attempt.
    pub request: usize,
    /// The connection on which the call was sent. No further attempt of the request may use it.
    pub connection: Slot,
}

/// The pool and its environment.
#[derive(Clone)]
pub struct ConnectionState {
    /// The current time; a run begins at [`START_TIME`].
    pub now: Duration,
    /// The clock and the timers of the pool.
    pub context: Context,
    /// The system under test.
    pub engines: EnginePool,
    /// The engine to which calls are sent: the first one or its replacement.
    pub engine: EngineId,
    /// Whether the endpoint list reports the engine as ready.
    pub engine_is_ready: bool,
    /// The engine's side of each connection.
    pub engine_sides: BTreeMap<Slot, EngineSide>,
    /// All attempts, in the order in which they were sent.
    pub attempts: Vec<AttemptRecord>,
    /// The answers to abandoned attempts that may still arrive.
    pub late_answers: Vec<LateAnswer>,
    /// Number of faults of the engine: split answers, protocol violations and resets.
    pub faults: u8,
    /// Whether the endpoint list has reported its one change of the run.
    pub endpoint_has_changed: bool,
    /// The name of the first violated invariant; `None` if all hold.
    pub violated_invariant: Option<&'static str>,
}

/// Returns the row of the endpoint list for the engine with this id, as ready.
pub fn endpoint_record(id: u32) -> EndpointRecord {
    ready_endpoint(id, ENGINE_PORT)
}

/// Returns the statement of an attempt, by which the scripted engine identifies the call.
pub fn statement(request: usize, number: usize) -> String {
    format!("request {request} attempt {number}")
}

/// Returns the rows of one page of the result of an attempt, which differ for each request, attempt and page.
pub fn page(request: usize, number: usize, page: usize) -> String {
    format!("request {request}\tattempt {number}\tpage {page}\n")
}

impl ConnectionState {
    /// Returns the initial state, in which the engine has been listed.
    pub fn new(scenario: &ConnectionScenario) -> Self {
        let mut context = Context { now: START_TIME, ..Context::default() };
        let mut engines = EnginePool::new(
            scenario.max_calls_per_connection,
            CONNECT_TIMEOUT,
            IDLE_TIMEOUT,
            scenario.max_connections,
        );
        let engine = engines.update_endpoint(&endpoint_record(FIRST_ENGINE), &mut context).engine;
        Self {
            now: START_TIME,
            context,
            engines,
            engine,
            engine_is_ready: true,
            engine_sides: BTreeMap::new(),
            attempts: Vec::new(),
            late_answers: Vec::new(),
            faults: 0,
            endpoint_has_changed: false,
            violated_invariant: None,
        }
    }

    /// Whether an engine must not get the call of an attempt any more: the key window of the attempt has ended, or the
    /// attempt ended longer ago than the rest of a partly written call may take.
    pub fn is_call_overdue(&self, attempt: &AttemptRecord) -> bool {
        let is_after_key_window = attempt.key_window_end.is_some_and(|end| self.now >= end);
        let is_after_end = attempt.ended_at.is_some_and(|at| self.now > at + ABANDONED_CALL_LIMIT);
        is_after_key_window || is_after_end
    }

    /// Returns events that a faulty pool could emit in this state, to find the invariants that the state exercises.
    pub fn hypothetical_events(&self) -> Vec<Event> {
        let mut events =
            vec![Event::CallBegins, Event::Terminal, Event::RepliesRead { bytes_held: usize::MAX }];
        for attempt in 0..self.attempts.len() {
            let ends = |outcome, body: Option<&str>, cause| {
                let body = body.map(|body| body.as_bytes().to_vec());
                Event::AttemptEnds { attempt, outcome, body, cause }
            };
            events.push(ends(AttemptOutcome::Failed, None, Cause::Unspecified));
            events.push(ends(AttemptOutcome::NotSent, None, Cause::Unspecified));
            events.push(Event::CallArrives { attempt });
            events.push(ends(AttemptOutcome::Succeeded, Some("wrong"), Cause::Unspecified));
            let received_calls = self.engine_sides.values().flat_map(|side| &side.received_calls);
            events.extend(
                received_calls.map(|other| ends(AttemptOutcome::Failed, None, Cause::AnswerTo(*other))),
            );
        }
        events
    }

    /// Returns a hash of everything that influences later transitions and violations.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.engines.fingerprint(self.now, &mut hasher);
        for side in self.engine_sides.values() {
            side.hash(&mut hasher);
        }
        // Hashes positions in place of slots, so that states that differ only in their slots are equal.
        let position_of: BTreeMap<Slot, usize> = self.engine_sides.keys().copied().zip(0..).collect();
        for attempt in &self.attempts {
            let connection = self.engines.connection_of(attempt.slot);
            let connection = connection.and_then(|connection| position_of.get(&connection));
            let is_in_flight = attempt.outcome.is_none();
            let time_left = is_in_flight.then(|| attempt.deadline.saturating_sub(self.now));
            (attempt.request, time_left, attempt.outcome, attempt.arrivals).hash(&mut hasher);
            (attempt.pages, attempt.has_progress_update, connection).hash(&mut hasher);
            // Only a call that has not arrived can become overdue.
            let is_overdue = attempt.arrivals == 0 && self.is_call_overdue(attempt);
            let is_expected = attempt.arrivals == 0 && !is_overdue;
            let key_window_left = attempt.key_window_end.map(|end| end.saturating_sub(self.now));
            let time_since_end = attempt.ended_at.map(|at| self.now - at);
            (is_overdue, is_expected.then_some((key_window_left, time_since_end))).hash(&mut hasher);
        }
        for answer in &self.late_answers {
            (answer.request, position_of.get(&answer.connection)).hash(&mut hasher);
        }
        (self.engine_is_ready, self.faults, self.endpoint_has_changed).hash(&mut hasher);
        self.violated_invariant.hash(&mut hasher);
        hasher.finish()
    }
}
