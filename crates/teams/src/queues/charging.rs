//! Dispatch and charging. The expected work is charged on dispatch and corrected when the request has ended.

use super::Queues;
use crate::request::{DispatchedRequest, Outcome, RequestId, WaitingRequest};
use std::time::Duration;

impl Queues {
    /// Dispatches a waiting request and charges its expected work. A retry is charged only for the work beyond the
    /// charges of its identity. Returns whether the request was waiting.
    pub fn dispatch(&mut self, now: Duration, request: RequestId) -> bool {
        self.advance(now);
        let Some(team) = self.waiting.get(&request).map(WaitingRequest::team) else { return false };
        self.begin_service(team);
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

    /// Advances the virtual time of both fair orders to the team's next start, and counts a dispatch of the team.
    fn begin_service(&mut self, team: usize) {
        let organization = self.quotas.teams[team].organization;
        let queue = &mut self.team_queues[team];
        self.organization_order.begin_service(organization);
        self.team_orders[organization].begin_service(queue.flow);
        queue.count_dispatch();
    }

    /// Charges `work` seconds of work to a team and its organization. A negative charge is a refund.
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

    /// Corrects the charge of a dispatched request that has ended by its outcome. Requests that are not dispatched are
    /// ignored.
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

    /// Puts a dispatched request that was not sent back into its queue, with its original arrival. Returns whether the
    /// request was dispatched.
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
