//! Tests of the queues of teams: shares, urgency, timeouts and cancellations.

use crate::harness::*;
use emberflow_peer_protocol::client::ClientRequest;
use expect_test::expect;
use serde_json::json;
use std::time::{Duration, Instant};

/// An operator's file with a team whose budget is used up by one request.
const TEAM_WITH_BUDGET: &str = "{teams: {list: [{name: 'audit', share: 1, \
                                budget: {work_s: 1, per_s: 60, burst_s: 1}}]}}";

/// A timeout that expires in a team's queue.
const SHORT_TIMEOUT: Duration = Duration::from_millis(500);

#[test]
fn teams_share_capacity_and_urgent_requests_pass_queued_ones() {
    let (mut router, mut client, mut engine) =
        start_one_engine_with_operator_file("teams-share", &long_deadline_settings(), TWO_TEAMS);
    for id in 1..=4 {
        client.send(&large_request("posting", id, LONG_REQUEST_TIMEOUT));
    }
    client.send(&large_request("audit", 5, LONG_REQUEST_TIMEOUT));
    let urgent = ClientRequest { urgency: Some(3), ..large_request("audit", 6, LONG_REQUEST_TIMEOUT) };
    client.send(&urgent);
    client.send(&large_request("posting", 7, LONG_REQUEST_TIMEOUT));
    router.record_answer(&mut client);
    for _ in 0..6 {
        let id = router.record_next_call(&mut engine);
        router.record_result(&mut client, &mut engine, id, "1\t2\t3\n");
    }
    expect![[r#"
        {"error":{"code":-32011,"message":"bounced: a retry is harmless"},"id":7,"jsonrpc":"2.0"}
        GET 0000000000000001 queue=lookup,mem=6554,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"MQkyCTMK"}}
        GET 0000000000000006 queue=lookup,mem=6554,prio=2 select 1
        {"jsonrpc":"2.0","id":6,"result":{"data":"MQkyCTMK"}}
        GET 0000000000000005 queue=lookup,mem=6554,prio=2 select 1
        {"jsonrpc":"2.0","id":5,"result":{"data":"MQkyCTMK"}}
        GET 0000000000000002 queue=lookup,mem=6554,prio=2 select 1
        {"jsonrpc":"2.0","id":2,"result":{"data":"MQkyCTMK"}}
        GET 0000000000000003 queue=lookup,mem=6554,prio=2 select 1
        {"jsonrpc":"2.0","id":3,"result":{"data":"MQkyCTMK"}}
        GET 0000000000000004 queue=lookup,mem=6554,prio=2 select 1
        {"jsonrpc":"2.0","id":4,"result":{"data":"MQkyCTMK"}}
        exit status Some(0): requests_rejected=1 requests_rejected_at_admission=1 requests_succeeded=6
    "#]]
    .assert_eq(&router.finish(&[
        "requests_succeeded",
        "requests_rejected",
        "requests_rejected_at_admission",
    ]));
}

