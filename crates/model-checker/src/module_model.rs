//! The module model: the scheduler alone, with requests, endpoint changes, progress updates and wake-ups in every order.
//!
//! The model runs the router's scheduler and records the observations of its environment. The invariants rely on these
//! records alone.

pub mod apply;
pub mod counterexample;
pub mod effects;
pub mod event;
pub mod inputs;
pub mod invariants;
pub mod scenario;
pub mod scenarios;
pub mod state;
pub mod transition;

use crate::invariants::{self as observed, Invariant, ObservedModel};
use crate::search::Model;
use crate::witness;
use emberflow::{Arrival, AttemptLimits, EngineId, Fleet, Idempotency, RequestClass, RequestId};
use event::Event;
use scenario::Scenario;
use state::ModuleState;
use std::ops::Deref;
use std::time::Duration;
use transition::Transition;

/// Ticks from the latest time of a final answer to the deadline.
const FINAL_ANSWER_LEAD_TICKS: u32 = 4;

/// A scenario together with the initial settings of the scheduler.
pub struct ModuleModel {
    /// The scenario.
    pub scenario: &'static Scenario,
    /// The scheduler's settings of the fleet.
    pub fleet: Fleet,
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// The scheduler's limits of attempts.
    pub attempt_limits: AttemptLimits,
}

impl Deref for ModuleModel {
    type Target = Scenario;

    fn deref(&self) -> &Scenario {
        self.scenario
    }
}

impl ModuleModel {
    /// Returns the model of a scenario.
    pub fn new(scenario: &'static Scenario) -> Self {
        let (fleet, classes, attempt_limits) = scenario.settings();
        Self { scenario, fleet, classes, attempt_limits }
    }

    /// Returns the kind of an engine; the first kind if the scenario names none.
    pub fn kind(&self, engine: EngineId) -> usize {
        self.kinds.get(engine.index()).copied().unwrap_or(0)
    }

    /// Returns the class of a request.
    pub fn class_of(&self, request: RequestId) -> &RequestClass {
        &self.classes[self.requests[request.index()].class]
    }

    /// Returns the time from the latest time of a final answer to the deadline.
    pub fn final_answer_lead(&self) -> Duration {
        self.fleet.tick * FINAL_ANSWER_LEAD_TICKS
    }

    /// Returns the time for which engines remember the idempotency key of a request; `None` without a key.
    pub fn retry_window(&self, request: RequestId) -> Option<Duration> {
        match &self.class_of(request).idempotency {
            Idempotency::IdempotentWithKey { window, .. } => Some(*window),
            _ => None,
        }
    }

    /// Returns the arrival of the request with this index in the scenario.
    pub fn arrival(&self, index: usize) -> Arrival {
        let request = &self.requests[index];
        Arrival {
            request: RequestId::from_index(index),
            class: request.class,
            key: request.key,
            estimated_work: (request.work_ms > 0).then(|| Duration::from_millis(request.work_ms)),
            estimated_memory_mb: (request.memory_mb > 0.0).then_some(request.memory_mb),
            deadline: self.classes[request.class].deadline,
            queue_time: Duration::ZERO,
            is_retry: None,
            table_group: None,
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
