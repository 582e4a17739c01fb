//! Errors in settings and messages.

use thiserror::Error;

/// An invalid or missing value, with its path.
///
/// It is displayed as one phrase that starts with the path: `` `rules.fallMs` is missing ``.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{path}` {problem}")]
pub struct SettingsError {
    /// The path from the root of the file or message to the value, such as `categories[1].name`.
    pub path: String,
    /// The reason why the value is invalid.
    pub problem: Problem,
}

/// Reasons why a value is invalid. Each is displayed as a phrase that follows the path.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Problem {
    /// The value is absent or null.
    #[error("is missing")]
    Missing,
    /// The value has the wrong type or is out of range.
    #[error("is not {expected}")]
    Unexpected {
        /// The accepted values, such as `a number above 0`.
        expected: &'static str,
    },
    /// The value is not among the accepted names.
    #[error("is unknown: {found}")]
    Unknown {
        /// The name that was found.
        found: String,
    },
    /// The value is an index past the end of its list.
    #[error("is {index}, past the end of a list of {length}")]
    IndexOutOfRange {
        /// The index.
        index: usize,
        /// The length of the list.
        length: usize,
    },
    /// The list needs at least one element.
    #[error("has no {element}")]
    Empty {
        /// The kind of thing that an element describes, such as `class`.
        element: &'static str,
    },
    /// The list must have one element for each element of another list.
    #[error("needs one element for each {element} ({expected}), but has {found}")]
    WrongLength {
        /// The number of elements in the list.
        found: usize,
        /// The required number of elements.
        expected: usize,
        /// The kind of thing that an element describes, such as `class`.
        element: &'static str,
    },
    /// The value requires another value, which is missing.
    #[error("requires `{required}`, which is missing")]
    Incomplete {
        /// The name of the missing field.
        required: &'static str,
    },
    /// The list contains a name twice.
    #[error("is listed twice: {name}")]
    Duplicate {
        /// The repeated name.
        name: String,
    },
    /// The settings do not list the name.
    #[error("is not in the settings: {name}")]
    NotInSettings {
        /// The name.
        name: String,
    },
    /// The text does not have the expected form.
    #[error("is not {expected}: {found}")]
    Malformed {
        /// The expected form, as in `an address with a port`.
        expected: &'static str,
        /// The text.
        found: String,
    },
}
