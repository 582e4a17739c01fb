//! Where a router stands: what its configuration tells at start.

use crate::discovery::{Event, known};
use emberflow::{AttemptLimits, Fleet, RequestClass};
use emberflow_operator::Orders;
use emberflow_settings::{
    Fault, Fields, attempt_limits, fleet, marks_retries, request_classes, unknown_reports,
};
use serde_json::Value;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

/// All that is told at start; `listen` takes the place of the configuration's own address.
pub struct Bootstrap {
    pub config: RouterConfig,
    pub fleet: Fleet,
    pub classes: Vec<RequestClass>,
    pub attempt_limits: AttemptLimits,
    /// The last event of the discovery service, and all so far.
    pub last: u64,
    pub events: Vec<Event>,
    /// Fields of the load report that go unread, in words.
    pub unread: Vec<String>,
    /// The operator's own file; nothing without one.
    pub orders: Orders,
}

impl Bootstrap {
    pub fn read(file: &Value, listen: Option<&str>) -> Result<Self, String> {
        let config = RouterConfig::read(file, listen)?;
        let settings = Fields::of(file).part("settings")?;
        let (last, events) = known(Fields::of(file), &config.locations, &config.kinds)?;
        let (fleet, classes) = (fleet(config.seed, settings)?, request_classes(settings)?);
        Ok(Self {
            fleet,
            classes,
            // On sockets a probe tells only that a connection works.
            attempt_limits: AttemptLimits { may_probe: false, ..attempt_limits(settings)? },
            unread: unknown_reports(settings)?.into_iter().map(String::from).collect(),
            last,
            events,
            config,
            orders: Orders::default(),
        })
    }
}

impl Bootstrap {
    /// Takes the operator's own file in, or tells its first fault.
    pub fn order(&mut self, text: &str) -> Result<(), String> {
        self.orders = Orders::read(text)?;
        Ok(())
    }
}

#[derive(Clone)]
pub struct RouterConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub descriptors: usize,
    pub memory: usize,
    /// By their places in the settings.
    pub locations: Vec<String>,
    pub kinds: Vec<String>,
    pub classes: Vec<String>,
    pub marks_retries: bool,
    pub most_open: usize,
    /// Of a connection to an engine: what it carries, how soon it must come up, when the engine closes it.
    pub streams: usize,
    pub comes_up: Duration,
    pub idle_close: Duration,
    /// Whether two attempts of a request may be out at once, which is not so only where the settings say it.
    pub may_duplicate: bool,
    /// What tells these settings from others.
    pub settings: u64,
}

impl RouterConfig {
    fn read(file: &Value, listen: Option<&str>) -> Result<Self, String> {
        let file = Fields::of(file);
        let (limits, settings) = (file.part("limits")?, file.part("settings")?);
        let caps = settings.part("caps")?;
        let address = |name: &str, text: &str| {
            text.parse().map_err(|_| format!("`{name}` is not an address with a port: {text}"))
        };
        let seed = file.text("seed")?;
        Ok(Self {
            name: file.text("name")?.to_owned(),
            listen: address("listen", listen.map_or_else(|| file.text("listen"), Ok)?)?,
            discovery: address("bulletin", file.text("bulletin")?)?,
            seed: u64::from_str_radix(seed, 16).map_err(|_| format!("`seed` is not hexadecimal: {seed}"))?,
            descriptors: limits.index("sockets")?,
            memory: limits.index("memory_mb")?.saturating_mul(1 << 20),
            locations: told_apart(settings.rows("zones")?.map(Ok))?,
            kinds: told_apart(settings.rows("kinds")?.map(Ok))?,
            classes: told_apart(settings.rows("categories")?.map(|row| row.field("name")))?,
            marks_retries: marks_retries(settings)?,
            most_open: caps
                .optional("maxOpen", Fields::not_negative)?
                .map_or(usize::MAX, |most| most as usize)
                .max(1),
            streams: caps.index("streamsPerConn")?.max(1),
            comes_up: caps.time("connectTimeoutMs")?,
            idle_close: caps.time("idleCloseMs")?,
            may_duplicate: caps.optional("mayDuplicate", Fields::flag)?.unwrap_or(true),
            settings: {
                let mut hasher = DefaultHasher::new();
                settings.value().to_string().hash(&mut hasher);
                hasher.finish()
            },
        })
    }

    /// Clients hold a third of the descriptors at most; as many are kept for engines, the rest for what
    /// comes and goes between.
    pub fn most_clients(&self) -> usize {
        self.descriptors / 2
    }

    /// Connections that are closed to their clients and read on for a little: a part of those between.
    pub fn most_parting(&self) -> usize {
        self.descriptors / 12
    }

    /// What stands otherwise in another configuration, of what takes a restart.
    pub fn changed(&self, other: &Self) -> Vec<&'static str> {
        let same = [
            ("`listen`", self.listen == other.listen),
            ("`limits`", (self.descriptors, self.memory) == (other.descriptors, other.memory)),
            ("`zones`", self.locations == other.locations),
            ("`kinds`", self.kinds == other.kinds),
            ("the settings", self.settings == other.settings),
        ];
        same.into_iter().filter(|(_, same)| !same).map(|(what, _)| what).collect()
    }

    pub fn most_connections(&self) -> usize {
        self.descriptors / 3
    }

    /// Bytes that a client may have in one line: a quarter of the memory, over all clients.
    pub fn most_bytes(&self) -> usize {
        self.most_held_bytes() / self.most_clients().max(1)
    }

    /// Bytes of all statements that are open, and of all answers that are unread: a quarter of the memory.
    pub fn most_held_bytes(&self) -> usize {
        self.memory / 4
    }
}

/// Names of which no two are the same.
fn told_apart<'a>(mut list: impl Iterator<Item = Result<Fields<'a>, Fault>>) -> Result<Vec<String>, Fault> {
    list.try_fold(Vec::new(), |mut names, field| {
        let field = field?;
        let name = field.as_text()?.to_owned();
        if names.contains(&name) {
            return Err(field.fault(format_args!("stands there twice: {name}")));
        }
        names.push(name);
        Ok(names)
    })
}
