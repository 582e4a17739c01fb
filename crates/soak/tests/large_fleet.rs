//! Guards against `docs/incidents/large-fleet-lost-requests.md`: a router with a fraction of a core lost requests if it
//! had thousands of engines, but none if it had few.

use emberflow_soak::options::RunOptions;
use emberflow_soak::report::Report;
use emberflow_soak::run::run_seed;

/// Runs routers that are slowed down as on a fifth of a core, without other faults.
fn report_with(engines: u16) -> Report {
    let options = RunOptions {
        seconds: 5.0,
        routers: 2,
        engines,
        rate: 15.0,
        fleet: Some(300),
        slowdown: Some(5.0),
        faults: Some(Vec::new()),
        no_shim: true,
        router: None,
        directory: None,
        json: false,
    };
    run_seed(1, &options).expect("the router and the shim are built, and addresses are free")
}

#[test]
fn a_router_with_a_fraction_of_a_core_and_few_engines_loses_no_request() {
    let report = report_with(80);
    assert!(report.violations.is_empty(), "{}", report.text(false));
}

#[test]
fn a_router_with_a_fraction_of_a_core_and_thousands_of_engines_loses_no_request() {
    let report = report_with(3200);
    assert!(report.violations.is_empty(), "{}", report.text(false));
}
