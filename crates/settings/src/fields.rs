//! Reads single fields of a message or of a file.

use crate::{Problem, SettingsError, from_ms};
use serde_json::Value;
use std::time::Duration;

/// A JSON value, with the message or file that contains it.
///
/// Methods that take a `name` read that field of an object; an absent field and null are the same. Methods that start
/// with `as_` read the value itself. Their errors contain the path of the value and the reason. Methods that start
/// with `get` return `None` for an absent value and for a value of another type.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    value: &'a Value,
    /// The start of paths. The path to the value is determined only for an error.
    root: &'a Value,
}

impl<'a> Fields<'a> {
    /// Returns a message or a file as a value. Paths in errors start here.
    pub fn of(value: &'a Value) -> Self {
        Self { value, root: value }
    }

    /// Returns the JSON value.
    pub fn value(self) -> &'a Value {
        self.value
    }

    /// Returns an error about this value.
    pub fn error(self, problem: Problem) -> SettingsError {
        SettingsError { path: self.path(), problem }
    }

    fn path(self) -> String {
        path(self.root, self.value).unwrap_or_default().trim_start_matches('.').to_owned()
    }

    /// Returns the JSON value of a field, unless it is absent or null.
    pub fn get(self, name: &str) -> Option<&'a Value> {
        self.value.get(name).filter(|value| !value.is_null())
    }

    /// Returns a required field of any type.
    pub fn field(self, name: &str) -> Result<Self, SettingsError> {
        let missing = || {
            let path = format!("{}.{name}", self.path());
            let path = path.trim_start_matches('.').to_owned();
            SettingsError { path, problem: Problem::Missing }
        };
        self.get(name).map(|value| Self { value, ..self }).ok_or_else(missing)
    }

    /// Reads a field with `read`, unless it is absent or null.
    pub fn optional<T>(
        self,
        name: &str,
        read: impl FnOnce(Self, &str) -> Result<T, SettingsError>,
    ) -> Result<Option<T>, SettingsError> {
        self.get(name).map(|_| read(self, name)).transpose()
    }

    fn read<T>(
        self,
        expected: &'static str,
        read: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Result<T, SettingsError> {
        read(self.value).ok_or_else(|| self.error(Problem::Unexpected { expected }))
    }

    /// Reads a string.
    pub fn text(self, name: &str) -> Result<&'a str, SettingsError> {
        self.field(name)?.as_text()
    }

    /// Reads an integer from 0 up.
    pub fn unsigned(self, name: &str) -> Result<u64, SettingsError> {
        self.field(name)?.read("a whole number", Value::as_u64)
    }

    /// Reads an index.
    pub fn index(self, name: &str) -> Result<usize, SettingsError> {
        self.field(name)?.read("an index", as_index)
    }

    /// Reads an integer from 1 up.
    pub fn count(self, name: &str) -> Result<usize, SettingsError> {
        self.field(name)?.read("a whole number from 1 up", positive_index)
    }

    /// Reads a number.
    pub fn number(self, name: &str) -> Result<f64, SettingsError> {
        self.field(name)?.read("a number", Value::as_f64)
    }

    /// Reads a finite number above 0.
    pub fn positive(self, name: &str) -> Result<f64, SettingsError> {
        self.field(name)?.as_positive()
    }

    /// Reads a finite number from 0 up.
    pub fn not_negative(self, name: &str) -> Result<f64, SettingsError> {
        self.field(name)?.read("a number from 0 up", non_negative)
    }

    /// Reads a number from 0 to 1.
    pub fn fraction(self, name: &str) -> Result<f64, SettingsError> {
        self.field(name)?.read("a number from 0 to 1", fraction)
    }

    /// Reads a boolean.
    pub fn flag(self, name: &str) -> Result<bool, SettingsError> {
        self.field(name)?.as_flag()
    }

    /// Reads a time in milliseconds from 0 up.
    pub fn time(self, name: &str) -> Result<Duration, SettingsError> {
        self.field(name)?.read("a time in milliseconds", |value| non_negative(value).map(from_ms))
    }

    /// Reads a time in milliseconds that is above 0 after rounding to microseconds.
    pub fn positive_time(self, name: &str) -> Result<Duration, SettingsError> {
        self.field(name)?.read("a time in milliseconds above 0", positive_time)
    }

    /// Returns the elements of a list.
    pub fn rows(
        self,
        name: &str,
    ) -> Result<impl ExactSizeIterator<Item = Fields<'a>> + use<'a>, SettingsError> {
        Ok(self.list(name)?.iter().map(move |value| Self { value, ..self }))
    }

    /// Returns the elements of a list that must have `count` elements, one for each `element`.
    pub(crate) fn rows_for_each(
        self,
        name: &str,
        count: usize,
        element: &'static str,
    ) -> Result<impl ExactSizeIterator<Item = Fields<'a>> + use<'a>, SettingsError> {
        let rows = self.rows(name)?;
        if rows.len() != count {
            let problem = Problem::WrongLength { found: rows.len(), expected: count, element };
            return Err(self.field(name)?.error(problem));
        }
        Ok(rows)
    }

    /// Returns the elements of a list as JSON values without a path.
    pub fn list(self, name: &str) -> Result<&'a [Value], SettingsError> {
        self.field(name)?.read("a list", |value| value.as_array().map(Vec::as_slice))
    }

    /// Reads a list of strings.
    pub fn text_list(self, name: &str) -> Result<Vec<String>, SettingsError> {
        self.rows(name)?.map(|row| row.as_text().map(str::to_owned)).collect()
    }

    /// Reads a list of indices. They must be below `length` if it is known.
    pub fn indices(self, name: &str, length: Option<usize>) -> Result<Vec<usize>, SettingsError> {
        self.rows(name)?.map(|row| row.as_index(length)).collect()
    }

    /// Returns an object.
    pub fn object(self, name: &str) -> Result<Fields<'a>, SettingsError> {
        let part = self.field(name)?;
        part.read("an object", |value| value.is_object().then_some(part))
    }

    /// Returns the value as a string.
    pub fn as_text(self) -> Result<&'a str, SettingsError> {
        self.read("text", Value::as_str)
    }

    /// Reads a name, and returns its value in `known`.
    pub(crate) fn one_of<T, const COUNT: usize>(
        self,
        name: &str,
        known: [(&str, T); COUNT],
    ) -> Result<T, SettingsError> {
        let field = self.field(name)?;
        let found = field.as_text()?;
        for (known_name, value) in known {
            if known_name == found {
                return Ok(value);
            }
        }
        Err(field.error(Problem::Unknown { found: found.to_owned() }))
    }

    /// Returns the value as a boolean.
    pub fn as_flag(self) -> Result<bool, SettingsError> {
        self.read("true or false", Value::as_bool)
    }

    /// Returns the value as a finite number above 0.
    pub fn as_positive(self) -> Result<f64, SettingsError> {
        self.read("a number above 0", positive)
    }

    /// Returns the value as an index, which must be below `length` if it is known.
    pub fn as_index(self, length: Option<usize>) -> Result<usize, SettingsError> {
        let index = self.read("an index", as_index)?;
        match length {
            Some(length) if index >= length => Err(self.error(Problem::IndexOutOfRange { index, length })),
            _ => Ok(index),
        }
    }

    /// Returns a field's number; `None` if it is absent or of another type.
    pub fn get_number(self, name: &str) -> Option<f64> {
        self.get(name)?.as_f64()
    }

    /// Returns a field's time, in milliseconds on the wire; `None` if it is absent or of another type, zero if it is
    /// negative.
    pub fn get_time(self, name: &str) -> Option<Duration> {
        self.get_number(name).map(from_ms)
    }

    /// Whether a field is true. An absent field and one of another type count as false.
    pub fn get_flag(self, name: &str) -> bool {
        self.get(name).and_then(Value::as_bool).unwrap_or(false)
    }
}

