//! The outcomes of the requests of emulated clients.

use emberflow_peer_protocol::client::WaitAnnouncement;
use std::time::{Duration, Instant};

/// The kind of a request's outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OutcomeKind {
    /// The answer is a result.
    Succeeded,
    /// The answer is a rejection, after which a retry is safe.
    Rejected,
    /// The answer is a failure; the request may have run.
    Failed,
    /// The answer says that the request is invalid.
    Invalid,
    /// The client stopped waiting without an answer.
    Unanswered,
}

/// The outcome of a request, with the times of its last run.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    pub team: &'static str,
    pub class: &'static str,
    pub kind: OutcomeKind,
    /// Time from when the request was first sent to the start of its last run; `None` if no run is known.
    pub wait: Option<Duration>,
    /// Duration of the last run, if it has ended.
    pub run: Option<Duration>,
    /// Whether the request has an urgency above 0.
    pub is_urgent: bool,
    /// When the last run started; `None` if no run is known.
    pub started_at: Option<Instant>,
    /// The request's work, in seconds of one core.
    pub work_s: f64,
    /// The announced and actual wait; `None` if the wait was not announced or no run is known.
    pub wait_estimate: Option<WaitEstimate>,
}

impl RequestOutcome {
    /// Whether the answer is a result.
    pub fn is_success(&self) -> bool {
        self.kind == OutcomeKind::Succeeded
    }
}

/// The first wait that the router announced for a request, and the actual wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitEstimate {
    pub announced: WaitAnnouncement,
    /// Seconds from the announcement to the start of the last run.
    pub actual_s: f64,
}

impl WaitEstimate {
    /// Whether the actual wait is within the announced range.
    pub fn is_within_range(&self) -> bool {
        (self.announced.least_s..=self.announced.most_s).contains(&self.actual_s)
    }

    /// Returns the difference between the actual and the likely wait, as a fraction of the likely wait.
    pub fn relative_error(&self) -> f64 {
        (self.actual_s / self.announced.likely_s - 1.0).abs()
    }
}
