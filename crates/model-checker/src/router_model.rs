//! The router model: the complete router without its sockets. It covers client connections, the dispatcher, the
//! scheduler, the connections to one or two engines, and a graceful shutdown.
//!
//! The invariants rely on the answers that clients read and on the calls that arrive at engines. The router itself is
//! asked only whether a slow client's answer is still being written, and what remains at the end of a run.

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
