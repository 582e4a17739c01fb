//! The connection model: the pool of engine connections and its attempts. Calls are sent, are cancelled and time out
//! while the engine answers, rejects calls as overloaded, sends malformed, split or repeated answers, stops
//! answering, resets connections, or is replaced by another engine at its address.
//!
//! The model runs the router's engine pool; buffers in memory take the place of the sockets.

pub mod apply;
pub mod engine;
pub mod invariants;
pub mod scenario;
pub mod scenarios;
pub mod state;
pub mod transition;

use crate::invariants::{self as shared_invariants, Invariant, ObservedModel};
use crate::search::Model;
use crate::witness;
use scenario::ConnectionScenario;
use state::{ConnectionState, Event};
use transition::Transition;

impl Model for ConnectionScenario {
    type State = ConnectionState;
    type Transition = Transition;

    fn initial_state(&self) -> ConnectionState {
        ConnectionState::new(self)
    }

    fn transitions(&self, state: &ConnectionState, transitions: &mut Vec<Transition>) {
        transition::append_enabled(self, state, transitions);
    }

    fn apply(&self, state: &ConnectionState, transition: &Transition) -> ConnectionState {
        apply::apply(self, state, *transition)
    }

    fn fingerprint(&self, state: &ConnectionState) -> u64 {
        state.fingerprint()
    }

    fn violated_invariant(&self, state: &ConnectionState, is_terminal: bool) -> Option<&'static str> {
        shared_invariants::record_exercised(self, state, || state.hypothetical_events());
        let at_end = || shared_invariants::first_violated(self, state, &Event::Terminal);
        state.violated_invariant.or_else(|| is_terminal.then(at_end).flatten())
    }
}

impl ObservedModel for ConnectionScenario {
    type Event = Event;
    const INVARIANTS: &'static [Invariant<Self>] = invariants::INVARIANTS;
    const FIRST_WITNESS_BIT: usize = witness::CONNECTION_FIRST_BIT;
}
