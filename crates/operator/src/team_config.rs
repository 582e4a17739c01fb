//! The configuration of teams: their names, shares and budgets, and the fields of a request that refer to them.

use crate::error::FormError;
use crate::forms::{
    BudgetForm, Name, OrganizationForm, OthersForm, Share, TeamForm, TeamsForm, WaitingLimit,
};
use crate::limits::MAX_TEAMS;
use emberflow_teams::{Allowance, Organization, Quotas, Team};
use serde::Deserialize;
use std::collections::HashMap;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// The index of the team for requests that name no listed team.
const OTHERS_INDEX: usize = 0;
/// The name of the team for requests that name no listed team.
const OTHERS_NAME: &str = "(others)";
/// Limit of a team's waiting requests if the file does not set one.
const DEFAULT_MAX_WAITING: usize = 1000;
/// Share of an organization or a team if the file does not set one.
const DEFAULT_SHARE: f64 = 1.0;
/// The field of a request that names its team, if the file does not set one.
const DEFAULT_TEAM_FIELD: &str = "team";
/// The field of a request that holds its urgency, if the file does not set one.
const DEFAULT_URGENCY_FIELD: &str = "urgency";

/// A valid configuration of teams. Teams are identified by an index: 0 is the team for requests that name no listed
/// team, and the listed teams follow in the order of the list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(try_from = "TeamsForm")]
pub struct TeamConfig {
    /// The shares, budgets and limits of organizations and teams.
    pub quotas: Quotas,
    /// The names of the teams, by index.
    pub names: Vec<String>,
    /// The indices of the listed teams, by name.
    indices: HashMap<String, usize>,
    /// The field of a request that names its team.
    pub team_field: String,
    /// The field of a request that holds its urgency, from 0 to 3.
    pub urgency_field: String,
    /// The field of a request by which a client subscribes to notices of its wait; `None` if the feature is off.
    pub wait_notice_field: Option<String>,
    /// The time between two notices to a client; zero if the feature is off.
    pub wait_notice_interval: Duration,
}

/// A difference between two configurations of teams, with the name of the team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TeamChange {
    /// The newer configuration does not list the team.
    Removed(String),
    /// The team has another share, budget or limit of waiting requests.
    Changed(String),
    /// Only the newer configuration lists the team.
    Added(String),
}

impl Display for TeamChange {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Removed(name) => write!(formatter, "team {name} removed"),
            Self::Changed(name) => {
                write!(formatter, "team {name} changed its share, budget or limit of waiting requests")
            }
            Self::Added(name) => write!(formatter, "team {name} added"),
        }
    }
}

impl TeamConfig {
    /// Returns the index of a listed team, or the index of the team for all other requests.
    pub fn team_index(&self, name: &str) -> usize {
        self.indices.get(name).copied().unwrap_or(OTHERS_INDEX)
    }

    /// Returns, by index of this configuration, the index in `other` of the team with the same name; `None` if `other`
    /// has no such team.
    pub fn indices_in(&self, other: &Self) -> Vec<Option<usize>> {
        let mut indices = Vec::with_capacity(self.names.len());
        for (index, name) in self.names.iter().enumerate() {
            let other_index =
                if index == OTHERS_INDEX { Some(OTHERS_INDEX) } else { other.indices.get(name).copied() };
            indices.push(other_index);
        }
        indices
    }

    /// Returns the differences of a newer configuration: first the removed and changed teams in this configuration's
    /// order, then the added teams in the order of `newer`.
    pub fn changes(&self, newer: &Self) -> Vec<TeamChange> {
        let mut changes = Vec::new();
        for (name, newer_index) in self.names.iter().zip(self.indices_in(newer)) {
            let Some(newer_index) = newer_index else {
                changes.push(TeamChange::Removed(name.clone()));
                continue;
            };
            let before = &self.quotas.teams[self.team_index(name)];
            if !has_same_limits(before, &newer.quotas.teams[newer_index]) {
                changes.push(TeamChange::Changed(name.clone()));
            }
        }
        for name in &newer.names {
            if !self.names.contains(name) {
                changes.push(TeamChange::Added(name.clone()));
            }
        }
        changes
    }
}

/// Whether two teams have the same share, budget and limit of waiting requests.
fn has_same_limits(before: &Team, after: &Team) -> bool {
    before.share == after.share
        && before.allowance == after.allowance
        && before.max_waiting == after.max_waiting
}

