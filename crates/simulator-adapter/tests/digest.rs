//! Guards a change of words that is to change no behaviour: seeded days of valid input to the adapter, and one digest
//! over all bytes that it writes. What the input tells goes by what was written before, so that attempts end and requests
//! are sent again.

use expect_test::expect;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

const DAYS: u64 = 40;
const BATCHES: u64 = 160;
const INSTANCES: u64 = 2;
const ENGINES: u64 = 5;
/// An engine that ends nothing by itself.
const SILENT: &str = "e:1";
const REPORTED: [&str; 6] = ["busy", "rif", "q", "x0", "x1", "qps"];

/// What has to have been written that often, or the digest would say little.
const NEEDED: [(&str, u64); 24] = [
    ("ACCEPT", 1000),
    ("ANNOUNCE broken", 50),
    ("ANNOUNCE patch", 100),
    ("ANNOUNCE stale_copy", 100),
    ("BELL", 300),
    ("CANCELLED_BY_CLIENT", 100),
    ("ENDED broken", 50),
    ("ENDED failure", 50),
    ("ENDED overloaded", 100),
    ("ENDED success", 500),
    ("ENDED timed_out", 20),
    ("ENDED unreachable", 50),
    ("ENDED void", 50),
    ("ENDED withdrawn", 50),
    ("KILLED", 20),
    ("NOTICE", 200),
    ("PROBE_DONE", 50),
    ("PASS_ON", 1000),
    ("PROVIDE", 1000),
    ("ABORT", 100),
    ("ABORT_ATTEMPT", 50),
    ("SUBSCRIBE", 30),
    ("TURN_AWAY", 200),
    ("sent again", 200),
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

/// What all days have written and, by kind, what stood in their input and output.
#[derive(Default)]
struct Witness {
    digest: Sha256,
    told: BTreeMap<String, u64>,
    written: BTreeMap<String, u64>,
}

/// An attempt that is out.
struct Attempt {
    who: u64,
    request: String,
    number: u64,
    engine: String,
    sent_ms: f64,
    abandon_ms: f64,
    cancelled: bool,
}

struct Day<'a> {
    chance: Chance,
    witness: &'a mut Witness,
    host: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    now_ms: f64,
    /// Lines of the batch that is being told.
    batch: String,
    attempts: Vec<Attempt>,
    /// By instance and request, its attempts so far.
    sent: BTreeMap<(u64, String), u64>,
    /// Requests that are owed an answer.
    open: Vec<(u64, String)>,
    /// When instances are to be woken, and engines that they asked about.
    bells: Vec<(f64, u64)>,
    probes: Vec<(u64, String)>,
    asked_for_the_list: Vec<u64>,
    requests: u64,
    tables: u64,
}

fn settings(chance: &mut Chance, seed: u64) -> Value {
    let class = |repeat: &str, latency_objective: f64| {
        json!({"deadlineMs": latency_objective * 4.0, "gain": 1, "lateShare": 0.1, "onTimeMs": latency_objective, "repeat": repeat,
            "keyScope": "cell", "windowMs": 300.0, "keepOrder": repeat == "by_key" && seed.is_multiple_of(2)})
    };
    let caps = json!({"cancel": !seed.is_multiple_of(5), "maxRetryAfterMs": 100.0, "mostTries": 1 + chance.below(3),
        "probes": seed.is_multiple_of(3), "retryAfter": !seed.is_multiple_of(4)});
    let domain = json!({"kindCores": [8, 32], "largestShare": 0.4, "lanesCount": seed.is_multiple_of(2),
        "sizeMb": [4096.0, 16384.0], "tellsEveryMs": 30.0, "whenShort": chance.pick(&["line_up", "cut", "overcommit"]),
        "parallelism": [1.0, 1.0, 2.0, 4.0], "writesTables": [false, false, false, true],
        "blockedByLoads": [true, false, true, false]});
    let how = if seed.is_multiple_of(3) { "probe" } else { "answers" };
    let discovery = if seed.is_multiple_of(4) { "ask" } else { "push" };
    json!({"caps": caps, "domain": domain, "discovery": discovery,
        "categories": [class("repeatable", 100.0), class("once", 150.0), class("by_key", 120.0),
            class("repeatable", 300.0)],
        "instances": INSTANCES, "myZone": 0, "report": {"how": how, "names": REPORTED},
        "rules": {"fallMs": 200.0, "overloadFactor": 2.5, "startCapacity": 0.3, "warmUpMs": 300.0,
            "countedOverMs": 500.0, "spareAttempts": 3, "extraPerRequest": 0.3},
        "clientHabits": {"marksRetry": seed.is_multiple_of(2)},
        "tenants": [], "tickMs": 5.0, "zones": ["a", "b"], "unheard": {"of": 1}})
}

