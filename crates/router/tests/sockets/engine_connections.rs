//! Tests of connections to engines: health checks before use, resets, malformed input, and unwritten calls.

use crate::harness::*;
use emberflow_peer_protocol::engine::EngineReply;
use emberflow_peer_protocol::resp::encode_array;
use expect_test::expect;
use std::net::SocketAddr;
use std::time::Duration;

/// The connect timeout, after which an idle connection needs a health check.
const SHORT_CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time after which an idle connection needs a health check under [`SHORT_CONNECT_TIMEOUT`].
const LONGER_THAN_SHORT_CONNECT_TIMEOUT: Duration = Duration::from_millis(1100);
/// The connect timeout of the test in which a health check must not expire.
const MEDIUM_CONNECT_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time after which an idle connection needs a health check under [`MEDIUM_CONNECT_TIMEOUT`].
const LONGER_THAN_MEDIUM_CONNECT_TIMEOUT: Duration = Duration::from_millis(2100);
/// Number of bytes of an engine's reply that is sent only in part.
const INCOMPLETE_REPLY_BYTES: usize = 6;

#[test]
fn a_reset_fails_a_sent_call_and_a_refused_connection_rejects_it() {
    let (mut router, mut client, mut engine) = start_with_one_engine("reset", &ordinary_settings());
    router.record_forwarded(&mut client, &mut engine, 1, "post");
    drop(engine);
    router.record_answer(&mut client);
    expect![[r#"
        GET 0000000000000001 queue=post,mem=120,prio=2 select 1
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":1,"jsonrpc":"2.0"}
        exit status Some(0): attempts_broken=1
    "#]]
    .assert_eq(&router.finish(&["attempts_broken", "attempts_unreachable"]));

    let mut router_without_engine = RouterHarness::start("refused", 0, &ordinary_settings());
    let mut rejected_client = router_without_engine.connect_client();
    rejected_client.send_request(1, "post");
    router_without_engine.record_answer(&mut rejected_client);
    expect![[r#"
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":1,"jsonrpc":"2.0"}
        exit status Some(0): attempts_unreachable=3
    "#]].assert_eq(&router_without_engine.finish(&["attempts_broken", "attempts_unreachable"]));
}

#[test]
fn an_idle_connection_must_answer_a_ping_before_it_is_used() {
    let (mut router, mut client, mut engine) =
        start_with_one_engine("unresponsive", &settings(SHORT_CONNECT_TIMEOUT, REQUEST_TIMEOUT));
    router.record_served(&mut client, &mut engine, 1, "lookup", "x\t\t\n");
    std::thread::sleep(LONGER_THAN_SHORT_CONNECT_TIMEOUT);
    client.send_request(2, "lookup");
    router.record_commands(&mut engine, 3);
    router.record_result(&mut client, &mut engine, 2, "y\t\t\n");
    expect![[r#"
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"eAkJCg=="}}
        PING 0
        closed
        GET 0000000000000002 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":2,"result":{"data":"eQkJCg=="}}
        exit status Some(0): connections_dialled=2 connections_silent=1
    "#]]
    .assert_eq(&router.finish(&["connections_silent", "attempts_unreachable", "connections_dialled"]));
}

#[test]
fn a_call_waiting_for_a_connection_is_not_sent_once_its_engine_drains() {
    let (mut router, mut client, mut engine) =
        start_with_one_engine("waiting", &settings(MEDIUM_CONNECT_TIMEOUT, REQUEST_TIMEOUT));
    let mut discovery = router.accept_discovery();
    let address = router.engine_address(0);
    router.record_served(&mut client, &mut engine, 1, "lookup", "x\t\t\n");
    std::thread::sleep(LONGER_THAN_MEDIUM_CONNECT_TIMEOUT);
    discovery.send_heartbeat(1);
    router.record_forwarded(&mut client, &mut engine, 2, "post");
    discovery.send_changes(2, &[draining_engine(0, address)]);
    router.record_answer(&mut client);
    engine.send(0, EngineReply::Pong);
    let transcript = router.finish(&["attempts_not_sent", "connections_silent"]);
    expect![[r#"
        discovery dialled after event 1
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"eAkJCg=="}}
        PING 0
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":2,"jsonrpc":"2.0"}
        exit status Some(0): attempts_not_sent=1
        closed
    "#]].assert_eq(&format!("{transcript}{}\n", engine.next_command()));
}

#[test]
fn malformed_engine_input_closes_the_connection_and_fails_its_attempts() {
    let (mut router, mut client, mut engine) = start_with_one_engine("engine-input", &ordinary_settings());
    let malformed_messages = [
        ("DANCE", "-"),
        ("HIT", "pages=0"),
        ("HIT", "pages=x"),
        ("HIT", "pages=100000"),
        ("INFO", "detail=advance,v=much"),
        ("FAULT", "use=util:high"),
    ];
    serve_request(&mut client, &mut engine, 1, "lookup", "");
    for (id, (reply_type, fields)) in (100..).step_by(10).zip(malformed_messages) {
        client.send_request(id, "post");
        engine.next_call();
        engine.send_raw_reply(id, reply_type, fields);
        router.record_answer(&mut client);
        // Successful requests keep the engine from being ejected as an outlier.
        for successful in id + 1..id + 5 {
            serve_request(&mut client, &mut engine, successful, "lookup", "");
        }
    }
    expect![[r#"
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":100,"jsonrpc":"2.0"}
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":110,"jsonrpc":"2.0"}
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":120,"jsonrpc":"2.0"}
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":130,"jsonrpc":"2.0"}
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":140,"jsonrpc":"2.0"}
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":150,"jsonrpc":"2.0"}
        exit status Some(0): attempts_broken=6 engine_input_malformed=6 requests_failed=6
    "#]]
    .assert_eq(&router.finish(&["engine_input_malformed", "attempts_broken", "requests_failed"]));
}

#[test]
fn a_call_not_written_before_a_reset_moves_to_another_connection() {
    let (mut router, mut client, mut engine) =
        start_with_one_engine("reassigned", &settings(SHORT_CONNECT_TIMEOUT, REQUEST_TIMEOUT));
    serve_first_request(&mut client, &mut engine, "post");
    std::thread::sleep(LONGER_THAN_SHORT_CONNECT_TIMEOUT);
    router.record_forwarded(&mut client, &mut engine, 2, "post");
    engine.close_connection_of(1);
    router.record_command(&mut engine);
    router.record_result(&mut client, &mut engine, 2, "y\t\t\n");
    expect![[r#"
        PING 0
        GET 0000000000000002 queue=post,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":2,"result":{"data":"eQkJCg=="}}
        exit status Some(0): attempts_succeeded=2 connections_lost=1
    "#]]
    .assert_eq(&router.finish(&["connections_lost", "attempts_unreachable", "attempts_succeeded"]));
}

#[test]
fn a_response_sent_before_the_engine_closed_counts() {
    let (mut router, mut client, mut engine) = start_with_one_engine("closed", &ordinary_settings());
    router.record_forwarded(&mut client, &mut engine, 1, "post");
    router.record_forwarded(&mut client, &mut engine, 2, "post");
    engine.send_result(1, "done\t\t\n");
    drop(engine);
    router.record_answers(&mut client, 2);
    expect![[r#"
        GET 0000000000000001 queue=post,mem=120,prio=2 select 1
        GET 0000000000000002 queue=post,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQkJCg=="}}
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":2,"jsonrpc":"2.0"}
        exit status Some(0): attempts_broken=1 attempts_succeeded=1
    "#]]
    .assert_eq(&router.finish(&["attempts_succeeded", "attempts_broken"]));
}

/// Disconnects the client of a call, or drains its engine. Returns the client if it can still receive its answer.
type DisconnectOrDrain = fn(&mut TestDiscovery, TestClient, SocketAddr) -> Option<TestClient>;

/// Sends a call that waits for the health check of an idle connection. Runs `action` at the same moment as the engine
/// answers the health check, so that the router finds both in one iteration. Returns the outcome of the call.
fn run_while_ping_is_answered(name: &str, action: DisconnectOrDrain) -> String {
    let (mut router, mut client, mut engine) =
        start_with_one_engine(name, &settings(SHORT_CONNECT_TIMEOUT, REQUEST_TIMEOUT));
    let mut discovery = router.accept_discovery();
    let address = router.engine_address(0);
    serve_first_request(&mut client, &mut engine, "lookup");
    std::thread::sleep(LONGER_THAN_SHORT_CONNECT_TIMEOUT);
    discovery.send_heartbeat(1);
    client.send_request(2, "post");
    assert_eq!(engine.next_command(), "PING 0");
    let remaining = router.while_stopped(|_| {
        engine.send_on(0, 0, EngineReply::Pong);
        action(&mut discovery, client, address)
    });
    let is_rejected = remaining.is_some_and(|mut reader| reader.read_line().contains("-32011"));
    let further_calls = engine.answer_calls(0);
    let transcript = router.finish(&["attempts_not_sent"]);
    format!("{name}: further calls {further_calls:?}, rejected {is_rejected}; {transcript}")
}

/// The client shuts down its sending side or closes, or the engine drains or is missing from a complete list.
#[test]
fn a_waiting_call_is_not_sent_after_its_client_disconnects_or_its_engine_drains() {
    let outcomes = [
        run_while_ping_is_answered("ping-half-close", |_, client, _| {
            client.shut_down_sending();
            Some(client)
        }),
        run_while_ping_is_answered("ping-close", |_, client, _| {
            drop(client);
            None
        }),
        run_while_ping_is_answered("ping-drain", |discovery, client, address| {
            discovery.send_changes(2, &[draining_engine(0, address)]);
            Some(client)
        }),
        run_while_ping_is_answered("ping-complete-list", |discovery, client, _| {
            discovery.send(&empty_list_frame(2));
            Some(client)
        }),
    ];
    expect![[r#"
        ping-half-close: further calls [], rejected true; discovery dialled after event 1
        exit status Some(0): attempts_not_sent=1
        ping-close: further calls [], rejected false; discovery dialled after event 1
        exit status Some(0): attempts_not_sent=1
        ping-drain: further calls [], rejected true; discovery dialled after event 1
        exit status Some(0): attempts_not_sent=1
        ping-complete-list: further calls [], rejected true; discovery dialled after event 1
        exit status Some(0): attempts_not_sent=1
    "#]]
    .assert_eq(&outcomes.concat());
}

/// A connection is reset before its waiting call was written, and the client half-closes at the same moment.
#[test]
fn a_call_on_a_reset_connection_is_not_moved_once_its_client_half_closed() {
    let (mut router, mut client, mut engine) =
        start_with_one_engine("not-moved", &settings(SHORT_CONNECT_TIMEOUT, REQUEST_TIMEOUT));
    client.send_request(1, "lookup");
    router.record_next_call(&mut engine);
    engine.send_result(1, ROWS);
    client.read_line();
    std::thread::sleep(LONGER_THAN_SHORT_CONNECT_TIMEOUT);
    router.record_forwarded(&mut client, &mut engine, 2, "lookup");
    router.while_stopped(|_| {
        engine.close_connection_of(1);
        client.shut_down_sending();
    });
    let is_rejected = client.read_line().contains("-32011");
    router.record(format!("rejected: {is_rejected}")).record_further_calls(&mut engine, 0);
    expect![[r#"
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        PING 0
        rejected: true
        further calls: []
        exit status Some(0): attempts_not_sent=1 connections_dialled=1
    "#]]
    .assert_eq(&router.finish(&["attempts_not_sent", "connections_dialled"]));
}

/// At the same moment, an engine drains, its connection with a written call is reset, and the router gets SIGTERM.
#[test]
fn a_reset_during_drain_and_shutdown_fails_a_non_idempotent_request_once() {
    let mut router = RouterHarness::start("reset-drain-shutdown", 2, &ordinary_settings());
    let mut discovery = router.accept_discovery();
    let mut client = router.connect_client();
    client.send_request(1, "post");
    let mut engines = router.two_engines_by_first_command();
    engines[0].next_call();
    let drain = draining_engine(router.endpoint_id_of(&engines[0]), engines[0].address());
    router.while_stopped(|router| {
        engines[0].send_bytes(0, &encode_array(&[b"half an answer"])[..INCOMPLETE_REPLY_BYTES]);
        engines[0].close_connection_of(1);
        discovery.send_changes(2, &[drain]);
        router.signal("-TERM");
    });
    router.record_answer(&mut client);
    for engine in &mut engines {
        router.record_further_calls(engine, 0);
    }
    expect![[r#"
        discovery dialled after event 1
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":1,"jsonrpc":"2.0"}
        further calls: []
        further calls: []
        exit status Some(0): attempts_sent=1 requests_failed=1
    "#]]
    .assert_eq(&router.finish(&["attempts_sent", "requests_failed"]));
}
