//! The time of the current event, the pending timers and the counters, to which all parts of the router have access.

use crate::clock::WallClockOffsets;
use crate::counters::Counters;
use crate::timers::Timers;
use std::time::Duration;

/// The state that all parts of a router share. Times are durations since the epoch of the router's clock.
#[derive(Clone, Default)]
pub struct Context {
    /// The time of the current event, which the caller sets before it passes the event.
    pub now: Duration,
    /// Offsets of the wall clock from the router's clock, to convert Unix times.
    pub wall_clock_offsets: WallClockOffsets,
    /// The pending timers.
    pub timers: Timers,
    /// Counters of events and of violated invariants.
    pub counters: Counters,
}

impl Context {
    /// Returns the time of the current event.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Converts the Unix time of a past event, in milliseconds, to a time on the router's clock. A time before the
    /// clock's epoch becomes zero.
    pub fn at_unix_ms(&self, unix_ms: u64) -> Duration {
        self.wall_clock_offsets.time_of(Duration::from_millis(unix_ms), self.now)
    }

    /// Records the wall clock's current offset: the Unix time of the clock's epoch. Counts and logs a step.
    pub fn record_wall_clock_offset(&mut self, offset: Duration) {
        if let Some(step) = self.wall_clock_offsets.record(offset) {
            self.counters.count("wall_clock_steps");
            log::warn!("wall clock stepped: by={step:?}");
        }
    }
}
