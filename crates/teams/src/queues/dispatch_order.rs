//! The order of dispatch: by organization, by team, and by the lanes of each team.

use super::Queues;
use crate::fair_order::BudgetState;
use crate::request::RequestId;
use std::time::Duration;

/// Largest number of requests that [`Queues::next_fitting`] offers to the caller. If none of them fits, no request is
/// assumed to fit.
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
        let flow_teams = &self.flow_teams[organization];
        self.team_orders[organization].active_flows().map(move |flow| flow_teams[flow])
    }

    /// Returns the first request in the order of dispatch that `fits` accepts. Instead of a request with a key, the
    /// first waiting request with that key is offered to `fits`.
    pub fn next_fitting(&self, mut fits: impl FnMut(RequestId) -> bool) -> Option<RequestId> {
        let candidates = self.dispatch_order().take(MAX_CANDIDATES);
        candidates.map(|request| self.first_of_key(request)).find(|request| fits(*request))
    }

    /// Returns the first waiting request with the same key, which has to be dispatched before `request`; `request`
    /// itself if there is none.
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

    /// Sets the position of a team in the fair order. `heads` are the first requests of its lanes. Returns the time at
    /// which the position has to be updated: when one of the requests gains priority, or when the budget covers the
    /// first.
    fn activate_team(&mut self, now: Duration, team: usize, heads: &[RequestId]) -> Option<Duration> {
        let requests = heads.iter().map(|id| &self.waiting[id]);
        let next_level_at = requests.filter_map(|request| request.priority_levels(now).1).min();
        let first = &self.waiting[&heads[0]];
        let work_s = first.work.as_secs_f64();
        let levels = first.priority_levels(now).0;
        let priority_gained_s = f64::from(levels) * work_s.max(self.service_rate.mean_work_s());

        let queue = &mut self.team_queues[team];
        let exceeded_budget = queue.budget.as_ref().filter(|budget| !budget.covers(work_s));
        let budget_state =
            if exceeded_budget.is_some() { BudgetState::OverBudget } else { BudgetState::WithinBudget };
        let after_now = now + Duration::from_nanos(1);
        let covered_at = exceeded_budget.map(|budget| budget.covers_at(work_s).max(after_now));

        queue.priority_gained_s = priority_gained_s;
        let organization = self.quotas.teams[team].organization;
        self.team_orders[organization].activate(queue.flow, budget_state, priority_gained_s);
        next_level_at.into_iter().chain(covered_at).min()
    }

    /// Replaces the time at which the team's position in the fair order has to be updated.
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
        let team = self.flow_teams[organization][first];
        let priority_gained_s = self.team_queues[team].priority_gained_s;
        self.organization_order.activate(organization, budget_state, priority_gained_s);
    }
}
