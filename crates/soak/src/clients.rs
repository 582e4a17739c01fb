//! Emulated clients: connections to the routers, requests with answers to them, and clients that leave.

use crate::classes::RequestClass;
use crate::records::{Answer, AnswerKind, Departure, Records, RequestRecord};
use crate::sockets::{Stream, StreamState};
use base64::prelude::{BASE64_STANDARD, Engine as _};
use mio::net::TcpStream;
use mio::{Registry, Token};
use rand::Rng;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

const REJECTED: i64 = -32011;
/// Requests that a client opens on one connection before it makes another.
const MOST_OPEN: usize = 8;
/// The id of a status request, which no other request has.
const STATUS_ID: u64 = 0x5747_5553;
/// A client closes a connection that it has not used for so long.
const IDLE_CLOSE: Duration = Duration::from_secs(4);

/// A client's connection to a router.
struct Connection {
    router: usize,
    stream: Stream,
    /// Names of the open requests by their ids on this connection.
    open: BTreeMap<u64, String>,
    /// Requests that were not written to their last byte.
    unwritten: Vec<String>,
    /// Ids that were answered.
    answered: BTreeSet<u64>,
    next_id: u64,
    last_used: Duration,
    /// Whether it only asks for the router's status, or only occupies a descriptor.
    is_for_requests: bool,
}

/// All clients of all routers.
pub struct Clients {
    connections: Vec<Option<Connection>>,
    /// Routers that have answered that they serve, since this was last taken.
    pub serving: Vec<usize>,
    first_token: usize,
    token_limit: usize,
    rng: StdRng,
}

impl Clients {
    /// No clients yet; their connections get tokens in this range.
    pub fn new(first_token: usize, token_limit: usize, rng: StdRng) -> Self {
        Self { connections: Vec::new(), serving: Vec::new(), first_token, token_limit, rng }
    }

    fn connect(
        &mut self,
        router: usize,
        address: SocketAddr,
        now: Duration,
        registry: &Registry,
        is_for_requests: bool,
    ) -> Option<usize> {
        let free = self.connections.iter().position(Option::is_none);
        let place = free.unwrap_or(self.connections.len());
        if self.first_token + place >= self.token_limit {
            return None;
        }
        let socket = TcpStream::connect(address).ok()?;
        let stream = Stream::register(socket, Token(self.first_token + place), registry).ok()?;
        let connection = Connection {
            router,
            stream,
            open: BTreeMap::new(),
            unwritten: Vec::new(),
            answered: BTreeSet::new(),
            next_id: 1,
            last_used: now,
            is_for_requests,
        };
        if place == self.connections.len() {
            self.connections.push(Some(connection));
        } else {
            self.connections[place] = Some(connection);
        }
        Some(place)
    }

    /// Asks a router whether it serves.
    pub fn ask_status(&mut self, router: usize, address: SocketAddr, now: Duration, registry: &Registry) {
        let Some(place) = self.connect(router, address, now, registry, false) else { return };
        let line = json!({"jsonrpc": "2.0", "id": STATUS_ID, "method": "status", "params": {}});
        self.send_line(place, &line);
    }

    /// Connects and sends nothing.
    pub fn idle_connection(
        &mut self,
        router: usize,
        address: SocketAddr,
        now: Duration,
        registry: &Registry,
    ) {
        self.connect(router, address, now, registry, false);
    }

    fn send_line(&mut self, place: usize, line: &Value) {
        if let Some(Some(connection)) = self.connections.get_mut(place) {
            connection.stream.send(format!("{line}\n").as_bytes());
        }
    }

    fn connection_with_room(&self, router: usize) -> Option<usize> {
        let has_room = |connection: &Connection| {
            connection.router == router && connection.is_for_requests && connection.open.len() < MOST_OPEN
        };
        self.connections.iter().position(|entry| entry.as_ref().is_some_and(has_room))
    }

    /// Sends a request to a router, on a connection that has room or a new one; returns its name.
    pub fn send_request(
        &mut self,
        router: usize,
        address: SocketAddr,
        class: RequestClass,
        now: Duration,
        registry: &Registry,
        records: &mut Records,
    ) -> Option<String> {
        let place = match self.connection_with_room(router) {
            Some(place) => place,
            None => self.connect(router, address, now, registry, true)?,
        };
        let name = format!("{:016x}", self.rng.random::<u64>());
        let connection = self.connections.get_mut(place)?.as_mut()?;
        let id = connection.next_id;
        connection.next_id += 1;
        connection.last_used = now;
        connection.open.insert(id, name.clone());
        records.requests.insert(name.clone(), RequestRecord::sent(class, router, now));
        self.send_line(place, &request_line(id, &name, class));
        if let Some(Some(connection)) = self.connections.get_mut(place)
            && !connection.stream.is_flushed()
        {
            connection.unwritten.push(name.clone());
        }
        Some(name)
    }

    /// Withdraws a request that is open.
    pub fn withdraw(&mut self, name: &str, now: Duration, records: &mut Records) {
        let holds = |entry: &Option<Connection>| {
            entry.as_ref().is_some_and(|connection| connection.open.values().any(|open| open == name))
        };
        let Some(place) = self.connections.iter().position(holds) else { return };
        let line = json!({"jsonrpc": "2.0", "method": "withdraw", "params": {"req": name}});
        self.send_line(place, &line);
        if let Some(Some(connection)) = self.connections.get_mut(place) {
            connection.open.retain(|_, open| open != name);
        }
        depart(name, now, Departure::Cancelled, records);
    }

