//! Reads single values of a JSON message or file, and reports invalid ones with their path.

use crate::{Problem, SettingsError, from_ms};
use serde_json::Value;
use std::time::Duration;

/// A JSON value, with the message or file that contains it.
///
/// Methods that take a `name` read that field of an object. A field that is null counts as absent. Methods whose name
/// starts with `as_` read the value itself. The errors of both contain the path of the value and the reason. Methods
/// whose name starts with `get` return no error, but `None` or false for an absent value or a value of another type.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    value: &'a Value,
    /// The message or file that contains `value`. The path from `root` to `value` is searched for only when an error
    /// is built.
    root: &'a Value,
}

impl<'a> Fields<'a> {
    /// Wraps a whole message or file. Paths in errors are relative to it.
    pub fn of(value: &'a Value) -> Self {
        Self { value, root: value }
    }

    /// Returns the wrapped JSON value, without its path.
    pub fn value(self) -> &'a Value {
        self.value
    }

    /// Returns the error that this value is invalid because of `problem`.
    pub fn error(self, problem: Problem) -> SettingsError {
        SettingsError { path: self.path(), problem }
    }

    /// Returns the error that this value is not what `expected` describes.
    pub fn invalid(self, expected: &'static str) -> SettingsError {
        self.error(Problem::Invalid { expected, found: describe(self.value) })
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

    /// Reads a field with `read`; returns `None` if the field is absent or null.
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
        read(self.value).ok_or_else(|| self.invalid(expected))
    }

    /// Reads a string.
    pub fn text(self, name: &str) -> Result<&'a str, SettingsError> {
        self.field(name)?.as_text()
    }

    /// Reads an integer from 0 up.
    pub fn unsigned(self, name: &str) -> Result<u64, SettingsError> {
        self.field(name)?.read("a whole number from 0 up", Value::as_u64)
    }

    /// Reads an index, or another integer from 0 up that fits into a `usize`.
    pub fn index(self, name: &str) -> Result<usize, SettingsError> {
        self.field(name)?.read("a whole number from 0 up", as_index)
    }

    /// Reads an integer from 1 up.
    pub fn positive_integer(self, name: &str) -> Result<usize, SettingsError> {
        self.field(name)?.read("a whole number from 1 up", positive_integer)
    }

    /// Reads a number, which may be negative.
    pub fn number(self, name: &str) -> Result<f64, SettingsError> {
        let field = self.field(name)?;
        field.value.as_f64().ok_or_else(|| field.error(Problem::WrongType { expected: "a number" }))
    }

    /// Reads a finite number above 0.
    pub fn positive(self, name: &str) -> Result<f64, SettingsError> {
        self.field(name)?.as_positive()
    }

    /// Reads a finite number from 0 up.
    pub fn non_negative(self, name: &str) -> Result<f64, SettingsError> {
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
        self.field(name)?.read("a time in milliseconds from 0 up", |value| non_negative(value).map(from_ms))
    }

    /// Reads a time in milliseconds that is above 0 after rounding to microseconds.
    pub fn positive_time(self, name: &str) -> Result<Duration, SettingsError> {
        self.field(name)?.read("a time in milliseconds above 0", positive_time)
    }

    /// Returns the elements of a list. Errors about them contain their paths.
    pub fn elements(
        self,
        name: &str,
    ) -> Result<impl ExactSizeIterator<Item = Fields<'a>> + use<'a>, SettingsError> {
        Ok(self.list(name)?.iter().map(move |value| Self { value, ..self }))
    }

    /// Returns the elements of a list that must have `count` elements. Each describes one `element`, such as a `class`.
    pub(crate) fn elements_for_each(
        self,
        name: &str,
        count: usize,
        element: &'static str,
    ) -> Result<impl ExactSizeIterator<Item = Fields<'a>> + use<'a>, SettingsError> {
        let elements = self.elements(name)?;
        if elements.len() != count {
            let problem = Problem::WrongLength { found: elements.len(), expected: count, element };
            return Err(self.field(name)?.error(problem));
        }
        Ok(elements)
    }

    /// Returns the elements of a list as plain JSON values. Errors about them cannot contain their path in the list.
    pub fn list(self, name: &str) -> Result<&'a [Value], SettingsError> {
        self.field(name)?.read("a list", |value| value.as_array().map(Vec::as_slice))
    }

    /// Reads a list of strings.
    pub fn text_list(self, name: &str) -> Result<Vec<String>, SettingsError> {
        self.elements(name)?.map(|element| element.as_text().map(str::to_owned)).collect()
    }

    /// Reads a list of indices, counted from 0. They must be below `length`, unless that is `None`.
    pub fn indices(self, name: &str, length: Option<usize>) -> Result<Vec<usize>, SettingsError> {
        self.elements(name)?.map(|element| element.as_index(length)).collect()
    }

    /// Returns a field that must be an object, whose fields can then be read.
    pub fn object(self, name: &str) -> Result<Fields<'a>, SettingsError> {
        let object = self.field(name)?;
        object.read("an object", |value| value.is_object().then_some(object))
    }

    /// Returns the value as a string.
    pub fn as_text(self) -> Result<&'a str, SettingsError> {
        self.value.as_str().ok_or_else(|| self.error(Problem::WrongType { expected: "text" }))
    }

    /// Reads one of the `known` names, and returns the value that `known` gives for the name.
    pub(crate) fn one_of<T, const COUNT: usize>(
        self,
        name: &str,
        known: [(&'static str, T); COUNT],
    ) -> Result<T, SettingsError> {
        let field = self.field(name)?;
        let found = field.as_text()?;
        let mut known_names = Vec::with_capacity(COUNT);
        for (known_name, value) in known {
            if known_name == found {
                return Ok(value);
            }
            known_names.push(known_name);
        }
        Err(field.error(Problem::UnknownName { known: known_names, found: found.to_owned() }))
    }

    /// Returns the value as a boolean.
    pub fn as_flag(self) -> Result<bool, SettingsError> {
        self.read("true or false", Value::as_bool)
    }

    /// Returns the value as a finite number above 0.
    pub fn as_positive(self) -> Result<f64, SettingsError> {
        self.read("a number above 0", positive)
    }

    /// Returns the value as an index, counted from 0. It must be below `length`, unless that is `None`.
    pub fn as_index(self, length: Option<usize>) -> Result<usize, SettingsError> {
        let index = self.read("an index from 0 up", as_index)?;
        match length {
            Some(length) if index >= length => Err(self.error(Problem::IndexOutOfRange { index, length })),
            _ => Ok(index),
        }
    }

    /// Returns a field's number; `None` if the field is absent or of another type.
    pub fn get_number(self, name: &str) -> Option<f64> {
        self.get(name)?.as_f64()
    }

    /// Returns a field's time, which is in milliseconds on the wire. Returns `None` if the field is absent or of
    /// another type, and zero for a negative time.
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

fn positive_integer(value: &Value) -> Option<usize> {
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

/// Returns the text of a value for an error. Lists and objects may be large, so only their type is given.
fn describe(value: &Value) -> String {
    match value {
        Value::Array(_) => "a list".to_owned(),
        Value::Object(_) => "an object".to_owned(),
        scalar => scalar.to_string(),
    }
}

/// Returns the path from a value to another value inside it, such as `.categories[1].name`; `None` if `from` does not
/// contain `to`. Values are compared by address, since equal values may occur more than once.
fn path(from: &Value, to: &Value) -> Option<String> {
    if std::ptr::eq(from, to) {
        return Some(String::new());
    }
    match from {
        Value::Object(fields) => {
            fields.iter().find_map(|(name, value)| Some(format!(".{name}{}", path(value, to)?)))
        }
        Value::Array(elements) => elements
            .iter()
            .enumerate()
            .find_map(|(index, value)| Some(format!("[{index}]{}", path(value, to)?))),
        _ => None,
    }
}
