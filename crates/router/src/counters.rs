//! Counters of what is received, sent and answered, and of what must never happen.

use std::collections::BTreeMap;
use std::fmt;

/// Counters by name.
#[derive(Clone, Default)]
pub struct Counters {
    counts: BTreeMap<&'static str, u64>,
}

impl Counters {
    /// Increments a counter.
    pub fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// Checks an invariant: where it does not hold, a debug build panics, and a release build counts the violation.
    pub fn must(&mut self, holds: bool, violation: &'static str) {
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
