//! Reading single fields of a wire line.

use serde_json::Value;
use std::time::Duration;

pub type Fault = String;

#[derive(Clone, Copy)]
pub struct Fields<'a>(pub &'a Value);

impl<'a> Fields<'a> {
    pub fn maybe(self, name: &str) -> Option<&'a Value> {
        self.0.get(name).filter(|v| !v.is_null())
    }

    fn required<T>(self, name: &str, kind: &str, read: impl Fn(&'a Value) -> Option<T>) -> Result<T, Fault> {
        let value = self.maybe(name).ok_or_else(|| format!("`{name}` is missing"))?;
        read(value).ok_or_else(|| format!("`{name}` is not {kind}"))
    }

    pub fn text(self, name: &str) -> Result<&'a str, Fault> {
        self.required(name, "text", Value::as_str)
    }

    pub fn whole(self, name: &str) -> Result<u64, Fault> {
        self.required(name, "a whole number", Value::as_u64)
    }

    pub fn index(self, name: &str) -> Result<usize, Fault> {
        self.required(name, "an index", |v| v.as_u64()?.try_into().ok())
    }

    pub fn number(self, name: &str) -> Result<f64, Fault> {
        self.required(name, "a number", Value::as_f64)
    }

    pub fn flag(self, name: &str) -> Result<bool, Fault> {
        self.required(name, "true or false", Value::as_bool)
    }

    pub fn time(self, name: &str) -> Result<Duration, Fault> {
        self.number(name).map(from_ms)
    }

    pub fn rows(self, name: &str) -> Result<&'a [Value], Fault> {
        self.required(name, "a list", |v| v.as_array().map(Vec::as_slice))
    }

    pub fn part(self, name: &str) -> Result<Fields<'a>, Fault> {
        self.required(name, "an object", |v| v.is_object().then_some(Fields(v)))
    }

    pub fn maybe_number(self, name: &str) -> Option<f64> {
        self.maybe(name)?.as_f64()
    }

    pub fn maybe_time(self, name: &str) -> Option<Duration> {
        self.maybe_number(name).map(from_ms)
    }

    pub fn maybe_flag(self, name: &str) -> bool {
        self.maybe(name).and_then(Value::as_bool).unwrap_or(false)
    }

    pub fn maybe_indices(self, name: &str) -> Option<Vec<usize>> {
        Some(self.maybe(name)?.as_array()?.iter().filter_map(|v| v.as_u64()?.try_into().ok()).collect())
    }
}

pub fn from_ms(ms: f64) -> Duration {
    Duration::from_micros((ms * 1e3).round() as u64)
}

pub fn to_ms(time: Duration) -> f64 {
    time.as_micros() as f64 / 1e3
}
