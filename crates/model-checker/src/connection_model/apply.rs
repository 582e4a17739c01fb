//! Applies transitions of the connection model. Checks the invariants for the ends of attempts that the pool reports and
//! for the calls that arrive at the engine.

use super::engine::{
    answer_bytes, is_fault, is_spoilt, other_message_bytes, receive_commands, record_answer,
};
use super::scenario::{ConnectionScenario, EndpointChange, EngineMessage};
use super::state::{
    AttemptRecord, Cause, ConnectionState, EngineSide, Event, FIRST_ENGINE, LateAnswer, REPLACEMENT,
    endpoint_record, statement,
};
use super::transition::Transition;
use crate::invariants::first_violated;
use crate::wire::{ScriptedInput, execute_pool_commands};
use emberflow::{AttemptOutcome, Lifecycle, RequestId, SendLimits};
use emberflow_peer_protocol::request_id;
use emberflow_router::discovery::EndpointRecord;
use emberflow_router::engine_pool::{Call, PoolEvent, Reachability};
use emberflow_router::slots::Slot;
use emberflow_router::timers::Timer;
use std::time::Duration;

/// Time from the start of an attempt to its deadline.
const CALL_TIMEOUT: Duration = Duration::from_millis(350);
/// The start of a restarted engine is reported as this much later than the time of the report.
const RESTART_DELAY: Duration = Duration::from_millis(1);
/// The name of the command that carries a call, which is the first part of its array.
const CALL_COMMAND: &[u8] = b"GET";
/// The priority of every call.
const PRIORITY: u8 = 1;

/// Returns the state that a transition leads to.
pub fn apply(
    scenario: &ConnectionScenario,
    state: &ConnectionState,
    transition: Transition,
) -> ConnectionState {
    let mut applier = TransitionApplier { scenario, state: state.clone(), cause: cause_of(transition) };
    applier.apply(transition);
    applier.run_until_idle();
    applier.state
}

/// Returns the cause to which a transition attributes the ends of attempts. A well-formed message belongs to one
/// attempt or to none. Malformed bytes may end any attempt, and the second half of an answer is not attributed to an
/// attempt.
fn cause_of(transition: Transition) -> Cause {
    match transition {
        Transition::EngineSends { message: EngineMessage::Malformed | EngineMessage::SecondHalf, .. } => {
            Cause::Unspecified
        }
        Transition::EngineSends { message, .. } if is_spoilt(message) => Cause::Unspecified,
        Transition::EngineSends { attempt, .. } => attempt.map_or(Cause::AnswerToNone, Cause::AnswerTo),
        _ => Cause::Unspecified,
    }
}

/// Applies one transition to a copy of a state.
struct TransitionApplier<'a> {
    scenario: &'a ConnectionScenario,
    state: ConnectionState,
    /// The cause to which the ends of attempts are attributed.
    cause: Cause,
}

