//! Which invariants were exercised over all scenarios explored: some state could have violated them, and no other
//! invariant, by one event of the system under test. An invariant that is never exercised proves nothing.

use std::sync::atomic::{AtomicU64, Ordering};

/// The first bit of the module's invariants.
pub const MODULE: usize = 0;
/// The first bit of the connections' invariants.
pub const CONNECTIONS: usize = 20;
/// The first bit of the router's invariants.
pub const ROUTER: usize = 30;
/// The first bit of the discovery reader's invariants.
pub const DISCOVERY: usize = 40;
/// The first bit of the team queues' invariants.
pub const QUEUES: usize = 50;

/// One bit for each invariant that was exercised in this process.
static EXERCISED: AtomicU64 = AtomicU64::new(0);

/// Whether the invariant with this bit was exercised.
pub fn is_exercised(bit: usize) -> bool {
    EXERCISED.load(Ordering::Relaxed) & (1 << bit) != 0
}

/// Whether all of `count` invariants were exercised, whose bits begin at `first`.
pub fn all_exercised(first: usize, count: usize) -> bool {
    let all = ((1 << count) - 1) << first;
    EXERCISED.load(Ordering::Relaxed) & all == all
}

/// Records the invariant that one event would violate, unless it would violate several or none.
pub fn record(first: usize, violated: impl Iterator<Item = bool>) {
    let positions: Vec<usize> =
        violated.enumerate().filter(|(_, violated)| *violated).map(|(position, _)| position).collect();
    if let [only] = positions[..] {
        EXERCISED.fetch_or(1 << (first + only), Ordering::Relaxed);
    }
}
