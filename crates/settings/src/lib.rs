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

pub use attempt_limits::{attempt_limits, marks_retries};
pub use error::{Problem, SettingsError};
pub use fields::Fields;
pub use fleet::fleet;
pub use load_report::{load, reported, unknown_reports};
pub use request_classes::request_classes;
pub use time::{from_ms, to_ms};

/// The former name of [`SettingsError`].
pub type Fault = SettingsError;
