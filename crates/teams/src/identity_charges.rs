//! Work charged for each request identity, so that a retry is charged only for the work that it adds.

use std::collections::{HashMap, VecDeque};
use std::hash::{Hash, Hasher};

/// Largest number of identities whose charges are stored.
const MAX_IDENTITIES: usize = 4096;

/// Seconds of work charged for each of the latest [`MAX_IDENTITIES`] identities.
#[derive(Clone, Debug, Default)]
pub(crate) struct IdentityCharges {
    work_s: HashMap<u64, f64>,
    oldest_first: VecDeque<u64>,
}

impl IdentityCharges {
    /// Returns the seconds of work charged for an identity; 0 for an unknown one.
    pub(crate) fn charged_s(&self, identity: u64) -> f64 {
        self.work_s.get(&identity).copied().unwrap_or(0.0)
    }

    /// Adds `work_s` seconds to an identity's charge, and evicts the oldest identity beyond [`MAX_IDENTITIES`].
    pub(crate) fn add(&mut self, identity: u64, work_s: f64) {
        let total_s = self.charged_s(identity) + work_s;
        let is_new = self.work_s.insert(identity, total_s).is_none();
        if is_new {
            self.oldest_first.push_back(identity);
        }
        if self.oldest_first.len() > MAX_IDENTITIES
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.work_s.remove(&oldest);
        }
    }

    /// Feeds the charges to a hasher, the oldest identity first.
    pub(crate) fn fingerprint(&self, hasher: &mut impl Hasher) {
        for identity in &self.oldest_first {
            (identity, self.work_s[identity].to_bits()).hash(hasher);
        }
    }
}
