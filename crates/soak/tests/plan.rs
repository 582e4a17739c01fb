//! The faults that are drawn from a seed. A seed that a report names reproduces its run only while the draws stay the
//! same.

use clap::ValueEnum;
use emberflow_soak::faults::{self, FaultKind};
use emberflow_soak::process_faults;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Describes the faults of two routers and of a run of five seconds, which are drawn in the same order as in a run.
fn fault_plan(seed: u64) -> String {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut text = String::new();
    for router in 0..2 {
        text += &format!("router {router}: {:?}\n", process_faults::draw(&mut rng, None, true));
    }
    for fault in faults::plan(seed, &mut rng, FaultKind::value_variants(), 5.0) {
        text += &format!("{fault:?}\n");
    }
    text
}

#[test]
fn a_seed_always_draws_the_same_faults() {
    expect_test::expect![[r#"
        router 0: ProcessFaults { slowdown: 1.0, clock_step_ms: 0, clock_step_at_ms: 3149, fail_every: 0 }
        router 1: ProcessFaults { slowdown: 1.0, clock_step_ms: -3000, clock_step_at_ms: 5330, fail_every: 0 }
        Fault { at: 1.002856544s, kind: TruncatedResults, duration: 1.274670397s, engine_fraction: 0.08043176669086118, target: 234 }
        Fault { at: 1.172949646s, kind: SpoiltResults, duration: 1.942200503s, engine_fraction: 0.10389888374087915, target: 564 }
        Fault { at: 1.20209476s, kind: ForgottenConnections, duration: 758.132854ms, engine_fraction: 0.16041631806189544, target: 122 }
        Fault { at: 2.127500573s, kind: ConnectionResets, duration: 2.425488678s, engine_fraction: 0.14733177336641773, target: 889 }
        Fault { at: 3.007764536s, kind: IdleCloses, duration: 1.362726406s, engine_fraction: 0.07330966061101214, target: 85 }
        Fault { at: 3.384274679s, kind: Sigkill, duration: 2.30764995s, engine_fraction: 0.16750637968401222, target: 125 }
        Fault { at: 4.55268419s, kind: RequestBurst, duration: 527.827439ms, engine_fraction: 0.08087945489932148, target: 413 }
        Fault { at: 4.555518508s, kind: Reload, duration: 2.586247698s, engine_fraction: 0.1175042549788043, target: 27 }
    "#]].assert_eq(&fault_plan(7));
}

#[test]
fn a_given_slowdown_applies_and_a_missing_shim_does_not_change_the_draws() {
    let kinds = FaultKind::value_variants();
    let draws = |has_shim| {
        let mut rng = StdRng::seed_from_u64(7);
        let process_faults = process_faults::draw(&mut rng, Some(3.0), has_shim);
        (process_faults, format!("{:?}", faults::plan(7, &mut rng, kinds, 5.0)))
    };
    let (with_shim, without_shim) = (draws(true), draws(false));
    assert_eq!(with_shim.1, without_shim.1);
    assert_eq!((with_shim.0.slowdown, without_shim.0.slowdown), (3.0, 3.0));
    assert_eq!((without_shim.0.clock_step_ms, without_shim.0.fail_every), (0, 0));
}
