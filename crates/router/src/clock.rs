//! The one clock: spans since a while before the start, so that what was told to have happened in that while
//! has a time as well.

use emberflow_settings::to_ms;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub struct Clock {
    started: Instant,
    before: Duration,
    /// Of the clock's zero, since the Unix epoch.
    zero: Duration,
}

impl Clock {
    pub fn starting(before: Duration) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), before, zero: unix.saturating_sub(before) }
    }

    pub fn now(&self) -> Duration {
        self.before + self.started.elapsed()
    }

    /// Of its zero, since the Unix epoch.
    pub fn zero(&self) -> Duration {
        self.zero
    }
}

/// Whole milliseconds, for a line that has only those.
pub fn whole_ms(time: Duration) -> u64 {
    to_ms(time).floor() as u64
}
