//! The queues of teams: requests that arrive, are released in their turn, finish in any way, are taken back or
//! withdrawn, while time passes and a team is removed.
//!
//! The queues inside are the router's own.

use crate::invariants::{Invariant, ObservedModel, first_violated, record_exercised};
use crate::search::Model;
use crate::witness;
use emberflow_teams::{Allowance, NewRequest, Organization, Outcome, Queues, Quotas, RequestId, Team};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// How many teams there are at first; the second may be removed.
const TEAMS: usize = 2;
/// How often a team that waits may be passed over: as many requests as the most priority that can be gained, and one
/// more of each team that is running. See the design note.
const MAX_PASSED_OVER: u32 = 6;
/// One turn of a team in so many is taken in order of arrival, whatever the urgency.
const FAIR_TURN_INTERVAL: u32 = 8;
/// Differences between sums of work, in seconds, that are due to rounding.
const ROUNDING: f64 = 1e-6;
/// How many requests of a team may wait.
const MAX_WAITING: usize = 100;
/// The latency objective of every request.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(300);
/// The deadline of every request: none that matters.
const DEADLINE: Duration = Duration::from_secs(3600);
/// The budget of the second team, in the scenarios that have one.
const BUDGET: Allowance = Allowance {
    work: Duration::from_millis(100),
    period: Duration::from_millis(1000),
    burst: Duration::from_millis(150),
};

/// A request that arrives.
#[derive(Clone, Copy)]
pub struct RequestSpec {
    /// Its team.
    pub team: usize,
    /// Its urgency; larger is more urgent.
    pub urgency: u8,
    /// The estimate of its work in milliseconds.
    pub work_ms: u64,
}

/// A scenario: which requests there are, and what may happen to them.
pub struct QueueScenario {
    /// The name by which the command line and tests know it.
    pub name: &'static str,
    /// What happens in it, in a sentence.
    pub description: &'static str,
    /// The requests in the order in which they arrive.
    pub requests: &'static [RequestSpec],
    /// Whether the second team has a budget.
    pub second_team_has_budget: bool,
    /// How a request may end.
    pub outcomes: &'static [Outcome],
    /// How often a request that was released may be taken back.
    pub max_take_backs: u8,
    /// Whether clients may leave.
    pub clients_leave: bool,
    /// Whether the second team may be removed.
    pub removes_team: bool,
    /// How often time may pass to what is due.
    pub max_time_steps: u8,
    /// Whether it belongs to the short set.
    pub in_short_set: bool,
}

/// One input to the queues, or time that passes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Transition {
    /// The next request arrives.
    Arrive,
    /// The queues release a request.
    Release,
    /// A request that was released ends.
    Settle { request: usize, outcome: Outcome },
    /// A request that was released comes back to the queue.
    TakeBack { request: usize },
    /// The client of a queued request leaves.
    Leave { request: usize },
    /// The second team is removed; its requests go to the first.
    RemoveTeam,
    /// Time passes to what is due next.
    PassTime,
}

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum RequestStatus {
    NotArrived,
    Queued,
    Running,
    Finished,
}

/// The queues and their environment.
#[derive(Clone)]
pub struct QueueState {
    now: Duration,
    /// The system under test.
    queues: Queues,
    /// By request.
    statuses: Vec<RequestStatus>,
    /// How often another team's request was released while a team had one queued, by team.
    passed_over: [u32; TEAMS],
    /// How many requests were released, by team.
    turns_taken: [u32; TEAMS],
    team_removed: bool,
    time_steps: u8,
    take_backs: u8,
    violated: Option<&'static str>,
}

/// What the queues do.
pub enum Event {
    /// They release this request, or nothing.
    Releases(Option<RequestId>),
    /// They hold so many requests, and have charged each team for so much work, in seconds.
    Holds { count: usize, charged: [f64; TEAMS] },
}

const INVARIANTS: &[Invariant<QueueScenario>] = &[
    Invariant {
        name: "released once",
        description: "what is released is a queued request",
        is_violated: releases_unqueued,
    },
    Invariant {
        name: "no idle queue",
        description: "if any request is queued, one is released",
        is_violated: releases_nothing,
    },
    Invariant {
        name: "urgent first",
        description: "of one team the most urgent request is released first, but for one turn in eight",
        is_violated: releases_less_urgent,
    },
    Invariant {
        name: "no starvation",
        description: "a team that waits is passed over at most so often",
        is_violated: starves_team,
    },
    Invariant {
        name: "nothing lost",
        description: "a request that arrived and is not finished is held, and charged while it is running",
        is_violated: loses_request,
    },
];

fn releases_unqueued(_: &QueueScenario, state: &QueueState, event: &Event) -> bool {
    let Event::Releases(Some(request)) = event else { return false };
    state.statuses[*request as usize] != RequestStatus::Queued
}

fn releases_nothing(_: &QueueScenario, state: &QueueState, event: &Event) -> bool {
    matches!(event, Event::Releases(None)) && state.statuses.contains(&RequestStatus::Queued)
}

