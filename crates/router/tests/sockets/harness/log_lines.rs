//! Parts of the router's log lines that tests wait for or count.

/// The counters, logged at the end of a graceful shutdown.
pub const COUNTERS_AT_EXIT: &str = "counters at exit";
/// The counters, logged at a signal.
pub const COUNTERS: &str = "counters";
/// A reload has failed. The previous configuration stays in effect.
pub const RELOAD_FAILED: &str = "configuration not reloaded";
/// A reload read the configuration of another router.
pub const CONFIGURATION_OF_ANOTHER: &str = "the file configures the router `n1`, expected this router, `n0`";
/// A reload read settings that take effect at a restart only.
pub const SETTINGS_NEED_RESTART: &str = "configuration change needs a restart: changed=the settings";
/// A reload removed a team whose requests were queued.
pub const TEAM_REMOVED: &str = "team posting removed";
/// A reload removed all teams.
pub const TEAMS_REMOVED: &str = "admission queue closed";
/// The connection to the discovery service failed after the router had subscribed to events.
pub const DISCOVERY_LOST: &str = "discovery connection lost";
/// The router answered an invalid line of a client with an error.
pub const CLIENT_LINE_REJECTED: &str = "client line rejected";
/// The first request that the router accepted.
pub const FIRST_REQUEST: &str = "request=0 ";

/// The line at an event of the endpoint list.
pub fn discovery_event(number: u64) -> String {
    format!("endpoint event received: number={number} ")
}
/// A reply of an engine was rejected; the reason follows.
pub const ENGINE_INPUT_MALFORMED: &str = "malformed engine input: engine=0 ";
