//! Emulated peers of a router on loopback: engines with a small load model and faults that can be set, a discovery
//! service, and clients with a mixed workload.

pub mod client;
pub mod configuration;
pub mod demo;
pub mod discovery;
pub mod engine;
pub mod load_model;
pub mod outcome;
pub mod run_log;
pub mod skewed;
pub mod statements;
pub mod table;
pub mod workload;
