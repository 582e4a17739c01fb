//! Guards refactorings that must not change behaviour: random scenarios from seeds, run on the server without sockets or
//! clock, and one digest over all that its peers would observe: the bytes on each connection, what is dialled and
//! closed, and when the next timer is due. Log lines are not in it.

use emberflow_router::bootstrap::Bootstrap;
use emberflow_router::clients::ClientInput;
use emberflow_router::context::Context;
use emberflow_router::dispatch::Dispatcher;
use emberflow_router::engine_pool::{PoolCommand, Reachability};
use emberflow_router::gate::CloseReason;
use emberflow_router::resp;
use emberflow_router::server::{ClosedClient, Server};
use emberflow_router::slots::Slot;
use emberflow_router::timers::Timer;
use expect_test::expect;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Result, Write};
use std::time::Duration;

const SCENARIOS: u64 = 160;
const STEPS_PER_SCENARIO: u64 = 500;
const START: Duration = Duration::from_secs(20);
const CLASSES: [&str; 4] = ["lookup", "post", "book", "ingest"];

const OPERATORS_FILES: [&str; 2] = [
    r#"{teams: {waits: {field: "tell_wait", every_s: 0.1}, firms: [{name: "north", share: 2}, {name: "south"}],
    list: [{name: "audit", firm: "north", share: 3}, {name: "posting", firm: "north", most_waiting: 3,
    budget: {work_s: 0.5, per_s: 2, burst_s: 1}}, {name: "payroll", firm: "south"}], others: {share: 0.5}}}"#,
    r#"{teams: {waits: {field: "tell_wait", every_s: 0.2}, list: [{name: "audit"}, {name: "payroll",
    most_waiting: 2}], others: {share: 0.5, most_waiting: 4}}}"#,
];

/// How often something must have happened in the scenarios, or their digest would cover little: as observed by peers, or
/// as the server counts it.
const MINIMUM_COUNTS: [(&str, u64); 40] = [
    ("results", 1000),
    ("status", 200),
    ("wait announced", 200),
    ("retry-after named", 200),
    ("error -32000", 200),
    ("error -32011", 1000),
    ("error -32600", 100),
    ("error -32601", 50),
    ("error -32602", 100),
    ("error -32700", 50),
    ("engine receives GET", 2000),
    ("engine receives PAGE", 200),
    ("engine receives DROP", 500),
    ("engine receives CLOSE", 30),
    ("engine receives PING", 300),
    ("attempts retried", 300),
    ("connections dialled", 500),
    ("connections refused", 50),
    ("connections closed", 200),
    ("clients closed", 300),
    ("clients_idle", 20),
    ("clients_stalled", 10),
    ("complete lists", 100),
    ("list changes", 100),
    ("lists refused", 10),
    ("reloads", 50),
    ("graceful shutdowns", 30),
    ("processes ended", 10),
    ("requests_cancelled", 500),
    ("requests_rejected_at_admission", 200),
    ("attempts_overloaded", 200),
    ("attempts_failed", 100),
    ("attempts_timed_out", 200),
    ("attempts_unreachable", 200),
    ("attempts_broken", 200),
    ("attempts_not_sent", 200),
    ("attempts_cancelled_before_retry", 200),
    ("connections_silent", 100),
    ("engine_input_malformed", 50),
    ("engine_input_cut_short", 50),
];

/// A source of random numbers that is the same on every platform: SplitMix64.
struct RandomSource(u64);

impl RandomSource {
    fn number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, end: u64) -> u64 {
        self.number() % end.max(1)
    }

    fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }

    fn pick<T: Clone>(&mut self, from: &[T]) -> T {
        from[self.below(from.len() as u64) as usize].clone()
    }
}

/// What the peers have observed in all scenarios.
#[derive(Default)]
struct Recorder {
    digest: Sha256,
    observed: BTreeMap<String, u64>,
    /// The servers' own counters, which show what the scenarios consist of and are not in the digest.
    server_counters: BTreeMap<String, u64>,
}

