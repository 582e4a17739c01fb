//! Parts of the router's log lines that tests wait for or count.

/// The line with the counters that a graceful shutdown ends with.
pub const COUNTERS_AT_EXIT: &str = "counters at exit";
/// The counters that are logged at a signal.
pub const COUNTERS: &str = "counters";
/// A reload that failed, and left everything as it was.
pub const RELOAD_FAILED: &str = "not read anew";
/// A reload read the configuration of another router.
pub const CONFIGURATION_OF_ANOTHER: &str = "it is the configuration of `n1`";
/// A reload read settings that take effect at a restart only.
pub const SETTINGS_NEED_RESTART: &str =
    "changed in the configuration, but not before a restart: the settings";
/// A reload removed a team whose requests were queued.
pub const TEAM_REMOVED: &str = "posting is gone";
/// A reload removed all teams.
pub const TEAMS_REMOVED: &str = "no teams any more";
/// Something about the connection to discovery: at the level `info`, its loss.
pub const DISCOVERY_LOST: &str = "bulletin: ";
/// A line of a client that was refused.
pub const CLIENT_INPUT_REFUSED: &str = "refused from client";
/// The first request that the router accepted.
pub const FIRST_REQUEST: &str = "task 0 ";

/// The line at an event of the endpoint list.
pub fn discovery_event(number: u64) -> String {
    format!("event {number} ")
}
