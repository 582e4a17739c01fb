//! The order of arrival of requests with the same key.

use crate::request::{Arrival, RequestId};
use std::collections::{BTreeMap, HashMap};

/// The key of each waiting or dispatched request, and the waiting requests of each key in the order of arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyOrder {
    keys: HashMap<RequestId, u64>,
    waiting: HashMap<u64, BTreeMap<Arrival, RequestId>>,
}

impl KeyOrder {
    /// Records a request's key.
    pub(crate) fn assign(&mut self, request: RequestId, key: u64) {
        self.keys.insert(request, key);
    }

    /// Removes the key of a request that has ended or was removed.
    pub(crate) fn forget(&mut self, request: RequestId) {
        self.keys.remove(&request);
    }

    /// Adds a waiting request; a request without a key is ignored.
    pub(crate) fn insert(&mut self, request: RequestId, arrival: Arrival) {
        if let Some(key) = self.keys.get(&request) {
            self.waiting.entry(*key).or_default().insert(arrival, request);
        }
    }

    /// Removes a request that no longer waits. Its key stays recorded until the request ends.
    pub(crate) fn remove(&mut self, request: RequestId, arrival: Arrival) {
        let Some(key) = self.keys.get(&request) else { return };
        let Some(requests) = self.waiting.get_mut(key) else { return };
        requests.remove(&arrival);
        if requests.is_empty() {
            self.waiting.remove(key);
        }
    }

    /// Removes all waiting requests, and keeps the keys, so that the requests can be inserted again.
    pub(crate) fn clear_waiting(&mut self) {
        self.waiting.clear();
    }

    /// Returns the first waiting request with the same key; `None` for a request without a key, or if none waits.
    pub(crate) fn first(&self, request: RequestId) -> Option<RequestId> {
        let key = self.keys.get(&request)?;
        self.waiting.get(key)?.first_key_value().map(|(_, first)| *first)
    }
}
