//! The queues of all teams: the waiting requests, the order of dispatch, and the charges.

mod charging;
mod dispatch_order;
mod reconfigure;
mod wait_estimate;

use crate::budget::Budget;
use crate::fair_order::FairOrder;
use crate::identity_charges::IdentityCharges;
use crate::key_order::KeyOrder;
use crate::quotas::Quotas;
use crate::request::{
    Arrival, DispatchedRequest, MAX_URGENCY, NewRequest, RejectReason, Rejection, RequestId, WaitingRequest,
};
use crate::service_rate::ServiceRate;
use crate::team_queue::{TeamQueue, WaitingTable};
use indexmap::IndexMap;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// The queues of all teams. A request is enqueued, dispatched in the fair order, and settled when it has ended.
///
/// The parameter `now` is the time since the caller's start. It must not decrease from one call to the next.
#[derive(Clone, Debug)]
pub struct Queues {
    quotas: Quotas,
    organization_order: FairOrder,
    /// By organization, the fair order of its teams. Each team is a flow of that order.
    team_orders: Vec<FairOrder>,
    /// By organization, the index of each flow's team.
    flow_teams: Vec<Vec<usize>>,
    team_queues: Vec<TeamQueue>,
    waiting: WaitingTable,
    dispatched: IndexMap<RequestId, DispatchedRequest>,
    identity_charges: IdentityCharges,
    key_order: KeyOrder,
    /// Teams by the time at which their position in the fair order changes merely because time passes.
    due: BTreeSet<(Duration, usize)>,
    service_rate: ServiceRate,
    /// Sequence number of the next arrival.
    next_sequence: u64,
    /// Expected work of the waiting requests, by organization.
    backlogs: Vec<Duration>,
    /// By organization, the teams with waiting requests.
    busy_teams: Vec<BTreeSet<usize>>,
}

impl Queues {
    /// Returns empty queues with full budgets. The quotas must be valid.
    pub fn new(quotas: Quotas, now: Duration) -> Self {
        debug_assert_eq!(quotas.validate(), Ok(()));
        let organization_count = quotas.organizations.len();
        let mut flow_teams = vec![Vec::new(); organization_count];
        let mut team_queues = Vec::with_capacity(quotas.teams.len());
        for (index, team) in quotas.teams.iter().enumerate() {
            let flow = flow_teams[team.organization].len();
            flow_teams[team.organization].push(index);
            let budget = team.allowance.map(|allowance| Budget::full(allowance, now));
            team_queues.push(TeamQueue::new(flow, budget));
        }
        let team_order = |organization| FairOrder::with_shares(member_shares(&quotas, organization));
        let organization_shares = quotas.organizations.iter().map(|organization| organization.share);
        Self {
            organization_order: FairOrder::with_shares(organization_shares),
            team_orders: (0..organization_count).map(team_order).collect(),
            flow_teams,
            team_queues,
            waiting: IndexMap::new(),
            dispatched: IndexMap::new(),
            identity_charges: IdentityCharges::default(),
            key_order: KeyOrder::default(),
            due: BTreeSet::new(),
            service_rate: ServiceRate::default(),
            next_sequence: 0,
            backlogs: vec![Duration::ZERO; organization_count],
            busy_teams: vec![BTreeSet::new(); organization_count],
            quotas,
        }
    }

    /// Accepts a request, or rejects it with the time after which a request with the same properties is expected to be
    /// accepted.
    pub fn enqueue(&mut self, now: Duration, new_request: NewRequest) -> Result<(), Rejection> {
        let urgency = new_request.urgency.min(MAX_URGENCY);
        let team = new_request.team;
        self.advance(now);
        let computed_wait_s = self.computed_wait_s(now, team, urgency, None);
        let expected_wait = computed_wait_s.map(|wait_s| self.service_rate.estimate(wait_s, 0).median);
        self.check_admission(&new_request, expected_wait.unwrap_or_default())?;
        let arrival = Arrival { at: now, sequence: self.next_sequence };
        self.next_sequence += 1;
        if let Some(key) = new_request.key {
            self.key_order.assign(new_request.id, key);
        }
        let request = WaitingRequest {
            arrival,
            latency_objective: new_request.latency_objective,
            work: new_request.work,
            identity: new_request.identity,
            estimated_wait_s: computed_wait_s.map(|wait_s| wait_s as f32),
            team: team as u32,
            class: new_request.class,
            urgency,
        };
        self.insert_waiting(now, new_request.id, request);
        Ok(())
    }

