//! How long a request will wait: from the work that is dispatched before it, and the rate of late.

use super::Queues;
use crate::fair_order::FairOrder;
use crate::request::{Arrival, RequestId};
use crate::service_rate::WaitEstimate;
use std::time::Duration;

impl Queues {
    /// How long a waiting request will still wait; none for other requests, and while the service rate is unknown.
    pub fn estimate_wait(&self, now: Duration, request: RequestId) -> Option<WaitEstimate> {
        let waiting = self.waiting.get(&request)?;
        let team = waiting.team();
        let seconds = self.wait_seconds(now, team, waiting.urgency, Some(waiting.arrival))?;
        let position = self.team_queues[team].position(waiting);
        Some(self.service_rate.estimate(seconds, position))
    }

    /// Seconds until the turn of a request of that arrival, or of one that comes now.
    pub(super) fn wait_seconds(
        &self,
        now: Duration,
        team: usize,
        urgency: u8,
        arrival: Option<Arrival>,
    ) -> Option<f64> {
        let rate = self.service_rate.work_per_second(now)?;
        let organization = self.quotas.teams[team].organization;
        let own_work = self.team_queues[team].work_before(urgency, arrival, &self.waiting);
        let own_work = own_work.as_secs_f64();
        let organization_work = own_work + self.work_of_other_teams(team, own_work);
        let all_work = organization_work + self.work_of_other_organizations(organization, organization_work);
        Some(all_work / rate)
    }

    /// Seconds of work that the organization's other teams get until this one has got so much.
    fn work_of_other_teams(&self, team: usize, own_work: f64) -> f64 {
        let organization = self.quotas.teams[team].organization;
        let order = &self.team_orders[organization];
        let flow = self.team_queues[team].flow;
        let virtual_span = own_work / order.share(flow);
        let others = self.busy_teams[organization].iter().filter(|other| **other != team);
        let work = others.map(|other| {
            let queue = &self.team_queues[*other];
            let backlog = queue.waiting_work().as_secs_f64();
            work_within(order, queue.flow, flow, virtual_span, backlog)
        });
        work.sum()
    }

    /// Seconds of work that the other organizations get until this one has got so much.
    fn work_of_other_organizations(&self, organization: usize, own_work: f64) -> f64 {
        let order = &self.organization_order;
        let virtual_span = own_work / order.share(organization);
        let backlogs = self.backlogs.iter().enumerate();
        let others = backlogs.filter(|(other, backlog)| *other != organization && !backlog.is_zero());
        let work = others.map(|(other, backlog)| {
            work_within(order, other, organization, virtual_span, backlog.as_secs_f64())
        });
        work.sum()
    }
}

/// Seconds of work that a flow gets within a virtual span from the start of a reference flow's turn, at most its
/// backlog.
fn work_within(order: &FairOrder, flow: usize, reference: usize, virtual_span: f64, backlog: f64) -> f64 {
    let span = virtual_span - order.lag(flow, reference);
    (span * order.share(flow)).clamp(0.0, backlog)
}
