//! The settings of a soak, and the configuration file of each router.

use crate::records::Class;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// Part of an engine's cores that is busy at its capacity.
const BUSY_AT_CAPACITY: f64 = 0.85;
/// How often an engine reports the progress of an attempt.
pub const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// Zones and cells of the engines.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
pub const CELLS: usize = 8;

/// What a starting engine bears.
#[derive(Clone, Copy)]
pub struct SlowStart {
    pub warm_up: Duration,
    pub start_capacity: f64,
    pub overload_factor: f64,
    pub window: Duration,
    pub cores: f64,
}

impl SlowStart {
    /// Requests of mean work that the settings allow in a window that ends at this age.
    pub fn allowed(&self, age: Duration, mean_work: Duration) -> f64 {
        let warmth = (age.as_secs_f64() / self.warm_up.as_secs_f64()).min(1.0);
        let part = self.start_capacity + (1.0 - self.start_capacity) * warmth;
        let work = self.overload_factor * self.cores * BUSY_AT_CAPACITY * part * self.window.as_secs_f64();
        work / mean_work.as_secs_f64()
    }
}

/// What a router may use.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u64,
    pub descriptors: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 192, descriptors: 1024 }
    }
}

/// Of a class: its share of the requests, mean work, latency objective and deadline, all in milliseconds.
pub struct ClassProfile {
    pub share: f64,
    pub work: Duration,
    pub objective_ms: u64,
    pub deadline: Duration,
}

/// The profile of a class.
pub fn profile(class: Class) -> ClassProfile {
    let (share, work_ms, objective_ms, deadline_ms) = match class {
        Class::Lookup => (0.6, 20, 300, 1200),
        Class::Report => (0.15, 250, 1200, 2500),
        Class::Post => (0.15, 60, 600, 2000),
        Class::Load => (0.1, 80, 800, 2000),
    };
    let deadline = Duration::from_millis(deadline_ms);
    ClassProfile { share, work: Duration::from_millis(work_ms), objective_ms, deadline }
}

/// The longest deadline of any class.
pub fn longest_deadline() -> Duration {
    Class::ALL.into_iter().map(|class| profile(class).deadline).max().unwrap_or_default()
}

/// Mean work of a request.
pub fn mean_work() -> Duration {
    Class::ALL.into_iter().map(|class| profile(class).work.mul_f64(profile(class).share)).sum()
}

/// The slow start of an engine with so many cores.
pub fn slow_start(cores: f64) -> SlowStart {
    SlowStart {
        warm_up: Duration::from_secs(6),
        start_capacity: 0.3,
        overload_factor: 2.5,
        window: Duration::from_secs(1),
        cores,
    }
}

/// Where one router's peers are.
pub struct RouterAddresses {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
}

/// The configuration file of a router.
pub fn router_config(
    name: &str,
    seed: u64,
    addresses: &RouterAddresses,
    known: &Value,
    router_count: usize,
    cores: f64,
) -> Value {
    let limits = Limits::default();
    let SlowStart { warm_up, start_capacity, overload_factor, window, .. } = slow_start(cores);
    json!({"name": name, "listen": addresses.listen.to_string(), "seed": format!("{seed:x}"),
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.descriptors},
        "bulletin": addresses.discovery.to_string(), "known": known,
        "settings": {"instances": router_count, "myZone": 0, "zones": ZONES, "kinds": ["std"],
            "discovery": "push", "tickMs": 5,
            "categories": Class::ALL.map(class_settings),
            "caps": {"cancel": true, "connectTimeoutMs": 250, "idleCloseMs": 4000, "maxRetryAfterMs": 400,
                "mostTries": 3, "retryAfter": true, "streamsPerConn": 32, "mayDuplicate": true},
            "domain": {"kindCores": [cores], "largestShare": 0.4, "lanesCount": true, "sizeMb": [4096.0],
                "tellsEveryMs": PROGRESS_INTERVAL.as_millis() as u64, "whenShort": "line_up"},
            "report": {"how": "none", "names": []},
            "rules": {"fallMs": window.as_millis() as u64, "overloadFactor": overload_factor,
                "startCapacity": start_capacity, "warmUpMs": warm_up.as_millis() as u64}}})
}

fn class_settings(class: Class) -> Value {
    let repeat = match class {
        Class::Lookup | Class::Report => "repeatable",
        Class::Post => "once",
        Class::Load => "by_key",
    };
    let profile = profile(class);
    json!({"name": class.name(), "onTimeMs": profile.objective_ms,
        "deadlineMs": profile.deadline.as_millis() as u64, "gain": 1, "lateShare": 0.1, "repeat": repeat,
        "keyScope": "all", "windowMs": 5000})
}
