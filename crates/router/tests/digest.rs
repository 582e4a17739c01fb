//! Guards a change of words that is to change no behaviour: seeded lives of the server, without sockets or clock, and
//! one digest over all that its peers would see of them: the bytes on each connection, what is dialled and closed,
//! and when it wants to be looked at next. Log lines are not in it.

use emberflow_router::bootstrap::Bootstrap;
use emberflow_router::context::Context;
use emberflow_router::engine_pool::PoolCommand;
use emberflow_router::resp;
use emberflow_router::server::Server;
use emberflow_router::slots::Slot;
use emberflow_router::timers::Timer;
use expect_test::expect;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Result, Write};
use std::time::Duration;

const LIVES: u64 = 160;
const STEPS: u64 = 500;
const START: Duration = Duration::from_secs(20);
const CLASSES: [&str; 4] = ["lookup", "post", "book", "ingest"];

const OPERATORS_FILES: [&str; 2] = [
    r#"{teams: {waits: {field: "tell_wait", every_s: 0.1}, firms: [{name: "north", share: 2}, {name: "south"}],
    list: [{name: "audit", firm: "north", share: 3}, {name: "posting", firm: "north", most_waiting: 3,
    budget: {work_s: 0.5, per_s: 2, burst_s: 1}}, {name: "payroll", firm: "south"}], others: {share: 0.5}}}"#,
    r#"{teams: {waits: {field: "tell_wait", every_s: 0.2}, list: [{name: "audit"}, {name: "payroll",
    most_waiting: 2}], others: {share: 0.5, most_waiting: 4}}}"#,
];

/// What has to have happened to the lives, or their digest would say little: seen by their peers, or counted.
const NEEDED: [(&str, u64); 40] = [
    ("results", 1000),
    ("status", 200),
    ("told to wait", 200),
    ("held off", 200),
    ("error -32000", 200),
    ("error -32011", 1000),
    ("error -32600", 100),
    ("error -32601", 50),
    ("error -32602", 100),
    ("error -32700", 50),
    ("engine is told GET", 2000),
    ("engine is told PAGE", 200),
    ("engine is told DROP", 500),
    ("engine is told CLOSE", 30),
    ("engine is told PING", 300),
    ("hops sent again", 300),
    ("links dialled", 500),
    ("links refused", 50),
    ("links closed", 200),
    ("clients closed", 300),
    ("clients_idle", 20),
    ("clients_stalled", 10),
    ("whole lists", 100),
    ("list changes", 100),
    ("lists refused", 10),
    ("reloads", 50),
    ("planned ends", 30),
    ("lives left", 10),
    ("requests_withdrawn", 500),
    ("requests_refused_at_the_door", 200),
    ("attempts_overloaded", 200),
    ("attempts_failed", 100),
    ("attempts_timed_out", 200),
    ("attempts_unreachable", 200),
    ("attempts_broken", 200),
    ("attempts_void", 200),
    ("attempts_taken_back", 200),
    ("connections_silent", 100),
    ("engine_input_malformed", 50),
    ("engine_input_cut_short", 50),
];

/// A source of chances that is the same everywhere: SplitMix64.
struct Chance(u64);

impl Chance {
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

/// What the peers of all lives have seen.
#[derive(Default)]
struct Witness {
    digest: Sha256,
    seen: BTreeMap<String, u64>,
    /// The fronts' own counters, which show what the lives were made of and are not in the digest.
    counted: BTreeMap<String, u64>,
}

impl Witness {
    fn note(&mut self, what: &str, connection: u64, bytes: &[u8]) {
        for part in [what.as_bytes(), &connection.to_le_bytes(), bytes] {
            self.digest.update((part.len() as u64).to_le_bytes());
            self.digest.update(part);
        }
    }

    fn count(&mut self, kind: impl Into<String>) {
        *self.seen.entry(kind.into()).or_default() += 1;
    }
}

/// What a connection brings, and what follows: nothing for now, its end, or a reset.
#[derive(Clone, Copy)]
enum After {
    Silence,
    End,
    Reset,
}

struct Came<'a>(&'a [u8], After);

