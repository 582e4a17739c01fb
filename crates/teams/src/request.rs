//! Requests as the queues see them: what is known at their arrival, why they are rejected, and what they came to.

use std::time::Duration;

/// A request's number, as the caller counts.
pub type RequestId = u32;

/// The highest urgency; a higher one counts as this.
pub const MAX_URGENCY: u8 = 3;

/// A request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewRequest {
    /// Its number; no other waiting or dispatched request has it.
    pub request: RequestId,
    /// Index of its team in the quotas.
    pub team: usize,
    /// 0 for ordinary work, up to [`MAX_URGENCY`].
    pub urgency: u8,
    /// Its request class.
    pub class: u16,
    /// Expected work, as one core's time.
    pub work: Duration,
    /// It gains priority once for each latency objective that it has waited.
    pub latency_objective: Duration,
    /// Time from its arrival within which it has to be done; it is rejected when that can't be met.
    pub deadline: Duration,
    /// The same for a request and its retries, which are charged as one.
    pub identity: Option<u64>,
    /// Requests with one key are dispatched in the order of their arrival, whatever their teams.
    pub key: Option<u64>,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The team has as many waiting requests as it may.
    QueueFull,
    /// The expected wait and work exceed its deadline.
    DeadlineTooShort,
}

/// A request was not accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// Why.
    pub reason: RejectReason,
    /// Time after which such a request would be accepted.
    pub retry_after: Duration,
}

/// What a dispatched request came to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It ran, and its work was measured.
    Measured(Duration),
    /// It may have run, and its work is not known: the expected work stays charged.
    Unknown,
    /// It never ran, was cancelled or was rejected: nothing is charged.
    Refunded,
}

/// The order of arrival: the time, and a sequence number for arrivals at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) sequence: u64,
}

/// A request that waits. There may be very many, so the fields are narrow.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) arrival: Arrival,
    pub(crate) latency_objective: Duration,
    pub(crate) work: Duration,
    pub(crate) identity: Option<u64>,
    /// The wait that was estimated at its arrival, in seconds.
    pub(crate) estimated_wait: Option<f32>,
    pub(crate) team: u32,
    pub(crate) class: u16,
    pub(crate) urgency: u8,
}

/// Priority levels that a request may gain by urgency and age together: by so many requests like it, its team may
/// be ahead of its share.
const MAX_PRIORITY_GAIN: u32 = 4;

impl WaitingRequest {
    pub(crate) fn team(&self) -> usize {
        self.team as usize
    }

    /// The priority levels that it has gained, and when it gains the next one.
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

/// A request that was dispatched and has not ended.
#[derive(Clone, Debug)]
pub(crate) struct DispatchedRequest {
    pub(crate) request: WaitingRequest,
    /// Seconds of work that were charged on dispatch.
    pub(crate) charged: f64,
}
