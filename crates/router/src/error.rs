//! Errors of the configuration, of a running router, and of the connection to the discovery service.

use crate::discovery::{HEADER_BYTES, MAX_FRAME_BYTES, RECORD_BYTES};
use emberflow_operator::OperatorConfigError;
use emberflow_settings::SettingsError;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::path::PathBuf;

/// Errors of reading a configuration or an operator's file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither the command line nor the environment names a configuration file.
    #[error("no configuration file: neither `--config` nor EDGE_CONFIG is set")]
    NoConfigFile,
    /// A file cannot be read.
    #[error("{}: the file cannot be read: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The error of the system call, or of decoding the file as UTF-8.
        source: std::io::Error,
    },
    /// The configuration file is not JSON.
    #[error("{}: the file is not JSON: {source}", path.display())]
    Json {
        /// Path of the file.
        path: PathBuf,
        /// The first syntax error, with its line and column.
        source: serde_json::Error,
    },
    /// The configuration file or the operator's file has an invalid value.
    #[error("{}: {source}", path.display())]
    InvalidFile {
        /// Path of the file.
        path: PathBuf,
        /// The error of the first invalid value.
        source: Box<ConfigError>,
    },
    /// A value of the configuration file is missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A value of the operator's file is invalid.
    #[error(transparent)]
    OperatorFile(#[from] OperatorConfigError),
    /// An address cannot be parsed.
    #[error("`{field}` must be an IP address with a port, found {found}")]
    Address {
        /// Name of the field; `listen` also for an address from EDGE_LISTEN.
        field: &'static str,
        /// The text in place of an address.
        found: String,
    },
    /// The seed cannot be parsed.
    #[error("`seed` must be a hexadecimal number of up to 64 bits, found {found}: {source}")]
    Seed {
        /// The text in place of a seed.
        found: String,
        /// The reason: no digits, a character that is no digit, or a number beyond 64 bits.
        source: ParseIntError,
    },
    /// The file of a reload configures a router with another name.
    #[error("the file configures the router `{found}`, expected this router, `{expected}`")]
    OtherRouter {
        /// The name of the router that reloads its configuration.
        expected: String,
        /// The router's name in the file.
        found: String,
    },
}

/// Errors that prevent a router from starting, or that stop a running router.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The listening socket cannot be opened.
    #[error("the router cannot listen on {address}: {source}")]
    Listen {
        /// The address on which the router was to accept clients.
        address: SocketAddr,
        /// The error of the system call.
        source: std::io::Error,
    },
    /// An operation of the event loop failed.
    #[error("the event loop failed while {action}: {source}")]
    EventLoop {
        /// The operation that failed, as a phrase that follows `while`: `waiting for events`.
        action: &'static str,
        /// The error of the event loop's library.
        source: calloop::Error,
    },
}

impl ServeError {
    /// Returns a function that converts an error of the event loop. `action` names the operation that failed, as in
    /// [`Self::EventLoop`].
    pub(crate) fn event_loop(action: &'static str) -> impl Fn(calloop::Error) -> Self {
        move |source| Self::EventLoop { action, source }
    }
}

/// Errors of the connection to the discovery service, and of the frames received on it.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The service closed the connection.
    #[error("the discovery service closed the connection")]
    Closed,
    /// The connection could not be established.
    #[error("the connection to the discovery service was not established: {0}")]
    Connect(std::io::Error),
    /// The subscription could not be sent.
    #[error("sending the subscription to the discovery service failed: {0}")]
    Subscribe(std::io::Error),
    /// The connection could not be read.
    #[error("reading from the discovery service failed: {0}")]
    Read(std::io::Error),
    /// A frame is shorter than its header, or longer than the limit.
    #[error("frame length must be {HEADER_BYTES} to {MAX_FRAME_BYTES} bytes, found {bytes}")]
    FrameLength {
        /// The length in the frame's prefix, which counts the header and the payload.
        bytes: usize,
    },
    /// The kind of a frame is unknown, or its payload does not fit the kind.
    #[error(
        "frame must be of kind 0 without payload, or of kind 1 or 2 with records of {RECORD_BYTES} bytes, found kind \
         {kind} with {bytes} bytes"
    )]
    FrameKind {
        /// The value of the frame's kind byte.
        kind: u8,
        /// Length of the frame's payload.
        bytes: usize,
    },
    /// An endpoint's state is unknown.
    #[error("endpoint state must be 0 (ready), 1 (draining) or 2 (removed), found {0}")]
    EndpointState(u8),
    /// The settings do not name an endpoint's kind or location.
    #[error(
        "endpoint must have one of {kind_count} kinds and one of {location_count} locations, found kind {kind} and \
         location {location}"
    )]
    UnknownKindOrLocation {
        /// Index of the endpoint's kind, counted from 0.
        kind: usize,
        /// Index of the endpoint's location, counted from 0.
        location: usize,
        /// Number of engine kinds in the settings.
        kind_count: usize,
        /// Number of locations in the settings.
        location_count: usize,
    },
    /// A heartbeat names a later event than the last one that the router received.
    #[error(
        "the router missed events: the heartbeat is for event {number}, the last event received is {last}"
    )]
    MissedBeforeHeartbeat {
        /// Number of the service's last event, from the heartbeat.
        number: u64,
        /// Number of the last event that the router received.
        last: u64,
    },
    /// An event with changes is not the next one after the last event that the router received.
    #[error("the router missed events: the changes are of event {number}, the last event received is {last}")]
    MissedBeforeChanges {
        /// Number of the event with the changes, which is greater than `last + 1`.
        number: u64,
        /// Number of the last event that the router received.
        last: u64,
    },
}