impl Read for Came<'_> {
    fn read(&mut self, into: &mut [u8]) -> Result<usize> {
        match (self.0.read(into)?, self.1) {
            (0, After::Silence) => Err(ErrorKind::WouldBlock.into()),
            (0, After::Reset) => Err(ErrorKind::ConnectionReset.into()),
            (count, _) => Ok(count),
        }
    }
}

/// A connection's far end, which takes so many bytes and then no more for now.
struct Takes {
    room: usize,
    taken: Vec<u8>,
}

impl Write for Takes {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        let count = bytes.len().min(self.room);
        if count == 0 && !bytes.is_empty() {
            return Err(ErrorKind::WouldBlock.into());
        }
        self.room -= count;
        self.taken.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

struct Client {
    number: u64,
    slot: Slot,
    /// What it has said and what has not come yet; whether it has ended its side.
    coming: Vec<u8>,
    ended: bool,
    /// Bytes that it will still read.
    room: usize,
    unread: Vec<u8>,
    next_id: u64,
    /// The last few that it asked: `id` and `req`.
    asked: Vec<(u64, String)>,
}

#[derive(Default)]
struct Connection {
    number: u64,
    up: bool,
    coming: Vec<u8>,
    inbox: Vec<u8>,
    /// Requests that this engine has been sent.
    calls: Vec<String>,
}

struct Life<'a> {
    chance: Chance,
    witness: &'a mut Witness,
    server: Server,
    clients: Vec<Client>,
    connections: BTreeMap<Slot, Connection>,
    connection_count: u64,
    next_req: u64,
    sent_before: BTreeMap<String, u64>,
    /// What the discovery service has to bring yet.
    frames: Vec<u8>,
    frame: u64,
    up_since: [u64; 4],
    closing: bool,
}

