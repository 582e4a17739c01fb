//! Counters of events, and of violated invariants.

use std::collections::BTreeMap;
use std::fmt;

/// Counters by name. They are displayed as `name=count` pairs in alphabetical order.
#[derive(Clone, Default)]
pub struct Counters {
    counts: BTreeMap<&'static str, u64>,
}

impl Counters {
    /// Increments the counter with this name, which starts at 0.
    pub fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// Records whether an invariant holds. If it does not, a debug build panics, and a release build counts and logs
    /// the violation under the counter `violation`.
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
