//! The state of the router model: the router, its clients and its engines.

use super::scenario::{CONFIGURATION, RouterScenario};
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

/// Bytes that a slow client reads at first: less than any answer.
const SLOW_READER_BYTES: usize = 10;
/// The port of the first engine; the others follow.
const FIRST_ENGINE_PORT: u16 = 9;

/// What the router does, as its clients and engines observe it, and two things that happen around it.
pub enum Event {
    /// A client reads an answer to the request at this position, or to none that it sent.
    ClientReads { request: Option<usize>, body: Option<Vec<u8>> },
    /// A call has arrived at an engine completely.
    CallArrives { req: u64 },
    /// A client's connection closes after the input of client `by`.
    ClientCloses { client: usize, by: usize },
    /// Time passes until then.
    TimePasses { to: Duration },
    /// No transition is enabled any more.
    Terminal,
}

/// A client's end of its connection.
#[derive(Clone)]
pub struct ClientRecord {
    /// The router's handle of the connection.
    pub slot: Slot,
    /// Whether neither side has closed the connection.
    pub is_connected: bool,
    /// Whether the client has closed its write side.
    pub is_write_closed: bool,
    /// The lines that were sent, as a bit set.
    pub sent_lines: u32,
    /// Bytes that it still reads; `None` for any number.
    pub capacity: Option<usize>,
    /// The beginning of a line that it has not read to the end.
    pub partial_line: Vec<u8>,
    /// The line that it has sent in part, and the rest of that.
    pub unsent_rest: Option<(usize, Vec<u8>)>,
}

/// A request as its client knows it.
#[derive(Clone)]
pub struct RequestRecord {
    /// The client that sent it.
    pub client: usize,
    /// Its id on the connection.
    pub id: u64,
    /// The number that its `req` is made of.
    pub req: u64,
    /// Whether its class is not idempotent.
    pub is_non_idempotent: bool,
    /// By when it must be answered.
    pub deadline: Duration,
    /// How many answers its client has read.
    pub answers: u8,
    /// Whether its client has withdrawn it.
    pub is_withdrawn: bool,
}

/// A call that arrived at an engine completely.
#[derive(Clone)]
pub struct CallRecord {
    /// The number that its `req` is made of.
    pub req: u64,
    /// The request that was open under that number when it arrived.
    pub request: Option<usize>,
    /// The connection on which it arrived.
    pub connection: Slot,
    /// Whether the engine will not answer it any more.
    pub has_ended: bool,
    /// Whether the engine may have executed it.
    pub may_have_run: bool,
}

/// A result that an engine sent.
#[derive(Clone)]
pub struct ResultRecord {
    /// The number that the request's `req` is made of.
    pub req: u64,
    /// The body.
    pub body: String,
}

/// The router and its environment.
#[derive(Clone)]
pub struct RouterState {
    /// The clock.
    pub now: Duration,
    /// The system under test.
    pub server: Server,
    /// The clients.
    pub clients: Vec<ClientRecord>,
    /// The requests that were sent completely, in that order.
    pub requests: Vec<RequestRecord>,
    /// The engines' ends of their connections.
    pub engine_peers: BTreeMap<Slot, Peer>,
    /// The calls that arrived at engines, in that order.
    pub calls: Vec<CallRecord>,
    /// The results that engines sent.
    pub results: Vec<ResultRecord>,
    /// How many connections to engines were reset or refused.
    pub faults: u8,
    /// Whether the first engine drains.
    pub is_draining: bool,
    /// Whether the process was asked to terminate.
    pub is_terminating: bool,
    /// The first invariant that was violated.
    pub violated: Option<&'static str>,
}

impl RouterState {
    /// The state in which every engine has been listed and every client has connected.
    pub fn new(scenario: &RouterScenario) -> Self {
        let file: Value = serde_json::from_str(CONFIGURATION).expect("the model's configuration is JSON");
        let bootstrap = Bootstrap::read(&file, None).expect("the model's configuration is valid");
        let context = Context { now: START_TIME, ..Context::default() };
        let mut server = Server::new(bootstrap, context);
        let endpoints = endpoint_rows(scenario);
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
            is_draining: false,
            is_terminating: false,
            violated: None,
        }
    }

    /// Whether an answer to a request is still owed. Of an answer that its client reads slowly none is owed any more.
    pub fn is_open(&self, request: &RequestRecord) -> bool {
        let client = &self.clients[request.client];
        let is_being_read =
            client.capacity.is_some() && !self.server.has_open_request(client.slot, request.id);
        request.answers == 0 && !request.is_withdrawn && client.is_connected && !is_being_read
    }

    /// The first request that is open under a number.
    pub fn open_request(&self, req: u64) -> Option<usize> {
        self.requests.iter().position(|request| request.req == req && self.is_open(request))
    }

    /// Events that a faulty router could emit in this state.
    pub fn hypothetical_events(&self) -> Vec<Event> {
        let mut events = vec![Event::Terminal, Event::TimePasses { to: Duration::MAX }];
        for (position, record) in self.requests.iter().enumerate() {
            let request = Some(position);
            events.push(Event::ClientReads { request, body: None });
            events.push(Event::ClientReads { request, body: Some(b"wrong".to_vec()) });
            events.push(Event::CallArrives { req: record.req });
        }
        let connected = || (0..self.clients.len()).filter(|client| self.clients[*client].is_connected);
        events.extend(
            connected().flat_map(|client| connected().map(move |by| Event::ClientCloses { client, by })),
        );
        events
    }

    /// Equal for states with equal futures.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.server.fingerprint(&mut hasher);
        for peer in self.engine_peers.values() {
            (peer.is_connected, peer.pings).hash(&mut hasher);
        }
        for client in &self.clients {
            (client.is_connected, client.is_write_closed, client.sent_lines).hash(&mut hasher);
            (client.capacity, &client.partial_line, client.unsent_rest.is_some()).hash(&mut hasher);
        }
        for request in &self.requests {
            let time_left = self.is_open(request).then(|| request.deadline.saturating_sub(self.now));
            (request.client, request.id, request.answers, request.is_withdrawn, time_left).hash(&mut hasher);
        }
        for call in &self.calls {
            // On which connection it came matters while it may be answered.
            let connection = self.engine_peers.keys().position(|slot| *slot == call.connection);
            let connection = connection.filter(|_| !call.has_ended);
            (call.req, call.request, call.has_ended, call.may_have_run, connection).hash(&mut hasher);
        }
        (self.faults, self.is_draining, self.is_terminating, self.server.has_stopped()).hash(&mut hasher);
        self.violated.hash(&mut hasher);
        hasher.finish()
    }
}

/// The endpoint list's rows of all engines, ready.
fn endpoint_rows(scenario: &RouterScenario) -> Vec<EndpointRecord> {
    (0..scenario.engines).map(endpoint_row).collect()
}

/// The endpoint list's row of an engine that is ready.
pub fn endpoint_row(engine: u32) -> EndpointRecord {
    ready_endpoint(engine, FIRST_ENGINE_PORT + engine as u16)
}
