//! The incident of `docs/incidents/large-fleet-lost-requests.md`: thousands of engines before a router that has a part of
//! a core lost requests that a router with few engines served.

use emberflow_soak::options::RunOptions;
use emberflow_soak::report::Report;
use emberflow_soak::run::run_seed;

/// A router that has a fifth of a core, and no other fault.
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
fn few_engines_before_a_router_with_a_part_of_a_core_lose_nothing() {
    let report = report_with(80);
    assert!(report.violations.is_empty(), "{}", report.text(false));
}

#[test]
fn thousands_of_engines_before_a_router_with_a_part_of_a_core_lose_nothing() {
    let report = report_with(3200);
    assert!(report.violations.is_empty(), "{}", report.text(false));
}
