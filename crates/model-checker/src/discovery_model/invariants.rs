//! The invariants of the discovery model, one function each.

use super::scenario::DiscoveryScenario;
use super::service::{EndpointList, FrameFault, endpoint_list};
use super::state::{DiscoveryState, Event};
use crate::invariants::Invariant;

/// All invariants of the discovery model.
pub const INVARIANTS: &[Invariant<DiscoveryScenario>] = &[
    Invariant {
        name: "list as sent",
        description: "the list after an event is the service's list at that event",
        is_violated: differs_from_service_list,
    },
    Invariant {
        name: "no event twice",
        description: "an accepted event is not accepted again",
        is_violated: accepts_again,
    },
    Invariant {
        name: "rejects faults only",
        description: "a reader rejects a frame only if the frame is invalid",
        is_violated: rejects_valid_frame,
    },
    Invariant {
        name: "up to date",
        description: "once all events were sent, the reader's list is the service's list",
        is_violated: is_behind,
    },
];

fn differs_from_service_list(_: &DiscoveryScenario, state: &DiscoveryState, event: &Event) -> bool {
    let Event::Accepts { number, accepted: Some(accepted) } = event else { return false };
    let mut list = if accepted.is_snapshot { EndpointList::new() } else { state.received.clone() };
    list.extend(accepted.endpoints.iter().copied());
    list != endpoint_list(*number)
}

fn accepts_again(_: &DiscoveryScenario, state: &DiscoveryState, event: &Event) -> bool {
    matches!(event, Event::Accepts { number, accepted: Some(_) } if *number <= state.last_accepted())
}

fn rejects_valid_frame(_: &DiscoveryScenario, state: &DiscoveryState, event: &Event) -> bool {
    let is_valid = matches!(state.frame_fault, None | Some(FrameFault::Duplicate));
    matches!(event, Event::Rejects) && is_valid
}

fn is_behind(_: &DiscoveryScenario, state: &DiscoveryState, event: &Event) -> bool {
    let has_list = state.received == endpoint_list(state.last_event);
    let is_current = has_list && state.last_accepted() == state.last_event;
    matches!(event, Event::AllSent) && !is_current
}
