//! Carries out transitions of the connection model, and observes what the pool and the engine do.

use super::scenario::{ConnectionScenario, EndpointChange, EngineMessage};
use super::state::{
    AttemptRecord, Cause, ConnectionState, EngineEnd, Event, FIRST_ENGINE, OwedAnswer, REPLACEMENT,
    endpoint_row, page,
};
use super::transition::Transition;
use crate::invariants::first_violated;
use crate::wire::{ScriptedInput, engine_answer, open_and_close, pong, request_id, take_commands};
use emberflow::{AttemptOutcome, Lifecycle, RequestId};
use emberflow_router::discovery::EndpointRecord;
use emberflow_router::engine_pool::{Call, PoolEvent, Reachability};
use emberflow_router::slots::Slot;
use emberflow_router::timers::Timer;
use std::time::Duration;

/// After how long an attempt times out.
const CALL_DEADLINE: Duration = Duration::from_millis(350);
/// How much later than now a restarted engine says that it was started.
const RESTART_DELAY: Duration = Duration::from_millis(1);
/// The verb with which a call begins.
const CALL_VERB: &[u8] = b"GET";

/// The state that a transition leads to.
pub fn apply(
    scenario: &ConnectionScenario,
    state: &ConnectionState,
    transition: Transition,
) -> ConnectionState {
    let mut run = Run { scenario, state: state.clone(), cause: cause_of(transition) };
    run.make(transition);
    run.run_until_quiet();
    run.state
}

/// The cause of every attempt that ends in a transition: a well-formed message is bound to one attempt or to none.
/// Malformed bytes may end any attempt, and the second half of an answer is not attributed to one.
fn cause_of(transition: Transition) -> Cause {
    match transition {
        Transition::EngineSends { message: EngineMessage::Malformed | EngineMessage::SecondHalf, .. } => {
            Cause::Unspecified
        }
        Transition::EngineSends { attempt, .. } => attempt.map_or(Cause::AnswerToNone, Cause::AnswerTo),
        _ => Cause::Unspecified,
    }
}

/// The statement of an attempt, by which the engine in the model recognises its call.
fn statement(request: usize, number: usize) -> String {
    format!("request {request} attempt {number}")
}

/// A transition that is being carried out.
struct Run<'a> {
    scenario: &'a ConnectionScenario,
    state: ConnectionState,
    cause: Cause,
}

