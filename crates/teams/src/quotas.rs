//! The quotas of organizations and teams, and their validation.

use std::time::Duration;
use thiserror::Error;

/// The work granted to a team in each period. Unused work accumulates up to `burst`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Work granted in each period, as time of one core.
    pub work: Duration,
    /// Length of a period.
    pub period: Duration,
    /// Largest amount of unused work that accumulates.
    pub burst: Duration,
}

/// A group of teams that share the group's part of the engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Organization {
    /// Weight relative to the other organizations.
    pub share: f64,
}

/// A team, to which requests are charged.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Index of its organization.
    pub organization: usize,
    /// Weight relative to the organization's other teams.
    pub share: f64,
    /// The team's budget; `None` for a team that is limited by its share alone.
    pub allowance: Option<Allowance>,
    /// Largest number of waiting requests.
    pub max_waiting: usize,
}

/// All organizations and teams, by index. The first team receives the requests that name no known team.
#[derive(Clone, Debug, PartialEq)]
pub struct Quotas {
    /// The organizations.
    pub organizations: Vec<Organization>,
    /// The teams.
    pub teams: Vec<Team>,
}

/// An invalid quota.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: expected {expected}")]
pub struct QuotaError {
    /// Path of the invalid value, such as `teams[2].share`.
    pub path: String,
    /// The accepted values.
    pub expected: &'static str,
}

/// Largest weight of an organization or a team.
const MAX_SHARE: f64 = 1e6;
/// Largest period, budget and burst: one year.
const MAX_TIME: Duration = Duration::from_secs(366 * 24 * 3600);
/// Largest accepted value of [`Team::max_waiting`].
const MAX_WAITING: usize = 10_000_000;

const EXPECTED_SHARE: &str = "a number above 0, up to a million";
const EXPECTED_TIME: &str = "a time above 0, up to a year";

impl Quotas {
    /// Checks all quotas. The error names the first invalid one.
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
        let accepted_lengths = 1..=MAX_WAITING;
        check(
            accepted_lengths.contains(&team.max_waiting),
            path("most_waiting"),
            "a count from 1 to ten millions",
        )?;
        let Some(Allowance { work, period, burst }) = team.allowance else { return Ok(()) };
        check(is_time(work), path("budget.work"), EXPECTED_TIME)?;
        check(is_time(period), path("budget.over"), EXPECTED_TIME)?;
        check(is_time(burst), path("budget.burst"), EXPECTED_TIME)
    }

    /// Returns the fraction of all engines' time that a team gets while every team has requests, from 0 to 1.
    pub fn overall_share(&self, team: usize) -> f64 {
        let Team { organization, share, .. } = self.teams[team];
        let organizations_sum: f64 = self.organizations.iter().map(|other| other.share).sum();
        let members = self.teams.iter().filter(|member| member.organization == organization);
        let members_sum: f64 = members.map(|member| member.share).sum();
        self.organizations[organization].share / organizations_sum * share / members_sum
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
