//! Dispatch and its charges: expected work is charged on dispatch, and corrected when the request has ended.

use super::Queues;
use crate::request::{DispatchedRequest, Outcome, RequestId, WaitingRequest};
use std::time::Duration;

impl Queues {
    /// Dispatches a waiting request and charges its expected work; a retry is charged for what it adds. Returns
    /// whether it waited.
    pub fn dispatch(&mut self, now: Duration, request: RequestId) -> bool {
        self.advance(now);
        let Some(team) = self.waiting.get(&request).map(WaitingRequest::team) else { return false };
        self.begin_turn(team);
        let Some(waiting) = self.remove_waiting(request) else { return false };
        let work = waiting.work.as_secs_f64();
        let charged_before = waiting.identity.map_or(0.0, |identity| self.identity_charges.charged(identity));
        let charged = (work - charged_before).max(0.0);
        self.charge(now, team, charged);
        self.team_queues[team].begin_charge(charged);
        let waited = now - waiting.arrival.at;
        self.service_rate.record_dispatch(now, work, waited, waiting.estimated_wait.map(f64::from));
        self.dispatched.insert(request, DispatchedRequest { request: waiting, charged });
        true
    }

    fn begin_turn(&mut self, team: usize) {
        let organization = self.quotas.teams[team].organization;
        let queue = &mut self.team_queues[team];
        self.organization_order.begin_turn(organization);
        self.team_orders[organization].begin_turn(queue.flow);
        queue.count_dispatch();
    }

    /// Charges seconds of work to a team and to its organization; a negative charge gives some back.
    fn charge(&mut self, now: Duration, team: usize, work: f64) {
        let organization = self.quotas.teams[team].organization;
        let queue = &mut self.team_queues[team];
        self.organization_order.charge(organization, work);
        self.team_orders[organization].charge(queue.flow, work);
        if let Some(budget) = &mut queue.budget {
            budget.refill(now);
            budget.charge(work);
        }
        self.update_order(now, team);
    }

    /// A dispatched request has ended: its charge is corrected by its outcome. Other requests are ignored.
    pub fn settle(&mut self, now: Duration, request: RequestId, outcome: Outcome) {
        let Some(dispatched) = self.dispatched.swap_remove(&request) else { return };
        let DispatchedRequest { request: ended, charged } = dispatched;
        let team = ended.team();
        self.key_order.forget(request);
        self.team_queues[team].end_charge(charged);
        let actual = match outcome {
            Outcome::Measured(work) => work.as_secs_f64(),
            Outcome::Unknown => charged,
            Outcome::Refunded => 0.0,
        };
        self.charge(now, team, actual - charged);
        if let Some(identity) = ended.identity
            && actual > 0.0
        {
            self.identity_charges.add(identity, actual);
        }
    }

    /// A dispatched request that was not sent waits again, with the age that it has. Returns whether it was
    /// dispatched.
    pub fn requeue(&mut self, now: Duration, request: RequestId) -> bool {
        let Some(dispatched) = self.dispatched.swap_remove(&request) else { return false };
        let DispatchedRequest { request: waiting, charged } = dispatched;
        let team = waiting.team();
        self.team_queues[team].end_charge(charged);
        self.charge(now, team, -charged);
        self.service_rate.correct_last(-waiting.work.as_secs_f64());
        self.insert_waiting(now, request, waiting);
        true
    }
}
