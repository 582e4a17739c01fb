//! The cost of an input in a large fleet, as the number of engines examined and not as time.

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
    let mut scheduler = listed(1, engines, Effect::Idempotent);
    let before = scheduler.engines_examined();
    let mut inputs = 0;
    for request in 0..100 {
        let mut sends = Sends::default();
        let now = ms(u64::from(request) * 50);
        let request = RequestId(request);
        scheduler.accept(now, arrival(request), &mut sends);
        let (_, engine) = sends.0[0];
        let outcome = ended(request, 0, engine, AttemptOutcome::Succeeded);
        scheduler.attempt_ended(now + ms(20), outcome, &mut Sends::default());
        inputs += 2;
    }
    (scheduler.engines_examined() - before) / inputs
}

#[test]
fn an_input_in_a_large_fleet_examines_no_more_engines_than_in_a_usual_one() {
    let usual = examined_per_input(80);
    for engines in [320, 1280, 3200] {
        let examined = examined_per_input(engines);
        assert!(examined <= usual * 2, "{examined} of {engines} engines an input, {usual} of 80");
    }
}

#[test]
fn routers_use_different_engines_and_all_locations() {
    let engines_of = |seed| {
        let mut scheduler = listed(seed, 3200, Effect::Idempotent);
        let mut sends = Sends::default();
        (0..200)
            .for_each(|request| scheduler.accept(Duration::ZERO, arrival(RequestId(request)), &mut sends));
        sends.0.into_iter().map(|(_, engine)| engine).collect::<std::collections::BTreeSet<_>>()
    };
    let (first, second) = (engines_of(1), engines_of(2));
    assert!(first.len() > 20, "only {} engines in use", first.len());
    assert!(first.intersection(&second).count() < first.len() / 4, "two routers crowd the same engines");
    let locations: std::collections::BTreeSet<_> = first.iter().map(|engine| engine.0 % LOCATIONS).collect();
    assert_eq!(locations.len(), LOCATIONS, "a location is out of use");
}

#[test]
fn a_retry_that_is_restricted_to_its_cell_finds_an_engine_outside_the_subset() {
    let effect = Effect::IdempotentWithKey { scope: KeyScope::Cell, window: ms(5000) };
    let mut scheduler = listed(1, 3200, effect);
    let mut sends = Sends::default();
    scheduler.accept(Duration::ZERO, arrival(RequestId(0)), &mut sends);
    let (_, first) = sends.0[0];
    let broken = ended(RequestId(0), 0, first, AttemptOutcome::Failed);
    scheduler.attempt_ended(ms(20), broken, &mut sends);
    let (_, second) = sends.0[1];
    assert_eq!(second.0 / 10, first.0 / 10, "the retry was sent to another cell");
    assert_ne!(second, first, "the engine that failed got the retry");
}

#[test]
fn draining_engines_of_a_large_fleet_are_replaced_in_the_subset_and_get_no_request() {
    let mut scheduler = listed(1, 3200, Effect::Idempotent);
    let draining = (0..3200).filter(|engine| engine % 4 != 0);
    let rows = draining.map(|engine| endpoint(EngineId(engine), Lifecycle::Draining)).collect();
    scheduler.endpoints_changed(ms(10), EndpointUpdate::Changes, rows, &mut Sends::default());
    let mut sends = Sends::default();
    (0..50).for_each(|request| scheduler.accept(ms(20), arrival(RequestId(request)), &mut sends));
    assert_eq!(sends.0.len(), 50);
    assert!(sends.0.iter().all(|(_, engine)| engine.0 % 4 == 0), "a draining engine got a request");
}