fn as_index(value: &Value) -> Option<usize> {
    value.as_u64()?.try_into().ok()
}

fn positive_index(value: &Value) -> Option<usize> {
    as_index(value).filter(|index| *index > 0)
}

fn finite(value: &Value) -> Option<f64> {
    value.as_f64().filter(|number| number.is_finite())
}

fn non_negative(value: &Value) -> Option<f64> {
    finite(value).filter(|number| *number >= 0.0)
}

fn positive(value: &Value) -> Option<f64> {
    finite(value).filter(|number| *number > 0.0)
}

fn fraction(value: &Value) -> Option<f64> {
    finite(value).filter(|number| (0.0..=1.0).contains(number))
}

fn positive_time(value: &Value) -> Option<Duration> {
    finite(value).map(from_ms).filter(|time| !time.is_zero())
}

/// Returns the path from a value to another value inside it, such as `.categories[1].name`.
fn path(from: &Value, to: &Value) -> Option<String> {
    if std::ptr::eq(from, to) {
        return Some(String::new());
    }
    match from {
        Value::Object(fields) => {
            fields.iter().find_map(|(name, value)| Some(format!(".{name}{}", path(value, to)?)))
        }
        Value::Array(rows) => {
            rows.iter().enumerate().find_map(|(index, value)| Some(format!("[{index}]{}", path(value, to)?)))
        }
        _ => None,
    }
}