    /// Closes the connection of a request that is open, or half of all connections of a router.
    pub fn close_connection_of(&mut self, name: &str, now: Duration, records: &mut Records) {
        for place in 0..self.connections.len() {
            let Some(connection) = &self.connections[place] else { continue };
            if connection.open.values().any(|open| open == name) {
                self.leave(place, now, records);
            }
        }
    }

    /// Half of a router's clients close their connections.
    pub fn leave_in_a_burst(&mut self, router: usize, now: Duration, records: &mut Records) {
        for place in 0..self.connections.len() {
            let is_of_router =
                self.connections[place].as_ref().is_some_and(|connection| connection.router == router);
            if is_of_router && self.rng.random_bool(0.5) {
                self.leave(place, now, records);
            }
        }
    }

    fn leave(&mut self, place: usize, now: Duration, records: &mut Records) {
        let Some(connection) = self.connections[place].take() else { return };
        if self.rng.random_bool(0.3) {
            connection.stream.reset_on_close();
        }
        for name in connection.open.values() {
            depart(name, now, Departure::ConnectionClosed, records);
        }
    }

    /// Closes connections that were not used for long.
    pub fn close_idle(&mut self, now: Duration) {
        for entry in &mut self.connections {
            let is_idle = |connection: &Connection| {
                connection.open.is_empty() && connection.last_used + IDLE_CLOSE < now
            };
            if entry.as_ref().is_some_and(is_idle) {
                *entry = None;
            }
        }
    }

    /// Whether a token belongs to a client.
    pub fn owns(&self, token: Token) -> bool {
        (self.first_token..self.token_limit).contains(&token.0)
    }

    /// Handles a socket that has become ready.
    pub fn ready(&mut self, token: Token, now: Duration, records: &mut Records) {
        let place = token.0 - self.first_token;
        let Some(Some(connection)) = self.connections.get_mut(place) else { return };
        connection.stream.flush();
        if connection.stream.is_flushed() {
            for name in std::mem::take(&mut connection.unwritten) {
                if let Some(request) = records.requests.get_mut(&name) {
                    request.sent_at = now;
                }
            }
        }
        let state = connection.stream.fill(now);
        while let Some(line) = self.take_line(place) {
            self.handle_line(place, &line, now, records);
        }
        if state == StreamState::Ended
            && let Some(connection) = self.connections[place].take()
        {
            for name in connection.open.values() {
                if let Some(request) = records.requests.get_mut(name) {
                    request.connection_ended_at.get_or_insert(now);
                }
            }
        }
    }

    fn take_line(&mut self, place: usize) -> Option<Vec<u8>> {
        let input = &mut self.connections.get_mut(place)?.as_mut()?.stream.input;
        let end = input.iter().position(|byte| *byte == b'\n')?;
        Some(input.drain(..=end).collect())
    }

    fn handle_line(&mut self, place: usize, line: &[u8], now: Duration, records: &mut Records) {
        let Some(Some(connection)) = self.connections.get_mut(place) else { return };
        let Ok(answer) = serde_json::from_slice::<Value>(line) else {
            records.unexpected_answers += 1;
            return;
        };
        let Some(id) = answer["id"].as_u64() else { return };
        if id == STATUS_ID {
            if answer["result"]["serving"] == json!(true) {
                self.serving.push(connection.router);
            }
            self.connections[place] = None;
            return;
        }
        connection.last_used = now;
        match connection.open.remove(&id) {
            Some(name) => {
                connection.answered.insert(id);
                record_answer(&name, &answer, now, records);
            }
            // A withdrawn request may be answered still; one that was answered must not be again.
            None if connection.answered.contains(&id) || id >= connection.next_id => {
                records.unexpected_answers += 1
            }
            None => {}
        }
    }
}

fn request_line(id: u64, name: &str, class: RequestClass) -> Value {
    let profile = class.profile();
    let work_ms = profile.work.as_secs_f64() * 1e3;
    let mut params = json!({"req": name, "timeout": profile.deadline.as_millis() as u64,
        "data": BASE64_STANDARD.encode(format!("work_ms={work_ms}")), "ms": work_ms, "memory": 16});
    if class == RequestClass::Load {
        params["opkey"] = json!(format!("{name}{name}"));
    }
    json!({"jsonrpc": "2.0", "id": id, "method": class.name(), "params": params})
}

fn depart(name: &str, now: Duration, how: Departure, records: &mut Records) {
    if let Some(request) = records.requests.get_mut(name) {
        request.departure.get_or_insert((now, how));
    }
}

fn record_answer(name: &str, answer: &Value, now: Duration, records: &mut Records) {
    let Some(request) = records.requests.get_mut(name) else { return };
    let kind = match answer["error"]["code"].as_i64() {
        Some(REJECTED) => AnswerKind::Rejected,
        Some(_) => AnswerKind::Failed,
        None if is_result_of(name, answer, request) => AnswerKind::Succeeded,
        None => AnswerKind::WrongResult,
    };
    request.answers.push(Answer { at: now, kind });
}

/// Whether a result is what the engine of one of the request's attempts made for it.
fn is_result_of(name: &str, answer: &Value, request: &RequestRecord) -> bool {
    let data = answer["result"]["data"].as_str().and_then(|data| BASE64_STANDARD.decode(data).ok());
    let text = data.and_then(|data| String::from_utf8(data).ok()).unwrap_or_default();
    let mut attempts = request.attempts.iter().enumerate();
    attempts.any(|(number, attempt)| text == format!("{name}\t{}\t{number}\n", attempt.engine))
}
