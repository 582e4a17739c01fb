//! Admission: requests that are sent at once, that wait, and that are rejected while they wait.

use crate::trace::*;
use crate::{cores_and_memory, in_flight_only, measure_without_estimates};
use emberflow::AttemptOutcome::*;
use expect_test::expect;

#[test]
fn a_request_without_estimates_takes_the_medium_tier() {
    let mut trace = Trace::with_engines(1);
    trace.accept_many(2, LONG, 0, 0.0).at(5).ended(0, 0, 0, Overloaded);
    expect![[r#"
        0     request 0 gets 0 MB, priority 1
        0     request 0 to engine 0 until 15980
        0     request 1 gets 0 MB, priority 1
        0     request 1 to engine 0 until 15980
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn under_pressure_each_tier_is_limited_and_the_earliest_request_is_sent_first() {
    let mut trace = Trace::with_engines(1);
    let busy = cores_and_memory(1.0, 0.5);
    trace.accept(SHORT, 100, 50.0).at(100).ended_with_load_report(0, 0, 0, Succeeded, Some(busy));
    trace.accept_many(4, LONG, 1500, 3000.0);
    trace.at(400).ended_with_load_report(1, 0, 0, Succeeded, Some(busy)).wake_until(2000);
    expect![[r#"
        0     request 0 gets 63 MB, priority 1
        0     request 0 to engine 0 until 7980
        100   request 1 gets 3750 MB, priority 1
        100   request 1 to engine 0 until 16080
        400   request 2 gets 3750 MB, priority 1
        400   request 2 to engine 0 until 16080
        1920  cancel request 2 attempt 0
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn medium_requests_wait_for_memory_and_small_ones_do_not() {
    let mut trace = Trace::with_engines(1);
    let full = cores_and_memory(0.3, 0.9);
    let free = cores_and_memory(0.3, 0.2);
    trace.accept_many(3, SHORT, 100, 300.0);
    trace.at(1200).ended_with_load_report(0, 0, 0, Succeeded, Some(full)).decisions();
    trace.accept(LONG, 900, 4000.0).accept(SHORT, 100, 300.0).wake_until(1500);
    trace.ended_with_load_report(1, 0, 0, Succeeded, Some(free));
    expect![[r#"
        1200  request 4 gets 375 MB, priority 1
        1200  request 4 to engine 0 until 9180
        1240  cancel request 1 attempt 0
        1240  cancel request 2 attempt 0
        1480  request 3 gets 5000 MB, priority 1
        1480  request 3 to engine 0 until 17180
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn lasting_slowness_still_counts_as_pressure() {
    let mut trace = Trace::with_engines(1);
    for request in 0..40 {
        trace.at(400 * u64::from(request)).accept(SHORT, 100, 300.0).at(400 * u64::from(request) + 390);
        trace.ended(request, 0, 0, Succeeded);
    }
    trace.decisions();
    trace.accept_many(3, LONG, 3000, 2500.0);
    expect![[r#"
        15990 request 40 gets 3125 MB, priority 1
        15990 request 40 to engine 0 until 31970
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn many_routers_pool_their_limits_at_engines_under_pressure() {
    let mut trace = Trace::new(4, |fleet, _, _| fleet.router_count = 100);
    let busy = cores_and_memory(1.0, 0.5);
    trace.accept_many(4, SHORT, 100, 300.0).at(100);
    for request in 0..4 {
        trace.ended_with_load_report(request, 0, request as usize, Succeeded, Some(busy));
    }
    trace.decisions();
    trace.accept_many(3, LONG, 300, 300.0);
    expect![[r#"
        100   request 4 gets 375 MB, priority 1
        100   request 4 to engine 3 until 16080
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn medium_requests_wait_at_two_threads_a_core_where_requests_in_flight_are_reported() {
    let mut trace = Trace::with_engines(2);
    measure_without_estimates(&mut trace, 50, 15.5);
    trace.at(60).succeeded_after(1, 1, 50, in_flight_only(15.0)).decisions();
    trace.accept_many(2, SHORT, 0, 0.0).at(70).succeeded_after(2, 1, 10, in_flight_only(12.0));
    expect![[r#"
        60    request 2 gets 0 MB, priority 1
        60    request 2 to engine 1 until 8040
        70    request 3 gets 0 MB, priority 1
        70    request 3 to engine 1 until 8040
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn requests_without_estimates_share_one_limit_of_queue_time() {
    let mut trace = Trace::with_engines(1);
    measure_without_estimates(&mut trace, 50, 40.0);
    trace.decisions();
    trace.accept(LONG, 0, 0.0).accept(SHORT, 0, 0.0).wake_until(1200);
    expect![[r#"
        570   reject request 2, retry after 400
        570   reject request 3, retry after 400
        1090  cancel request 1 attempt 0
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn requests_beyond_the_capacity_of_the_fleet_are_rejected_at_once() {
    let mut trace = Trace::with_engines(1);
    measure_without_estimates(&mut trace, 4000, 40.0);
    trace.decisions();
    // On an idle engine, each request takes 0.8 s, and its latency objective is 2.6 s. Eight cores finish 26 requests
    // in that time, and four times as many may be queued.
    trace.at(8100);
    trace.accept_many(108, SHORT, 0, 0.0);
    expect![[r#"
        8100  cancel request 1 attempt 0
        8100  request 2 gets 0 MB, priority 1
        8100  request 2 to engine 0 until 16080
        8100  cancel request 2 attempt 0
        8100  reject request 107, retry after 400
        8100  reject request 108, retry after 400
        8100  reject request 109, retry after 400
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn requests_in_flight_show_pressure_at_two_threads_a_core_and_not_at_one() {
    let mut trace = Trace::new(1, |fleet, _, _| fleet.router_count = 4);
    measure_without_estimates(&mut trace, 50, 8.5);
    trace.decisions();
    trace
        .accept_many(2, SHORT, 0, 0.0)
        .at(100)
        .succeeded_after(1, 0, 50, in_flight_only(15.5))
        .accept(SHORT, 0, 0.0);
    expect![[r#"
        50    request 2 gets 0 MB, priority 1
        50    request 2 to engine 0 until 8030
        50    request 3 gets 0 MB, priority 1
        50    request 3 to engine 0 until 8030
    "#]]
    .assert_eq(&trace.decisions());
}
