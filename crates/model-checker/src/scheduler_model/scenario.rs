//! The definition of a scenario of the scheduler model.

use crate::trace;
use emberflow::{AttemptLimits, AttemptOutcome, Fleet, KeyId, LoadReport, ProgressUpdate, RequestClass};
use std::time::Duration;

/// A change to the settings of the small trace tests, with its source text, which a counterexample prints.
pub struct Setup {
    /// The source text of the body of `change`, in braces.
    pub text: &'static str,
    /// Changes the settings before the run.
    pub change: fn(&mut Fleet, &mut Vec<RequestClass>, &mut AttemptLimits),
}

/// Returns a `Setup` with a closure and the source text of its body.
///
/// A counterexample contains the source text, so the body may use only items that tests in `tests/traces/` can use.
#[macro_export]
macro_rules! setup {
    (|$fleet:ident, $classes:ident, $attempt_limits:ident| $body:block) => {
        $crate::scheduler_model::scenario::Setup {
            text: stringify!($body),
            change: |$fleet: &mut emberflow::Fleet,
                     $classes: &mut Vec<emberflow::RequestClass>,
                     $attempt_limits: &mut emberflow::AttemptLimits| {
                let _ = (&mut *$fleet, &mut *$classes, &mut *$attempt_limits);
                $body
            },
        }
    };
}

/// The location and the cell of an engine.
#[derive(Clone, Copy)]
pub struct EngineSpec {
    /// Index of the engine's location.
    pub location: usize,
    /// The engine's cell. Engines of one cell know one another's idempotency keys.
    pub cell: u64,
}

/// The index of the class of idempotent requests in the settings of the small trace tests.
pub const IDEMPOTENT: usize = 0;
/// The index of the class with idempotency keys that are known within a cell.
pub const IDEMPOTENCY_KEY_IN_CELL: usize = 1;
/// The index of the class with idempotency keys that are known within a location.
pub const IDEMPOTENCY_KEY_IN_LOCATION: usize = 2;
/// The index of the class with idempotency keys that every engine knows.
pub const IDEMPOTENCY_KEY_EVERYWHERE: usize = 3;
/// The index of the class of non-idempotent requests.
pub const NON_IDEMPOTENT: usize = 4;
/// The estimated work of a request, in milliseconds on one core.
const WORK_MS: u64 = 20;
/// The estimated memory of a request, in MB.
const MEMORY_MB: f64 = 300.0;
const MS_PER_SECOND: f64 = 1e3;

/// A request that may arrive.
#[derive(Clone, Copy)]
pub struct RequestSpec {
    /// The index of the request class in the settings.
    pub class: usize,
    /// The key of requests that are executed in order; `None` for a request without an order.
    pub key: Option<KeyId>,
    /// The estimated work, in milliseconds on one core; 0 for no estimate.
    pub work_ms: u64,
    /// The estimated memory, in MB; 0 for no estimate.
    pub memory_mb: f64,
}

impl RequestSpec {
    /// Returns the estimated work, in seconds on one core.
    pub fn work_seconds(&self) -> f64 {
        self.work_ms as f64 / MS_PER_SECOND
    }
}

/// A change of an engine that the endpoint list reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointChange {
    /// The engine is draining: no new attempt may be sent to it.
    Drains,
    /// The engine was removed from the list.
    Removed,
    /// The engine is ready again after draining.
    Returns,
    /// The engine's process was restarted.
    Restarts,
}

