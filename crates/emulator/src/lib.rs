//! Stand-ins of our own for what stands round a router, on loopback only: engines that run what they are sent
//! under a small load model and fail when told to, the discovery service, and clients that send mixed work.

pub mod clients;
pub mod demo;
pub mod discovery;
pub mod engine;
pub mod load;
pub mod skewed;
