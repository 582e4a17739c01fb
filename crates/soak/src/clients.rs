//! Emulated clients: they connect to the routers, send requests, read the answers, and may stop waiting for them.

use crate::classes::RequestClass;
use crate::connections::ConnectionTable;
use crate::records::{Answer, AnswerKind, Departure, Records, RequestRecord};
use crate::sockets::{Stream, StreamState};
use crate::statements::{result_rows, statement, work_ms};
use emberflow_peer_protocol::client::{
    ClientRequest, Outcome, Response, RouterMessage, encode_cancellation, encode_status_request,
};
use emberflow_peer_protocol::request_id;
use mio::net::TcpStream;
use mio::{Registry, Token};
use rand::Rng;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of open requests on a connection; a further request needs another connection.
const MAX_OPEN_REQUESTS: usize = 8;
/// The id of each status request. Ids of other requests count up from 1 and never reach it.
const STATUS_ID: u64 = 0x5747_5553;
/// Idle time after which a client closes its connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// The estimated memory of each request, in MB.
const REQUEST_MEMORY_MB: f64 = 16.0;
/// Probability with which each client connection of a router closes when half of its clients depart.
const DEPARTURE_FRACTION: f64 = 0.5;
/// Probability with which a connection that its client closes is reset.
const RESET_FRACTION: f64 = 0.3;

/// A router that clients connect to.
#[derive(Clone, Copy, Debug)]
pub struct Destination {
    /// Index of the router.
    pub router: usize,
    pub address: SocketAddr,
}

/// A client's connection to a router.
struct ClientConnection {
    /// Index of the router.
    router: usize,
    stream: Stream,
    /// The ids of the open requests, by the ids of their messages.
    open: BTreeMap<u64, String>,
    /// The ids of the requests whose last byte has not been written.
    unwritten: Vec<String>,
    /// The ids of the messages that were answered.
    answered: BTreeSet<u64>,
    next_id: u64,
    last_used_at: Duration,
    /// Whether requests may be sent on the connection; false if it serves a status request or is meant to stay idle.
    is_for_requests: bool,
}

impl ClientConnection {
    fn has_open_request(&self, request_id: &str) -> bool {
        self.open.values().any(|open_id| open_id == request_id)
    }

    fn accepts_request_to(&self, router: usize) -> bool {
        self.router == router && self.is_for_requests && self.open.len() < MAX_OPEN_REQUESTS
    }
}

/// All clients of all routers.
pub struct Clients {
    connections: ConnectionTable<ClientConnection>,
    /// The routers that have answered a status request with `serving`; the event loop drains the list.
    pub serving_routers: Vec<usize>,
    first_token: usize,
    token_limit: usize,
    rng: StdRng,
}

impl Clients {
    /// Returns clients without connections. The tokens of their connections are in `first_token..token_limit`.
    pub fn new(first_token: usize, token_limit: usize, rng: StdRng) -> Self {
        Self {
            connections: ConnectionTable::default(),
            serving_routers: Vec::new(),
            first_token,
            token_limit,
            rng,
        }
    }

    fn connect(
        &mut self,
        destination: Destination,
        is_for_requests: bool,
        now: Duration,
        registry: &Registry,
    ) -> Option<usize> {
        let index = self.connections.free_index();
        if self.first_token + index >= self.token_limit {
            return None;
        }
        let socket = TcpStream::connect(destination.address).ok()?;
        let stream = Stream::register(socket, Token(self.first_token + index), registry).ok()?;
        let connection = ClientConnection {
            router: destination.router,
            stream,
            open: BTreeMap::new(),
            unwritten: Vec::new(),
            answered: BTreeSet::new(),
            next_id: 1,
            last_used_at: now,
            is_for_requests,
        };
        self.connections.insert(index, connection);
        Some(index)
    }

    /// Opens a connection to a router and sends a status request on it.
    pub fn request_status(&mut self, destination: Destination, now: Duration, registry: &Registry) {
        let Some(index) = self.connect(destination, false, now, registry) else { return };
        self.send(index, &encode_status_request(STATUS_ID));
    }

