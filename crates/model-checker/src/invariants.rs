//! The common part of all models: the observable events of the system under test, and invariants over them.
//!
//! An invariant examines an event and the state before it. It relies on the records of the environment; a few
//! invariants also read the system under test, for example what it holds at the end of a run.

use crate::search::Model;
use crate::witness;

/// A property that must hold at every event of a model.
pub struct Invariant<M: ObservedModel> {
    /// A short name, which is unique among all models.
    pub name: &'static str,
    /// The property that must hold, as the commands print it.
    pub description: &'static str,
    /// Whether the event violates the property in the state before it.
    pub is_violated: fn(&M, &M::State, &M::Event) -> bool,
}

/// A model whose system under test is checked by its observable events.
pub trait ObservedModel: Model + Sized + 'static {
    /// An observable action of the system under test, the passing of time, or the end of a run.
    type Event;
    /// All invariants of the model. If an event violates several, the first is reported.
    const INVARIANTS: &'static [Invariant<Self>];
    /// The first invariant's bit in the record of exercised invariants ([`witness`]); the others have the next bits.
    const FIRST_WITNESS_BIT: usize;
}

/// Returns the name of the first invariant that an event violates.
pub fn first_violated<M: ObservedModel>(
    model: &M,
    state: &M::State,
    event: &M::Event,
) -> Option<&'static str> {
    let violated = M::INVARIANTS.iter().find(|invariant| (invariant.is_violated)(model, state, event));
    violated.map(|invariant| invariant.name)
}

/// Records the invariants that hypothetical events would violate in a state. An event that would violate several
/// invariants is not counted for any of them.
///
/// The events are computed only until every invariant of the model has been exercised.
pub fn record_exercised<M: ObservedModel>(
    model: &M,
    state: &M::State,
    hypothetical_events: impl FnOnce() -> Vec<M::Event>,
) {
    if witness::all_exercised(M::FIRST_WITNESS_BIT, M::INVARIANTS.len()) {
        return;
    }
    for event in hypothetical_events() {
        let violated = M::INVARIANTS.iter().map(|invariant| (invariant.is_violated)(model, state, &event));
        witness::record(M::FIRST_WITNESS_BIT, violated);
    }
}
