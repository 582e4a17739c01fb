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
    /// Adds an observation to the digest. `number` is that of a connection, of a step or of an event, depending on the
    /// kind, or a time in microseconds.
    pub fn record(&mut self, kind: &str, number: u64, bytes: &[u8]) {
        for part in [kind.as_bytes(), &number.to_le_bytes(), bytes] {
            self.digest.update((part.len() as u64).to_le_bytes());
            self.digest.update(part);
        }
    }

    /// Counts an observation, outside the digest.
    pub fn count(&mut self, kind: impl Into<String>) {
        *self.observed.entry(kind.into()).or_default() += 1;
    }
}
