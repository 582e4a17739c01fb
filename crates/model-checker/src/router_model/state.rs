//! The state of the router model: the router, its clients and its engines.

use super::scenario::{CONFIGURATION, KEY_WINDOW, RouterScenario};
use crate::search::START_TIME;
use crate::wire::{Peer, ready_endpoint};
use emberflow::EndpointUpdate;
use emberflow_router::bootstrap::Bootstrap;
use emberflow_router::context::Context;
use emberflow_router::discovery::{EndpointEvent, EndpointRecord};
use emberflow_router::server::Server;
use emberflow_router::slots::Slot;
use serde_json::Value;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Number of bytes that a slow client reads before it stops reading; less than any answer has.
const SLOW_READER_BYTES: usize = 10;
/// The port of the first engine; the other engines have the next ports.
const FIRST_ENGINE_PORT: u16 = 9;

/// An observable action of the router, the passing of time, or the end of a run.
pub enum Event {
    /// A client receives an answer. `request` is the position of the request in [`RouterState::requests`]; `None` for
    /// an answer to no request of the client. `rows` are those of a result; `None` for an answer without a result.
    ClientReceives { request: Option<usize>, rows: Option<Vec<u8>> },
    /// A call has arrived completely at an engine.
    CallArrives { request_number: u64 },
    /// The router closes the connection of `client` while it handles the input of client `by`.
    ClientCloses { client: usize, by: usize },
    /// The clock advances to `to`.
    TimePasses { to: Duration },
    /// The run ends, because no transition is enabled.
    Terminal,
}

/// A client and its side of its connection.
#[derive(Clone)]
pub struct ClientRecord {
    /// The router's handle of the connection.
    pub slot: Slot,
    /// Whether the connection is open; false once the client has reset it or the router has closed it.
    pub is_connected: bool,
    /// Whether the client has closed its write side.
    pub is_write_closed: bool,
    /// Bit n is set if the client has sent the line at index n of the scenario, or its first piece.
    pub sent_lines: u32,
    /// Number of bytes that the client still reads before it stops; `None` for no limit.
    pub capacity: Option<usize>,
    /// The bytes of an incomplete line that the client has read.
    pub partial_line: Vec<u8>,
    /// The index of the line that the client has sent in part, and the unsent second piece; `None` if there is none.
    pub unsent_rest: Option<(usize, Vec<u8>)>,
}

/// A request, as known to its client.
#[derive(Clone)]
pub struct RequestRecord {
    /// Index of the client that sent the request.
    pub client: usize,
    /// The id of the JSON-RPC message, unique among the messages of the client.
    pub id: u64,
    /// The number that the request id encodes. A request that is sent again has the same number.
    pub request_number: u64,
    /// Whether the class of the request is non-idempotent.
    pub is_non_idempotent: bool,
    /// Whether engines recognize a repetition of the request for [`KEY_WINDOW`].
    pub has_idempotency_key: bool,
    /// The time by which the request must be answered.
    pub deadline: Duration,
    /// Number of answers that the client has read.
    pub answers: u8,
    /// Whether the client has cancelled the request.
    pub is_cancelled: bool,
}

/// A call that has arrived completely at an engine.
#[derive(Clone)]
pub struct CallRecord {
    /// The number that the request id of the call encodes.
    pub request_number: u64,
    /// The position of the request with that number that was open when the call arrived; `None` if there was none.
    pub request: Option<usize>,
    /// The connection on which the call arrived.
    pub connection: Slot,
    /// The time at which the call arrived.
    pub arrived_at: Duration,
    /// Whether the engine has answered the call, or will not answer it because it was cancelled or the connection is
    /// lost.
    pub has_ended: bool,
    /// Whether the engine may have executed the call; false once it has rejected the call as overloaded.
    pub may_have_run: bool,
}

/// A result that an engine sent.
#[derive(Clone)]
pub struct ResultRecord {
    /// The number that the request id of the call encodes.
    pub request_number: u64,
    /// The rows of the result, which differ for each call.
    pub rows: String,
}

/// The router and its environment.
#[derive(Clone)]
pub struct RouterState {
    /// The current time; a run begins at [`START_TIME`].
    pub now: Duration,
    /// The system under test.
    pub server: Server,
    /// The clients, in the order of the scenario.
    pub clients: Vec<ClientRecord>,
    /// The requests that were sent completely, in the order of sending.
    pub requests: Vec<RequestRecord>,
    /// The engines' sides of their connections.
    pub engine_peers: BTreeMap<Slot, Peer>,
    /// The calls that have arrived at engines, in the order of arrival.
    pub calls: Vec<CallRecord>,
    /// The results that engines sent.
    pub results: Vec<ResultRecord>,
    /// Number of connections that engines have reset or refused.
    pub faults: u8,
    /// Number of times that the router has stood still.
    pub stalls: u8,
    /// Whether the endpoint list has reported the first engine as draining.
    pub is_draining: bool,
    /// Whether the process has received the signal to terminate.
    pub is_terminating: bool,
    /// The name of the first violated invariant; `None` if all hold.
    pub violated_invariant: Option<&'static str>,
}