#[test]
fn queued_requests_of_teams_are_rejected_in_time_cancelled_and_answered_at_shutdown() {
    let (mut router, mut client, mut engine) =
        start_one_engine_with_operator_file("teams-queue", &long_deadline_settings(), TWO_TEAMS);
    client.send(&large_request("audit", 1, LONG_REQUEST_TIMEOUT));
    router.record(engine.next_call());
    // The scheduler queues one more request, and the team's queue the others.
    client.send(&large_request("audit", 2, LONG_REQUEST_TIMEOUT));
    client.send(&large_request("audit", 3, SHORT_TIMEOUT));
    client.send(&large_request("audit", 4, LONG_REQUEST_TIMEOUT));
    client.cancel(4);
    let sent_at = Instant::now();
    router.record_answer(&mut client);
    assert!(sent_at.elapsed() < SHORT_TIMEOUT, "rejected before its timeout");
    let invalid_parameters = [
        json!({"team": 7, "urgency": 0}),
        json!({"team": "a", "urgency": 4}),
        json!({"team": "a", "urgency": -1}),
        json!({"team": "a", "urgency": "x"}),
        json!({"team": "x".repeat(129)}),
    ];
    for parameters in invalid_parameters {
        client.send_request_with(&parameters, 8, "lookup");
        router.record_answer(&mut client);
    }
    // Graceful shutdown answers the requests in a team's queue like those in the scheduler's queue.
    client.send(&large_request("nobody", 5, LONG_REQUEST_TIMEOUT));
    router.signal("-TERM");
    let mut answers = [client.read_line(), client.read_line(), client.read_line()];
    answers.sort();
    router.record(answers.join("\n"));
    expect![[r#"
        GET 0000000000000001 queue=lookup,mem=6554,prio=2 select 1
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":3,"jsonrpc":"2.0"}
        {"error":{"code":-32602,"message":"`team` is not text"},"id":8,"jsonrpc":"2.0"}
        {"error":{"code":-32602,"message":"`urgency` is not 0, 1, 2 or 3"},"id":8,"jsonrpc":"2.0"}
        {"error":{"code":-32602,"message":"`urgency` is not 0, 1, 2 or 3"},"id":8,"jsonrpc":"2.0"}
        {"error":{"code":-32602,"message":"`urgency` is not 0, 1, 2 or 3"},"id":8,"jsonrpc":"2.0"}
        {"error":{"code":-32602,"message":"`team` is over 128 bytes"},"id":8,"jsonrpc":"2.0"}
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":1,"jsonrpc":"2.0"}
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":2,"jsonrpc":"2.0"}
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":5,"jsonrpc":"2.0"}
        exit status Some(0): requests_cancelled=1 requests_rejected=4 held_requests=0
    "#]].assert_eq(&router.finish(&["requests_rejected", "requests_cancelled", "held_requests"]));
}

/// Two requests are in a team's queue. One client shuts down its sending side, and the other closes.
#[test]
fn a_request_queued_for_its_team_is_rejected_once_its_client_disconnected() {
    let settings = long_queueing_settings();
    let mut router =
        RouterHarness::start_with_operator_file("team-disconnected", 1, &settings, TEAM_WITH_BUDGET);
    let mut clients = router.connect_clients(3);
    let mut engine = router.engine(0);
    for (client, id) in clients.iter_mut().zip(1..) {
        client.send(&large_request("audit", id, LONG_REQUEST_TIMEOUT));
        client.status(99);
    }
    let first = router.record_next_call(&mut engine);
    router.while_stopped(|_| {
        engine.send_result(first, ROWS);
        drop(clients.pop());
        clients[1].shut_down_sending();
    });
    router.record_answer(&mut clients[0]).record_answer(&mut clients[1]);
    router.record_further_calls(&mut engine, 0);
    expect![[r#"
        GET 0000000000000001 queue=lookup,mem=6554,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"YQliCWMK"}}
        {"error":{"code":-32011,"message":"bounced: a retry is harmless"},"id":2,"jsonrpc":"2.0"}
        further calls: []
        exit status Some(0): requests_rejected=2 requests_succeeded=1
    "#]]
    .assert_eq(&router.finish(&["requests_rejected", "requests_succeeded", "requests_cancelled"]));
}

/// Requests in a team's queue are cancelled at the same moment as capacity for them is freed.
#[test]
fn a_request_queued_for_its_team_is_not_sent_once_it_is_cancelled() {
    let (mut router, mut client, mut engine) =
        start_one_engine_with_operator_file("team-cancelled", &long_queueing_settings(), TEAM_WITH_BUDGET);
    for id in 1..=3 {
        client.send(&large_request("audit", id, LONG_REQUEST_TIMEOUT));
        client.status(99);
    }
    let first = router.record_next_call(&mut engine);
    router.while_stopped(|_| {
        engine.send_result(first, ROWS);
        client.send_bytes(&[cancellation_line(2), cancellation_line(3)].concat());
    });
    router.record_answer(&mut client).record_further_calls(&mut engine, 0);
    expect![[r#"
        GET 0000000000000001 queue=lookup,mem=6554,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"YQliCWMK"}}
        further calls: []
        exit status Some(0): requests_cancelled=2 requests_succeeded=1
    "#]]
    .assert_eq(&router.finish(&["requests_rejected", "requests_succeeded", "requests_cancelled"]));
}
