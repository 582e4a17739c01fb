//! Walks every path in small worlds round the real decisions, and tells the shortest one on which a law breaks.

pub mod command;
pub mod connection_model;
pub mod house;
pub mod laws;
pub mod life;
pub mod mutants;
pub mod paper;
pub mod places;
pub mod search;
pub mod story;
pub mod turns;
pub mod walks;
pub mod witness;
pub mod world;

/// What the repository's traces start from, so that a path found here can stand among them.
#[allow(dead_code)]
#[path = "../../../tests/trace/mod.rs"]
pub mod trace;
