//! Tests of conditions that held when the scheduler decided on an attempt, and that lapse before its call is written.

use crate::harness::*;
use emberflow_peer_protocol::engine::EngineReply;
use expect_test::expect;
use serde_json::json;
use std::time::{Duration, Instant};

/// Time for which engines remember an idempotency key.
const KEY_WINDOW: Duration = Duration::from_millis(3000);
/// The connect timeout, which is also the longest time that an engine may take to answer a health check.
const SHORT_CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time from a call to its failure, after which the retry's connection needs a health check. The rest of the window is
/// shorter than the connect timeout.
const FAILED_AFTER: Duration = Duration::from_millis(2400);
/// Time from a call to a moment at which its key window has ended and its health check has not timed out.
const AFTER_KEY_WINDOW: Duration = Duration::from_millis(3200);
/// The request with an idempotency key.
const KEYED_REQUEST: u64 = 1;
/// An idempotent request, which leaves an idle connection to the second engine.
const OTHER_REQUEST: u64 = 2;

/// Window of the retry budget, in which the two requests of [`WaitingRetry`] allow one retry.
const BUDGET_WINDOW: Duration = Duration::from_millis(1700);
/// Time from a call to its failure in the test of the retry budget.
const FAILED_WITHIN_BUDGET_WINDOW: Duration = Duration::from_millis(1300);
/// Time from a call to a moment at which the requests no longer count for the retry budget.
const AFTER_BUDGET_WINDOW: Duration = Duration::from_millis(2000);

