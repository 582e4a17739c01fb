//! The record of exercised invariants over all explored scenarios.
//!
//! An invariant is exercised if, in some explored state, a hypothetical event of the system under test would violate
//! it and no other invariant. If an invariant is never exercised, its holding says nothing about the system.
//!
//! Each model has a range of bits, which ends where the range of the next model begins.

use std::sync::atomic::{AtomicU64, Ordering};

/// The first bit of the invariants of the module model.
pub const MODULE: usize = 0;
/// The first bit of the invariants of the connection model.
pub const CONNECTIONS: usize = 20;
/// The first bit of the invariants of the router model.
pub const ROUTER: usize = 30;
/// The first bit of the invariants of the discovery model.
pub const DISCOVERY: usize = 40;
/// The first bit of the invariants of the queue model.
pub const QUEUES: usize = 50;

/// One bit for each invariant that was exercised in this process.
static EXERCISED: AtomicU64 = AtomicU64::new(0);

/// Whether the invariant with the bit at this position was exercised.
pub fn is_exercised(bit: usize) -> bool {
    EXERCISED.load(Ordering::Relaxed) & (1 << bit) != 0
}

/// Whether all of the `count` invariants from the bit at position `first` on were exercised.
pub fn all_exercised(first: usize, count: usize) -> bool {
    let all = ((1 << count) - 1) << first;
    EXERCISED.load(Ordering::Relaxed) & all == all
}

/// Records the invariant that an event would violate, if it would violate exactly one. `violated` says for each
/// invariant of a model, in order, whether the event would violate it; `first` is the position of the first
/// invariant's bit.
pub fn record(first: usize, violated: impl Iterator<Item = bool>) {
    let positions: Vec<usize> =
        violated.enumerate().filter(|(_, violated)| *violated).map(|(position, _)| position).collect();
    if let [only] = positions[..] {
        EXERCISED.fetch_or(1 << (first + only), Ordering::Relaxed);
    }
}