impl Run<'_> {
    fn make(&mut self, transition: Transition) {
        let state = &mut self.state;
        match transition {
            Transition::SendCall { request } => self.send_call(request),
            Transition::Connect { connection } => {
                state.engine_ends.entry(connection).and_modify(|end| end.peer.is_connected = true);
                state.engines.connection_established(connection, &mut state.context);
            }
            Transition::Refuse { connection } => {
                state.engines.dial_failed(
                    connection,
                    Reachability::Unreachable,
                    "refused",
                    &mut state.context,
                );
            }
            Transition::EngineSends { connection, attempt, message } => {
                self.engine_sends(connection, attempt, message);
            }
            Transition::ResetConnection { connection } => {
                state.faults += 1;
                state.engines.read(connection, &mut ScriptedInput::reset(), &mut state.context);
            }
            Transition::Unblock { connection } => {
                state.engine_ends.entry(connection).and_modify(|end| end.peer.capacity = None);
                self.drain_to_engine(connection);
            }
            Transition::Cancel { attempt } => {
                state.engines.cancel(state.attempts[attempt].slot, &mut state.context);
            }
            Transition::ChangeEndpoint { change } => self.change_endpoint(change),
            Transition::PassTime => self.pass_time(),
        }
    }

    /// Checks an event before it changes the state.
    fn check(&mut self, event: &Event) {
        let violated = self.state.violated.or_else(|| first_violated(self.scenario, &self.state, event));
        self.state.violated = violated;
    }

    fn send_call(&mut self, request: usize) {
        let state = &mut self.state;
        let number = state.attempts.iter().filter(|attempt| attempt.request == request).count();
        let (id, statement) = (request_id(request as u64), statement(request, number));
        let deadline = state.now + CALL_DEADLINE;
        let call = Call {
            request: RequestId::from_index(request),
            number,
            id: &id,
            class: "lookup",
            idempotency_key: None,
            statement: statement.as_bytes(),
            grant_mb: 0.0,
            priority: 1,
            deadline,
        };
        let owed = state.owed_answers.iter().filter(|owed| owed.request == request);
        let owing: Vec<Slot> = owed.map(|owed| owed.connection).collect();
        let slot = state.engines.send(state.engine, call, &owing, &mut state.context);
        state.attempts.push(AttemptRecord {
            request,
            number,
            slot,
            until: deadline,
            outcome: None,
            arrivals: 0,
            pages: None,
            has_note: false,
        });
    }

    fn engine_sends(&mut self, connection: Slot, attempt: Option<usize>, message: EngineMessage) {
        let is_fault = matches!(
            message,
            EngineMessage::FirstHalf
                | EngineMessage::RepeatedResult
                | EngineMessage::UnknownId
                | EngineMessage::Malformed
        );
        let state = &mut self.state;
        state.faults += u8::from(is_fault);
        let Some(end) = state.engine_ends.get_mut(&connection) else { return };
        let bytes = match attempt {
            Some(attempt) => answer_bytes(end, attempt, &state.attempts[attempt], message),
            None => other_message_bytes(end, message),
        };
        if let Some(attempt) = attempt {
            record_answer(&mut state.attempts[attempt], message);
        }
        state.engines.read(connection, &mut ScriptedInput::bytes(bytes), &mut state.context);
    }

    fn change_endpoint(&mut self, change: EndpointChange) {
        let state = &mut self.state;
        state.endpoint_has_changed = true;
        let restarted_ms = (state.now + RESTART_DELAY).as_millis() as u64;
        let first = endpoint_row(FIRST_ENGINE);
        let row = match change {
            EndpointChange::Drains => EndpointRecord { lifecycle: Lifecycle::Draining, ..first },
            EndpointChange::Restarts => EndpointRecord { up_since_ms: restarted_ms, ..first },
            EndpointChange::Removed | EndpointChange::Replaced => {
                EndpointRecord { lifecycle: Lifecycle::Removed, ..first }
            }
        };
        state.engine_is_ready = row.is_ready();
        state.engines.update_endpoint(&row, &mut state.context);
        if row.lifecycle == Lifecycle::Removed {
            state.engines.forget(state.engine, &mut state.context);
        }
        if change == EndpointChange::Replaced {
            let replacement = EndpointRecord { up_since_ms: restarted_ms, ..endpoint_row(REPLACEMENT) };
            state.engine = state.engines.update_endpoint(&replacement, &mut state.context).engine;
            state.engine_is_ready = true;
        }
    }

    fn pass_time(&mut self) {
        let now = self.state.now;
        let to = self.state.context.timers.first().map_or(now, |at| at.max(now));
        self.check(&Event::TimePasses { to });
        let state = &mut self.state;
        state.now = to;
        state.context.now = to;
        while let Some(due) = state.context.timers.pop(to) {
            match due {
                Timer::Attempt(slot) => state.engines.attempt_overdue(slot, &mut state.context),
                Timer::Connection(slot) => state.engines.connection_check_due(slot, to, &mut state.context),
                Timer::AnswerComplete(slot) => state.engines.reply_overdue(slot, &mut state.context),
                Timer::ConnectionIdle(slot) => state.engines.connection_idle(slot, &mut state.context),
                _ => {}
            }
        }
    }

    /// Does what the pool asks for, and observes which attempts end, until it asks for nothing more.
    fn run_until_quiet(&mut self) {
        loop {
            let state = &mut self.state;
            let capacity = self.scenario.initial_capacity;
            let new_end = || EngineEnd::with_capacity(capacity);
            let mut is_active = open_and_close(&mut state.engines.commands, &mut state.engine_ends, new_end);
            for connection in std::mem::take(&mut state.engines.pending_writes) {
                is_active = true;
                self.drain_to_engine(connection);
            }
            while let Some(event) = self.state.engines.events.pop_front() {
                is_active = true;
                if let PoolEvent::Ended { ended, body, late_connection } = event {
                    let request = ended.request.index();
                    let owed = late_connection.map(|connection| OwedAnswer { request, connection });
                    self.state.owed_answers.extend(owed);
                    self.record_end(request, ended.attempt, ended.outcome, body);
                }
            }
            if !is_active {
                return;
            }
        }
    }

    fn record_end(&mut self, request: usize, number: usize, outcome: AttemptOutcome, body: Option<Vec<u8>>) {
        let is_meant = |attempt: &AttemptRecord| (attempt.request, attempt.number) == (request, number);
        let Some(attempt) = self.state.attempts.iter().position(is_meant) else {
            self.state.violated = self.state.violated.or(Some("one end"));
            return;
        };
        self.check(&Event::AttemptEnds { attempt, outcome, body, cause: self.cause });
        self.state.attempts[attempt].outcome = Some(outcome);
    }

    /// Lets the pool write to a connection as far as the engine takes it, and the engine read the complete commands.
    fn drain_to_engine(&mut self, connection: Slot) {
        let Some(end) = self.state.engine_ends.get_mut(&connection) else { return };
        let before = end.peer.inbox.len();
        self.state
            .engines
            .drain(connection, &mut end.peer, &mut self.state.context)
            .expect("a peer in memory only blocks");
        let written = &end.peer.inbox[before..];
        let begins_call = written.windows(CALL_VERB.len()).any(|window| window == CALL_VERB);
        let arrived = receive_commands(end, &self.state.attempts);
        if begins_call {
            self.check(&Event::CallBegins);
        }
        for attempt in arrived {
            self.check(&Event::CallArrives { attempt });
            self.state.attempts[attempt].arrivals += 1;
        }
    }
}