impl Recorder {
    fn record(&mut self, what: &str, connection: u64, bytes: &[u8]) {
        for part in [what.as_bytes(), &connection.to_le_bytes(), bytes] {
            self.digest.update((part.len() as u64).to_le_bytes());
            self.digest.update(part);
        }
    }

    fn count(&mut self, kind: impl Into<String>) {
        *self.observed.entry(kind.into()).or_default() += 1;
    }
}

/// What follows the bytes that a connection has received: nothing for now, its end, or a reset.
#[derive(Clone, Copy)]
enum StreamEnd {
    WouldBlock,
    EndOfStream,
    Reset,
}

struct ReceivedBytes<'a>(&'a [u8], StreamEnd);

impl ClientInput for ReceivedBytes<'_> {}

impl Read for ReceivedBytes<'_> {
    fn read(&mut self, into: &mut [u8]) -> Result<usize> {
        match (self.0.read(into)?, self.1) {
            (0, StreamEnd::WouldBlock) => Err(ErrorKind::WouldBlock.into()),
            (0, StreamEnd::Reset) => Err(ErrorKind::ConnectionReset.into()),
            (count, _) => Ok(count),
        }
    }
}

/// The other end of a connection, which accepts some bytes and then would block.
struct LimitedSink {
    capacity: usize,
    written: Vec<u8>,
}

impl Write for LimitedSink {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        let count = bytes.len().min(self.capacity);
        if count == 0 && !bytes.is_empty() {
            return Err(ErrorKind::WouldBlock.into());
        }
        self.capacity -= count;
        self.written.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

struct Client {
    number: u64,
    slot: Slot,
    /// What it has sent and the server has not received yet; whether it has shut down its sending side.
    pending_input: Vec<u8>,
    has_ended: bool,
    /// Bytes that it will still read.
    capacity: usize,
    received: Vec<u8>,
    next_id: u64,
    /// Its requests: `id` and `req`.
    requests: Vec<(u64, String)>,
}

#[derive(Default)]
struct Connection {
    number: u64,
    is_up: bool,
    pending_input: Vec<u8>,
    received: Vec<u8>,
    /// Requests that run on this engine.
    calls: Vec<String>,
}

struct Scenario<'a> {
    random: RandomSource,
    recorder: &'a mut Recorder,
    server: Server,
    clients: Vec<Client>,
    connections: BTreeMap<Slot, Connection>,
    connection_count: u64,
    next_req: u64,
    calls_by_request: BTreeMap<String, u64>,
    /// What the discovery service has sent and the server has not received yet.
    discovery_input: Vec<u8>,
    frame: u64,
    up_since: [u64; 4],
    is_shutting_down: bool,
}

fn configuration(random: &mut RandomSource, kind: u64) -> Value {
    let strict = kind.is_multiple_of(2);
    let class = |name: &str, repeat: &str, on_time: u64| {
        json!({"name": name, "onTimeMs": on_time, "deadlineMs": on_time * 4, "gain": 1, "lateShare": 0.2,
            "repeat": repeat, "keyScope": "cell", "windowMs": 400, "keepOrder": strict && name == "book"})
    };
    json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "1", "bulletin": "127.0.0.1:1",
        "limits": {"cores": 1.0, "memory_mb": 1, "sockets": random.pick(&[24, 60])},
        "known": {"no": 0, "items": []},
        "settings": {"instances": 1 + random.below(3), "myZone": 0, "zones": ["hall-a", "hall-b"],
            "kinds": ["std-8", "big-32"], "discovery": "push", "tickMs": 8,
            "clientHabits": {"marksRetry": kind.is_multiple_of(3)},
            "categories": [class("lookup", "repeatable", 160), class("post", "once", 240),
                class("book", "by_key", 200), class("ingest", "repeatable", 400)],
            "caps": {"cancel": !kind.is_multiple_of(5), "connectTimeoutMs": 100, "idleCloseMs": 1000,
                "mostTries": 2 + random.below(2), "retryAfter": kind.is_multiple_of(2), "maxRetryAfterMs": 500,
                "streamsPerConn": 1 + random.below(6), "mayDuplicate": !strict, "maxOpen": 48},
            "domain": {"kindCores": [8, 32], "largestShare": 0.4, "lanesCount": strict,
                "sizeMb": [4096, 16384], "tellsEveryMs": 40, "whenShort": "line_up",
                "parallelism": [1, 1, 2, 4], "writesTables": [false, false, false, true],
                "blockedByLoads": [true, false, true, false]},
            "report": {"how": "answers", "names": ["util", "inflight", "queue", "x0", "x1"]},
            "rules": {"fallMs": 100, "overloadFactor": 2.5, "startCapacity": 0.3, "warmUpMs": 400}}})
}

