//! The state of the connection model: the pool of connections, the engine's ends of them, and the attempts.

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

/// How long a connection may take to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// After how long an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1000);
/// The port of the engine.
const ENGINE_PORT: u16 = 9;
/// The id of the engine that is listed at first.
pub const FIRST_ENGINE: u32 = 7;
/// The id of the engine that may replace it.
pub const REPLACEMENT: u32 = 8;

/// What the end of an attempt may be due to.
#[derive(Clone, Copy, PartialEq)]
pub enum Cause {
    /// Anything; every attempt may end.
    Unspecified,
    /// A well-formed answer to this attempt; no other may end.
    AnswerTo(usize),
    /// A well-formed message that answers no attempt; none may end.
    AnswerToNone,
}

/// What the pool does, as its environment observes it, and two things that happen around it.
pub enum Event {
    /// An attempt ends.
    AttemptEnds { attempt: usize, outcome: AttemptOutcome, body: Option<Vec<u8>>, cause: Cause },
    /// A call has arrived at the engine completely.
    CallArrives { attempt: usize },
    /// The first bytes of a call are written.
    CallBegins,
    /// Time passes until then.
    TimePasses { to: Duration },
    /// No transition is enabled any more.
    Terminal,
}

/// The engine's end of a connection.
#[derive(Clone, Default, Hash)]
pub struct EngineEnd {
    /// What the pool has written.
    pub peer: Peer,
    /// The attempts whose calls arrived completely.
    pub received_calls: Vec<usize>,
    /// The attempts of whose results another page was requested.
    pub requested_pages: Vec<usize>,
    /// The rest of an answer that was sent in part.
    pub unsent_rest: Vec<u8>,
    /// Whether it has sent malformed bytes, which nothing can follow.
    pub is_corrupted: bool,
}

impl EngineEnd {
    /// The end of a new connection that takes so many bytes before it blocks; `None` for any number.
    pub fn with_capacity(capacity: Option<usize>) -> Self {
        Self { peer: Peer::with_capacity(capacity), ..Self::default() }
    }
}

/// An attempt as its caller and the engine know it.
#[derive(Clone)]
pub struct AttemptRecord {
    /// The request.
    pub request: usize,
    /// The number of the attempt of that request.
    pub number: usize,
    /// The pool's handle.
    pub slot: Slot,
    /// When it times out.
    pub until: Duration,
    /// How it ended, as far as the pool has reported that.
    pub outcome: Option<AttemptOutcome>,
    /// How often its call arrived at an engine completely.
    pub arrivals: u8,
    /// How many pages the engine's answer has; `None` where it has not answered.
    pub pages: Option<usize>,
    /// Whether the engine has sent a progress note.
    pub has_note: bool,
}

/// A connection on which the answer to an abandoned attempt may still come.
#[derive(Clone)]
pub struct OwedAnswer {
    /// The request of the attempt.
    pub request: usize,
    /// The connection.
    pub connection: Slot,
}

/// The pool and its environment.
#[derive(Clone)]
pub struct ConnectionState {
    /// The clock.
    pub now: Duration,
    /// The clock and timers that the pool uses.
    pub context: Context,
    /// The system under test.
    pub engines: EnginePool,
    /// The engine to which calls go.
    pub engine: EngineId,
    /// Whether the endpoint list reports it ready.
    pub engine_is_ready: bool,
    /// The engine's ends of the connections.
    pub engine_ends: BTreeMap<Slot, EngineEnd>,
    /// All attempts, in the order in which they were sent.
    pub attempts: Vec<AttemptRecord>,
    /// Answers to abandoned attempts that may still come.
    pub owed_answers: Vec<OwedAnswer>,
    /// How often the engine has broken the protocol or reset a connection.
    pub faults: u8,
    /// Whether the endpoint list has changed.
    pub endpoint_has_changed: bool,
    /// The first invariant that was violated.
    pub violated: Option<&'static str>,
}

/// The endpoint list's row of an engine that is ready.
pub fn endpoint_row(id: u32) -> EndpointRecord {
    ready_endpoint(id, ENGINE_PORT)
}

/// One page of the result of an attempt.
pub fn page(request: usize, number: usize, page: usize) -> String {
    format!("request {request}\tattempt {number}\tpage {page}\n")
}

impl ConnectionState {
    /// The state in which the engine has been listed.
    pub fn new(scenario: &ConnectionScenario) -> Self {
        let mut context = Context { now: START_TIME, ..Context::default() };
        let mut engines =
            EnginePool::new(scenario.streams, CONNECT_TIMEOUT, IDLE_TIMEOUT, scenario.max_connections);
        let engine = engines.update_endpoint(&endpoint_row(FIRST_ENGINE), &mut context).engine;
        Self {
            now: START_TIME,
            context,
            engines,
            engine,
            engine_is_ready: true,
            engine_ends: BTreeMap::new(),
            attempts: Vec::new(),
            owed_answers: Vec::new(),
            faults: 0,
            endpoint_has_changed: false,
            violated: None,
        }
    }

    /// Events that a faulty pool could emit in this state.
    pub fn hypothetical_events(&self) -> Vec<Event> {
        let mut events = vec![Event::CallBegins, Event::Terminal];
        for attempt in 0..self.attempts.len() {
            let ends = |outcome, body: Option<&str>, cause| {
                let body = body.map(|body| body.as_bytes().to_vec());
                Event::AttemptEnds { attempt, outcome, body, cause }
            };
            events.push(ends(AttemptOutcome::Failed, None, Cause::Unspecified));
            events.push(ends(AttemptOutcome::NotSent, None, Cause::Unspecified));
            events.push(Event::CallArrives { attempt });
            events.push(ends(AttemptOutcome::Succeeded, Some("wrong"), Cause::Unspecified));
            let received_calls = self.engine_ends.values().flat_map(|end| &end.received_calls);
            events.extend(
                received_calls.map(|other| ends(AttemptOutcome::Failed, None, Cause::AnswerTo(*other))),
            );
        }
        events
    }

    /// Equal for states with equal futures.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.engines.fingerprint(self.now, &mut hasher);
        for end in self.engine_ends.values() {
            end.hash(&mut hasher);
        }
        let position_of: BTreeMap<Slot, usize> = self.engine_ends.keys().copied().zip(0..).collect();
        for attempt in &self.attempts {
            let connection = self.engines.connection_of(attempt.slot);
            let connection = connection.and_then(|connection| position_of.get(&connection));
            let time_left = attempt.until.saturating_sub(self.now);
            let time_left = attempt.outcome.is_none().then_some(time_left);
            let outcome = attempt.outcome.map(|outcome| outcome as u8);
            (attempt.request, time_left, outcome, attempt.arrivals).hash(&mut hasher);
            (attempt.pages, attempt.has_note, connection).hash(&mut hasher);
        }
        for owed in &self.owed_answers {
            (owed.request, position_of.get(&owed.connection)).hash(&mut hasher);
        }
        (self.engine_is_ready, self.faults, self.endpoint_has_changed).hash(&mut hasher);
        self.violated.hash(&mut hasher);
        hasher.finish()
    }
}
