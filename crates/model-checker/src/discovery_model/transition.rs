//! The transitions of the discovery model, and the conditions that enable them.

use super::scenario::DiscoveryScenario;
use super::service::FrameFault;
use super::state::DiscoveryState;

/// An action of the discovery service, or the loss of its connection.
#[derive(Clone, Copy, Debug)]
pub enum Transition {
    /// The service's list changes, which is a new event to send.
    ChangeList,
    /// The service sends the change of the next event or, as a snapshot, the complete list after the last event. The
    /// second part of a split frame follows later.
    SendEvent { snapshot: bool, split: bool },
    /// The service sends a heartbeat with the number of the last event that it has sent.
    Heartbeat,
    /// The service sends the second part of a split frame.
    SendRest,
    /// The service sends a faulty frame.
    SendFault { fault: FrameFault },
    /// The connection is lost or closed and established again, and the service resumes after the last accepted event.
    Reconnect,
}

/// Appends the transitions that are enabled in a state.
pub fn append_enabled(
    scenario: &DiscoveryScenario,
    state: &DiscoveryState,
    transitions: &mut Vec<Transition>,
) {
    if state.violated_invariant.is_some() {
        return;
    }
    transitions.extend((state.last_event < scenario.list_changes).then_some(Transition::ChangeList));
    if state.must_reconnect {
        transitions.push(Transition::Reconnect);
        return;
    }
    transitions.extend((state.disconnects < scenario.max_disconnects).then_some(Transition::Reconnect));
    if !state.unsent_rest.is_empty() {
        transitions.push(Transition::SendRest);
        return;
    }
    if state.sent_event < state.last_event {
        for (snapshot, split) in [(false, false), (false, true), (true, false), (true, true)] {
            transitions.push(Transition::SendEvent { snapshot, split });
        }
        transitions.push(Transition::Heartbeat);
    }
    if state.faults < scenario.max_faults {
        transitions.extend(possible_faults(state).into_iter().map(|fault| Transition::SendFault { fault }));
    }
}

fn possible_faults(state: &DiscoveryState) -> Vec<FrameFault> {
    let mut faults = vec![FrameFault::UnknownKind, FrameFault::BadLength, FrameFault::HeartbeatAhead];
    faults.extend((state.sent_event > 0).then_some(FrameFault::Duplicate));
    faults.extend((state.sent_event + 2 <= state.last_event).then_some(FrameFault::Gap));
    faults
}