fn bootstrap(file: &Value, operators_file: Option<&str>) -> Bootstrap {
    let mut bootstrap = Bootstrap::read(file, None).expect("the configuration makes sense");
    operators_file
        .into_iter()
        .for_each(|text| bootstrap.read_operator_file(text).expect("the operator's file makes sense"));
    bootstrap
}

impl<'a> Scenario<'a> {
    fn new(seed: u64, recorder: &'a mut Recorder) -> Self {
        let mut random = RandomSource(seed);
        let file = configuration(&mut random, seed);
        let operators_file = (seed % 4 >= 2).then(|| OPERATORS_FILES[seed as usize % 2]);
        let context = Context { now: START, ..Context::default() };
        let mut scenario = Self {
            server: Server::new(bootstrap(&file, operators_file), context),
            random,
            recorder,
            clients: Vec::new(),
            connections: BTreeMap::new(),
            connection_count: 0,
            next_req: 1,
            calls_by_request: BTreeMap::new(),
            discovery_input: Vec::new(),
            frame: 1,
            up_since: [0; 4],
            is_shutting_down: false,
        };
        scenario.send_endpoint_list(true);
        scenario.deliver_from_discovery(usize::MAX);
        scenario
    }

    fn run(mut self) {
        for step in 0..STEPS_PER_SCENARIO {
            self.recorder.record("step", step, &[]);
            self.step();
            self.carry_out();
            self.server.close_finished_clients();
            self.carry_out();
            self.record_next_timer();
            if self.server.has_stopped() {
                self.recorder.count("processes ended");
                break;
            }
            if step == STEPS_PER_SCENARIO * 3 / 5 && self.random.one_in(2) {
                self.shut_down();
            }
        }
        let has_open_requests = !self.server.dispatcher.requests.is_empty();
        self.recorder.record("end", u64::from(self.server.has_stopped()), &[u8::from(has_open_requests)]);
        let counters = self.server.dispatcher.context.counters.to_string();
        for (name, count) in counters.split(' ').filter_map(|counter| counter.split_once('=')) {
            *self.recorder.server_counters.entry(name.into()).or_default() +=
                count.parse::<u64>().expect("a count");
        }
    }

    fn step(&mut self) {
        match self.random.below(100) {
            0..4 => self.admit(),
            4..22 => self.client_sends_requests(),
            22..26 => self.client_sends_other_line(),
            26..44 => self.client_input_arrives(StreamEnd::WouldBlock),
            44..46 => self.client_reads_on(),
            46 => self.client_input_arrives(StreamEnd::EndOfStream),
            47 => self.client_input_arrives(StreamEnd::Reset),
            48..58 => self.connection_is_established(),
            58..74 => self.engine_responds(),
            74..83 => self.connection_input_arrives(StreamEnd::WouldBlock),
            83 if self.random.one_in(3) => self.connection_input_arrives(StreamEnd::Reset),
            84 if self.random.one_in(3) => self.connection_input_arrives(StreamEnd::EndOfStream),
            85 => self.endpoint_list_changes(),
            86 => {
                let count = self.random.below(120) as usize;
                self.deliver_from_discovery(count);
            }
            87 if self.random.one_in(4) => self.reload(),
            88..98 => self.advance_time(30),
            98 => self.advance_time(250),
            99 if self.random.one_in(4) => self.advance_time(2500),
            _ => self.advance_time(8),
        }
    }

    // ---- clients ----

