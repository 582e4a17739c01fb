//! The events that callers report to the scheduler.

use crate::{EngineId, KeyId, RequestId};
use std::time::Duration;

/// The kind of an update of the endpoint list: which rows the update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// All endpoints. An engine without a row is removed.
    FullList,
    /// Only the endpoints that are new or have changed.
    Changes,
}

/// The state of an engine in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lifecycle {
    /// The engine accepts requests.
    Ready,
    /// The engine finishes its attempts in flight and accepts no new ones.
    Draining,
    /// The engine accepts requests until it has none in flight, and is then removed.
    Retiring,
    /// The engine accepts no requests. Once it is forgotten, its number may be given to another engine.
    Removed,
}

impl Lifecycle {
    /// Returns whether requests may be sent to the engine.
    pub fn accepts_requests(self) -> bool {
        matches!(self, Self::Ready | Self::Retiring)
    }

    /// Returns whether the engine is forgotten once no request refers to it.
    pub fn is_deregistered(self) -> bool {
        matches!(self, Self::Retiring | Self::Removed)
    }
}

/// One row of the endpoint list.
pub struct Endpoint {
    /// The engine that the row describes.
    pub engine: EngineId,
    /// Index of the engine's location.
    pub location: usize,
    /// Index into [`Fleet::kinds`](crate::Fleet::kinds).
    pub kind: usize,
    /// The cell of the engine. The engines of one cell drop each other's repeats of a request with an idempotency
    /// key.
    pub cell: u64,
    /// Whether the engine accepts requests, and whether it is about to be removed.
    pub lifecycle: Lifecycle,
    /// Time of the engine's last start; `None` if the list does not contain it.
    pub launched_at: Option<Duration>,
}

/// A request that arrives.
#[derive(Clone)]
pub struct Arrival {
    /// The id of the request, higher than that of all earlier requests.
    pub request: RequestId,
    /// Index into the request classes.
    pub class: usize,
    /// The ordering key, which is ignored unless the class keeps order.
    pub key: Option<KeyId>,
    /// The client's estimate of the work, as time on one core; `None` if the client gave none.
    pub estimated_work: Option<Duration>,
    /// The client's estimate of the memory in MB; `None` if the client gave none.
    pub estimated_memory_mb: Option<f64>,
    /// Time that the client waits for the answer, counted from the arrival, which was `queue_time` ago.
    pub deadline: Duration,
    /// Time from the arrival of the request until the scheduler accepts it.
    pub queue_time: Duration,
    /// Whether the request is a client's retry of an earlier request; `None` if clients do not mark retries.
    pub is_retry: Option<bool>,
    /// The group of tables that the request reads or loads; `None` if the client names none.
    pub table_group: Option<u64>,
}

/// A condition of an attempt that the scheduler has checked when it decided on the attempt, and that may no longer hold
/// when the attempt is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendCondition {
    /// The attempt has time left.
    Deadline,
    /// The engines remember the request's idempotency key until the attempt arrives.
    KeyWindow,
    /// The endpoint list allows the attempt at its engine: by the engine's lifecycle, location, kind and cell.
    Placement,
    /// The retry is within the budget of retries of all requests.
    RetryBudget,
    /// The attempt fits into the slow-start budget of its engine.
    SlowStart,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Hash)]
pub enum AttemptOutcome {
    /// The engine answered with a result.
    Succeeded,
    /// The engine answered with an error.
    Failed,
    /// The engine rejected the attempt for lack of capacity. The attempt never ran.
    Overloaded,
    /// No answer arrived in time. The attempt may still run.
    TimedOut,
    /// The attempt could not be delivered. It never ran.
    Unreachable,
    /// The connection broke before the answer. The attempt may still run.
    Broken,
    /// The attempt was cancelled after it was sent. It may still run.
    Cancelled,
    /// The attempt was cancelled before it was sent. It never ran.
    NotSent,
    /// The attempt was not sent, or not completely, because this condition no longer held when it was to be written. It
    /// never ran.
    Lapsed(SendCondition),
}

impl AttemptOutcome {
    /// Returns whether the engine may have run the attempt, at least in part.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Overloaded | Self::Unreachable | Self::NotSent | Self::Lapsed(_))
    }
}

/// The end of an attempt, with the usage and the load that the engine reported in its answer.
#[derive(Clone)]
pub struct AttemptEnded {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Index of the attempt among the request's attempts, from 0.
    pub attempt: usize,
    /// The engine that the attempt was sent to.
    pub engine: EngineId,
    /// How the attempt ended, and therefore whether it may have run.
    pub outcome: AttemptOutcome,
    /// Time since the attempt was sent.
    pub elapsed: Duration,
    /// The resources that the attempt used; `None` if the answer does not contain them.
    pub usage: Option<Usage>,
    /// The load report in the answer; `None` if there was no answer or no report in it.
    pub load_report: Option<LoadReport>,
    /// Whether the request is answered, by this attempt or earlier.
    pub request_done: bool,
}

/// The load that an engine reports about itself. Fractions are from 0 to 1; `None` if the report lacks a figure.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Fraction of the cores in use.
    pub core_utilization: Option<f64>,
    /// Number of requests that the engine runs or queues.
    pub in_flight: Option<f64>,
    /// Number of requests among these that wait for memory.
    pub waiting_for_memory: Option<f64>,
    /// Fraction of the memory that is granted to requests.
    pub memory_utilization: Option<f64>,
    /// Fraction of the disks in use.
    pub disk_utilization: Option<f64>,
}

/// The resources that a finished attempt used, as the engine reports them.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Work, as time on one core.
    pub work: Duration,
    /// Peak memory in MB.
    pub memory_mb: f64,
}

/// The progress that an engine reports for an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressUpdate {
    /// The attempt is in progress.
    Running,
    /// This fraction of the attempt is done.
    Fraction(f64),
    /// The attempt spills to disk because it is short of this many MB.
    Spilling(f64),
    /// The attempt waits for memory.
    WaitingForMemory,
    /// The attempt waits for a bulk load of its table group.
    WaitingForBulkLoad,
}
