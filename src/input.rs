//! What the scheduler is told: the settings that it is built from, and the events that its callers report.

use crate::{EngineId, KeyId, RequestId};
use std::time::Duration;

/// What is known at start of the engines and of the routers in front of them.
pub struct Fleet {
    /// Seeds all chance.
    pub seed: u64,
    /// Routers that share the engines without knowing each other's requests.
    pub router_count: usize,
    /// The location of this router, which near ties go to.
    pub home_location: usize,
    /// The kinds of engines, by [`Endpoint::kind`].
    pub kinds: Vec<EngineKind>,
    /// Largest grant, as a part of an engine's memory.
    pub max_grant_share: f64,
    /// Whether engines heed the priority named by [`Actions::set_terms`](crate::Actions::set_terms).
    pub honors_priorities: bool,
    /// Whether an attempt gets what is left where memory is short.
    pub shrinks_grants: bool,
    /// How often an engine sends a [`ProgressUpdate`] of each attempt; `None` where it sends none.
    pub progress_interval: Option<Duration>,
    /// Whether engines tell their load only when they are probed.
    pub reports_only_on_probe: bool,
    /// Whether changes of the endpoint list come only after [`Actions::watch`](crate::Actions::watch).
    pub polls_endpoint_list: bool,
    /// Time that a message and its handling may take: the unit of all margins.
    pub tick: Duration,
}

/// The size of one kind of engine.
pub struct EngineKind {
    /// Cores of one engine.
    pub cores: f64,
    /// Memory of one engine in MB.
    pub memory_mb: f64,
}

/// What is known at start of one class of requests.
pub struct RequestClass {
    /// A request is on time when it is answered within this and `objective_stretch` times its ideal run.
    pub latency_objective: Duration,
    /// See `latency_objective`.
    pub objective_stretch: f64,
    /// The usual deadline, counted from the arrival.
    pub deadline: Duration,
    /// What a request that is answered on time is worth.
    pub priority_weight: f64,
    /// Part of the weight that a late answer still earns.
    pub late_share: f64,
    /// Whether another attempt does harm.
    pub effect: Effect,
    /// Whether requests of one key run one at a time in the order of arrival.
    pub keeps_order: bool,
    /// Engine kinds that it may run on; `None` for all.
    pub kinds: Option<Vec<usize>>,
    /// Locations that it may run in; `None` for all.
    pub locations: Option<Vec<usize>>,
    /// Cores that a request keeps busy while it runs.
    pub threads: f64,
    /// Whether its requests are loads, which keep readers of their group waiting on that engine.
    pub is_bulk_load: bool,
    /// Whether its requests wait for a load of their group on the same engine.
    pub waits_for_bulk_loads: bool,
}

/// What running a request twice does.
pub enum Effect {
    /// Nothing: it may run any number of times.
    Idempotent,
    /// Nothing, as long as the engines in `scope` drop repeats: for `window` from the first attempt.
    IdempotentWithKey {
        /// The engines that know of each other's requests.
        scope: KeyScope,
        /// How long they remember a request.
        window: Duration,
    },
    /// Harm: it must not run twice.
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

/// What binds every attempt; an absent figure leaves its rule idle.
pub struct AttemptLimits {
    /// Attempts of one request, the first included.
    pub max_attempts: usize,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether engines may be probed for their load.
    pub may_probe: bool,
    /// Part of its capacity that an engine has at its start.
    pub start_capacity: f64,
    /// Time from an engine's start until it has all of its capacity.
    pub warm_up: Duration,
    /// Load in any `overload_window`, as a multiple of capacity, that a warming engine withstands.
    pub overload_factor: f64,
    /// See `overload_factor`.
    pub overload_window: Duration,
    /// Pause for a key's other requests after an attempt that may still run.
    pub key_cooldown: Option<Duration>,
    /// Bound on the attempts beyond each request's first.
    pub retry_budget: Option<RetryBudget>,
    /// Longest `retry_after` that a rejection may name; `None` where none is named.
    pub max_retry_after: Option<Duration>,
}

/// Bound on the attempts beyond each request's first, over a sliding window.
pub struct RetryBudget {
    /// Retries that are allowed however few requests arrive.
    pub min_retries: f64,
    /// Retries allowed for each request that arrived in the window.
    pub per_request: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Which rows an update of the endpoint list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// All endpoints: an engine without a row is gone.
    FullList,
    /// Those that changed.
    Changes,
}

/// What may be sent to an engine, as the endpoint list tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lifecycle {
    /// It takes requests.
    Ready,
    /// It ends what it runs and takes nothing new.
    Draining,
    /// It takes requests until it has none in flight, and is gone then.
    Retiring,
    /// It takes nothing new and will not come back under this number once it is forgotten.
    Removed,
}

