//! Tests of graceful shutdown at SIGTERM.

use crate::harness::*;
use expect_test::expect;
use std::io::Read;
use std::process::Command;
use std::time::Duration;

/// Longer than the minimum time for which the process serves after SIGTERM. After that time, the process ends once no
/// request is open.
const LONGER_THAN_MIN_SERVING_TIME: Duration = Duration::from_millis(750);
/// Longer than the interval in which the router checks whether it may end.
const LONGER_THAN_SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The deadline of the settings, which limits the time of a graceful shutdown.
const SHUTDOWN_DEADLINE: Duration = Duration::from_millis(600);
/// A timeout that outlasts the graceful shutdown.
const RESTART_REQUEST_TIMEOUT: Duration = Duration::from_secs(600);

#[test]
fn graceful_shutdown_rejects_idempotent_and_fails_non_idempotent_requests() {
    let (mut router, mut client, mut engine) =
        start_with_one_engine("restart", &settings(CONNECT_TIMEOUT, SHUTDOWN_DEADLINE));
    client.send_request_within(RESTART_REQUEST_TIMEOUT, 1, "lookup");
    router.record_command(&mut engine);
    client.send_request_within(RESTART_REQUEST_TIMEOUT, 2, "post");
    router.record_command(&mut engine);
    router.signal("-TERM");
    let mut other_client = router.connect_client();
    let status = loop {
        let status = other_client.status(3);
        if status.contains("false") {
            break status;
        }
    };
    router.record(status).record_answers(&mut client, 2);
    let mut cancellations = [engine.next_command(), engine.next_command()];
    cancellations.sort();
    router.record(cancellations.join(", "));
    expect![[r#"
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        GET 0000000000000002 queue=post,mem=120,prio=2 select 1
        {"id":3,"jsonrpc":"2.0","result":{"serving":false}}
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":1,"jsonrpc":"2.0"}
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":2,"jsonrpc":"2.0"}
        DROP 0000000000000001, DROP 0000000000000002
        exit status Some(0): attempts_cancelled=2 requests_failed=1 requests_rejected=1
    "#]].assert_eq(&router.finish(&["requests_rejected", "requests_failed", "attempts_cancelled"]));
}

#[test]
fn repeated_sigterm_shuts_down_gracefully() {
    let mut router =
        RouterHarness::start("repeated-sigterm", 1, &settings(CONNECT_TIMEOUT, SHUTDOWN_DEADLINE));
    let kill_repeatedly = format!("while kill -TERM {} 2>/dev/null; do :; done", router.process.id());
    let mut signals = Command::new("sh").arg("-c").arg(kill_repeatedly).spawn().expect("a shell starts");
    router.log.read_to_string(&mut String::new()).expect("the log is UTF-8");
    let status = router.process.wait().expect("the process can be waited for");
    signals.wait().expect("the shell ends with the process");
    expect![[r#"Some(0)"#]].assert_eq(&format!("{:?}", status.code()));
}

/// At the time when the process may end, one request is unread in a client's socket, and one in a connection that was
/// not accepted yet. Guards against losing either request.
#[test]
fn graceful_shutdown_answers_unread_requests_and_pending_connections() {
    let (mut router, mut client, mut engine) = start_with_one_engine("last", &ordinary_settings());
    let mut known_client = router.connect_client();
    known_client.status(99);
    client.send_request(1, "lookup");
    router.record_next_call(&mut engine);
    router.signal("-TERM");
    router.wait_for_log(log_lines::COUNTERS);
    std::thread::sleep(LONGER_THAN_MIN_SERVING_TIME);
    let mut new_client = router.while_stopped(|router| {
        engine.send_result(1, ROWS);
        known_client.send_request(2, "lookup");
        let mut new_client = router.connect_client();
        new_client.send_request(3, "lookup");
        std::thread::sleep(LONGER_THAN_SHUTDOWN_CHECK_INTERVAL);
        new_client
    });
    router.record_further_calls(&mut engine, 2);
    router.record_answer(&mut client).record_answer(&mut known_client).record_answers(&mut new_client, 2);
    expect![[r#"
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        further calls: [2, 3]
        {"jsonrpc":"2.0","id":1,"result":{"data":"YQliCWMK"}}
        {"jsonrpc":"2.0","id":2,"result":{"data":"YQliCWMK"}}
        {"jsonrpc":"2.0","id":3,"result":{"data":"YQliCWMK"}}
        closed
        exit status Some(0): requests_succeeded=3
    "#]]
    .assert_eq(&router.finish(&["requests_succeeded", "requests_failed", "requests_rejected"]));
}
