//! Errors of the configuration, of serving, and of the discovery service's connection.

use emberflow_operator::OperatorConfigError;
use emberflow_settings::SettingsError;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::path::PathBuf;

/// Errors of reading a configuration or an operator's file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The command line and the environment name no configuration file.
    #[error("no configuration file: neither `--config` nor EDGE_CONFIG is set")]
    NoPath,
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Read { path: PathBuf, source: std::io::Error },
    /// The configuration file is not JSON.
    #[error("{}: {source}", path.display())]
    Json { path: PathBuf, source: serde_json::Error },
    /// A file has an invalid value.
    #[error("{}: {source}", path.display())]
    InFile { path: PathBuf, source: Box<ConfigError> },
    /// A value of the configuration file is missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A value of the operator's file is invalid.
    #[error(transparent)]
    OperatorFile(#[from] OperatorConfigError),
    /// An address cannot be parsed.
    #[error("`{field}` is not an address with a port: {text}")]
    Address { field: &'static str, text: String },
    /// The seed cannot be parsed.
    #[error("`seed` is not hexadecimal: {text}")]
    Seed { text: String, source: ParseIntError },
    /// The file of a reload configures a router with another name.
    #[error("`name` is `{name}`, the file configures another router")]
    OtherRouter { name: String },
}

/// Errors that prevent a router from starting, or end it.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The listening socket cannot be opened.
    #[error("listening on {address}: {source}")]
    Listen { address: SocketAddr, source: std::io::Error },
    /// The event loop failed while it did `action`.
    #[error("{action}: {source}")]
    EventLoop { action: &'static str, source: calloop::Error },
}

impl ServeError {
    /// Returns a function that converts an error of the event loop. `action` names the operation that failed.
    pub(crate) fn event_loop(action: &'static str) -> impl Fn(calloop::Error) -> Self {
        move |source| Self::EventLoop { action, source }
    }
}

/// Errors of the discovery service's connection, and of its frames.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The service closed the connection.
    #[error("the discovery service closed the connection")]
    Closed,
    /// The connection could not be established.
    #[error("connecting: {0}")]
    Connect(std::io::Error),
    /// The subscription could not be sent.
    #[error("sending the last event's number: {0}")]
    Subscribe(std::io::Error),
    /// The connection could not be read.
    #[error("reading: {0}")]
    Read(std::io::Error),
    /// A frame is shorter than its header, or longer than the limit.
    #[error("invalid frame length of {bytes} bytes")]
    FrameLength { bytes: usize },
    /// The kind of a frame is unknown, or its payload does not fit the kind.
    #[error("invalid frame of kind {kind} with a payload of {bytes} bytes")]
    FrameKind { kind: u8, bytes: usize },
    /// An endpoint's state is unknown.
    #[error("unknown endpoint state {0}")]
    EndpointState(u8),
    /// The settings do not name an endpoint's kind or location.
    #[error("endpoint of kind {kind} in location {location}, which the settings do not name")]
    UnknownKindOrLocation { kind: usize, location: usize },
    /// The service has sent more events than were received.
    #[error("events are missing: heartbeat for event {number}, last event received is {last}")]
    MissedEvents { number: u64, last: u64 },
    /// A list of changes does not follow the last event.
    #[error("events are missing: changes with event {number}, last event received is {last}")]
    EventGap { number: u64, last: u64 },
}
