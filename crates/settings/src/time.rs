//! Times on the wire and in files: milliseconds, with microseconds as fractions.

use std::time::Duration;

const MICROS_PER_MS: f64 = 1e3;

/// A time in milliseconds, rounded to microseconds. A negative one is zero.
pub fn from_ms(ms: f64) -> Duration {
    Duration::from_micros((ms * MICROS_PER_MS).round() as u64)
}

/// The whole microseconds of a time, in milliseconds.
pub fn to_ms(time: Duration) -> f64 {
    time.as_micros() as f64 / MICROS_PER_MS
}
