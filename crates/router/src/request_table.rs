//! The table of open requests.

use crate::slots::{Slot, SlotMap};
use emberflow::RequestId;
use std::collections::{BTreeMap, BTreeSet};

/// The priority of a request until the scheduler sets another one.
const INITIAL_PRIORITY: u8 = 1;

/// An open request.
#[derive(Clone)]
pub struct Request {
    /// The slot of the client's connection.
    pub client: Slot,
    /// The id of the client's JSON-RPC message. It is unique among the open requests of the client's connection.
    pub client_request_id: u64,
    /// The request's name (`req` in the client's message), by which engines identify the request.
    pub name: String,
    /// The index of the request class in the settings.
    pub class: usize,
    /// The key by which engines recognize a repeated request; `None` if the client gave none.
    pub idempotency_key: Option<String>,
    /// The statement that engines run, decoded from base64.
    pub statement: Vec<u8>,
    /// Memory granted to the request, in MB; 0 until the scheduler sets it.
    pub grant_mb: f64,
    /// The request's priority at an engine; a higher number is served first.
    pub priority: u8,
    /// The slots of all attempts of the request, including those that have ended. The index is the attempt's number.
    pub attempts: Vec<Slot>,
    /// Connections on which an engine may still answer an abandoned attempt.
    pub late_connections: Vec<Slot>,
}

impl Request {
    /// Creates a request without statement, idempotency key and attempts.
    pub fn new(client: Slot, client_request_id: u64, name: &str, class: usize) -> Self {
        Self {
            client,
            client_request_id,
            name: name.to_owned(),
            class,
            idempotency_key: None,
            statement: Vec::new(),
            grant_mb: 0.0,
            priority: INITIAL_PRIORITY,
            attempts: Vec::new(),
            late_connections: Vec::new(),
        }
    }

    /// Returns the size of the parts of the request whose length the client chooses, in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.statement.len() + self.idempotency_key.as_ref().map_or(0, String::len)
    }
}

/// The open requests, by the scheduler's ids.
#[derive(Clone, Default)]
pub struct RequestTable {
    table: SlotMap<Request>,
    slots: BTreeMap<RequestId, Slot>,
    names: BTreeSet<String>,
    /// The id that [`Self::insert`] gives to the next request. Ids ascend, and wrap around after the largest.
    pub next_id: RequestId,
    /// Bytes of the statements and idempotency keys of all open requests.
    stored_bytes: usize,
}

impl RequestTable {
    /// Returns a request, or `None` if it is not open.
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.table.get(*self.slots.get(&id)?)
    }

    /// Returns a mutable reference to a request, or `None` if it is not open.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.table.get_mut(*self.slots.get(&id)?)
    }

    /// Returns the number of open requests.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns the total size of the statements and idempotency keys of all open requests, in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Whether a request with this name is open.
    pub fn is_name_open(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Returns all open requests, in the order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = &Request> {
        self.table.iter().map(|(_, request)| request)
    }

    /// Adds a request under the next id.
    pub fn insert(&mut self, request: Request) {
        self.names.insert(request.name.clone());
        self.stored_bytes += request.stored_bytes();
        self.slots.insert(self.next_id, self.table.insert(request));
        self.next_id = RequestId(self.next_id.0.wrapping_add(1));
    }

    /// Removes and returns a request. Returns `None` if it is not open.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        let slot = self.slots.remove(&id)?;
        let request = self.table.remove(slot)?;
        self.stored_bytes -= request.stored_bytes();
        self.names.remove(&request.name);
        Some(request)
    }
}
