//! The record of exercised invariants over all explored scenarios.
//!
//! An invariant is exercised if, in some explored state, a hypothetical event of the system under test would violate
//! it and no other invariant. An invariant that is never exercised shows nothing about the system when it holds.
//!
//! Each model has a range of bits, which ends where the range of the next model begins.

use std::sync::atomic::{AtomicU64, Ordering};

/// The first bit of the invariants of the scheduler model.
pub const SCHEDULER_FIRST_BIT: usize = 0;
/// The first bit of the invariants of the connection model.
pub const CONNECTION_FIRST_BIT: usize = 20;
/// The first bit of the invariants of the router model.
pub const ROUTER_FIRST_BIT: usize = 30;
/// The first bit of the invariants of the discovery model.
pub const DISCOVERY_FIRST_BIT: usize = 40;
/// The first bit of the invariants of the queue model.
pub const QUEUE_FIRST_BIT: usize = 50;

/// Bit n is set if the invariant with bit n was exercised in this process.
static EXERCISED: AtomicU64 = AtomicU64::new(0);

/// Whether the invariant with the bit at this position was exercised.
pub fn is_exercised(bit: usize) -> bool {
    EXERCISED.load(Ordering::Relaxed) & (1 << bit) != 0
}

/// Whether all of the `count` invariants from the bit at position `first_bit` on were exercised.
pub fn all_exercised(first_bit: usize, count: usize) -> bool {
    let mask = ((1 << count) - 1) << first_bit;
    EXERCISED.load(Ordering::Relaxed) & mask == mask
}

/// Records the invariant that an event would violate, if it would violate exactly one. `violated` says for each
/// invariant of a model, in order, whether the event would violate it; `first_bit` is the position of the first
/// invariant's bit.
pub fn record(first_bit: usize, violated: impl Iterator<Item = bool>) {
    let positions: Vec<usize> =
        violated.enumerate().filter(|(_, violated)| *violated).map(|(position, _)| position).collect();
    if let [position] = positions[..] {
        EXERCISED.fetch_or(1 << (first_bit + position), Ordering::Relaxed);
    }
}
