//! Short runs of a few seeds with all kinds of faults, with a usual number of engines and with twenty times as many.

use emberflow_soak::faults::FaultKind;
use emberflow_soak::options::{FaultName, RunOptions};
use emberflow_soak::run::run_seed;

/// Requests a second for each router.
const USUAL_RATE: f64 = 12.0;

fn check_run(seed: u64, engines: u16, rate: f64, faults: Option<Vec<FaultName>>) {
    let options = RunOptions {
        seconds: 8.0,
        routers: 3,
        engines,
        rate,
        fleet: None,
        slowdown: Some(2.0),
        faults,
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
    (1..=2).for_each(|seed| check_run(seed, 48, USUAL_RATE, None));
}

#[test]
fn a_large_fleet_under_overlapping_faults_keeps_all_invariants() {
    (3..=4).for_each(|seed| check_run(seed, 960, USUAL_RATE, None));
}

/// Guards against spoilt results that are served in part, or that fill the memory of a router.
#[test]
fn spoilt_results_are_not_served_and_do_not_fill_the_memory() {
    const HIGH_RATE: f64 = 60.0;
    check_run(5, 12, HIGH_RATE, Some(vec![FaultName(Some(FaultKind::SpoiltResults))]));
}

/// Guards against retries that are written after the window of their key because they waited for a connection, and
/// against rejections that call a retry safe after that. Its seeds differ from those of the other tests, which run at the
/// same time, since the addresses of a run follow from its seed.
#[test]
fn requests_with_a_key_keep_its_window_when_engines_fail_late_and_forget_connections() {
    const HIGH_RATE: f64 = 40.0;
    let kinds = [FaultKind::SilentEngines, FaultKind::ForgottenConnections, FaultKind::LateFailures];
    let faults = kinds.map(|kind| FaultName(Some(kind)));
    (6..=7).for_each(|seed| check_run(seed, 8, HIGH_RATE, Some(faults.to_vec())));
}
