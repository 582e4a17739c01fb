//! What every part of the router uses: the time of the event in hand, the pending timers and the counters.

use crate::clock::UnixZeros;
use crate::counters::Counters;
use crate::timers::Timers;
use std::time::Duration;

/// Shared by all parts of a router; times are spans on the router's clock.
#[derive(Clone, Default)]
pub struct Context {
    /// The time of the event in hand, set by the caller before it hands over an event.
    pub now: Duration,
    /// Where the clock has its zero on the wall clock.
    pub unix_zeros: UnixZeros,
    /// The pending timers.
    pub timers: Timers,
    /// Counters of events and of violated invariants.
    pub counters: Counters,
}

impl Context {
    /// The time of the event in hand.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Converts the Unix milliseconds of something that has happened to the router's clock; times before the clock's
    /// zero become zero.
    pub fn at_unix_ms(&self, unix_ms: u64) -> Duration {
        self.unix_zeros.time_of(Duration::from_millis(unix_ms), self.now)
    }

    /// Enters a look at the wall clock, which is logged where it has stepped.
    pub fn record_unix_zero(&mut self, zero: Duration) {
        if let Some(step) = self.unix_zeros.note(zero) {
            self.counters.count("wall_clock_steps");
            log::warn!("the wall clock has stepped: by={step:?}");
        }
    }
}
