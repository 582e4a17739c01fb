//! The transitions of the queue model, and the conditions that enable them.

use super::scenario::QueueScenario;
use super::state::{QueueState, RequestStatus};
use emberflow_teams::Outcome;

/// An input to the queues, or the passing of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Transition {
    /// The next request arrives.
    Arrive,
    /// The first request in the queues' dispatch order is dispatched.
    Dispatch,
    /// A dispatched request ends with an outcome.
    Settle { request: usize, outcome: Outcome },
    /// A dispatched request returns to its queue.
    Requeue { request: usize },
    /// The client of a waiting request disconnects.
    Remove { request: usize },
    /// The second team is removed; its requests move to the first.
    RemoveTeam,
    /// The clock advances to the next due change of the queues.
    PassTime,
}

/// Appends the transitions that are enabled in a state.
pub fn append_enabled(scenario: &QueueScenario, state: &QueueState, transitions: &mut Vec<Transition>) {
    if state.violated_invariant.is_some() {
        return;
    }
    let has = |status: RequestStatus| state.statuses.contains(&status);
    transitions.extend(has(RequestStatus::NotArrived).then_some(Transition::Arrive));
    transitions.extend(has(RequestStatus::Waiting).then_some(Transition::Dispatch));
    for (request, status) in state.statuses.iter().enumerate() {
        match status {
            RequestStatus::InFlight => append_ends(scenario, state, request, transitions),
            RequestStatus::Waiting if scenario.clients_leave => {
                transitions.push(Transition::Remove { request });
            }
            _ => {}
        }
    }
    let may_remove_team = scenario.removes_team && !state.is_team_removed;
    transitions.extend(may_remove_team.then_some(Transition::RemoveTeam));
    let may_pass_time = state.queues.due().is_some() && state.time_steps < scenario.max_time_steps;
    transitions.extend(may_pass_time.then_some(Transition::PassTime));
}

/// Appends the transitions that end or requeue a dispatched request.
fn append_ends(
    scenario: &QueueScenario,
    state: &QueueState,
    request: usize,
    transitions: &mut Vec<Transition>,
) {
    let outcomes = scenario.outcomes.iter().copied();
    transitions.extend(outcomes.map(|outcome| Transition::Settle { request, outcome }));
    if state.requeues < scenario.max_requeues {
        transitions.push(Transition::Requeue { request });
    }
}
