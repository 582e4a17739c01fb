//! Wait estimates from the work that is dispatched before a request and the service rate of the latest dispatches.

use super::Queues;
use crate::fair_order::FairOrder;
use crate::request::{Arrival, RequestId};
use crate::service_rate::WaitEstimate;
use std::time::Duration;

impl Queues {
    /// Estimates the remaining wait of a waiting request. Returns `None` for other requests, and while the service rate is
    /// unknown.
    pub fn estimate_wait(&self, now: Duration, request: RequestId) -> Option<WaitEstimate> {
        let waiting = self.waiting.get(&request)?;
        let team = waiting.team();
        let seconds = self.wait_seconds(now, team, waiting.urgency, Some(waiting.arrival))?;
        let position = self.team_queues[team].position(waiting);
        Some(self.service_rate.estimate(seconds, position))
    }

    /// Returns the computed seconds until a request of this arrival is dispatched. The arrival is `None` for a request
    /// that arrives now.
    pub(super) fn wait_seconds(
        &self,
        now: Duration,
        team: usize,
        urgency: u8,
        arrival: Option<Arrival>,
    ) -> Option<f64> {
        let rate = self.service_rate.work_per_second(now)?;
        let organization = self.quotas.teams[team].organization;
        let team_queue = &self.team_queues[team];
        let team_work = team_queue.work_before(urgency, arrival, &self.waiting).as_secs_f64();
        let organization_work = team_work + self.work_of_other_teams(team, team_work);
        let all_work = organization_work + self.work_of_other_organizations(organization, organization_work);
        Some(all_work / rate)
    }

    /// Returns the seconds of work dispatched for the organization's other teams until `team_work` seconds are dispatched
    /// for this team.
    fn work_of_other_teams(&self, team: usize, team_work: f64) -> f64 {
        let organization = self.quotas.teams[team].organization;
        let order = &self.team_orders[organization];
        let flow = self.team_queues[team].flow;
        let virtual_span = team_work / order.share(flow);
        let mut work = 0.0;
        for other in self.busy_teams[organization].iter().filter(|other| **other != team) {
            let queue = &self.team_queues[*other];
            let backlog = queue.waiting_work().as_secs_f64();
            work += work_within(order, queue.flow, flow, virtual_span, backlog);
        }
        work
    }

    /// Returns the seconds of work dispatched for the other organizations until `organization_work` seconds are
    /// dispatched for this one.
    fn work_of_other_organizations(&self, organization: usize, organization_work: f64) -> f64 {
        let order = &self.organization_order;
        let virtual_span = organization_work / order.share(organization);
        let mut work = 0.0;
        for (other, backlog) in self.backlogs.iter().enumerate() {
            if other != organization && !backlog.is_zero() {
                work += work_within(order, other, organization, virtual_span, backlog.as_secs_f64());
            }
        }
        work
    }
}

/// Returns the seconds of work dispatched for a flow within a virtual span, in seconds, from the next start of the
/// reference flow; at most the flow's backlog.
fn work_within(order: &FairOrder, flow: usize, reference: usize, virtual_span: f64, backlog: f64) -> f64 {
    let span = virtual_span - order.lag(flow, reference);
    (span * order.share(flow)).clamp(0.0, backlog)
}
