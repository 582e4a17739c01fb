//! Random settings of one run: of the scheduler, the clients and the engines.

use crate::random::Random;
use emberflow::*;
use std::time::Duration;

/// The behaviour of clients and engines in one run.
pub struct Environment {
    /// Probability that a request has estimates.
    pub estimate_percent: u64,
    /// Probability that a successful answer contains the usage.
    pub usage_percent: u64,
    /// Probability that an answer contains a load report.
    pub load_report_percent: u64,
    pub reports_cores: bool,
    pub reports_in_flight: bool,
    pub reports_memory: bool,
    pub marks_retries: bool,
    /// Probability that an attempt ends with a random failure.
    pub fault_percent: u64,
    /// Longest time between two arrivals.
    pub longest_gap_ms: u64,
    /// Number of requests, unless a burst at the end adds more.
    pub requests: usize,
    pub shuts_down: bool,
    pub progress_interval: Option<Duration>,
}

/// The actual state of a simulated engine, which the scheduler does not know.
#[derive(Clone)]
pub struct SimulatedEngine {
    pub location: usize,
    pub kind: usize,
    pub cell: u64,
    pub ready: bool,
    pub removed: bool,
    pub launched_at: Option<Duration>,
    /// Factor by which the engine slows its attempts.
    pub slowness: f64,
    /// Whether the engine sends neither answers nor progress updates.
    pub silent: bool,
    /// Whether each attempt at the engine fails soon.
    pub fails: bool,
}

pub fn idempotency(random: &mut Random) -> Idempotency {
    let window = random.time(100, 800);
    match random.below(6) {
        0 | 1 => Idempotency::Idempotent,
        2 => Idempotency::IdempotentWithKey { scope: KeyScope::All, window },
        3 => Idempotency::IdempotentWithKey { scope: KeyScope::Location, window },
        4 => Idempotency::IdempotentWithKey { scope: KeyScope::Cell, window },
        _ => Idempotency::NonIdempotent,
    }
}

pub fn request_class(random: &mut Random, kinds: usize) -> RequestClass {
    let latency_objective = random.time(100, 800);
    RequestClass {
        latency_objective,
        objective_stretch: random.one_of(&[0.0, 1.0, 2.0, 4.0]),
        deadline: latency_objective * random.inclusive(1, 8) as u32,
        priority_weight: random.between(0.5, 8.0),
        late_weight_fraction: random.one_of(&[0.0, 0.0, 0.2, 0.8]),
        idempotency: idempotency(random),
        keeps_order: random.percent(25),
        kinds: random.maybe(15, |random| vec![random.below(kinds)]),
        locations: random.maybe(15, |random| vec![random.below(2), 2]),
        threads: random.one_of(&[0.5, 1.0, 1.0, 2.0, 4.0]),
        is_bulk_load: random.percent(20),
        waits_for_bulk_loads: random.percent(30),
    }
}

fn engine_kind(random: &mut Random) -> EngineKind {
    EngineKind {
        cores: random.one_of(&[2.0, 4.0, 8.0]),
        memory_mb: random.one_of(&[2000.0, 8000.0, 16000.0]),
    }
}

pub fn fleet(random: &mut Random) -> Fleet {
    Fleet {
        seed: random.next(),
        router_count: random.one_of(&[1, 1, 1, 2, 8, 40]),
        home_location: random.below(3),
        kinds: (0..=random.below(3)).map(|_| engine_kind(random)).collect(),
        max_grant_fraction: random.one_of(&[0.25, 0.5, 0.9]),
        honors_priorities: random.percent(50),
        shrinks_grants: random.percent(40),
        progress_interval: random.maybe(60, |random| random.time(20, 120)),
        reports_only_on_probe: random.percent(35),
        must_watch_endpoints: random.percent(50),
        tick: random.time(2, 8),
    }
}

pub fn attempt_limits(random: &mut Random) -> AttemptLimits {
    AttemptLimits {
        max_attempts: random.one_of(&[1, 2, 3, 3, 5]),
        may_cancel: random.percent(80),
        may_probe: random.percent(80),
        start_capacity_fraction: random.one_of(&[0.1, 0.3, 1.0]),
        warm_up: random.time(100, 3000),
        overload_factor: random.one_of(&[0.5, 1.0, 2.0]),
        overload_window: random.time(50, 500),
        key_cooldown: random.maybe(50, |random| random.time(20, 300)),
        retry_budget: random.maybe(50, |random| RetryBudget {
            min_retries: random.one_of(&[0.0, 1.0, 4.0]),
            per_request: random.one_of(&[0.0, 0.1, 0.5]),
            window: random.time(200, 2000),
        }),
        max_retry_after: random.maybe(70, |random| random.time(20, 500)),
    }
}

pub fn environment(random: &mut Random, fleet: &Fleet) -> Environment {
    Environment {
        estimate_percent: random.one_of(&[0, 50, 95, 100, 100]),
        usage_percent: random.one_of(&[0, 60, 100]),
        load_report_percent: random.one_of(&[0, 50, 100]),
        reports_cores: random.percent(60),
        reports_in_flight: random.percent(60),
        reports_memory: random.percent(70),
        marks_retries: random.percent(50),
        fault_percent: random.one_of(&[0, 3, 10, 30]),
        longest_gap_ms: random.one_of(&[3, 8, 20, 60]),
        requests: random.one_of(&[20, 30, 50, 70]),
        shuts_down: random.percent(25),
        progress_interval: fleet.progress_interval,
    }
}

pub fn simulated_engine(random: &mut Random, kinds: usize, launched_at: Option<Duration>) -> SimulatedEngine {
    let location = random.below(3);
    SimulatedEngine {
        location,
        kind: random.below(kinds),
        cell: (location * 2 + random.below(2)) as u64,
        ready: random.percent(92),
        removed: false,
        launched_at,
        slowness: random.one_of(&[1.0, 1.0, 1.0, 1.5, 4.0, 12.0]),
        silent: random.percent(5),
        fails: random.percent(5),
    }
}

pub fn endpoint(engine: EngineId, simulated: &SimulatedEngine) -> Endpoint {
    let SimulatedEngine { location, kind, cell, ready, removed, launched_at, .. } = *simulated;
    let lifecycle = match (ready, removed) {
        (true, false) => Lifecycle::Ready,
        (true, true) => Lifecycle::Retiring,
        (false, true) => Lifecycle::Removed,
        (false, false) => Lifecycle::Draining,
    };
    Endpoint { engine, location, kind, cell, lifecycle, launched_at }
}
