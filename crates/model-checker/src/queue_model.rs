//! The queue model: the admission queues of the teams. Requests arrive, are dispatched, end with any outcome, are
//! requeued or removed, while time passes and a team is removed.
//!
//! The model runs the router's queues.

pub mod invariants;
pub mod scenario;
pub mod state;
pub mod transition;

use crate::invariants::{self as shared_invariants, Invariant, ObservedModel};
use crate::search::Model;
use crate::witness;
use scenario::QueueScenario;
use state::{Event, QueueState};
use transition::Transition;

impl Model for QueueScenario {
    type State = QueueState;
    type Transition = Transition;

    fn initial_state(&self) -> QueueState {
        QueueState::new(self)
    }

    fn transitions(&self, state: &QueueState, transitions: &mut Vec<Transition>) {
        transition::append_enabled(self, state, transitions);
    }

    fn apply(&self, state: &QueueState, transition: &Transition) -> QueueState {
        let mut next = state.clone();
        match *transition {
            Transition::Arrive => next.arrive(self),
            Transition::Dispatch => next.dispatch(self),
            Transition::Settle { request, outcome } => next.settle(request, outcome),
            Transition::Requeue { request } => next.requeue(request),
            Transition::Remove { request } => next.remove(request),
            Transition::RemoveTeam => next.remove_team(),
            Transition::PassTime => next.pass_time(),
        }
        next.check_held(self);
        next
    }

    fn fingerprint(&self, state: &QueueState) -> u64 {
        state.fingerprint()
    }

    fn violated_invariant(&self, state: &QueueState, _: bool) -> Option<&'static str> {
        shared_invariants::record_exercised(self, state, || state.hypothetical_events());
        state.violated_invariant
    }
}

impl ObservedModel for QueueScenario {
    type Event = Event;
    const INVARIANTS: &'static [Invariant<Self>] = invariants::INVARIANTS;
    const FIRST_WITNESS_BIT: usize = witness::QUEUE_FIRST_BIT;
}
