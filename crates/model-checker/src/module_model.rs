//! The scheduling module alone: requests, endpoint changes, progress notes and wake-ups in every order.
//!
//! The scheduler inside is the real one. What the environment observes is recorded beside it, and the invariants rely
//! on that record alone.

pub mod apply;
pub mod counterexample;
pub mod event;
pub mod invariants;
pub mod scenario;
pub mod scenarios;
pub mod state;
pub mod transition;

use crate::invariants::{self as observed, Invariant, ObservedModel};
use crate::search::Model;
use crate::witness;
use emberflow::{Arrival, AttemptLimits, Effect, EngineId, Fleet, RequestClass, RequestId};
use event::Event;
use scenario::Scenario;
use state::ModuleState;
use std::ops::Deref;
use std::time::Duration;
use transition::Transition;

/// Ticks before a deadline by which a final answer must be on its way.
const MARGIN_TICKS: u32 = 4;

/// A scenario together with the settings that the scheduler starts with.
pub struct ModuleModel {
    /// The row of the table of scenarios.
    pub scenario: &'static Scenario,
    /// The scheduler's settings of the fleet.
    pub fleet: Fleet,
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// The scheduler's limits of every attempt.
    pub attempt_limits: AttemptLimits,
}

impl Deref for ModuleModel {
    type Target = Scenario;

    fn deref(&self) -> &Scenario {
        self.scenario
    }
}

impl ModuleModel {
    /// The model of a scenario.
    pub fn new(scenario: &'static Scenario) -> Self {
        let (fleet, classes, attempt_limits) = scenario.settings();
        Self { scenario, fleet, classes, attempt_limits }
    }

    /// The kind of an engine; the first where the scenario names none.
    pub fn kind(&self, engine: EngineId) -> usize {
        self.kinds.get(engine.index()).copied().unwrap_or(0)
    }

    /// The class of a request.
    pub fn class_of(&self, request: RequestId) -> &RequestClass {
        &self.classes[self.requests[request.index()].class]
    }

    /// The time before a deadline by which a final answer must be on its way.
    pub fn margin(&self) -> Duration {
        self.fleet.tick * MARGIN_TICKS
    }

    /// How long engines remember the key of a request that is idempotent with a key.
    pub fn retry_window(&self, request: RequestId) -> Option<Duration> {
        match &self.class_of(request).effect {
            Effect::IdempotentWithKey { window, .. } => Some(*window),
            _ => None,
        }
    }

    /// The arrival of the request with this position in the scenario.
    pub fn arrival(&self, position: usize) -> Arrival {
        let request = &self.requests[position];
        Arrival {
            request: RequestId::from_index(position),
            class: request.class,
            key: request.key,
            cost: (request.cost_ms > 0).then(|| Duration::from_millis(request.cost_ms)),
            memory_mb: (request.memory_mb > 0.0).then_some(request.memory_mb),
            deadline: self.classes[request.class].deadline,
            waited: Duration::ZERO,
            is_retry: None,
            group: None,
        }
    }
}

impl Model for ModuleModel {
    type State = ModuleState;
    type Transition = Transition;

    fn initial_state(&self) -> ModuleState {
        apply::initial_state(self)
    }

    fn transitions(&self, state: &ModuleState, transitions: &mut Vec<Transition>) {
        transition::append_enabled(self, state, transitions);
    }

    fn apply(&self, state: &ModuleState, transition: &Transition) -> ModuleState {
        apply::apply(self, state, *transition)
    }

    fn fingerprint(&self, state: &ModuleState) -> u64 {
        state.fingerprint
    }

    fn violated(&self, state: &ModuleState, is_terminal: bool) -> Option<&'static str> {
        let at_end = || observed::first_violated(self, state, &Event::Terminal);
        state.violated.or_else(|| is_terminal.then(at_end).flatten())
    }
}

impl ObservedModel for ModuleModel {
    type Event = Event;
    const INVARIANTS: &'static [Invariant<Self>] = invariants::INVARIANTS;
    const FIRST_WITNESS_BIT: usize = witness::MODULE;
}