    fn admit(&mut self) {
        if self.clients.len() >= self.server.dispatcher.config.max_clients() {
            let now = self.server.dispatcher.context.now();
            let idlest = self.server.dispatcher.clients.longest_idle(now);
            return idlest
                .into_iter()
                .for_each(|slot| self.server.close_client(slot, CloseReason::ReplacedWhileIdle));
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

    fn any_client(&mut self) -> Option<usize> {
        let speaking: Vec<usize> =
            (0..self.clients.len()).filter(|client| !self.clients[*client].has_ended).collect();
        (!speaking.is_empty()).then(|| self.random.pick(&speaking))
    }

    /// One request, sometimes many at once, and sometimes one with an invalid field.
    fn client_sends_requests(&mut self) {
        let Some(client) = self.any_client() else { return self.admit() };
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
            let wrong = [
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
            let (name, value) = self.random.pick(&wrong);
            params[name] = value;
        }
        let id = if self.random.one_in(60) { 1 } else { id };
        format!("{}\n", json!({"jsonrpc": "2.0", "id": id, "method": class, "params": params})).into()
    }

    fn client_sends_other_line(&mut self) {
        let Some(client) = self.any_client() else { return };
        let requests = &self.clients[client].requests;
        let last = requests[requests.len().saturating_sub(4)..].to_vec();
        let most_bytes = self.server.dispatcher.config.max_line_bytes();
        let line = match (self.random.below(12), last.is_empty()) {
            (0..5, false) => {
                let (id, req) = self.random.pick(&last);
                let named = if self.random.one_in(3) { json!({"id": id}) } else { json!({"req": req}) };
                format!("{}\n", json!({"jsonrpc": "2.0", "method": "withdraw", "params": named}))
            }
            (5, _) => "{\"jsonrpc\":\"2.0\",\"method\":\"status\"}\n".into(),
            (6, _) => "{\"jsonrpc\":\"1.0\",\"id\":5,\"method\":\"status\"}\n[]\n".into(),
            (7, _) => "{oops\n\n{\"jsonrpc\":\"2.0\",\"id\":-3,\"method\":\"status\"}\n".into(),
            (8, _) => {
                "{\"jsonrpc\":\"2.0\",\"id\":77,\"method\":\"dance\"}\n{\"jsonrpc\":\"2.0\",\"id\":6}\n"
                    .into()
            }
            (9, _) if self.random.one_in(6) => " ".repeat(most_bytes + 9),
            _ => "{\"jsonrpc\":\"2.0\",\"id\":900,\"method\":\"status\"}\n".into(),
        };
        self.clients[client].pending_input.extend(line.into_bytes());
    }

    /// All that a client has sent arrives, or a part of it.
    fn client_input_arrives(&mut self, stream_end: StreamEnd) {
        let Some(client) = self.any_client() else { return };
        let all = self.clients[client].pending_input.len();
        let count = if self.random.one_in(4) { self.random.below(all as u64) as usize } else { all };
        let client = &mut self.clients[client];
        client.has_ended = !matches!(stream_end, StreamEnd::WouldBlock);
        let bytes: Vec<u8> = client.pending_input.drain(..count).collect();
        let slot = client.slot;
        self.read_client(slot, &bytes, stream_end);
    }

    fn read_client(&mut self, slot: Slot, bytes: &[u8], stream_end: StreamEnd) {
        let since = self.server.dispatcher.context.now() - Duration::from_millis(self.random.below(3));
        let mut received = ReceivedBytes(bytes, stream_end);
        self.server.scan_clients(since, [(slot, &mut received)]);
        self.carry_out();
        while self.server.read_client_line(slot, since, &mut received, || false) {
            self.carry_out();
        }
    }

    fn client_reads_on(&mut self) {
        let Some(client) = self.any_client() else { return };
        self.clients[client].capacity = usize::MAX;
        let slot = self.clients[client].slot;
        self.flush_client(slot);
    }

    fn flush_client(&mut self, slot: Slot) {
        let Some(client) = self.clients.iter_mut().find(|client| client.slot == slot) else { return };
        let mut sink = LimitedSink { capacity: client.capacity, written: Vec::new() };
        self.server.dispatcher.clients.drain(slot, &mut sink).expect("a client that only blocks");
        client.capacity = sink.capacity;
        let number = client.number;
        self.record_client_bytes(number, &sink.written);
    }

    fn record_client_bytes(&mut self, number: u64, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        self.recorder.record("to client", number, bytes);
        let Some(client) = self.clients.iter_mut().find(|client| client.number == number) else { return };
        client.received.extend_from_slice(bytes);
        while let Some(end) = client.received.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = client.received.drain(..=end).collect();
            let line: Value = serde_json::from_slice(&line).expect("the server says JSON");
            self.recorder.count(answer_kind(&line));
            if !line["error"]["data"]["holdoff"].is_null() {
                self.recorder.count("retry-after named");
            }
        }
    }

    // ---- engines ----

    fn any_connection(&mut self, is_up: bool) -> Option<Slot> {
        let connections = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_up == is_up)
            .map(|(slot, _)| *slot);
        let connections: Vec<Slot> = connections.collect();
        (!connections.is_empty()).then(|| self.random.pick(&connections))
    }

