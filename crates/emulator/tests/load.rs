//! The load model of an engine.

use emberflow_emulator::load::Load;
use expect_test::expect;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn cores_are_shared_memory_is_bounded_and_a_small_grant_slows() {
    let mut load = Load::of(2.0, 1000.0);
    let taken = [
        load.take(ms(0), "a", 0.1, 400.0, 400.0),
        load.take(ms(0), "b", 0.1, 400.0, 200.0),
        load.take(ms(0), "c", 0.1, 100.0, 500.0),
    ];
    let first = load.pass(ms(100)).into_iter().map(|done| done.id).collect::<Vec<_>>();
    let full = load.take(ms(100), "c", 0.1, 100.0, 900.0);
    let four = (0..4).all(|at| load.take(ms(100), &format!("d{at}"), 0.1, 1.0, 1.0));
    let half = load.pass(ms(150)).into_iter().map(|done| done.id).collect::<Vec<_>>();
    load.drop_request("d0");
    let all = load.pass(ms(1000)).into_iter().map(|done| done.id).collect::<Vec<_>>();
    expect![[r#"[true, true, false] ["a"] false true [] ["b", "d1", "d2", "d3"] true"#]]
        .assert_eq(&format!("{taken:?} {first:?} {full} {four} {half:?} {all:?} {}", load.is_idle()));
}
