//! The form of numbers in JSON.

use serde_json::Value;

/// Returns a JSON integer for a whole number, and a JSON number with a fraction for any other.
pub fn shortest(number: f64) -> Value {
    let is_whole = number >= 0.0 && number.fract() == 0.0 && number <= f64::from(u32::MAX);
    if is_whole { Value::from(number as u64) } else { Value::from(number) }
}