    fn connection_is_established(&mut self) {
        let Some(slot) = self.any_connection(false) else { return };
        let refused = self.random.one_in(8);
        let reachability =
            if self.random.one_in(2) { Reachability::Reachable } else { Reachability::Unreachable };
        let dispatcher = &mut self.server.dispatcher;
        if refused {
            dispatcher.engines.dial_failed(slot, reachability, "refused", &mut dispatcher.context);
            return self.recorder.count("connections refused");
        }
        dispatcher.engines.connection_established(slot, &mut dispatcher.context);
        self.connections.entry(slot).and_modify(|connection| connection.is_up = true);
        self.flush_connection(slot);
    }

    /// An engine responds to one of its calls, and most often all of it arrives at once.
    fn engine_responds(&mut self) {
        let Some(slot) = self.any_connection(true) else { return };
        let calls = self.connections[&slot].calls.clone();
        if calls.is_empty() {
            return;
        }
        let req = self.random.pick(&calls);
        let load = format!(
            "use=util:0.{};inflight:{};queue:{}",
            self.random.below(10),
            calls.len(),
            self.random.below(4)
        );
        let usage = format!("cost={},need={}", self.random.below(40), self.random.below(600));
        let row = format!("row\t{req}\t{}\n", self.random.below(100));
        let (word, fields, body, ends_call) = match self.random.below(40) {
            0..18 => ("HIT", format!("pages=1,{usage},{load}"), row, true),
            18..21 => ("HIT", format!("pages=3,{usage}"), row, false),
            21..25 => ("SHED", load, String::new(), true),
            25 => ("LATE", load, String::new(), true),
            26..28 => ("FAULT", load, String::new(), true),
            28..31 => ("INFO", format!("detail=advance,v=0.{}", self.random.below(10)), String::new(), false),
            31 => ("INFO", "detail=disk,v=120".into(), String::new(), false),
            32 => ("INFO", "detail=stall,v=1".into(), String::new(), false),
            33 => ("INFO", "detail=stall,v=2".into(), String::new(), false),
            34..36 => ("INFO", String::new(), String::new(), false),
            36 if self.random.one_in(4) => ("HIT", "pages=1".into(), "no columns".into(), true),
            37 if self.random.one_in(4) => ("DANCE", String::new(), String::new(), true),
            38 if self.random.one_in(4) => ("HIT", "pages=9999".into(), row, true),
            39 if self.random.one_in(4) => ("INFO", "detail=moon,v=1".into(), String::new(), false),
            _ => ("HIT", "pages=1".into(), row, false),
        };
        self.recorder.count(format!("engine sends {word}"));
        let mut bytes =
            resp::encode_array(&[req.as_bytes(), word.as_bytes(), fields.as_bytes(), body.as_bytes()]);
        if self.random.one_in(150) {
            bytes = b"*x\r\nnoise\r\n".to_vec();
        }
        if let Some(connection) = self.connections.get_mut(&slot) {
            connection.pending_input.extend(bytes);
            connection.calls.retain(|call| !ends_call || *call != req);
        }
        let part = self.random.one_in(4);
        self.deliver_to_connection(slot, part, StreamEnd::WouldBlock);
    }

