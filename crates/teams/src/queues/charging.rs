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
        let work_s = waiting.work.as_secs_f64();
        let charged_before_s =
            waiting.identity.map_or(0.0, |identity| self.identity_charges.charged_s(identity));
        let charged_s = (work_s - charged_before_s).max(0.0);
        self.charge(now, team, charged_s);
        self.team_queues[team].add_in_flight_charge(charged_s);
        let waited = now - waiting.arrival.at;
        self.service_rate.record_dispatch(now, work_s, waited, waiting.estimated_wait_s.map(f64::from));
        self.dispatched.insert(request, DispatchedRequest { request: waiting, charged_s });
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

    /// Charges `work_s` seconds of work to a team and its organization. A negative charge is a refund.
    fn charge(&mut self, now: Duration, team: usize, work_s: f64) {
        let organization = self.quotas.teams[team].organization;
        let queue = &mut self.team_queues[team];
        self.organization_order.charge(organization, work_s);
        self.team_orders[organization].charge(queue.flow, work_s);
        if let Some(budget) = &mut queue.budget {
            budget.refill(now);
            budget.charge(work_s);
        }
        self.update_order(now, team);
    }

    /// Corrects the charge of a dispatched request that has ended, according to its outcome. Requests that are not
    /// dispatched are ignored.
    pub fn settle(&mut self, now: Duration, request: RequestId, outcome: Outcome) {
        let Some(dispatched) = self.dispatched.swap_remove(&request) else { return };
        let DispatchedRequest { request: ended, charged_s } = dispatched;
        let team = ended.team();
        self.key_order.forget(request);
        self.team_queues[team].remove_in_flight_charge(charged_s);
        let actual_s = match outcome {
            Outcome::Measured(work) => work.as_secs_f64(),
            Outcome::Unknown => charged_s,
            Outcome::Refunded => 0.0,
        };
        self.charge(now, team, actual_s - charged_s);
        if let Some(identity) = ended.identity
            && actual_s > 0.0
        {
            self.identity_charges.add(identity, actual_s);
        }
    }

    /// Puts a dispatched request that was not sent back into its queue, with its original arrival. Returns whether the
    /// request was dispatched.
    pub fn requeue(&mut self, now: Duration, request: RequestId) -> bool {
        let Some(dispatched) = self.dispatched.swap_remove(&request) else { return false };
        let DispatchedRequest { request: waiting, charged_s } = dispatched;
        let team = waiting.team();
        self.team_queues[team].remove_in_flight_charge(charged_s);
        self.charge(now, team, -charged_s);
        self.service_rate.adjust_latest_work(-waiting.work.as_secs_f64());
        self.insert_waiting(now, request, waiting);
        true
    }
}
