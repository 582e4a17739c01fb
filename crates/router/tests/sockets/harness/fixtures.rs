//! Start-up code that many tests share.

use super::client::TestClient;
use super::configuration::{ResourceLimits, ordinary_settings};
use super::engine::{ROWS, TestEngine};
use super::process::RouterHarness;

/// The id of a client's first request in most tests.
const FIRST_REQUEST: u64 = 1;

/// Starts a router with one engine and connects a client to it.
pub fn start_with_one_engine(name: &str, settings: &str) -> (RouterHarness, TestClient, TestEngine) {
    with_client_and_engine(RouterHarness::start(name, 1, settings))
}

/// Starts a router with one engine and an operator's file, and connects a client to it.
pub fn start_one_engine_with_operator_file(
    name: &str,
    settings: &str,
    text: &str,
) -> (RouterHarness, TestClient, TestEngine) {
    with_client_and_engine(RouterHarness::start_with_operator_file(name, 1, settings, text))
}

/// Starts a router with one engine and resource limits, and connects a client to it.
pub fn start_one_engine_with_limits(
    limits: ResourceLimits,
    name: &str,
    settings: &str,
) -> (RouterHarness, TestClient, TestEngine) {
    with_client_and_engine(RouterHarness::start_with_limits(limits, name, 1, settings))
}

/// Starts a router with two engines and sends it a non-idempotent request. The engine that receives the call comes
/// first.
pub fn start_with_two_engines(name: &str) -> (RouterHarness, TestClient, Vec<TestEngine>) {
    let router = RouterHarness::start(name, 2, &ordinary_settings());
    let mut client = router.connect_client();
    client.send_request(FIRST_REQUEST, "post");
    let engines = router.two_engines_by_first_command();
    (router, client, engines)
}

/// Connects a client to a router, and returns both with the router's first engine.
pub fn with_client_and_engine(router: RouterHarness) -> (RouterHarness, TestClient, TestEngine) {
    let client = router.connect_client();
    let engine = router.engine(0);
    (router, client, engine)
}

/// Sends a request, which the engine answers with `rows`. Returns the client's answer.
pub fn serve_request(
    client: &mut TestClient,
    engine: &mut TestEngine,
    id: u64,
    class: &str,
    rows: &str,
) -> String {
    client.send_request(id, class);
    assert_eq!(engine.next_request(), id);
    engine.send_result(id, rows);
    client.read_line()
}

/// Serves the client's first request, which establishes a connection to the engine.
pub fn serve_first_request(client: &mut TestClient, engine: &mut TestEngine, class: &str) {
    serve_request(client, engine, FIRST_REQUEST, class, ROWS);
}