    fn connection_input_arrives(&mut self, stream_end: StreamEnd) {
        let Some(slot) = self.any_connection(true) else { return };
        let part = self.random.one_in(4);
        self.deliver_to_connection(slot, part, stream_end);
    }

    fn deliver_to_connection(&mut self, slot: Slot, part: bool, stream_end: StreamEnd) {
        let Some(connection) = self.connections.get_mut(&slot) else { return };
        let all = connection.pending_input.len();
        let count = if part { self.random.below(all as u64) as usize } else { all };
        let bytes: Vec<u8> = connection.pending_input.drain(..count).collect();
        let dispatcher = &mut self.server.dispatcher;
        dispatcher.engines.read(slot, &mut ReceivedBytes(&bytes, stream_end), &mut dispatcher.context);
    }

    fn flush_connection(&mut self, slot: Slot) {
        let Some(connection) = self.connections.get_mut(&slot).filter(|connection| connection.is_up) else {
            return;
        };
        let is_nearly_full = self.random.one_in(10);
        let mut sink =
            LimitedSink { capacity: if is_nearly_full { 30 } else { usize::MAX }, written: Vec::new() };
        let Dispatcher { engines, context, .. } = &mut self.server.dispatcher;
        engines.drain(slot, &mut sink, context).expect("an engine that only blocks");
        if !sink.written.is_empty() {
            self.recorder.record("to engine", connection.number, &sink.written);
        }
        connection.received.extend(sink.written);
        self.engine_reads_commands(slot);
    }

    /// Takes in the commands that have arrived completely, and responds to those that engines answer at once.
    fn engine_reads_commands(&mut self, slot: Slot) {
        let Some(connection) = self.connections.get_mut(&slot) else { return };
        while let Some(resp::Array { parts, length }) =
            resp::parse_array(&connection.received).expect("the server says RESP")
        {
            let texts: Vec<String> = parts.iter().map(|part| String::from_utf8_lossy(part).into()).collect();
            connection.received.drain(..length);
            let (word, id) = (texts[0].as_str(), &texts[1]);
            self.recorder.count(format!("engine receives {word}"));
            match word {
                "GET" => {
                    let sent = self.calls_by_request.entry(id.clone()).or_default();
                    *sent += 1;
                    if *sent > 1 {
                        self.recorder.count("attempts retried");
                    }
                    connection.calls.push(id.clone());
                }
                "PAGE" if !self.random.one_in(8) => {
                    let (fields, row) = (format!("page={}", texts[2]), format!("page\t{id}\t{}\n", texts[2]));
                    connection.pending_input.extend(resp::encode_array(&[
                        id.as_bytes(),
                        b"PART",
                        fields.as_bytes(),
                        row.as_bytes(),
                    ]));
                }
                "PING" if !self.random.one_in(8) => {
                    connection.pending_input.extend(resp::encode_array(&[id.as_bytes(), b"PONG", b"-", b""]));
                }
                "DROP" | "CLOSE" if !self.random.one_in(4) => connection.calls.retain(|call| call != id),
                _ => {}
            }
        }
    }

    // ---- endpoint list, operator's file, time and shutdown ----

    fn endpoint_list_changes(&mut self) {
        let is_complete = self.random.one_in(3);
        self.send_endpoint_list(is_complete);
        if self.random.one_in(20) {
            self.discovery_input.extend([0, 0, 0, 1]);
        }
        if !self.random.one_in(3) {
            self.deliver_from_discovery(usize::MAX);
        }
    }

