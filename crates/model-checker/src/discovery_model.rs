//! The discovery model: the router's reader of the connection to the discovery service. While the endpoint list
//! changes, the service may repeat, skip, corrupt and split its frames, and the connection may be lost and
//! established again.
//!
//! The model runs the router's reader; the service is scripted.

pub mod invariants;
pub mod scenario;
pub mod service;
pub mod state;
pub mod transition;

use crate::invariants::{self as shared_invariants, Invariant, ObservedModel};
use crate::search::Model;
use crate::witness;
use scenario::DiscoveryScenario;
use service::{faulty_frame, heartbeat_frame};
use state::{DiscoveryState, Event};
use transition::Transition;

impl Model for DiscoveryScenario {
    type State = DiscoveryState;
    type Transition = Transition;

    fn initial_state(&self) -> DiscoveryState {
        DiscoveryState::initial()
    }

    fn transitions(&self, state: &DiscoveryState, transitions: &mut Vec<Transition>) {
        transition::append_enabled(self, state, transitions);
    }

    fn apply(&self, state: &DiscoveryState, transition: &Transition) -> DiscoveryState {
        let mut next = state.clone();
        next.frame_fault = None;
        match *transition {
            Transition::ChangeList => next.last_event += 1,
            Transition::SendEvent { snapshot, split } => next.send_event(self, snapshot, split),
            Transition::SendRest => next.send_rest(self),
            Transition::Heartbeat => next.deliver(self, &heartbeat_frame(state.sent_event)),
            Transition::SendFault { fault } => {
                next.faults += 1;
                next.frame_fault = Some(fault);
                next.deliver(self, &faulty_frame(state.sent_event, fault));
            }
            Transition::Reconnect => next.reconnect(),
        }
        next
    }

    fn fingerprint(&self, state: &DiscoveryState) -> u64 {
        state.fingerprint()
    }

    fn violated_invariant(&self, state: &DiscoveryState, _: bool) -> Option<&'static str> {
        shared_invariants::record_exercised(self, state, || state.hypothetical_events());
        let when_all_sent = || shared_invariants::first_violated(self, state, &Event::AllSent);
        state.violated_invariant.or_else(|| state.is_all_sent().then(when_all_sent).flatten())
    }
}

impl ObservedModel for DiscoveryScenario {
    type Event = Event;
    const INVARIANTS: &'static [Invariant<Self>] = invariants::INVARIANTS;
    const FIRST_WITNESS_BIT: usize = witness::DISCOVERY_FIRST_BIT;
}
