//! Lifecycle: changes of the endpoint list, and the graceful shutdown.

use crate::trace::*;
use emberflow::AttemptOutcome::*;
use emberflow::*;
use expect_test::expect;

#[test]
fn an_endpoint_list_that_failed_is_watched_again() {
    let mut trace = Trace::new(1, |fleet, _, _| fleet.must_watch_endpoints = true);
    trace.at(900).endpoint_list_failed().wake_until(1000);
    expect![[r#"
        0     watch the endpoint list
        900   watch the endpoint list
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn before_the_shutdown_deadline_each_request_gets_the_answer_that_is_safe() {
    let mut trace = Trace::with_engines(1);
    trace.accept(SHORT, 100, 300.0).accept(LONG, 900, 300.0).accept(BULK_LOAD, 900, 300.0);
    trace
        .at(200)
        .start_shutdown(3700)
        .ended(0, 0, 0, Succeeded)
        .at(600)
        .accept(SHORT, 100, 300.0)
        .wake_until(3700);
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 0 until 7980
        0     request 1 gets 375 MB, priority 1
        0     request 1 to engine 0 until 15980
        0     request 2 gets 375 MB, priority 1
        0     request 2 to engine 0 until 23980
        600   request 3 gets 375 MB, priority 1
        600   request 3 to engine 0 until 3680
        1720  cancel request 1 attempt 0
        1720  cancel request 3 attempt 0
        3640  reject request 1, retry after 400
        3640  fail request 2
        3640  reject request 3, retry after 400
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn the_scheduler_wakes_before_the_shutdown_deadline() {
    let mut trace = Trace::with_engines(1);
    trace.accept(LONG, 900, 300.0).decisions();
    trace.at(30).start_shutdown(130).wake_when_due().wake_when_due().wake_when_due();
    expect![[r#"
        70    reject request 0, retry after 400
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn a_removed_engine_is_forgotten_with_the_last_request_that_was_sent_to_it() {
    let mut trace = Trace::with_engines(2);
    trace.accept_many(2, SHORT, 100, 100.0).at(10);
    let removed = |engine| endpoint(engine, Lifecycle::Removed, None);
    trace.update_endpoints(vec![removed(0), removed(1), endpoint(2, Lifecycle::Ready, None)]);
    trace.at(20).ended(0, 0, 0, Succeeded).at(30).ended(1, 0, 1, Broken);
    trace.at(40).ended(1, 1, 2, Succeeded);
    expect![[r#"
        0     request 0 gets 125 MB, priority 1
        0     request 0 to engine 0 until 7980
        0     request 1 gets 125 MB, priority 1
        0     request 1 to engine 0 until 7980
        10    forget engine 1
        30    request 1 gets 125 MB, priority 1
        30    request 1 to engine 2 until 7980
        40    forget engine 0
    "#]]
    .assert_eq(&trace.decisions());
}