fn configuration(chance: &mut Chance, kind: u64) -> Value {
    let strict = kind.is_multiple_of(2);
    let class = |name: &str, repeat: &str, on_time: u64| {
        json!({"name": name, "onTimeMs": on_time, "deadlineMs": on_time * 4, "gain": 1, "lateShare": 0.2,
            "repeat": repeat, "keyScope": "cell", "windowMs": 400, "keepOrder": strict && name == "book"})
    };
    json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "1", "bulletin": "127.0.0.1:1",
        "limits": {"cores": 1.0, "memory_mb": 1, "sockets": chance.pick(&[24, 60])},
        "known": {"no": 0, "items": []},
        "settings": {"instances": 1 + chance.below(3), "myZone": 0, "zones": ["hall-a", "hall-b"],
            "kinds": ["std-8", "big-32"], "discovery": "push", "tickMs": 8,
            "clientHabits": {"marksRetry": kind.is_multiple_of(3)},
            "categories": [class("lookup", "repeatable", 160), class("post", "once", 240),
                class("book", "by_key", 200), class("ingest", "repeatable", 400)],
            "caps": {"cancel": !kind.is_multiple_of(5), "connectTimeoutMs": 100, "idleCloseMs": 1000,
                "mostTries": 2 + chance.below(2), "retryAfter": kind.is_multiple_of(2), "maxRetryAfterMs": 500,
                "streamsPerConn": 1 + chance.below(6), "mayDuplicate": !strict, "maxOpen": 48},
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
        .for_each(|text| bootstrap.order(text).expect("the operator's file makes sense"));
    bootstrap
}

impl<'a> Life<'a> {
    fn new(seed: u64, witness: &'a mut Witness) -> Self {
        let mut chance = Chance(seed);
        let file = configuration(&mut chance, seed);
        let operators_file = (seed % 4 >= 2).then(|| OPERATORS_FILES[seed as usize % 2]);
        let context = Context { now: START, ..Context::default() };
        let mut life = Self {
            server: Server::new(bootstrap(&file, operators_file), context),
            chance,
            witness,
            clients: Vec::new(),
            connections: BTreeMap::new(),
            connection_count: 0,
            next_req: 1,
            sent_before: BTreeMap::new(),
            frames: Vec::new(),
            frame: 1,
            up_since: [0; 4],
            closing: false,
        };
        life.tell_list(true);
        life.discovery_brings(usize::MAX);
        life
    }

    fn live(mut self) {
        for step in 0..STEPS {
            self.witness.note("step", step, &[]);
            self.step();
            self.carry_out();
            self.server.clear();
            self.carry_out();
            self.note_when_due();
            if self.server.left {
                self.witness.count("lives left");
                break;
            }
            if step == STEPS * 3 / 5 && self.chance.one_in(2) {
                self.close();
            }
        }
        let owes = !self.server.dispatcher.requests.is_empty();
        self.witness.note("end", u64::from(self.server.left), &[u8::from(owes)]);
        let counters = self.server.dispatcher.context.counters.to_string();
        for (name, count) in counters.split(' ').filter_map(|counter| counter.split_once('=')) {
            *self.witness.counted.entry(name.into()).or_default() += count.parse::<u64>().expect("a count");
        }
    }

    fn step(&mut self) {
        match self.chance.below(100) {
            0..4 => self.admit(),
            4..22 => self.client_asks(),
            22..26 => self.client_says_something_else(),
            26..44 => self.client_is_heard(After::Silence),
            44..46 => self.client_reads(),
            46 => self.client_is_heard(After::End),
            47 => self.client_is_heard(After::Reset),
            48..58 => self.connection_comes_up(),
            58..74 => self.engine_says(),
            74..83 => self.connection_is_read(After::Silence),
            83 if self.chance.one_in(3) => self.connection_is_read(After::Reset),
            84 if self.chance.one_in(3) => self.connection_is_read(After::End),
            85 => self.list_changes(),
            86 => {
                let count = self.chance.below(120) as usize;
                self.discovery_brings(count);
            }
            87 if self.chance.one_in(4) => self.reload(),
            88..98 => self.time_passes(30),
            98 => self.time_passes(250),
            99 if self.chance.one_in(4) => self.time_passes(2500),
            _ => self.time_passes(8),
        }
    }

    // ---- clients ----

    fn admit(&mut self) {
        if self.clients.len() >= self.server.dispatcher.config.most_clients() {
            let now = self.server.dispatcher.context.now();
            let idlest = self.server.dispatcher.clients.longest_idle(now);
            return idlest.into_iter().for_each(|slot| self.server.client_gone(slot, "to make room"));
        }
        self.connection_count += 1;
        let room = if self.chance.one_in(6) { 40 } else { usize::MAX };
        self.clients.push(Client {
            number: self.connection_count,
            slot: self.server.admit(),
            coming: Vec::new(),
            ended: false,
            room,
            unread: Vec::new(),
            next_id: 1,
            asked: Vec::new(),
        });
    }

    fn any_client(&mut self) -> Option<usize> {
        let speaking: Vec<usize> =
            (0..self.clients.len()).filter(|client| !self.clients[*client].ended).collect();
        (!speaking.is_empty()).then(|| self.chance.pick(&speaking))
    }

    /// One request, now and then many at once, and now and then one with something wrong in it.
    fn client_asks(&mut self) {
        let Some(client) = self.any_client() else { return self.admit() };
        let count = if self.chance.one_in(12) { 12 } else { 1 };
        for _ in 0..count {
            let line = self.request(client);
            self.clients[client].coming.extend(line);
        }
        self.witness.count("tasks asked");
    }

    fn request(&mut self, client: usize) -> Vec<u8> {
        let class = self.chance.pick(&CLASSES);
        let req = format!("{:016x}", self.next_req);
        self.next_req += 1;
        let asking = &mut self.clients[client];
        let id = asking.next_id;
        asking.next_id += 1;
        asking.asked.push((id, req.clone()));
        let statement =
            self.chance.pick(&["c2VsZWN0IDE=", "c2VsZWN0IGEgZnJvbSB0MQ==", "Y29weSB0MiBmcm9tIHg="]);
        let deadline = self.chance.pick(&[90, 320, 320, 640, 1600]);
        let mut params = json!({"req": req, "timeout": deadline, "data": statement});
        if self.chance.one_in(2) {
            params["ms"] = json!(self.chance.pick(&[1, 10, 20, 60, 200]));
            params["memory"] = json!(self.chance.pick(&[20, 300, 900, 3000]));
        }
        if self.chance.one_in(3) {
            params["subject"] = json!(self.chance.pick(&["s1", "s2", "s3"]));
        }
        if class == "book" {
            params["opkey"] = json!(format!("k{}", self.chance.below(1000)));
        }
        if self.chance.one_in(4) {
            params["resent"] = json!(self.chance.below(2));
        }
        params["team"] = json!(self.chance.pick(&["audit", "posting", "payroll", "nobody"]));
        params["urgency"] = json!(self.chance.below(4));
        params["tell_wait"] = json!(self.chance.one_in(2));
        if self.chance.one_in(25) {
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
            let (name, value) = self.chance.pick(&wrong);
            params[name] = value;
        }
        let id = if self.chance.one_in(60) { 1 } else { id };
        format!("{}\n", json!({"jsonrpc": "2.0", "id": id, "method": class, "params": params})).into()
    }

    fn client_says_something_else(&mut self) {
        let Some(client) = self.any_client() else { return };
        let asked = &self.clients[client].asked;
        let last = asked[asked.len().saturating_sub(4)..].to_vec();
        let most_bytes = self.server.dispatcher.config.most_bytes();
        let line = match (self.chance.below(12), last.is_empty()) {
            (0..5, false) => {
                let (id, req) = self.chance.pick(&last);
                let named = if self.chance.one_in(3) { json!({"id": id}) } else { json!({"req": req}) };
                format!("{}\n", json!({"jsonrpc": "2.0", "method": "withdraw", "params": named}))
            }
            (5, _) => "{\"jsonrpc\":\"2.0\",\"method\":\"status\"}\n".into(),
            (6, _) => "{\"jsonrpc\":\"1.0\",\"id\":5,\"method\":\"status\"}\n[]\n".into(),
            (7, _) => "{oops\n\n{\"jsonrpc\":\"2.0\",\"id\":-3,\"method\":\"status\"}\n".into(),
            (8, _) => {
                "{\"jsonrpc\":\"2.0\",\"id\":77,\"method\":\"dance\"}\n{\"jsonrpc\":\"2.0\",\"id\":6}\n"
                    .into()
            }
            (9, _) if self.chance.one_in(6) => " ".repeat(most_bytes + 9),
            _ => "{\"jsonrpc\":\"2.0\",\"id\":900,\"method\":\"status\"}\n".into(),
        };
        self.clients[client].coming.extend(line.into_bytes());
    }

    /// All that a client has said comes, or a part of it.
    fn client_is_heard(&mut self, after: After) {
        let Some(client) = self.any_client() else { return };
        let all = self.clients[client].coming.len();
        let count = if self.chance.one_in(4) { self.chance.below(all as u64) as usize } else { all };
        let client = &mut self.clients[client];
        client.ended = !matches!(after, After::Silence);
        let bytes: Vec<u8> = client.coming.drain(..count).collect();
        let slot = client.slot;
        self.hear(slot, &bytes, after);
    }

    fn hear(&mut self, slot: Slot, bytes: &[u8], after: After) {
        let since = self.server.dispatcher.context.now() - Duration::from_millis(self.chance.below(3));
        let mut came = Came(bytes, after);
        self.server.peek(since, [(slot, &mut came)]);
        self.carry_out();
        while self.server.hear(slot, since, &mut came, || false) {
            self.carry_out();
        }
    }

    fn client_reads(&mut self) {
        let Some(client) = self.any_client() else { return };
        self.clients[client].room = usize::MAX;
        let slot = self.clients[client].slot;
        self.flush_client(slot);
    }

    fn flush_client(&mut self, slot: Slot) {
        let Some(client) = self.clients.iter_mut().find(|client| client.slot == slot) else { return };
        let mut far = Takes { room: client.room, taken: Vec::new() };
        self.server.dispatcher.clients.drain(slot, &mut far).expect("a client that only blocks");
        client.room = far.room;
        let number = client.number;
        self.client_read(number, &far.taken);
    }

    fn client_read(&mut self, number: u64, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        self.witness.note("to client", number, bytes);
        let Some(client) = self.clients.iter_mut().find(|client| client.number == number) else { return };
        client.unread.extend_from_slice(bytes);
        while let Some(end) = client.unread.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = client.unread.drain(..=end).collect();
            let line: Value = serde_json::from_slice(&line).expect("the server says JSON");
            self.witness.count(kind_of_line(&line));
            if !line["error"]["data"]["holdoff"].is_null() {
                self.witness.count("held off");
            }
        }
    }

    // ---- engines ----

    fn any_connection(&mut self, up: bool) -> Option<Slot> {
        let connections =
            self.connections.iter().filter(|(_, connection)| connection.up == up).map(|(slot, _)| *slot);
        let connections: Vec<Slot> = connections.collect();
        (!connections.is_empty()).then(|| self.chance.pick(&connections))
    }

    fn connection_comes_up(&mut self) {
        let Some(slot) = self.any_connection(false) else { return };
        let refused = self.chance.one_in(8);
        let there = self.chance.one_in(2);
        let dispatcher = &mut self.server.dispatcher;
        if refused {
            dispatcher.engines.dial_failed(slot, there, "refused", &mut dispatcher.context);
            return self.witness.count("links refused");
        }
        dispatcher.engines.connection_established(slot, &mut dispatcher.context);
        self.connections.entry(slot).and_modify(|connection| connection.up = true);
        self.flush_connection(slot);
    }

    /// An engine answers one of its calls in some way, and most often all of it comes at once.
    fn engine_says(&mut self) {
        let Some(slot) = self.any_connection(true) else { return };
        let calls = self.connections[&slot].calls.clone();
        if calls.is_empty() {
            return;
        }
        let req = self.chance.pick(&calls);
        let load = format!(
            "use=util:0.{};inflight:{};queue:{}",
            self.chance.below(10),
            calls.len(),
            self.chance.below(4)
        );
        let usage = format!("cost={},need={}", self.chance.below(40), self.chance.below(600));
        let row = format!("row\t{req}\t{}\n", self.chance.below(100));
        let (word, fields, body, over) = match self.chance.below(40) {
            0..18 => ("HIT", format!("pages=1,{usage},{load}"), row, true),
            18..21 => ("HIT", format!("pages=3,{usage}"), row, false),
            21..25 => ("SHED", load, String::new(), true),
            25 => ("LATE", load, String::new(), true),
            26..28 => ("FAULT", load, String::new(), true),
            28..31 => ("INFO", format!("detail=advance,v=0.{}", self.chance.below(10)), String::new(), false),
            31 => ("INFO", "detail=disk,v=120".into(), String::new(), false),
            32 => ("INFO", "detail=stall,v=1".into(), String::new(), false),
            33 => ("INFO", "detail=stall,v=2".into(), String::new(), false),
            34..36 => ("INFO", String::new(), String::new(), false),
            36 if self.chance.one_in(4) => ("HIT", "pages=1".into(), "no columns".into(), true),
            37 if self.chance.one_in(4) => ("DANCE", String::new(), String::new(), true),
            38 if self.chance.one_in(4) => ("HIT", "pages=9999".into(), row, true),
            39 if self.chance.one_in(4) => ("INFO", "detail=moon,v=1".into(), String::new(), false),
            _ => ("HIT", "pages=1".into(), row, false),
        };
        self.witness.count(format!("engine says {word}"));
        let mut bytes =
            resp::encode_array(&[req.as_bytes(), word.as_bytes(), fields.as_bytes(), body.as_bytes()]);
        if self.chance.one_in(150) {
            bytes = b"*x\r\nnoise\r\n".to_vec();
        }
        if let Some(connection) = self.connections.get_mut(&slot) {
            connection.coming.extend(bytes);
            connection.calls.retain(|call| !over || *call != req);
        }
        let part = self.chance.one_in(4);
        self.connection_brings(slot, part, After::Silence);
    }

    fn connection_is_read(&mut self, after: After) {
        let Some(slot) = self.any_connection(true) else { return };
        let part = self.chance.one_in(4);
        self.connection_brings(slot, part, after);
    }

    fn connection_brings(&mut self, slot: Slot, part: bool, after: After) {
        let Some(connection) = self.connections.get_mut(&slot) else { return };
        let all = connection.coming.len();
        let count = if part { self.chance.below(all as u64) as usize } else { all };
        let bytes: Vec<u8> = connection.coming.drain(..count).collect();
        let dispatcher = &mut self.server.dispatcher;
        dispatcher.engines.read(slot, &mut Came(&bytes, after), &mut dispatcher.context);
    }

    fn flush_connection(&mut self, slot: Slot) {
        let Some(connection) = self.connections.get_mut(&slot).filter(|connection| connection.up) else {
            return;
        };
        let narrow = self.chance.one_in(10);
        let mut far = Takes { room: if narrow { 30 } else { usize::MAX }, taken: Vec::new() };
        self.server.dispatcher.engines.drain(slot, &mut far).expect("an engine that only blocks");
        if !far.taken.is_empty() {
            self.witness.note("to engine", connection.number, &far.taken);
        }
        connection.inbox.extend(far.taken);
        self.engine_reads(slot);
    }

    /// Notes the calls that have come whole, and answers at once what engines do.
    fn engine_reads(&mut self, slot: Slot) {
        let Some(connection) = self.connections.get_mut(&slot) else { return };
        while let Some((parts, length)) = resp::parse_array(&connection.inbox).expect("the server says RESP")
        {
            let texts: Vec<String> = parts.iter().map(|part| String::from_utf8_lossy(part).into()).collect();
            connection.inbox.drain(..length);
            let (word, id) = (texts[0].as_str(), &texts[1]);
            self.witness.count(format!("engine is told {word}"));
            match word {
                "GET" => {
                    let sent = self.sent_before.entry(id.clone()).or_default();
                    *sent += 1;
                    if *sent > 1 {
                        self.witness.count("hops sent again");
                    }
                    connection.calls.push(id.clone());
                }
                "PAGE" if !self.chance.one_in(8) => {
                    let (fields, row) = (format!("page={}", texts[2]), format!("page\t{id}\t{}\n", texts[2]));
                    connection.coming.extend(resp::encode_array(&[
                        id.as_bytes(),
                        b"PART",
                        fields.as_bytes(),
                        row.as_bytes(),
                    ]));
                }
                "PING" if !self.chance.one_in(8) => {
                    connection.coming.extend(resp::encode_array(&[id.as_bytes(), b"PONG", b"-", b""]));
                }
                "DROP" | "CLOSE" if !self.chance.one_in(4) => connection.calls.retain(|call| call != id),
                _ => {}
            }
        }
    }

    // ---- the list, the operator's file, time and the end ----

    fn list_changes(&mut self) {
        let whole = self.chance.one_in(3);
        self.tell_list(whole);
        if self.chance.one_in(20) {
            self.frames.extend([0, 0, 0, 1]);
        }
        if !self.chance.one_in(3) {
            self.discovery_brings(usize::MAX);
        }
    }

    /// A frame with the whole list or a change of one engine: it drains, is gone, started anew or moved.
    fn tell_list(&mut self, whole: bool) {
        let changed = self.chance.below(4) as usize;
        if self.frame > 1 && self.chance.one_in(3) {
            self.up_since[changed] = self.server.dispatcher.context.now().as_millis() as u64;
        }
        let mut records = Vec::new();
        for engine in 0..4 {
            let listed = if whole { !self.chance.one_in(5) } else { engine == changed };
            if listed {
                let state = if self.frame == 1 { 0 } else { self.chance.pick(&[0, 0, 0, 0, 1, 2]) };
                let moved = self.chance.below(2) as u8;
                records.extend(record(engine, state, moved, self.up_since[engine]));
            }
        }
        let mut frame = Vec::from((9 + records.len() as u32).to_be_bytes());
        frame.extend(self.frame.to_be_bytes());
        frame.push(if whole { 1 } else { 2 });
        frame.extend(records);
        self.frame += 1;
        self.frames.extend(frame);
        self.witness.count(if whole { "whole lists" } else { "list changes" });
    }

    fn discovery_brings(&mut self, count: usize) {
        let count = count.min(self.frames.len());
        let bytes: Vec<u8> = self.frames.drain(..count).collect();
        self.server.discovery.input.push(&bytes);
        let heard = self.server.discovery_heard();
        self.witness.note("bulletin", self.server.discovery.last, &[u8::from(heard.is_ok())]);
        if heard.is_err() {
            // The connection is made anew, and begins with the whole list.
            self.witness.count("lists refused");
            self.server.discovery = self.server.discovery.anew();
            self.frames.clear();
            self.frame = self.server.discovery.last + 1;
            self.tell_list(true);
        }
    }

    fn reload(&mut self) {
        let texts = [None, Some(OPERATORS_FILES[0]), Some(OPERATORS_FILES[1])];
        let text = self.chance.pick(&texts);
        let file = configuration(&mut Chance(1), 1);
        self.server.reorder(bootstrap(&file, text).orders.teams);
        self.witness.count("reloads");
    }

    /// Time passes, and what falls due is done when it does, or a little late.
    fn time_passes(&mut self, most_ms: u64) {
        let to =
            self.server.dispatcher.context.now() + Duration::from_micros(self.chance.below(most_ms * 1000));
        while let Some(at) = self.server.dispatcher.context.timers.first().filter(|at| *at <= to) {
            let late = Duration::from_micros(self.chance.pick(&[0, 0, 0, 700]));
            let now = self.server.dispatcher.context.now().max(at + late);
            self.server.dispatcher.context.now = now;
            while let Some(due) = self.server.dispatcher.context.timers.pop(now) {
                self.falls_due(due);
            }
            self.note_when_due();
        }
        self.server.dispatcher.context.now = self.server.dispatcher.context.now().max(to);
    }

    /// As whoever holds the sockets does: what came before is heard before.
    fn falls_due(&mut self, due: Timer) {
        match due {
            Timer::Client(slot) => self.hear(slot, &[], After::Silence),
            Timer::Attempt(attempt) => {
                if let Some(connection) = self.server.dispatcher.engines.connection_of(attempt) {
                    self.flush_connection(connection);
                }
            }
            _ => {}
        }
        self.server.due(due);
        self.carry_out();
    }

    fn close(&mut self) {
        if !self.closing {
            self.closing = true;
            self.server.close();
            self.carry_out();
            self.witness.count("planned ends");
        }
    }

    // ---- what the server asks for ----

    fn note_when_due(&mut self) {
        let first = self.server.dispatcher.context.timers.first();
        let first = first.map_or(u64::MAX, |at| at.as_micros() as u64);
        self.witness.note("due", first, &[]);
    }

    fn carry_out(&mut self) {
        loop {
            self.server.tell();
            let asks = std::mem::take(&mut self.server.dispatcher.engines.commands);
            let unsent = std::mem::take(&mut self.server.dispatcher.engines.pending_writes);
            let unsaid = std::mem::take(&mut self.server.dispatcher.clients.pending_writes);
            let closed = std::mem::take(&mut self.server.closed);
            if asks.is_empty() && unsent.is_empty() && unsaid.is_empty() && closed.is_empty() {
                return;
            }
            asks.into_iter().for_each(|ask| self.carry_out_ask(ask));
            unsent.into_iter().for_each(|slot| self.flush_connection(slot));
            unsaid.into_iter().for_each(|slot| self.flush_client(slot));
            for (slot, mut last) in closed {
                let Some(at) = self.clients.iter().position(|client| client.slot == slot) else { continue };
                let mut words = Vec::new();
                last.drain(&mut words).expect("writing to memory");
                let number = self.clients[at].number;
                self.client_read(number, &words);
                self.witness.note("close client", number, &[]);
                self.witness.count("clients closed");
                self.clients.remove(at);
            }
        }
    }

    fn carry_out_ask(&mut self, ask: PoolCommand) {
        match ask {
            PoolCommand::Dial(slot, address) => {
                self.connection_count += 1;
                let number = self.connection_count;
                self.witness.note("dial", number, address.to_string().as_bytes());
                self.witness.count("links dialled");
                self.connections.insert(slot, Connection { number, ..Connection::default() });
            }
            PoolCommand::Close(slot) => {
                if let Some(connection) = self.connections.remove(&slot) {
                    self.witness.note("close link", connection.number, &[]);
                    self.witness.count("links closed");
                }
            }
        }
    }
}

