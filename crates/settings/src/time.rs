//! Conversion of times on the wire and in files, which are milliseconds with up to three decimal places.

use std::time::Duration;

const MICROSECONDS_PER_MS: f64 = 1e3;

/// Converts milliseconds to a duration, rounded to microseconds. A negative time becomes zero.
pub fn from_ms(ms: f64) -> Duration {
    Duration::from_micros((ms * MICROSECONDS_PER_MS).round() as u64)
}

/// Converts a duration to milliseconds, truncated to microseconds.
pub fn to_ms(time: Duration) -> f64 {
    time.as_micros() as f64 / MICROSECONDS_PER_MS
}
