//! The router's clock. Its zero lies a while before the process started, so that what happened in that while has a
//! time as well.

use emberflow_settings::to_ms;
use std::collections::VecDeque;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock; times are spans since its zero.
pub struct Clock {
    started: Instant,
    /// The time at the start.
    started_at: Duration,
}

/// How far apart two looks at the wall clock must put the zero for the clock to have stepped between them.
const SMALLEST_STEP: Duration = Duration::from_millis(100);
/// Steps of the wall clock that are remembered.
const MOST_ZEROS: usize = 4;

/// Where the router's clock has its zero on the wall clock, which may be stepped while the process runs. Only what
/// the wire gives as Unix time is converted.
#[derive(Clone, Debug, Default)]
pub struct UnixZeros {
    /// As spans since the Unix epoch, the latest last; each is what one look at the wall clock came to.
    zeros: VecDeque<Duration>,
}

impl UnixZeros {
    /// Enters a look at the wall clock; returns by how much it has stepped since the last.
    pub fn note(&mut self, zero: Duration) -> Option<Duration> {
        let step = self.zeros.back().map(|last| last.abs_diff(zero));
        if step.is_some_and(|step| step < SMALLEST_STEP) {
            return None;
        }
        if self.zeros.len() == MOST_ZEROS {
            self.zeros.pop_front();
        }
        self.zeros.push_back(zero);
        step
    }

    /// Converts the Unix time of something that has happened. Which look at a stepped clock was right is not known:
    /// the latest time counts that is not in the future, so that nothing is taken for longer ago than it was; `now`
    /// if all are.
    pub fn time_of(&self, unix: Duration, now: Duration) -> Duration {
        let times = self.zeros.iter().map(|zero| unix.saturating_sub(*zero));
        times.filter(|time| *time <= now).max().unwrap_or(now)
    }
}

impl Clock {
    /// A clock that starts now, at the time `started_at`.
    pub fn starting(started_at: Duration) -> Self {
        Self { started: Instant::now(), started_at }
    }

    /// The time now.
    pub fn now(&self) -> Duration {
        self.started_at + self.started.elapsed()
    }

    /// The clock's zero, as a span since the Unix epoch by the wall clock as it is now.
    pub fn unix_zero(&self) -> Duration {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        unix.saturating_sub(self.now())
    }
}

/// Whole milliseconds, rounded down.
pub fn whole_ms(time: Duration) -> u64 {
    to_ms(time).floor() as u64
}

#[cfg(test)]
#[path = "../tests/unit/clock.rs"]
mod tests;