    /// A frame with the complete list or a change of one engine: it drains, is gone, was restarted or moved.
    fn send_endpoint_list(&mut self, is_complete: bool) {
        let changed = self.random.below(4) as usize;
        if self.frame > 1 && self.random.one_in(3) {
            self.up_since[changed] = self.server.dispatcher.context.now().as_millis() as u64;
        }
        let mut records = Vec::new();
        for engine in 0..4 {
            let listed = if is_complete { !self.random.one_in(5) } else { engine == changed };
            if listed {
                let state = if self.frame == 1 { 0 } else { self.random.pick(&[0, 0, 0, 0, 1, 2]) };
                let port_offset = self.random.below(2) as u8;
                records.extend(record(engine, state, port_offset, self.up_since[engine]));
            }
        }
        let mut frame = Vec::from((9 + records.len() as u32).to_be_bytes());
        frame.extend(self.frame.to_be_bytes());
        frame.push(if is_complete { 1 } else { 2 });
        frame.extend(records);
        self.frame += 1;
        self.discovery_input.extend(frame);
        self.recorder.count(if is_complete { "complete lists" } else { "list changes" });
    }

    fn deliver_from_discovery(&mut self, count: usize) {
        let count = count.min(self.discovery_input.len());
        let bytes: Vec<u8> = self.discovery_input.drain(..count).collect();
        self.server.discovery.input.push(&bytes);
        let result = self.server.receive_endpoint_events();
        self.recorder.record("bulletin", self.server.discovery.last_event, &[u8::from(result.is_ok())]);
        if result.is_err() {
            // The connection is dialled again, and starts with the complete list.
            self.recorder.count("lists refused");
            self.server.discovery = self.server.discovery.for_new_connection();
            self.discovery_input.clear();
            self.frame = self.server.discovery.last_event + 1;
            self.send_endpoint_list(true);
        }
    }

    fn reload(&mut self) {
        let texts = [None, Some(OPERATORS_FILES[0]), Some(OPERATORS_FILES[1])];
        let text = self.random.pick(&texts);
        let file = configuration(&mut RandomSource(1), 1);
        self.server.apply_teams(bootstrap(&file, text).operator_config.teams);
        self.recorder.count("reloads");
    }

    /// Advances the time and fires each timer when it is due, or a little late.
    fn advance_time(&mut self, most_ms: u64) {
        let to =
            self.server.dispatcher.context.now() + Duration::from_micros(self.random.below(most_ms * 1000));
        while let Some(at) = self.server.dispatcher.context.timers.first().filter(|at| *at <= to) {
            let late = Duration::from_micros(self.random.pick(&[0, 0, 0, 700]));
            let now = self.server.dispatcher.context.now().max(at + late);
            self.server.dispatcher.context.now = now;
            while let Some(due) = self.server.dispatcher.context.timers.pop(now) {
                self.fire_timer(due);
            }
            self.record_next_timer();
        }
        self.server.dispatcher.context.now = self.server.dispatcher.context.now().max(to);
    }

    /// As the event loop does: what arrived before a timer is read before it fires.
    fn fire_timer(&mut self, due: Timer) {
        match due {
            Timer::Client(slot) => self.read_client(slot, &[], StreamEnd::WouldBlock),
            Timer::Attempt(attempt) => {
                if let Some(connection) = self.server.dispatcher.engines.connection_of(attempt) {
                    self.flush_connection(connection);
                }
            }
            _ => {}
        }
        self.server.timer_expired(due);
        self.carry_out();
    }

    fn shut_down(&mut self) {
        if !self.is_shutting_down {
            self.is_shutting_down = true;
            self.server.begin_shutdown();
            self.carry_out();
            self.recorder.count("graceful shutdowns");
        }
    }

    // ---- actions of the server ----

    fn record_next_timer(&mut self) {
        let first = self.server.dispatcher.context.timers.first();
        let first = first.map_or(u64::MAX, |at| at.as_micros() as u64);
        self.recorder.record("due", first, &[]);
    }

