//! Runs real routers between emulated peers on loopback, under overlapping faults that are drawn from a seed, and
//! checks the service's invariants. The routers' own data is not used for the checks, only the records of the emulated
//! clients and engines, and the exits and resource usage of the routers' processes.

pub mod arrivals;
pub mod classes;
pub mod clients;
pub mod config;
pub mod connections;
pub mod discovery;
pub mod engines;
pub mod faults;
pub mod invariants;
pub mod options;
pub mod process_faults;
pub mod records;
pub mod report;
pub mod routers;
pub mod run;
pub mod soak_run;
pub mod sockets;
pub mod statements;