/// Returns settings in which requests of class `post` have an idempotency key that all engines know. No attempt counts as
/// inactive and no request as late during the test.
fn keyed_settings() -> String {
    let window = KEY_WINDOW.as_millis();
    settings(SHORT_CONNECT_TIMEOUT, REQUEST_TIMEOUT)
        .replace(r#""onTimeMs":2000.0"#, r#""onTimeMs":6000.0"#)
        .replace(r#""tellsEveryMs":500.0"#, r#""tellsEveryMs":5000.0"#)
        .replace(r#""repeat":"once""#, &format!(r#""repeat":"by_key","keyScope":"all","windowMs":{window}"#))
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// A router with a keyed request whose first attempt has failed shortly before the end of its key window. The retry waits
/// for a health check of an idle connection to the second engine.
struct WaitingRetry {
    router: RouterHarness,
    client: TestClient,
    second_engine: TestEngine,
    /// Time at which the first engine received the call.
    called_at: Instant,
}

impl WaitingRetry {
    fn start(name: &str) -> Self {
        Self::start_with(name, &keyed_settings(), FAILED_AFTER)
    }

    /// Starts a router whose first attempt of the keyed request fails this long after its call.
    fn start_with(name: &str, settings: &str, failed_after: Duration) -> Self {
        let router = RouterHarness::start(name, 2, settings);
        let mut client = router.connect_client();
        client.send_request_with(&json!({"opkey": "5c0f"}), KEYED_REQUEST, "post");
        let mut engines = router.two_engines_by_first_command();
        let called_at = Instant::now();
        engines[0].next_call();
        serve_request(&mut client, &mut engines[1], OTHER_REQUEST, "lookup", ROWS);
        sleep_until(called_at + failed_after);
        engines[0].send(KEYED_REQUEST, EngineReply::Failed);
        assert_eq!(engines[1].next_command(), "PING 0");
        let second_engine = engines.pop().expect("there are two engines");
        Self { router, client, second_engine, called_at }
    }

    /// Stops the router until the key window has ended. The second engine then acts, so that the router finds both at once.
    fn stand_still_over_key_window(&mut self, act: impl FnOnce(&mut TestEngine)) {
        let Self { router, second_engine, called_at, .. } = self;
        router.while_stopped(|_| {
            sleep_until(*called_at + AFTER_KEY_WINDOW);
            act(second_engine);
        });
    }

    /// Returns the calls that arrive at the second engine from now on, the answer to the client and the router's counters.
    fn outcome(mut self) -> String {
        let calls = self.second_engine.answer_calls(0);
        let answer = self.client.read_line();
        let counters = [
            "attempts_lapsed",
            "calls_past_their_key_window",
            "calls_over_the_retry_budget",
            "attempts_not_sent",
        ];
        format!("calls {calls:?}; {answer}; {}", self.router.finish(&counters))
    }
}

/// Guards against a retry that is refused although its key window has not ended.
#[test]
fn a_keyed_retry_that_waited_for_its_connection_is_written_within_its_window() {
    let mut retry = WaitingRetry::start("key-window-open");
    retry.second_engine.send_on(0, 0, EngineReply::Pong);
    expect![[r#"
        calls [1]; {"jsonrpc":"2.0","id":1,"result":{"data":"YQliCWMK"}}; exit status Some(0): 
    "#]]
    .assert_eq(&retry.outcome());
}

/// Guards against a second effect: a retry was written after the window of its key, because its connection had forgotten
/// the router and the call was moved to another one. The answer must not wait for the health check either.
#[test]
fn a_keyed_retry_whose_window_ends_before_it_is_written_fails_at_once() {
    let mut retry = WaitingRetry::start("key-window-ended");
    let answer = retry.client.read_line();
    let waited = retry.called_at.elapsed();
    assert!(waited < FAILED_AFTER + SHORT_CONNECT_TIMEOUT, "answered after {waited:?}");
    retry.second_engine.send_on(0, 0, EngineReply::Pong);
    retry.client.send_request(OTHER_REQUEST + 1, "lookup");
    expect![[r#"
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":1,"jsonrpc":"2.0"}; calls [3]; {"jsonrpc":"2.0","id":3,"result":{"data":"YQliCWMK"}}; exit status Some(0): attempts_lapsed=1 calls_past_their_key_window=1
    "#]].assert_eq(&format!("{answer}; {}", retry.outcome()));
}

/// Guards against a second effect after the router stood still, in which it finds both the end of the window and the
/// answer to the health check.
#[test]
fn a_keyed_retry_is_not_written_after_its_window_when_the_router_stood_still() {
    let mut retry = WaitingRetry::start("key-window-still");
    retry.stand_still_over_key_window(|engine| engine.send_on(0, 0, EngineReply::Pong));
    expect![[r#"
        calls []; {"error":{"code":-32000,"message":"given up: it may have run"},"id":1,"jsonrpc":"2.0"}; exit status Some(0): attempts_lapsed=1 calls_past_their_key_window=1
    "#]].assert_eq(&retry.outcome());
}

/// Guards against a second effect of a call that is moved from a connection that was closed after the key window.
#[test]
fn a_keyed_retry_is_not_moved_to_another_connection_after_its_window() {
    let mut retry = WaitingRetry::start("key-window-moved");
    retry.stand_still_over_key_window(|engine| engine.close_connection_of(OTHER_REQUEST));
    expect![[r#"
        calls []; {"error":{"code":-32000,"message":"given up: it may have run"},"id":1,"jsonrpc":"2.0"}; exit status Some(0): attempts_lapsed=1 calls_past_their_key_window=1
    "#]].assert_eq(&retry.outcome());
}

/// Guards against retries beyond the budget: a retry was written when the requests that had allowed it no longer counted.
#[test]
fn a_retry_that_waited_for_its_connection_is_not_written_beyond_the_retry_budget() {
    let window = BUDGET_WINDOW.as_millis();
    let budget = format!(r#""rules":{{"spareAttempts":0,"extraPerRequest":0.5,"countedOverMs":{window},"#);
    let settings = keyed_settings().replace(r#""rules":{"#, &budget);
    let mut retry = WaitingRetry::start_with("retry-budget", &settings, FAILED_WITHIN_BUDGET_WINDOW);
    sleep_until(retry.called_at + AFTER_BUDGET_WINDOW);
    retry.second_engine.send_on(0, 0, EngineReply::Pong);
    expect![[r#"
        calls []; {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":1,"jsonrpc":"2.0"}; exit status Some(0): attempts_lapsed=1 calls_over_the_retry_budget=1
    "#]].assert_eq(&retry.outcome());
}
