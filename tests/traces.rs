//! Short traces of decisions, one for each limit and failure met; kept ones are renewed with UPDATE_EXPECT=1
//! and read before they are committed.

mod trace;

use emberflow::*;
use expect_test::expect;
use trace::{Trace, endpoint, ms};

#[test]
fn ordinary_path_names_grants_and_spreads_by_room() {
    let mut trace = Trace::new(2, |_, _, _| ());
    trace.accept(0, 100, 50.0).accept(0, 100, 600.0).accept(1, 3000, 4000.0).accept(1, 3000, 12000.0);
    trace.accept(1, 3000, 12000.0).accept(1, 3000, 12000.0).at(20).ended(3, 0, 0, AttemptOutcome::Succeeded);
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
    .assert_eq(&trace.decided());
}

#[test]
fn a_request_without_estimates_takes_the_medium_tier() {
    let mut trace = Trace::new(1, |_, _, _| ());
    trace.accept(1, 0, 0.0).accept(1, 0, 0.0).at(5).ended(0, 0, 0, AttemptOutcome::Overloaded);
    expect![[r#"
        0     request 0 gets 0 MB, priority 1
        0     request 0 to engine 0 until 15980
        0     request 1 gets 0 MB, priority 1
        0     request 1 to engine 0 until 15980
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn under_pressure_tiers_bind_and_leave_earliest_first() {
    let mut trace = Trace::new(1, |_, _, _| ());
    let busy = LoadReport { busy: Some(1.0), memory: Some(0.5), ..LoadReport::default() };
    trace.accept(0, 100, 50.0).at(100).reported(0, 0, 0, AttemptOutcome::Succeeded, Some(busy));
    for _ in 0..4 {
        trace.accept(1, 1500, 3000.0);
    }
    trace.at(400).reported(1, 0, 0, AttemptOutcome::Succeeded, Some(busy)).wait(2000);
    expect![[r#"
        0     request 0 gets 63 MB, priority 1
        0     request 0 to engine 0 until 7980
        100   request 1 gets 3750 MB, priority 1
        100   request 1 to engine 0 until 16080
        400   request 2 gets 3750 MB, priority 1
        400   request 2 to engine 0 until 16080
        1920  cancel request 2 attempt 0
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn medium_requests_wait_until_their_memory_is_there_and_small_ones_do_not() {
    let mut trace = Trace::new(1, |_, _, _| ());
    let full = LoadReport { busy: Some(0.3), memory: Some(0.9), ..LoadReport::default() };
    let free = LoadReport { memory: Some(0.2), ..full };
    trace.accept(0, 100, 300.0).accept(0, 100, 300.0).accept(0, 100, 300.0);
    trace.at(1200).reported(0, 0, 0, AttemptOutcome::Succeeded, Some(full)).decided();
    trace.accept(1, 900, 4000.0).accept(0, 100, 300.0).wait(1500);
    trace.reported(1, 0, 0, AttemptOutcome::Succeeded, Some(free));
    expect![[r#"
        1200  request 4 gets 375 MB, priority 1
        1200  request 4 to engine 0 until 9180
        1240  cancel request 1 attempt 0
        1240  cancel request 2 attempt 0
        1480  request 3 gets 5000 MB, priority 1
        1480  request 3 to engine 0 until 17180
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn an_answer_comes_before_deadline_ends_with_no_engine_or_estimate() {
    let mut trace = Trace::new(0, |_, _, _| ());
    trace.accept(0, 0, 0.0).accept(2, 1, 1e12).at(7000).wait(8000).ended(0, 0, 0, AttemptOutcome::TimedOut);
    trace.progress_noted(7, 3, ProgressNote::Fraction(0.0)).left(9);
    expect![[r#"
        7040  reject request 0, back after 400
        7040  reject request 1, back after 400
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn single_use_runs_once_and_goes_on_only_if_it_never_ran() {
    let mut trace = Trace::new(3, |_, _, _| ());
    trace.accept(2, 100, 300.0).accept(2, 100, 300.0);
    trace.at(50).ended(0, 0, 0, AttemptOutcome::Unreachable).ended(1, 0, 1, AttemptOutcome::Broken);
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 2 until 23980
        0     request 1 gets 375 MB, priority 1
        0     request 1 to engine 0 until 23980
        50    request 0 gets 375 MB, priority 1
        50    request 0 to engine 1 until 23980
        50    give up request 1
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn a_referenced_request_stays_in_its_cell_and_window() {
    let cell = Effect::IdempotentWithKey { scope: KeyScope::Cell, window: ms(700) };
    let mut trace = Trace::new(4, |_, classes, _| classes[0].effect = cell);
    trace.list(
        (1..4).map(|engine| Endpoint { location: 0, ..endpoint(engine, Lifecycle::Ready, None) }).collect(),
    );
    trace.accept(0, 100, 300.0).at(50).ended(0, 0, 0, AttemptOutcome::Broken).at(690).ended(
        0,
        1,
        1,
        AttemptOutcome::Broken,
    );
    trace.wait(1400);
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 2 until 7980
        50    request 0 gets 375 MB, priority 1
        50    request 0 to engine 3 until 7980
        690   give up request 0
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn nothing_goes_to_a_drained_engine_or_off_its_placement() {
    let mut trace = Trace::new(2, |fleet, classes, _| {
        fleet.kinds.push(EngineKind { cores: 8.0, memory_mb: 16000.0 });
        classes[1].kinds = Some(vec![1]);
    });
    trace.list(vec![Endpoint { kind: 1, ..endpoint(5, Lifecycle::Ready, None) }]).accept(1, 300, 300.0);
    trace.list(vec![
        Endpoint { kind: 1, ..endpoint(5, Lifecycle::Draining, None) },
        endpoint(0, Lifecycle::Draining, None),
    ]);
    trace
        .at(10)
        .ended(0, 0, 5, AttemptOutcome::Unreachable)
        .accept(0, 300, 300.0)
        .accept(1, 300, 300.0)
        .wait(1500);
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 5 until 15980
        10    request 1 gets 375 MB, priority 1
        10    request 1 to engine 1 until 7990
        570   reject request 0, back after 400
        570   reject request 2, back after 400
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn a_cold_engine_gets_no_more_than_its_part() {
    let mut trace = Trace::new(0, |_, _, _| ());
    trace.at(5000).list(vec![endpoint(0, Lifecycle::Ready, Some(5000))]);
    for _ in 0..6 {
        trace.accept(0, 900, 300.0);
    }
    trace.wait(5600);
    expect![[r#"
        5000  request 0 gets 375 MB, priority 1
        5000  request 0 to engine 0 until 12980
        5000  request 1 gets 375 MB, priority 1
        5000  request 1 to engine 0 until 12980
        5000  request 2 gets 375 MB, priority 1
        5000  request 2 to engine 0 until 12980
        5000  request 3 gets 375 MB, priority 1
        5000  request 3 to engine 0 until 12980
        5480  request 4 gets 375 MB, priority 1
        5480  request 4 to engine 0 until 12980
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn requests_of_a_key_run_in_turn_and_rest_after_an_attempt_that_may_still_run() {
    let mut trace = Trace::new(3, |_, classes, attempt_limits| {
        classes[2].keeps_order = true;
        attempt_limits.key_cooldown = Some(ms(300));
    });
    trace.accept_keyed(2, 100, 300.0, Some(4)).accept_keyed(2, 100, 300.0, Some(4));
    trace.accept_keyed(2, 100, 300.0, Some(5)).accept(2, 100, 300.0);
    trace.at(100).ended(0, 0, 0, AttemptOutcome::Broken).wait(500);
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 2 until 23980
        0     request 2 gets 375 MB, priority 1
        0     request 2 to engine 0 until 23980
        0     request 3 gets 375 MB, priority 1
        0     request 3 to engine 1 until 23980
        100   give up request 0
        420   request 1 gets 375 MB, priority 1
        420   request 1 to engine 2 until 23980
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn further_attempts_stay_within_the_budget() {
    let budget = RetryBudget { spare: 1.0, per_request: 0.1, window: ms(5000) };
    let mut trace = Trace::new(4, |_, _, attempt_limits| attempt_limits.retry_budget = Some(budget));
    trace.accept(0, 100, 300.0).accept(0, 100, 300.0).decided();
    trace
        .at(50)
        .ended(0, 0, 0, AttemptOutcome::Overloaded)
        .ended(1, 0, 1, AttemptOutcome::Overloaded)
        .wait(600);
    expect![[r#"
        50    request 0 gets 375 MB, priority 1
        50    request 0 to engine 0 until 7980
        330   reject request 1, back after 400
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn a_bad_plan_is_cancelled_once() {
    let mut trace = Trace::new(2, |_, _, _| ());
    trace.accept(1, 900, 300.0).at(500).progress_noted(0, 0, ProgressNote::Fraction(0.05)).at(510);
    trace.ended(0, 0, 0, AttemptOutcome::Withdrawn).at(1010).progress_noted(
        0,
        1,
        ProgressNote::Fraction(0.05),
    );
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 0 until 15980
        500   cancel request 0 attempt 0
        510   request 0 gets 375 MB, priority 1
        510   request 0 to engine 1 until 15980
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn a_attempt_that_stands_still_behind_a_load_is_moved() {
    let mut trace = Trace::new(2, |_, _, _| ());
    trace.accept(0, 900, 300.0).at(500).progress_noted(0, 0, ProgressNote::WaitingForLoad).at(505);
    trace.ended(0, 0, 0, AttemptOutcome::Withdrawn);
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 0 until 7980
        500   cancel request 0 attempt 0
        505   request 0 gets 375 MB, priority 1
        505   request 0 to engine 1 until 7980
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn only_a_later_try_has_spent_its_way_to_the_target() {
    let mut trace = Trace::new(0, |_, _, _| ());
    trace.accept_marked(8000, Some(false)).accept_marked(6000, Some(false)).accept_marked(6000, Some(true));
    trace.accept_marked(8000, None).accept_marked(6000, None).wait(400);
    expect![[r#"
        0     reject request 2, back after 400
        0     reject request 4, back after 400
        320   reject request 0, back after 400
        320   reject request 1, back after 400
        320   reject request 3, back after 400
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn lasting_slowness_still_counts_as_pressure() {
    let mut trace = Trace::new(1, |_, _, _| ());
    for request in 0..40 {
        trace.at(400 * u64::from(request)).accept(0, 100, 300.0).at(400 * u64::from(request) + 390);
        trace.ended(request, 0, 0, AttemptOutcome::Succeeded);
    }
    trace.decided();
    for _ in 0..3 {
        trace.accept(1, 3000, 2500.0);
    }
    expect![[r#"
        15990 request 40 gets 3125 MB, priority 1
        15990 request 40 to engine 0 until 31970
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn spills_raise_the_grant_where_nothing_bills() {
    let mut trace = Trace::new(1, |_, _, _| ());
    trace.accept(1, 300, 400.0).at(90).progress_noted(0, 0, ProgressNote::Spilling(300.0));
    trace.at(100).ended(0, 0, 0, AttemptOutcome::Succeeded).accept(1, 300, 400.0);
    expect![[r#"
        0     request 0 gets 500 MB, priority 1
        0     request 0 to engine 0 until 15980
        100   request 1 gets 1000 MB, priority 1
        100   request 1 to engine 0 until 16080
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn a_silent_engine_loses_what_may_run_again() {
    let mut trace = Trace::new(2, |fleet, _, _| fleet.progress_interval = None);
    trace.accept(0, 100, 300.0).accept(2, 3000, 300.0).accept(0, 100, 300.0);
    trace.at(100).ended(2, 0, 0, AttemptOutcome::Succeeded).wait(1700).ended(
        1,
        0,
        1,
        AttemptOutcome::Succeeded,
    );
    trace.ended(0, 0, 0, AttemptOutcome::Withdrawn).accept(0, 100, 300.0);
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 0 until 7980
        0     request 1 gets 375 MB, priority 1
        0     request 1 to engine 0 until 23980
        0     request 2 gets 375 MB, priority 1
        0     request 2 to engine 1 until 7980
        1500  cancel request 0 attempt 0
        1700  reject request 0, back after 400
        1700  request 3 gets 375 MB, priority 1
        1700  request 3 to engine 0 until 9680
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn an_engine_that_fails_fast_draws_no_work() {
    let mut trace = Trace::new(2, |_, _, _| ());
    trace.accept(0, 100, 300.0).accept(0, 100, 300.0).accept(0, 100, 300.0).accept(0, 100, 300.0);
    trace.at(5).ended(0, 0, 0, AttemptOutcome::Failed).ended(2, 0, 0, AttemptOutcome::Failed).decided();
    trace.at(10).accept(0, 100, 300.0).accept(0, 100, 300.0).at(1100).accept(0, 100, 300.0);
    expect![[r#"
        10    request 4 gets 375 MB, priority 1
        10    request 4 to engine 1 until 7990
        10    request 5 gets 375 MB, priority 1
        10    request 5 to engine 0 until 7990
        1100  request 6 gets 375 MB, priority 1
        1100  request 6 to engine 1 until 9080
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn a_late_request_that_earns_little_is_answered_at_once() {
    let mut trace = Trace::new(2, |_, _, _| ());
    let full = LoadReport { waiting: Some(2.0), ..LoadReport::default() };
    trace.accept(0, 100, 300.0).accept(0, 100, 300.0).at(1190);
    trace.progress_noted(0, 0, ProgressNote::WaitingForMemory).at(1200).reported(
        1,
        0,
        1,
        AttemptOutcome::Succeeded,
        Some(full),
    );
    trace.at(1210).ended(0, 0, 0, AttemptOutcome::Withdrawn);
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 0 until 7980
        0     request 1 gets 375 MB, priority 1
        0     request 1 to engine 0 until 7980
        1190  cancel request 0 attempt 0
        1210  reject request 0, back after 400
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn fresh_sends_count_though_a_late_report_hides_them() {
    let mut trace = Trace::new(2, |_, _, _| ());
    let free = LoadReport { busy: Some(0.1), memory: Some(0.1), ..LoadReport::default() };
    trace.accept(0, 100, 300.0).accept(0, 100, 300.0).accept(0, 100, 300.0).accept(0, 100, 300.0);
    trace.at(20).reported(0, 0, 0, AttemptOutcome::Succeeded, Some(free));
    trace.reported(1, 0, 1, AttemptOutcome::Succeeded, Some(free)).decided();
    for at in 3..7 {
        trace.at(at * 10).accept(1, 300, 1000.0).reported(9, 0, 0, AttemptOutcome::Succeeded, Some(free));
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
    .assert_eq(&trace.decided());
}

#[test]
fn an_unreachable_list_is_asked_for_again() {
    let mut trace = Trace::new(1, |fleet, _, _| fleet.polls_endpoint_list = true);
    trace.at(900).endpoint_list_failed().wait(1000);
    expect![[r#"
        0     watch the list
        900   watch the list
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn many_routers_pool_their_parts_of_engines_under_pressure() {
    let mut trace = Trace::new(4, |fleet, _, _| fleet.router_count = 100);
    let busy = LoadReport { busy: Some(1.0), memory: Some(0.5), ..LoadReport::default() };
    trace.accept(0, 100, 300.0).accept(0, 100, 300.0).accept(0, 100, 300.0).accept(0, 100, 300.0).at(100);
    for request in 0..4 {
        trace.reported(request, 0, request as EngineId, AttemptOutcome::Succeeded, Some(busy));
    }
    trace.decided();
    trace.accept(1, 300, 300.0).accept(1, 300, 300.0).accept(1, 300, 300.0);
    expect![[r#"
        100   request 4 gets 375 MB, priority 1
        100   request 4 to engine 3 until 16080
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn a_cold_engine_of_many_routers_gets_one_request_from_a_chance_point() {
    let mut trace = Trace::new(0, |fleet, _, _| fleet.router_count = 20);
    trace.at(5000).list(vec![endpoint(0, Lifecycle::Ready, Some(5000))]);
    for at in [5000, 5400, 5800, 6200, 6600] {
        trace.at(at).accept(0, 400, 300.0).wait(at + 360);
    }
    expect![[r#"
        6360  reject request 0, back after 400
        6400  request 1 gets 375 MB, priority 1
        6400  request 1 to engine 0 until 13380
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn what_goes_on_failing_is_believed_for_longer() {
    let mut trace = Trace::new(2, |fleet, _, _| fleet.router_count = 100);
    for (request, at) in [(0, 0), (1, 9000)] {
        trace.at(at).accept(0, 100, 300.0).ended(request, 0, 0, AttemptOutcome::Unreachable);
        trace.ended(request, 1, 1, AttemptOutcome::Succeeded);
    }
    trace.decided();
    trace
        .at(18_000)
        .accept(0, 100, 300.0)
        .ended(2, 0, 1, AttemptOutcome::Succeeded)
        .at(26_000)
        .accept(0, 100, 300.0);
    expect![[r#"
        18000 request 2 gets 375 MB, priority 1
        18000 request 2 to engine 1 until 25980
        26000 request 3 gets 375 MB, priority 1
        26000 request 3 to engine 0 until 33980
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn a_shortage_since_the_last_report_keeps_medium_requests_away() {
    let mut trace = Trace::new(2, |fleet, _, _| fleet.shrinks_grants = true);
    let free = LoadReport { memory: Some(0.2), ..LoadReport::default() };
    trace.accept(1, 900, 900.0).accept(1, 900, 900.0).at(100).progress_noted(
        0,
        0,
        ProgressNote::Spilling(100.0),
    );
    trace.accept(1, 900, 6000.0).at(600).ended(2, 0, 1, AttemptOutcome::Succeeded).accept(1, 900, 6000.0);
    trace.at(700).reported(0, 0, 0, AttemptOutcome::Succeeded, Some(free)).accept(1, 900, 6000.0);
    expect![[r#"
        0     request 0 gets 1125 MB, priority 1
        0     request 0 to engine 0 until 15980
        0     request 1 gets 1125 MB, priority 1
        0     request 1 to engine 1 until 15980
        700   request 3 gets 7500 MB, priority 1
        700   request 3 to engine 0 until 16580
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn before_the_process_ends_each_request_gets_the_answer_that_its_effect_allows() {
    let mut trace = Trace::new(1, |_, _, _| {});
    trace.accept(0, 100, 300.0).accept(1, 900, 300.0).accept(2, 900, 300.0);
    trace
        .at(200)
        .shutting_down(3700)
        .ended(0, 0, 0, AttemptOutcome::Succeeded)
        .at(600)
        .accept(0, 100, 300.0)
        .wait(3700);
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
        3640  reject request 1, back after 400
        3640  give up request 2
        3640  reject request 3, back after 400
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn the_end_of_the_process_is_not_slept_through() {
    let mut trace = Trace::new(1, |_, _, _| {});
    trace.accept(1, 900, 300.0).decided();
    trace.at(30).shutting_down(130).wake().wake().wake();
    expect![[r#"
        70    reject request 0, back after 400
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn what_breaks_while_others_go_on_is_one_sign_and_leaves_its_engine_warm() {
    let mut trace = Trace::new(1, |_, _, _| {});
    (0..7).for_each(|_| {
        trace.accept(0, 1000, 100.0);
    });
    trace.decided();
    trace.at(100);
    (0..6).for_each(|request| {
        trace.ended(request, 0, 0, AttemptOutcome::Broken);
    });
    expect![[r#"
        100   request 0 gets 125 MB, priority 1
        100   request 0 to engine 0 until 7980
        100   request 1 gets 125 MB, priority 1
        100   request 1 to engine 0 until 7980
        100   request 2 gets 125 MB, priority 1
        100   request 2 to engine 0 until 7980
        100   request 3 gets 125 MB, priority 1
        100   request 3 to engine 0 until 7980
        100   request 4 gets 125 MB, priority 1
        100   request 4 to engine 0 until 7980
        100   request 5 gets 125 MB, priority 1
        100   request 5 to engine 0 until 7980
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn an_engine_where_all_breaks_at_once_is_cold() {
    let mut trace = Trace::new(1, |_, _, _| {});
    (0..6).for_each(|_| {
        trace.accept(2, 3000, 100.0);
    });
    trace.decided();
    trace.at(100);
    (0..6).for_each(|request| {
        trace.ended(request, 0, 0, AttemptOutcome::Broken);
    });
    (0..6).for_each(|_| {
        trace.accept(0, 1000, 100.0);
    });
    expect![[r#"
        100   give up request 0
        100   give up request 1
        100   give up request 2
        100   give up request 3
        100   give up request 4
        100   give up request 5
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn a_request_that_waits_for_loads_avoids_where_one_of_its_group_stood() {
    let mut trace = Trace::new(2, |_, classes, _| classes[0].waits_for_loads = true);
    trace.accept_in(0, 7).progress_noted(0, 0, ProgressNote::WaitingForLoad).at(10);
    (0..3).for_each(|_| {
        trace.accept_in(0, 7);
    });
    trace.accept_in(0, 8).accept_in(0, 8);
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
    .assert_eq(&trace.decided());
}

#[test]
fn an_engine_that_has_gone_is_forgotten_with_the_last_request_that_it_has_seen() {
    let mut trace = Trace::new(2, |_, _, _| {});
    trace.accept(0, 100, 100.0).accept(0, 100, 100.0).at(10);
    let gone = |engine| endpoint(engine, Lifecycle::Gone, None);
    trace.list(vec![gone(0), gone(1), endpoint(2, Lifecycle::Ready, None)]);
    trace.at(20).ended(0, 0, 0, AttemptOutcome::Succeeded).at(30).ended(1, 0, 1, AttemptOutcome::Broken);
    trace.at(40).ended(1, 1, 2, AttemptOutcome::Succeeded);
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
    .assert_eq(&trace.decided());
}

#[test]
fn a_attempt_of_which_nothing_is_noted_is_taken_back_while_its_engine_answers_others() {
    let mut trace = Trace::new(2, |_, _, _| {});
    trace.accept(0, 2000, 300.0).accept(0, 2000, 300.0).accept(0, 2000, 300.0);
    for shortest_objective in 1..6 {
        let done = ProgressNote::Fraction(0.1 * shortest_objective as f64);
        trace.at(shortest_objective * 450).progress_noted(1, 0, done).progress_noted(2, 0, done);
    }
    trace.wait(2300);
    expect![[r#"
        0     request 0 gets 375 MB, priority 1
        0     request 0 to engine 0 until 7980
        0     request 1 gets 375 MB, priority 1
        0     request 1 to engine 0 until 7980
        0     request 2 gets 375 MB, priority 1
        0     request 2 to engine 1 until 7980
        2250  cancel request 0 attempt 0
    "#]]
    .assert_eq(&trace.decided());
}

/// Found by the explorer: where this router's part of a cold engine was under one request, two could follow each
/// other, as the limit was their sum and rounding decided.
#[test]
fn a_part_under_one_request_lets_one_go_in_its_longer_window() {
    let mut trace = Trace::small(&[(0, 0)], |fleet, _, attempt_limits| {
        fleet.router_count = 40;
        attempt_limits.warm_up = ms(2000);
    });
    trace.at(20000).tell(0, Lifecycle::Ready, Some(20000)).accept_keyed(0, 20, 300.0, None);
    trace.at(20064).woken().at(20128).accept_keyed(0, 20, 300.0, None).woken();
    trace.at(20192).woken().at(20256).woken().ended(1, 0, 0, AttemptOutcome::Overloaded);
    expect![[r#"
        20192 reject request 0, back after 160
        20256 request 1 gets 375 MB, priority 1
        20256 request 1 to engine 0 until 20416
    "#]]
    .assert_eq(&trace.decided());
}

/// A report of so many requests in flight, and of nothing else.
fn counted(in_flight: f64) -> Option<LoadReport> {
    Some(LoadReport { in_flight: Some(in_flight), ..LoadReport::default() })
}

#[test]
fn the_first_requests_of_untold_cost_make_none_after_them_look_hopeless() {
    let mut trace = Trace::new(1, |_, _, _| ());
    trace.accept(0, 0, 0.0).accept(0, 0, 0.0).at(100).answered(0, 0, 100, None).accept(0, 0, 0.0);
    expect![[r#"
        0     request 0 gets 0 MB, priority 1
        0     request 0 to engine 0 until 7980
        0     request 1 gets 0 MB, priority 1
        0     request 1 to engine 0 until 7980
        100   request 2 gets 0 MB, priority 1
        100   request 2 to engine 0 until 8080
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn a_crowd_is_not_taken_for_the_work_of_those_in_it() {
    let mut trace = Trace::new(1, |_, _, _| ());
    trace.accept(0, 0, 0.0).accept(0, 0, 0.0).at(1500).answered(0, 0, 1500, counted(24.0)).decided();
    trace.at(3000).answered(1, 0, 3000, counted(24.0)).at(3500).accept(0, 0, 0.0).accept(0, 0, 0.0);
    expect![[r#"
        3500  request 2 gets 0 MB, priority 1
        3500  request 2 to engine 0 until 11480
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn medium_requests_wait_at_two_threads_a_core_where_requests_in_flight_are_told() {
    let mut trace = Trace::new(2, |_, _, _| ());
    trace.accept(0, 0, 0.0).at(50).answered(0, 0, 50, counted(15.5)).accept(0, 0, 0.0);
    trace.at(60).answered(1, 1, 50, counted(15.0)).decided();
    trace.accept(0, 0, 0.0).accept(0, 0, 0.0).at(70).answered(2, 1, 10, counted(12.0));
    expect![[r#"
        60    request 2 gets 0 MB, priority 1
        60    request 2 to engine 1 until 8040
        70    request 3 gets 0 MB, priority 1
        70    request 3 to engine 1 until 8040
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn one_line_has_one_time_out_where_costs_are_untold() {
    let mut trace = Trace::new(1, |_, _, _| ());
    trace.accept(0, 0, 0.0).at(50).answered(0, 0, 50, counted(40.0)).accept(0, 0, 0.0).decided();
    trace.accept(1, 0, 0.0).accept(0, 0, 0.0).wait(1200);
    expect![[r#"
        570   reject request 2, back after 400
        570   reject request 3, back after 400
        1090  cancel request 1 attempt 0
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn a_spill_keeps_no_request_away_where_memory_is_untold() {
    let mut trace = Trace::new(1, |fleet, _, _| fleet.shrinks_grants = true);
    trace
        .accept(0, 0, 0.0)
        .at(20)
        .progress_noted(0, 0, ProgressNote::Spilling(100.0))
        .at(30)
        .accept(0, 0, 0.0);
    expect![[r#"
        0     request 0 gets 0 MB, priority 1
        0     request 0 to engine 0 until 7980
        30    request 1 gets 0 MB, priority 1
        30    request 1 to engine 0 until 8010
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn a_request_sent_before_goes_back_where_alone_is_room() {
    let mut trace = Trace::new(2, |_, _, _| ());
    trace.accept(0, 0, 0.0).at(50).answered(0, 0, 50, counted(1.0)).accept(0, 0, 0.0);
    trace.at(60).answered(1, 1, 10, counted(30.0)).accept(0, 0, 0.0).accept(0, 0, 0.0);
    trace.at(70).ended(2, 0, 0, AttemptOutcome::Failed);
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
    .assert_eq(&trace.decided());
}

#[test]
fn a_billed_request_that_was_costly_does_not_make_its_engine_look_slow() {
    let mut trace = Trace::new(1, |_, _, _| {});
    trace.accept(0, 0, 0.0).at(50).billed(0, 0, 50, 100.0);
    trace.at(5000).accept(0, 0, 0.0).at(7000).billed(1, 0, 2000, 100.0);
    trace.accept(0, 0, 0.0).accept(0, 0, 0.0).wait(7100);
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
    .assert_eq(&trace.decided());
}

#[test]
fn a_attempt_whose_notes_have_stopped_takes_no_room() {
    let mut trace = Trace::new(1, |_, _, attempt_limits| attempt_limits.may_cancel = false);
    trace.accept(1, 0, 7000.0).at(1900).accept(1, 0, 7000.0).wait(2500);
    expect![[r#"
        0     request 0 gets 8000 MB, priority 1
        0     request 0 to engine 0 until 15980
        2020  request 1 gets 8000 MB, priority 1
        2020  request 1 to engine 0 until 17880
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn a_grant_without_an_estimate_is_no_less_than_an_engine_would_choose() {
    let mut trace = Trace::new(1, |_, _, _| {});
    trace.accept(0, 0, 0.0).at(50).billed(0, 0, 50, 100.0).accept(0, 0, 0.0);
    expect![[r#"
        0     request 0 gets 0 MB, priority 1
        0     request 0 to engine 0 until 7980
        50    request 1 gets 150 MB, priority 1
        50    request 1 to engine 0 until 8030
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn a_held_request_asks_where_load_is_told_only_to_those_who_ask() {
    let mut trace = Trace::new(4, |fleet, _, attempt_limits| {
        (fleet.router_count, fleet.reports_only_on_probe, attempt_limits.may_probe) = (40, true, true);
    });
    let told = |memory| Some(LoadReport { busy: Some(0.3), memory: Some(memory), ..LoadReport::default() });
    trace.accept(1, 0, 2000.0).at(100).accept(1, 0, 2000.0).at(105).woken().at(110);
    trace.probed(1, None).probed(3, told(0.1));
    expect![[r#"
        0     request 0 gets 2500 MB, priority 1
        0     request 0 to engine 2 until 15980
        100   probe engine 1
        100   probe engine 3
        110   request 1 gets 2500 MB, priority 1
        110   request 1 to engine 3 until 16080
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn a_request_behind_others_of_its_key_waits_for_its_turn_past_the_time_out_of_its_tier() {
    let mut trace =
        Trace::new(1, |_, classes, _| (classes[2].keeps_order, classes[2].late_share) = (true, 0.5));
    trace.accept_keyed(2, 0, 0.0, Some(1)).accept_keyed(2, 0, 0.0, Some(1)).at(3500).woken();
    trace.at(3600).billed(0, 0, 3600, 100.0);
    expect![[r#"
        0     request 0 gets 0 MB, priority 1
        0     request 0 to engine 0 until 23980
        3600  request 1 gets 100 MB, priority 1
        3600  request 1 to engine 0 until 23980
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn a_grant_without_an_estimate_covers_what_its_type_was_mostly_billed() {
    let mut trace = Trace::new(1, |_, _, _| {});
    trace.accept(0, 0, 0.0).at(50).billed(0, 0, 50, 100.0).accept(0, 0, 0.0);
    trace.at(100).billed(1, 0, 50, 400.0).accept(0, 0, 0.0);
    expect![[r#"
        0     request 0 gets 0 MB, priority 1
        0     request 0 to engine 0 until 7980
        50    request 1 gets 150 MB, priority 1
        50    request 1 to engine 0 until 8030
        100   request 2 gets 400 MB, priority 1
        100   request 2 to engine 0 until 8080
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn free_cores_draw_nobody_where_no_report_tells_memory() {
    let mut trace = Trace::new(2, |fleet, _, _| fleet.router_count = 4);
    let told = |busy| Some(LoadReport { busy: Some(busy), ..LoadReport::default() });
    trace.accept(0, 100, 300.0).accept(0, 100, 300.0);
    trace.at(100).reported(0, 0, 0, AttemptOutcome::Succeeded, told(0.9));
    trace.reported(1, 0, 1, AttemptOutcome::Succeeded, told(0.1)).decided();
    trace.accept(0, 100, 300.0).accept(0, 100, 300.0);
    expect![[r#"
        100   request 2 gets 375 MB, priority 1
        100   request 2 to engine 0 until 8080
        100   request 3 gets 375 MB, priority 1
        100   request 3 to engine 1 until 8080
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn a_crowd_that_no_fleet_could_serve_is_refused_at_once() {
    let mut trace = Trace::new(1, |_, _, _| ());
    trace.accept(0, 0, 0.0).at(4000).answered(0, 0, 4000, counted(40.0)).accept(0, 0, 0.0).decided();
    // Alone each takes 0.8 s and is wanted within 2.6: eight cores do 26 until then, and four times as many may wait.
    trace.at(8100);
    for _ in 0..108 {
        trace.accept(0, 0, 0.0);
    }
    expect![[r#"
        8100  cancel request 1 attempt 0
        8100  request 2 gets 0 MB, priority 1
        8100  request 2 to engine 0 until 16080
        8100  cancel request 2 attempt 0
        8100  reject request 107, back after 400
        8100  reject request 108, back after 400
        8100  reject request 109, back after 400
    "#]]
    .assert_eq(&trace.decided());
}

#[test]
fn requests_in_flight_show_pressure_at_two_threads_a_core_and_not_at_one() {
    let mut trace = Trace::new(1, |fleet, _, _| fleet.router_count = 4);
    trace.accept(0, 0, 0.0).at(50).answered(0, 0, 50, counted(8.5)).accept(0, 0, 0.0).decided();
    trace.accept(0, 0, 0.0).accept(0, 0, 0.0).at(100).answered(1, 0, 50, counted(15.5)).accept(0, 0, 0.0);
    expect![[r#"
        50    request 2 gets 0 MB, priority 1
        50    request 2 to engine 0 until 8030
        50    request 3 gets 0 MB, priority 1
        50    request 3 to engine 0 until 8030
    "#]]
    .assert_eq(&trace.decided());
}
