//! Limits of the values in the operator's file. Values beyond a limit are rejected.

/// Maximum bytes of the name of a team, of an organization or of a request's field.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum number of teams, including the team for requests that name no listed team.
pub(crate) const MAX_TEAMS: usize = 10_000;
/// Maximum share of an organization or a team. Shares are relative weights.
pub(crate) const MAX_SHARE: f64 = 1e6;
/// Maximum of each time in the file, in seconds: a leap year.
pub(crate) const MAX_SECONDS: f64 = 366.0 * 24.0 * 3600.0;
/// Minimum time between two notices to a client of its wait, in seconds.
pub(crate) const MIN_NOTICE_INTERVAL_S: f64 = 0.1;
/// Maximum of the limit for a team's waiting requests.
pub(crate) const MAX_WAITING: usize = 10_000_000;
