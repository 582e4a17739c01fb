//! Estimates of the resources that requests need.

use crate::trace::*;
use crate::{in_flight_only, trace_with_one_reported_usage};
use emberflow::AttemptOutcome::*;
use emberflow::*;
use expect_test::expect;

#[test]
fn spills_raise_the_grant_where_usage_is_not_reported() {
    let mut trace = Trace::with_engines(1);
    trace.accept(LONG, 300, 400.0).at(90).progress_updated(0, 0, ProgressUpdate::Spilling(300.0));
    trace.at(100).ended(0, 0, 0, Succeeded).accept(LONG, 300, 400.0);
    expect![[r#"
        0     request 0 gets 500 MB, priority 1
        0     request 0 to engine 0 until 15980
        100   request 1 gets 1000 MB, priority 1
        100   request 1 to engine 0 until 16080
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn the_first_requests_without_estimates_do_not_cause_later_rejections() {
    let mut trace = Trace::with_engines(1);
    trace.accept_many(2, SHORT, 0, 0.0).at(100).succeeded_after(0, 0, 100, None).accept(SHORT, 0, 0.0);
    expect![[r#"
        0     request 0 gets 0 MB, priority 1
        0     request 0 to engine 0 until 7980
        0     request 1 gets 0 MB, priority 1
        0     request 1 to engine 0 until 7980
        100   request 2 gets 0 MB, priority 1
        100   request 2 to engine 0 until 8080
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn an_overloaded_engine_does_not_raise_the_estimated_work() {
    let mut trace = Trace::with_engines(1);
    trace
        .accept_many(2, SHORT, 0, 0.0)
        .at(1500)
        .succeeded_after(0, 0, 1500, in_flight_only(24.0))
        .decisions();
    trace.at(3000).succeeded_after(1, 0, 3000, in_flight_only(24.0)).at(3500).accept_many(2, SHORT, 0, 0.0);
    expect![[r#"
        3500  request 2 gets 0 MB, priority 1
        3500  request 2 to engine 0 until 11480
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn a_request_with_much_reported_work_does_not_count_as_slowed_down() {
    let mut trace = trace_with_one_reported_usage();
    trace.at(5000).accept(SHORT, 0, 0.0).at(7000).succeeded_with_usage(1, 0, 2000, 100.0);
    trace.accept_many(2, SHORT, 0, 0.0).wake_until(7100);
    expect![[r#"
        0     request 0 gets 0 MB, priority 1
        0     request 0 to engine 0 until 7980
        5000  request 1 gets 150 MB, priority 1
        5000  request 1 to engine 0 until 12980
        7000  request 2 gets 150 MB, priority 1
        7000  request 2 to engine 0 until 14980
        7000  request 3 gets 150 MB, priority 1
        7000  request 3 to engine 0 until 14980
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn a_grant_without_an_estimate_exceeds_the_usual_memory_of_the_class() {
    let mut trace = trace_with_one_reported_usage();
    trace.accept(SHORT, 0, 0.0);
    expect![[r#"
        0     request 0 gets 0 MB, priority 1
        0     request 0 to engine 0 until 7980
        50    request 1 gets 150 MB, priority 1
        50    request 1 to engine 0 until 8030
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn a_grant_without_an_estimate_covers_most_reported_usage_of_the_class() {
    let mut trace = trace_with_one_reported_usage();
    trace.accept(SHORT, 0, 0.0);
    trace.at(100).succeeded_with_usage(1, 0, 50, 400.0).accept(SHORT, 0, 0.0);
    expect![[r#"
        0     request 0 gets 0 MB, priority 1
        0     request 0 to engine 0 until 7980
        50    request 1 gets 150 MB, priority 1
        50    request 1 to engine 0 until 8030
        100   request 2 gets 400 MB, priority 1
        100   request 2 to engine 0 until 8080
    "#]]
    .assert_eq(&trace.decisions());
}
