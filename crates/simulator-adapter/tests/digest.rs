//! Guards against unintended changes of the adapter's behaviour: feeds the adapter pseudo-random valid input, and
//! compares a digest of all output with the expected one. The input reacts to earlier output, so that attempts end and
//! requests are retried.

use expect_test::expect;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

const RUNS: u64 = 40;
const BATCHES: u64 = 160;
const INSTANCES: u64 = 2;
const ENGINES: u64 = 5;
/// An engine whose attempts end only when they are cancelled or time out.
const UNRESPONSIVE_ENGINE: &str = "e:1";
/// Names of the figures in the engines' load reports.
const REPORT_FIGURES: [&str; 6] = ["busy", "rif", "q", "x0", "x1", "qps"];

/// Minimum number of messages and actions by kind, so that the digest covers each kind.
const MINIMUM_COUNTS: [(&str, u64); 24] = [
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

/// A source of random numbers that is the same on every platform.
struct SplitMix64(u64);

impl SplitMix64 {
    fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, end: u64) -> u64 {
        self.next_u64() % end.max(1)
    }

    fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }

    fn pick<T: Clone>(&mut self, from: &[T]) -> T {
        from[self.below(from.len() as u64) as usize].clone()
    }
}

/// The digest of the output of all runs, and the number of lines of input and output by kind.
#[derive(Default)]
struct Record {
    digest: Sha256,
    message_counts: BTreeMap<String, u64>,
    action_counts: BTreeMap<String, u64>,
}

/// An attempt that is in flight.
struct Attempt {
    instance: u64,
    request: String,
    number: u64,
    engine: String,
    sent_at_ms: f64,
    /// The time after which the router abandons the attempt.
    abandon_at_ms: f64,
    cancelled: bool,
}

/// A run of the adapter, with the engines and clients that it is connected to.
struct Simulation<'a> {
    random: SplitMix64,
    record: &'a mut Record,
    adapter: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    now_ms: f64,
    /// Lines of the batch that is being built.
    batch: String,
    attempts: Vec<Attempt>,
    /// The number of attempts that were sent, by instance and request.
    attempt_counts: BTreeMap<(u64, String), u64>,
    /// Requests without a final answer: the instance and the request.
    unanswered: Vec<(u64, String)>,
    /// Wake-ups that were requested: the time in milliseconds, and the instance.
    wakes: Vec<(f64, u64)>,
    /// Health checks that were requested: the instance and the engine.
    probes: Vec<(u64, String)>,
    /// Instances that wait for the next endpoint list.
    subscribers: Vec<u64>,
    /// Number of requests that were sent.
    request_count: u64,
    /// Number of tables of endpoints that were sent.
    table_count: u64,
}

/// Returns the settings of an instance, which depend on the seed so that the runs cover most features.
fn settings(random: &mut SplitMix64, seed: u64) -> Value {
    let class = |repeat: &str, objective_ms: f64| {
        json!({"deadlineMs": objective_ms * 4.0, "gain": 1, "lateShare": 0.1, "onTimeMs": objective_ms, "repeat": repeat,
            "keyScope": "cell", "windowMs": 300.0, "keepOrder": repeat == "by_key" && seed.is_multiple_of(2)})
    };
    let caps = json!({"cancel": !seed.is_multiple_of(5), "maxRetryAfterMs": 100.0, "mostTries": 1 + random.below(3),
        "probes": seed.is_multiple_of(3), "retryAfter": !seed.is_multiple_of(4)});
    let domain = json!({"kindCores": [8, 32], "largestShare": 0.4, "lanesCount": seed.is_multiple_of(2),
        "sizeMb": [4096.0, 16384.0], "tellsEveryMs": 30.0, "whenShort": random.pick(&["line_up", "cut", "overcommit"]),
        "parallelism": [1.0, 1.0, 2.0, 4.0], "writesTables": [false, false, false, true],
        "blockedByLoads": [true, false, true, false]});
    let how = if seed.is_multiple_of(3) { "probe" } else { "answers" };
    let discovery = if seed.is_multiple_of(4) { "ask" } else { "push" };
    json!({"caps": caps, "domain": domain, "discovery": discovery,
        "categories": [class("repeatable", 100.0), class("once", 150.0), class("by_key", 120.0),
            class("repeatable", 300.0)],
        "instances": INSTANCES, "myZone": 0, "report": {"how": how, "names": REPORT_FIGURES},
        "rules": {"fallMs": 200.0, "overloadFactor": 2.5, "startCapacity": 0.3, "warmUpMs": 300.0,
            "countedOverMs": 500.0, "spareAttempts": 3, "extraPerRequest": 0.3},
        "clientHabits": {"marksRetry": seed.is_multiple_of(2)},
        "tenants": [], "tickMs": 5.0, "zones": ["a", "b"], "unheard": {"of": 1}})
}

