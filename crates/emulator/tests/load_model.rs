//! The load model of an engine.

use emberflow_emulator::load_model::{FinishedRequest, LoadModel, ResourceNeed};
use expect_test::expect;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request with 100 ms of work.
fn need(memory_mb: f64, granted_mb: f64) -> ResourceNeed {
    ResourceNeed { work_s: 0.1, memory_mb, granted_mb }
}

fn ids(finished: Vec<FinishedRequest>) -> Vec<String> {
    finished.into_iter().map(|request| request.id).collect()
}

#[test]
fn cores_are_shared_memory_is_limited_and_a_small_grant_slows() {
    let mut load = LoadModel::new(2.0, 1000.0);
    let started = [
        load.start(ms(0), "a", need(400.0, 400.0)),
        load.start(ms(0), "b", need(400.0, 200.0)),
        load.start(ms(0), "c", need(100.0, 500.0)),
    ];
    let finished_first = ids(load.advance_to(ms(100)));
    let exceeds_memory = load.start(ms(100), "c", need(100.0, 900.0));
    let four_more = (0..4).all(|index| load.start(ms(100), &format!("d{index}"), need(1.0, 1.0)));
    let finished_at_150_ms = ids(load.advance_to(ms(150)));
    load.cancel("d0");
    let finished_last = ids(load.advance_to(ms(1000)));
    let is_idle = load.is_idle();
    expect![[r#"[true, true, false] ["a"] false true [] ["b", "d1", "d2", "d3"] true"#]].assert_eq(&format!(
        "{started:?} {finished_first:?} {exceeds_memory} {four_more} {finished_at_150_ms:?} {finished_last:?} {is_idle}"
    ));
}