impl RouterState {
    /// Returns the initial state, in which every engine is listed and every client has connected.
    pub fn new(scenario: &RouterScenario) -> Self {
        let file: Value = serde_json::from_str(CONFIGURATION).expect("the model's configuration is JSON");
        let bootstrap = Bootstrap::read(&file, None).expect("the model's configuration is valid");
        let context = Context { now: START_TIME, ..Context::default() };
        let mut server = Server::new(bootstrap, context);
        let endpoints = (0..scenario.engines).map(endpoint_record).collect();
        server.endpoints_changed(&EndpointEvent { update: EndpointUpdate::FullList, endpoints });
        let connect = |_| ClientRecord {
            slot: server.accept_client(),
            is_connected: true,
            is_write_closed: false,
            sent_lines: 0,
            capacity: scenario.slow_readers.then_some(SLOW_READER_BYTES),
            partial_line: Vec::new(),
            unsent_rest: None,
        };
        let clients = scenario.client_lines.iter().map(connect).collect();
        Self {
            now: START_TIME,
            server,
            clients,
            requests: Vec::new(),
            engine_peers: BTreeMap::new(),
            calls: Vec::new(),
            results: Vec::new(),
            faults: 0,
            stalls: 0,
            is_draining: false,
            is_terminating: false,
            violated_invariant: None,
        }
    }

    /// Whether a request still requires an answer. A request of a slow client counts as answered once the router has
    /// answered it, since the client may not have read the complete answer yet.
    pub fn is_open(&self, request: &RequestRecord) -> bool {
        let client = &self.clients[request.client];
        let is_answer_unread =
            client.capacity.is_some() && !self.server.has_open_request(client.slot, request.id);
        request.answers == 0 && !request.is_cancelled && client.is_connected && !is_answer_unread
    }

    /// Returns the position of the first open request with this number; `None` if there is none.
    pub fn open_request(&self, request_number: u64) -> Option<usize> {
        let has_number = |request: &RequestRecord| request.request_number == request_number;
        self.requests.iter().position(|request| has_number(request) && self.is_open(request))
    }

    /// Returns the time for which engines still remember the key of a request that may have run, zero once they have
    /// forgotten it; `None` for a request without a key, or that has not run.
    pub fn key_window_left(&self, request: usize) -> Option<Duration> {
        if !self.requests[request].has_idempotency_key {
            return None;
        }
        let mut calls = self.calls.iter();
        let first = calls.find(|call| call.request == Some(request) && call.may_have_run)?;
        Some((first.arrived_at + KEY_WINDOW).saturating_sub(self.now))
    }

    /// Returns events that a faulty router could emit in this state, to find the invariants that the state exercises.
    pub fn hypothetical_events(&self) -> Vec<Event> {
        let mut events = vec![Event::Terminal, Event::TimePasses { to: Duration::MAX }];
        for (position, record) in self.requests.iter().enumerate() {
            let request = Some(position);
            events.push(Event::ClientReceives { request, rows: None });
            events.push(Event::ClientReceives { request, rows: Some(b"wrong".to_vec()) });
            events.push(Event::CallArrives { request_number: record.request_number });
        }
        let is_connected = |client: &usize| self.clients[*client].is_connected;
        let connected: Vec<usize> = (0..self.clients.len()).filter(is_connected).collect();
        for client in connected.iter().copied() {
            events.extend(connected.iter().map(|by| Event::ClientCloses { client, by: *by }));
        }
        events
    }

    /// Returns a hash of everything that influences later transitions and violations.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.server.fingerprint(&mut hasher);
        for peer in self.engine_peers.values() {
            (peer.is_connected, peer.unanswered_pings).hash(&mut hasher);
        }
        for client in &self.clients {
            (client.is_connected, client.is_write_closed, client.sent_lines).hash(&mut hasher);
            (client.capacity, &client.partial_line, client.unsent_rest.is_some()).hash(&mut hasher);
        }
        for request in &self.requests {
            let time_left = self.is_open(request).then(|| request.deadline.saturating_sub(self.now));
            (request.client, request.id, request.answers, request.is_cancelled, time_left).hash(&mut hasher);
        }
        for call in &self.calls {
            // The connection matters only while the call may be answered.
            let position = self.engine_peers.keys().position(|slot| *slot == call.connection);
            let connection = position.filter(|_| !call.has_ended);
            (call.request_number, call.request, call.has_ended, call.may_have_run, connection)
                .hash(&mut hasher);
        }
        for position in 0..self.requests.len() {
            self.key_window_left(position).hash(&mut hasher);
        }
        self.stalls.hash(&mut hasher);
        (self.faults, self.is_draining, self.is_terminating, self.server.has_stopped()).hash(&mut hasher);
        self.violated_invariant.hash(&mut hasher);
        hasher.finish()
    }
}

/// Returns the row of the endpoint list for the engine with this index, as ready.
pub fn endpoint_record(engine: u32) -> EndpointRecord {
    ready_endpoint(engine, FIRST_ENGINE_PORT + engine as u16)
}
