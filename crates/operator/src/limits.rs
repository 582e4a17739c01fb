//! Limits of the values in the operator's file.

/// Maximum bytes of the name of a team, of an organization or of a request's field.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum number of teams, including the team for requests of no listed team.
pub(crate) const MAX_TEAMS: usize = 10_000;
/// Maximum share of an organization or a team.
pub(crate) const MAX_SHARE: f64 = 1e6;
/// Maximum time, in seconds: a year.
pub(crate) const MAX_SECONDS: f64 = 366.0 * 24.0 * 3600.0;
/// Minimum time between two notices to a client, in seconds.
pub(crate) const MIN_NOTICE_INTERVAL_S: f64 = 0.1;
/// Maximum for the number of a team's waiting requests.
pub(crate) const MAX_WAITING: usize = 10_000_000;
