//! The router model: the complete router without its sockets. It covers client connections, the dispatcher, the
//! scheduler, the connections to one or two engines, and a graceful shutdown.
//!
//! The invariants rely on the answers that clients read and on the calls that arrive at engines. They read the router's
//! own state in two cases only: to decide whether the router has answered a request of a slow client, and to check at
//! the end of a run that the router holds no client, request, attempt, connection or timer.

pub mod apply;
pub mod invariants;
pub mod scenario;
pub mod scenarios;
pub mod state;
pub mod transition;

use crate::invariants::{self as shared_invariants, Invariant, ObservedModel};
use crate::search::Model;
use crate::witness;
use scenario::RouterScenario;
use state::{Event, RouterState};
use transition::Transition;

impl Model for RouterScenario {
    type State = RouterState;
    type Transition = Transition;

    fn initial_state(&self) -> RouterState {
        RouterState::new(self)
    }

    fn transitions(&self, state: &RouterState, transitions: &mut Vec<Transition>) {
        transition::append_enabled(self, state, transitions);
    }

    fn apply(&self, state: &RouterState, transition: &Transition) -> RouterState {
        apply::apply(self, state, *transition)
    }

    fn fingerprint(&self, state: &RouterState) -> u64 {
        state.fingerprint()
    }

    fn violated_invariant(&self, state: &RouterState, is_terminal: bool) -> Option<&'static str> {
        shared_invariants::record_exercised(self, state, || state.hypothetical_events());
        let at_end = || shared_invariants::first_violated(self, state, &Event::Terminal);
        state.violated_invariant.or_else(|| is_terminal.then(at_end).flatten())
    }
}

impl ObservedModel for RouterScenario {
    type Event = Event;
    const INVARIANTS: &'static [Invariant<Self>] = invariants::INVARIANTS;
    const FIRST_WITNESS_BIT: usize = witness::ROUTER_FIRST_BIT;
}
