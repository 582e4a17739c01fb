//! What became of the requests of emulated clients.

use std::time::{Duration, Instant};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OutcomeKind {
    /// Answered with a result.
    Succeeded,
    /// Answered that a retry is harmless.
    Rejected,
    /// Answered that it may have run.
    Failed,
    /// Answered with an error about the request itself.
    Invalid,
    /// Not answered.
    Unanswered,
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    pub team: &'static str,
    pub class: &'static str,
    pub kind: OutcomeKind,
    /// From when it was sent first until it began to run for the last time.
    pub wait: Option<Duration>,
    /// From then until it ended on its engine.
    pub run: Option<Duration>,
    pub is_urgent: bool,
    /// When it began to run for the last time.
    pub started_at: Option<Instant>,
    /// Its work in seconds of one core.
    pub work_s: f64,
    pub wait_estimate: Option<WaitEstimate>,
}

impl RequestOutcome {
    /// Whether it was answered with a result.
    pub fn is_success(&self) -> bool {
        self.kind == OutcomeKind::Succeeded
    }
}

/// The first wait that the router announced for a request, beside the wait it then had; all in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitEstimate {
    pub least_s: f64,
    pub likely_s: f64,
    pub most_s: f64,
    /// From the announcement until the request began to run for the last time.
    pub actual_s: f64,
}

impl WaitEstimate {
    /// Whether the wait was within the announced range.
    pub fn is_within_range(&self) -> bool {
        (self.least_s..=self.most_s).contains(&self.actual_s)
    }

    /// By which part of the likely wait the actual one was off.
    pub fn relative_error(&self) -> f64 {
        (self.actual_s / self.likely_s - 1.0).abs()
    }
}
