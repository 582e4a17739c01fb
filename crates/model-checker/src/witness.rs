//! Which laws some state could have broken by one step of what is under test, over all worlds walked: a law that
//! is never near to being broken is not put to the test.

use std::sync::atomic::{AtomicU64, Ordering};

/// Of the module, of connections, of the house, of the discovery service and of the teams, each from its own bit on.
pub const MODULE: usize = 0;
pub const CONNECTIONS: usize = 20;
pub const HOUSE: usize = 30;
pub const PAPER: usize = 40;
pub const TURNS: usize = 50;

static NEAR: AtomicU64 = AtomicU64::new(0);

/// Whether a law's bit is set.
pub fn is_near(at: usize) -> bool {
    NEAR.load(Ordering::Relaxed) & (1 << at) != 0
}

/// Whether nothing is left to be noted of so many laws.
pub fn all_near(from: usize, count: usize) -> bool {
    let all = ((1 << count) - 1) << from;
    NEAR.load(Ordering::Relaxed) & all == all
}

/// Notes the law that an act would break, where it is only one.
pub fn note(from: usize, breaks: impl Iterator<Item = bool>) {
    let broken: Vec<usize> = breaks.enumerate().filter(|(_, broken)| *broken).map(|(at, _)| at).collect();
    if let [one] = broken[..] {
        NEAR.fetch_or(1 << (from + one), Ordering::Relaxed);
    }
}
