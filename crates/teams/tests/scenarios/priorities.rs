//! Order of dispatch by urgency, by age and by key.

use crate::harness::{Scenario, ms, one_organization};
use emberflow_teams::{NewRequest, Outcome, Quotas, Team};
use expect_test::expect;

#[test]
fn urgent_requests_come_first_except_for_every_eighth_dispatch() {
    let mut scenario = Scenario::new(Quotas {
        teams: vec![Team { organization: 0, share: 1.0, allowance: None, max_waiting: 50 }],
        ..one_organization(&[(1.0, None)])
    });
    scenario.enqueue(0, 100);
    for _ in 0..9 {
        scenario.enqueue_with(|new_request| new_request.urgency = 2);
    }
    scenario.dispatch(9);
    expect![[r#"
        0     request 1 is dispatched
        0     request 2 is dispatched
        0     request 3 is dispatched
        0     request 4 is dispatched
        0     request 5 is dispatched
        0     request 6 is dispatched
        0     request 7 is dispatched
        0     request 0 is dispatched
        0     request 8 is dispatched
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn a_request_gains_priority_by_age() {
    let order_after = |age_ms: u64| {
        let mut scenario = Scenario::new(one_organization(&[(1.0, None), (1.0, None)]));
        // The first team has just been served, so the second team precedes it unless the first one's request is old.
        scenario.enqueue(0, 300).dispatch(1).settle(0, Outcome::Unknown);
        scenario.enqueue(0, 300).advance_to(age_ms).enqueue(1, 300).dispatch(2);
        scenario.take_log()
    };
    expect![[r#"
        0     request 0 is dispatched
        10    request 2 is dispatched
        10    request 1 is dispatched
        0     request 0 is dispatched
        4000  request 1 is dispatched
        4000  request 2 is dispatched
    "#]]
    .assert_eq(&(order_after(10) + &order_after(4000)));
}

#[test]
fn requests_with_one_key_are_dispatched_in_the_order_of_arrival() {
    let mut scenario = Scenario::new(one_organization(&[(1.0, None), (1.0, None)]));
    let with_key = |team, urgency| {
        move |new_request: &mut NewRequest| {
            (new_request.team, new_request.urgency, new_request.key) = (team, urgency, Some(9));
        }
    };
    scenario
        .enqueue_with(with_key(1, 0))
        .enqueue_with(with_key(0, 3))
        .enqueue(0, 100)
        .enqueue_with(with_key(0, 3));
    // Dispatching request 3 takes three steps, because two requests with its key precede it.
    for _ in 0..3 {
        let first = scenario.queues.first_of_key(3);
        scenario.queues.dispatch(ms(0), first);
        scenario.log(format!("request {first} is the first with the key of request 3"));
    }
    let first_log = scenario.take_log();
    let mut second_scenario = Scenario::new(one_organization(&[(1.0, None), (1.0, None)]));
    second_scenario.enqueue_with(with_key(1, 0)).enqueue_with(with_key(0, 3));
    let next = second_scenario.queues.next_fitting(|_| true);
    second_scenario.log(format!("the next fitting request is {next:?}"));
    expect![[r#"
        0     request 0 is the first with the key of request 3
        0     request 1 is the first with the key of request 3
        0     request 3 is the first with the key of request 3
        0     the next fitting request is Some(0)
    "#]]
    .assert_eq(&(first_log + &second_scenario.take_log()));
}
