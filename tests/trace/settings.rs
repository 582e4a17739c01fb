//! The settings that traces start from.

use super::ms;
use emberflow::{AttemptLimits, EngineKind, Fleet, Idempotency, KeyScope, RequestClass};

/// Index of the idempotent class of [`base`] with short requests on one thread.
pub const SHORT: usize = 0;
/// Index of the idempotent class of [`base`] with long requests on three threads.
pub const LONG: usize = 1;
/// Index of the non-idempotent class of [`base`], whose requests are bulk loads.
pub const BULK_LOAD: usize = 2;

/// The request classes [`SHORT`], [`LONG`] and [`BULK_LOAD`].
fn classes() -> Vec<RequestClass> {
    let class = |idempotency, priority_weight, objective_ms, threads| RequestClass {
        latency_objective: ms(objective_ms),
        objective_stretch: 2.0,
        deadline: ms(objective_ms * 8),
        priority_weight,
        late_weight_fraction: 0.0,
        idempotency,
        keeps_order: false,
        kinds: None,
        locations: None,
        threads,
        is_bulk_load: false,
        waits_for_bulk_loads: false,
    };
    let short = class(Idempotency::Idempotent, 1.0, 1000, 1.0);
    let long = class(Idempotency::Idempotent, 6.0, 2000, 3.0);
    let bulk_load = RequestClass { is_bulk_load: true, ..class(Idempotency::NonIdempotent, 5.0, 3000, 2.0) };
    vec![short, long, bulk_load]
}

/// Returns the settings of a fleet with one router, and engines of one kind with 8 cores and 16,000 MB.
pub fn base() -> (Fleet, Vec<RequestClass>, AttemptLimits) {
    let fleet = Fleet {
        seed: 1,
        router_count: 1,
        home_location: 0,
        kinds: vec![EngineKind { cores: 8.0, memory_mb: 16000.0 }],
        max_grant_fraction: 0.5,
        honors_priorities: false,
        shrinks_grants: false,
        progress_interval: Some(ms(500)),
        reports_only_on_probe: false,
        must_watch_endpoints: false,
        tick: ms(5),
    };
    let attempt_limits = AttemptLimits {
        max_attempts: 3,
        may_cancel: true,
        may_probe: false,
        start_capacity_fraction: 0.3,
        warm_up: ms(10_000),
        overload_factor: 2.0,
        overload_window: ms(1000),
        key_cooldown: None,
        retry_budget: None,
        max_retry_after: Some(ms(400)),
    };
    (fleet, classes(), attempt_limits)
}

/// Returns settings like [`base`] with short times, so that a request is finished after few inputs. Request class 0
/// is idempotent. Classes 1, 2 and 3 have an idempotency key, whose scope is a cell, a location and the fleet.
/// Class 4 is non-idempotent.
pub fn small() -> (Fleet, Vec<RequestClass>, AttemptLimits) {
    let (mut fleet, mut classes, mut attempt_limits) = base();
    let window = ms(120);
    let idempotencies = [
        Idempotency::Idempotent,
        Idempotency::IdempotentWithKey { scope: KeyScope::Cell, window },
        Idempotency::IdempotentWithKey { scope: KeyScope::Location, window },
        Idempotency::IdempotentWithKey { scope: KeyScope::All, window },
        Idempotency::NonIdempotent,
    ];
    let plain = classes.swap_remove(SHORT);
    let with_idempotency = |idempotency| RequestClass {
        latency_objective: ms(160),
        deadline: ms(320),
        idempotency,
        kinds: None,
        locations: None,
        ..plain
    };
    classes = idempotencies.into_iter().map(with_idempotency).collect();
    fleet.progress_interval = Some(ms(80));
    fleet.tick = ms(8);
    attempt_limits.warm_up = ms(400);
    attempt_limits.overload_window = ms(100);
    (fleet, classes, attempt_limits)
}
