//! Decodes and validates the operator's file, which is JSON5. An invalid file is rejected with the line and the path of
//! the first error. Features that the file does not mention are off.

// Engineers learn the crate from its documentation, so every public item must be explained.
#![warn(missing_docs)]

mod error;
mod forms;
mod limits;
mod team_config;

pub use error::OperatorConfigError;
pub use limits::MAX_NAME_BYTES;
pub use team_config::{TeamChange, TeamConfig};

use serde::Deserialize;

/// The decoded operator's file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorConfig {
    /// The teams that share the engines; `None` if the feature is off.
    #[serde(default)]
    pub teams: Option<TeamConfig>,
}

impl OperatorConfig {
    /// Decodes and validates the text of a file.
    ///
    /// # Errors
    /// Returns the first error, with its line and path.
    pub fn parse(text: &str) -> Result<Self, OperatorConfigError> {
        let mut deserializer = json5::Deserializer::from_str(text);
        serde_path_to_error::deserialize(&mut deserializer).map_err(OperatorConfigError::new)
    }
}
