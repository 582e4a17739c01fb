//! Retries: when another attempt is allowed, and when an attempt is cancelled for a retry.

use crate::trace::*;
use emberflow::AttemptOutcome::*;
use emberflow::*;
use expect_test::expect;

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_never_ran() {
    let mut trace = Trace::with_engines(3);
    trace.accept_many(2, BULK_LOAD, 100, 300.0);
    trace.at(50).ended(0, 0, 0, Unreachable).ended(1, 0, 1, Broken);
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 2 until 23980
        0     request 1 gets 375 MB, priority 1
        0     request 1 to engine 0 until 23980
        50    request 0 gets 375 MB, priority 1
        50    request 0 to engine 1 until 23980
        50    fail request 1
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_in_its_cell_and_window() {
    let cell = Idempotency::IdempotentWithKey { scope: KeyScope::Cell, window: ms(700) };
    let mut trace = Trace::new(4, |_, classes, _| classes[SHORT].idempotency = cell);
    trace.update_endpoints(
        (1..4).map(|engine| Endpoint { location: 0, ..endpoint(engine, Lifecycle::Ready, None) }).collect(),
    );
    trace.accept(SHORT, 100, 300.0).at(50).ended(0, 0, 0, Broken).at(690).ended(0, 1, 1, Broken);
    trace.wake_until(1400);
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 2 until 7980
        50    request 0 gets 375 MB, priority 1
        50    request 0 to engine 3 until 7980, written before 680
        690   fail request 0
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn requests_of_a_key_run_one_at_a_time_and_wait_after_an_attempt_that_may_still_run() {
    let mut trace = Trace::new(3, |_, classes, attempt_limits| {
        classes[BULK_LOAD].keeps_order = true;
        attempt_limits.key_cooldown = Some(ms(300));
    });
    trace.accept_keyed(BULK_LOAD, 100, 300.0, Some(4)).accept_keyed(BULK_LOAD, 100, 300.0, Some(4));
    trace.accept_keyed(BULK_LOAD, 100, 300.0, Some(5)).accept(BULK_LOAD, 100, 300.0);
    trace.at(100).ended(0, 0, 0, Broken).wake_until(500);
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 2 until 23980
        0     request 2 gets 375 MB, priority 1
        0     request 2 to engine 0 until 23980
        0     request 3 gets 375 MB, priority 1
        0     request 3 to engine 1 until 23980
        100   fail request 0
        420   request 1 gets 375 MB, priority 1
        420   request 1 to engine 2 until 23980
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn retries_stay_within_the_budget() {
    let budget = RetryBudget { min_retries: 1.0, per_request: 0.1, window: ms(5000) };
    let mut trace = Trace::new(4, |_, _, attempt_limits| attempt_limits.retry_budget = Some(budget));
    trace.accept_many(2, SHORT, 100, 300.0).decisions();
    trace.at(50).ended(0, 0, 0, Overloaded).ended(1, 0, 1, Overloaded).wake_until(600);
    expect![[r#"
        50    request 0 gets 375 MB, priority 1
        50    request 0 to engine 0 until 7980
        330   reject request 1, retry after 400
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn a_slow_attempt_is_cancelled_once() {
    let mut trace = Trace::with_engines(2);
    trace.accept(LONG, 900, 300.0).at(500).progress_updated(0, 0, ProgressUpdate::Fraction(0.05)).at(510);
    trace.ended(0, 0, 0, Cancelled).at(1010).progress_updated(0, 1, ProgressUpdate::Fraction(0.05));
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 0 until 15980
        500   cancel request 0 attempt 0
        510   request 0 gets 375 MB, priority 1
        510   request 0 to engine 1 until 15980
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn an_attempt_that_waits_for_a_bulk_load_is_cancelled_and_retried() {
    let mut trace = Trace::with_engines(2);
    trace
        .accept(SHORT, 900, 300.0)
        .at(500)
        .progress_updated(0, 0, ProgressUpdate::WaitingForBulkLoad)
        .at(505);
    trace.ended(0, 0, 0, Cancelled);
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 0 until 7980
        500   cancel request 0 attempt 0
        505   request 0 gets 375 MB, priority 1
        505   request 0 to engine 1 until 7980
    "#]]
    .assert_eq(&trace.decisions());
}

#[test]
fn a_request_behind_others_of_its_key_may_wait_longer_than_its_tier_allows() {
    let mut trace = Trace::new(1, |_, classes, _| {
        (classes[BULK_LOAD].keeps_order, classes[BULK_LOAD].late_weight_fraction) = (true, 0.5)
    });
    trace
        .accept_keyed(BULK_LOAD, 0, 0.0, Some(1))
        .accept_keyed(BULK_LOAD, 0, 0.0, Some(1))
        .at(3500)
        .wake_now();
    trace.at(3600).succeeded_with_usage(0, 0, 3600, 100.0);
    expect![[r#"
        0     request 0 gets 0 MB, priority 1
        0     request 0 to engine 0 until 23980
        3600  request 1 gets 100 MB, priority 1
        3600  request 1 to engine 0 until 23980
    "#]]
    .assert_eq(&trace.decisions());
}

/// Guards against a rejection that calls a retry safe although the engines have forgotten the request's key, or will have
/// forgotten it by the time that the rejection names.
#[test]
fn a_request_with_an_idempotency_key_is_rejected_only_while_its_key_is_remembered() {
    let everywhere = || Idempotency::IdempotentWithKey { scope: KeyScope::All, window: ms(700) };
    let mut decisions = String::new();
    for lapses_at in [250, 350, 680] {
        let mut trace = Trace::new(2, |_, classes, attempt_limits| {
            classes[SHORT].idempotency = everywhere();
            attempt_limits.max_attempts = 2;
        });
        trace.accept(SHORT, 100, 300.0).at(50).ended(0, 0, 0, Broken);
        trace.at(lapses_at).ended(0, 1, 1, Lapsed(SendCondition::KeyWindow));
        decisions.push_str(&trace.decisions());
    }
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 0 until 7980
        50    request 0 gets 375 MB, priority 1
        50    request 0 to engine 1 until 7980, written before 680
        250   reject request 0, retry after 400
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 0 until 7980
        50    request 0 gets 375 MB, priority 1
        50    request 0 to engine 1 until 7980, written before 680
        350   fail request 0
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 0 until 7980
        50    request 0 gets 375 MB, priority 1
        50    request 0 to engine 1 until 7980, written before 680
        680   fail request 0
    "#]]
    .assert_eq(&decisions);
}

/// Guards against a retry that is refused although the engines still remember its key: the window begins when the first
/// attempt is written, and not when it is decided on.
#[test]
fn the_window_of_a_key_begins_when_the_first_attempt_is_written() {
    let everywhere = Idempotency::IdempotentWithKey { scope: KeyScope::All, window: ms(700) };
    let mut trace = Trace::new(2, |_, classes, _| classes[SHORT].idempotency = everywhere);
    trace.accept(SHORT, 100, 300.0).at(200).written(0, 0).at(690).ended(0, 0, 0, Broken);
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 0 until 7980
        690   request 0 gets 375 MB, priority 1
        690   request 0 to engine 1 until 7980, written before 880
    "#]]
    .assert_eq(&trace.decisions());
}

/// Guards against retries beyond the budget: a retry that waited for its connection was written when the requests that
/// had allowed it no longer counted.
#[test]
fn a_delayed_retry_lapses_when_the_budget_no_longer_allows_it() {
    let budget = RetryBudget { min_retries: 0.0, per_request: 0.5, window: ms(1000) };
    let mut trace = Trace::new(4, |_, _, attempt_limits| attempt_limits.retry_budget = Some(budget));
    trace.accept_many(2, SHORT, 100, 300.0).at(900).ended(0, 0, 0, Overloaded).decisions();
    let lapses: Vec<_> = [901, 999, 1001].map(|now| trace.at(now).lapsed_condition(0, 1)).into();
    expect!["[None, None, Some(RetryBudget)]"].assert_eq(&format!("{lapses:?}"));
    trace.at(1001).ended(0, 1, 1, Lapsed(SendCondition::RetryBudget));
    trace.accept_many(2, SHORT, 100, 300.0);
    expect![[r#"
        1001  reject request 0, retry after 400
        1001  request 2 gets 375 MB, priority 1
        1001  request 2 to engine 0 until 8981
        1001  request 3 gets 375 MB, priority 1
        1001  request 3 to engine 2 until 8981
    "#]]
    .assert_eq(&trace.decisions());
}

/// Guards against a warming engine that is overloaded by attempts that waited for their connections and are written at
/// once.
#[test]
fn delayed_attempts_lapse_when_the_slow_start_budget_of_their_engine_is_used_up() {
    let mut trace = Trace::with_engines(1);
    trace.accept(SHORT, 1500, 300.0).at(10).succeeded_with_usage(0, 0, 1500, 100.0);
    trace.at(20).update_endpoints(vec![endpoint(0, Lifecycle::Ready, Some(20))]);
    trace.accept_many(2, SHORT, 1500, 300.0).at(1025).accept_many(2, SHORT, 1500, 300.0).at(1100);
    let mut lapses = Vec::new();
    for request in 1..5 {
        let lapsed = trace.lapsed_condition(request, 0);
        match lapsed {
            None => trace.written(request, 0),
            Some(condition) => trace.ended(request, 0, 0, Lapsed(condition)),
        };
        lapses.push(lapsed);
    }
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 0 until 7980
        20    request 1 gets 375 MB, priority 1
        20    request 1 to engine 0 until 8000
        1025  request 2 gets 375 MB, priority 1
        1025  request 2 to engine 0 until 8000
        1025  request 3 gets 375 MB, priority 1
        1025  request 3 to engine 0 until 9005
        1025  request 4 gets 375 MB, priority 1
        1025  request 4 to engine 0 until 9005
        1100  reject request 1, retry after 400
        [Some(SlowStart), None, None, None]"#]]
    .assert_eq(&format!("{}{lapses:?}", trace.decisions()));
}

/// Guards against a call to an engine whose location is no longer allowed for the request's class.
#[test]
fn an_attempt_lapses_when_its_engine_moves_to_a_location_that_is_not_allowed() {
    let mut trace = Trace::new(1, |_, classes, _| classes[SHORT].locations = Some(vec![0]));
    trace.update_endpoints(vec![Endpoint { location: 0, ..endpoint(0, Lifecycle::Ready, None) }]);
    trace.accept(SHORT, 100, 300.0);
    let before = trace.lapsed_condition(0, 0);
    trace.update_endpoints(vec![Endpoint { location: 1, ..endpoint(0, Lifecycle::Ready, Some(5)) }]);
    assert_eq!((before, trace.lapsed_condition(0, 0)), (None, Some(SendCondition::Placement)));
}
