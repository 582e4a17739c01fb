//! What every part of the router uses: the time of the input being taken, the deadlines, the counters.

use crate::counters::Counters;
use crate::timers::Timers;
use std::time::Duration;

#[derive(Clone, Default)]
pub struct Context {
    /// The time of the input being taken, set by whoever takes it.
    pub now: Duration,
    /// What the clock showed at the Unix epoch's millisecond 0, as a span before its own zero.
    pub zero: Duration,
    pub timers: Timers,
    pub counters: Counters,
}

impl Context {
    pub fn now(&self) -> Duration {
        self.now
    }

    /// What the clock showed at a Unix time; what lies before its zero happened at its zero.
    pub fn at_unix_ms(&self, ms: u64) -> Duration {
        Duration::from_millis(ms).saturating_sub(self.zero)
    }
}
