//! The record of all that peers observe.

use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// The digest of all that peers observe in all scenarios, and counts of observations.
#[derive(Default)]
pub struct Recorder {
    pub digest: Sha256,
    pub observed: BTreeMap<String, u64>,
    /// The counters of the servers. They show which cases the scenarios cover, and are not in the digest.
    pub server_counters: BTreeMap<String, u64>,
}

impl Recorder {
    /// Adds to the digest that bytes of a kind were sent on a connection.
    pub fn record(&mut self, kind: &str, connection: u64, bytes: &[u8]) {
        for part in [kind.as_bytes(), &connection.to_le_bytes(), bytes] {
            self.digest.update((part.len() as u64).to_le_bytes());
            self.digest.update(part);
        }
    }

    /// Counts an observation, outside the digest.
    pub fn count(&mut self, kind: impl Into<String>) {
        *self.observed.entry(kind.into()).or_default() += 1;
    }
}
