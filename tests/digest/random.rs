//! Reproducible random numbers.

use std::time::Duration;

/// A SplitMix64 generator, whose numbers do not depend on the machine or on versions of crates.
pub struct Random {
    pub state: u64,
    /// Rounds times down to milliseconds, so that events often occur at the same time.
    pub whole_milliseconds: bool,
}

impl Random {
    pub fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.state ^ (self.state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number of at least 0 and below `end`.
    pub fn below(&mut self, end: usize) -> usize {
        (self.next() % end as u64) as usize
    }

    /// Returns a number from `first` to `last`, both included.
    pub fn inclusive(&mut self, first: u64, last: u64) -> u64 {
        first + self.next() % (last - first + 1)
    }

    /// Returns a number of at least 0 and below 1.
    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a number of at least `min` and below `max`.
    pub fn between(&mut self, min: f64, max: f64) -> f64 {
        min + self.fraction() * (max - min)
    }

    /// Returns true with a probability of `percent`.
    pub fn percent(&mut self, percent: u64) -> bool {
        self.next() % 100 < percent
    }

    pub fn one_of<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len())]
    }

    /// Returns a time from `first_ms` to `last_ms`, both included.
    pub fn time(&mut self, first_ms: u64, last_ms: u64) -> Duration {
        let time = Duration::from_micros(self.inclusive(first_ms * 1000, last_ms * 1000));
        self.rounded(time)
    }

    /// Rounds a time down to milliseconds if `whole_milliseconds` is set; otherwise returns it unchanged.
    pub fn rounded(&self, time: Duration) -> Duration {
        if self.whole_milliseconds { Duration::from_millis(time.as_millis() as u64) } else { time }
    }

    /// Returns a value with a probability of `percent`, and `None` otherwise.
    pub fn maybe<T>(&mut self, percent: u64, value: impl FnOnce(&mut Self) -> T) -> Option<T> {
        self.percent(percent).then(|| value(self))
    }
}
