//! Guards against inputs whose cost grows with the fleet. The cost is the number of examined engines, which unlike time
//! does not depend on the machine.

#[path = "common/large_fleet.rs"]
mod fixture;

use emberflow::*;
use fixture::*;
use std::time::Duration;

fn ended(request: RequestId, attempt: usize, engine: EngineId, outcome: AttemptOutcome) -> AttemptEnded {
    AttemptEnded {
        request,
        attempt,
        engine,
        outcome,
        elapsed: ms(20),
        usage: None,
        load_report: None,
        request_done: outcome == AttemptOutcome::Succeeded,
    }
}

/// Returns the mean number of engines that one input examines, over a hundred requests that succeed.
fn examined_per_input(engines: usize) -> u64 {
    let mut scheduler = scheduler_with_engines(1, engines, Idempotency::Idempotent);
    let before = scheduler.engines_examined();
    let mut inputs = 0;
    for request in 0..100 {
        let mut sent = SentAttempts::default();
        let now = ms(u64::from(request) * 50);
        let request = RequestId(request);
        scheduler.accept(now, arrival(request), &mut sent);
        let (_, engine) = sent.0[0];
        let outcome = ended(request, 0, engine, AttemptOutcome::Succeeded);
        scheduler.attempt_ended(now + ms(20), outcome, &mut SentAttempts::default());
        inputs += 2;
    }
    (scheduler.engines_examined() - before) / inputs
}

#[test]
fn an_input_in_a_large_fleet_examines_at_most_twice_the_engines_of_a_small_one() {
    let in_small_fleet = examined_per_input(80);
    for engines in [320, 1280, 3200] {
        let examined = examined_per_input(engines);
        assert!(
            examined <= in_small_fleet * 2,
            "an input examined {examined} of {engines} engines, and {in_small_fleet} of 80"
        );
    }
}

#[test]
fn routers_use_different_engines_and_all_locations() {
    let engines_of = |seed| {
        let mut scheduler = scheduler_with_engines(seed, 3200, Idempotency::Idempotent);
        let mut sent = SentAttempts::default();
        (0..200).for_each(|request| scheduler.accept(Duration::ZERO, arrival(RequestId(request)), &mut sent));
        sent.0.into_iter().map(|(_, engine)| engine).collect::<std::collections::BTreeSet<_>>()
    };
    let (first, second) = (engines_of(1), engines_of(2));
    assert!(first.len() > 20, "the router uses only {} engines", first.len());
    assert!(
        first.intersection(&second).count() < first.len() / 4,
        "two routers share a quarter of their engines or more"
    );
    let locations: std::collections::BTreeSet<_> = first.iter().map(|engine| engine.0 % LOCATIONS).collect();
    assert_eq!(locations.len(), LOCATIONS, "the router uses no engine of some location");
}

#[test]
fn a_retry_that_is_restricted_to_its_cell_finds_an_engine_outside_the_subset() {
    let idempotency = Idempotency::IdempotentWithKey { scope: KeyScope::Cell, window: ms(5000) };
    let mut scheduler = scheduler_with_engines(1, 3200, idempotency);
    let mut sent = SentAttempts::default();
    scheduler.accept(Duration::ZERO, arrival(RequestId(0)), &mut sent);
    let (_, first) = sent.0[0];
    let failed = ended(RequestId(0), 0, first, AttemptOutcome::Failed);
    scheduler.attempt_ended(ms(20), failed, &mut sent);
    let (_, second) = sent.0[1];
    assert_eq!(second.0 / 10, first.0 / 10, "the retry was sent to another cell");
    assert_ne!(second, first, "the retry was sent to the engine that failed");
}

#[test]
fn draining_engines_of_a_large_fleet_are_replaced_in_the_subset_and_get_no_request() {
    let mut scheduler = scheduler_with_engines(1, 3200, Idempotency::Idempotent);
    let draining = (0..3200).filter(|engine| engine % 4 != 0);
    let rows = draining.map(|engine| endpoint(EngineId(engine), Lifecycle::Draining)).collect();
    scheduler.endpoints_changed(ms(10), EndpointUpdate::Changes, rows, &mut SentAttempts::default());
    let mut sent = SentAttempts::default();
    (0..50).for_each(|request| scheduler.accept(ms(20), arrival(RequestId(request)), &mut sent));
    assert_eq!(sent.0.len(), 50);
    assert!(sent.0.iter().all(|(_, engine)| engine.0 % 4 == 0), "a request was sent to a draining engine");
}
