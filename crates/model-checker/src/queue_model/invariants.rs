//! The invariants of the queue model, one function each.

use super::scenario::QueueScenario;
use super::state::{Event, QueueState, RequestStatus, TEAMS};
use crate::invariants::Invariant;

/// Largest number of consecutive dispatches of the other team while a team has a waiting request: the largest
/// priority gain in requests, plus one request in flight of each team. `docs/teams-design.md` derives the bound.
const MAX_PASSED_OVER: u32 = 6;
/// Interval, in dispatches of one team, at which urgency is ignored.
const URGENCY_IGNORED_EVERY: u32 = 8;
/// Tolerance for the rounding of sums of work, in seconds.
const ROUNDING_TOLERANCE_S: f64 = 1e-6;
const MS_PER_SECOND: f64 = 1e3;

/// All invariants of the queue model.
pub const INVARIANTS: &[Invariant<QueueScenario>] = &[
    Invariant {
        name: "dispatched once",
        description: "only a waiting request is dispatched",
        is_violated: dispatches_request_that_does_not_wait,
    },
    Invariant {
        name: "work-conserving",
        description: "a dispatch takes a request if any request waits",
        is_violated: dispatches_nothing,
    },
    Invariant {
        name: "urgent first",
        description: "the most urgent request of a team is dispatched first, except at every eighth dispatch",
        is_violated: dispatches_less_urgent,
    },
    Invariant {
        name: "no starvation",
        description: "a team with waiting requests is passed over a bounded number of times",
        is_violated: starves_team,
    },
    Invariant {
        name: "nothing lost",
        description: "a waiting request is held, and a request in flight is charged to its team",
        is_violated: loses_request,
    },
];

fn dispatches_request_that_does_not_wait(_: &QueueScenario, state: &QueueState, event: &Event) -> bool {
    let Event::Dispatches(Some(request)) = event else { return false };
    state.statuses[*request as usize] != RequestStatus::Waiting
}

fn dispatches_nothing(_: &QueueScenario, state: &QueueState, event: &Event) -> bool {
    matches!(event, Event::Dispatches(None)) && state.statuses.contains(&RequestStatus::Waiting)
}

fn dispatches_less_urgent(scenario: &QueueScenario, state: &QueueState, event: &Event) -> bool {
    let Event::Dispatches(Some(request)) = event else { return false };
    let index = *request as usize;
    let dispatched = scenario.requests[index];
    let position_in_interval = state.dispatch_counts[dispatched.team] % URGENCY_IGNORED_EVERY;
    let ignores_urgency = position_in_interval == URGENCY_IGNORED_EVERY - 1;
    if state.statuses[index] != RequestStatus::Waiting || state.is_team_removed || ignores_urgency {
        return false;
    }
    scenario.requests.iter().zip(&state.statuses).any(|(other, status)| {
        let is_waiting_teammate = *status == RequestStatus::Waiting && other.team == dispatched.team;
        is_waiting_teammate && other.urgency > dispatched.urgency
    })
}

fn starves_team(scenario: &QueueScenario, state: &QueueState, event: &Event) -> bool {
    let Event::Dispatches(Some(request)) = event else { return false };
    let other_team = 1 - scenario.requests[*request as usize].team;
    state.passed_over[other_team] >= MAX_PASSED_OVER
        && !scenario.second_team_has_budget
        && state.has_waiting(scenario, other_team)
}

fn loses_request(scenario: &QueueScenario, state: &QueueState, event: &Event) -> bool {
    let Event::Holds { count, charged } = event else { return false };
    let mut in_flight_work = [0.0; TEAMS];
    for (status, request) in state.statuses.iter().zip(scenario.requests) {
        if *status == RequestStatus::InFlight {
            in_flight_work[state.current_team(request)] += request.work_ms as f64 / MS_PER_SECOND;
        }
    }
    let waiting = state.statuses.iter().filter(|status| **status == RequestStatus::Waiting).count();
    let is_wrongly_charged = |(work, charge): (&f64, &f64)| (work - charge).abs() > ROUNDING_TOLERANCE_S;
    waiting != *count || in_flight_work.iter().zip(charged).any(is_wrongly_charged)
}
