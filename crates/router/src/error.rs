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
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The error of the system call, or of decoding the file as UTF-8.
        source: std::io::Error,
    },
    /// The configuration file is not JSON.
    #[error("{}: {source}", path.display())]
    Json {
        /// Path of the file.
        path: PathBuf,
        /// The first syntax error, with its line and column.
        source: serde_json::Error,
    },
    /// A file has an invalid value.
    #[error("{}: {source}", path.display())]
    InFile {
        /// Path of the file.
        path: PathBuf,
        /// The first invalid value.
        source: Box<ConfigError>,
    },
    /// A value of the configuration file is missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A value of the operator's file is invalid.
    #[error(transparent)]
    OperatorFile(#[from] OperatorConfigError),
    /// An address cannot be parsed.
    #[error("`{field}` is not an address with a port: {text}")]
    Address {
        /// Name of the setting; `listen` also for an address from EDGE_LISTEN.
        field: &'static str,
        /// The value in place of an address.
        text: String,
    },
    /// The seed cannot be parsed.
    #[error("`seed` is not hexadecimal: {text}")]
    Seed {
        /// The value in place of a seed.
        text: String,
        /// The reason: no digits, a character that is no digit, or a number beyond 64 bits.
        source: ParseIntError,
    },
    /// The file of a reload configures a router with another name.
    #[error("`name` is `{name}`, the file configures another router")]
    OtherRouter {
        /// The router's name in the file of the reload.
        name: String,
    },
}

/// Errors that prevent a router from starting, or end it.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The listening socket cannot be opened.
    #[error("listening on {address}: {source}")]
    Listen {
        /// The address on which the router was to accept clients.
        address: SocketAddr,
        /// The error of the system call.
        source: std::io::Error,
    },
    /// The event loop failed while it did `action`.
    #[error("{action}: {source}")]
    EventLoop {
        /// The operation that failed, such as `waiting for events`.
        action: &'static str,
        /// The error of the event loop's library.
        source: calloop::Error,
    },
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
    FrameLength {
        /// The length in the frame, which counts the header and the payload.
        bytes: usize,
    },
    /// The kind of a frame is unknown, or its payload does not fit the kind.
    #[error("invalid frame of kind {kind} with a payload of {bytes} bytes")]
    FrameKind {
        /// The kind on the wire.
        kind: u8,
        /// Length of the payload.
        bytes: usize,
    },
    /// An endpoint's state is unknown.
    #[error("unknown endpoint state {0}")]
    EndpointState(u8),
    /// The settings do not name an endpoint's kind or location.
    #[error("endpoint of kind {kind} in location {location}, which the settings do not name")]
    UnknownKindOrLocation {
        /// Index of the endpoint's kind among the kinds of the settings.
        kind: usize,
        /// Index of the endpoint's location among the locations of the settings.
        location: usize,
    },
    /// The service has sent more events than were received.
    #[error("events are missing: heartbeat for event {number}, last event received is {last}")]
    MissedEvents {
        /// Number of the service's last event, which the heartbeat carries.
        number: u64,
        /// Number of the last event that the router received.
        last: u64,
    },
    /// A list of changes does not follow the last event.
    #[error("events are missing: changes with event {number}, last event received is {last}")]
    EventGap {
        /// Number of the event with the changes.
        number: u64,
        /// Number of the last event that the router received.
        last: u64,
    },
}
