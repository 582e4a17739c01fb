//! Encoding of numbers in JSON.

use serde_json::Value;

/// Encodes a whole number from 0 to `u32::MAX` without a decimal point, and any other number with a fraction.
pub fn json_number(number: f64) -> Value {
    let is_whole = number >= 0.0 && number.fract() == 0.0 && number <= f64::from(u32::MAX);
    if is_whole { Value::from(number as u64) } else { Value::from(number) }
}
