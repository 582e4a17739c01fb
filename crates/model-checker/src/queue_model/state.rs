//! The state of the queue model: the queues, and the expected status of each request.

use super::scenario::{QueueScenario, RequestSpec};
use crate::invariants::first_violated;
use emberflow_teams::{Allowance, NewRequest, Organization, Outcome, Queues, Quotas, RequestId, Team};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Number of teams at the start; the second team may be removed.
pub const TEAMS: usize = 2;
/// Largest number of waiting requests of a team; no scenario reaches it.
const MAX_WAITING: usize = 100;
/// The latency objective of every request.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(300);
/// The deadline of every request, which no scenario reaches.
const DEADLINE: Duration = Duration::from_secs(3600);
/// The budget of the second team, in the scenarios that have one.
const BUDGET: Allowance = Allowance {
    work: Duration::from_millis(100),
    period: Duration::from_millis(1000),
    burst: Duration::from_millis(150),
};

/// The status that a request must have in the queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestStatus {
    /// The request has not arrived.
    NotArrived,
    /// The request waits in its team's queue.
    Waiting,
    /// The request is dispatched and has not ended.
    InFlight,
    /// The request has ended, was rejected or was removed.
    Finished,
}

/// An observable action of the queues, or their content after a transition.
pub enum Event {
    /// The queues dispatch this request, or none.
    Dispatches(Option<RequestId>),
    /// The queues hold `count` waiting requests, and have charged each team with this work, in seconds.
    Holds { count: usize, charged: [f64; TEAMS] },
}

/// The queues and their environment.
#[derive(Clone)]
pub struct QueueState {
    /// The current time; a run begins at 0.
    now: Duration,
    /// The system under test.
    pub queues: Queues,
    /// The expected status of each request, in the order of the scenario.
    pub statuses: Vec<RequestStatus>,
    /// By team, the number of dispatches of the other team while this team had a waiting request, since the last
    /// dispatch of this team.
    pub passed_over: [u32; TEAMS],
    /// Number of dispatched requests of each team, by the team for which the request arrived.
    pub dispatch_counts: [u32; TEAMS],
    /// Whether the second team was removed, so that its requests belong to the first.
    pub is_team_removed: bool,
    /// Number of times that the clock has advanced.
    pub time_steps: u8,
    /// Number of times that a request was requeued.
    pub requeues: u8,
    /// The name of the first violated invariant; `None` if all hold.
    pub violated_invariant: Option<&'static str>,
}

/// Returns the quotas of `teams` teams in one organization. The second team may have a budget.
fn quotas(second_team_has_budget: bool, teams: usize) -> Quotas {
    let team = |index: usize| Team {
        organization: 0,
        share: 1.0,
        allowance: (second_team_has_budget && index == 1).then_some(BUDGET),
        max_waiting: MAX_WAITING,
    };
    Quotas { organizations: vec![Organization { share: 1.0 }], teams: (0..teams).map(team).collect() }
}

impl QueueState {
    /// Returns the initial state, with empty queues and full budgets.
    pub fn new(scenario: &QueueScenario) -> Self {
        let quotas = quotas(scenario.second_team_has_budget, TEAMS);
        Self {
            now: Duration::ZERO,
            queues: Queues::new(quotas, Duration::ZERO),
            statuses: vec![RequestStatus::NotArrived; scenario.requests.len()],
            passed_over: [0; TEAMS],
            dispatch_counts: [0; TEAMS],
            is_team_removed: false,
            time_steps: 0,
            requeues: 0,
            violated_invariant: None,
        }
    }

    /// Returns the team to which a request belongs now.
    pub fn current_team(&self, request: &RequestSpec) -> usize {
        if self.is_team_removed { 0 } else { request.team }
    }

    /// Whether a request that arrived for a team waits.
    pub fn has_waiting(&self, scenario: &QueueScenario, team: usize) -> bool {
        let mut requests = self.statuses.iter().zip(scenario.requests);
        requests.any(|(status, request)| *status == RequestStatus::Waiting && request.team == team)
    }

