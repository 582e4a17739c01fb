//! The configuration of the demo's router.

use serde_json::{Value, json};
use std::net::SocketAddr;

/// Number of cores of each engine, in the settings and in the load model of the emulated engines.
pub const CORES_PER_ENGINE: f64 = 4.0;
/// Memory of each engine, in MB, in the settings and in the load model of the emulated engines.
pub const ENGINE_MEMORY_MB: f64 = 4096.0;
/// Cores that the router may use.
const ROUTER_CORES: f64 = 1.0;
/// Memory limit of the router's process, in MB.
const ROUTER_MEMORY_MB: u32 = 192;
/// Maximum number of file descriptors of the router's process.
const ROUTER_DESCRIPTORS: u32 = 1024;
/// Interval of the router's timer.
const TICK_MS: u32 = 5;
/// How long the router waits until a connection to an engine is established.
const CONNECT_TIMEOUT_MS: u32 = 250;
/// Idle time after which an engine closes a connection, according to the settings.
const IDLE_TIMEOUT_MS: u32 = 15_000;
/// Maximum Retry-After of a rejection.
const MAX_RETRY_AFTER_MS: u32 = 2000;
/// Maximum number of attempts of a request.
const MAX_ATTEMPTS: u32 = 3;
/// Maximum number of open calls on a connection to an engine.
const MAX_CALLS_PER_CONNECTION: u32 = 32;
/// Largest memory grant, as a fraction of the engine's memory.
const MAX_MEMORY_SHARE: f64 = 0.4;
/// Interval of an engine's progress replies, according to the settings.
const PROGRESS_INTERVAL_MS: u32 = 500;
/// Fraction of the priority weight that a late answer is worth.
const LATE_VALUE_SHARE: f64 = 0.1;
/// Length of the window in which [`OVERLOAD_FACTOR`] limits the load.
const SLOW_START_WINDOW_MS: u32 = 1000;
/// Load that an engine withstands while it is warming up, as a multiple of its capacity.
const OVERLOAD_FACTOR: f64 = 2.5;
/// Capacity of an engine right after its start, as a fraction of its full capacity.
const START_CAPACITY: f64 = 0.33;
/// Time from an engine's start to its full capacity.
const WARM_UP_MS: u32 = 3000;

/// The settings of a request class.
struct ClassSettings {
    name: &'static str,
    latency_objective_ms: u32,
    deadline_ms: u32,
    /// Whether a request of the class may run more than once.
    is_idempotent: bool,
}

const CLASSES: [ClassSettings; 3] = [
    ClassSettings { name: "lookup", latency_objective_ms: 600, deadline_ms: 4000, is_idempotent: true },
    ClassSettings { name: "report", latency_objective_ms: 4000, deadline_ms: 12_000, is_idempotent: true },
    ClassSettings { name: "post", latency_objective_ms: 1500, deadline_ms: 6000, is_idempotent: false },
];

impl ClassSettings {
    fn to_json(&self) -> Value {
        let idempotency = if self.is_idempotent { "repeatable" } else { "once" };
        json!({"name": self.name, "onTimeMs": self.latency_objective_ms, "deadlineMs": self.deadline_ms, "gain": 1,
            "lateShare": LATE_VALUE_SHARE, "repeat": idempotency})
    }
}

/// Returns the configuration of a router that listens on `listen` and gets its endpoint list from `discovery`.
pub fn configuration(listen: SocketAddr, discovery: SocketAddr) -> Value {
    json!({"name": "demo", "listen": listen.to_string(), "seed": "1",
        "limits": {"cores": ROUTER_CORES, "memory_mb": ROUTER_MEMORY_MB, "sockets": ROUTER_DESCRIPTORS},
        "bulletin": discovery.to_string(), "known": {"no": 0, "items": []},
        "settings": {"instances": 1, "myZone": 0, "zones": ["hall-a"], "kinds": ["std-4"], "discovery": "push",
            "tickMs": TICK_MS, "categories": CLASSES.each_ref().map(ClassSettings::to_json),
            "caps": {"cancel": true, "connectTimeoutMs": CONNECT_TIMEOUT_MS, "idleCloseMs": IDLE_TIMEOUT_MS,
                "maxRetryAfterMs": MAX_RETRY_AFTER_MS, "mostTries": MAX_ATTEMPTS, "retryAfter": true,
                "streamsPerConn": MAX_CALLS_PER_CONNECTION},
            "domain": {"kindCores": [CORES_PER_ENGINE], "largestShare": MAX_MEMORY_SHARE, "lanesCount": false,
                "sizeMb": [ENGINE_MEMORY_MB], "tellsEveryMs": PROGRESS_INTERVAL_MS},
            "report": {"how": "none"},
            "rules": {"fallMs": SLOW_START_WINDOW_MS, "overloadFactor": OVERLOAD_FACTOR,
                "startCapacity": START_CAPACITY, "warmUpMs": WARM_UP_MS}}})
}