/// A scenario of the scheduler model: its requests and engines, and the transitions that are possible.
pub struct SchedulerScenario {
    /// The name on the command line and in tests.
    pub name: &'static str,
    /// The description that the command `scenarios` prints.
    pub description: &'static str,
    /// The change to the settings of the small trace tests.
    pub setup: Setup,
    /// The location and cell of each engine, indexed by the engine's id.
    pub engines: &'static [EngineSpec],
    /// The kind of each engine, indexed by the engine's id; engines without an entry have the first kind.
    pub kinds: &'static [usize],
    /// The requests in the order of arrival. Each may arrive at any time.
    pub requests: &'static [RequestSpec],
    /// The outcomes that an attempt may have. An attempt that was cancelled, whose request is answered or that has
    /// timed out has other outcomes.
    pub outcomes: &'static [AttemptOutcome],
    /// The progress updates that an engine may send.
    pub progress_updates: &'static [ProgressUpdate],
    /// Largest number of progress updates of an attempt.
    pub max_progress_updates: u8,
    /// Largest number of changes and failures of the endpoint list.
    pub max_endpoint_changes: u8,
    /// Largest number of clients that disconnect.
    pub max_departures: u8,
    /// The changes that the endpoint list may report.
    pub endpoint_changes: &'static [EndpointChange],
    /// Whether the endpoint list may fail or be empty.
    pub list_may_fail: bool,
    /// Whether the process may shut down.
    pub shuts_down: bool,
    /// The load report in every answer.
    pub load_report: Option<LoadReport>,
    /// Largest time by which a wake-up may be late.
    pub wake_up_delay: Duration,
    /// Whether the clock also stops 1 ms before, at and 1 ms after the end of each latency objective.
    pub visits_latency_objective: bool,
    /// Whether states that differ only in the ids of equal engines count as one state. Must be `false` if the
    /// scheduler's choices depend on the order of engines.
    pub interchangeable_engines: bool,
    /// Number of transitions from the initial state at which states are no longer expanded; `None` for no limit.
    pub max_depth: Option<usize>,
    /// Whether the option `--short` selects the scenario.
    pub in_short_set: bool,
}

/// All outcomes that an attempt may have unless it was cancelled.
pub const ALL_OUTCOMES: &[AttemptOutcome] = &[
    AttemptOutcome::Succeeded,
    AttemptOutcome::Failed,
    AttemptOutcome::Overloaded,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Unreachable,
    AttemptOutcome::Broken,
    AttemptOutcome::NotSent,
];

impl SchedulerScenario {
    /// One idempotent request at one engine, with every outcome of its attempts and no other transition.
    pub const BASE: SchedulerScenario = SchedulerScenario {
        name: "base",
        description: "one idempotent request at one engine",
        setup: setup!(|fleet, classes, attempt_limits| {}),
        engines: &[engine(0, 0)],
        kinds: &[0],
        requests: &[request(IDEMPOTENT)],
        outcomes: ALL_OUTCOMES,
        progress_updates: &[],
        max_progress_updates: 0,
        max_endpoint_changes: 0,
        max_departures: 0,
        endpoint_changes: &[],
        list_may_fail: false,
        shuts_down: false,
        load_report: None,
        wake_up_delay: Duration::ZERO,
        visits_latency_objective: false,
        interchangeable_engines: true,
        max_depth: None,
        in_short_set: true,
    };

    /// Returns the settings of the scheduler: those of the small trace tests, changed by [`SchedulerScenario::setup`].
    pub fn settings(&self) -> (Fleet, Vec<RequestClass>, AttemptLimits) {
        let (mut fleet, mut classes, mut attempt_limits) = trace::small();
        (self.setup.change)(&mut fleet, &mut classes, &mut attempt_limits);
        (fleet, classes, attempt_limits)
    }
}

/// Returns an engine in the location with this index and the cell with this number.
pub const fn engine(location: usize, cell: u64) -> EngineSpec {
    EngineSpec { location, cell }
}

/// Returns a request of a class, without an ordering key.
pub const fn request(class: usize) -> RequestSpec {
    RequestSpec { class, key: None, work_ms: WORK_MS, memory_mb: MEMORY_MB }
}

/// Returns a request of a class with an ordering key. The key has an effect only if the class keeps order.
pub const fn request_of_key(class: usize, key: u32) -> RequestSpec {
    RequestSpec { key: Some(KeyId(key)), ..request(class) }
}