/// Lets an engine read the complete commands; the attempts whose calls arrived.
fn receive_commands(end: &mut EngineEnd, attempts: &[AttemptRecord]) -> Vec<usize> {
    let mut arrived = Vec::new();
    for command in take_commands(&mut end.peer.inbox) {
        let is_called =
            |attempt: &AttemptRecord| command.part(3) == statement(attempt.request, attempt.number);
        match command.part(0) {
            "GET" => {
                let Some(attempt) = attempts.iter().position(is_called) else { continue };
                end.received_calls.push(attempt);
                arrived.push(attempt);
            }
            "PING" => end.peer.pings += 1,
            "PAGE" => {
                let is_meant =
                    |attempt: &&usize| request_id(attempts[**attempt].request as u64) == command.part(1);
                let attempt = end.received_calls.iter().rfind(is_meant).copied();
                end.requested_pages.extend(attempt);
            }
            _ => {}
        }
    }
    arrived
}

/// The bytes of an answer to an attempt.
fn answer_bytes(
    end: &mut EngineEnd,
    attempt: usize,
    record: &AttemptRecord,
    message: EngineMessage,
) -> Vec<u8> {
    let id = request_id(record.request as u64);
    let page = |position| page(record.request, record.number, position);
    let result = engine_answer(&id, "HIT", "pages=1", &page(0));
    match message {
        EngineMessage::FirstOfTwoPages => engine_answer(&id, "HIT", "pages=2", &page(0)),
        EngineMessage::SecondPage => {
            end.requested_pages.retain(|requested| *requested != attempt);
            engine_answer(&id, "PART", "page=1", &page(1))
        }
        EngineMessage::Shed => engine_answer(&id, "SHED", "-", ""),
        EngineMessage::Fault => engine_answer(&id, "FAULT", "-", ""),
        EngineMessage::ProgressUpdate => engine_answer(&id, "INFO", "detail=advance,v=0.5", ""),
        EngineMessage::FirstHalf => {
            let (first, second) = result.split_at(result.len() / 2);
            end.unsent_rest = second.to_vec();
            first.to_vec()
        }
        _ => result,
    }
}

/// The bytes of a message that answers no attempt, or goes on with an answer that was begun.
fn other_message_bytes(end: &mut EngineEnd, message: EngineMessage) -> Vec<u8> {
    match message {
        EngineMessage::SecondHalf => std::mem::take(&mut end.unsent_rest),
        EngineMessage::Pong => {
            end.peer.pings -= 1;
            pong()
        }
        EngineMessage::UnknownId => engine_answer("ffffffffffffffff", "HIT", "pages=1", "x\ty\tz\n"),
        _ => {
            end.is_corrupted = true;
            b"*4\r\n$x".to_vec()
        }
    }
}

/// Records what the engine has answered to an attempt.
fn record_answer(attempt: &mut AttemptRecord, message: EngineMessage) {
    match message {
        EngineMessage::Result | EngineMessage::FirstHalf => attempt.pages = Some(1),
        EngineMessage::FirstOfTwoPages => attempt.pages = Some(2),
        EngineMessage::Shed | EngineMessage::Fault => attempt.pages = Some(0),
        EngineMessage::ProgressUpdate => attempt.has_note = true,
        _ => {}
    }
}
