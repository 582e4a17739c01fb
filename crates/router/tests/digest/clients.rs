//! The clients of a scenario.

use crate::configuration::CLASSES;
use crate::scenario::Scenario;
use crate::streams::{LimitedSink, ReceivedBytes, StreamEnd};
use emberflow_router::final_checks::CloseReason;
use emberflow_router::slots::Slot;
use serde_json::{Value, json};
use std::time::Duration;

/// A client's connection.
pub struct Client {
    pub number: u64,
    pub slot: Slot,
    /// Bytes that the client has sent and the server has not received yet.
    pending_input: Vec<u8>,
    /// Whether the client has shut down its sending side.
    has_ended: bool,
    /// The number of bytes that the client will still read.
    capacity: usize,
    received: Vec<u8>,
    next_id: u64,
    /// The `id` and `req` of the client's requests.
    requests: Vec<(u64, String)>,
}

impl Scenario<'_> {
    pub fn admit(&mut self) {
        if self.clients.len() >= self.server.dispatcher.config.max_clients() {
            let now = self.server.dispatcher.context.now();
            if let Some(slot) = self.server.dispatcher.clients.longest_idle(now) {
                self.server.close_client(slot, CloseReason::ReplacedWhileIdle);
            }
            return;
        }
        self.connection_count += 1;
        let capacity = if self.random.one_in(6) { 40 } else { usize::MAX };
        self.clients.push(Client {
            number: self.connection_count,
            slot: self.server.accept_client(),
            pending_input: Vec::new(),
            has_ended: false,
            capacity,
            received: Vec::new(),
            next_id: 1,
            requests: Vec::new(),
        });
    }

    fn pick_client(&mut self) -> Option<usize> {
        let sending: Vec<usize> =
            (0..self.clients.len()).filter(|client| !self.clients[*client].has_ended).collect();
        (!sending.is_empty()).then(|| self.random.pick(&sending))
    }

    /// Sends one request or many at once, some with an invalid field.
    pub fn client_sends_requests(&mut self) {
        let Some(client) = self.pick_client() else { return self.admit() };
        let count = if self.random.one_in(12) { 12 } else { 1 };
        for _ in 0..count {
            let line = self.request(client);
            self.clients[client].pending_input.extend(line);
        }
        self.recorder.count("requests sent");
    }

    fn request(&mut self, client: usize) -> Vec<u8> {
        let class = self.random.pick(&CLASSES);
        let req = format!("{:016x}", self.next_req);
        self.next_req += 1;
        let sender = &mut self.clients[client];
        let id = sender.next_id;
        sender.next_id += 1;
        sender.requests.push((id, req.clone()));
        let statement =
            self.random.pick(&["c2VsZWN0IDE=", "c2VsZWN0IGEgZnJvbSB0MQ==", "Y29weSB0MiBmcm9tIHg="]);
        let deadline = self.random.pick(&[90, 320, 320, 640, 1600]);
        let mut params = json!({"req": req, "timeout": deadline, "data": statement});
        if self.random.one_in(2) {
            params["ms"] = json!(self.random.pick(&[1, 10, 20, 60, 200]));
            params["memory"] = json!(self.random.pick(&[20, 300, 900, 3000]));
        }
        if self.random.one_in(3) {
            params["subject"] = json!(self.random.pick(&["s1", "s2", "s3"]));
        }
        if class == "book" {
            params["opkey"] = json!(format!("k{}", self.random.below(1000)));
        }
        if self.random.one_in(4) {
            params["resent"] = json!(self.random.below(2));
        }
        params["team"] = json!(self.random.pick(&["audit", "posting", "payroll", "nobody"]));
        params["urgency"] = json!(self.random.below(4));
        params["tell_wait"] = json!(self.random.one_in(2));
        if self.random.one_in(25) {
            let invalid_fields = [
                ("req", json!("short")),
                ("timeout", json!(0)),
                ("timeout", json!("x")),
                ("ms", json!(-1)),
                ("data", json!("***")),
                ("data", json!("/////w==")),
                ("resent", json!(7)),
                ("opkey", json!("a-b")),
                ("urgency", json!(9)),
            ];
            let (name, value) = self.random.pick(&invalid_fields);
            params[name] = value;
        }
        let id = if self.random.one_in(60) { 1 } else { id };
        format!("{}\n", json!({"jsonrpc": "2.0", "id": id, "method": class, "params": params})).into()
    }

    pub fn client_sends_other_line(&mut self) {
        let Some(client) = self.pick_client() else { return };
        let requests = &self.clients[client].requests;
        let last = requests[requests.len().saturating_sub(4)..].to_vec();
        let max_line_bytes = self.server.dispatcher.config.max_line_bytes();
        let line = match (self.random.below(12), last.is_empty()) {
            (0..5, false) => {
                let (id, req) = self.random.pick(&last);
                let reference = if self.random.one_in(3) { json!({"id": id}) } else { json!({"req": req}) };
                format!("{}\n", json!({"jsonrpc": "2.0", "method": "withdraw", "params": reference}))
            }
            (5, _) => "{\"jsonrpc\":\"2.0\",\"method\":\"status\"}\n".into(),
            (6, _) => "{\"jsonrpc\":\"1.0\",\"id\":5,\"method\":\"status\"}\n[]\n".into(),
            (7, _) => "{oops\n\n{\"jsonrpc\":\"2.0\",\"id\":-3,\"method\":\"status\"}\n".into(),
            (8, _) => {
                "{\"jsonrpc\":\"2.0\",\"id\":77,\"method\":\"dance\"}\n{\"jsonrpc\":\"2.0\",\"id\":6}\n"
                    .into()
            }
            (9, _) if self.random.one_in(6) => " ".repeat(max_line_bytes + 9),
            _ => "{\"jsonrpc\":\"2.0\",\"id\":900,\"method\":\"status\"}\n".into(),
        };
        self.clients[client].pending_input.extend(line.into_bytes());
    }

    /// Delivers the pending input of a client, or a part of it.
    pub fn client_input_arrives(&mut self, stream_end: StreamEnd) {
        let Some(client) = self.pick_client() else { return };
        let all = self.clients[client].pending_input.len();
        let count = if self.random.one_in(4) { self.random.below(all as u64) as usize } else { all };
        let client = &mut self.clients[client];
        client.has_ended = !matches!(stream_end, StreamEnd::WouldBlock);
        let bytes: Vec<u8> = client.pending_input.drain(..count).collect();
        let slot = client.slot;
        self.read_client(slot, &bytes, stream_end);
    }

    pub fn read_client(&mut self, slot: Slot, bytes: &[u8], stream_end: StreamEnd) {
        let since = self.server.dispatcher.context.now() - Duration::from_millis(self.random.below(3));
        let mut received = ReceivedBytes(bytes, stream_end);
        self.server.scan_clients(since, [(slot, &mut received)]);
        self.carry_out();
        while self.server.read_client_line(slot, since, &mut received, || false) {
            self.carry_out();
        }
    }

    pub fn client_resumes_reading(&mut self) {
        let Some(client) = self.pick_client() else { return };
        self.clients[client].capacity = usize::MAX;
        let slot = self.clients[client].slot;
        self.flush_client(slot);
    }

    pub fn flush_client(&mut self, slot: Slot) {
        let Some(client) = self.clients.iter_mut().find(|client| client.slot == slot) else { return };
        let mut sink = LimitedSink { capacity: client.capacity, written: Vec::new() };
        self.server.dispatcher.clients.flush(slot, &mut sink).expect("the sink does not fail");
        client.capacity = sink.capacity;
        let number = client.number;
        self.record_client_bytes(number, &sink.written);
    }

    pub fn record_client_bytes(&mut self, number: u64, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        self.recorder.record("to client", number, bytes);
        let Some(client) = self.clients.iter_mut().find(|client| client.number == number) else { return };
        client.received.extend_from_slice(bytes);
        while let Some(end) = client.received.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = client.received.drain(..=end).collect();
            let line: Value = serde_json::from_slice(&line).expect("the server sends JSON");
            self.recorder.count(answer_kind(&line));
            if !line["error"]["data"]["holdoff"].is_null() {
                self.recorder.count("retry-after named");
            }
        }
    }
}

/// Returns the kind of an answer, for the counts of observations.
fn answer_kind(line: &Value) -> String {
    if line["method"] == "waiting" {
        return "wait announced".into();
    }
    if let Some(code) = line["error"]["code"].as_i64() {
        return format!("error {code}");
    }
    if line["result"]["data"].is_string() { "results" } else { "status" }.into()
}
