//! The real router: emberflow's decisions on sockets. [`command::run`] is the program; [`front::Front::run`]
//! serves by a configuration until a planned restart ends it.

mod bulletin;
mod clients;
mod clock;
pub mod command;
mod counters;
mod deadlines;
mod engines;
pub mod front;
mod jsonrpc;
mod premises;
mod resp;
mod ring;
mod slots;
mod statement;
mod works;
