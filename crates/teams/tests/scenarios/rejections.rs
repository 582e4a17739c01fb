//! Rejections and wait estimates.

use crate::harness::{Scenario, ms, one_organization};
use emberflow_teams::Outcome;
use expect_test::expect;

/// Dispatches a request of 100 ms every 100 ms, so that the queues can estimate waits.
fn dispatch_at_a_steady_rate(scenario: &mut Scenario, count: u64) {
    for step in 1..=count {
        scenario.advance_to(step * 100).enqueue(0, 100);
        let request = scenario.next_request - 1;
        assert!(scenario.queues.dispatch(ms(scenario.now_ms), request), "request {request} waits");
        scenario.settle(request, Outcome::Measured(ms(100)));
    }
}

#[test]
fn rejections_state_the_time_to_retry_after() {
    let mut scenario = Scenario::new(one_organization(&[(1.0, None)]));
    dispatch_at_a_steady_rate(&mut scenario, 20);
    for _ in 0..6 {
        scenario.enqueue(0, 100);
    }
    let wait = scenario.queues.estimate_wait(ms(scenario.now_ms), 24);
    scenario.log(format!("{wait:?}"));
    scenario.queues.remove(ms(scenario.now_ms), 24);
    scenario
        .enqueue_with(|new_request| new_request.deadline = ms(300))
        .enqueue_with(|new_request| new_request.deadline = ms(600));
    expect![[r#"
        2000  request 25 of team 0 is rejected, QueueFull, retry after 500 ms
        2000  Some(WaitEstimate { low: 212ms, median: 400ms, high: 776ms, position: 4 })
        2000  request 26 of team 0 is rejected, DeadlineTooShort, retry after 200 ms
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn repeated_retries_while_the_queue_is_full_gain_no_service() {
    let mut scenario = Scenario::new(one_organization(&[(1.0, None), (1.0, None)]));
    for _ in 0..5 {
        scenario.enqueue(0, 100).enqueue(1, 100);
    }
    for now_ms in 1..=100 {
        scenario.advance_to(now_ms).enqueue(0, 100);
    }
    let rejected = scenario.take_log().lines().count();
    scenario.log(format!("{rejected} requests are rejected")).dispatch(4);
    expect![[r#"
        100   100 requests are rejected
        100   request 0 is dispatched
        100   request 1 is dispatched
        100   request 2 is dispatched
        100   request 3 is dispatched
    "#]]
    .assert_eq(&scenario.take_log());
}
