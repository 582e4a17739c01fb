//! The transitions of the connection model, and which of them are enabled in a state.

use super::scenario::{ConnectionScenario, EndpointChange, EngineMessage};
use super::state::{ConnectionState, EngineEnd};
use emberflow::AttemptOutcome;
use emberflow_router::slots::Slot;

/// One thing that the caller, the engine or the endpoint list does, or time that passes.
#[derive(Clone, Copy, Debug)]
pub enum Transition {
    /// An attempt of a request is sent.
    SendCall { request: usize },
    /// A connection is established.
    Connect { connection: Slot },
    /// A connection is refused.
    Refuse { connection: Slot },
    /// The engine sends a message; `attempt` is the one that the message answers.
    EngineSends { connection: Slot, attempt: Option<usize>, message: EngineMessage },
    /// The engine resets a connection.
    ResetConnection { connection: Slot },
    /// A blocked connection takes any number of bytes from now on.
    Unblock { connection: Slot },
    /// An attempt is cancelled.
    Cancel { attempt: usize },
    /// The endpoint list reports a change of the engine.
    ChangeEndpoint { change: EndpointChange },
    /// Time passes to the next timer.
    PassTime,
}

/// Appends the transitions that are enabled in a state.
pub fn append_enabled(
    scenario: &ConnectionScenario,
    state: &ConnectionState,
    transitions: &mut Vec<Transition>,
) {
    if state.violated.is_some() {
        return;
    }
    for request in 0..scenario.requests {
        if may_send(scenario, state, request) {
            transitions.push(Transition::SendCall { request });
        }
    }
    for (&connection, end) in &state.engine_ends {
        append_connection_transitions(scenario, state, connection, end, transitions);
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
    end: &EngineEnd,
    transitions: &mut Vec<Transition>,
) {
    if end.is_corrupted {
        return;
    }
    if !end.peer.is_connected {
        transitions.extend([Transition::Connect { connection }, Transition::Refuse { connection }]);
        return;
    }
    let may_fail = state.faults < scenario.max_faults;
    for attempt in end.received_calls.iter().copied() {
        let messages = possible_answers(state, end, attempt, may_fail);
        let messages = messages.into_iter().filter(|message| scenario.messages.contains(message));
        transitions.extend(messages.map(|message| Transition::EngineSends {
            connection,
            attempt: Some(attempt),
            message,
        }));
    }
    let messages = possible_other_messages(end, may_fail);
    let messages = messages.into_iter().filter(|message| scenario.messages.contains(message));
    transitions.extend(messages.map(|message| Transition::EngineSends {
        connection,
        attempt: None,
        message,
    }));
    if may_fail {
        transitions.push(Transition::ResetConnection { connection });
    }
    if end.peer.capacity.is_some() {
        transitions.push(Transition::Unblock { connection });
    }
}

/// The answers that the engine may send to an attempt whose call has arrived.
fn possible_answers(
    state: &ConnectionState,
    end: &EngineEnd,
    attempt: usize,
    may_fail: bool,
) -> Vec<EngineMessage> {
    let record = &state.attempts[attempt];
    // Between the halves of an answer nothing else can be sent.
    if !end.unsent_rest.is_empty() {
        return Vec::new();
    }
    let mut messages = Vec::new();
    if record.pages.is_none() {
        messages.extend([EngineMessage::Result, EngineMessage::FirstOfTwoPages]);
        messages.extend([EngineMessage::Shed, EngineMessage::Fault]);
        messages.extend(may_fail.then_some(EngineMessage::FirstHalf));
        messages.extend((!record.has_note).then_some(EngineMessage::ProgressUpdate));
    }
    if end.requested_pages.contains(&attempt) {
        messages.push(EngineMessage::SecondPage);
    }
    if may_fail && record.pages.is_some_and(|pages| pages > 0) {
        messages.push(EngineMessage::RepeatedResult);
    }
    messages
}

/// What the engine may send that answers no attempt, or goes on with an answer that was begun.
fn possible_other_messages(end: &EngineEnd, may_fail: bool) -> Vec<EngineMessage> {
    if !end.unsent_rest.is_empty() {
        return vec![EngineMessage::SecondHalf];
    }
    let mut messages = Vec::new();
    messages.extend((end.peer.pings > 0).then_some(EngineMessage::Pong));
    if may_fail {
        messages.extend([EngineMessage::UnknownId, EngineMessage::Malformed]);
    }
    messages
}
