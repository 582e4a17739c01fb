//! Explicit-state model checker for emberflow's decisions, connections and queues.
//!
//! Each model runs the real code (never a copy of its rules) against a scripted environment. The search visits every
//! reachable state of a small scenario and reports a shortest path on which an invariant is violated.

pub mod command;
pub mod connection_model;
pub mod discovery_model;
pub mod former_names;
pub mod invariants;
pub mod module_model;
pub mod mutants;
pub mod queue_model;
pub mod registry;
pub mod router_model;
pub mod search;
pub mod wire;
pub mod witness;

/// The fixture that the repository's traces start from, so that a counterexample can be pasted among them.
#[allow(dead_code, reason = "the model checker uses the settings alone")]
#[path = "../../../tests/trace/mod.rs"]
pub mod trace;
