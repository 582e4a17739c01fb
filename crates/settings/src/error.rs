//! Errors in the values of settings, of configuration files and of clients' requests.

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
///
/// The texts of [`Self::Missing`] and [`Self::WrongType`] are part of the client protocol: a router sends them to
/// clients for wrong request parameters.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Problem {
    /// The value is absent or null.
    #[error("is missing")]
    Missing,
    /// The value is not a string or not a number, as the field requires.
    #[error("is not {expected}")]
    WrongType {
        /// The required type: `text` or `a number`.
        expected: &'static str,
    },
    /// The value has the wrong type, is out of range or does not have the required form.
    #[error("must be {expected}, found {found}")]
    Invalid {
        /// The accepted values, such as `a number above 0` or `an address with a port`.
        expected: &'static str,
        /// The value as JSON; `a list` or `an object` in place of one, since its JSON may be long.
        found: String,
    },
    /// The value is not among the accepted names.
    #[error("must be one of `{}`, found `{found}`", known.join("`, `"))]
    UnknownName {
        /// The accepted names.
        known: Vec<&'static str>,
        /// The name in place of an accepted one.
        found: String,
    },
    /// The load report contains a figure that the router does not know.
    #[error("is not a known figure of a load report: {name}")]
    UnknownFigure {
        /// The name of the figure.
        name: String,
    },
    /// The value is an index past the end of its list.
    #[error("must be an index below {length}, found {index}")]
    IndexOutOfRange {
        /// The index that was found. Valid ones are from 0 to `length - 1`.
        index: usize,
        /// The number of elements in the list.
        length: usize,
    },
    /// The list needs at least one element.
    #[error("must have at least one element, one for each {element}, found none")]
    Empty {
        /// The kind of object that an element describes: `class` or `kind`.
        element: &'static str,
    },
    /// The list must have one element for each element of another list.
    #[error("must have one element for each {element} ({expected}), found {found}")]
    WrongLength {
        /// The number of elements in the list.
        found: usize,
        /// The required number of elements.
        expected: usize,
        /// The kind of object that an element describes: `class` or `kind`.
        element: &'static str,
    },
    /// The value has an effect only together with another one, which is missing.
    #[error("requires `{required}`, which is missing")]
    RequiresField {
        /// The name of the missing field, in the same object.
        required: &'static str,
    },
    /// The list contains a name twice. The path is that of the second one.
    #[error("repeats the name {name}, which must be unique in the list")]
    DuplicateName {
        /// The repeated name.
        name: String,
    },
    /// The settings do not list the name.
    #[error("must be a name that the settings list, found {name}")]
    NotInSettings {
        /// The name of a location or an engine kind.
        name: String,
    },
}
