//! The order among requests with the same key.

use crate::request::{Arrival, RequestId};
use std::collections::{BTreeMap, HashMap};

/// The keys of requests until they end, and the waiting requests of each key by arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyOrder {
    keys: HashMap<RequestId, u64>,
    waiting: HashMap<u64, BTreeMap<Arrival, RequestId>>,
}

impl KeyOrder {
    /// Remembers a request's key.
    pub(crate) fn assign(&mut self, request: RequestId, key: u64) {
        self.keys.insert(request, key);
    }

    /// Forgets an ended request's key.
    pub(crate) fn forget(&mut self, request: RequestId) {
        self.keys.remove(&request);
    }

    /// A request waits, perhaps again.
    pub(crate) fn insert(&mut self, request: RequestId, arrival: Arrival) {
        if let Some(key) = self.keys.get(&request) {
            self.waiting.entry(*key).or_default().insert(arrival, request);
        }
    }

    /// A request waits no more.
    pub(crate) fn remove(&mut self, request: RequestId, arrival: Arrival) {
        let Some(key) = self.keys.get(&request) else { return };
        let Some(requests) = self.waiting.get_mut(key) else { return };
        requests.remove(&arrival);
        if requests.is_empty() {
            self.waiting.remove(key);
        }
    }

    /// Keeps the keys, with no request waiting.
    pub(crate) fn clear_waiting(&mut self) {
        self.waiting.clear();
    }

    /// The first waiting request with this one's key, if it has a key.
    pub(crate) fn first(&self, request: RequestId) -> Option<RequestId> {
        let key = self.keys.get(&request)?;
        self.waiting.get(key)?.first_key_value().map(|(_, first)| *first)
    }
}
