//! The order of dispatch: by organization, by team, and by the lanes of each team.

use super::Queues;
use crate::fair_order::BudgetState;
use crate::request::RequestId;
use std::time::Duration;

/// Number of requests offered to the caller before it is assumed that no request fits.
const MAX_CANDIDATES: usize = 32;

impl Queues {
    /// Returns the first request of each lane of each team, in the order of dispatch.
    pub fn dispatch_order(&self) -> impl Iterator<Item = RequestId> {
        let organizations = self.organization_order.active_flows();
        let teams = organizations.flat_map(|organization| self.team_order(organization));
        teams.flat_map(|team| self.team_queues[team].heads(&self.waiting))
    }

    /// Returns the teams of an organization that have waiting requests, in the order in which they are served.
    fn team_order(&self, organization: usize) -> impl Iterator<Item = usize> {
        let members = &self.members[organization];
        self.team_orders[organization].active_flows().map(move |flow| members[flow])
    }

    /// Returns the first request in the order of dispatch that `fits` accepts. A request with a key is replaced by the
    /// first waiting request with that key.
    pub fn next_fitting(&self, mut fits: impl FnMut(RequestId) -> bool) -> Option<RequestId> {
        let candidates = self.dispatch_order().take(MAX_CANDIDATES);
        candidates.map(|request| self.first_of_key(request)).find(|request| fits(*request))
    }

    /// Returns the first waiting request with the same key, which has to be dispatched before `request`; `request` itself
    /// if there is none.
    pub fn first_of_key(&self, request: RequestId) -> RequestId {
        self.key_order.first(request).unwrap_or(request)
    }

    /// Updates the team's position in the fair order of its organization, and the organization's position.
    pub(super) fn update_order(&mut self, now: Duration, team: usize) {
        if let Some(budget) = &mut self.team_queues[team].budget {
            budget.refill(now);
        }
        let organization = self.quotas.teams[team].organization;
        let heads = self.team_queues[team].heads(&self.waiting);
        let due = match heads.first() {
            None => {
                self.team_orders[organization].deactivate(self.team_queues[team].flow);
                None
            }
            Some(_) => self.activate_team(now, team, &heads),
        };
        self.set_due(team, due);
        self.update_organization(organization);
    }

    /// Sets the position of a team with these first requests of its lanes. Returns the time at which the position changes
    /// without an input: when one of the requests gains priority, or when the budget covers the first.
    fn activate_team(&mut self, now: Duration, team: usize, heads: &[RequestId]) -> Option<Duration> {
        let requests = heads.iter().map(|id| &self.waiting[id]);
        let next_gain = requests.filter_map(|request| request.priority_gain(now).1).min();
        let first = &self.waiting[&heads[0]];
        let work = first.work.as_secs_f64();
        let priority = first.priority_gain(now).0;
        let priority_gained = f64::from(priority) * work.max(self.service_rate.mean_work());

        let queue = &mut self.team_queues[team];
        let uncovered = queue.budget.as_ref().filter(|budget| !budget.covers(work));
        let budget_state =
            if uncovered.is_some() { BudgetState::OverBudget } else { BudgetState::WithinBudget };
        let after_now = now + Duration::from_nanos(1);
        let covered_at = uncovered.map(|budget| budget.covers_at(work).max(after_now));

        queue.priority_gained = priority_gained;
        let organization = self.quotas.teams[team].organization;
        self.team_orders[organization].activate(queue.flow, budget_state, priority_gained);
        next_gain.into_iter().chain(covered_at).min()
    }

    /// Replaces the time at which the team's position changes without an input.
    fn set_due(&mut self, team: usize, due: Option<Duration>) {
        let former = std::mem::replace(&mut self.team_queues[team].due, due);
        if let Some(former) = former {
            self.due.remove(&(former, team));
        }
        self.due.extend(due.map(|at| (at, team)));
    }

    /// Gives an organization the budget state and priority of its first team.
    fn update_organization(&mut self, organization: usize) {
        let order = &self.team_orders[organization];
        let Some(first) = order.active_flows().next() else {
            self.organization_order.deactivate(organization);
            return;
        };
        let budget_state = order.budget_state(first).unwrap_or(BudgetState::OverBudget);
        let team = self.members[organization][first];
        let priority_gained = self.team_queues[team].priority_gained;
        self.organization_order.activate(organization, budget_state, priority_gained);
    }
}
