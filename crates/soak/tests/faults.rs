//! Short runs of a few seeds with all kinds of faults, with a usual number of engines and with twenty times as many.

use emberflow_soak::options::RunOptions;
use emberflow_soak::run::run_seed;

fn check_run(seed: u64, engines: u16) {
    let options = RunOptions {
        seconds: 8.0,
        routers: 3,
        engines,
        rate: 12.0,
        fleet: None,
        slowdown: Some(2.0),
        faults: None,
        no_shim: false,
        router: None,
        directory: None,
        json: false,
    };
    let report = run_seed(seed, &options).expect("the router and the shim are built, and addresses are free");
    assert!(report.violations.is_empty(), "{}", report.text(false));
}

#[test]
fn a_usual_fleet_under_overlapping_faults_keeps_all_invariants() {
    (1..=2).for_each(|seed| check_run(seed, 48));
}

#[test]
fn a_large_fleet_under_overlapping_faults_keeps_all_invariants() {
    (3..=4).for_each(|seed| check_run(seed, 960));
}
