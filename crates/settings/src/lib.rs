//! Decodes the settings that every router gets at start, from the simulator's wire and from a configuration file
//! alike, into the types of the `emberflow` library.
//!
//! [`Fields`] reads single values and names their path in errors; the other modules each decode one part of the
//! settings. The caller passes the settings' object to all of them.

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
