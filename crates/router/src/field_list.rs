//! The encoding of fields in engines' replies: lists such as `name=value,name=value`.

use std::collections::BTreeMap;
use thiserror::Error;

/// The encoding of a list without fields.
const NO_FIELDS: &str = "-";

/// An error in a list of fields. The texts are logged, and are not sent to a peer.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum FieldListError {
    /// An entry of the list is not a name and a value with a separator between them.
    #[error("expected a name, `{separator}` and a value, found `{}`", .found.escape_debug())]
    NotAField {
        /// The separator between a name and a value.
        separator: char,
        /// The entry that was received.
        found: String,
    },
    /// An entry of the list has a control character.
    #[error("found a control character in the field `{}`", .0.escape_debug())]
    ControlCharacter(String),
    /// Two fields have this name.
    #[error("found the field `{}` twice", .0.escape_debug())]
    RepeatedName(String),
}

/// The characters that separate the parts of a list.
#[derive(Clone, Copy, Debug)]
pub struct Separators {
    /// Between two fields.
    pub field: char,
    /// Between the name and the value of a field.
    pub value: char,
}

/// The fields of a list, by name. Their order has no meaning.
#[derive(Debug)]
pub struct FieldList<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> FieldList<'a> {
    /// Decodes a list. `-` and an empty text are lists without fields.
    ///
    /// # Errors
    /// Fails if an entry is not a field, has a control character, or repeats a name. Such a list has been altered, so
    /// none of its fields can be relied on.
    pub fn parse(text: &'a str, separators: Separators) -> Result<Self, FieldListError> {
        let mut fields = BTreeMap::new();
        if text.is_empty() || text == NO_FIELDS {
            return Ok(Self(fields));
        }
        for entry in text.split(separators.field) {
            let (name, value) = parse_field(entry, separators.value)?;
            if fields.insert(name, value).is_some() {
                return Err(FieldListError::RepeatedName(name.to_owned()));
            }
        }
        Ok(Self(fields))
    }

    /// Returns the value of a field; `None` if the list does not have the field.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.0.get(name).copied()
    }
}

/// Splits an entry of a list into its name and its value.
fn parse_field(entry: &str, separator: char) -> Result<(&str, &str), FieldListError> {
    if entry.chars().any(char::is_control) {
        return Err(FieldListError::ControlCharacter(entry.to_owned()));
    }
    let field = entry.split_once(separator).filter(|(name, _)| !name.is_empty());
    field.ok_or_else(|| FieldListError::NotAField { separator, found: entry.to_owned() })
}
