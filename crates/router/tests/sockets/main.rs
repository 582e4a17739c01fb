//! The router's binary between test peers on loopback: its clients, its engines and the discovery service.
//!
//! Many of these tests stop the process while both sides of a race are put into its sockets, so that it finds them at
//! once (docs/ending.md).

mod clients;
mod discovery;
mod engine_connections;
mod harness;
mod limits;
mod reload;
mod requests;
mod shutdown;
mod teams;
