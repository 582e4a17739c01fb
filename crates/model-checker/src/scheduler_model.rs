//! The scheduler model: the scheduler alone, with requests, endpoint changes, progress updates and wake-ups in every
//! order.
//!
//! The model runs the router's scheduler and records what its environment (clients, engines and the endpoint list)
//! observes. The invariants rely on these records; only the invariant for the end of a run also checks that the
//! scheduler holds no request and no engine.

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

use crate::invariants::{self as shared_invariants, Invariant, ObservedModel};
use crate::search::Model;
use crate::witness;
use emberflow::{Arrival, AttemptLimits, EngineId, Fleet, Idempotency, RequestClass, RequestId};
use event::Event;
use scenario::SchedulerScenario;
use state::SchedulerModelState;
use std::ops::Deref;
use std::time::Duration;
use transition::Transition;

/// Number of scheduler ticks before a deadline by which the final answer must have been sent; the scheduler's margin.
const FINAL_ANSWER_MARGIN_TICKS: u32 = 4;

/// A scenario together with the settings of its scheduler.
pub struct SchedulerModel {
    /// The scenario, from which the other fields are made.
    pub scenario: &'static SchedulerScenario,
    /// The scheduler's settings of the fleet.
    pub fleet: Fleet,
    /// The request classes, indexed by [`scenario::RequestSpec::class`].
    pub classes: Vec<RequestClass>,
    /// The scheduler's limits of attempts, retries and slow start.
    pub attempt_limits: AttemptLimits,
}

impl Deref for SchedulerModel {
    type Target = SchedulerScenario;

    fn deref(&self) -> &SchedulerScenario {
        self.scenario
    }
}

impl SchedulerModel {
    /// Returns the model of a scenario.
    pub fn new(scenario: &'static SchedulerScenario) -> Self {
        let (fleet, classes, attempt_limits) = scenario.settings();
        Self { scenario, fleet, classes, attempt_limits }
    }

    /// Returns the kind of an engine; the first kind if the scenario specifies none.
    pub fn kind(&self, engine: EngineId) -> usize {
        self.kinds.get(engine.index()).copied().unwrap_or(0)
    }

    /// Returns the class of a request, whose id encodes its index in the scenario.
    pub fn class_of(&self, request: RequestId) -> &RequestClass {
        &self.classes[self.requests[request.index()].class]
    }

    /// Returns the time before a deadline by which the final answer must have been sent.
    pub fn final_answer_margin(&self) -> Duration {
        self.fleet.tick * FINAL_ANSWER_MARGIN_TICKS
    }

    /// Returns the time for which engines remember the idempotency key of a request; `None` if its class has no
    /// idempotency keys.
    pub fn idempotency_window(&self, request: RequestId) -> Option<Duration> {
        match &self.class_of(request).idempotency {
            Idempotency::IdempotentWithKey { window, .. } => Some(*window),
            _ => None,
        }
    }

    /// Returns the scheduler's input for the arrival of the request with this index in the scenario.
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

impl Model for SchedulerModel {
    type State = SchedulerModelState;
    type Transition = Transition;

    fn initial_state(&self) -> SchedulerModelState {
        apply::initial_state(self)
    }

    fn transitions(&self, state: &SchedulerModelState, transitions: &mut Vec<Transition>) {
        transition::append_enabled(self, state, transitions);
    }

    fn apply(&self, state: &SchedulerModelState, transition: &Transition) -> SchedulerModelState {
        apply::apply(self, state, *transition)
    }

    fn fingerprint(&self, state: &SchedulerModelState) -> u64 {
        state.fingerprint
    }

    fn violated_invariant(&self, state: &SchedulerModelState, is_terminal: bool) -> Option<&'static str> {
        let at_end = || shared_invariants::first_violated(self, state, &Event::Terminal);
        state.violated_invariant.or_else(|| is_terminal.then(at_end).flatten())
    }
}

impl ObservedModel for SchedulerModel {
    type Event = Event;
    const INVARIANTS: &'static [Invariant<Self>] = invariants::INVARIANTS;
    const FIRST_WITNESS_BIT: usize = witness::SCHEDULER_FIRST_BIT;
}
