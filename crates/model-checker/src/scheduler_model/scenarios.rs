//! The scenarios of the scheduler model. Each is small enough to be explored completely, unless it has a `max_depth`.

use super::scenario::{
    EndpointChange, EngineSpec, IDEMPOTENCY_KEY_EVERYWHERE, IDEMPOTENCY_KEY_IN_CELL,
    IDEMPOTENCY_KEY_IN_LOCATION, IDEMPOTENT, NON_IDEMPOTENT, RequestSpec, SchedulerScenario, Setup, engine,
    request, request_of_key,
};
use crate::setup;
use emberflow::{AttemptOutcome, LoadReport, ProgressUpdate, RetryBudget};
use std::time::Duration;

const ALL_CHANGES: &[EndpointChange] =
    &[EndpointChange::Drains, EndpointChange::Removed, EndpointChange::Returns, EndpointChange::Restarts];
/// One outcome of each kind: success, failure, an attempt that never ran, and one that may have run.
const MAIN_OUTCOMES: &[AttemptOutcome] =
    &[AttemptOutcome::Succeeded, AttemptOutcome::Failed, AttemptOutcome::Overloaded, AttemptOutcome::Broken];
/// The main outcomes and a timeout, after which the attempt may still run.
const MAIN_OUTCOMES_AND_TIMEOUT: &[AttemptOutcome] = &[
    AttemptOutcome::Succeeded,
    AttemptOutcome::Failed,
    AttemptOutcome::Overloaded,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Broken,
];
const ALL_PROGRESS_UPDATES: &[ProgressUpdate] = &[
    ProgressUpdate::Running,
    ProgressUpdate::Fraction(0.1),
    ProgressUpdate::Spilling(200.0),
    ProgressUpdate::WaitingForMemory,
    ProgressUpdate::WaitingForBulkLoad,
];
/// Largest delay of a wake-up in the scenarios with late wake-ups: one tick of the scheduler.
const MAX_WAKE_UP_DELAY: Duration = Duration::from_millis(8);
/// Estimated work of a request, in milliseconds on one core. The scheduler's budget for the first overload window
/// after an engine's start allows one such request, but not two.
const WARMING_WORK_MS: u64 = 210;
/// Estimated memory of a request that needs most of an engine's 16,000 MB, in MB.
const LARGE_MEMORY_MB: f64 = 12000.0;
/// Depth to which "three requests" is explored, in transitions.
const THREE_REQUESTS_DEPTH: usize = 6;
const THREE_ENGINES: &[EngineSpec] = &[engine(0, 0), engine(0, 0), engine(0, 0)];
/// Two engines in one cell, and one in another cell and location.
const ENGINES_IN_TWO_CELLS: &[EngineSpec] = &[engine(0, 0), engine(0, 0), engine(1, 1)];
const TWO_ENGINES: &[EngineSpec] = &[engine(0, 0), engine(0, 0)];
/// The load report of an engine whose cores are all busy.
const BUSY_ENGINE_REPORT: LoadReport = LoadReport {
    core_utilization: Some(1.0),
    in_flight: None,
    waiting_for_memory: None,
    memory_utilization: Some(0.5),
    disk_utilization: None,
};

/// Requests of one key run in order in the idempotent and the non-idempotent class, with a cooldown between them;
/// attempts may not be cancelled.
const KEYS_IN_ORDER_WITHOUT_CANCEL: Setup = setup!(|fleet, classes, attempt_limits| {
    classes[0].keeps_order = true;
    classes[4].keeps_order = true;
    attempt_limits.key_cooldown = Some(std::time::Duration::from_millis(60));
    attempt_limits.may_cancel = false;
});

