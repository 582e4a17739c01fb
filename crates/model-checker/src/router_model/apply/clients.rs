//! The clients of the router model: the lines that they send and the answers that they read.

use super::super::scenario::{CLIENT_TIMEOUT, ClientLine, REQUEST_MEMORY_MB, REQUEST_WORK_MS};
use super::super::state::{Event, RequestRecord};
use super::TransitionApplier;
use crate::wire::{Peer, ScriptedInput};
use emberflow_peer_protocol::client::{
    ClientRequest, Outcome, Response, RouterMessage, encode_cancellation, take_line,
};
use emberflow_peer_protocol::request_id;
use emberflow_router::slots::Slot;

/// A line that is not JSON.
const MALFORMED_LINE: &[u8] = b"{\n";

impl TransitionApplier<'_> {
    pub(super) fn send_line(&mut self, client: usize, line: usize) {
        self.state.clients[client].sent_lines |= 1 << line;
        let mut bytes = self.line_bytes(self.scenario.client_lines[client][line]);
        if self.scenario.split_lines {
            let rest = bytes.split_off(bytes.len() / 2);
            self.state.clients[client].unsent_rest = Some((line, rest));
        } else {
            self.record_line(client, line);
        }
        self.deliver_to_server(client, ScriptedInput::bytes(bytes));
    }

    pub(super) fn send_rest(&mut self, client: usize) {
        let Some((line, rest)) = self.state.clients[client].unsent_rest.take() else { return };
        self.record_line(client, line);
        self.deliver_to_server(client, ScriptedInput::bytes(rest));
    }

    pub(super) fn close_write_side(&mut self, client: usize) {
        self.state.clients[client].is_write_closed = true;
        self.deliver_to_server(client, ScriptedInput::end_of_stream());
    }

    pub(super) fn reset_client(&mut self, client: usize) {
        self.state.clients[client].is_connected = false;
        self.deliver_to_server(client, ScriptedInput::reset());
    }

    pub(super) fn resume_reading(&mut self, client: usize) {
        self.state.clients[client].capacity = None;
        self.flush_to_client(self.state.clients[client].slot);
    }

    fn line_bytes(&self, line: ClientLine) -> Vec<u8> {
        match line {
            ClientLine::Request { id, class, request_number } => {
                let request = ClientRequest {
                    work_ms: REQUEST_WORK_MS,
                    memory_mb: REQUEST_MEMORY_MB,
                    ..ClientRequest::new(id, class, &request_id(request_number), CLIENT_TIMEOUT, b"")
                };
                request.encode()
            }
            ClientLine::Cancel { request_number } => encode_cancellation(&request_id(request_number)),
            ClientLine::Malformed => MALFORMED_LINE.to_vec(),
            ClientLine::Endless => vec![b' '; self.state.server.dispatcher.config.max_line_bytes()],
        }
    }

    /// Records the request or cancellation in a line that a client has sent completely.
    fn record_line(&mut self, client: usize, line: usize) {
        match self.scenario.client_lines[client][line] {
            ClientLine::Request { id, class, request_number } => {
                self.state.requests.push(RequestRecord {
                    client,
                    id,
                    request_number,
                    is_non_idempotent: class == "post",
                    has_idempotency_key: class == "book",
                    deadline: self.state.now + CLIENT_TIMEOUT,
                    answers: 0,
                    is_cancelled: false,
                });
            }
            ClientLine::Cancel { request_number } => {
                for request in &mut self.state.requests {
                    let is_cancelled_request =
                        request.client == client && request.request_number == request_number;
                    request.is_cancelled |= is_cancelled_request && request.answers == 0;
                }
            }
            ClientLine::Malformed | ClientLine::Endless => {}
        }
    }

    /// Passes the input of a client to the server.
    fn deliver_to_server(&mut self, client: usize, mut input: ScriptedInput) {
        let slot = self.state.clients[client].slot;
        let server = &mut self.state.server;
        let now = server.dispatcher.context.now();
        server.scan_clients(now, [(slot, &mut input)]);
        while server.read_client_line(slot, now, &mut input, || false) {}
    }

    fn client_at(&self, slot: Slot) -> Option<usize> {
        self.state.clients.iter().position(|client| client.slot == slot)
    }

    /// Lets a client read the last bytes of a connection that the server has closed, and records the close.
    pub(super) fn close_client(&mut self, slot: Slot, unread: &[u8]) {
        self.record_answers(slot, unread);
        let Some(client) = self.client_at(slot) else { return };
        self.state.clients[client].is_connected = false;
        if let Some(by) = self.acting_client {
            self.check(&Event::ClientCloses { client, by });
        }
    }

    /// Lets a client read the server's output, up to the client's capacity.
    pub(super) fn flush_to_client(&mut self, slot: Slot) {
        let Some(client) = self.client_at(slot) else { return };
        let mut peer = Peer::with_capacity(self.state.clients[client].capacity);
        let clients = &mut self.state.server.dispatcher.clients;
        clients.flush(slot, &mut peer).expect("a write to a peer in memory fails only by blocking");
        self.state.clients[client].capacity = peer.capacity;
        self.record_answers(slot, &peer.inbox);
    }

    /// Adds bytes to those that a client has read, and records the answers that are complete.
    fn record_answers(&mut self, slot: Slot, bytes: &[u8]) {
        let Some(client) = self.client_at(slot) else { return };
        self.state.clients[client].partial_line.extend(bytes);
        while let Some(line) = take_line(&mut self.state.clients[client].partial_line) {
            let Ok(RouterMessage::Response(response)) = RouterMessage::decode(&line) else { continue };
            self.record_response(client, response);
        }
    }

    fn record_response(&mut self, client: usize, response: Response) {
        let is_answered_request =
            |request: &RequestRecord| (request.client, request.id) == (client, response.id);
        let request = self.state.requests.iter().position(is_answered_request);
        let rows = match response.outcome {
            Outcome::Result { rows } => rows,
            _ => None,
        };
        self.check(&Event::ClientReceives { request, rows });
        if let Some(request) = request {
            self.state.requests[request].answers += 1;
        }
    }
}