fn releases_less_urgent(scenario: &QueueScenario, state: &QueueState, event: &Event) -> bool {
    let Event::Releases(Some(request)) = event else { return false };
    let position = *request as usize;
    let released = scenario.requests[position];
    let is_fair_turn = state.turns_taken[released.team] % FAIR_TURN_INTERVAL == FAIR_TURN_INTERVAL - 1;
    if state.statuses[position] != RequestStatus::Queued || state.team_removed || is_fair_turn {
        return false;
    }
    scenario.requests.iter().zip(&state.statuses).any(|(other, status)| {
        *status == RequestStatus::Queued && other.team == released.team && other.urgency > released.urgency
    })
}

fn starves_team(scenario: &QueueScenario, state: &QueueState, event: &Event) -> bool {
    let Event::Releases(Some(request)) = event else { return false };
    let other_team = 1 - scenario.requests[*request as usize].team;
    state.passed_over[other_team] >= MAX_PASSED_OVER
        && !scenario.second_team_has_budget
        && state.has_queued(scenario, other_team)
}

fn loses_request(scenario: &QueueScenario, state: &QueueState, event: &Event) -> bool {
    let Event::Holds { count, charged } = event else { return false };
    let mut running = [0.0; TEAMS];
    for (status, request) in state.statuses.iter().zip(scenario.requests) {
        if *status == RequestStatus::Running {
            running[state.current_team(request)] += request.work_ms as f64 / 1e3;
        }
    }
    let queued = state.statuses.iter().filter(|status| **status == RequestStatus::Queued).count();
    let is_wrongly_charged = |(running, charged): (&f64, &f64)| (running - charged).abs() > ROUNDING;
    queued != *count || running.iter().zip(charged).any(is_wrongly_charged)
}

/// The configuration of so many teams of one firm, of which the second may have a budget.
fn configuration(second_team_has_budget: bool, teams: usize) -> Quotas {
    let team = |position: usize| Team {
        organization: 0,
        share: 1.0,
        allowance: (second_team_has_budget && position == 1).then_some(BUDGET),
        max_waiting: MAX_WAITING,
    };
    Quotas { organizations: vec![Organization { share: 1.0 }], teams: (0..teams).map(team).collect() }
}

impl QueueState {
    /// The team to which a request belongs now.
    fn current_team(&self, request: &RequestSpec) -> usize {
        if self.team_removed { 0 } else { request.team }
    }

    fn has_queued(&self, scenario: &QueueScenario, team: usize) -> bool {
        let mut requests = self.statuses.iter().zip(scenario.requests);
        requests.any(|(status, request)| *status == RequestStatus::Queued && request.team == team)
    }

    fn check(&mut self, scenario: &QueueScenario, event: &Event) {
        self.violated = self.violated.or_else(|| first_violated(scenario, self, event));
    }

    /// Events that faulty queues could emit in this state.
    fn hypothetical_events(&self) -> Vec<Event> {
        let requests = 0..self.statuses.len();
        let mut events: Vec<_> =
            requests.map(|request| Event::Releases(Some(request as RequestId))).collect();
        events.push(Event::Releases(None));
        events.push(Event::Holds { count: usize::MAX, charged: [0.0; TEAMS] });
        events
    }

    fn arrive(&mut self, scenario: &QueueScenario) {
        let is_next = |status: &RequestStatus| *status == RequestStatus::NotArrived;
        let position = self.statuses.iter().position(is_next).unwrap_or_default();
        let request = &scenario.requests[position];
        let new_request = NewRequest {
            request: position as RequestId,
            team: self.current_team(request),
            urgency: request.urgency,
            class: 0,
            work: Duration::from_millis(request.work_ms),
            latency_objective: LATENCY_OBJECTIVE,
            deadline: DEADLINE,
            identity: None,
            key: None,
        };
        let is_queued = self.queues.enqueue(self.now, new_request).is_ok();
        self.statuses[position] = if is_queued { RequestStatus::Queued } else { RequestStatus::Finished };
    }

    fn release(&mut self, scenario: &QueueScenario) {
        let released = self.queues.dispatch_order().next();
        self.check(scenario, &Event::Releases(released));
        let Some(request) = released else { return };
        let team = scenario.requests[request as usize].team;
        let other_team = 1 - team;
        self.queues.dispatch(self.now, request);
        self.statuses[request as usize] = RequestStatus::Running;
        self.passed_over[team] = 0;
        self.turns_taken[team] += 1;
        self.passed_over[other_team] += u32::from(self.has_queued(scenario, other_team));
    }

    /// Checks what the queues hold and have charged.
    fn check_held(&mut self, scenario: &QueueScenario) {
        let charged = std::array::from_fn(|team| {
            if self.team_removed && team == 1 { 0.0 } else { self.queues.in_flight_charge(team) }
        });
        let held = Event::Holds { count: self.queues.len(), charged };
        self.check(scenario, &held);
    }
}

impl Model for QueueScenario {
    type State = QueueState;
    type Transition = Transition;

