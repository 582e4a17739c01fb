//! The teams' configuration: their names, shares and budgets, and the fields of a request that refer to them.

use crate::error::FormError;
use crate::forms::{
    BudgetForm, Count, MAX_TEAMS, Name, OrganizationForm, OthersForm, Share, TeamForm, TeamsForm,
};
use emberflow_teams::{Allowance, Organization, Quotas, Team};
use serde::Deserialize;
use std::collections::HashMap;
use std::time::Duration;

/// The team of requests that name no listed one.
const OTHERS: usize = 0;
const OTHERS_NAME: &str = "(others)";
/// Bound on a team's waiting requests, where the file has none.
const DEFAULT_MAX_WAITING: usize = 1000;
const DEFAULT_SHARE: f64 = 1.0;
const DEFAULT_TEAM_FIELD: &str = "team";
const DEFAULT_URGENCY_FIELD: &str = "urgency";

/// A valid configuration of teams. Teams have indices in the order of the list, after the one for all other requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(try_from = "TeamsForm")]
pub struct TeamConfig {
    /// What organizations and teams are granted.
    pub quotas: Quotas,
    /// The teams' names, by index.
    pub names: Vec<String>,
    indices: HashMap<String, usize>,
    /// The field of a request that names its team.
    pub team_field: String,
    /// The field of a request that holds its urgency.
    pub urgency_field: String,
    /// The field by which a client asks for notices of its wait; none if there are no notices.
    pub wait_notice_field: Option<String>,
    /// The time between two notices to a client; zero if there are none.
    pub wait_notice_interval: Duration,
}

impl TeamConfig {
    /// The index of the team of that name, or of the one for all others.
    pub fn team_index(&self, name: &str) -> usize {
        self.indices.get(name).copied().unwrap_or(OTHERS)
    }

    /// For each team, the index of the team of the same name in another configuration, if there is one.
    pub fn indices_in(&self, other: &Self) -> Vec<Option<usize>> {
        let index_in_other = |(index, name): (usize, &String)| match index {
            OTHERS => Some(OTHERS),
            _ => other.indices.get(name).copied(),
        };
        self.names.iter().enumerate().map(index_in_other).collect()
    }

    /// One message for each team that is different in a newer configuration.
    pub fn describe_changes(&self, newer: &Self) -> Vec<String> {
        let mut changes = Vec::new();
        for (name, newer_index) in self.names.iter().zip(self.indices_in(newer)) {
            let Some(newer_index) = newer_index else {
                changes.push(format!("{name} is gone"));
                continue;
            };
            let before = &self.quotas.teams[self.team_index(name)];
            let after = &newer.quotas.teams[newer_index];
            let unchanged = before.share == after.share
                && before.allowance == after.allowance
                && before.max_waiting == after.max_waiting;
            if !unchanged {
                changes.push(format!("{name} has another share, budget or bound"));
            }
        }
        let added = newer.names.iter().filter(|name| !self.names.contains(name));
        changes.extend(added.map(|name| format!("{name} is new")));
        changes
    }
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
        let wait_notice_interval = wait_notices.as_ref().map_or(Duration::ZERO, |form| form.interval.0);
        Ok(Self {
            quotas: builder.quotas,
            names: builder.names,
            indices: builder.indices,
            team_field: team_field.map_or_else(|| DEFAULT_TEAM_FIELD.to_owned(), |name| name.0),
            urgency_field: urgency_field.map_or_else(|| DEFAULT_URGENCY_FIELD.to_owned(), |name| name.0),
            wait_notice_field: wait_notices.map(|form| form.field.0),
            wait_notice_interval,
        })
    }
}

/// Quotas and names of the teams so far.
struct QuotasBuilder {
    quotas: Quotas,
    /// Indices of the listed organizations.
    organizations: HashMap<Name, usize>,
    names: Vec<String>,
    indices: HashMap<String, usize>,
}

impl QuotasBuilder {
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

    /// Adds the team for requests of no listed one, which is an organization of its own.
    fn add_others(&mut self, others: OthersForm) {
        let organization = self.add_organization(others.share);
        self.quotas.teams.push(team(organization, None, others.budget, others.max_waiting));
        self.names.push(OTHERS_NAME.to_owned());
    }

    /// Adds a listed team. One that names no organization is an organization of its own, with its share.
    fn add_team(&mut self, index: usize, form: TeamForm) -> Result<(), FormError> {
        let TeamForm { name, organization, share, budget, max_waiting } = form;
        let (organization, share) = match organization {
            None => (self.add_organization(share), None),
            Some(organization) => match self.organizations.get(&organization) {
                Some(known) => (*known, share),
                None => return Err(FormError::UnknownOrganization { index, name: organization.0 }),
            },
        };
        self.indices.insert(name.0.clone(), self.names.len());
        self.names.push(name.0);
        self.quotas.teams.push(team(organization, share, budget, max_waiting));
        Ok(())
    }
}

fn team(
    organization: usize,
    share: Option<Share>,
    budget: Option<BudgetForm>,
    max_waiting: Option<Count>,
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
        max_waiting: max_waiting.map_or(DEFAULT_MAX_WAITING, |count| count.0),
    }
}
