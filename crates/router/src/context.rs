//! What every part of the router uses: the time of the event in hand, the pending timers and the counters.

use crate::counters::Counters;
use crate::timers::Timers;
use std::time::Duration;

/// Shared by all parts of a router; times are spans on the router's clock.
#[derive(Clone, Default)]
pub struct Context {
    /// The time of the event in hand, set by the caller before it hands over an event.
    pub now: Duration,
    /// The clock's zero, as a span since the Unix epoch.
    pub clock_zero: Duration,
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

    /// Converts Unix milliseconds to the router's clock; times before the clock's zero become zero.
    pub fn at_unix_ms(&self, unix_ms: u64) -> Duration {
        Duration::from_millis(unix_ms).saturating_sub(self.clock_zero)
    }
}
