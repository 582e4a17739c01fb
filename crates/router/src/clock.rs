//! The router's clock, and its conversion from Unix time.

use emberflow_settings::to_ms;
use std::collections::VecDeque;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock. Times are durations since the clock's zero, which lies before the start of the process, so that
/// earlier events also have a time.
pub struct Clock {
    started: Instant,
    /// The time at the start of the process.
    started_at: Duration,
}

/// Smallest change of the wall clock's offset that counts as a step.
const MIN_WALL_CLOCK_STEP: Duration = Duration::from_millis(100);
/// Maximum number of offsets that are stored.
const MAX_OFFSETS: usize = 4;

/// The offsets of the wall clock from the router's clock. The wall clock may be stepped while the process runs; only
/// Unix times of the wire are converted by it.
#[derive(Clone, Debug, Default)]
pub struct WallClockOffsets {
    /// The Unix time of the router clock's zero, one value for each step of the wall clock, the latest last.
    offsets: VecDeque<Duration>,
}

impl WallClockOffsets {
    /// Records the current offset. Returns the size of the step if the wall clock was stepped since the last call.
    pub fn record(&mut self, offset: Duration) -> Option<Duration> {
        let step = self.offsets.back().map(|last| last.abs_diff(offset));
        if step.is_some_and(|step| step < MIN_WALL_CLOCK_STEP) {
            return None;
        }
        if self.offsets.len() == MAX_OFFSETS {
            self.offsets.pop_front();
        }
        self.offsets.push_back(offset);
        step
    }

    /// Converts the Unix time of a past event to a time on the router's clock. If the wall clock was stepped, the
    /// correct offset is unknown: the latest result that is not in the future is used, so that the event does not
    /// seem older than it is. If all results are in the future, returns `now`.
    pub fn time_of(&self, unix_time: Duration, now: Duration) -> Duration {
        let times = self.offsets.iter().map(|offset| unix_time.saturating_sub(*offset));
        times.filter(|time| *time <= now).max().unwrap_or(now)
    }
}

impl Clock {
    /// Returns a clock that starts now, at the time `started_at`.
    pub fn starting(started_at: Duration) -> Self {
        Self { started: Instant::now(), started_at }
    }

    /// Returns the current time.
    pub fn now(&self) -> Duration {
        self.started_at + self.started.elapsed()
    }

    /// Returns the Unix time of the clock's zero by the current wall clock.
    pub fn wall_clock_offset(&self) -> Duration {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        unix_time.saturating_sub(self.now())
    }
}

/// Converts a time to milliseconds, rounded down.
pub fn whole_ms(time: Duration) -> u64 {
    to_ms(time).floor() as u64
}

#[cfg(test)]
#[path = "../tests/unit/clock.rs"]
mod tests;