    fn initial_state(&self) -> QueueState {
        let quotas = configuration(self.second_team_has_budget, TEAMS);
        QueueState {
            now: Duration::ZERO,
            queues: Queues::new(quotas, Duration::ZERO),
            statuses: vec![RequestStatus::NotArrived; self.requests.len()],
            passed_over: [0; TEAMS],
            turns_taken: [0; TEAMS],
            team_removed: false,
            time_steps: 0,
            take_backs: 0,
            violated: None,
        }
    }

    fn transitions(&self, state: &QueueState, transitions: &mut Vec<Transition>) {
        if state.violated.is_some() {
            return;
        }
        let has = |status: RequestStatus| state.statuses.contains(&status);
        transitions.extend(has(RequestStatus::NotArrived).then_some(Transition::Arrive));
        transitions.extend(has(RequestStatus::Queued).then_some(Transition::Release));
        for (request, status) in state.statuses.iter().enumerate() {
            match status {
                RequestStatus::Running => {
                    let outcomes = self.outcomes.iter().copied();
                    transitions.extend(outcomes.map(|outcome| Transition::Settle { request, outcome }));
                    if state.take_backs < self.max_take_backs {
                        transitions.push(Transition::TakeBack { request });
                    }
                }
                RequestStatus::Queued if self.clients_leave => {
                    transitions.push(Transition::Leave { request });
                }
                _ => {}
            }
        }
        let may_remove = self.removes_team && !state.team_removed;
        transitions.extend(may_remove.then_some(Transition::RemoveTeam));
        let is_due = state.queues.due().is_some() && state.time_steps < self.max_time_steps;
        transitions.extend(is_due.then_some(Transition::PassTime));
    }

    fn apply(&self, state: &QueueState, transition: &Transition) -> QueueState {
        let mut next = state.clone();
        let now = next.now;
        match *transition {
            Transition::Arrive => next.arrive(self),
            Transition::Release => next.release(self),
            Transition::Settle { request, outcome } => {
                next.queues.settle(now, request as RequestId, outcome);
                next.statuses[request] = RequestStatus::Finished;
            }
            Transition::TakeBack { request } => {
                next.take_backs += 1;
                next.queues.requeue(now, request as RequestId);
                next.statuses[request] = RequestStatus::Queued;
            }
            Transition::Leave { request } => {
                next.queues.remove(now, request as RequestId);
                next.statuses[request] = RequestStatus::Finished;
            }
            Transition::RemoveTeam => {
                next.team_removed = true;
                next.queues.reconfigure(now, configuration(false, 1), &[Some(0), None]);
            }
            Transition::PassTime => {
                next.time_steps += 1;
                next.now = next.queues.due().map_or(now, |due| due.max(now));
                next.queues.advance(next.now);
            }
        }
        next.check_held(self);
        next
    }

    fn fingerprint(&self, state: &QueueState) -> u64 {
        let mut hasher = DefaultHasher::new();
        state.queues.fingerprint(state.now, &mut hasher);
        (&state.statuses, state.passed_over, state.turns_taken, state.team_removed).hash(&mut hasher);
        (state.time_steps, state.take_backs, state.violated).hash(&mut hasher);
        hasher.finish()
    }

    fn violated(&self, state: &QueueState, _: bool) -> Option<&'static str> {
        record_exercised(self, state, || state.hypothetical_events());
        state.violated
    }
}

impl ObservedModel for QueueScenario {
    type Event = Event;
    const INVARIANTS: &'static [Invariant<Self>] = INVARIANTS;
    const FIRST_WITNESS_BIT: usize = witness::QUEUES;
}

const MEASURED: Outcome = Outcome::Measured(Duration::from_millis(250));

/// A request of this team and urgency.
const fn request(team: usize, urgency: u8) -> RequestSpec {
    RequestSpec { team, urgency, work_ms: 100 }
}

/// All scenarios of the queue model.
pub const SCENARIOS: &[QueueScenario] = &[
    QueueScenario {
        name: "two teams",
        description: "three requests of two teams, one urgent, one with a budget, every outcome, taken back, withdrawn, a team removed",
        requests: &[request(0, 0), request(1, 0), request(1, 2)],
        second_team_has_budget: true,
        outcomes: &[Outcome::Refunded, Outcome::Unknown, MEASURED],
        max_take_backs: 1,
        clients_leave: true,
        removes_team: true,
        max_time_steps: 2,
        in_short_set: true,
    },
    QueueScenario {
        name: "a team that floods",
        description: "nine requests of one team and two of another, any of which waits while the others are released",
        requests: &[
            request(0, 0),
            request(0, 0),
            request(0, 3),
            request(1, 0),
            request(0, 0),
            request(0, 3),
            request(0, 3),
            request(0, 0),
            request(0, 0),
            request(1, 0),
            request(0, 3),
        ],
        second_team_has_budget: false,
        outcomes: &[],
        max_take_backs: 0,
        clients_leave: false,
        removes_team: false,
        max_time_steps: 3,
        in_short_set: true,
    },
];
