//! Real routers between emulated peers on loopback, under overlapping faults that are drawn from a seed. What is judged
//! is what clients and engines saw, not what a router says of itself.

pub mod classes;
pub mod clients;
pub mod config;
pub mod discovery;
pub mod engines;
pub mod faults;
pub mod invariants;
pub mod options;
pub mod records;
pub mod routers;
pub mod run;
pub mod sockets;
pub mod world;
