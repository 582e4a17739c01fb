//! The router: the scheduler of `emberflow` on real sockets. [`command::run`] is the program; to embed it,
//! [`bootstrap::Bootstrap`] reads a configuration and [`event_loop::RouterLoop::run`] serves by it until SIGTERM.

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
pub mod gate;
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
