//! The operator's own file, in JSON5: either valid as a whole, or rejected with the line, the path and what was
//! expected. A feature that the file leaves out is off.

mod error;
mod forms;
mod team_config;

pub use error::OperatorConfigError;
pub use forms::MAX_NAME_BYTES;
pub use team_config::TeamConfig;

use serde::Deserialize;

/// All that an operator may set.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorConfig {
    /// Teams that share the engines.
    #[serde(default)]
    pub teams: Option<TeamConfig>,
}

impl OperatorConfig {
    /// Decodes and checks the file's text.
    pub fn parse(text: &str) -> Result<Self, OperatorConfigError> {
        let mut deserializer = json5::Deserializer::from_str(text);
        serde_path_to_error::deserialize(&mut deserializer).map_err(OperatorConfigError::new)
    }
}
