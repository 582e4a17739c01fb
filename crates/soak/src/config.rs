//! The settings of the routers in a soak, and the configuration file of each router.

use crate::classes::RequestClass;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// The zones of the engines, in the order of the settings.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// The kinds of engines, in the order of the settings.
pub const KINDS: [&str; 1] = ["std"];
/// Number of cells in each zone; the engines of a zone are assigned to them in turn.
pub const CELLS_PER_ZONE: usize = 8;
/// Number of cores of each engine, in the settings and in the load model of the emulated engines.
pub const CORES_PER_ENGINE: f64 = 2.0;
/// Memory of each engine in the settings, in MB. The load model of the emulated engines has no memory.
const ENGINE_MEMORY_MB: f64 = 4096.0;
/// Fraction of an engine's cores that is busy when the engine runs at its capacity.
const UTILIZATION_AT_CAPACITY: f64 = 0.85;
/// Interval of the progress replies to a running call.
pub const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// Cores that a router may use.
const ROUTER_CORES: f64 = 1.0;
/// Interval of the routers' timer.
const ROUTER_TICK: Duration = Duration::from_millis(5);
/// How long a router waits until a connection to an engine is established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time after which an engine closes a connection, according to the settings.
const IDLE_TIMEOUT: Duration = Duration::from_millis(4000);
/// Maximum Retry-After of a rejection.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Maximum number of attempts of a request.
pub const MAX_ATTEMPTS: usize = 3;
/// Maximum number of open calls on a connection to an engine.
const MAX_CALLS_PER_CONNECTION: u32 = 32;
/// Largest memory grant, as a fraction of the engine's memory.
const MAX_MEMORY_SHARE: f64 = 0.4;
/// Fraction of the priority weight that a late answer is worth.
const LATE_VALUE_SHARE: f64 = 0.1;
/// How long engines remember an idempotency key: less than the deadline of requests with a key, so that windows end
/// while requests are open.
pub const IDEMPOTENCY_WINDOW: Duration = Duration::from_millis(600);

/// The slow start of an engine: the load that routers may send to it while it is warming up.
#[derive(Clone, Copy)]
pub struct SlowStart {
    /// Time from the start of the engine to its full capacity.
    pub warm_up: Duration,
    /// Capacity at the start, as a fraction of the full capacity.
    pub start_capacity: f64,
    /// Load that the engine withstands while it is warming up, as a multiple of its capacity.
    pub overload_factor: f64,
    /// Length of the sliding window over which load is summed.
    pub window: Duration,
    /// Cores of the engine.
    pub cores: f64,
}

/// The slow start of each engine.
pub const SLOW_START: SlowStart = SlowStart {
    warm_up: Duration::from_secs(6),
    start_capacity: 0.3,
    overload_factor: 2.5,
    window: Duration::from_secs(1),
    cores: CORES_PER_ENGINE,
};

impl SlowStart {
    /// Returns how many requests of `mean_work` the engine may receive in a window that ends `age` after its start.
    pub fn allowed_requests(&self, age: Duration, mean_work: Duration) -> f64 {
        let warm_fraction = (age.as_secs_f64() / self.warm_up.as_secs_f64()).min(1.0);
        let capacity = self.start_capacity + (1.0 - self.start_capacity) * warm_fraction;
        let busy_cores = self.overload_factor * self.cores * UTILIZATION_AT_CAPACITY * capacity;
        busy_cores * self.window.as_secs_f64() / mean_work.as_secs_f64()
    }
}

/// Limits of a router's process.
#[derive(Clone, Copy)]
pub struct ProcessLimits {
    /// Resident memory in MB.
    pub memory_mb: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// The limits of each router's process.
pub const PROCESS_LIMITS: ProcessLimits = ProcessLimits { memory_mb: 192, descriptors: 1024 };

/// The addresses of one router and of its discovery service.
pub struct RouterAddresses {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
}

/// Returns the configuration of a router; `router_count` is the number of routers in the settings.
pub fn router_config(
    name: &str,
    seed: u64,
    addresses: &RouterAddresses,
    known_endpoints: &Value,
    router_count: usize,
) -> Value {
    json!({"name": name, "listen": addresses.listen.to_string(), "seed": format!("{seed:x}"),
        "limits": {"cores": ROUTER_CORES, "memory_mb": PROCESS_LIMITS.memory_mb,
            "sockets": PROCESS_LIMITS.descriptors},
        "bulletin": addresses.discovery.to_string(), "known": known_endpoints,
        "settings": {"instances": router_count, "myZone": 0, "zones": ZONES, "kinds": KINDS,
            "discovery": "push", "tickMs": milliseconds(ROUTER_TICK),
            "categories": RequestClass::ALL.map(class_settings),
            "caps": {"cancel": true, "connectTimeoutMs": milliseconds(CONNECT_TIMEOUT),
                "idleCloseMs": milliseconds(IDLE_TIMEOUT), "maxRetryAfterMs": milliseconds(MAX_RETRY_AFTER),
                "mostTries": MAX_ATTEMPTS, "retryAfter": true, "streamsPerConn": MAX_CALLS_PER_CONNECTION,
                "mayDuplicate": true},
            "domain": {"kindCores": [CORES_PER_ENGINE], "largestShare": MAX_MEMORY_SHARE, "lanesCount": true,
                "sizeMb": [ENGINE_MEMORY_MB], "tellsEveryMs": milliseconds(PROGRESS_INTERVAL),
                "whenShort": "line_up"},
            "report": {"how": "none", "names": []},
            "rules": {"fallMs": milliseconds(SLOW_START.window), "overloadFactor": SLOW_START.overload_factor,
                "startCapacity": SLOW_START.start_capacity, "warmUpMs": milliseconds(SLOW_START.warm_up)}}})
}

/// Returns the entry of a request class in the settings.
fn class_settings(class: RequestClass) -> Value {
    let idempotency = match class {
        RequestClass::Lookup | RequestClass::Report => "repeatable",
        RequestClass::Post => "once",
        RequestClass::Load => "by_key",
    };
    let profile = class.profile();
    json!({"name": class.name(), "onTimeMs": milliseconds(profile.latency_objective),
        "deadlineMs": milliseconds(profile.deadline), "gain": 1, "lateShare": LATE_VALUE_SHARE,
        "repeat": idempotency, "keyScope": "all", "windowMs": milliseconds(IDEMPOTENCY_WINDOW)})
}

/// Converts a duration to the unit of the settings; fractions of a millisecond are dropped.
fn milliseconds(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
