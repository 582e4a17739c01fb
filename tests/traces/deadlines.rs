//! Deadlines: final answers before the deadline, and requests that are past their latency objective.

use crate::trace::*;
use emberflow::AttemptOutcome::*;
use emberflow::*;
use expect_test::expect;

#[test]
fn without_engines_or_estimates_a_request_is_answered_before_its_deadline() {
    let mut trace = Trace::with_engines(0);
    trace.accept(SHORT, 0, 0.0).accept(BULK_LOAD, 1, 1e12).at(7000).wake_until(8000).ended(0, 0, 0, TimedOut);
    trace.progress_updated(7, 3, ProgressUpdate::Fraction(0.0)).client_left(9);
    expect![[r#"
        7040  reject request 0, retry after 400
        7040  reject request 1, retry after 400
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn only_a_retry_has_used_part_of_its_objective_budget() {
    let mut trace = Trace::with_engines(0);
    trace
        .accept_with_retry_mark(8000, Some(false))
        .accept_with_retry_mark(6000, Some(false))
        .accept_with_retry_mark(6000, Some(true));
    trace.accept_with_retry_mark(8000, None).accept_with_retry_mark(6000, None).wake_until(400);
    expect![[r#"
        0     reject request 2, retry after 400
        0     reject request 4, retry after 400
        320   reject request 0, retry after 400
        320   reject request 1, retry after 400
        320   reject request 3, retry after 400
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn a_late_request_of_little_value_is_rejected_at_once() {
    let mut trace = Trace::with_engines(2);
    let full = LoadReport { waiting_for_memory: Some(2.0), ..LoadReport::default() };
    trace.accept_many(2, SHORT, 100, 300.0).at(1190);
    trace.progress_updated(0, 0, ProgressUpdate::WaitingForMemory);
    trace.at(1200).ended_with_load_report(1, 0, 1, Succeeded, Some(full));
    trace.at(1210).ended(0, 0, 0, Cancelled);
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 0 until 7980
        0     request 1 gets 375 MB, priority 1
        0     request 1 to engine 0 until 7980
        1190  cancel request 0 attempt 0
        1210  reject request 0, retry after 400
    "#]]
    .assert_eq(&trace.decisions());
}