    /// Opens a connection to a router on which nothing is sent.
    pub fn open_idle_connection(&mut self, destination: Destination, now: Duration, registry: &Registry) {
        self.connect(destination, false, now, registry);
    }

    fn send(&mut self, index: usize, line: &[u8]) {
        if let Some(connection) = self.connections.get_mut(index) {
            connection.stream.send(line);
        }
    }

    /// Sends a request to a router, on a connection with capacity or on a new one. Returns the request's id, or `None`
    /// if no connection could be opened.
    pub fn send_request(
        &mut self,
        destination: Destination,
        class: RequestClass,
        now: Duration,
        registry: &Registry,
        records: &mut Records,
    ) -> Option<String> {
        let router = destination.router;
        let index = match self.connections.position(|connection| connection.accepts_request_to(router)) {
            Some(index) => index,
            None => self.connect(destination, true, now, registry)?,
        };
        let request_id = request_id(self.rng.random());
        let connection = self.connections.get_mut(index)?;
        let id = connection.next_id;
        connection.next_id += 1;
        connection.last_used_at = now;
        connection.open.insert(id, request_id.clone());
        records.requests.insert(request_id.clone(), RequestRecord::sent(class, router, now));
        connection.stream.send(&client_request(id, &request_id, class).encode());
        if !connection.stream.is_flushed() {
            connection.unwritten.push(request_id.clone());
        }
        Some(request_id)
    }

    /// Cancels an open request.
    pub fn cancel(&mut self, request_id: &str, now: Duration, records: &mut Records) {
        let position = self.connections.position(|connection| connection.has_open_request(request_id));
        let Some(index) = position else { return };
        self.send(index, &encode_cancellation(request_id));
        if let Some(connection) = self.connections.get_mut(index) {
            connection.open.retain(|_, open_id| open_id != request_id);
        }
        record_departure(request_id, now, Departure::Cancelled, records);
    }

    /// Closes the connection of an open request, and with it all other open requests of the connection.
    pub fn close_connection_of(&mut self, request_id: &str, now: Duration, records: &mut Records) {
        for index in self.connections.positions(|connection| connection.has_open_request(request_id)) {
            self.disconnect(index, now, records);
        }
    }

    /// Closes each connection to a router with a probability of one half.
    pub fn close_half_of_connections(&mut self, router: usize, now: Duration, records: &mut Records) {
        for index in self.connections.positions(|connection| connection.router == router) {
            if self.rng.random_bool(DEPARTURE_FRACTION) {
                self.disconnect(index, now, records);
            }
        }
    }

    /// Closes a connection and records the departure of its open requests.
    fn disconnect(&mut self, index: usize, now: Duration, records: &mut Records) {
        let Some(connection) = self.connections.remove(index) else { return };
        if self.rng.random_bool(RESET_FRACTION) {
            connection.stream.reset_on_close();
        }
        for request_id in connection.open.values() {
            record_departure(request_id, now, Departure::ConnectionClosed, records);
        }
    }

    /// Closes the connections that have had no open request for `IDLE_TIMEOUT`.
    pub fn close_idle_connections(&mut self, now: Duration) {
        self.connections.retain(|connection| {
            !connection.open.is_empty() || connection.last_used_at + IDLE_TIMEOUT >= now
        });
    }

    /// Whether a token belongs to a client's connection.
    pub fn owns(&self, token: Token) -> bool {
        (self.first_token..self.token_limit).contains(&token.0)
    }

    /// Writes and reads a connection that has become readable or writable, and handles the lines that have arrived.
    pub fn serve_socket(&mut self, token: Token, now: Duration, records: &mut Records) {
        let index = token.0 - self.first_token;
        let Some(connection) = self.connections.get_mut(index) else { return };
        connection.stream.flush();
        if connection.stream.is_flushed() {
            record_sent(std::mem::take(&mut connection.unwritten), now, records);
        }
        let state = connection.stream.fill(now);
        while let Some(line) = self.take_line(index) {
            self.handle_line(index, &line, now, records);
        }
        if state == StreamState::Ended
            && let Some(ended_connection) = self.connections.remove(index)
        {
            record_connection_end(ended_connection.open.values(), now, records);
        }
    }

