//! The configuration files of the routers under test.

use super::client::{LONG_REQUEST_TIMEOUT, REQUEST_TIMEOUT};
use super::discovery::ready_engine;
use emberflow_peer_protocol::discovery::{Endpoint, SettingNames, known_list};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The connect timeout of most tests.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings in which [`settings`] replaces `CONNECT_TIMEOUT_MS` and `DEADLINE_MS`.
const SETTINGS_TEMPLATE: &str = r#"{"caps":{"cancel":true,"connectTimeoutMs":CONNECT_TIMEOUT_MS,"idleCloseMs":15000.0,
"maxRetryAfterMs":400.0,"mostTries":3,"retryAfter":true,"streamsPerConn":32},
"categories":[{"deadlineMs":DEADLINE_MS,"gain":1,"lateShare":0,"name":"lookup","onTimeMs":2000.0,"repeat":"repeatable"},
{"deadlineMs":DEADLINE_MS,"gain":1,"lateShare":0,"name":"post","onTimeMs":2000.0,"repeat":"once"}],"discovery":"push",
"domain":{"kindCores":[8],"largestShare":0.4,"lanesCount":true,"sizeMb":[16384.0],"tellsEveryMs":500.0,
"whenShort":"line_up"},"instances":1,"kinds":["std-8"],"myZone":0,"report":{"how":"none","names":[]},
"rules":{"fallMs":1000.0,"overloadFactor":2.5,"startCapacity":0.3,"warmUpMs":9000.0},"tickMs":5.0,
"zones":["hall-a"]}"#;

/// The zones and kinds of [`SETTINGS_TEMPLATE`].
const SETTING_NAMES: SettingNames<'_> = SettingNames { zones: &["hall-a"], kinds: &["std-8"] };
/// The event of the endpoint list in the configuration.
const FIRST_EVENT: u64 = 1;

/// A complete configuration, except for the address at `LISTEN`.
const MINIMAL_CONFIGURATION: &str = r#"{"name":"n0","listen":"LISTEN","seed":"1","limits":{"memory_mb":64,"sockets":256},
"bulletin":"127.0.0.1:1","known":{"no":0,"items":[]},"settings":{"caps":{"cancel":true,"connectTimeoutMs":250,
"idleCloseMs":15000,"mostTries":3,"retryAfter":false,"streamsPerConn":32},"categories":[{"deadlineMs":8000,
"gain":1,"lateShare":0,"name":"lookup","onTimeMs":2000,"repeat":"once"}],"discovery":"push",
"domain":{"kindCores":[8],"largestShare":0.4,"lanesCount":true,"sizeMb":[16384]},"instances":1,"kinds":["std-8"],
"myZone":0,"report":{"how":"none"},"rules":{"fallMs":1000,"overloadFactor":2.5,"startCapacity":0.3,
"warmUpMs":9000},"tickMs":5,"zones":["hall-a"]}}"#;

/// An operator's file with two teams of equal shares, one with a short queue.
pub const TWO_TEAMS: &str = r#"{
    teams: {list: [{name: "audit"}, {name: "posting", most_waiting: 3}], waits: {field: "tell", every_s: 3600}},
}"#;

/// The resource limits of a router.
#[derive(Clone, Copy)]
pub struct ResourceLimits {
    pub memory_mb: u32,
    pub descriptors: u32,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        Self { memory_mb: 64, descriptors: 256 }
    }
}

impl ResourceLimits {
    /// Returns the default limit of memory with another limit of descriptors.
    pub fn with_descriptors(descriptors: u32) -> Self {
        Self { descriptors, ..Self::default() }
    }
}

/// Returns settings with two request classes: `lookup`, which is idempotent, and `post`, which is not.
pub fn settings(connect_timeout: Duration, deadline: Duration) -> String {
    SETTINGS_TEMPLATE
        .replace("CONNECT_TIMEOUT_MS", &connect_timeout.as_millis().to_string())
        .replace("DEADLINE_MS", &deadline.as_millis().to_string())
}

/// Returns the settings of most tests.
pub fn ordinary_settings() -> String {
    settings(CONNECT_TIMEOUT, REQUEST_TIMEOUT)
}

/// Returns settings whose requests may take long.
pub fn long_deadline_settings() -> String {
    settings(CONNECT_TIMEOUT, LONG_REQUEST_TIMEOUT)
}

/// Returns settings with which requests stay queued for long if there is no capacity.
pub fn long_queueing_settings() -> String {
    long_deadline_settings().replace("2000.0", "40000.0")
}

/// Returns a small configuration of a router that listens at an address.
pub fn minimal_configuration(listen: SocketAddr) -> String {
    MINIMAL_CONFIGURATION.replace("LISTEN", &listen.to_string())
}

/// Returns the configuration of a router on a loopback host, with its discovery service and the engines of its list.
pub fn configuration_text(
    host: Ipv4Addr,
    limits: ResourceLimits,
    discovery: SocketAddr,
    engines: &[SocketAddr],
    settings: &str,
) -> String {
    let ResourceLimits { memory_mb, descriptors } = limits;
    let endpoints: Vec<Endpoint> =
        (0..).zip(engines).map(|(id, address)| ready_engine(id, *address)).collect();
    let known = known_list(FIRST_EVENT, &endpoints, &SETTING_NAMES);
    format!(
        r#"{{"name":"n0","listen":"{host}:0","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{descriptors}}},
            "bulletin":"{discovery}","known":{known},"settings":{settings}}}"#
    )
}

/// Writes a configuration file for a test.
pub fn write_configuration_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    std::fs::write(&path, text).expect("the test directory is writable");
    path
}