    fn check(&mut self, scenario: &QueueScenario, event: &Event) {
        self.violated_invariant = self.violated_invariant.or_else(|| first_violated(scenario, self, event));
    }

    /// Returns events that faulty queues could emit in this state, to find the invariants that the state exercises.
    pub fn hypothetical_events(&self) -> Vec<Event> {
        let requests = 0..self.statuses.len();
        let mut events: Vec<_> =
            requests.map(|request| Event::Dispatches(Some(request as RequestId))).collect();
        events.push(Event::Dispatches(None));
        events.push(Event::Holds { count: usize::MAX, charged: [0.0; TEAMS] });
        events
    }

    /// Enqueues the next request of the scenario.
    pub fn arrive(&mut self, scenario: &QueueScenario) {
        let is_next = |status: &RequestStatus| *status == RequestStatus::NotArrived;
        let index = self.statuses.iter().position(is_next).unwrap_or_default();
        let request = &scenario.requests[index];
        let new_request = NewRequest {
            id: index as RequestId,
            team: self.current_team(request),
            urgency: request.urgency,
            class: 0,
            work: Duration::from_millis(request.work_ms),
            latency_objective: LATENCY_OBJECTIVE,
            deadline: DEADLINE,
            identity: None,
            key: None,
        };
        let is_accepted = self.queues.enqueue(self.now, new_request).is_ok();
        self.statuses[index] = if is_accepted { RequestStatus::Waiting } else { RequestStatus::Finished };
    }

    /// Dispatches the first request in the queues' dispatch order, if there is one.
    pub fn dispatch(&mut self, scenario: &QueueScenario) {
        let next = self.queues.dispatch_order().next();
        self.check(scenario, &Event::Dispatches(next));
        let Some(request) = next else { return };
        let team = scenario.requests[request as usize].team;
        let other_team = 1 - team;
        self.queues.dispatch(self.now, request);
        self.statuses[request as usize] = RequestStatus::InFlight;
        self.passed_over[team] = 0;
        self.dispatch_counts[team] += 1;
        self.passed_over[other_team] += u32::from(self.has_waiting(scenario, other_team));
    }

    /// Ends a dispatched request with an outcome, which settles its charge.
    pub fn settle(&mut self, request: usize, outcome: Outcome) {
        self.queues.settle(self.now, request as RequestId, outcome);
        self.statuses[request] = RequestStatus::Finished;
    }

    /// Returns a dispatched request to its queue.
    pub fn requeue(&mut self, request: usize) {
        self.requeues += 1;
        self.queues.requeue(self.now, request as RequestId);
        self.statuses[request] = RequestStatus::Waiting;
    }

    /// Removes a waiting request whose client has disconnected.
    pub fn remove(&mut self, request: usize) {
        self.queues.remove(self.now, request as RequestId);
        self.statuses[request] = RequestStatus::Finished;
    }

    /// Removes the second team; its requests move to the first team, which has no budget.
    pub fn remove_team(&mut self) {
        self.is_team_removed = true;
        self.queues.reconfigure(self.now, quotas(false, 1), &[Some(0), None]);
    }

    /// Advances the time to the next due change of the queues.
    pub fn pass_time(&mut self) {
        self.time_steps += 1;
        self.now = self.queues.due().map_or(self.now, |due| due.max(self.now));
        self.queues.advance(self.now);
    }

    /// Checks that the queues hold the expected number of waiting requests and charge each team for its requests in
    /// flight.
    pub fn check_held(&mut self, scenario: &QueueScenario) {
        let charged = std::array::from_fn(|team| {
            if self.is_team_removed && team == 1 { 0.0 } else { self.queues.in_flight_charge(team) }
        });
        let held = Event::Holds { count: self.queues.len(), charged };
        self.check(scenario, &held);
    }

    /// Returns a hash of everything that influences later transitions and violations.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.queues.fingerprint(self.now, &mut hasher);
        (&self.statuses, self.passed_over, self.dispatch_counts, self.is_team_removed).hash(&mut hasher);
        (self.time_steps, self.requeues, self.violated_invariant).hash(&mut hasher);
        hasher.finish()
    }
}
