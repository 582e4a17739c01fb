//! Conversion of times on the wire and in files, which are in milliseconds with microseconds as fractions.

use std::time::Duration;

const MICROS_PER_MS: f64 = 1e3;

/// Converts from milliseconds, rounded to microseconds. A negative time becomes zero.
pub fn from_ms(ms: f64) -> Duration {
    Duration::from_micros((ms * MICROS_PER_MS).round() as u64)
}

/// Converts to milliseconds, truncated to microseconds.
pub fn to_ms(time: Duration) -> f64 {
    time.as_micros() as f64 / MICROS_PER_MS
}
