//! Emulates what surrounds a router, on loopback only: engines that run what they are sent by a small load model and
//! fail when told to, the discovery service, and clients that send mixed work.

pub mod client;
pub mod demo;
pub mod discovery;
pub mod engine;
pub mod load_model;
pub mod outcome;
pub mod skewed;
pub mod table;
pub mod workload;
