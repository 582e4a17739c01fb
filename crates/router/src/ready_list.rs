//! Clients that may have more to read, read in turn.

use crate::slots::Slot;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

/// A client whose turn it is.
#[derive(Clone, Copy, Debug)]
pub struct ReadyClient {
    /// Its slot in the table of clients.
    pub slot: Slot,
    /// What it has sent was received at this time at the earliest.
    pub received_since: Duration,
}

/// Clients that may have more to read. Each is read from once before any is read from again, however much that one
/// has sent.
#[derive(Default)]
pub struct ReadyList {
    /// With the earliest time at which something may have been received.
    received_since: BTreeMap<Slot, Duration>,
    /// Whose turn was last.
    last: Option<Slot>,
}

impl ReadyList {
    /// Adds a client; one that is on the list keeps the earlier time.
    pub fn add(&mut self, slot: Slot, received_since: Duration) {
        let earliest = self.received_since.entry(slot).or_insert(received_since);
        *earliest = received_since.min(*earliest);
    }

    /// Whether nobody has more to read.
    pub fn is_empty(&self) -> bool {
        self.received_since.is_empty()
    }

    /// Takes out the client whose turn it is.
    pub fn next(&mut self) -> Option<ReadyClient> {
        let after_last =
            self.last.and_then(|last| self.received_since.range((Excluded(last), Unbounded)).next());
        let (slot, received_since) = after_last.or(self.received_since.first_key_value())?;
        let ready = ReadyClient { slot: *slot, received_since: *received_since };
        self.received_since.remove(&ready.slot);
        self.last = Some(ready.slot);
        Some(ready)
    }
}

#[cfg(test)]
#[path = "../tests/unit/ready_list.rs"]
mod tests;
