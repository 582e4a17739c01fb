//! Counters of events, and of violated invariants.

use std::collections::BTreeMap;
use std::fmt;

/// Counters by name. Displayed as `name=count` pairs in the order of the names.
#[derive(Clone, Default)]
pub struct Counters {
    counts: BTreeMap<&'static str, u64>,
}

impl Counters {
    /// Increments a counter.
    pub fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// Checks an invariant. If it does not hold, a debug build panics, and a release build counts and logs the
    /// violation.
    pub fn check_invariant(&mut self, holds: bool, violation: &'static str) {
        debug_assert!(holds, "{violation}");
        if !holds {
            self.count(violation);
            log::error!("invariant violated: {violation}");
        }
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = self.counts.iter().map(|(name, count)| format!("{name}={count}"));
        f.write_str(&counts.collect::<Vec<_>>().join(" "))
    }
}
