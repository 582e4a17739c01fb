//! The scenarios of the module model. Each is small enough to be explored completely, unless it names a `max_depth`.

use super::scenario::{
    EndpointChange, EngineSpec, RequestSpec, Scenario, Setup, engine, keyed_request, request,
};
use crate::setup;
use emberflow::{AttemptOutcome, LoadReport, ProgressUpdate, RetryBudget};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const ALL_CHANGES: &[EndpointChange] =
    &[EndpointChange::Drains, EndpointChange::Removed, EndpointChange::Returns, EndpointChange::Restarts];
/// Outcomes that differ in what they prove: it succeeded, it failed, it never ran, its fate is unknown.
const MAIN_OUTCOMES: &[AttemptOutcome] =
    &[AttemptOutcome::Succeeded, AttemptOutcome::Failed, AttemptOutcome::Overloaded, AttemptOutcome::Broken];
/// Outcomes after which the attempt may still run, and outcomes that prove that it does not.
const OUTCOMES_THAT_MAY_RUN: &[AttemptOutcome] = &[
    AttemptOutcome::Succeeded,
    AttemptOutcome::Failed,
    AttemptOutcome::Overloaded,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Broken,
];
const ALL_NOTES: &[ProgressUpdate] = &[
    ProgressUpdate::Running,
    ProgressUpdate::Fraction(0.1),
    ProgressUpdate::Spilling(200.0),
    ProgressUpdate::WaitingForMemory,
    ProgressUpdate::WaitingForLoad,
];
const THREE_ENGINES: &[EngineSpec] = &[engine(0, 0), engine(0, 0), engine(0, 0)];
/// Two engines in one cell, and one in another cell and location.
const ENGINES_IN_TWO_CELLS: &[EngineSpec] = &[engine(0, 0), engine(0, 0), engine(1, 1)];
const TWO_ENGINES: &[EngineSpec] = &[engine(0, 0), engine(0, 0)];
const FULL_ENGINE: LoadReport =
    LoadReport { busy: Some(1.0), in_flight: None, waiting: None, memory: Some(0.5), disks: None };

/// Two classes whose requests of one key run in order, a cooldown of keys, and no cancellation.
const KEYS_IN_ORDER_WITHOUT_CANCEL: Setup = setup!(|fleet, classes, attempt_limits| {
    classes[0].keeps_order = true;
    classes[4].keeps_order = true;
    attempt_limits.key_cooldown = Some(std::time::Duration::from_millis(60));
    attempt_limits.may_cancel = false;
});

