//! Encoding of numbers in JSON.

use serde_json::Value;

/// Returns a JSON integer for a whole number from 0 to `u32::MAX`, and a JSON number with a fraction for any other.
pub fn json_number(number: f64) -> Value {
    let is_whole = number >= 0.0 && number.fract() == 0.0 && number <= f64::from(u32::MAX);
    if is_whole { Value::from(number as u64) } else { Value::from(number) }
}
