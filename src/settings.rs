//! The settings that a scheduler is built from.

use std::time::Duration;

/// The engines, and the routers in front of them, as far as they are known when the router starts.
pub struct Fleet {
    /// Seed of all random choices. Routers in front of the same engines should have different seeds, so that
    /// their choices differ.
    pub seed: u64,
    /// Number of routers that share the engines. No router knows the requests of the others.
    pub router_count: usize,
    /// Index of this router's location. Among engines that are about equally free, those in this location are
    /// preferred.
    pub home_location: usize,
    /// The kinds of engines, indexed by [`Endpoint::kind`](crate::Endpoint::kind).
    pub kinds: Vec<EngineKind>,
    /// Largest memory grant, as a fraction of the engine's memory.
    pub max_grant_fraction: f64,
    /// Whether engines honor the priority that
    /// [`Actions::set_grant_and_priority`](crate::Actions::set_grant_and_priority) sets.
    pub honors_priorities: bool,
    /// Whether an engine that is short of memory cuts an attempt's grant down to its free memory.
    pub shrinks_grants: bool,
    /// Interval between progress updates of one attempt; `None` if engines send none.
    pub progress_interval: Option<Duration>,
    /// Whether engines report their load only in answer to a probe.
    pub reports_only_on_probe: bool,
    /// Whether changes of the endpoint list arrive only after
    /// [`Actions::watch_endpoints`](crate::Actions::watch_endpoints).
    pub must_watch_endpoints: bool,
    /// Upper bound on the time to deliver and handle one message; all safety margins are multiples of it.
    pub tick: Duration,
}

/// The size of the engines of one kind.
pub struct EngineKind {
    /// Number of cores of one engine.
    pub cores: f64,
    /// Memory of one engine in MB.
    pub memory_mb: f64,
}

/// The settings that all requests of one class share.
pub struct RequestClass {
    /// Fixed part of the latency objective, counted from the arrival.
    pub latency_objective: Duration,
    /// Variable part of the latency objective, as a multiple of the request's ideal run.
    pub objective_stretch: f64,
    /// The usual deadline of a request, counted from the arrival. The scheduler does not read it; it uses the
    /// deadline that each arrival contains.
    pub deadline: Duration,
    /// Priority weight of a request that is answered within its latency objective, relative to other classes.
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer after the latency objective is still worth.
    pub late_weight_fraction: f64,
    /// Whether a request of the class may run more than once.
    pub idempotency: Idempotency,
    /// Whether requests of one key run one at a time, in the order of arrival.
    pub keeps_order: bool,
    /// Indices of the engine kinds that requests of the class may run on; `None` for all.
    pub kinds: Option<Vec<usize>>,
    /// Indices of the locations that requests of the class may run in; `None` for all.
    pub locations: Option<Vec<usize>>,
    /// Number of cores that a request keeps busy while it runs.
    pub threads: f64,
    /// Whether requests of the class are bulk loads. A bulk load blocks readers of its table group on its engine.
    pub is_bulk_load: bool,
    /// Whether requests of the class are blocked by a bulk load of the same table group on the same engine.
    pub waits_for_bulk_loads: bool,
}

/// Whether a request may run more than once.
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// The request may be repeated with the same idempotency key: the engines in `scope` drop repeats for `window`,
    /// counted from the first attempt.
    IdempotentWithKey {
        /// The engines that drop each other's repeats.
        scope: KeyScope,
        /// How long an engine remembers the key.
        window: Duration,
    },
    /// The request must not run twice.
    NonIdempotent,
}

/// The engines that drop each other's repeats of a request with an idempotency key.
#[derive(PartialEq)]
pub enum KeyScope {
    /// All engines.
    All,
    /// The engines of one location.
    Location,
    /// The engines of one cell.
    Cell,
}

/// Limits on attempts, retries and the work that is sent to engines that warm up.
pub struct AttemptLimits {
    /// Maximum number of attempts of one request, including the first.
    pub max_attempts: usize,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether engines may be probed for their load.
    pub may_probe: bool,
    /// Fraction of its capacity that an engine has right after its start.
    pub start_capacity_fraction: f64,
    /// Time from an engine's start until it has its full capacity.
    pub warm_up: Duration,
    /// Load in any `overload_window`, as a multiple of its current capacity, that an engine withstands while it
    /// warms up.
    pub overload_factor: f64,
    /// Length of the sliding window to which `overload_factor` applies.
    pub overload_window: Duration,
    /// Time for which the other requests of an ordering key wait after an attempt that may still run; `None` for no
    /// wait.
    pub key_cooldown: Option<Duration>,
    /// Budget of retries of all requests together; `None` for no limit.
    pub retry_budget: Option<RetryBudget>,
    /// Longest `retry_after` of a rejection; `None` if rejections carry none.
    pub max_retry_after: Option<Duration>,
}

/// Limit on retries over a sliding window.
pub struct RetryBudget {
    /// Number of retries in the window that are allowed even if no request arrives.
    pub min_retries: f64,
    /// Number of additional retries for each request that arrived in the window.
    pub per_request: f64,
    /// Length of the window.
    pub window: Duration,
}