    fn take_line(&mut self, index: usize) -> Option<Vec<u8>> {
        self.connections.get_mut(index)?.stream.take_line()
    }

    fn handle_line(&mut self, index: usize, line: &[u8], now: Duration, records: &mut Records) {
        match RouterMessage::decode(line) {
            Ok(RouterMessage::Response(Response { id: STATUS_ID, outcome })) => {
                let connection = self.connections.remove(index);
                if outcome == (Outcome::Status { is_serving: true }) {
                    self.serving_routers.extend(connection.map(|connection| connection.router));
                }
            }
            Ok(RouterMessage::Response(response)) => self.handle_response(index, &response, now, records),
            Ok(RouterMessage::WaitAnnouncement(_) | RouterMessage::Other) => {}
            Err(_) => records.unexpected_answers += 1,
        }
    }

    fn handle_response(&mut self, index: usize, response: &Response, now: Duration, records: &mut Records) {
        let Some(connection) = self.connections.get_mut(index) else { return };
        let id = response.id;
        connection.last_used_at = now;
        match connection.open.remove(&id) {
            Some(request_id) => {
                connection.answered.insert(id);
                record_answer(&request_id, &response.outcome, now, records);
            }
            None if connection.answered.contains(&id) || id >= connection.next_id => {
                records.unexpected_answers += 1;
            }
            // A cancelled request may still be answered.
            None => {}
        }
    }
}

fn client_request(id: u64, request_id: &str, class: RequestClass) -> ClientRequest {
    let profile = class.profile();
    let statement = statement(profile.work);
    let idempotency_key = (class == RequestClass::Load).then(|| format!("{request_id}{request_id}"));
    ClientRequest {
        work_ms: work_ms(profile.work),
        memory_mb: REQUEST_MEMORY_MB,
        idempotency_key,
        ..ClientRequest::new(id, class.name(), request_id, profile.deadline, statement.as_bytes())
    }
}

/// Records that the last byte of these requests has been written.
fn record_sent(request_ids: Vec<String>, now: Duration, records: &mut Records) {
    for request_id in request_ids {
        if let Some(request) = records.requests.get_mut(&request_id) {
            request.sent_at = now;
        }
    }
}

fn record_departure(request_id: &str, now: Duration, departure: Departure, records: &mut Records) {
    if let Some(request) = records.requests.get_mut(request_id) {
        request.departure.get_or_insert((now, departure));
    }
}

/// Records that the router has closed the connection of these open requests.
fn record_connection_end<'a>(
    request_ids: impl Iterator<Item = &'a String>,
    now: Duration,
    records: &mut Records,
) {
    for request_id in request_ids {
        if let Some(request) = records.requests.get_mut(request_id) {
            request.connection_ended_at.get_or_insert(now);
        }
    }
}

fn record_answer(request_id: &str, outcome: &Outcome, now: Duration, records: &mut Records) {
    let Some(request) = records.requests.get_mut(request_id) else { return };
    let kind = match outcome {
        Outcome::Rejected { .. } => AnswerKind::Rejected,
        Outcome::Failed | Outcome::Invalid { .. } => AnswerKind::Failed,
        Outcome::Result { rows: Some(rows) } if is_result_of(request_id, rows, request) => {
            AnswerKind::Succeeded
        }
        Outcome::Result { .. } | Outcome::Status { .. } => AnswerKind::WrongResult,
    };
    request.answers.push(Answer { at: now, kind });
}

/// Whether the rows are all rows, in order, of the result that an engine has made for one of the request's attempts.
fn is_result_of(request_id: &str, rows: &[u8], request: &RequestRecord) -> bool {
    let mut attempts = request.attempts.iter().enumerate();
    attempts.any(|(index, attempt)| {
        let is_made = attempt.pages > 0;
        is_made && rows == result_rows(request_id, attempt.engine, index, attempt.pages).as_bytes()
    })
}
