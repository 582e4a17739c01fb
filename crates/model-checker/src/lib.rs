//! Explicit-state model checker for emberflow's scheduler, connections, discovery and team queues.
//!
//! Each model runs the router's code against a scripted environment. The search visits every reachable state of a small
//! scenario and reports a shortest path on which an invariant is violated.

pub mod command;
pub mod connection_model;
pub mod discovery_model;
pub mod former_names;
pub mod invariants;
pub mod mutants;
pub mod queue_model;
pub mod registry;
pub mod router_model;
pub mod scheduler_model;
pub mod search;
pub mod wire;
pub mod witness;

/// The fixture of the trace tests. The scheduler model uses the same settings, so that its counterexamples can be
/// pasted into `tests/traces/`.
#[allow(dead_code, reason = "the model checker uses only the settings of the fixture")]
#[path = "../../../tests/trace/mod.rs"]
pub mod trace;
