//! Decodes the settings that every router receives at start into the types of the `emberflow` library. The simulator
//! sends the same settings as a configuration file contains.
//!
//! [`Fields`] reads single values and names their path in errors. Each of the other functions takes the settings'
//! object and decodes one part of it.

// Engineers learn the crate from its documentation, so every public item must be explained.
#![warn(missing_docs)]

mod attempt_limits;
mod error;
mod fields;
mod fleet;
mod load_report;
mod request_classes;
mod time;

pub use attempt_limits::{clients_mark_retries, decode_attempt_limits};
pub use error::{Problem, SettingsError};
pub use fields::Fields;
pub use fleet::decode_fleet;
pub use load_report::{build_load_report, load_report_names, unknown_load_report_names};
pub use request_classes::decode_request_classes;
pub use time::{from_ms, to_ms};
