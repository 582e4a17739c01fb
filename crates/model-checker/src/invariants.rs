//! The common part of all models: events of the system under test, and invariants over them.
//!
//! An invariant examines the state before an event and decides whether the event violates it. It relies on the records of
//! the environment and not on the state of the system under test.

use crate::search::Model;
use crate::witness;

/// A property that must hold at every event of a model.
pub struct Invariant<M: ObservedModel> {
    /// A short name, which is unique among all models.
    pub name: &'static str,
    /// The property in one sentence.
    pub description: &'static str,
    /// Whether the event violates the property in the state before it.
    pub is_violated: fn(&M, &M::State, &M::Event) -> bool,
}

/// A model whose system under test is checked by its observable events.
pub trait ObservedModel: Model + Sized + 'static {
    /// An observable action of the system under test, the passing of time, or the end of a run.
    type Event;
    /// All invariants of the model.
    const INVARIANTS: &'static [Invariant<Self>];
    /// The position of the first invariant's bit in the record of exercised invariants.
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

/// Records the invariants that hypothetical events would violate in a state. An event counts only if it violates exactly
/// one invariant.
///
/// The events are computed only while some invariant of the model has not been exercised.
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