    /// Rejects a request if its team's queue is full, or if the expected wait and work exceed its deadline. The
    /// deadline is not checked if the expected wait is zero, as it is while the service rate is unknown.
    fn check_admission(&self, new_request: &NewRequest, expected_wait: Duration) -> Result<(), Rejection> {
        let NewRequest { team, work, deadline, .. } = *new_request;
        if self.team_queues[team].len() >= self.quotas.teams[team].max_waiting {
            return Err(Rejection { reason: RejectReason::QueueFull, retry_after: expected_wait });
        }
        let expected_time = expected_wait + work;
        if expected_time > deadline && !expected_wait.is_zero() {
            let retry_after = expected_time.saturating_sub(deadline);
            return Err(Rejection { reason: RejectReason::DeadlineTooShort, retry_after });
        }
        Ok(())
    }

    /// Adds a request to its queue, and updates the team's position in the fair order.
    fn insert_waiting(&mut self, now: Duration, id: RequestId, request: WaitingRequest) {
        let team = request.team();
        let organization = self.quotas.teams[team].organization;
        self.team_queues[team].insert(id, &request);
        self.backlogs[organization] += request.work;
        self.busy_teams[organization].insert(team);
        self.key_order.insert(id, request.arrival);
        self.waiting.insert(id, request);
        self.update_order(now, team);
    }

    /// Removes a request from its queue. The caller has to update the team's position in the fair order.
    fn remove_waiting(&mut self, id: RequestId) -> Option<WaitingRequest> {
        let request = self.waiting.swap_remove(&id)?;
        let team = request.team();
        let organization = self.quotas.teams[team].organization;
        self.key_order.remove(id, request.arrival);
        self.team_queues[team].remove(&request);
        self.backlogs[organization] -= request.work;
        if self.team_queues[team].is_empty() {
            self.busy_teams[organization].remove(&team);
        }
        Some(request)
    }

    /// Removes a waiting request whose client has disconnected. Returns whether the request was waiting.
    pub fn remove(&mut self, now: Duration, request: RequestId) -> bool {
        let removed = self.remove_waiting(request);
        self.key_order.forget(request);
        if let Some(removed) = &removed {
            self.update_order(now, removed.team());
        }
        removed.is_some()
    }

    /// Returns the next time at which [`Self::advance`] has to be called, because the order of dispatch changes merely
    /// by the passage of time; `None` if there is none.
    pub fn due(&self) -> Option<Duration> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Updates the order of dispatch to `now`, for priorities gained by age and for budgets that cover a request again.
    pub fn advance(&mut self, now: Duration) {
        while let Some((at, team)) = self.due.first().copied()
            && at <= now
        {
            self.update_order(now, team);
        }
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting requests of all teams.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the seconds of work charged for a team's dispatched requests that have not ended; 0 if there are none.
    pub fn in_flight_charge(&self, team: usize) -> f64 {
        self.team_queues[team].in_flight_charge()
    }

    /// Returns the seconds of work that remain of a team's budget; `None` for a team without a budget.
    pub fn budget_remaining(&self, team: usize) -> Option<f64> {
        self.team_queues[team].budget.as_ref().map(Budget::remaining)
    }

    /// Feeds the state to a hasher, with times relative to `now`. Queues with equal fingerprints behave alike from then
    /// on; the model checker compares states by their fingerprints.
    pub fn fingerprint(&self, now: Duration, hasher: &mut impl Hasher) {
        self.organization_order.fingerprint(hasher);
        self.team_orders.iter().for_each(|order| order.fingerprint(hasher));
        self.service_rate.fingerprint(now, hasher);
        self.team_queues.iter().for_each(|queue| queue.fingerprint(now, hasher));
        let charge = |(id, dispatched): (&RequestId, &DispatchedRequest)| {
            (*id, dispatched.request.team, dispatched.charged_s.to_bits())
        };
        self.dispatched.iter().map(charge).collect::<BTreeSet<_>>().hash(hasher);
        self.identity_charges.fingerprint(hasher);
    }
}

/// Returns the shares of an organization's teams, in the order of its flows.
fn member_shares(quotas: &Quotas, organization: usize) -> impl Iterator<Item = f64> + Clone {
    let members = quotas.teams.iter().filter(move |team| team.organization == organization);
    members.map(|team| team.share)
}
