//! The router's clock. Its zero lies a while before the process started, so that what happened in that while has a
//! time as well.

use emberflow_settings::to_ms;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock; times are spans since its zero.
pub struct Clock {
    started: Instant,
    /// The time at the start.
    started_at: Duration,
    /// Its zero, as a span since the Unix epoch.
    zero: Duration,
}

impl Clock {
    /// A clock that starts now, at the time `started_at`.
    pub fn starting(started_at: Duration) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), started_at, zero: unix.saturating_sub(started_at) }
    }

    /// The time now.
    pub fn now(&self) -> Duration {
        self.started_at + self.started.elapsed()
    }

    /// The clock's zero, as a span since the Unix epoch.
    pub fn zero(&self) -> Duration {
        self.zero
    }
}

/// Whole milliseconds, rounded down.
pub fn whole_ms(time: Duration) -> u64 {
    to_ms(time).floor() as u64
}