impl TransitionApplier<'_> {
    fn apply(&mut self, transition: Transition) {
        match transition {
            Transition::SendCall { request } => self.send_call(request),
            Transition::Connect { connection } => self.connect(connection),
            Transition::Refuse { connection } => self.refuse(connection),
            Transition::EngineSends { connection, attempt, message } => {
                self.engine_sends(connection, attempt, message);
            }
            Transition::ResetConnection { connection } => self.reset_connection(connection),
            Transition::Unblock { connection } => self.unblock(connection),
            Transition::Cancel { attempt } => self.cancel(attempt),
            Transition::ChangeEndpoint { change } => self.change_endpoint(change),
            Transition::PassTime => self.pass_time(),
        }
    }

    /// Checks the invariants at an event, before the event changes the state.
    fn check(&mut self, event: &Event) {
        let violated_invariant =
            self.state.violated_invariant.or_else(|| first_violated(self.scenario, &self.state, event));
        self.state.violated_invariant = violated_invariant;
    }

    fn send_call(&mut self, request: usize) {
        let state = &mut self.state;
        let number = state.attempts.iter().filter(|attempt| attempt.request == request).count();
        let (id, statement) = (request_id(request as u64), statement(request, number));
        let deadline = state.now + CALL_TIMEOUT;
        let key_window_end = self.scenario.key_window.map(|window| state.now + window);
        let call = Call {
            request: RequestId::from_index(request),
            number,
            request_name: &id,
            class: "lookup",
            idempotency_key: None,
            statement: statement.as_bytes(),
            grant_mb: 0.0,
            priority: PRIORITY,
            limits: SendLimits { timeout_at: deadline, key_window_end },
        };
        let late_answers = state.late_answers.iter().filter(|answer| answer.request == request);
        let excluded: Vec<Slot> = late_answers.map(|answer| answer.connection).collect();
        let slot = state.engines.send(state.engine, call, &excluded, &mut state.context);
        state.attempts.push(AttemptRecord {
            request,
            number,
            slot,
            deadline,
            key_window_end,
            outcome: None,
            ended_at: None,
            arrivals: 0,
            pages: None,
            has_progress_update: false,
        });
    }

    fn connect(&mut self, connection: Slot) {
        let state = &mut self.state;
        state.engine_sides.entry(connection).and_modify(|side| side.peer.is_connected = true);
        state.engines.connection_established(connection, &mut state.context);
    }

    fn refuse(&mut self, connection: Slot) {
        let ConnectionState { engines, context, .. } = &mut self.state;
        engines.dial_failed(connection, Reachability::Unreachable, "refused", context);
    }

    fn reset_connection(&mut self, connection: Slot) {
        let state = &mut self.state;
        state.faults += 1;
        state.engines.read(connection, &mut ScriptedInput::reset(), &mut state.context);
    }

    fn unblock(&mut self, connection: Slot) {
        self.state.engine_sides.entry(connection).and_modify(|side| side.peer.capacity = None);
        self.flush_to_engine(connection);
    }

    fn cancel(&mut self, attempt: usize) {
        let state = &mut self.state;
        state.engines.cancel(state.attempts[attempt].slot, &mut state.context);
    }

    fn engine_sends(&mut self, connection: Slot, attempt: Option<usize>, message: EngineMessage) {
        let state = &mut self.state;
        state.faults += u8::from(is_fault(message));
        let Some(side) = state.engine_sides.get_mut(&connection) else { return };
        let bytes = match attempt {
            Some(attempt) => answer_bytes(side, attempt, &state.attempts[attempt], message),
            None => other_message_bytes(side, message),
        };
        if let Some(attempt) = attempt {
            record_answer(&mut state.attempts[attempt], message);
        }
        state.engines.read(connection, &mut ScriptedInput::bytes(bytes), &mut state.context);
        let bytes_held = state.engines.bytes().results;
        self.check(&Event::RepliesRead { bytes_held });
    }

    fn change_endpoint(&mut self, change: EndpointChange) {
        let state = &mut self.state;
        state.endpoint_has_changed = true;
        let restarted_ms = (state.now + RESTART_DELAY).as_millis() as u64;
        let first_engine = endpoint_record(FIRST_ENGINE);
        let record = match change {
            EndpointChange::Drains => EndpointRecord { lifecycle: Lifecycle::Draining, ..first_engine },
            EndpointChange::Restarts => EndpointRecord { up_since_ms: restarted_ms, ..first_engine },
            EndpointChange::Removed | EndpointChange::Replaced => {
                EndpointRecord { lifecycle: Lifecycle::Removed, ..first_engine }
            }
        };
        state.engine_is_ready = record.is_ready();
        state.engines.update_endpoint(&record, &mut state.context);
        if record.lifecycle == Lifecycle::Removed {
            state.engines.forget(state.engine, &mut state.context);
        }
        if change == EndpointChange::Replaced {
            let replacement = EndpointRecord { up_since_ms: restarted_ms, ..endpoint_record(REPLACEMENT) };
            state.engine = state.engines.update_endpoint(&replacement, &mut state.context).engine;
            state.engine_is_ready = true;
        }
    }

    fn pass_time(&mut self) {
        let now = self.state.now;
        let to = self.state.context.timers.next_expiry().map_or(now, |at| at.max(now));
        self.check(&Event::TimePasses { to });
        let state = &mut self.state;
        state.now = to;
        state.context.now = to;
        while let Some(due) = state.context.timers.pop(to) {
            match due {
                Timer::AttemptDeadline(slot) => state.engines.attempt_overdue(slot, &mut state.context),
                Timer::CallExpiry(slot) => state.engines.call_expired(slot, &mut state.context),
                Timer::ConnectionCheck(slot) => {
                    state.engines.connection_check_due(slot, to, &mut state.context)
                }
                Timer::ReplyTimeout(slot) => state.engines.reply_overdue(slot, &mut state.context),
                Timer::ConnectionIdleTimeout(slot) => state.engines.connection_idle(slot, &mut state.context),
                _ => {}
            }
        }
    }

    /// Executes the pool's commands and pending writes, and records its events, until nothing is left to do.
    fn run_until_idle(&mut self) {
        loop {
            let state = &mut self.state;
            let capacity = self.scenario.initial_capacity;
            let new_side = || EngineSide::with_capacity(capacity);
            let mut is_active =
                execute_pool_commands(&mut state.engines.commands, &mut state.engine_sides, new_side);
            for connection in std::mem::take(&mut state.engines.pending_writes) {
                is_active = true;
                self.flush_to_engine(connection);
            }
            while let Some(event) = self.state.engines.events.pop_front() {
                is_active = true;
                self.record_pool_event(event);
            }
            if !is_active {
                return;
            }
        }
    }

    fn record_pool_event(&mut self, event: PoolEvent) {
        let PoolEvent::Ended { ended, body, late_connection } = event else { return };
        let request = ended.request.index();
        let late_answer = late_connection.map(|connection| LateAnswer { request, connection });
        self.state.late_answers.extend(late_answer);
        self.record_end(request, ended.attempt, ended.outcome, body);
    }

    fn record_end(&mut self, request: usize, number: usize, outcome: AttemptOutcome, body: Option<Vec<u8>>) {
        let is_same = |attempt: &AttemptRecord| (attempt.request, attempt.number) == (request, number);
        let Some(attempt) = self.state.attempts.iter().position(is_same) else {
            self.state.violated_invariant = self.state.violated_invariant.or(Some("one end"));
            return;
        };
        self.check(&Event::AttemptEnds { attempt, outcome, body, cause: self.cause });
        let ended_at = self.state.now;
        let record = &mut self.state.attempts[attempt];
        record.outcome = Some(outcome);
        record.ended_at = Some(ended_at);
    }

    /// Lets the pool write to a connection as many bytes as the engine accepts, and the engine read the complete
    /// commands.
    fn flush_to_engine(&mut self, connection: Slot) {
        let Some(side) = self.state.engine_sides.get_mut(&connection) else { return };
        let received_before = side.peer.inbox.len();
        self.state
            .engines
            .flush(connection, &mut side.peer, &mut self.state.context)
            .expect("a write to a peer in memory fails only by blocking");
        let written = &side.peer.inbox[received_before..];
        let begins_call = written.windows(CALL_COMMAND.len()).any(|window| window == CALL_COMMAND);
        let arrived = receive_commands(side, &self.state.attempts);
        if begins_call {
            self.check(&Event::CallBegins);
        }
        for attempt in arrived {
            self.check(&Event::CallArrives { attempt });
            self.state.attempts[attempt].arrivals += 1;
        }
    }
}
