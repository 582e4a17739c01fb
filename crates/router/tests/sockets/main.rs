//! The router's binary between test peers on loopback: its clients, its engines and the discovery service.
//!
//! Many of these tests stop the process while both events of a race arrive at its sockets, so that the router finds both
//! in the same iteration (docs/ending.md).

mod clients;
mod discovery;
mod engine_connections;
mod harness;
mod limits;
mod reload;
mod requests;
mod shutdown;
mod teams;
