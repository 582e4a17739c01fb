//! Tests of the router's binary with test peers on loopback: clients, engines and the discovery service.
//!
//! Many of these tests are about races. They stop the process while both events of a race arrive at its sockets, so
//! that the router finds both events in the same iteration of its loop (docs/ending.md).

mod clients;
mod discovery;
mod engine_connections;
mod harness;
mod limits;
mod memory;
mod reload;
mod requests;
mod send_conditions;
mod shutdown;
mod teams;
