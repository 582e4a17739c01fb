//! The quotas of organizations and teams, and their validation.

use std::time::Duration;
use thiserror::Error;

/// The work granted to a team in each period. Unused work accumulates up to `burst`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Work granted in each period, as the time that one core takes for it.
    pub work: Duration,
    /// Length of a period.
    pub period: Duration,
    /// Largest amount of unused work that accumulates, as time of one core.
    pub burst: Duration,
}

/// A group of teams that share the group's part of the engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Organization {
    /// Weight relative to the other organizations; above 0, up to a million.
    pub share: f64,
}

/// A team, to which requests are charged.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Index of the team's organization in [`Quotas::organizations`].
    pub organization: usize,
    /// Weight relative to the organization's other teams; above 0, up to a million.
    pub share: f64,
    /// Refill and burst of the team's budget; `None` for a team without a budget.
    pub allowance: Option<Allowance>,
    /// Largest number of waiting requests. Requests beyond it are rejected.
    pub max_waiting: usize,
}

/// All organizations and teams, by index. The first team receives the requests that name no known team.
#[derive(Clone, Debug, PartialEq)]
pub struct Quotas {
    /// Organizations, as indexed by [`Team::organization`].
    pub organizations: Vec<Organization>,
    /// Teams, as indexed by [`NewRequest::team`](crate::NewRequest::team).
    pub teams: Vec<Team>,
}

/// An invalid value in the quotas.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: expected {expected}")]
pub struct QuotaError {
    /// Path of the invalid value, such as `teams[2].share`: the index in [`Quotas`], and the name of the field in the
    /// operator's file.
    pub path: String,
    /// Description of the valid values.
    pub expected: &'static str,
}

/// Largest valid weight of an organization or a team.
const MAX_SHARE: f64 = 1e6;
/// Largest valid work, period and burst of an allowance: one year.
const MAX_TIME: Duration = Duration::from_secs(366 * 24 * 3600);
/// Largest valid value of [`Team::max_waiting`].
const MAX_WAITING: usize = 10_000_000;

const EXPECTED_SHARE: &str = "a number above 0, up to a million";
const EXPECTED_TIME: &str = "a time above 0, up to a year";

impl Quotas {
    /// Checks all quotas. The error names the first invalid value.
    pub fn validate(&self) -> Result<(), QuotaError> {
        if self.organizations.is_empty() || self.teams.is_empty() {
            return Err(quota_error("teams", "at least one firm and one team"));
        }
        for (index, organization) in self.organizations.iter().enumerate() {
            let path = || format!("firms[{index}].share");
            check(is_valid_share(organization.share), path, EXPECTED_SHARE)?;
        }
        self.teams.iter().enumerate().try_for_each(|(index, team)| self.validate_team(index, team))
    }

    fn validate_team(&self, index: usize, team: &Team) -> Result<(), QuotaError> {
        let path = |field: &'static str| move || format!("teams[{index}].{field}");
        check(team.organization < self.organizations.len(), path("firm"), "a firm of the list")?;
        check(is_valid_share(team.share), path("share"), EXPECTED_SHARE)?;
        let valid_counts = 1..=MAX_WAITING;
        check(
            valid_counts.contains(&team.max_waiting),
            path("most_waiting"),
            "a count from 1 to 10,000,000",
        )?;
        let Some(Allowance { work, period, burst }) = team.allowance else { return Ok(()) };
        check(is_valid_time(work), path("budget.work_s"), EXPECTED_TIME)?;
        check(is_valid_time(period), path("budget.per_s"), EXPECTED_TIME)?;
        check(is_valid_time(burst), path("budget.burst_s"), EXPECTED_TIME)
    }

    /// Returns the fraction of the engines' total time, from 0 to 1, that a team gets while every team has waiting
    /// requests.
    pub fn overall_share(&self, team: usize) -> f64 {
        let Team { organization, share, .. } = self.teams[team];
        let organization_shares_sum: f64 = self.organizations.iter().map(|other| other.share).sum();
        let members = self.teams.iter().filter(|member| member.organization == organization);
        let member_shares_sum: f64 = members.map(|member| member.share).sum();
        self.organizations[organization].share / organization_shares_sum * share / member_shares_sum
    }
}

fn quota_error(path: impl Into<String>, expected: &'static str) -> QuotaError {
    QuotaError { path: path.into(), expected }
}

fn check(valid: bool, path: impl FnOnce() -> String, expected: &'static str) -> Result<(), QuotaError> {
    if valid { Ok(()) } else { Err(quota_error(path(), expected)) }
}

fn is_valid_share(share: f64) -> bool {
    share.is_finite() && share > 0.0 && share <= MAX_SHARE
}

fn is_valid_time(time: Duration) -> bool {
    !time.is_zero() && time <= MAX_TIME
}