    fn carry_out(&mut self) {
        loop {
            self.server.process_events();
            let asks = std::mem::take(&mut self.server.dispatcher.engines.commands);
            let unsent = std::mem::take(&mut self.server.dispatcher.engines.pending_writes);
            let unsaid = std::mem::take(&mut self.server.dispatcher.clients.pending_writes);
            let closed = std::mem::take(&mut self.server.closed_clients);
            if asks.is_empty() && unsent.is_empty() && unsaid.is_empty() && closed.is_empty() {
                return;
            }
            asks.into_iter().for_each(|ask| self.carry_out_action(ask));
            unsent.into_iter().for_each(|slot| self.flush_connection(slot));
            unsaid.into_iter().for_each(|slot| self.flush_client(slot));
            for ClosedClient { slot, output: mut last } in closed {
                let Some(at) = self.clients.iter().position(|client| client.slot == slot) else { continue };
                let mut words = Vec::new();
                last.drain(&mut words).expect("writing to memory");
                let number = self.clients[at].number;
                self.record_client_bytes(number, &words);
                self.recorder.record("close client", number, &[]);
                self.recorder.count("clients closed");
                self.clients.remove(at);
            }
        }
    }

    fn carry_out_action(&mut self, ask: PoolCommand) {
        match ask {
            PoolCommand::Dial(slot, address) => {
                self.connection_count += 1;
                let number = self.connection_count;
                self.recorder.record("dial", number, address.to_string().as_bytes());
                self.recorder.count("connections dialled");
                self.connections.insert(slot, Connection { number, ..Connection::default() });
            }
            PoolCommand::Close(slot) => {
                if let Some(connection) = self.connections.remove(&slot) {
                    self.recorder.record("close link", connection.number, &[]);
                    self.recorder.count("connections closed");
                }
            }
        }
    }
}

/// A record of the endpoint list in a frame of the discovery service.
fn record(engine: usize, state: u8, port_offset: u8, up_since: u64) -> [u8; 27] {
    let mut record = [0; 27];
    record[3] = engine as u8 + 1;
    record[4..8].copy_from_slice(&[127, 0, 0, engine as u8 + 1]);
    record[9] = 9 + port_offset;
    record[10] = state;
    record[11] = engine as u8 % 2;
    record[12] = engine as u8 / 2;
    record[14] = engine as u8;
    record[19..].copy_from_slice(&up_since.to_be_bytes());
    record
}

fn answer_kind(line: &Value) -> String {
    if line["method"] == "waiting" {
        return "wait announced".into();
    }
    if let Some(code) = line["error"]["code"].as_i64() {
        return format!("error {code}");
    }
    if line["result"]["data"].is_string() { "results" } else { "status" }.into()
}

#[test]
fn the_digest_of_what_peers_observe_is_unchanged() {
    let mut recorder = Recorder::default();
    (0..SCENARIOS).for_each(|seed| Scenario::new(seed, &mut recorder).run());
    let Recorder { digest, observed, server_counters } = recorder;
    for (kind, minimum) in MINIMUM_COUNTS {
        let times = observed.get(kind).or(server_counters.get(kind)).copied().unwrap_or_default();
        assert!(times >= minimum, "only {times} times: {kind}");
    }
    let observed: String = observed.iter().map(|(kind, count)| format!("{kind}: {count}\n")).collect();
    let digest: String = digest.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
    expect![[r#"
        attempts retried: 848
        clients closed: 1693
        complete lists: 462
        connections closed: 7021
        connections dialled: 8043
        connections refused: 554
        engine receives CLOSE: 139
        engine receives DROP: 2925
        engine receives GET: 8023
        engine receives PAGE: 715
        engine receives PING: 2866
        engine sends DANCE: 30
        engine sends FAULT: 296
        engine sends HIT: 3662
        engine sends INFO: 1263
        engine sends LATE: 171
        engine sends SHED: 530
        error -32000: 1554
        error -32011: 12322
        error -32600: 1084
        error -32601: 198
        error -32602: 725
        error -32700: 447
        graceful shutdowns: 90
        list changes: 523
        lists refused: 40
        processes ended: 20
        reloads: 200
        requests sent: 13861
        results: 2320
        retry-after named: 5969
        status: 786
        wait announced: 2076
        a0b8ceacbaf6df2dd0dc67fd0457141b8cdb2b0c339d0e856dc34afc36d5c806
    "#]]
    .assert_eq(&format!("{observed}{digest}\n"));
}
