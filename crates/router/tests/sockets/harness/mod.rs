//! Starts the router's binary between test peers on loopback: clients, engines and a discovery service.
//!
//! A test records what the peers receive in the transcript of its [`RouterHarness`] and compares that, together with
//! the counters that the router logs at exit, with the expected text.

pub mod client;
pub mod configuration;
pub mod discovery;
pub mod engine;
pub mod fixtures;
mod kernel;
pub mod log_lines;
mod peers;
pub mod process;
mod sockets;
mod transcript;

pub use client::{
    LONG_REQUEST_TIMEOUT, REQUEST_TIMEOUT, TestClient, cancellation_line, filling_request, large_request,
    request, status_line,
};
pub use configuration::{
    CONNECT_TIMEOUT, ResourceLimits, TWO_TEAMS, long_deadline_settings, long_queueing_settings,
    minimal_configuration, ordinary_settings, settings, write_configuration_file,
};
pub use discovery::{
    TestDiscovery, change_frame, draining_engine, empty_list_frame, engine_of_unknown_kind, ready_engine,
    removed_engine, restarted_engine,
};
pub use engine::{ROWS, TestEngine, parse_request};
pub use fixtures::{
    serve_first_request, serve_request, start_one_engine_with_limits, start_one_engine_with_operator_file,
    start_with_one_engine, start_with_two_engines, with_client_and_engine,
};
pub use process::{RouterHarness, router_command};
