//! The real router: emberflow's decisions on sockets. [`command::run`] is the program; to embed it,
//! [`premises::Briefing`] reads a configuration and [`edge::Edge::run`] serves by it until SIGTERM.

pub mod bulletin;
pub mod clients;
pub mod clock;
pub mod command;
pub mod counters;
pub mod door;
pub mod edge;
pub mod engines;
pub mod floor;
pub mod front;
pub mod jsonrpc;
pub mod premises;
mod ready;
pub mod resp;
pub mod ring;
pub mod slots;
pub mod statement;
pub mod timers;
mod wires;
pub mod works;