impl<'a> Day<'a> {
    fn new(seed: u64, witness: &'a mut Witness) -> Self {
        let host = Command::new(env!("CARGO_BIN_EXE_emberflow-simulator-adapter"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn();
        let mut host = host.expect("the adapter starts");
        let input = host.stdin.take().expect("its input");
        let output = BufReader::new(host.stdout.take().expect("its output"));
        Self {
            chance: Chance(seed),
            witness,
            host,
            input,
            output,
            now_ms: 10.0,
            batch: String::new(),
            attempts: Vec::new(),
            sent: BTreeMap::new(),
            open: Vec::new(),
            bells: Vec::new(),
            probes: Vec::new(),
            asked_for_the_list: Vec::new(),
            requests: 0,
            tables: 0,
        }
    }

    fn live(mut self, seed: u64) {
        (0..INSTANCES).for_each(|who| self.start(who, seed));
        for batch in 0..BATCHES {
            self.finish_batch(batch);
            self.now_ms += self.chance.below(12_000) as f64 / 1000.0;
            self.ring_bells();
            self.answer_probes();
            if self.chance.one_in(80) {
                let who = self.chance.below(INSTANCES);
                self.start_anew(who, seed);
            }
            for _ in 0..self.chance.below(5) {
                self.event();
            }
        }
        drop(self.input);
        assert!(self.host.wait().expect("it ends").success());
    }

    fn start(&mut self, who: u64, seed: u64) {
        let params = settings(&mut self.chance, seed);
        self.tell(json!({"op": "NEW_INSTANCE", "who": who, "rngSeed": seed + who, "params": params}));
        self.announce(who);
    }

    /// An instance ends with all that it had out, and another takes its place.
    fn start_anew(&mut self, who: u64, seed: u64) {
        self.tell(json!({"op": "KILLED", "who": who}));
        self.attempts.retain(|attempt| attempt.who != who);
        self.sent.retain(|(of, _), _| *of != who);
        self.open.retain(|(of, _)| *of != who);
        self.bells.retain(|(_, of)| *of != who);
        self.probes.retain(|(of, _)| *of != who);
        self.start(who, seed);
    }

    fn tell(&mut self, line: Value) {
        *self.witness.told.entry(kind_of(&line)).or_default() += 1;
        self.batch += &format!("{line}\n");
    }

    /// Tells the batch and takes in all that is written for it.
    fn finish_batch(&mut self, frame: u64) {
        let begin = json!({"op": "BEGIN_BATCH", "atTimeMs": self.now_ms, "frame": frame});
        let lines = format!("{begin}\n{}{{\"op\":\"END\"}}\n", std::mem::take(&mut self.batch));
        self.input.write_all(lines.as_bytes()).expect("it reads");
        loop {
            let mut line = String::new();
            assert!(self.output.read_line(&mut line).expect("it writes") > 0, "it ended early after {lines}");
            self.witness.digest.update(&line);
            let action: Value = serde_json::from_str(&line).expect("it writes JSON");
            assert_ne!(action["op"], "FAULT", "{action} after {lines}");
            *self.witness.written.entry(kind_of(&action)).or_default() += 1;
            if action["op"] == "READY" {
                return;
            }
            self.take_in(&action);
        }
    }

    /// What an action changes out there.
    fn take_in(&mut self, action: &Value) {
        let who = action["who"].as_u64().expect("an instance");
        let text = |name: &str| action[name].as_str().unwrap_or_default().to_owned();
        let request = text("ref");
        match action["op"].as_str().unwrap_or_default() {
            "PASS_ON" => {
                let sent = self.sent.entry((who, request.clone())).or_default();
                let (number, abandon_ms) = (*sent, action["abandonAtMs"].as_f64().expect("a time"));
                *sent += 1;
                if number > 0 {
                    *self.witness.written.entry("sent again".into()).or_default() += 1;
                }
                let (engine, sent_ms) = (text("engine"), self.now_ms);
                self.attempts.push(Attempt {
                    who,
                    request,
                    number,
                    engine,
                    sent_ms,
                    abandon_ms,
                    cancelled: false,
                });
            }
            "ABORT_ATTEMPT" => {
                let number = action["hop"].as_u64();
                let its = |attempt: &&mut Attempt| {
                    attempt.who == who && attempt.request == request && Some(attempt.number) == number
                };
                self.attempts.iter_mut().filter(its).for_each(|attempt| attempt.cancelled = true);
            }
            "TURN_AWAY" | "ABORT" => self.open.retain(|open| *open != (who, request.clone())),
            "TOUCH" => self.probes.push((who, text("engine"))),
            "AFTER" => {
                let at = self.now_ms + action["offsetMs"].as_f64().expect("a time");
                self.bells.push((at, who));
            }
            "SUBSCRIBE" => self.asked_for_the_list.push(who),
            _ => {}
        }
    }

    fn ring_bells(&mut self) {
        for who in std::mem::take(&mut self.asked_for_the_list) {
            self.announce(who);
        }
        let now_ms = self.now_ms;
        let due: Vec<u64> = self.bells.extract_if(.., |(at, _)| *at <= now_ms).map(|(_, who)| who).collect();
        due.into_iter().for_each(|who| self.tell(json!({"op": "BELL", "who": who, "keyBack": 0})));
        // What is out for too long is over.
        while let Some(at) = self.attempts.iter().position(|attempt| attempt.abandon_ms <= now_ms) {
            self.end(at, "timed_out");
        }
    }

    fn answer_probes(&mut self) {
        for (who, engine) in std::mem::take(&mut self.probes) {
            let stats = self.stats();
            self.tell(json!({"op": "PROBE_DONE", "who": who, "engine": engine, "stats": stats}));
        }
    }

    fn event(&mut self) {
        match self.chance.below(40) {
            0..12 => self.accept(),
            12..28 => self.end_any(),
            28..32 => self.progress_noted(),
            32..34 => self.withdraw(),
            34..36 => {
                let who = self.chance.below(INSTANCES);
                self.announce(who);
            }
            36 => {
                let who = self.chance.below(INSTANCES);
                let op = self.chance.pick(&["INBOX", "STARTED"]);
                self.tell(json!({"op": op, "who": who}));
            }
            _ => {}
        }
    }

    fn accept(&mut self) {
        let who = self.chance.below(INSTANCES);
        let request = format!("t/{}", self.requests);
        self.requests += 1;
        let mut line = json!({"op": "ACCEPT", "who": who, "ref": request, "qos": self.chance.below(4),
            "graceMs": self.chance.pick(&[60.0, 240.0, 400.0, 1200.0]), "repeat": self.chance.one_in(4)});
        if !self.chance.one_in(4) {
            line["estimateMs"] = json!(self.chance.pick(&[2.0, 12.0, 40.0, 200.0]));
            line["needMb"] = json!(self.chance.pick(&[10, 384, 1500, 6000]));
        }
        if self.chance.one_in(3) {
            line["table"] = json!(self.chance.pick(&["orders", "people"]));
            line["tableGroup"] = json!(self.chance.below(3));
        }
        self.tell(line);
        self.open.push((who, request));
    }

    fn end_any(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let at = self.chance.below(self.attempts.len() as u64) as usize;
        let common = ["success"; 9];
        let rare = ["failure", "overloaded", "overloaded", "unreachable", "broken", "void"];
        let result = self.chance.pick(&[&common[..], &rare].concat());
        if self.attempts[at].engine == SILENT && !self.attempts[at].cancelled {
            return;
        }
        let result = if self.attempts[at].cancelled && !self.chance.one_in(4) { "withdrawn" } else { result };
        self.end(at, result);
    }

    fn end(&mut self, at: usize, result: &str) {
        let Attempt { who, request, number, engine, sent_ms, .. } = self.attempts.remove(at);
        let open = (who, request.clone());
        let over = !self.open.contains(&open);
        let mut line = json!({"op": "ENDED", "who": who, "ref": request, "hop": number, "engine": engine,
            "result": result, "delaySeenMs": self.now_ms - sent_ms, "noMore": over});
        if result == "success" {
            self.open.retain(|other| *other != open);
            line["usedUp"] = json!(self.chance.below(60) * 4096 + self.chance.below(400));
        }
        if !self.chance.one_in(3) {
            line["stats"] = self.stats();
        }
        self.tell(line);
    }

    fn stats(&mut self) -> Value {
        let busy = self.chance.below(100) as f64 / 100.0;
        let memory = self.chance.below(100) as f64 / 100.0;
        json!([busy, self.chance.below(9), self.chance.below(5), memory, 0.25, 17])
    }

    fn progress_noted(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let at = self.chance.below(self.attempts.len() as u64) as usize;
        let (sort, value) = self.chance.pick(&[(1, 0.25), (1, 0.75), (2, 120.0), (3, 1.0), (3, 2.0)]);
        let Attempt { who, request, number, .. } = &self.attempts[at];
        let line =
            json!({"op": "NOTICE", "who": who, "ref": request, "hop": number, "sort": sort, "value": value});
        self.tell(line);
    }

    fn withdraw(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let at = self.chance.below(self.open.len() as u64) as usize;
        let (who, request) = self.open.remove(at);
        self.tell(json!({"op": "CANCELLED_BY_CLIENT", "who": who, "ref": request}));
    }

    /// The whole list, a change of some engines, or word that it can't be had.
    fn announce(&mut self, who: u64) {
        let first = self.tables < INSTANCES;
        let mode =
            if first { "stale_copy" } else { self.chance.pick(&["stale_copy", "patch", "patch", "broken"]) };
        let table = self.tables;
        self.tables += 1;
        let mut rows = Vec::new();
        for engine in 0..ENGINES {
            if first || !self.chance.one_in(3) {
                let common = ["healthy"; 6];
                let condition = self.chance.pick(&[&common[..], &["draining", "deregistered"]].concat());
                let launched = if self.chance.one_in(5) { json!(self.now_ms) } else { Value::Null };
                rows.push(json!({"engine": format!("e:{engine}"), "site": engine % 2, "flavor": engine / 3,
                    "cohort": engine, "condition": if first { "healthy" } else { condition }, "launchedMs": launched}));
            }
        }
        self.tell(json!({"op": "TABLE", "ref": table, "items": rows}));
        self.tell(json!({"op": "ANNOUNCE", "who": who, "mode": mode, "epoch": table, "ref": table}));
    }
}

/// The kind of a line, by what tells it from others.
fn kind_of(line: &Value) -> String {
    let words = ["op", "result", "mode"].iter().filter_map(|name| line[name].as_str());
    words.collect::<Vec<_>>().join(" ")
}

#[test]
fn what_the_adapter_writes_on_seeded_days_is_as_it_was() {
    let mut witness = Witness::default();
    (0..DAYS).for_each(|seed| Day::new(seed, &mut witness).live(seed));
    let Witness { digest, told, written } = witness;
    for (kind, least) in NEEDED {
        let times = written.get(kind).or(told.get(kind)).copied().unwrap_or_default();
        assert!(times >= least, "only {times} times: {kind}");
    }
    let lines = |kinds: BTreeMap<String, u64>| -> String {
        kinds.iter().map(|(kind, count)| format!("{kind}: {count}\n")).collect()
    };
    let digest: String = digest.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
    expect![[r#"
        ACCEPT: 3804
        ANNOUNCE broken: 207
        ANNOUNCE patch: 395
        ANNOUNCE stale_copy: 255
        BELL: 1478
        CANCELLED_BY_CLIENT: 585
        ENDED broken: 178
        ENDED failure: 181
        ENDED overloaded: 316
        ENDED success: 1603
        ENDED timed_out: 57
        ENDED unreachable: 174
        ENDED void: 175
        ENDED withdrawn: 217
        INBOX: 172
        KILLED: 66
        NEW_INSTANCE: 146
        NOTICE: 1053
        PROBE_DONE: 255
        STARTED: 152
        TABLE: 857

        ABORT: 590
        ABORT_ATTEMPT: 325
        AFTER: 1584
        PASS_ON: 3180
        PROVIDE: 3180
        READY: 6400
        SUBSCRIBE: 96
        TOUCH: 255
        TURN_AWAY: 1934
        sent again: 807
        ea7c33236761dac4772577de124cbb1654efa65205b4b0b9d83910491fb3f054
    "#]]
    .assert_eq(&format!("{}\n{}{digest}\n", lines(told), lines(written)));
}
