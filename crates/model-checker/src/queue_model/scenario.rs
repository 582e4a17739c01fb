//! The scenarios of the queue model.

use emberflow_teams::Outcome;
use std::time::Duration;

/// The estimated work of every request, in milliseconds on one core.
const WORK_MS: u64 = 100;
/// The outcome of a request that has used more work than [`WORK_MS`], the estimate.
const MORE_WORK_THAN_ESTIMATED: Outcome = Outcome::Measured(Duration::from_millis(250));
const HIGHEST_URGENCY: u8 = 3;

/// A request that arrives.
#[derive(Clone, Copy)]
pub struct RequestSpec {
    /// Index of the request's team, 0 or 1.
    pub team: usize,
    /// The request's urgency, from 0 (ordinary) to 3 (most urgent).
    pub urgency: u8,
    /// The estimated work, in milliseconds on one core.
    pub work_ms: u64,
}

/// A scenario of the queue model: its requests, and the transitions that are possible.
pub struct QueueScenario {
    /// The name on the command line and in tests.
    pub name: &'static str,
    /// The description that the command `scenarios` prints.
    pub description: &'static str,
    /// The requests in the order of arrival.
    pub requests: &'static [RequestSpec],
    /// Whether the second team has a budget; the first team never has one.
    pub second_team_has_budget: bool,
    /// The possible outcomes of a dispatched request; if empty, dispatched requests stay in flight.
    pub outcomes: &'static [Outcome],
    /// Largest number of times that dispatched requests are requeued.
    pub max_requeues: u8,
    /// Whether clients may disconnect while their requests wait.
    pub clients_leave: bool,
    /// Whether the second team may be removed.
    pub removes_team: bool,
    /// Largest number of times that the clock advances to the next due change of the queues.
    pub max_time_steps: u8,
    /// Whether the option `--short` selects the scenario.
    pub in_short_set: bool,
}

/// Returns a request of a team with the lowest urgency.
const fn ordinary(team: usize) -> RequestSpec {
    RequestSpec { team, urgency: 0, work_ms: WORK_MS }
}

const fn urgent(team: usize, urgency: u8) -> RequestSpec {
    RequestSpec { team, urgency, work_ms: WORK_MS }
}

const MOST_URGENT: RequestSpec = urgent(0, HIGHEST_URGENCY);

/// All scenarios of the queue model.
pub const SCENARIOS: &[QueueScenario] = &[
    QueueScenario {
        name: "two teams",
        description: "three requests of two teams, one urgent, one budget, every outcome, a requeue, disconnects, a removed team",
        requests: &[ordinary(0), ordinary(1), urgent(1, 2)],
        second_team_has_budget: true,
        outcomes: &[Outcome::Refunded, Outcome::Unknown, MORE_WORK_THAN_ESTIMATED],
        max_requeues: 1,
        clients_leave: true,
        removes_team: true,
        max_time_steps: 2,
        in_short_set: true,
    },
    QueueScenario {
        name: "a team above its share",
        description: "nine requests of one team and two of another, any of which may wait while the others are dispatched",
        requests: &[
            ordinary(0),
            ordinary(0),
            MOST_URGENT,
            ordinary(1),
            ordinary(0),
            MOST_URGENT,
            MOST_URGENT,
            ordinary(0),
            ordinary(0),
            ordinary(1),
            MOST_URGENT,
        ],
        second_team_has_budget: false,
        outcomes: &[],
        max_requeues: 0,
        clients_leave: false,
        removes_team: false,
        max_time_steps: 3,
        in_short_set: true,
    },
];
