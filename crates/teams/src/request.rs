//! Requests of the queues: their properties at arrival, the reasons of rejection, and their outcomes.

use std::time::Duration;

/// The number of a request, assigned by the caller.
pub type RequestId = u32;

/// The highest urgency. Higher values are lowered to it.
pub const MAX_URGENCY: u8 = 3;

/// A request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewRequest {
    /// The request's number, unique among the waiting and dispatched requests.
    pub request: RequestId,
    /// Index of the request's team in the quotas.
    pub team: usize,
    /// From 0 for ordinary requests up to [`MAX_URGENCY`].
    pub urgency: u8,
    /// The request class.
    pub class: u16,
    /// Expected work, as time of one core.
    pub work: Duration,
    /// Latency objective. The request gains one priority level each time it has waited that long.
    pub latency_objective: Duration,
    /// Time from the arrival to the deadline. The request is rejected if its expected wait and work exceed it.
    pub deadline: Duration,
    /// Identity shared by a request and its retries, which are charged as one request.
    pub identity: Option<u64>,
    /// Key of requests that are dispatched in the order of arrival, across teams.
    pub key: Option<u64>,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The team has the largest number of waiting requests already.
    QueueFull,
    /// The expected wait and work exceed the deadline.
    DeadlineTooShort,
}

/// The rejection of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// The reason.
    pub reason: RejectReason,
    /// Time until a request like this one is expected to be accepted.
    pub retry_after: Duration,
}

/// The outcome of a dispatched request, which decides its final charge.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The request ran, and its work was measured: that work is charged.
    Measured(Duration),
    /// The request may have run, and its work is unknown: the expected work stays charged.
    Unknown,
    /// The request never ran, was cancelled or was rejected: its charge is refunded.
    Refunded,
}

/// The order of arrival: the time, and a sequence number for arrivals at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) sequence: u64,
}

/// A waiting request. Its fields are narrow, because hundreds of thousands of requests may wait.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) arrival: Arrival,
    pub(crate) latency_objective: Duration,
    pub(crate) work: Duration,
    pub(crate) identity: Option<u64>,
    /// The wait estimated at the arrival, in seconds.
    pub(crate) estimated_wait: Option<f32>,
    pub(crate) team: u32,
    pub(crate) class: u16,
    pub(crate) urgency: u8,
}

/// Largest number of priority levels that a request gains by urgency and age together. It bounds a team's lead over its
/// share: each level is worth the work of one request.
const MAX_PRIORITY_GAIN: u32 = 4;

impl WaitingRequest {
    pub(crate) fn team(&self) -> usize {
        self.team as usize
    }

    /// Returns the priority levels gained by `now`, and the time of the next gain unless the request has them all.
    pub(crate) fn priority_gain(&self, now: Duration) -> (u32, Option<Duration>) {
        let waited = now.saturating_sub(self.arrival.at);
        let objective = self.latency_objective.max(Duration::from_nanos(1));
        let by_age = (waited.as_nanos() / objective.as_nanos()).min(MAX_PRIORITY_GAIN.into()) as u32;
        let urgency = u32::from(self.urgency);
        let gain = (urgency + by_age).min(MAX_PRIORITY_GAIN);
        let next_gain = || self.arrival.at + objective * (by_age + 1);
        (gain, (gain < MAX_PRIORITY_GAIN).then(next_gain))
    }
}

/// A dispatched request that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct DispatchedRequest {
    pub(crate) request: WaitingRequest,
    /// Seconds of work charged on dispatch.
    pub(crate) charged: f64,
}
