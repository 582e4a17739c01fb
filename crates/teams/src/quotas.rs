//! Quotas: what organizations and teams are granted, and the check that they make sense.

use std::time::Duration;
use thiserror::Error;

/// Work that a team may have done in each period. What it does not use builds up to `burst`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Work in each period, as one core's time.
    pub work: Duration,
    /// Length of a period.
    pub period: Duration,
    /// Work that may build up at most.
    pub burst: Duration,
}

/// A group of teams that share what the group has.
#[derive(Clone, Debug, PartialEq)]
pub struct Organization {
    /// Weight against the other organizations.
    pub share: f64,
}

/// A team, to which requests are charged.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Index of its organization.
    pub organization: usize,
    /// Weight against the organization's other teams.
    pub share: f64,
    /// Its budget; none for a team that is limited by its share alone.
    pub allowance: Option<Allowance>,
    /// Bound on its waiting requests.
    pub max_waiting: usize,
}

/// All organizations and teams, by their indices. The first team takes the requests that name no known team.
#[derive(Clone, Debug, PartialEq)]
pub struct Quotas {
    /// Every organization.
    pub organizations: Vec<Organization>,
    /// Every team.
    pub teams: Vec<Team>,
}

/// A quota that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: expected {expected}")]
pub struct QuotaError {
    /// Where it stands, as in `teams[2].share`.
    pub path: String,
    /// The values that are accepted there.
    pub expected: &'static str,
}

/// A larger share against another's would only say that the other gets nothing.
const MAX_SHARE: f64 = 1e6;
/// Bound on periods and budgets: a year.
const MAX_TIME: Duration = Duration::from_secs(366 * 24 * 3600);
/// Bound on a team's bound on its waiting requests.
const MAX_WAITING: usize = 10_000_000;

const EXPECTED_SHARE: &str = "a number above 0, up to a million";
const EXPECTED_TIME: &str = "a time above 0, up to a year";

impl Quotas {
    /// Fails with the first quota that makes no sense.
    pub fn validate(&self) -> Result<(), QuotaError> {
        if self.organizations.is_empty() || self.teams.is_empty() {
            return Err(quota_error("teams", "at least one firm and one team"));
        }
        for (index, organization) in self.organizations.iter().enumerate() {
            let path = || format!("firms[{index}].share");
            check(is_share(organization.share), path, EXPECTED_SHARE)?;
        }
        self.teams.iter().enumerate().try_for_each(|(index, team)| self.validate_team(index, team))
    }

    fn validate_team(&self, index: usize, team: &Team) -> Result<(), QuotaError> {
        let path = |field: &'static str| move || format!("teams[{index}].{field}");
        check(team.organization < self.organizations.len(), path("firm"), "a firm of the list")?;
        check(is_share(team.share), path("share"), EXPECTED_SHARE)?;
        let waiting = 1..=MAX_WAITING;
        check(waiting.contains(&team.max_waiting), path("most_waiting"), "a count from 1 to ten millions")?;
        let Some(Allowance { work, period, burst }) = team.allowance else { return Ok(()) };
        check(is_time(work), path("budget.work"), EXPECTED_TIME)?;
        check(is_time(period), path("budget.over"), EXPECTED_TIME)?;
        check(is_time(burst), path("budget.burst"), EXPECTED_TIME)
    }

    /// The fraction of everything that a team gets while all organizations and teams have requests.
    pub fn overall_share(&self, team: usize) -> f64 {
        let Team { organization, share, .. } = self.teams[team];
        let organizations: f64 = self.organizations.iter().map(|organization| organization.share).sum();
        let members = self.teams.iter().filter(|member| member.organization == organization);
        let members: f64 = members.map(|member| member.share).sum();
        self.organizations[organization].share / organizations * share / members
    }
}

fn quota_error(path: impl Into<String>, expected: &'static str) -> QuotaError {
    QuotaError { path: path.into(), expected }
}

fn check(valid: bool, path: impl FnOnce() -> String, expected: &'static str) -> Result<(), QuotaError> {
    if valid { Ok(()) } else { Err(quota_error(path(), expected)) }
}

fn is_share(share: f64) -> bool {
    share.is_finite() && share > 0.0 && share <= MAX_SHARE
}

fn is_time(time: Duration) -> bool {
    !time.is_zero() && time <= MAX_TIME
}
