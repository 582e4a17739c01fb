//! Work charged by request identity, so that a retry is charged only for the work that it adds.

use std::collections::{HashMap, VecDeque};
use std::hash::{Hash, Hasher};

/// Number of identities that are remembered.
const MAX_IDENTITIES: usize = 4096;

/// Seconds of work charged by identity, for the latest [`MAX_IDENTITIES`] identities.
#[derive(Clone, Debug, Default)]
pub(crate) struct IdentityCharges {
    seconds: HashMap<u64, f64>,
    oldest_first: VecDeque<u64>,
}

impl IdentityCharges {
    /// Returns the seconds of work charged for an identity.
    pub(crate) fn charged(&self, identity: u64) -> f64 {
        self.seconds.get(&identity).copied().unwrap_or(0.0)
    }

    /// Adds to an identity's charge, and evicts the oldest identity beyond [`MAX_IDENTITIES`].
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

    /// Feeds the charges to a hasher, the oldest identity first.
    pub(crate) fn fingerprint(&self, hasher: &mut impl Hasher) {
        for identity in &self.oldest_first {
            (identity, self.seconds[identity].to_bits()).hash(hasher);
        }
    }
}