impl<'a> Simulation<'a> {
    fn new(seed: u64, record: &'a mut Record) -> Self {
        let adapter = Command::new(env!("CARGO_BIN_EXE_emberflow-simulator-adapter"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn();
        let mut adapter = adapter.expect("the adapter starts");
        let input = adapter.stdin.take().expect("the input is piped");
        let output = BufReader::new(adapter.stdout.take().expect("the output is piped"));
        Self {
            random: SplitMix64(seed),
            record,
            adapter,
            input,
            output,
            now_ms: 10.0,
            batch: String::new(),
            attempts: Vec::new(),
            attempt_counts: BTreeMap::new(),
            unanswered: Vec::new(),
            wakes: Vec::new(),
            probes: Vec::new(),
            subscribers: Vec::new(),
            request_count: 0,
            table_count: 0,
        }
    }

    fn run(mut self, seed: u64) {
        (0..INSTANCES).for_each(|instance| self.start(instance, seed));
        for batch in 0..BATCHES {
            self.finish_batch(batch);
            self.now_ms += self.random.below(12_000) as f64 / 1000.0;
            self.deliver_due();
            self.answer_probes();
            if self.random.one_in(80) {
                let instance = self.random.below(INSTANCES);
                self.restart(instance, seed);
            }
            for _ in 0..self.random.below(5) {
                self.send_random_event();
            }
        }
        drop(self.input);
        assert!(self.adapter.wait().expect("the adapter ends").success());
    }

    fn start(&mut self, instance: u64, seed: u64) {
        let params = settings(&mut self.random, seed);
        self.send(
            json!({"op": "NEW_INSTANCE", "who": instance, "rngSeed": seed + instance, "params": params}),
        );
        self.announce(instance);
    }

    /// Kills an instance with all its attempts, and starts a new one with the same number.
    fn restart(&mut self, instance: u64, seed: u64) {
        self.send(json!({"op": "KILLED", "who": instance}));
        self.attempts.retain(|attempt| attempt.instance != instance);
        self.attempt_counts.retain(|(of, _), _| *of != instance);
        self.unanswered.retain(|(of, _)| *of != instance);
        self.wakes.retain(|(_, of)| *of != instance);
        self.probes.retain(|(of, _)| *of != instance);
        self.start(instance, seed);
    }

    fn send(&mut self, line: Value) {
        *self.record.message_counts.entry(kind_of(&line)).or_default() += 1;
        self.batch += &format!("{line}\n");
    }

    /// Sends the batch and handles all actions of the reply.
    fn finish_batch(&mut self, frame: u64) {
        let begin = json!({"op": "BEGIN_BATCH", "atTimeMs": self.now_ms, "frame": frame});
        let lines = format!("{begin}\n{}{{\"op\":\"END\"}}\n", std::mem::take(&mut self.batch));
        self.input.write_all(lines.as_bytes()).expect("the adapter reads its input");
        loop {
            let mut line = String::new();
            assert!(
                self.output.read_line(&mut line).expect("the adapter's output can be read") > 0,
                "the adapter ended early after {lines}"
            );
            self.record.digest.update(&line);
            let action: Value = serde_json::from_str(&line).expect("the adapter writes JSON");
            assert_ne!(action["op"], "FAULT", "{action} after {lines}");
            *self.record.action_counts.entry(kind_of(&action)).or_default() += 1;
            if action["op"] == "READY" {
                return;
            }
            self.handle_action(&action);
        }
    }

    /// Applies an action to the simulated engines and clients.
    fn handle_action(&mut self, action: &Value) {
        let instance = action["who"].as_u64().expect("`who` is the number of an instance");
        let text = |name: &str| action[name].as_str().unwrap_or_default().to_owned();
        let request = text("ref");
        match action["op"].as_str().unwrap_or_default() {
            "PASS_ON" => self.begin_attempt(instance, request, text("engine"), action),
            "ABORT_ATTEMPT" => {
                let number = action["hop"].as_u64();
                for attempt in &mut self.attempts {
                    if attempt.instance == instance
                        && attempt.request == request
                        && Some(attempt.number) == number
                    {
                        attempt.cancelled = true;
                    }
                }
            }
            "TURN_AWAY" | "ABORT" => {
                self.unanswered.retain(|unanswered| *unanswered != (instance, request.clone()))
            }
            "TOUCH" => self.probes.push((instance, text("engine"))),
            "AFTER" => {
                let at = self.now_ms + action["offsetMs"].as_f64().expect("`offsetMs` is a number");
                self.wakes.push((at, instance));
            }
            "SUBSCRIBE" => self.subscribers.push(instance),
            _ => {}
        }
    }

    fn begin_attempt(&mut self, instance: u64, request: String, engine: String, action: &Value) {
        let attempt_count = self.attempt_counts.entry((instance, request.clone())).or_default();
        let number = *attempt_count;
        *attempt_count += 1;
        if number > 0 {
            *self.record.action_counts.entry("sent again".into()).or_default() += 1;
        }
        self.attempts.push(Attempt {
            instance,
            request,
            number,
            engine,
            sent_at_ms: self.now_ms,
            abandon_at_ms: action["abandonAtMs"].as_f64().expect("`abandonAtMs` is a number"),
            cancelled: false,
        });
    }

    /// Announces the endpoint list to subscribers, wakes the instances whose wake-up is due, and ends the attempts that
    /// the router has abandoned.
    fn deliver_due(&mut self) {
        for instance in std::mem::take(&mut self.subscribers) {
            self.announce(instance);
        }
        let now_ms = self.now_ms;
        let due: Vec<u64> =
            self.wakes.extract_if(.., |(at, _)| *at <= now_ms).map(|(_, instance)| instance).collect();
        due.into_iter().for_each(|instance| self.send(json!({"op": "BELL", "who": instance, "keyBack": 0})));
        while let Some(at) = self.attempts.iter().position(|attempt| attempt.abandon_at_ms <= now_ms) {
            self.end_attempt(at, "timed_out");
        }
    }

    fn answer_probes(&mut self) {
        for (instance, engine) in std::mem::take(&mut self.probes) {
            let load_report = self.load_report();
            self.send(json!({"op": "PROBE_DONE", "who": instance, "engine": engine, "stats": load_report}));
        }
    }

    fn send_random_event(&mut self) {
        match self.random.below(40) {
            0..12 => self.accept(),
            12..28 => self.end_random_attempt(),
            28..32 => self.send_progress(),
            32..34 => self.cancel_request(),
            34..36 => {
                let instance = self.random.below(INSTANCES);
                self.announce(instance);
            }
            36 => {
                let instance = self.random.below(INSTANCES);
                let op = self.random.pick(&["INBOX", "STARTED"]);
                self.send(json!({"op": op, "who": instance}));
            }
            _ => {}
        }
    }

    fn accept(&mut self) {
        let instance = self.random.below(INSTANCES);
        let request = format!("t/{}", self.request_count);
        self.request_count += 1;
        let mut line = json!({"op": "ACCEPT", "who": instance, "ref": request, "qos": self.random.below(4),
            "graceMs": self.random.pick(&[60.0, 240.0, 400.0, 1200.0]), "repeat": self.random.one_in(4)});
        if !self.random.one_in(4) {
            line["estimateMs"] = json!(self.random.pick(&[2.0, 12.0, 40.0, 200.0]));
            line["needMb"] = json!(self.random.pick(&[10, 384, 1500, 6000]));
        }
        if self.random.one_in(3) {
            line["table"] = json!(self.random.pick(&["orders", "people"]));
            line["tableGroup"] = json!(self.random.below(3));
        }
        self.send(line);
        self.unanswered.push((instance, request));
    }

    fn end_random_attempt(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let at = self.random.below(self.attempts.len() as u64) as usize;
        let common = ["success"; 9];
        let rare = ["failure", "overloaded", "overloaded", "unreachable", "broken", "void"];
        let result = self.random.pick(&[&common[..], &rare].concat());
        if self.attempts[at].engine == UNRESPONSIVE_ENGINE && !self.attempts[at].cancelled {
            return;
        }
        let result = if self.attempts[at].cancelled && !self.random.one_in(4) { "withdrawn" } else { result };
        self.end_attempt(at, result);
    }

    fn end_attempt(&mut self, at: usize, result: &str) {
        let Attempt { instance, request, number, engine, sent_at_ms, .. } = self.attempts.remove(at);
        let unanswered = (instance, request.clone());
        let request_done = !self.unanswered.contains(&unanswered);
        let mut line = json!({"op": "ENDED", "who": instance, "ref": request, "hop": number, "engine": engine,
            "result": result, "delaySeenMs": self.now_ms - sent_at_ms, "noMore": request_done});
        if result == "success" {
            self.unanswered.retain(|other| *other != unanswered);
            line["usedUp"] = json!(self.random.below(60) * 4096 + self.random.below(400));
        }
        if !self.random.one_in(3) {
            line["stats"] = self.load_report();
        }
        self.send(line);
    }

    /// Returns random figures in the order of [`REPORT_FIGURES`].
    fn load_report(&mut self) -> Value {
        let busy = self.random.below(100) as f64 / 100.0;
        let memory = self.random.below(100) as f64 / 100.0;
        json!([busy, self.random.below(9), self.random.below(5), memory, 0.25, 17])
    }

    fn send_progress(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let at = self.random.below(self.attempts.len() as u64) as usize;
        let (sort, value) = self.random.pick(&[(1, 0.25), (1, 0.75), (2, 120.0), (3, 1.0), (3, 2.0)]);
        let Attempt { instance, request, number, .. } = &self.attempts[at];
        let line = json!({"op": "NOTICE", "who": instance, "ref": request, "hop": number, "sort": sort, "value": value});
        self.send(line);
    }

    fn cancel_request(&mut self) {
        if self.unanswered.is_empty() {
            return;
        }
        let at = self.random.below(self.unanswered.len() as u64) as usize;
        let (instance, request) = self.unanswered.remove(at);
        self.send(json!({"op": "CANCELLED_BY_CLIENT", "who": instance, "ref": request}));
    }

    /// Announces the complete endpoint list, changes of the list, or that the list cannot be read. The first
    /// announcements contain all engines as healthy.
    fn announce(&mut self, instance: u64) {
        let first = self.table_count < INSTANCES;
        let mode =
            if first { "stale_copy" } else { self.random.pick(&["stale_copy", "patch", "patch", "broken"]) };
        let table = self.table_count;
        self.table_count += 1;
        let mut rows = Vec::new();
        for engine in 0..ENGINES {
            if first || !self.random.one_in(3) {
                let common = ["healthy"; 6];
                let condition = self.random.pick(&[&common[..], &["draining", "deregistered"]].concat());
                let launched = if self.random.one_in(5) { json!(self.now_ms) } else { Value::Null };
                rows.push(json!({"engine": format!("e:{engine}"), "site": engine % 2, "flavor": engine / 3,
                    "cohort": engine, "condition": if first { "healthy" } else { condition }, "launchedMs": launched}));
            }
        }
        self.send(json!({"op": "TABLE", "ref": table, "items": rows}));
        self.send(json!({"op": "ANNOUNCE", "who": instance, "mode": mode, "epoch": table, "ref": table}));
    }
}

/// Returns the kind of a line: its operation, with the result or the mode if it has one.
fn kind_of(line: &Value) -> String {
    let words = ["op", "result", "mode"].iter().filter_map(|name| line[name].as_str());
    words.collect::<Vec<_>>().join(" ")
}

#[test]
fn the_digest_of_the_output_is_unchanged() {
    let mut record = Record::default();
    (0..RUNS).for_each(|seed| Simulation::new(seed, &mut record).run(seed));
    let Record { digest, message_counts, action_counts } = record;
    for (kind, minimum) in MINIMUM_COUNTS {
        let count = action_counts.get(kind).or(message_counts.get(kind)).copied().unwrap_or_default();
        assert!(count >= minimum, "{kind} occurred {count} times, expected at least {minimum}");
    }
    let lines = |counts: BTreeMap<String, u64>| -> String {
        counts.iter().map(|(kind, count)| format!("{kind}: {count}\n")).collect()
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
    .assert_eq(&format!("{}\n{}{digest}\n", lines(message_counts), lines(action_counts)));
}
