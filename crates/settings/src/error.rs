//! What can be wrong with a setting.

use thiserror::Error;

/// A setting that can't be used: where it stands and what was expected of it.
///
/// It is printed as one phrase that starts with the path: `` `rules.fallMs` is missing ``.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{path}` {problem}")]
pub struct SettingsError {
    /// The way from the file's or the message's root to the value, as in `categories[1].name`.
    pub path: String,
    /// What is wrong with the value that stands there.
    pub problem: Problem,
}

/// What is wrong with a value, as a phrase that follows its path.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Problem {
    /// There is no value, or it is null.
    #[error("is missing")]
    Missing,
    /// The value has another type or lies outside of its range.
    #[error("is not {expected}")]
    Unexpected {
        /// The values that are accepted, as in `a number above 0`.
        expected: &'static str,
    },
    /// The value is none of the names that are accepted here.
    #[error("is unknown: {found}")]
    Unknown {
        /// The name that was found.
        found: String,
    },
    /// The value is an index into a list that is too short for it.
    #[error("is {index}, past the end of a list of {length}")]
    IndexOutOfRange {
        /// The value.
        index: usize,
        /// The length of the list that it refers to.
        length: usize,
    },
    /// The list needs at least one element.
    #[error("holds no {element}")]
    Empty {
        /// What an element describes.
        element: &'static str,
    },
    /// The list has to be as long as another one.
    #[error("has {found} rows, not {expected}, one a {element}")]
    WrongLength {
        /// Elements in the list.
        found: usize,
        /// Elements that it should have.
        expected: usize,
        /// What an element describes.
        element: &'static str,
    },
    /// The value has no meaning without another one that is missing.
    #[error("stands without `{required}`")]
    Incomplete {
        /// Name of the missing field.
        required: &'static str,
    },
    /// The list may hold each name once.
    #[error("is listed twice: {name}")]
    Duplicate {
        /// The name that was found again.
        name: String,
    },
    /// The name refers to nothing that the settings list.
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
