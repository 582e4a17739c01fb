//! The router: accepts requests of clients over TCP, and sends them to the engines that the scheduler of `emberflow`
//! chooses.
//!
//! [`command::run`] is the program. To embed the router, read a configuration with [`bootstrap::Bootstrap`] and serve
//! with [`event_loop::RouterLoop::run`], which returns after SIGTERM or SIGINT once the graceful shutdown is complete.

// Engineers learn the crate from its documentation, so every public item must be explained.
#![warn(missing_docs)]

pub mod admission_queue;
pub mod bootstrap;
pub mod clients;
pub mod clock;
pub mod command;
pub mod config;
pub mod context;
pub mod counters;
pub mod discovery;
pub mod dispatch;
pub mod engine_pool;
pub mod error;
pub mod event_loop;
pub mod field_list;
pub mod final_checks;
pub mod jsonrpc;
mod ready_list;
pub mod request_table;
pub mod resp;
pub mod ring;
pub mod server;
pub mod slots;
mod sockets;
pub mod statement;
pub mod timers;