impl Lifecycle {
    /// Whether requests may be sent there.
    pub fn accepts_requests(self) -> bool {
        matches!(self, Self::Ready | Self::Retiring)
    }

    /// Whether the engine is forgotten once nothing of it is in flight.
    pub fn is_deregistered(self) -> bool {
        matches!(self, Self::Retiring | Self::Removed)
    }
}

/// One row of the endpoint list.
pub struct Endpoint {
    /// The engine that it tells of.
    pub engine: EngineId,
    /// Index of its location.
    pub location: usize,
    /// Index into [`Fleet::kinds`].
    pub kind: usize,
    /// The cell whose engines drop each other's repeats.
    pub cell: u64,
    /// What may be sent there.
    pub lifecycle: Lifecycle,
    /// When it last started; `None` where that is not told.
    pub launched: Option<Duration>,
}

/// A request as it arrives; what is not told is absent.
#[derive(Clone)]
pub struct Arrival {
    /// Its number.
    pub request: RequestId,
    /// Index into the request classes.
    pub class: usize,
    /// Its key, which counts where the class keeps order.
    pub key: Option<KeyId>,
    /// The client's estimate of the work, as one core's time.
    pub cost: Option<Duration>,
    /// The client's estimate of the memory in MB.
    pub memory_mb: Option<f64>,
    /// How long the client waits, counted from when the request came, `waited` ago.
    pub deadline: Duration,
    /// How long it has been queued before it is accepted.
    pub waited: Duration,
    /// Whether the client tried before, where clients tell.
    pub is_retry: Option<bool>,
    /// The group of data that it reads or loads.
    pub group: Option<u64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The engine answered with a result.
    Succeeded,
    /// The engine answered with an error of its own.
    Failed,
    /// The engine refused it for lack of capacity: it never ran.
    Overloaded,
    /// No answer came in time: it may still run.
    TimedOut,
    /// It could not be delivered: it never ran.
    Unreachable,
    /// The connection broke before the answer: it may still run.
    Broken,
    /// It was cancelled: it may still run.
    Cancelled,
    /// It was taken back before it was delivered: it never ran.
    NotSent,
}

/// The end of an attempt.
#[derive(Clone)]
pub struct AttemptEnded {
    /// Its request.
    pub request: RequestId,
    /// Its place among the request's attempts, from 0.
    pub attempt: usize,
    /// Where it was sent.
    pub engine: EngineId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time from when it was sent.
    pub elapsed: Duration,
    /// What it was billed, where the answer tells.
    pub usage: Option<Usage>,
    /// The load that the answer reports.
    pub load_report: Option<LoadReport>,
    /// Whether the request was answered, now or before.
    pub request_done: bool,
}

/// The load that an engine reports about itself; parts are of 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Part of its cores in use.
    pub busy: Option<f64>,
    /// Requests that it runs or queues.
    pub in_flight: Option<f64>,
    /// Of these, requests that wait for memory.
    pub waiting: Option<f64>,
    /// Part of its memory that is granted.
    pub memory: Option<f64>,
    /// Part of its disks in use.
    pub disks: Option<f64>,
}

/// What a finished attempt is billed.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Work, as one core's time.
    pub cost: Duration,
    /// Most memory that it needed, in MB.
    pub memory_mb: f64,
}

/// What an engine tells of an attempt that it has not answered yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressUpdate {
    /// It goes on; nothing more is told.
    Running,
    /// This part of it is done.
    Fraction(f64),
    /// It spills to disk for want of this many MB.
    Spilling(f64),
    /// It waits for memory.
    WaitingForMemory,
    /// It waits for a load of its group.
    WaitingForLoad,
}
