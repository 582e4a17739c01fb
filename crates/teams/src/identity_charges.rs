//! Work that was charged by request identity, so that retries are charged only for what they add.

use std::collections::{HashMap, VecDeque};
use std::hash::{Hash, Hasher};

/// Identities that are remembered after their request's end.
const MAX_IDENTITIES: usize = 4096;

/// Seconds charged for the last identities.
#[derive(Clone, Debug, Default)]
pub(crate) struct IdentityCharges {
    seconds: HashMap<u64, f64>,
    oldest_first: VecDeque<u64>,
}

impl IdentityCharges {
    /// Seconds charged for an identity so far.
    pub(crate) fn charged(&self, identity: u64) -> f64 {
        self.seconds.get(&identity).copied().unwrap_or(0.0)
    }

    /// Adds to an identity's charge; the oldest identity is forgotten when there are too many.
    pub(crate) fn add(&mut self, identity: u64, seconds: f64) {
        let sum = self.charged(identity) + seconds;
        let is_new = self.seconds.insert(identity, sum).is_none();
        if is_new {
            self.oldest_first.push_back(identity);
        }
        if self.oldest_first.len() > MAX_IDENTITIES
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.seconds.remove(&oldest);
        }
    }

    pub(crate) fn fingerprint(&self, hasher: &mut impl Hasher) {
        for identity in &self.oldest_first {
            (identity, self.seconds[identity].to_bits()).hash(hasher);
        }
    }
}
