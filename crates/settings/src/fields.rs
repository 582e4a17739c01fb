//! Reading single fields of a wire line or of a file.

use serde_json::Value;
use std::fmt::Display;
use std::time::Duration;

pub type Fault = String;

#[derive(Clone, Copy)]
pub struct Fields<'a> {
    value: &'a Value,
    /// What it was reached from; the path between is worked out only for a fault.
    root: &'a Value,
}

impl<'a> Fields<'a> {
    pub fn of(value: &'a Value) -> Self {
        Self { value, root: value }
    }

    pub fn value(self) -> &'a Value {
        self.value
    }

    /// Says what is wrong with this value.
    pub fn fault(self, wrong: impl Display) -> Fault {
        format!("`{}` {wrong}", self.path().trim_start_matches('.'))
    }

    fn path(self) -> String {
        path(self.root, self.value).unwrap_or_default()
    }

    pub fn maybe(self, name: &str) -> Option<&'a Value> {
        self.value.get(name).filter(|v| !v.is_null())
    }

    pub fn field(self, name: &str) -> Result<Self, Fault> {
        let missing =
            || format!("`{}` is missing", format!("{}.{name}", self.path()).trim_start_matches('.'));
        self.maybe(name).map(|value| Self { value, ..self }).ok_or_else(missing)
    }

    /// Reads a field that may be absent.
    pub fn optional<T>(
        self,
        name: &str,
        read: impl FnOnce(Self, &str) -> Result<T, Fault>,
    ) -> Result<Option<T>, Fault> {
        self.maybe(name).map(|_| read(self, name)).transpose()
    }

    fn read<T>(self, kind: &str, read: impl FnOnce(&'a Value) -> Option<T>) -> Result<T, Fault> {
        read(self.value).ok_or_else(|| self.fault(format_args!("is not {kind}")))
    }

    pub fn text(self, name: &str) -> Result<&'a str, Fault> {
        self.field(name)?.as_text()
    }

    pub fn whole(self, name: &str) -> Result<u64, Fault> {
        self.field(name)?.read("a whole number", Value::as_u64)
    }

    pub fn index(self, name: &str) -> Result<usize, Fault> {
        self.field(name)?.read("an index", |v| v.as_u64()?.try_into().ok())
    }

    pub fn count(self, name: &str) -> Result<usize, Fault> {
        let kind = "a whole number from 1 up";
        self.field(name)?.read(kind, |v| v.as_u64()?.try_into().ok().filter(|count| *count > 0))
    }

    pub fn number(self, name: &str) -> Result<f64, Fault> {
        self.field(name)?.read("a number", Value::as_f64)
    }

    pub fn positive(self, name: &str) -> Result<f64, Fault> {
        self.field(name)?.as_positive()
    }

    pub fn not_negative(self, name: &str) -> Result<f64, Fault> {
        self.field(name)?.read("a number from 0 up", |v| figure(v).filter(|number| *number >= 0.0))
    }

    /// A part of a whole.
    pub fn share(self, name: &str) -> Result<f64, Fault> {
        let within = |number: &f64| (0.0..=1.0).contains(number);
        self.field(name)?.read("a number from 0 to 1", |v| figure(v).filter(within))
    }

    pub fn flag(self, name: &str) -> Result<bool, Fault> {
        self.field(name)?.as_flag()
    }

    pub fn time(self, name: &str) -> Result<Duration, Fault> {
        let time = |v| figure(v).filter(|ms| *ms >= 0.0).map(from_ms);
        self.field(name)?.read("a time in milliseconds", time)
    }

    pub fn positive_time(self, name: &str) -> Result<Duration, Fault> {
        let time = |v| figure(v).map(from_ms).filter(|time| !time.is_zero());
        self.field(name)?.read("a time in milliseconds above 0", time)
    }

    pub fn rows(self, name: &str) -> Result<impl ExactSizeIterator<Item = Fields<'a>>, Fault> {
        Ok(self.list(name)?.iter().map(move |value| Self { value, ..self }))
    }

    pub fn list(self, name: &str) -> Result<&'a [Value], Fault> {
        self.field(name)?.read("a list", |v| v.as_array().map(Vec::as_slice))
    }

    pub fn texts(self, name: &str) -> Result<Vec<String>, Fault> {
        self.rows(name)?.map(|row| row.as_text().map(str::to_owned)).collect()
    }

    /// Places in a list of that length, where it is known.
    pub fn places(self, name: &str, length: Option<usize>) -> Result<Vec<usize>, Fault> {
        self.rows(name)?.map(|row| row.as_place(length)).collect()
    }

    pub fn part(self, name: &str) -> Result<Fields<'a>, Fault> {
        let part = self.field(name)?;
        part.read("an object", |v| v.is_object().then_some(part))
    }

    pub fn as_text(self) -> Result<&'a str, Fault> {
        self.read("text", Value::as_str)
    }

    pub fn as_flag(self) -> Result<bool, Fault> {
        self.read("true or false", Value::as_bool)
    }

    pub fn as_positive(self) -> Result<f64, Fault> {
        self.read("a number above 0", |v| figure(v).filter(|number| *number > 0.0))
    }

    pub fn as_place(self, length: Option<usize>) -> Result<usize, Fault> {
        let place = self.read("an index", |v| v.as_u64()?.try_into().ok())?;
        match length {
            Some(length) if place >= length => {
                Err(self.fault(format_args!("is {place}, past the end of a list of {length}")))
            }
            _ => Ok(place),
        }
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
}

fn figure(value: &Value) -> Option<f64> {
    value.as_f64().filter(|number| number.is_finite())
}

/// The way to a value, as in `.categories[1].name`.
fn path(from: &Value, to: &Value) -> Option<String> {
    if std::ptr::eq(from, to) {
        return Some(String::new());
    }
    match from {
        Value::Object(fields) => {
            fields.iter().find_map(|(name, value)| Some(format!(".{name}{}", path(value, to)?)))
        }
        Value::Array(rows) => {
            rows.iter().enumerate().find_map(|(at, value)| Some(format!("[{at}]{}", path(value, to)?)))
        }
        _ => None,
    }
}

/// A negative time is none.
pub fn from_ms(ms: f64) -> Duration {
    Duration::from_micros((ms * 1e3).round() as u64)
}

pub fn to_ms(time: Duration) -> f64 {
    time.as_micros() as f64 / 1e3
}
