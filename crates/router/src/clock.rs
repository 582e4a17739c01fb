//! The router's monotonic clock, and the conversion of Unix times to this clock.

use emberflow_settings::to_ms;
use std::collections::VecDeque;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock. Times are durations since the clock's epoch. The epoch lies before the start of the process, so
/// that events before the start, such as the launch of an engine, also have a time.
pub struct Clock {
    /// When the clock was created.
    start: Instant,
    /// The clock's time at `start`.
    start_time: Duration,
}

/// Smallest change of the wall clock's offset that counts as a step. Smaller ones are not recorded.
const MIN_WALL_CLOCK_STEP: Duration = Duration::from_millis(100);
/// Maximum number of stored offsets. The oldest one is dropped.
const MAX_OFFSETS: usize = 4;

/// The offsets of the wall clock from the router's clock. The wall clock may be stepped while the process runs. The
/// offsets are only used to convert the Unix times in messages.
#[derive(Clone, Debug, Default)]
pub struct WallClockOffsets {
    /// The Unix time of the epoch of the router's clock: the first value, and one for each step of the wall clock, the
    /// latest last.
    offsets: VecDeque<Duration>,
}

impl WallClockOffsets {
    /// Records the current offset: the Unix time of the epoch of the router's clock. Returns the size of the step if
    /// the wall clock was stepped since the last recorded offset.
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
    /// correct offset is unknown. The latest result that is not in the future is used, so that the event does not
    /// seem older than it is. Returns `now` if all results are in the future.
    pub fn time_of(&self, unix_time: Duration, now: Duration) -> Duration {
        let times = self.offsets.iter().map(|offset| unix_time.saturating_sub(*offset));
        times.filter(|time| *time <= now).max().unwrap_or(now)
    }
}

impl Clock {
    /// Creates a clock that shows `start_time` now.
    pub fn starting_at(start_time: Duration) -> Self {
        Self { start: Instant::now(), start_time }
    }

    /// Returns the time since the epoch.
    pub fn now(&self) -> Duration {
        self.start_time + self.start.elapsed()
    }

    /// Returns the Unix time of the clock's epoch, by the current wall clock.
    pub fn wall_clock_offset(&self) -> Duration {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        unix_time.saturating_sub(self.now())
    }
}

/// Converts a duration to milliseconds, rounded down.
pub fn whole_ms(time: Duration) -> u64 {
    to_ms(time).floor() as u64
}

#[cfg(test)]
#[path = "../tests/unit/clock.rs"]
mod tests;
