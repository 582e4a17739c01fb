//! The clients with unread input, which are read in rotation.

use crate::slots::Slot;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

/// The client that is read next.
#[derive(Clone, Copy, Debug)]
pub struct ReadyClient {
    /// The slot of the client's connection.
    pub slot: Slot,
    /// The earliest time at which the unread input can have arrived.
    pub received_since: Duration,
}

/// The clients that may have unread input. Each client is read once before any is read again, so that a client with
/// endless input does not delay the others.
#[derive(Default)]
pub struct ReadyList {
    /// The earliest time at which the unread input can have arrived, by client.
    received_since: BTreeMap<Slot, Duration>,
    /// The client that was read last.
    last_read: Option<Slot>,
}

impl ReadyList {
    /// Adds a client whose unread input arrived at `received_since` at the earliest. If the client is already on the
    /// list, keeps the earlier of the two times.
    pub fn add(&mut self, slot: Slot, received_since: Duration) {
        let earliest = self.received_since.entry(slot).or_insert(received_since);
        *earliest = received_since.min(*earliest);
    }

    /// Whether the list is empty, so that no client is known to have unread input.
    pub fn is_empty(&self) -> bool {
        self.received_since.is_empty()
    }

    /// Removes and returns the next client in the order of slots. The order starts again at the first slot after the
    /// last.
    pub fn next(&mut self) -> Option<ReadyClient> {
        let (slot, received_since) =
            self.first_after_last_read().or(self.received_since.first_key_value())?;
        let ready = ReadyClient { slot: *slot, received_since: *received_since };
        self.received_since.remove(&ready.slot);
        self.last_read = Some(ready.slot);
        Some(ready)
    }

    fn first_after_last_read(&self) -> Option<(&Slot, &Duration)> {
        let last_read = self.last_read?;
        self.received_since.range((Excluded(last_read), Unbounded)).next()
    }
}

#[cfg(test)]
#[path = "../tests/unit/ready_list.rs"]
mod tests;
