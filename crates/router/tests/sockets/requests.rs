//! Tests of serving requests: attempts, retries, results and deadlines.

use crate::harness::*;
use emberflow_peer_protocol::engine::{EngineReply, Progress, UsedResources};
use emberflow_peer_protocol::request_id;
use expect_test::expect;
use serde_json::json;
use std::time::Duration;

#[test]
fn serves_a_request_page_by_page_and_shuts_down_gracefully() {
    let (mut router, mut client, mut engine) = start_with_one_engine("serve", &ordinary_settings());
    router.record(client.status(1));
    router.record_forwarded(&mut client, &mut engine, 2, "lookup");
    engine.send(2, EngineReply::Progress(Some(Progress::FractionDone(0.5))));
    engine.send_result(9, "of an unknown request");
    let used = Some(UsedResources { work_ms: 48.0, memory_mb: 90.0 });
    engine.send(2, EngineReply::Result { pages: 3, used, rows: ROWS.as_bytes() });
    router.record_commands(&mut engine, 2);
    engine.send_page(2, 2, "g\th\ti\n");
    engine.send_page(2, 1, "d\te\tf\n");
    router.record_answer(&mut client);
    let counters = [
        "requests_accepted",
        "requests_succeeded",
        "attempts_sent",
        "progress_updates",
        "engine_answers_without_attempt",
    ];
    expect![[r#"
        {"id":1,"jsonrpc":"2.0","result":{"serving":true}}
        GET 0000000000000002 queue=lookup,mem=120,prio=2 select 1
        PAGE 0000000000000002 1
        PAGE 0000000000000002 2
        {"jsonrpc":"2.0","id":2,"result":{"data":"YQliCWMKZAllCWYKZwloCWkK"}}
        exit status Some(0): attempts_sent=1 engine_answers_without_attempt=1 progress_updates=1 requests_accepted=1 requests_succeeded=1
    "#]]
    .assert_eq(&router.finish(&counters));
}

#[test]
fn an_overloaded_engine_is_retried_elsewhere_and_a_fault_fails_the_request() {
    let (mut router, mut client, mut engines) = start_with_two_engines("full");
    router.record_command(&mut engines[0]);
    engines[0].send_overloaded(1);
    router.record_command(&mut engines[1]);
    engines[1].send(1, EngineReply::Failed);
    router.record_answer(&mut client);
    expect![[r#"
        GET 0000000000000001 queue=post,mem=120,prio=2 select 1
        GET 0000000000000001 queue=post,mem=120,prio=2 select 1
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":1,"jsonrpc":"2.0"}
        exit status Some(0): attempts_failed=1 attempts_overloaded=1 requests_failed=1
    "#]]
    .assert_eq(&router.finish(&["attempts_overloaded", "attempts_failed", "requests_failed"]));
}

#[test]
fn a_timed_out_attempt_is_cancelled_and_its_late_response_ignored() {
    let (mut router, mut client, mut engine) = start_with_one_engine("timed-out", &ordinary_settings());
    client.send_request_within(Duration::from_millis(1500), 1, "lookup");
    router.record_commands(&mut engine, 2).record_answer(&mut client);
    engine.send_result(1, "late\t\t\n");
    router.record_served(&mut client, &mut engine, 2, "lookup", "in time\t\t\n");
    expect![[r#"
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        DROP 0000000000000001
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":1,"jsonrpc":"2.0"}
        GET 0000000000000002 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":2,"result":{"data":"aW4gdGltZQkJCg=="}}
        exit status Some(0): attempts_timed_out=1 engine_answers_without_attempt=1 requests_rejected=1
    "#]].assert_eq(&router.finish(&[
        "attempts_timed_out",
        "requests_rejected",
        "engine_answers_without_attempt",
    ]));
}

#[test]
fn a_retry_avoids_the_connection_that_may_still_answer_an_earlier_attempt() {
    let (mut router, mut client, mut engine) = start_with_one_engine("late-response", &ordinary_settings());
    router.record_forwarded(&mut client, &mut engine, 1, "lookup");
    engine.send_overloaded(1);
    router.record_command(&mut engine);
    // A stalled first attempt is cancelled and retried at the same engine, since there is no other.
    router.record_forwarded(&mut client, &mut engine, 2, "lookup");
    let first_connection = engine.connection_of(2);
    engine.send_stalled(2);
    router.record_command(&mut engine);
    engine.send_on(first_connection, 2, EngineReply::Overloaded);
    router.record_command(&mut engine);
    router.record_result(&mut client, &mut engine, 2, "from the second attempt\t\t\n");
    expect![[r#"
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        GET 0000000000000002 queue=lookup,mem=120,prio=2 select 1
        DROP 0000000000000002
        GET 0000000000000002 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":2,"result":{"data":"ZnJvbSB0aGUgc2Vjb25kIGF0dGVtcHQJCQo="}}
        exit status Some(0): attempts_cancelled=2 connections_dialled=3 engine_answers_without_attempt=1
    "#]]
    .assert_eq(&router.finish(&[
        "attempts_cancelled",
        "engine_answers_without_attempt",
        "connections_dialled",
    ]));
}

#[test]
fn repeated_and_unexpected_responses_leave_their_connection_usable() {
    let limits = ResourceLimits::with_descriptors(4);
    let (mut router, mut client, mut engine) =
        start_one_engine_with_limits(limits, "repeated", &ordinary_settings());
    client.send_request(1, "post");
    client.send_request(2, "post");
    router.record_commands(&mut engine, 2);
    engine.send_result(9, "unknown\n");
    engine.send_page(1, 1, "not requested\n");
    engine.send_first_page(1, 2, "a\t\t\n");
    engine.send_first_page(1, 2, "a\t\t\n");
    engine.send_page(1, 7, "beyond\n");
    engine.send_page(1, 1, "b\t\t\n");
    engine.send_page(1, 1, "b\t\t\n");
    engine.send_result(2, "c\t\t\n");
    router.record_answers(&mut client, 2);
    expect![[r#"
        GET 0000000000000001 queue=post,mem=120,prio=2 select 1
        GET 0000000000000002 queue=post,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"YQkJCmIJCQo="}}
        {"jsonrpc":"2.0","id":2,"result":{"data":"YwkJCg=="}}
        exit status Some(0): connections_dialled=1 engine_answers_repeated=3 engine_answers_without_attempt=2
    "#]]
    .assert_eq(&router.finish(&[
        "engine_answers_repeated",
        "engine_answers_without_attempt",
        "connections_dialled",
        "connections_lost",
    ]));
}

#[test]
fn malformed_results_are_retried_if_idempotent_and_never_forwarded() {
    let (mut router, mut client, mut engine) =
        start_with_one_engine("malformed-result", &ordinary_settings());
    for (id, body) in [(1, "noise"), (2, "two\tcolumns\n"), (3, "a\tb\tc\nand a half")] {
        client.send_request(id, "lookup");
        engine.next_command();
        engine.send_result(id, body);
        router.record_commands(&mut engine, 2);
        router.record_result(&mut client, &mut engine, id, ROWS);
    }
    client.send_request(4, "post");
    engine.next_command();
    router.record_result(&mut client, &mut engine, 4, "noise");
    expect![[r#"
        closed
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"YQliCWMK"}}
        closed
        GET 0000000000000002 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":2,"result":{"data":"YQliCWMK"}}
        closed
        GET 0000000000000003 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":3,"result":{"data":"YQliCWMK"}}
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":4,"jsonrpc":"2.0"}
        exit status Some(0): attempts_broken=4 engine_input_malformed=4 requests_failed=1
    "#]]
    .assert_eq(&router.finish(&["engine_input_malformed", "attempts_broken", "requests_failed"]));
}

/// Returns an encoded reply whose array announces three parts in place of four.
fn with_wrong_part_count(reply: EngineReply<'_>, id: u64) -> Vec<u8> {
    let mut bytes = reply.encode(&request_id(id));
    bytes[1] = b'3';
    bytes
}

/// Guards against results that are served with none or half of their rows, because the array or the fields of a reply
/// were spoilt.
#[test]
fn results_in_spoilt_replies_are_retried_if_idempotent_and_never_served_in_part() {
    let (mut router, mut client, mut engine) = start_with_one_engine("spoilt-result", &ordinary_settings());
    let one_page = EngineReply::Result { pages: 1, used: None, rows: ROWS.as_bytes() };
    let second_page = EngineReply::Page { page: 1, rows: ROWS.as_bytes() };
    for id in 1..=3 {
        client.send_request(id, "lookup");
        engine.next_command();
        match id {
            1 => engine.send_bytes(engine.connection_of(id), &with_wrong_part_count(one_page, id)),
            2 => engine.send_raw_reply(id, "HIT", "p#\u{1}z~=2"),
            _ => {
                engine.send_first_page(id, 2, ROWS);
                engine.next_command();
                engine.send_bytes(engine.connection_of(id), &with_wrong_part_count(second_page, id));
            }
        }
        router.wait_for_log(log_lines::ENGINE_INPUT_MALFORMED);
        router.record_commands(&mut engine, 2);
        router.record_result(&mut client, &mut engine, id, ROWS);
    }
    client.send_request(4, "post");
    engine.next_command();
    engine.send_bytes(engine.connection_of(4), &with_wrong_part_count(one_page, 4));
    router.record_answer(&mut client);
    expect![[r#"
        closed
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"YQliCWMK"}}
        closed
        GET 0000000000000002 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":2,"result":{"data":"YQliCWMK"}}
        closed
        GET 0000000000000003 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":3,"result":{"data":"YQliCWMK"}}
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":4,"jsonrpc":"2.0"}
        exit status Some(0): attempts_broken=4 engine_input_malformed=4 requests_failed=1
    "#]]
    .assert_eq(&router.finish(&["engine_input_malformed", "attempts_broken", "requests_failed"]));
}

#[test]
fn truncated_and_missing_responses_are_detected_on_their_connection_and_retried() {
    let (mut router, mut client, mut engine) =
        start_with_one_engine("truncated", &settings(Duration::from_millis(300), REQUEST_TIMEOUT));
    client.send_request(1, "lookup");
    engine.next_call();
    let truncated = b"*4\r\n$16\r\n00000";
    engine.send_bytes(engine.connection_of(1), truncated);
    engine.next_call();
    router.record_result(&mut client, &mut engine, 1, ROWS);
    client.send_request(2, "lookup");
    engine.next_call();
    engine.send_first_page(2, 2, ROWS);
    engine.next_call();
    router.record_result(&mut client, &mut engine, 2, "d\te\tf\n");
    client.send_request(3, "lookup");
    engine.next_call();
    engine.next_call();
    router.record_result(&mut client, &mut engine, 3, "g\th\ti\n");
    expect![[r#"
        {"jsonrpc":"2.0","id":1,"result":{"data":"YQliCWMK"}}
        {"jsonrpc":"2.0","id":2,"result":{"data":"ZAllCWYK"}}
        {"jsonrpc":"2.0","id":3,"result":{"data":"ZwloCWkK"}}
        exit status Some(0): attempts_broken=2 attempts_timed_out=1 engine_input_cut_short=1
    "#]]
    .assert_eq(&router.finish(&["engine_input_cut_short", "attempts_timed_out", "attempts_broken"]));
}

#[test]
fn requests_with_one_subject_run_one_at_a_time_in_order() {
    let ordered = ordinary_settings().replace(r#""name":"post""#, r#""keepOrder":true,"name":"post""#);
    let (mut router, mut client, mut engine) = start_with_one_engine("order", &ordered);
    for (id, subject) in [(1, "a"), (2, "a"), (3, "b")] {
        client.send_request_with(&json!({"subject": subject}), id, "post");
        if id != 2 {
            router.record_command(&mut engine);
        }
    }
    engine.send_result(1, "x\t\t\n");
    router.record_answer(&mut client).record_command(&mut engine);
    expect![[r#"
        GET 0000000000000001 queue=post,mem=120,prio=2 select 1
        GET 0000000000000003 queue=post,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"eAkJCg=="}}
        GET 0000000000000002 queue=post,mem=120,prio=2 select 1
        exit status Some(0): requests_failed=2 requests_succeeded=1
    "#]]
    .assert_eq(&router.finish(&["requests_succeeded", "requests_failed"]));
}

/// The router reads the engine's response only after the client's deadline. A non-idempotent request is neither retried
/// nor answered twice.
#[test]
fn a_response_read_together_with_the_expired_deadline_gives_one_answer() {
    let (mut router, mut client, mut engine) = start_with_one_engine("late-deadline", &ordinary_settings());
    client.send_request_within(Duration::from_millis(700), 1, "post");
    router.record_next_call(&mut engine);
    router.while_stopped(|_| {
        engine.send_result(1, ROWS);
        std::thread::sleep(Duration::from_millis(800));
    });
    router.record_answer(&mut client);
    router.record(client.status(9)).record_further_calls(&mut engine, 0);
    expect![[r#"
        GET 0000000000000001 queue=post,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"YQliCWMK"}}
        {"id":9,"jsonrpc":"2.0","result":{"serving":true}}
        further calls: []
        exit status Some(0): requests_succeeded=1
    "#]]
    .assert_eq(&router.finish(&["requests_succeeded", "requests_failed"]));
}

/// Without hedged requests, two attempts must not run at once, although the cancellation of the first and the retry may
/// be sent over two connections, and may arrive in either order.
#[test]
fn a_cancelled_attempt_is_retried_once_its_engine_acknowledged_the_cancellation() {
    let without_hedging = settings(Duration::from_secs(1), LONG_REQUEST_TIMEOUT)
        .replace("\"mostTries\":3", "\"mostTries\":3,\"mayDuplicate\":false");
    let (mut router, mut client, mut engine) = start_with_one_engine("acknowledged", &without_hedging);
    client.send_request_within(LONG_REQUEST_TIMEOUT, 1, "lookup");
    router.record_next_call(&mut engine);
    engine.send_stalled(1);
    router.record_commands(&mut engine, 2);
    let early = engine.has_command_within(Duration::from_millis(100));
    router.record(format!("retried before the acknowledgement: {early}"));
    engine.send(1, EngineReply::Pong);
    router.record_next_call(&mut engine);
    engine.send_stalled(1);
    router.while_stopped(|_| engine.send_result(1, ROWS));
    router.record_answer(&mut client);
    // The connection of an engine that does not acknowledge is closed before the retry.
    client.send_request_within(LONG_REQUEST_TIMEOUT, 2, "lookup");
    router.record_next_call(&mut engine);
    engine.send_stalled(2);
    router.record_commands(&mut engine, 3);
    router.record_next_call(&mut engine);
    router.record_result(&mut client, &mut engine, 2, ROWS);
    expect![[r#"
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        DROP 0000000000000001
        PING 0000000000000001
        retried before the acknowledgement: false
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"YQliCWMK"}}
        GET 0000000000000002 queue=lookup,mem=120,prio=2 select 1
        DROP 0000000000000002
        PING 0000000000000002
        closed
        GET 0000000000000002 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":2,"result":{"data":"YQliCWMK"}}
        exit status Some(0): attempts_cancelled=2 attempts_cancelled_before_retry=2 connections_silent=1
    "#]]
    .assert_eq(&router.finish(&[
        "attempts_cancelled_before_retry",
        "attempts_cancelled",
        "connections_silent",
    ]));
}

/// A process that is suspended while it polls reads several lines late. The deadline of each counts from the earliest
/// time at which the line can have arrived, so that no call carries more time than its client has left.
#[test]
fn deadlines_of_lines_read_late_count_from_their_earliest_arrival() {
    /// Time after each request for which the process stays suspended.
    const PAUSE: Duration = Duration::from_millis(300);
    /// Tolerance of the comparison of the times left.
    const SLACK: Duration = Duration::from_millis(150);
    let (router, mut client, mut engine) = start_with_one_engine("late-wake-up", &ordinary_settings());
    router.wait_until_asleep();
    router.stop();
    for request in [1, 2] {
        client.send_request(request, "lookup");
        std::thread::sleep(PAUSE);
    }
    router.resume();
    engine.next_call();
    engine.next_call();
    let sent_requests = 2;
    let client_time_left = REQUEST_TIMEOUT - PAUSE * sent_requests;
    let call_time_left = engine.time_left_of(1);
    assert!(
        call_time_left <= client_time_left + SLACK,
        "the call carries {call_time_left:?}, the client has {client_time_left:?} left"
    );
}
