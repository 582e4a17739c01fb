//! The times of retries of a reload that failed.

use std::time::Duration;

/// Time between two attempts of a reload. A file that is invalid now may be incomplete because it is still written.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time from the first failure of a reload to the last attempt. Events from a new address of the discovery service must
/// take effect within 4 s of SIGHUP.
const RETRY_WINDOW: Duration = Duration::from_secs(3);

/// A scheduled retry of a reload that failed.
pub(super) struct ReloadRetry {
    /// The time of the next attempt.
    pub next_attempt: Duration,
    /// The time after which no more attempts are made.
    last_attempt_by: Duration,
}

impl ReloadRetry {
    /// Returns the retry after an attempt that failed at `now`. `previous` is the retry that led to the attempt, if
    /// any. Returns `None` if the time for retries is over.
    pub fn next(previous: Option<Self>, now: Duration) -> Option<Self> {
        let last_attempt_by = previous.map_or(now + RETRY_WINDOW, |retry| retry.last_attempt_by);
        (now < last_attempt_by).then_some(Self { next_attempt: now + RETRY_INTERVAL, last_attempt_by })
    }
}
