//! The transitions of the connection model, and the conditions that enable them.

use super::scenario::{ConnectionScenario, EndpointChange, EngineMessage};
use super::state::{ConnectionState, EngineSide};
use emberflow::AttemptOutcome;
use emberflow_router::slots::Slot;

/// An action of the caller, the engine or the endpoint list, or the passing of time.
#[derive(Clone, Copy, Debug)]
pub enum Transition {
    /// The caller sends an attempt of a request to the pool.
    SendCall { request: usize },
    /// A connection that the pool has dialled is established.
    Connect { connection: Slot },
    /// The engine refuses a connection that the pool has dialled.
    Refuse { connection: Slot },
    /// The engine sends a message; `attempt` is the attempt that the message answers, `None` if it answers none.
    EngineSends { connection: Slot, attempt: Option<usize>, message: EngineMessage },
    /// The engine resets a connection.
    ResetConnection { connection: Slot },
    /// A blocked connection accepts bytes without limit from now on.
    Unblock { connection: Slot },
    /// The caller cancels an attempt in flight.
    Cancel { attempt: usize },
    /// The endpoint list reports a change of the engine.
    ChangeEndpoint { change: EndpointChange },
    /// The clock advances to the next timer of the pool.
    PassTime,
}

/// Appends the transitions that are enabled in a state.
pub fn append_enabled(
    scenario: &ConnectionScenario,
    state: &ConnectionState,
    transitions: &mut Vec<Transition>,
) {
    if state.violated_invariant.is_some() {
        return;
    }
    for request in 0..scenario.requests {
        if may_send(scenario, state, request) {
            transitions.push(Transition::SendCall { request });
        }
    }
    for (&connection, side) in &state.engine_sides {
        append_connection_transitions(scenario, state, connection, side, transitions);
    }
    if scenario.cancels {
        let attempts = state.attempts.iter().enumerate();
        let in_flight = attempts.filter(|(_, record)| record.outcome.is_none());
        transitions.extend(in_flight.map(|(attempt, _)| Transition::Cancel { attempt }));
    }
    if !state.endpoint_has_changed {
        let changes = scenario.endpoint_changes.iter().copied();
        transitions.extend(changes.map(|change| Transition::ChangeEndpoint { change }));
    }
    if !state.context.timers.is_empty() {
        transitions.push(Transition::PassTime);
    }
}

/// Whether another attempt of a request may be sent.
fn may_send(scenario: &ConnectionScenario, state: &ConnectionState, request: usize) -> bool {
    let attempts = || state.attempts.iter().filter(|attempt| attempt.request == request);
    let is_done = attempts().any(|attempt| matches!(attempt.outcome, None | Some(AttemptOutcome::Succeeded)));
    state.engine_is_ready && !is_done && attempts().count() < scenario.max_attempts
}

fn append_connection_transitions(
    scenario: &ConnectionScenario,
    state: &ConnectionState,
    connection: Slot,
    side: &EngineSide,
    transitions: &mut Vec<Transition>,
) {
    if side.is_corrupted {
        return;
    }
    if !side.peer.is_connected {
        transitions.extend([Transition::Connect { connection }, Transition::Refuse { connection }]);
        return;
    }
    let may_fail = state.faults < scenario.max_faults;
    for attempt in side.received_calls.iter().copied() {
        let messages = possible_answers(state, side, attempt, may_fail);
        let messages = messages.into_iter().filter(|message| scenario.messages.contains(message));
        transitions.extend(messages.map(|message| Transition::EngineSends {
            connection,
            attempt: Some(attempt),
            message,
        }));
    }
    let messages = possible_other_messages(side, may_fail);
    let messages = messages.into_iter().filter(|message| scenario.messages.contains(message));
    transitions.extend(messages.map(|message| Transition::EngineSends {
        connection,
        attempt: None,
        message,
    }));
    if may_fail {
        transitions.push(Transition::ResetConnection { connection });
    }
    if side.peer.capacity.is_some() {
        transitions.push(Transition::Unblock { connection });
    }
}

/// Returns the messages that the engine may send for an attempt whose call has arrived.
fn possible_answers(
    state: &ConnectionState,
    side: &EngineSide,
    attempt: usize,
    may_fail: bool,
) -> Vec<EngineMessage> {
    let record = &state.attempts[attempt];
    // The engine can send nothing between the halves of an answer.
    if !side.unsent_half.is_empty() {
        return Vec::new();
    }
    let mut messages = Vec::new();
    if record.pages.is_none() {
        messages.extend([EngineMessage::Result, EngineMessage::FirstOfTwoPages]);
        messages.extend([EngineMessage::Overloaded, EngineMessage::Failed]);
        if may_fail {
            messages.extend([EngineMessage::FirstHalf, EngineMessage::ShortArray]);
            messages.extend([EngineMessage::NoisyFields, EngineMessage::LargeFirstPage]);
        }
        messages.extend((!record.has_progress_update).then_some(EngineMessage::ProgressUpdate));
    }
    if side.requested_pages.contains(&attempt) {
        messages.push(EngineMessage::SecondPage);
    }
    if may_fail && record.pages.is_some_and(|pages| pages > 0) {
        messages.push(EngineMessage::RepeatedResult);
    }
    messages
}

/// Returns the messages without an attempt that the engine may send: the second half of an answer, if it has not been
/// sent, or messages that answer no attempt.
fn possible_other_messages(side: &EngineSide, may_fail: bool) -> Vec<EngineMessage> {
    if !side.unsent_half.is_empty() {
        return vec![EngineMessage::SecondHalf];
    }
    let mut messages = Vec::new();
    messages.extend((side.peer.unanswered_pings > 0).then_some(EngineMessage::Pong));
    if may_fail {
        messages.extend([EngineMessage::UnknownId, EngineMessage::Malformed]);
    }
    messages
}
