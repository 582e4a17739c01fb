//! The configuration of the router itself: addresses, limits, and the names of locations, engine kinds and request
//! classes.

use crate::error::ConfigError;
use emberflow_settings::{Fields, Problem, SettingsError, clients_mark_retries};
use serde_json::Value;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes of a megabyte (MB) in the configuration.
pub const BYTES_PER_MB: usize = 1 << 20;

/// Upper limit of numbers from clients and engines, in milliseconds or MB. The scheduler's estimates must not be
/// distorted by impossible values.
pub const MAX_PEER_NUMBER: f64 = 1e9;

/// Connections of clients may use the descriptors of the process divided by this number. The descriptors that neither
/// clients nor engines may use are for connections that are being opened or closed.
const CLIENT_DESCRIPTORS_DIVISOR: usize = 2;
/// Connections to engines may use the descriptors divided by this number.
const ENGINE_DESCRIPTORS_DIVISOR: usize = 3;
/// Lingering connections of clients may use the descriptors divided by this number.
const LINGERING_DESCRIPTORS_DIVISOR: usize = 12;
/// Each of these may use the memory of the process divided by this number: the statements and keys of open requests,
/// the results that are being collected, the unwritten answers, and the unfinished lines of clients.
const BUFFER_MEMORY_DIVISOR: usize = 4;
const SEED_RADIX: u32 = 16;

/// The configuration of a router, apart from the scheduler's settings.
#[derive(Clone)]
pub struct RouterConfig {
    /// The router's name. A reloaded configuration must have the same name.
    pub name: String,
    /// The address at which the router accepts clients.
    pub listen_address: SocketAddr,
    /// The address of the discovery service.
    pub discovery_address: SocketAddr,
    /// Seed of the scheduler's random choices, in hexadecimal in the file.
    pub seed: u64,
    /// Maximum number of open file descriptors of the process.
    pub max_descriptors: usize,
    /// Memory that the process may use. A part of it is the limit of each kind of buffer.
    pub memory_bytes: usize,
    /// Names of the locations, by the index that the scheduler and the discovery service use.
    pub locations: Vec<String>,
    /// Names of the engine kinds, by the index that the scheduler and the discovery service use.
    pub kinds: Vec<String>,
    /// Names of the request classes, by the scheduler's index. Clients use them as methods.
    pub classes: Vec<String>,
    /// Whether clients mark their retries.
    pub clients_mark_retries: bool,
    /// Maximum number of open requests of all clients, at least 1; `usize::MAX` if the settings have no limit.
    pub max_open_requests: usize,
    /// Maximum number of concurrent attempts on one connection to an engine, at least 1.
    pub streams_per_connection: usize,
    /// Time within which a dialled connection to an engine must be established.
    pub connect_timeout: Duration,
    /// Time without traffic after which an engine closes a connection.
    pub engine_idle_close: Duration,
    /// Whether two attempts of a request may be in flight at the same time.
    pub allows_concurrent_attempts: bool,
    /// Hash of the settings, by which a reload detects that they have changed.
    pub settings_hash: u64,
}

impl RouterConfig {
    /// Decodes the configuration file. `listen` replaces the listening address of the file.
    ///
    /// # Errors
    /// Returns the first value that is missing or invalid, with its path.
    pub fn read(file: &Value, listen: Option<&str>) -> Result<Self, ConfigError> {
        let file = Fields::of(file);
        let limits = file.object("limits")?;
        let settings = file.object("settings")?;
        let caps = settings.object("caps")?;
        let seed = file.text("seed")?;
        Ok(Self {
            name: file.text("name")?.to_owned(),
            listen_address: parse_address("listen", listen.map_or_else(|| file.text("listen"), Ok)?)?,
            discovery_address: parse_address("bulletin", file.text("bulletin")?)?,
            seed: parse_seed(seed)?,
            max_descriptors: limits.index("sockets")?,
            memory_bytes: limits.index("memory_mb")?.saturating_mul(BYTES_PER_MB),
            locations: unique_names(settings.elements("zones")?.map(Ok))?,
            kinds: unique_names(settings.elements("kinds")?.map(Ok))?,
            classes: unique_names(settings.elements("categories")?.map(|class| class.field("name")))?,
            clients_mark_retries: clients_mark_retries(settings)?,
            max_open_requests: max_open_requests(caps)?,
            streams_per_connection: caps.index("streamsPerConn")?.max(1),
            connect_timeout: caps.time("connectTimeoutMs")?,
            engine_idle_close: caps.time("idleCloseMs")?,
            allows_concurrent_attempts: caps.optional("mayDuplicate", Fields::flag)?.unwrap_or(true),
            settings_hash: settings_hash(settings.value()),
        })
    }

