//! Placement: which engine a request is sent to.

use crate::trace::*;
use crate::{cores_and_memory, cores_only, in_flight_only, measure_without_estimates, memory_only};
use emberflow::AttemptOutcome::*;
use emberflow::*;
use expect_test::expect;

#[test]
fn requests_are_sent_with_their_grants_to_the_engine_with_most_free_capacity() {
    let mut trace = Trace::with_engines(2);
    trace
        .accept(SHORT, 100, 50.0)
        .accept(SHORT, 100, 600.0)
        .accept(LONG, 3000, 4000.0)
        .accept(LONG, 3000, 12000.0);
    trace.accept_many(2, LONG, 3000, 12000.0).at(20).ended(3, 0, 0, Succeeded);
    expect![[r#"
        0     request 0 gets 63 MB, priority 1
        0     request 0 to engine 0 until 7980
        0     request 1 gets 750 MB, priority 1
        0     request 1 to engine 0 until 7980
        0     request 2 gets 5000 MB, priority 1
        0     request 2 to engine 1 until 15980
        0     request 3 gets 8000 MB, priority 1
        0     request 3 to engine 0 until 15980
        20    request 4 gets 8000 MB, priority 1
        20    request 4 to engine 0 until 15980
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn nothing_is_sent_to_a_draining_engine_or_a_kind_outside_the_class() {
    let mut trace = Trace::new(2, |fleet, classes, _| {
        fleet.kinds.push(EngineKind { cores: 8.0, memory_mb: 16000.0 });
        classes[LONG].kinds = Some(vec![1]);
    });
    trace
        .update_endpoints(vec![Endpoint { kind: 1, ..endpoint(5, Lifecycle::Ready, None) }])
        .accept(LONG, 300, 300.0);
    trace.update_endpoints(vec![
        Endpoint { kind: 1, ..endpoint(5, Lifecycle::Draining, None) },
        endpoint(0, Lifecycle::Draining, None),
    ]);
    trace
        .at(10)
        .ended(0, 0, 5, Unreachable)
        .accept(SHORT, 300, 300.0)
        .accept(LONG, 300, 300.0)
        .wake_until(1500);
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 5 until 15980
        10    request 1 gets 375 MB, priority 1
        10    request 1 to engine 1 until 7990
        570   reject request 0, retry after 400
        570   reject request 2, retry after 400
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn recent_attempts_count_although_a_late_report_does_not_include_them() {
    let mut trace = Trace::with_engines(2);
    let free = cores_and_memory(0.1, 0.1);
    trace.accept_many(4, SHORT, 100, 300.0);
    trace.at(20).ended_with_load_report(0, 0, 0, Succeeded, Some(free));
    trace.ended_with_load_report(1, 0, 1, Succeeded, Some(free)).decisions();
    for at in 3..7 {
        trace.at(at * 10).accept(LONG, 300, 1000.0).ended_with_load_report(9, 0, 0, Succeeded, Some(free));
    }
    expect![[r#"
        30    request 4 gets 1250 MB, priority 1
        30    request 4 to engine 0 until 16010
        40    request 5 gets 1250 MB, priority 1
        40    request 5 to engine 0 until 16020
        50    request 6 gets 1250 MB, priority 1
        50    request 6 to engine 0 until 16030
        60    request 7 gets 1250 MB, priority 1
        60    request 7 to engine 1 until 16040
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn a_shortage_since_the_last_report_stops_medium_requests() {
    let mut trace = Trace::new(2, |fleet, _, _| fleet.shrinks_grants = true);
    let free = memory_only(0.2);
    trace.accept_many(2, LONG, 900, 900.0).at(100).progress_updated(0, 0, ProgressUpdate::Spilling(100.0));
    trace.accept(LONG, 900, 6000.0).at(600).ended(2, 0, 1, Succeeded).accept(LONG, 900, 6000.0);
    trace.at(700).ended_with_load_report(0, 0, 0, Succeeded, Some(free)).accept(LONG, 900, 6000.0);
    expect![[r#"
        0     request 0 gets 1125 MB, priority 1
        0     request 0 to engine 0 until 15980
        0     request 1 gets 1125 MB, priority 1
        0     request 1 to engine 1 until 15980
        700   request 3 gets 7500 MB, priority 1
        700   request 3 to engine 0 until 16580
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn a_request_avoids_an_engine_where_a_bulk_load_blocked_its_table_group() {
    let mut trace = Trace::new(2, |_, classes, _| classes[SHORT].waits_for_bulk_loads = true);
    trace.accept_in_table_group(SHORT, 7).progress_updated(0, 0, ProgressUpdate::WaitingForBulkLoad).at(10);
    for _ in 0..3 {
        trace.accept_in_table_group(SHORT, 7);
    }
    trace.accept_in_table_group(SHORT, 8).accept_in_table_group(SHORT, 8);
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 0 until 7980
        0     cancel request 0 attempt 0
        10    request 1 gets 375 MB, priority 1
        10    request 1 to engine 1 until 7990
        10    request 2 gets 375 MB, priority 1
        10    request 2 to engine 1 until 7990
        10    request 3 gets 375 MB, priority 1
        10    request 3 to engine 1 until 7990
        10    request 4 gets 375 MB, priority 1
        10    request 4 to engine 0 until 7990
        10    request 5 gets 375 MB, priority 1
        10    request 5 to engine 0 until 7990
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn a_spill_of_a_request_without_an_estimate_shows_no_shortage() {
    let mut trace = Trace::new(1, |fleet, _, _| fleet.shrinks_grants = true);
    trace
        .accept(SHORT, 0, 0.0)
        .at(20)
        .progress_updated(0, 0, ProgressUpdate::Spilling(100.0))
        .at(30)
        .accept(SHORT, 0, 0.0);
    expect![[r#"
        0     request 0 gets 0 MB, priority 1
        0     request 0 to engine 0 until 7980
        30    request 1 gets 0 MB, priority 1
        30    request 1 to engine 0 until 8010
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn a_retry_returns_to_the_only_engine_with_capacity() {
    let mut trace = Trace::with_engines(2);
    measure_without_estimates(&mut trace, 50, 1.0);
    trace.at(60).succeeded_after(1, 1, 10, in_flight_only(30.0)).accept_many(2, SHORT, 0, 0.0);
    trace.at(70).ended(2, 0, 0, Failed);
    expect![[r#"
        0     request 0 gets 0 MB, priority 1
        0     request 0 to engine 0 until 7980
        50    request 1 gets 0 MB, priority 1
        50    request 1 to engine 0 until 8030
        60    request 2 gets 0 MB, priority 1
        60    request 2 to engine 0 until 8040
        60    request 3 gets 0 MB, priority 1
        60    request 3 to engine 0 until 8040
        70    request 2 gets 0 MB, priority 1
        70    request 2 to engine 0 until 8040
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn a_queued_request_probes_where_load_is_reported_only_on_probes() {
    let mut trace = Trace::new(4, |fleet, _, attempt_limits| {
        (fleet.router_count, fleet.reports_only_on_probe, attempt_limits.may_probe) = (40, true, true);
    });
    let report = |memory| Some(cores_and_memory(0.3, memory));
    trace.accept(LONG, 0, 2000.0).at(100).accept(LONG, 0, 2000.0).at(105).wake_now().at(110);
    trace.probe_ended(1, None).probe_ended(3, report(0.1));
    expect![[r#"
        0     request 0 gets 2500 MB, priority 1
        0     request 0 to engine 2 until 15980
        100   probe engine 1
        100   probe engine 3
        110   request 1 gets 2500 MB, priority 1
        110   request 1 to engine 3 until 16080
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn free_cores_attract_no_request_if_reports_lack_the_memory() {
    let mut trace = Trace::new(2, |fleet, _, _| fleet.router_count = 4);
    let report = |cores| Some(cores_only(cores));
    trace.accept_many(2, SHORT, 100, 300.0);
    trace.at(100).ended_with_load_report(0, 0, 0, Succeeded, report(0.9));
    trace.ended_with_load_report(1, 0, 1, Succeeded, report(0.1)).decisions();
    trace.accept_many(2, SHORT, 100, 300.0);
    expect![[r#"
        100   request 2 gets 375 MB, priority 1
        100   request 2 to engine 0 until 8080
        100   request 3 gets 375 MB, priority 1
        100   request 3 to engine 1 until 8080
    "#]]
    .assert_eq(&trace.decisions());
}
