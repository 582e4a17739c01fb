//! Requests: their properties at arrival, the reasons for rejection, and their outcomes.

use std::time::Duration;

/// Identifies a request. The caller assigns the numbers.
pub type RequestId = u32;

/// The highest urgency. [`Queues::enqueue`](crate::Queues::enqueue) lowers higher values to it.
pub const MAX_URGENCY: u8 = 3;

/// The properties of a request at its arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewRequest {
    /// Unique among the waiting and dispatched requests.
    pub id: RequestId,
    /// Index of the request's team in [`Quotas::teams`](crate::Quotas::teams).
    pub team: usize,
    /// 0 for ordinary requests, up to [`MAX_URGENCY`].
    pub urgency: u8,
    /// Request class. A team queues the requests of each urgency and class separately, so that a request that does
    /// not fit delays only the requests of the same urgency and class.
    pub class: u16,
    /// Expected work, as the time that one core takes for it.
    pub work: Duration,
    /// The request gains one priority level each time it has waited this long.
    pub latency_objective: Duration,
    /// Time from the arrival to the deadline. The request is rejected if its expected wait and work exceed it.
    pub deadline: Duration,
    /// Identity shared by a request and its retries, which are charged as one request.
    pub identity: Option<u64>,
    /// Requests with the same key are dispatched in the order of arrival, even if they belong to different teams.
    pub key: Option<u64>,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The team already has [`Team::max_waiting`](crate::Team::max_waiting) waiting requests.
    QueueFull,
    /// The expected wait and work exceed the deadline.
    DeadlineTooShort,
}

/// The answer to a request that is not accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// Whether the length of the queue or the request's deadline caused the rejection.
    pub reason: RejectReason,
    /// Time until a request with the same properties is expected to be accepted; zero while the service rate is
    /// unknown.
    pub retry_after: Duration,
}

/// The outcome of a dispatched request, which determines its final charge.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The request ran. The measured work, as time of one core, is charged.
    Measured(Duration),
    /// The request may have run, and its work is unknown. The charge made on dispatch stays.
    Unknown,
    /// The request never ran, was cancelled or was rejected. Its charge is refunded.
    Refunded,
}

/// The position of a request in the order of arrival. The sequence number orders arrivals at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) sequence: u64,
}

/// A waiting request. The fields use small integer and float types, because hundreds of thousands of requests may wait.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) arrival: Arrival,
    pub(crate) latency_objective: Duration,
    pub(crate) work: Duration,
    pub(crate) identity: Option<u64>,
    /// The wait estimated at the arrival; `None` if the service rate was unknown.
    pub(crate) estimated_wait_s: Option<f32>,
    pub(crate) team: u32,
    pub(crate) class: u16,
    pub(crate) urgency: u8,
}

/// Largest number of priority levels that a request gains by urgency and age together. Each level moves the team ahead
/// by the work of one request, so this maximum bounds the service that a team gets beyond its share.
const MAX_PRIORITY_LEVELS: u32 = 4;

impl WaitingRequest {
    pub(crate) fn team(&self) -> usize {
        self.team as usize
    }

    /// Returns the number of priority levels gained by `now`, and the time at which the next level is gained; `None`
    /// once the maximum is reached.
    pub(crate) fn priority_levels(&self, now: Duration) -> (u32, Option<Duration>) {
        let waited = now.saturating_sub(self.arrival.at);
        let objective = self.latency_objective.max(Duration::from_nanos(1));
        let levels_by_age = (waited.as_nanos() / objective.as_nanos()).min(MAX_PRIORITY_LEVELS.into()) as u32;
        let urgency = u32::from(self.urgency);
        let levels = (urgency + levels_by_age).min(MAX_PRIORITY_LEVELS);
        let next_level_at = || self.arrival.at + objective * (levels_by_age + 1);
        (levels, (levels < MAX_PRIORITY_LEVELS).then(next_level_at))
    }
}

/// A dispatched request that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct DispatchedRequest {
    pub(crate) request: WaitingRequest,
    /// Work charged on dispatch.
    pub(crate) charged_s: f64,
}
