//! Wait estimates, from the work that is dispatched before a request and the service rate of the latest dispatches.

use super::Queues;
use crate::fair_order::FairOrder;
use crate::request::{Arrival, RequestId};
use crate::service_rate::WaitEstimate;
use std::time::Duration;

impl Queues {
    /// Estimates the remaining wait of a waiting request. Returns `None` for other requests, and while the service rate
    /// is unknown.
    pub fn estimate_wait(&self, now: Duration, request: RequestId) -> Option<WaitEstimate> {
        let waiting = self.waiting.get(&request)?;
        let team = waiting.team();
        let computed_wait_s = self.computed_wait_s(now, team, waiting.urgency, Some(waiting.arrival))?;
        let position = self.team_queues[team].position(waiting);
        Some(self.service_rate.estimate(computed_wait_s, position))
    }

    /// Returns the seconds until a request of this urgency and arrival is dispatched, as computed from the service
    /// rate; `None` while that is unknown. The arrival is `None` for a request that arrives now.
    pub(super) fn computed_wait_s(
        &self,
        now: Duration,
        team: usize,
        urgency: u8,
        arrival: Option<Arrival>,
    ) -> Option<f64> {
        let work_per_second = self.service_rate.work_per_second(now)?;
        let organization = self.quotas.teams[team].organization;
        let team_queue = &self.team_queues[team];
        let team_work_s = team_queue.work_before(urgency, arrival, &self.waiting).as_secs_f64();
        let organization_work_s = team_work_s + self.work_of_other_teams(team, team_work_s);
        let all_work_s =
            organization_work_s + self.work_of_other_organizations(organization, organization_work_s);
        Some(all_work_s / work_per_second)
    }

    /// Returns the seconds of work dispatched for the organization's other teams until `team_work_s` seconds are
    /// dispatched for this team.
    fn work_of_other_teams(&self, team: usize, team_work_s: f64) -> f64 {
        let organization = self.quotas.teams[team].organization;
        let order = &self.team_orders[organization];
        let flow = self.team_queues[team].flow;
        let virtual_span_s = team_work_s / order.share(flow);
        let mut work_s = 0.0;
        for other in self.busy_teams[organization].iter().filter(|other| **other != team) {
            let queue = &self.team_queues[*other];
            let backlog_s = queue.waiting_work().as_secs_f64();
            work_s += work_within(order, queue.flow, flow, virtual_span_s, backlog_s);
        }
        work_s
    }

    /// Returns the seconds of work dispatched for the other organizations until `organization_work_s` seconds are
    /// dispatched for this one.
    fn work_of_other_organizations(&self, organization: usize, organization_work_s: f64) -> f64 {
        let order = &self.organization_order;
        let virtual_span_s = organization_work_s / order.share(organization);
        let mut work_s = 0.0;
        for (other, backlog) in self.backlogs.iter().enumerate() {
            if other != organization && !backlog.is_zero() {
                work_s += work_within(order, other, organization, virtual_span_s, backlog.as_secs_f64());
            }
        }
        work_s
    }
}

/// Returns the seconds of work dispatched for a flow during `virtual_span_s` virtual seconds after the next start of
/// the reference flow; at most the flow's backlog.
fn work_within(order: &FairOrder, flow: usize, reference: usize, virtual_span_s: f64, backlog_s: f64) -> f64 {
    let span_s = virtual_span_s - order.lag_s(flow, reference);
    (span_s * order.share(flow)).clamp(0.0, backlog_s)
}
