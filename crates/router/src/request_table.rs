//! The open requests.

use crate::slots::{Slot, Slots};
use emberflow::RequestId;
use std::collections::{BTreeMap, BTreeSet};

/// The lane of a request until the scheduler sets another.
const ORDINARY_PRIORITY: u8 = 1;

/// A request until it has been answered.
#[derive(Clone)]
pub struct Request {
    /// The connection that it came on.
    pub client: Slot,
    /// Its id on that connection.
    pub client_request_id: u64,
    /// The name that engines know it by.
    pub name: String,
    /// Its class's index in the settings.
    pub class: usize,
    /// The key by which engines recognize a repeated request.
    pub idempotency_key: Option<String>,
    /// The statement that engines run.
    pub statement: Vec<u8>,
    /// Memory granted to it.
    pub grant_mb: f64,
    /// Its priority on an engine.
    pub priority: u8,
    /// Its attempts so far, by their number.
    pub attempts: Vec<Slot>,
    /// Connections that may still bring an answer to an attempt that was abandoned.
    pub late_connections: Vec<Slot>,
}

impl Request {
    /// A request without statement or key, not yet sent anywhere.
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

/// The open requests, by the ids that the scheduler knows them by.
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
    /// An open request.
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.table.get(*self.slots.get(&id)?)
    }

    /// An open request, to be changed.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.table.get_mut(*self.slots.get(&id)?)
    }

    /// How many requests are open.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Bytes of the statements of all open requests.
    pub fn statement_bytes(&self) -> usize {
        self.statement_bytes
    }

    /// Whether a request of this name is open.
    pub fn is_open(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// All open requests, in the order of their slots.
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

    /// Takes a request out, if it is still open.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        let slot = self.slots.remove(&id)?;
        let request = self.table.take(slot)?;
        self.statement_bytes -= request.statement.len();
        self.names.remove(&request.name);
        Some(request)
    }
}
