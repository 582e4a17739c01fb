//! The table of open requests.

use crate::slots::{Slot, Slots};
use emberflow::RequestId;
use std::collections::{BTreeMap, BTreeSet};

/// The priority of a request until the scheduler sets another.
const ORDINARY_PRIORITY: u8 = 1;

/// An open request.
#[derive(Clone)]
pub struct Request {
    /// The client's connection.
    pub client: Slot,
    /// The request's id on the client's connection.
    pub client_request_id: u64,
    /// The name by which engines identify the request.
    pub name: String,
    /// The index of the request class in the settings.
    pub class: usize,
    /// The key by which engines recognize a repeated request.
    pub idempotency_key: Option<String>,
    /// The statement that engines run.
    pub statement: Vec<u8>,
    /// Memory granted to the request, in MB.
    pub grant_mb: f64,
    /// The request's priority on an engine.
    pub priority: u8,
    /// The request's attempts, by their number.
    pub attempts: Vec<Slot>,
    /// Connections on which an engine may still answer an abandoned attempt.
    pub late_connections: Vec<Slot>,
}

impl Request {
    /// Returns a request without statement, key and attempts.
    pub fn new(client: Slot, client_request_id: u64, name: &str, class: usize) -> Self {
        Self {
            client,
            client_request_id,
            name: name.to_owned(),
            class,
            idempotency_key: None,
            statement: Vec::new(),
            grant_mb: 0.0,
            priority: ORDINARY_PRIORITY,
            attempts: Vec::new(),
            late_connections: Vec::new(),
        }
    }
}

/// The open requests, by the scheduler's ids.
#[derive(Clone, Default)]
pub struct RequestTable {
    table: Slots<Request>,
    slots: BTreeMap<RequestId, Slot>,
    names: BTreeSet<String>,
    /// The id of the next request.
    pub next_id: RequestId,
    /// Bytes of all statements.
    statement_bytes: usize,
}

impl RequestTable {
    /// Returns a request if it is open.
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.table.get(*self.slots.get(&id)?)
    }

    /// Returns a request for changes if it is open.
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

    /// Returns the bytes of the statements of all open requests.
    pub fn statement_bytes(&self) -> usize {
        self.statement_bytes
    }

    /// Whether a request with this name is open.
    pub fn is_open(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Returns all open requests, in the order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = &Request> {
        self.table.iter().map(|(_, request)| request)
    }

    /// Adds a request under the next id.
    pub fn insert(&mut self, request: Request) {
        self.names.insert(request.name.clone());
        self.statement_bytes += request.statement.len();
        self.slots.insert(self.next_id, self.table.insert(request));
        self.next_id = RequestId(self.next_id.0.wrapping_add(1));
    }

    /// Removes and returns a request if it is open.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        let slot = self.slots.remove(&id)?;
        let request = self.table.take(slot)?;
        self.statement_bytes -= request.statement.len();
        self.names.remove(&request.name);
        Some(request)
    }
}