/// A line of the list, as the discovery service's frames hold it.
fn record(engine: usize, state: u8, moved: u8, up_since: u64) -> [u8; 27] {
    let mut record = [0; 27];
    record[3] = engine as u8 + 1;
    record[4..8].copy_from_slice(&[127, 0, 0, engine as u8 + 1]);
    record[9] = 9 + moved;
    record[10] = state;
    record[11] = engine as u8 % 2;
    record[12] = engine as u8 / 2;
    record[14] = engine as u8;
    record[19..].copy_from_slice(&up_since.to_be_bytes());
    record
}

fn kind_of_line(line: &Value) -> String {
    if line["method"] == "waiting" {
        return "told to wait".into();
    }
    if let Some(code) = line["error"]["code"].as_i64() {
        return format!("error {code}");
    }
    if line["result"]["data"].is_string() { "results" } else { "status" }.into()
}

#[test]
fn what_peers_see_of_seeded_lives_is_as_it_was() {
    let mut witness = Witness::default();
    (0..LIVES).for_each(|seed| Life::new(seed, &mut witness).live());
    let Witness { digest, seen, counted } = witness;
    for (kind, least) in NEEDED {
        let times = seen.get(kind).or(counted.get(kind)).copied().unwrap_or_default();
        assert!(times >= least, "only {times} times: {kind}");
    }
    let seen: String = seen.iter().map(|(kind, count)| format!("{kind}: {count}\n")).collect();
    let digest: String = digest.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
    expect![[r#"
        clients closed: 1727
        engine is told CLOSE: 139
        engine is told DROP: 2970
        engine is told GET: 8278
        engine is told PAGE: 683
        engine is told PING: 2822
        engine says DANCE: 36
        engine says FAULT: 320
        engine says HIT: 3719
        engine says INFO: 1237
        engine says LATE: 141
        engine says SHED: 581
        error -32000: 1540
        error -32011: 11974
        error -32600: 1049
        error -32601: 191
        error -32602: 741
        error -32700: 448
        held off: 5737
        hops sent again: 873
        links closed: 6526
        links dialled: 7493
        links refused: 539
        list changes: 526
        lists refused: 34
        lives left: 24
        planned ends: 89
        reloads: 190
        results: 2373
        status: 759
        tasks asked: 13659
        told to wait: 1968
        whole lists: 463
        7ce69cad92c6462b11b5ce4a9313051c4818151e536bf6e09ef07ec987b137fa
    "#]]
    .assert_eq(&format!("{seen}{digest}\n"));
}