impl TryFrom<TeamsForm> for TeamConfig {
    type Error = FormError;

    fn try_from(form: TeamsForm) -> Result<Self, FormError> {
        let TeamsForm { organizations, teams, others, team_field, urgency_field, wait_notices } = form;
        if teams.len() >= MAX_TEAMS {
            return Err(FormError::TooManyTeams { found: teams.len() });
        }
        let mut builder = QuotasBuilder::new(organizations);
        builder.add_others(others);
        for (index, team) in teams.into_iter().enumerate() {
            builder.add_team(index, team)?;
        }
        builder.quotas.validate()?;
        let wait_notice_interval = wait_notices.as_ref().map_or(Duration::ZERO, |notices| notices.interval.0);
        Ok(Self {
            quotas: builder.quotas,
            names: builder.names,
            indices: builder.indices,
            team_field: team_field.map_or_else(|| DEFAULT_TEAM_FIELD.to_owned(), |name| name.0),
            urgency_field: urgency_field.map_or_else(|| DEFAULT_URGENCY_FIELD.to_owned(), |name| name.0),
            wait_notice_field: wait_notices.map(|notices| notices.field.0),
            wait_notice_interval,
        })
    }
}

/// Assigns indices to organizations and teams, and collects their quotas and names.
struct QuotasBuilder {
    quotas: Quotas,
    /// The indices of the listed organizations, by name.
    organizations: HashMap<Name, usize>,
    /// The names of the teams, by index.
    names: Vec<String>,
    /// The indices of the listed teams, by name.
    indices: HashMap<String, usize>,
}

impl QuotasBuilder {
    /// Creates a builder with the listed organizations and no team.
    fn new(listed: Vec<OrganizationForm>) -> Self {
        let mut builder = Self {
            quotas: Quotas { organizations: Vec::new(), teams: Vec::new() },
            organizations: HashMap::new(),
            names: Vec::new(),
            indices: HashMap::new(),
        };
        for OrganizationForm { name, share } in listed {
            let index = builder.add_organization(share);
            builder.organizations.insert(name, index);
        }
        builder
    }

    /// Adds an organization and returns its index.
    fn add_organization(&mut self, share: Option<Share>) -> usize {
        let organizations = &mut self.quotas.organizations;
        organizations.push(Organization { share: share.map_or(DEFAULT_SHARE, |share| share.0) });
        organizations.len() - 1
    }

    /// Adds the team for requests that name no listed team, and creates an organization for it. Must be called before
    /// any listed team is added, since the team has index 0.
    fn add_others(&mut self, others: OthersForm) {
        let organization = self.add_organization(others.share);
        self.quotas.teams.push(team(organization, None, others.budget, others.max_waiting));
        self.names.push(OTHERS_NAME.to_owned());
    }

    /// Adds a listed team. If the team names no organization, creates one for it with the team's share. `index` is the
    /// team's position in the list, for the error.
    fn add_team(&mut self, index: usize, form: TeamForm) -> Result<(), FormError> {
        let TeamForm { name, organization, share, budget, max_waiting } = form;
        let (organization, share) = match organization {
            None => (self.add_organization(share), None),
            Some(organization) => match self.organizations.get(&organization) {
                Some(organization) => (*organization, share),
                None => return Err(FormError::UnknownOrganization { index, name: organization.0 }),
            },
        };
        self.indices.insert(name.0.clone(), self.names.len());
        self.names.push(name.0);
        self.quotas.teams.push(team(organization, share, budget, max_waiting));
        Ok(())
    }
}

/// Builds the quotas of a team, with defaults for values that the file does not set.
fn team(
    organization: usize,
    share: Option<Share>,
    budget: Option<BudgetForm>,
    max_waiting: Option<WaitingLimit>,
) -> Team {
    let allowance = |BudgetForm { work, period, burst }| Allowance {
        work: work.0,
        period: period.0,
        burst: burst.unwrap_or(work).0,
    };
    Team {
        organization,
        share: share.map_or(DEFAULT_SHARE, |share| share.0),
        allowance: budget.map(allowance),
        max_waiting: max_waiting.map_or(DEFAULT_MAX_WAITING, |limit| limit.0),
    }
}