/// All scenarios of the module model.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "idempotent",
        description: "one idempotent request, three engines, every outcome, one endpoint change, a client that leaves",
        engines: THREE_ENGINES,
        requests: &[request(0)],
        max_endpoint_changes: 1,
        endpoint_changes: ALL_CHANGES,
        max_departures: 1,
        ..Scenario::BASE
    },
    Scenario {
        name: "non-idempotent",
        description: "one non-idempotent request, three engines, every outcome, two endpoint changes, a client that leaves",
        engines: THREE_ENGINES,
        requests: &[request(4)],
        max_endpoint_changes: 2,
        endpoint_changes: ALL_CHANGES,
        max_departures: 1,
        in_short_set: false,
        ..Scenario::BASE
    },
    Scenario {
        name: "drain under an attempt",
        description: "a drain in the instant of an attempt's end, and between a rejection elsewhere and the next attempt",
        engines: THREE_ENGINES,
        requests: &[request(0)],
        outcomes: MAIN_OUTCOMES,
        max_endpoint_changes: 2,
        endpoint_changes: &[EndpointChange::Drains, EndpointChange::Returns],
        ..Scenario::BASE
    },
    Scenario {
        name: "keyed in a cell",
        description: "one request with an idempotency key known within its cell, three engines in two cells, a window shorter than the deadline",
        engines: ENGINES_IN_TWO_CELLS,
        requests: &[request(1)],
        max_endpoint_changes: 1,
        endpoint_changes: &[EndpointChange::Drains, EndpointChange::Restarts],
        max_departures: 1,
        ..Scenario::BASE
    },
    Scenario {
        name: "keyed in a location",
        description: "the same within a location",
        engines: ENGINES_IN_TWO_CELLS,
        requests: &[request(2)],
        max_endpoint_changes: 1,
        endpoint_changes: &[EndpointChange::Drains, EndpointChange::Removed],
        ..Scenario::BASE
    },
    Scenario {
        name: "keyed everywhere",
        description: "the same with a key that all engines know",
        engines: ENGINES_IN_TWO_CELLS,
        requests: &[request(3)],
        max_endpoint_changes: 1,
        endpoint_changes: &[EndpointChange::Drains, EndpointChange::Removed],
        ..Scenario::BASE
    },
    Scenario {
        name: "restart under an attempt",
        description: "an engine that restarts under an attempt and is listed again before the attempt's end is known",
        engines: TWO_ENGINES,
        requests: &[request(1)],
        outcomes: MAIN_OUTCOMES,
        max_endpoint_changes: 2,
        endpoint_changes: &[EndpointChange::Removed, EndpointChange::Restarts],
        ..Scenario::BASE
    },
    Scenario {
        name: "placed",
        description: "a request bound to one kind and one location, engines of every other",
        setup: setup!(|fleet, classes, attempt_limits| {
            fleet.kinds.push(emberflow::EngineKind { cores: 8.0, memory_mb: 16000.0 });
            classes[0].kinds = Some(vec![1]);
            classes[0].locations = Some(vec![1]);
        }),
        engines: &[engine(1, 0), engine(0, 0), engine(1, 0)],
        kinds: &[1, 1, 0],
        requests: &[request(0)],
        max_endpoint_changes: 1,
        endpoint_changes: ALL_CHANGES,
        ..Scenario::BASE
    },
    Scenario {
        name: "notes",
        description: "one idempotent request, two engines, two notes of any kind to each attempt",
        engines: TWO_ENGINES,
        requests: &[request(0)],
        outcomes: MAIN_OUTCOMES,
        progress_notes: ALL_NOTES,
        max_notes: 2,
        max_departures: 1,
        ..Scenario::BASE
    },
    Scenario {
        name: "silent engine",
        description: "progress notes that come or not: attempts cancelled for silence, a late first answer after that",
        engines: TWO_ENGINES,
        requests: &[request(0)],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Broken],
        progress_notes: &[ProgressUpdate::Running],
        max_notes: 3,
        stops_around_objective: true,
        wake_up_delay: ms(8),
        ..Scenario::BASE
    },
    Scenario {
        name: "late wake-ups",
        description: "a single engine, wake-ups up to 8 ms late, times right before, at and after the latency objective",
        requests: &[request(0)],
        wake_up_delay: ms(8),
        stops_around_objective: true,
        max_departures: 1,
        ..Scenario::BASE
    },
    Scenario {
        name: "no engine",
        description: "no engine until the endpoint list reports one, which may be lost again",
        engines: &[engine(0, 0)],
        requests: &[request(4)],
        outcomes: MAIN_OUTCOMES,
        max_endpoint_changes: 3,
        endpoint_changes: ALL_CHANGES,
        list_may_fail: true,
        max_departures: 1,
        ..Scenario::BASE
    },
    Scenario {
        name: "list asked",
        description: "an endpoint list that is polled, fails and comes back empty",
        setup: setup!(|fleet, classes, attempt_limits| {
            fleet.polls_endpoint_list = true;
        }),
        engines: TWO_ENGINES,
        requests: &[request(0)],
        outcomes: MAIN_OUTCOMES,
        max_endpoint_changes: 2,
        endpoint_changes: &[EndpointChange::Returns, EndpointChange::Restarts],
        list_may_fail: true,
        ..Scenario::BASE
    },
    Scenario {
        name: "closing",
        description: "the process shuts down while an attempt with an idempotency key is in flight",
        engines: ENGINES_IN_TWO_CELLS,
        requests: &[request(1)],
        outcomes: MAIN_OUTCOMES,
        shuts_down: true,
        max_departures: 1,
        wake_up_delay: ms(8),
        ..Scenario::BASE
    },
    Scenario {
        name: "closing late",
        description: "the process ends earlier than the deadline of a non-idempotent request",
        engines: TWO_ENGINES,
        requests: &[request(4), request(0)],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Broken],
        shuts_down: true,
        in_short_set: false,
        ..Scenario::BASE
    },
    Scenario {
        name: "one key",
        description: "two idempotent requests of one key that has a cooldown, one engine",
        setup: setup!(|fleet, classes, attempt_limits| {
            classes[0].keeps_order = true;
            attempt_limits.key_cooldown = Some(std::time::Duration::from_millis(60));
        }),
        engines: &[engine(0, 0)],
        requests: &[keyed_request(0, 1), keyed_request(0, 1)],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Overloaded, AttemptOutcome::Broken],
        max_departures: 1,
        ..Scenario::BASE
    },
    Scenario {
        name: "a turn that never comes",
        description: "a request of unknown work and a short deadline behind one of its key that stays in flight, late wake-ups",
        setup: setup!(|fleet, classes, attempt_limits| {
            classes[0].keeps_order = true;
            classes[4].keeps_order = true;
            classes[0].late_share = 0.5;
            classes[0].deadline = classes[4].deadline / 2;
            attempt_limits.may_cancel = false;
        }),
        engines: &[engine(0, 0)],
        requests: &[keyed_request(4, 1), RequestSpec { cost_ms: 0, ..keyed_request(0, 1) }],
        outcomes: &[AttemptOutcome::Succeeded],
        wake_up_delay: ms(8),
        ..Scenario::BASE
    },
    Scenario {
        name: "one key, non-idempotent",
        description: "two non-idempotent requests of one key that has a cooldown, no cancellation, a client that leaves its attempt in flight",
        setup: setup!(|fleet, classes, attempt_limits| {
            classes[4].keeps_order = true;
            attempt_limits.key_cooldown = Some(std::time::Duration::from_millis(60));
            attempt_limits.may_cancel = false;
        }),
        engines: &[engine(0, 0)],
        requests: &[keyed_request(4, 1), keyed_request(4, 1)],
        outcomes: OUTCOMES_THAT_MAY_RUN,
        max_departures: 1,
        ..Scenario::BASE
    },
    Scenario {
        name: "one key, two effects",
        description: "an idempotent request, whose retries need no cooldown, and a non-idempotent one of its key that does",
        setup: KEYS_IN_ORDER_WITHOUT_CANCEL,
        engines: &[engine(0, 0)],
        requests: &[keyed_request(0, 1), keyed_request(4, 1)],
        outcomes: OUTCOMES_THAT_MAY_RUN,
        max_departures: 1,
        ..Scenario::BASE
    },
    Scenario {
        name: "three of one key",
        description: "a non-idempotent request between two idempotent ones of its key: one cooldown after another",
        setup: KEYS_IN_ORDER_WITHOUT_CANCEL,
        engines: &[engine(0, 0)],
        requests: &[keyed_request(0, 1), keyed_request(4, 1), keyed_request(0, 1)],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Broken],
        in_short_set: false,
        ..Scenario::BASE
    },
    Scenario {
        name: "attempt budget",
        description: "two idempotent requests, one engine, a retry budget that suffices for one of them",
        setup: setup!(|fleet, classes, attempt_limits| {
            let window = std::time::Duration::from_millis(400);
            attempt_limits.retry_budget = Some(RetryBudget { min_retries: 1.0, per_request: 0.0, window });
        }),
        engines: &[engine(0, 0)],
        requests: &[request(0), request(0)],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Overloaded, AttemptOutcome::Failed],
        interchangeable_engines: false,
        ..Scenario::BASE
    },
    Scenario {
        name: "attempt budget at two",
        description: "the same at two engines, with progress notes that report a wait for load",
        setup: setup!(|fleet, classes, attempt_limits| {
            let window = std::time::Duration::from_millis(400);
            attempt_limits.retry_budget = Some(RetryBudget { min_retries: 0.5, per_request: 0.5, window });
        }),
        engines: TWO_ENGINES,
        requests: &[request(0), request(0)],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Overloaded],
        progress_notes: &[ProgressUpdate::WaitingForLoad],
        max_notes: 1,
        interchangeable_engines: false,
        in_short_set: false,
        ..Scenario::BASE
    },
    Scenario {
        name: "cold engine",
        description: "an engine that restarts while two requests arrive, a window with capacity for one at first",
        engines: &[engine(0, 0)],
        requests: &[RequestSpec { cost_ms: 210, ..request(0) }, RequestSpec { cost_ms: 210, ..request(0) }],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Overloaded],
        max_endpoint_changes: 1,
        endpoint_changes: &[EndpointChange::Restarts],
        in_short_set: false,
        ..Scenario::BASE
    },
    Scenario {
        name: "cold engine, small part",
        description: "the same for one of forty routers, whose part is less than one request",
        setup: setup!(|fleet, classes, attempt_limits| {
            fleet.router_count = 40;
            attempt_limits.warm_up = std::time::Duration::from_millis(2000);
        }),
        engines: &[engine(0, 0)],
        requests: &[request(0), request(0)],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Overloaded],
        max_endpoint_changes: 1,
        endpoint_changes: &[EndpointChange::Restarts],
        ..Scenario::BASE
    },
    Scenario {
        name: "pressed engine",
        description: "answers that report a full engine, large and small requests",
        engines: &[engine(0, 0)],
        requests: &[request(0), RequestSpec { memory_mb: 12000.0, ..request(0) }],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Overloaded],
        load_report: Some(FULL_ENGINE),
        in_short_set: false,
        ..Scenario::BASE
    },
    Scenario {
        name: "no estimates",
        description: "a request without estimates, which may cost anything",
        engines: TWO_ENGINES,
        requests: &[RequestSpec { cost_ms: 0, memory_mb: 0.0, ..request(0) }],
        max_departures: 1,
        ..Scenario::BASE
    },
    Scenario {
        name: "may not cancel",
        description: "attempts that may not be cancelled, with every reason to",
        setup: setup!(|fleet, classes, attempt_limits| {
            attempt_limits.may_cancel = false;
        }),
        engines: TWO_ENGINES,
        requests: &[request(0)],
        outcomes: MAIN_OUTCOMES,
        progress_notes: &[ProgressUpdate::Fraction(0.1), ProgressUpdate::WaitingForLoad],
        max_notes: 1,
        max_departures: 1,
        ..Scenario::BASE
    },
    Scenario {
        name: "two effects",
        description: "a non-idempotent and an idempotent request at two engines, one drain",
        engines: TWO_ENGINES,
        requests: &[request(4), request(0)],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Broken],
        max_endpoint_changes: 1,
        endpoint_changes: &[EndpointChange::Drains],
        in_short_set: false,
        ..Scenario::BASE
    },
    Scenario {
        name: "two keyed",
        description: "two requests with idempotency keys known within a cell at two engines of two cells",
        engines: &[engine(0, 0), engine(1, 1)],
        requests: &[request(1), request(1)],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Broken],
        in_short_set: false,
        ..Scenario::BASE
    },
    Scenario {
        name: "three requests",
        description: "an idempotent, a keyed and a non-idempotent request at three engines in two cells",
        engines: ENGINES_IN_TWO_CELLS,
        requests: &[request(0), request(1), request(4)],
        outcomes: MAIN_OUTCOMES,
        max_endpoint_changes: 1,
        endpoint_changes: ALL_CHANGES,
        max_departures: 1,
        max_depth: Some(6),
        in_short_set: false,
        ..Scenario::BASE
    },
];
