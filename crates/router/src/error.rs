//! Errors of reading the configuration and of serving.

use emberflow_operator::OperatorConfigError;
use emberflow_settings::SettingsError;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::path::PathBuf;

/// Why a configuration or an operator's file was not taken.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("EDGE_CONFIG is not set")]
    NoPath,
    #[error("{}: {source}", path.display())]
    Read { path: PathBuf, source: std::io::Error },
    #[error("{}: {source}", path.display())]
    Json { path: PathBuf, source: serde_json::Error },
    /// What is wrong within a file.
    #[error("{}: {source}", path.display())]
    InFile { path: PathBuf, source: Box<ConfigError> },
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    OperatorFile(#[from] OperatorConfigError),
    #[error("`{field}` is not an address with a port: {text}")]
    Address { field: &'static str, text: String },
    #[error("`seed` is not hexadecimal: {text}")]
    Seed { text: String, source: ParseIntError },
    /// At a reload, the file names another router.
    #[error("it is the configuration of `{name}`")]
    OtherRouter { name: String },
}

/// Why a router could not start, or stopped before it was told to.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("listening on {address}: {source}")]
    Listen { address: SocketAddr, source: std::io::Error },
    #[error("{action}: {source}")]
    EventLoop { action: &'static str, source: calloop::Error },
}

impl ServeError {
    /// Converts an error of the event loop, by what was being done.
    pub(crate) fn event_loop(action: &'static str) -> impl Fn(calloop::Error) -> Self {
        move |source| Self::EventLoop { action, source }
    }
}

/// What was wrong with the discovery service's connection or with what came over it.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    #[error("the discovery service closed the connection")]
    Closed,
    #[error("connecting: {0}")]
    Connect(std::io::Error),
    #[error("sending the last event's number: {0}")]
    Subscribe(std::io::Error),
    #[error("reading: {0}")]
    Read(std::io::Error),
    #[error("a frame of {bytes} bytes")]
    FrameLength { bytes: usize },
    #[error("a frame of kind {kind} with {bytes} bytes")]
    FrameKind { kind: u8, bytes: usize },
    #[error("an engine in state {0}")]
    EndpointState(u8),
    #[error("an engine of kind {kind} in location {location}")]
    UnknownKindOrLocation { kind: usize, location: usize },
    #[error("heartbeat for event {number} after event {last}: events are missing")]
    MissedEvents { number: u64, last: u64 },
    #[error("changes {number} after event {last}")]
    EventGap { number: u64, last: u64 },
}