/// All scenarios of the scheduler model.
pub const SCENARIOS: &[SchedulerScenario] = &[
    SchedulerScenario {
        name: "idempotent",
        description: "one idempotent request, three engines, every outcome, one endpoint change, a client that disconnects",
        engines: THREE_ENGINES,
        requests: &[request(IDEMPOTENT)],
        max_endpoint_changes: 1,
        endpoint_changes: ALL_CHANGES,
        max_departures: 1,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "non-idempotent",
        description: "one non-idempotent request, three engines, every outcome, two endpoint changes, a client that disconnects",
        engines: THREE_ENGINES,
        requests: &[request(NON_IDEMPOTENT)],
        max_endpoint_changes: 2,
        endpoint_changes: ALL_CHANGES,
        max_departures: 1,
        in_short_set: false,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "drain under an attempt",
        description: "an engine that drains at the end of an attempt, or between a rejection elsewhere and the retry",
        engines: THREE_ENGINES,
        requests: &[request(IDEMPOTENT)],
        outcomes: MAIN_OUTCOMES,
        max_endpoint_changes: 2,
        endpoint_changes: &[EndpointChange::Drains, EndpointChange::Returns],
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "idempotency key in a cell",
        description: "one request with an idempotency key known within its cell, three engines in two cells, a window shorter than the deadline",
        engines: ENGINES_IN_TWO_CELLS,
        requests: &[request(IDEMPOTENCY_KEY_IN_CELL)],
        max_endpoint_changes: 1,
        endpoint_changes: &[EndpointChange::Drains, EndpointChange::Restarts],
        max_departures: 1,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "idempotency key in location",
        description: "one request with an idempotency key known within its location, three engines in two locations",
        engines: ENGINES_IN_TWO_CELLS,
        requests: &[request(IDEMPOTENCY_KEY_IN_LOCATION)],
        max_endpoint_changes: 1,
        endpoint_changes: &[EndpointChange::Drains, EndpointChange::Removed],
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "idempotency key everywhere",
        description: "one request with an idempotency key known to all engines, three engines in two cells",
        engines: ENGINES_IN_TWO_CELLS,
        requests: &[request(IDEMPOTENCY_KEY_EVERYWHERE)],
        max_endpoint_changes: 1,
        endpoint_changes: &[EndpointChange::Drains, EndpointChange::Removed],
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "restart under an attempt",
        description: "an engine that restarts during an attempt and is listed again before the end of the attempt is known",
        engines: TWO_ENGINES,
        requests: &[request(IDEMPOTENCY_KEY_IN_CELL)],
        outcomes: MAIN_OUTCOMES,
        max_endpoint_changes: 2,
        endpoint_changes: &[EndpointChange::Removed, EndpointChange::Restarts],
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "placement",
        description: "a request restricted to one kind and one location, engines that match both or only one of them",
        setup: setup!(|fleet, classes, attempt_limits| {
            fleet.kinds.push(emberflow::EngineKind { cores: 8.0, memory_mb: 16000.0 });
            classes[0].kinds = Some(vec![1]);
            classes[0].locations = Some(vec![1]);
        }),
        engines: &[engine(1, 0), engine(0, 0), engine(1, 0)],
        kinds: &[1, 1, 0],
        requests: &[request(IDEMPOTENT)],
        max_endpoint_changes: 1,
        endpoint_changes: ALL_CHANGES,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "progress updates",
        description: "one idempotent request, two engines, two progress updates of any kind for each attempt",
        engines: TWO_ENGINES,
        requests: &[request(IDEMPOTENT)],
        outcomes: MAIN_OUTCOMES,
        progress_updates: ALL_PROGRESS_UPDATES,
        max_progress_updates: 2,
        max_departures: 1,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "silent engine",
        description: "progress updates that may be missing: attempts cancelled for inactivity, and a late answer to a cancelled attempt",
        engines: TWO_ENGINES,
        requests: &[request(IDEMPOTENT)],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Broken],
        progress_updates: &[ProgressUpdate::Running],
        max_progress_updates: 3,
        visits_latency_objective: true,
        wake_up_delay: MAX_WAKE_UP_DELAY,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "late wake-ups",
        description: "one engine, wake-ups up to 8 ms late, times immediately before, at and after the latency objective",
        requests: &[request(IDEMPOTENT)],
        wake_up_delay: MAX_WAKE_UP_DELAY,
        visits_latency_objective: true,
        max_departures: 1,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "no engine",
        description: "one engine that may drain, be removed, return or restart, and an endpoint list that may fail or be empty",
        engines: &[engine(0, 0)],
        requests: &[request(NON_IDEMPOTENT)],
        outcomes: MAIN_OUTCOMES,
        max_endpoint_changes: 3,
        endpoint_changes: ALL_CHANGES,
        list_may_fail: true,
        max_departures: 1,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "polled endpoint list",
        description: "two engines, and a polled endpoint list that may fail or be empty",
        setup: setup!(|fleet, classes, attempt_limits| {
            fleet.must_watch_endpoints = true;
        }),
        engines: TWO_ENGINES,
        requests: &[request(IDEMPOTENT)],
        outcomes: MAIN_OUTCOMES,
        max_endpoint_changes: 2,
        endpoint_changes: &[EndpointChange::Returns, EndpointChange::Restarts],
        list_may_fail: true,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "shutdown under an attempt",
        description: "a graceful shutdown while an attempt with an idempotency key is in flight",
        engines: ENGINES_IN_TWO_CELLS,
        requests: &[request(IDEMPOTENCY_KEY_IN_CELL)],
        outcomes: MAIN_OUTCOMES,
        shuts_down: true,
        max_departures: 1,
        wake_up_delay: MAX_WAKE_UP_DELAY,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "shutdown before a deadline",
        description: "a process that ends before the deadline of a non-idempotent request",
        engines: TWO_ENGINES,
        requests: &[request(NON_IDEMPOTENT), request(IDEMPOTENT)],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Broken],
        shuts_down: true,
        in_short_set: false,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "one key",
        description: "two idempotent requests of one key with a cooldown, one engine",
        setup: setup!(|fleet, classes, attempt_limits| {
            classes[0].keeps_order = true;
            attempt_limits.key_cooldown = Some(std::time::Duration::from_millis(60));
        }),
        engines: &[engine(0, 0)],
        requests: &[request_of_key(IDEMPOTENT, 1), request_of_key(IDEMPOTENT, 1)],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Overloaded, AttemptOutcome::Broken],
        max_departures: 1,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "blocked by key order",
        description: "a request with unknown work and a short deadline behind a request of its key that stays in flight, late wake-ups",
        setup: setup!(|fleet, classes, attempt_limits| {
            classes[0].keeps_order = true;
            classes[4].keeps_order = true;
            classes[0].late_weight_fraction = 0.5;
            classes[0].deadline = classes[4].deadline / 2;
            attempt_limits.may_cancel = false;
        }),
        engines: &[engine(0, 0)],
        requests: &[
            request_of_key(NON_IDEMPOTENT, 1),
            RequestSpec { work_ms: 0, ..request_of_key(IDEMPOTENT, 1) },
        ],
        outcomes: &[AttemptOutcome::Succeeded],
        wake_up_delay: MAX_WAKE_UP_DELAY,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "one key, non-idempotent",
        description: "two non-idempotent requests of one key with a cooldown, no cancellation, a client that disconnects during an attempt",
        setup: setup!(|fleet, classes, attempt_limits| {
            classes[4].keeps_order = true;
            attempt_limits.key_cooldown = Some(std::time::Duration::from_millis(60));
            attempt_limits.may_cancel = false;
        }),
        engines: &[engine(0, 0)],
        requests: &[request_of_key(NON_IDEMPOTENT, 1), request_of_key(NON_IDEMPOTENT, 1)],
        outcomes: MAIN_OUTCOMES_AND_TIMEOUT,
        max_departures: 1,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "one key, two effects",
        description: "an idempotent request, whose retries need no cooldown, and a non-idempotent one of the same key, which needs one",
        setup: KEYS_IN_ORDER_WITHOUT_CANCEL,
        engines: &[engine(0, 0)],
        requests: &[request_of_key(IDEMPOTENT, 1), request_of_key(NON_IDEMPOTENT, 1)],
        outcomes: MAIN_OUTCOMES_AND_TIMEOUT,
        max_departures: 1,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "three of one key",
        description: "a non-idempotent request between two idempotent ones of the same key: successive cooldowns",
        setup: KEYS_IN_ORDER_WITHOUT_CANCEL,
        engines: &[engine(0, 0)],
        requests: &[
            request_of_key(IDEMPOTENT, 1),
            request_of_key(NON_IDEMPOTENT, 1),
            request_of_key(IDEMPOTENT, 1),
        ],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Broken],
        in_short_set: false,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "retry budget",
        description: "two idempotent requests, one engine, a retry budget that suffices for one of them",
        setup: setup!(|fleet, classes, attempt_limits| {
            let window = std::time::Duration::from_millis(400);
            attempt_limits.retry_budget = Some(RetryBudget { min_retries: 1.0, per_request: 0.0, window });
        }),
        engines: &[engine(0, 0)],
        requests: &[request(IDEMPOTENT), request(IDEMPOTENT)],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Overloaded, AttemptOutcome::Failed],
        interchangeable_engines: false,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "retry budget, two engines",
        description: "two idempotent requests, two engines, a retry budget, progress updates that report a wait for load",
        setup: setup!(|fleet, classes, attempt_limits| {
            let window = std::time::Duration::from_millis(400);
            attempt_limits.retry_budget = Some(RetryBudget { min_retries: 0.5, per_request: 0.5, window });
        }),
        engines: TWO_ENGINES,
        requests: &[request(IDEMPOTENT), request(IDEMPOTENT)],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Overloaded],
        progress_updates: &[ProgressUpdate::WaitingForBulkLoad],
        max_progress_updates: 1,
        interchangeable_engines: false,
        in_short_set: false,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "warming engine",
        description: "an engine that restarts while two requests arrive, and whose first overload window has capacity for one",
        engines: &[engine(0, 0)],
        requests: &[
            RequestSpec { work_ms: WARMING_WORK_MS, ..request(IDEMPOTENT) },
            RequestSpec { work_ms: WARMING_WORK_MS, ..request(IDEMPOTENT) },
        ],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Overloaded],
        max_endpoint_changes: 1,
        endpoint_changes: &[EndpointChange::Restarts],
        in_short_set: false,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "warming engine, small part",
        description: "an engine that restarts while two requests arrive at one of forty routers, whose part of the window is less than one request",
        setup: setup!(|fleet, classes, attempt_limits| {
            fleet.router_count = 40;
            attempt_limits.warm_up = std::time::Duration::from_millis(2000);
        }),
        engines: &[engine(0, 0)],
        requests: &[request(IDEMPOTENT), request(IDEMPOTENT)],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Overloaded],
        max_endpoint_changes: 1,
        endpoint_changes: &[EndpointChange::Restarts],
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "engine under pressure",
        description: "answers that report an engine with all cores busy, a large and a small request",
        engines: &[engine(0, 0)],
        requests: &[request(IDEMPOTENT), RequestSpec { memory_mb: LARGE_MEMORY_MB, ..request(IDEMPOTENT) }],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Overloaded],
        load_report: Some(BUSY_ENGINE_REPORT),
        in_short_set: false,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "no estimates",
        description: "a request without estimates",
        engines: TWO_ENGINES,
        requests: &[RequestSpec { work_ms: 0, memory_mb: 0.0, ..request(IDEMPOTENT) }],
        max_departures: 1,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "no cancellation",
        description: "attempts that may not be cancelled, with progress updates that would lead to a cancellation",
        setup: setup!(|fleet, classes, attempt_limits| {
            attempt_limits.may_cancel = false;
        }),
        engines: TWO_ENGINES,
        requests: &[request(IDEMPOTENT)],
        outcomes: MAIN_OUTCOMES,
        progress_updates: &[ProgressUpdate::Fraction(0.1), ProgressUpdate::WaitingForBulkLoad],
        max_progress_updates: 1,
        max_departures: 1,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "two effects",
        description: "a non-idempotent and an idempotent request at two engines, one drain",
        engines: TWO_ENGINES,
        requests: &[request(NON_IDEMPOTENT), request(IDEMPOTENT)],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Broken],
        max_endpoint_changes: 1,
        endpoint_changes: &[EndpointChange::Drains],
        in_short_set: false,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "two idempotency keys",
        description: "two requests with idempotency keys known within a cell at two engines of two cells",
        engines: &[engine(0, 0), engine(1, 1)],
        requests: &[request(IDEMPOTENCY_KEY_IN_CELL), request(IDEMPOTENCY_KEY_IN_CELL)],
        outcomes: &[AttemptOutcome::Succeeded, AttemptOutcome::Broken],
        in_short_set: false,
        ..SchedulerScenario::BASE
    },
    SchedulerScenario {
        name: "three requests",
        description: "an idempotent request, one with an idempotency key and a non-idempotent one at three engines in two cells",
        engines: ENGINES_IN_TWO_CELLS,
        requests: &[request(IDEMPOTENT), request(IDEMPOTENCY_KEY_IN_CELL), request(NON_IDEMPOTENT)],
        outcomes: MAIN_OUTCOMES,
        max_endpoint_changes: 1,
        endpoint_changes: ALL_CHANGES,
        max_departures: 1,
        max_depth: Some(THREE_REQUESTS_DEPTH),
        in_short_set: false,
        ..SchedulerScenario::BASE
    },
];
