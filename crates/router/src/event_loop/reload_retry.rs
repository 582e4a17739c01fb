//! Schedules the retries of a reload that failed.

use std::time::Duration;

/// Time between two attempts of a reload. An invalid file may be incomplete, because another process still writes it.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time from the first failure of a reload within which failed attempts are retried. Events from a new address of the
/// discovery service must take effect within 4 s of SIGHUP.
const RETRY_WINDOW: Duration = Duration::from_secs(3);

/// A scheduled retry of a reload that failed.
pub(super) struct ReloadRetry {
    /// The time of the next attempt.
    pub next_attempt: Duration,
    /// The time from which a failed attempt is the last one.
    retry_until: Duration,
}

impl ReloadRetry {
    /// Returns the retry after an attempt that failed at `now`, or `None` if the time for retries is over. `previous`
    /// is the retry that failed; `None` if the first attempt of the reload failed.
    pub fn next(previous: Option<Self>, now: Duration) -> Option<Self> {
        let retry_until = previous.map_or(now + RETRY_WINDOW, |retry| retry.retry_until);
        (now < retry_until).then_some(Self { next_attempt: now + RETRY_INTERVAL, retry_until })
    }
}
