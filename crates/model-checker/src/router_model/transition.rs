//! The transitions of the router model, and the conditions that enable them.

use super::scenario::RouterScenario;
use super::state::RouterState;
use emberflow_router::slots::Slot;

/// An action of a client, an engine or the operator, or the passing of time.
#[derive(Clone, Copy, Debug)]
pub enum Transition {
    /// A client sends the line at this index of the scenario, or its first piece.
    SendLine { client: usize, line: usize },
    /// A client sends the second piece of a line.
    SendRest { client: usize },
    /// A client closes the write side of its connection.
    CloseWriteSide { client: usize },
    /// A client resets its connection.
    ResetClient { client: usize },
    /// A slow client resumes reading.
    ResumeReading { client: usize },
    /// A connection that the router has dialled is established.
    Connect { connection: Slot },
    /// An engine refuses a connection that the router has dialled.
    Refuse { connection: Slot },
    /// An engine answers a call with a result.
    AnswerResult { connection: Slot, call: usize },
    /// An engine rejects a call as overloaded.
    AnswerOverloaded { connection: Slot, call: usize },
    /// An engine reports that a call has failed.
    AnswerFailed { connection: Slot, call: usize },
    /// An engine answers a ping.
    AnswerPing { connection: Slot },
    /// An engine resets a connection.
    ResetConnection { connection: Slot },
    /// The endpoint list reports the first engine as draining.
    DrainEngine,
    /// The process receives the signal to terminate.
    Terminate,
    /// The clock advances to the next timer of the router.
    PassTime,
    /// The clock advances while the router stands still: timers that expire meanwhile are handled later.
    Stall,
}

/// Appends the transitions that are enabled in a state.
pub fn append_enabled(scenario: &RouterScenario, state: &RouterState, transitions: &mut Vec<Transition>) {
    if state.violated_invariant.is_some() || state.server.has_stopped() {
        return;
    }
    append_client_transitions(scenario, state, transitions);
    append_engine_transitions(scenario, state, transitions);
    if scenario.drains && !state.is_draining {
        transitions.push(Transition::DrainEngine);
    }
    if scenario.terminates && !state.is_terminating {
        transitions.push(Transition::Terminate);
    }
    if !state.server.dispatcher.context.timers.is_empty() {
        transitions.push(Transition::PassTime);
        transitions.extend((state.stalls < scenario.max_stalls).then_some(Transition::Stall));
    }
}

fn append_client_transitions(
    scenario: &RouterScenario,
    state: &RouterState,
    transitions: &mut Vec<Transition>,
) {
    for (client, record) in state.clients.iter().enumerate() {
        if !record.is_connected || record.is_write_closed {
            continue;
        }
        if record.unsent_rest.is_some() {
            transitions.push(Transition::SendRest { client });
        } else {
            let lines = 0..scenario.client_lines[client].len();
            let unsent = lines.filter(|line| record.sent_lines & (1 << line) == 0);
            transitions.extend(unsent.map(|line| Transition::SendLine { client, line }));
        }
        if record.capacity.is_some() {
            transitions.push(Transition::ResumeReading { client });
        }
        if scenario.clients_leave {
            transitions.extend([Transition::CloseWriteSide { client }, Transition::ResetClient { client }]);
        }
    }
}

fn append_engine_transitions(
    scenario: &RouterScenario,
    state: &RouterState,
    transitions: &mut Vec<Transition>,
) {
    let may_fail = state.faults < scenario.max_faults;
    for (&connection, peer) in &state.engine_peers {
        if !peer.is_connected {
            transitions.push(Transition::Connect { connection });
            transitions.extend(may_fail.then_some(Transition::Refuse { connection }));
            continue;
        }
        for (call, record) in state.calls.iter().enumerate() {
            if record.connection != connection || record.has_ended {
                continue;
            }
            transitions.extend([
                Transition::AnswerResult { connection, call },
                Transition::AnswerOverloaded { connection, call },
                Transition::AnswerFailed { connection, call },
            ]);
        }
        transitions.extend((peer.unanswered_pings > 0).then_some(Transition::AnswerPing { connection }));
        transitions.extend(may_fail.then_some(Transition::ResetConnection { connection }));
    }
}
