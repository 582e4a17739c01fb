//! Who may have something to say, each heard in turn.

use crate::slots::Slot;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

/// Connections that may have more to say than was heard. Each is heard once before one is heard again, however
/// much that one has to say.
#[derive(Default)]
pub struct ReadyList {
    /// And since when, at the earliest.
    slots: BTreeMap<Slot, Duration>,
    /// Whose turn was last.
    last: Option<Slot>,
}

impl ReadyList {
    pub fn add(&mut self, slot: Slot, since: Duration) {
        self.slots.entry(slot).and_modify(|at| *at = since.min(*at)).or_insert(since);
    }

    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Takes out whose turn it is, and since when it has waited at the earliest.
    pub fn next(&mut self) -> Option<(Slot, Duration)> {
        let after = self.last.and_then(|last| self.slots.range((Excluded(last), Unbounded)).next());
        let (slot, since) = after.or(self.slots.first_key_value()).map(|(slot, since)| (*slot, *since))?;
        self.slots.remove(&slot);
        self.last = Some(slot);
        Some((slot, since))
    }
}

#[cfg(test)]
#[path = "../tests/unit/ready_list.rs"]
mod tests;
