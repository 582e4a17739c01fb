//! Replacement of the quotas while requests are waiting and in flight.

use super::Queues;
use crate::quotas::Quotas;
use crate::request::{DispatchedRequest, RequestId, WaitingRequest};
use crate::team_queue::TeamQueue;
use indexmap::IndexMap;
use std::time::Duration;

/// Index of the team that receives the requests of a removed team.
const DEFAULT_TEAM: usize = 0;

impl Queues {
    /// Replaces the quotas. The team with the old index `i` gets the index `new_indices[i]`; if that is `None`, the
    /// team is removed, and its requests move to the first team.
    ///
    /// No request is lost, a waiting request keeps its age, and spent budget stays spent. The quotas must be valid.
    pub fn reconfigure(&mut self, now: Duration, quotas: Quotas, new_indices: &[Option<usize>]) {
        debug_assert_eq!(quotas.validate(), Ok(()));
        let former = std::mem::replace(self, Self::new(quotas, now));
        self.service_rate = former.service_rate;
        self.next_sequence = former.next_sequence;
        self.identity_charges = former.identity_charges;
        self.key_order = former.key_order;
        self.key_order.clear_waiting();
        self.move_budgets(now, &former.team_queues, new_indices);
        self.move_dispatched(former.dispatched, new_indices);
        self.move_waiting(now, former.waiting, new_indices);
    }

    /// Moves the budget of each team that is not removed to the team's new index, with the new allowance.
    fn move_budgets(&mut self, now: Duration, former: &[TeamQueue], new_indices: &[Option<usize>]) {
        for (queue, new_team) in former.iter().zip(new_indices) {
            let Some(team) = *new_team else { continue };
            let Some(allowance) = self.quotas.teams[team].allowance else { continue };
            let Some(mut budget) = queue.budget.clone() else { continue };
            budget.set_allowance(allowance, now);
            self.team_queues[team].budget = Some(budget);
        }
    }

    /// Moves the dispatched requests and their charges to the new teams.
    fn move_dispatched(
        &mut self,
        former: IndexMap<RequestId, DispatchedRequest>,
        new_indices: &[Option<usize>],
    ) {
        for (id, mut dispatched) in former {
            let team = new_index(dispatched.request.team(), new_indices);
            dispatched.request.team = team as u32;
            self.team_queues[team].add_in_flight_charge(dispatched.charged_s);
            self.dispatched.insert(id, dispatched);
        }
    }

    /// Moves the waiting requests to the new teams, in the order of arrival.
    fn move_waiting(
        &mut self,
        now: Duration,
        former: IndexMap<RequestId, WaitingRequest>,
        new_indices: &[Option<usize>],
    ) {
        let mut waiting: Vec<(RequestId, WaitingRequest)> = former.into_iter().collect();
        // Sorts by arrival, so that the result does not depend on the order of the table.
        waiting.sort_unstable_by_key(|(_, request)| request.arrival);
        for (id, mut request) in waiting {
            request.team = new_index(request.team(), new_indices) as u32;
            self.insert_waiting(now, id, request);
        }
    }
}

/// Returns the new index of a team, or the default team's if the team is removed.
fn new_index(former: usize, new_indices: &[Option<usize>]) -> usize {
    new_indices.get(former).copied().flatten().unwrap_or(DEFAULT_TEAM)
}
