//! Budgets, and the charges of requests that are settled, retried or requeued.

use crate::harness::{Scenario, allowance, ms, one_organization};
use emberflow_teams::{NewRequest, Outcome};
use expect_test::expect;
use std::time::Duration;

#[test]
fn a_team_over_its_budget_comes_last_until_the_budget_covers_its_request() {
    let mut scenario = Scenario::new(one_organization(&[(1.0, allowance(100, 1000, 100)), (1.0, None)]));
    scenario
        .enqueue(0, 100)
        .dispatch(1)
        .log_budget(0)
        .enqueue(0, 100)
        .enqueue(1, 900)
        .enqueue(1, 900)
        .enqueue(1, 900)
        .dispatch(1);
    // The team is last 100 ms before the budget covers the request, and first at 1 ms after that time.
    let due = scenario.queues.due().map(|at| at.as_millis());
    scenario.log(format!("due at {due:?}")).advance_to(900).dispatch(1).advance_to(1000).log_budget(0);
    scenario.advance_to(1001).dispatch(2);
    // A team may exceed its budget while no other team has waiting requests.
    scenario.enqueue(0, 100).dispatch(1).log_budget(0);
    expect![[r#"
        0     request 0 is dispatched
        0     team 0 has 0 ms of its budget left
        0     request 2 is dispatched
        0     due at Some(1000)
        900   request 3 is dispatched
        1000  team 0 has 100 ms of its budget left
        1001  request 1 is dispatched
        1001  request 4 is dispatched
        1001  request 5 is dispatched
        1001  team 0 has -100 ms of its budget left
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn a_request_larger_than_the_burst_is_dispatched_when_the_budget_is_full() {
    let mut scenario = Scenario::new(one_organization(&[(1.0, allowance(100, 1000, 200)), (1.0, None)]));
    scenario.enqueue(0, 500).enqueue(0, 100).enqueue(1, 100).dispatch(1).log_budget(0).dispatch(1);
    let due = scenario.queues.due().map(|at| at.as_millis());
    scenario
        .log(format!("due at {due:?}"))
        .enqueue(1, 100)
        .dispatch(1)
        .advance_to(4001)
        .log_budget(0)
        .enqueue(1, 100)
        .dispatch(1);
    expect![[r#"
        0     request 0 is dispatched
        0     team 0 has -300 ms of its budget left
        0     request 2 is dispatched
        0     due at Some(1000)
        0     request 3 is dispatched
        4001  team 0 has 100 ms of its budget left
        4001  request 1 is dispatched
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn refunded_requests_are_not_charged() {
    let mut scenario = Scenario::new(one_organization(&[(1.0, allowance(100, 1000, 400)), (1.0, None)]));
    scenario.enqueue(0, 100).enqueue(0, 100).enqueue(0, 100).dispatch(3).log_budget(0);
    scenario
        .settle(0, Outcome::Refunded)
        .settle(1, Outcome::Measured(ms(250)))
        .settle(2, Outcome::Refunded)
        .log_budget(0);
    let charged_s = scenario.queues.in_flight_charge(0);
    scenario.log(format!("{charged_s:?} s charged in flight"));
    // A team whose waiting requests are all removed does not delay the others.
    scenario.enqueue(0, 100).enqueue(0, 100).enqueue(1, 100);
    let removed = [
        scenario.queues.remove(ms(0), 3),
        scenario.queues.remove(ms(0), 4),
        scenario.queues.remove(ms(0), 4),
    ];
    scenario.log(format!("requests were removed: {removed:?}")).dispatch(2);
    expect![[r#"
        0     request 0 is dispatched
        0     request 1 is dispatched
        0     request 2 is dispatched
        0     team 0 has 100 ms of its budget left
        0     team 0 has 150 ms of its budget left
        0     0.0 s charged in flight
        0     requests were removed: [true, true, false]
        0     request 5 is dispatched
        0     no request waits
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn a_retry_is_charged_as_the_same_request() {
    let mut scenario = Scenario::new(one_organization(&[(1.0, allowance(100, 1000, 400))]));
    let with_identity = |new_request: &mut NewRequest| new_request.identity = Some(77);
    scenario.enqueue_with(with_identity).dispatch(1).settle(0, Outcome::Unknown).log_budget(0);
    scenario
        .enqueue_with(with_identity)
        .dispatch(1)
        .log_budget(0)
        .settle(1, Outcome::Measured(Duration::ZERO))
        .log_budget(0);
    expect![[r#"
        0     request 0 is dispatched
        0     team 0 has 300 ms of its budget left
        0     request 1 is dispatched
        0     team 0 has 300 ms of its budget left
        0     team 0 has 300 ms of its budget left
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn a_requeued_request_keeps_its_age() {
    let mut scenario = Scenario::new(one_organization(&[(1.0, allowance(100, 1000, 300))]));
    scenario.enqueue(0, 100).advance_to(50).enqueue(0, 100).dispatch(1).log_budget(0);
    let requeued = [scenario.queues.requeue(ms(50), 0), scenario.queues.requeue(ms(50), 0)];
    scenario.log(format!("request 0 was requeued: {requeued:?}")).log_budget(0).dispatch(2);
    expect![[r#"
        50    request 0 is dispatched
        50    team 0 has 200 ms of its budget left
        50    request 0 was requeued: [true, false]
        50    team 0 has 300 ms of its budget left
        50    request 0 is dispatched
        50    request 1 is dispatched
    "#]]
    .assert_eq(&scenario.take_log());
}