    /// Maximum number of open connections of clients.
    pub fn max_clients(&self) -> usize {
        self.max_descriptors / CLIENT_DESCRIPTORS_DIVISOR
    }

    /// Maximum number of clients' connections that are shut down for writing and still drained.
    pub fn max_lingering_clients(&self) -> usize {
        self.max_descriptors / LINGERING_DESCRIPTORS_DIVISOR
    }

    /// Maximum number of open connections to engines.
    pub fn max_engine_connections(&self) -> usize {
        self.max_descriptors / ENGINE_DESCRIPTORS_DIVISOR
    }

    /// Maximum bytes of one line of a client. The lines of all clients together fit into [`Self::max_buffered_bytes`].
    pub fn max_line_bytes(&self) -> usize {
        self.max_buffered_bytes() / self.max_clients().max(1)
    }

    /// Maximum bytes of the statements and idempotency keys of all open requests. The same limit holds for all results
    /// that are being collected, and for all unwritten answers.
    pub fn max_buffered_bytes(&self) -> usize {
        self.memory_bytes / BUFFER_MEMORY_DIVISOR
    }

    /// Returns the parts of the configuration in which `other` differs and that take effect only after a restart. The
    /// names are those for the log.
    pub fn restart_only_changes(&self, other: &Self) -> Vec<&'static str> {
        let same_limits =
            self.max_descriptors == other.max_descriptors && self.memory_bytes == other.memory_bytes;
        let restart_only_parts = [
            ("`listen`", self.listen_address == other.listen_address),
            ("`limits`", same_limits),
            ("`zones`", self.locations == other.locations),
            ("`kinds`", self.kinds == other.kinds),
            ("the settings", self.settings_hash == other.settings_hash),
        ];
        let mut changed = Vec::new();
        for (part, is_unchanged) in restart_only_parts {
            if !is_unchanged {
                changed.push(part);
            }
        }
        changed
    }
}

/// Decodes the limit of open requests, which is at least 1. Without the setting there is no limit.
fn max_open_requests(caps: Fields<'_>) -> Result<usize, SettingsError> {
    let limit = caps.optional("maxOpen", Fields::non_negative)?;
    Ok(limit.map_or(usize::MAX, |limit| limit as usize).max(1))
}

fn parse_address(field: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Address { field, found: text.to_owned() })
}

fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, SEED_RADIX)
        .map_err(|source| ConfigError::Seed { found: text.to_owned(), source })
}

/// Reads a list of names; fails if a name occurs twice, since names are resolved to indices in the list.
fn unique_names<'a>(
    fields: impl Iterator<Item = Result<Fields<'a>, SettingsError>>,
) -> Result<Vec<String>, SettingsError> {
    let mut names = Vec::new();
    for field in fields {
        let field = field?;
        let name = field.as_text()?.to_owned();
        if names.contains(&name) {
            return Err(field.error(Problem::DuplicateName { name }));
        }
        names.push(name);
    }
    Ok(names)
}

fn settings_hash(settings: &Value) -> u64 {
    let mut hasher = DefaultHasher::new();
    settings.to_string().hash(&mut hasher);
    hasher.finish()
}
