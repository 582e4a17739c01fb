//! The router's own configuration: addresses, limits and the names that its settings list.

use crate::error::ConfigError;
use emberflow_settings::{Fields, Problem, SettingsError, clients_mark_retries};
use serde_json::Value;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

const BYTES_PER_MB: usize = 1 << 20;

/// What a router is configured with, apart from what the scheduler itself is built from.
#[derive(Clone)]
pub struct RouterConfig {
    /// The router's name, which a reloaded configuration must have too.
    pub name: String,
    /// Where clients connect.
    pub listen_address: SocketAddr,
    /// Where the discovery service listens.
    pub discovery_address: SocketAddr,
    /// Seed of the scheduler's random choices.
    pub seed: u64,
    /// File descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Memory that the process may use; a part of it bounds the buffers.
    pub memory_bytes: usize,
    /// Names of the locations, by the index that the scheduler and the discovery service use.
    pub locations: Vec<String>,
    /// Names of the engine kinds, by their index.
    pub kinds: Vec<String>,
    /// Names of the request classes, by their index: the methods that clients call.
    pub classes: Vec<String>,
    /// Whether clients mark the requests that they send again.
    pub clients_mark_retries: bool,
    /// Requests that may be open at once, over all clients.
    pub max_open_requests: usize,
    /// Concurrent attempts on one connection to an engine.
    pub streams_per_connection: usize,
    /// How soon a dialled connection to an engine must be established.
    pub connect_timeout: Duration,
    /// After how long without traffic an engine closes a connection.
    pub engine_idle_close: Duration,
    /// Whether two attempts of a request may be in flight at once: true unless the settings forbid it.
    pub allows_concurrent_attempts: bool,
    /// Hash of the settings, to notice at a reload that they have changed.
    pub settings_hash: u64,
}

impl RouterConfig {
    /// Decodes the configuration file; `listen` replaces the address that the file says to listen on.
    pub fn read(file: &Value, listen: Option<&str>) -> Result<Self, ConfigError> {
        let file = Fields::of(file);
        let limits = file.object("limits")?;
        let settings = file.object("settings")?;
        let caps = settings.object("caps")?;
        let seed = file.text("seed")?;
        let max_open = |field, name: &str| Fields::not_negative(field, name).map(|most| most as usize);
        Ok(Self {
            name: file.text("name")?.to_owned(),
            listen_address: parse_address("listen", listen.map_or_else(|| file.text("listen"), Ok)?)?,
            discovery_address: parse_address("bulletin", file.text("bulletin")?)?,
            seed: parse_seed(seed)?,
            max_descriptors: limits.index("sockets")?,
            memory_bytes: limits.index("memory_mb")?.saturating_mul(BYTES_PER_MB),
            locations: unique_names(settings.rows("zones")?.map(Ok))?,
            kinds: unique_names(settings.rows("kinds")?.map(Ok))?,
            classes: unique_names(settings.rows("categories")?.map(|row| row.field("name")))?,
            clients_mark_retries: clients_mark_retries(settings)?,
            max_open_requests: caps.optional("maxOpen", max_open)?.unwrap_or(usize::MAX).max(1),
            streams_per_connection: caps.index("streamsPerConn")?.max(1),
            connect_timeout: caps.time("connectTimeoutMs")?,
            engine_idle_close: caps.time("idleCloseMs")?,
            allows_concurrent_attempts: caps.optional("mayDuplicate", Fields::flag)?.unwrap_or(true),
            settings_hash: hash_of(settings.value()),
        })
    }

    /// Client connections accepted at once: half of the descriptors. A third is for engines, and the rest for
    /// connections that are being opened or closed.
    pub fn max_clients(&self) -> usize {
        self.max_descriptors / 2
    }

    /// Client connections that are closed for writing and still drained.
    pub fn max_lingering_clients(&self) -> usize {
        self.max_descriptors / 12
    }

    /// Connections to engines open at once.
    pub fn max_engine_connections(&self) -> usize {
        self.max_descriptors / 3
    }

    /// Bytes of one line of a client: over all clients, a quarter of the memory.
    pub fn max_line_bytes(&self) -> usize {
        self.max_buffered_bytes() / self.max_clients().max(1)
    }

    /// Bytes of the statements of all open requests, and likewise of all answers not yet written: a quarter of
    /// the memory for each.
    pub fn max_buffered_bytes(&self) -> usize {
        self.memory_bytes / 4
    }

    /// The parts that differ in `other` and take effect only after a restart, as the log names them.
    pub fn restart_only_changes(&self, other: &Self) -> Vec<&'static str> {
        let same_limits =
            self.max_descriptors == other.max_descriptors && self.memory_bytes == other.memory_bytes;
        let parts = [
            ("`listen`", self.listen_address == other.listen_address),
            ("`limits`", same_limits),
            ("`zones`", self.locations == other.locations),
            ("`kinds`", self.kinds == other.kinds),
            ("the settings", self.settings_hash == other.settings_hash),
        ];
        parts.into_iter().filter(|(_, is_same)| !is_same).map(|(part, _)| part).collect()
    }
}

fn parse_address(field: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Address { field, text: text.to_owned() })
}

fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, 16).map_err(|source| ConfigError::Seed { text: text.to_owned(), source })
}

/// The texts of a list in which no two may be the same.
fn unique_names<'a>(
    fields: impl Iterator<Item = Result<Fields<'a>, SettingsError>>,
) -> Result<Vec<String>, SettingsError> {
    let mut names = Vec::new();
    for field in fields {
        let field = field?;
        let name = field.as_text()?.to_owned();
        if names.contains(&name) {
            return Err(field.error(Problem::Duplicate { name }));
        }
        names.push(name);
    }
    Ok(names)
}

fn hash_of(settings: &Value) -> u64 {
    let mut hasher = DefaultHasher::new();
    settings.to_string().hash(&mut hasher);
    hasher.finish()
}
