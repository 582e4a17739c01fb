//! A guard for changes of the module's text that are to change none of its decisions: thousands of random
//! lives of a router, under random configurations, and one digest over everything that it says in them.
//!
//! What is digested are small numbers, indices, times in nanoseconds and the bits of floats: no words that a
//! mere renaming would change. What a life goes on with depends on what the router said before, so the first
//! decision that differs makes the rest differ as well.

use emberflow::*;
use expect_test::expect;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const LIVES: u64 = 2000;

/// Kinds of action, as they are written into the digest and counted.
const SEND: usize = 0;
const TERMS: usize = 1;
const CANCEL: usize = 2;
const REJECT: usize = 3;
const GIVE_UP: usize = 4;
const PROBE: usize = 5;
const WAKE_AFTER: usize = 6;
const WATCH: usize = 7;
const FORGET: usize = 8;
const ROOM: usize = 9;
const EXPECTED_WORK: usize = 10;
const INPUT: usize = 11;
const KEPT: usize = 12;

/// The least that all lives together must hold of each, so that the digest tells something of each.
const LEAST: [(usize, u64); 13] = [
    (SEND, 40_000),
    (TERMS, 40_000),
    (CANCEL, 5_000),
    (REJECT, 20_000),
    (GIVE_UP, 2_000),
    (PROBE, 1_000),
    (WAKE_AFTER, 40_000),
    (WATCH, 1_000),
    (FORGET, 500),
    (ROOM, 50_000),
    (EXPECTED_WORK, 20_000),
    (INPUT, 200_000),
    (KEPT, LIVES),
];

#[test]
fn random_lives_say_what_they_always_said() {
    let mut log = Log::default();
    for seed in 0..LIVES {
        log = Life::new(seed, log).play();
    }
    for (kind, least) in LEAST {
        assert!(log.counts[kind] >= least, "action {kind}: {} of at least {least}", log.counts[kind]);
    }
    let digest: String = log.digest.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
    expect!["5b7f7a0e0625171505bc27b73182cae01a0424bfa5152c41b047ec6ca7ca94d3"].assert_eq(&digest);
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// SplitMix64: the same numbers on every machine and with every version of every crate.
///
/// Half of the lives go in whole milliseconds, so that things fall due at the same time and what holds at an
/// edge is seen as well.
struct Random {
    state: u64,
    coarse: bool,
}

impl Random {
    fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.state ^ (self.state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, end: usize) -> usize {
        (self.next() % end as u64) as usize
    }

    /// From the first to the last, both included.
    fn among(&mut self, first: u64, last: u64) -> u64 {
        first + self.next() % (last - first + 1)
    }

    /// At least 0 and under 1.
    fn part(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn between(&mut self, least: f64, most: f64) -> f64 {
        least + self.part() * (most - least)
    }

    fn percent(&mut self, percent: u64) -> bool {
        self.next() % 100 < percent
    }

    fn one_of<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len())]
    }

    fn time(&mut self, first_ms: u64, last_ms: u64) -> Duration {
        let time = Duration::from_micros(self.among(first_ms * 1000, last_ms * 1000));
        self.grained(time)
    }

    /// The time as this life tells times.
    fn grained(&self, time: Duration) -> Duration {
        if self.coarse { Duration::from_millis(time.as_millis() as u64) } else { time }
    }

    fn maybe<T>(&mut self, percent: u64, value: impl FnOnce(&mut Self) -> T) -> Option<T> {
        self.percent(percent).then(|| value(self))
    }
}

/// What the router asked of its caller in one call, to be acted on after it.
enum Asked {
    Attempt { request: RequestId, engine: EngineId, until: Duration },
    Cancel { request: RequestId, attempt: usize },
    Answered(RequestId),
    Probe(EngineId),
    Wake(Duration),
    Forget(EngineId),
}

/// Everything that was said in all lives so far.
#[derive(Default)]
struct Log {
    digest: Sha256,
    counts: [u64; 13],
    asked: Vec<Asked>,
}

impl Log {
    fn add(&mut self, kind: usize, numbers: &[u64]) {
        self.counts[kind] += 1;
        self.digest.update([kind as u8]);
        numbers.iter().for_each(|number| self.digest.update(number.to_le_bytes()));
    }
}

fn nanos(time: Duration) -> u64 {
    time.as_nanos() as u64
}

impl Actions for Log {
    fn send(&mut self, request: RequestId, engine: EngineId, until: Duration) {
        self.add(SEND, &[request.into(), engine as u64, nanos(until)]);
        self.asked.push(Asked::Attempt { request, engine, until });
    }
    fn set_terms(&mut self, request: RequestId, grant_mb: f64, priority: u8) {
        self.add(TERMS, &[request.into(), grant_mb.to_bits(), priority.into()]);
    }
    fn cancel(&mut self, request: RequestId, attempt: usize) {
        self.add(CANCEL, &[request.into(), attempt as u64]);
        self.asked.push(Asked::Cancel { request, attempt });
    }
    fn reject(&mut self, request: RequestId, retry_after: Option<Duration>) {
        self.add(REJECT, &[request.into(), retry_after.map_or(u64::MAX, nanos)]);
        self.asked.push(Asked::Answered(request));
    }
    fn fail(&mut self, request: RequestId) {
        self.add(GIVE_UP, &[request.into()]);
        self.asked.push(Asked::Answered(request));
    }
    fn probe(&mut self, engine: EngineId) {
        self.add(PROBE, &[engine as u64]);
        self.asked.push(Asked::Probe(engine));
    }
    fn wake_after(&mut self, wait: Duration) {
        self.add(WAKE_AFTER, &[nanos(wait)]);
        self.asked.push(Asked::Wake(wait));
    }
    fn watch(&mut self) {
        self.add(WATCH, &[]);
    }
    fn forget(&mut self, engine: EngineId) {
        self.add(FORGET, &[engine as u64]);
        self.asked.push(Asked::Forget(engine));
    }
}

/// What the world of one life does besides what the router was started with.
struct Habits {
    estimates: u64,
    usages: u64,
    load_report: u64,
    tells_busy: bool,
    tells_in_flight: bool,
    tells_memory: bool,
    tells_later_tries: bool,
    faults: u64,
    longest_gap: u64,
    requests: usize,
    closes: bool,
    progress_interval: Option<Duration>,
}

/// An engine as it truly is.
#[derive(Clone)]
struct Machine {
    location: usize,
    kind: usize,
    cell: u64,
    ready: bool,
    gone: bool,
    launched: Option<Duration>,
    /// Times as long as a run should take.
    slowness: f64,
    silent: bool,
    fails: bool,
}

/// A request that is not over, or of which an attempt is out.
struct Asking {
    arrival: Arrival,
    attempts: usize,
    answered: bool,
}

struct Running {
    engine: EngineId,
    sent: Duration,
    until: Duration,
    run: Duration,
}

enum Event {
    Arrival,
    Wake,
    AttemptOutcome(RequestId, usize, AttemptOutcome),
    Note(RequestId, usize),
    Probed(EngineId),
    Engines,
    ClientsLeave,
    ListFails,
    Closing,
    Look,
}

struct Life {
    random: Random,
    scheduler: Scheduler,
    log: Log,
    habits: Habits,
    kinds: usize,
    /// Deadline and threads of each type.
    classes: Vec<(Duration, f64)>,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    planned: u64,
    arrived: RequestId,
    machines: BTreeMap<EngineId, Machine>,
    asking: BTreeMap<RequestId, Asking>,
    running: BTreeMap<(RequestId, usize), Running>,
}

fn effect(random: &mut Random) -> Effect {
    let window = random.time(100, 800);
    match random.below(6) {
        0 | 1 => Effect::Idempotent,
        2 => Effect::IdempotentWithKey { scope: KeyScope::All, window },
        3 => Effect::IdempotentWithKey { scope: KeyScope::Location, window },
        4 => Effect::IdempotentWithKey { scope: KeyScope::Cell, window },
        _ => Effect::NonIdempotent,
    }
}

fn traffic_type(random: &mut Random, kinds: usize) -> RequestClass {
    let latency_objective = random.time(100, 800);
    RequestClass {
        latency_objective,
        objective_stretch: random.one_of(&[0.0, 1.0, 2.0, 4.0]),
        deadline: latency_objective * random.among(1, 8) as u32,
        priority_weight: random.between(0.5, 8.0),
        late_share: random.one_of(&[0.0, 0.0, 0.2, 0.8]),
        effect: effect(random),
        keeps_order: random.percent(25),
        kinds: random.maybe(15, |random| vec![random.below(kinds)]),
        locations: random.maybe(15, |random| vec![random.below(2), 2]),
        threads: random.one_of(&[0.5, 1.0, 1.0, 2.0, 4.0]),
        holds_group: random.percent(20),
        waits_for_loads: random.percent(30),
    }
}

fn fleet(random: &mut Random) -> Fleet {
    let kind = |random: &mut Random| EngineKind {
        cores: random.one_of(&[2.0, 4.0, 8.0]),
        memory_mb: random.one_of(&[2000.0, 8000.0, 16000.0]),
    };
    Fleet {
        seed: random.next(),
        router_count: random.one_of(&[1, 1, 1, 2, 8, 40]),
        home_location: random.below(3),
        kinds: (0..=random.below(3)).map(|_| kind(random)).collect(),
        max_grant_share: random.one_of(&[0.25, 0.5, 0.9]),
        honors_priorities: random.percent(50),
        shrinks_grants: random.percent(40),
        progress_interval: random.maybe(60, |random| random.time(20, 120)),
        reports_only_on_probe: random.percent(35),
        polls_endpoint_list: random.percent(50),
        tick: random.time(2, 8),
    }
}

fn attempt_limits(random: &mut Random) -> AttemptLimits {
    AttemptLimits {
        max_attempts: random.one_of(&[1, 2, 3, 3, 5]),
        may_cancel: random.percent(80),
        may_probe: random.percent(80),
        start_capacity: random.one_of(&[0.1, 0.3, 1.0]),
        warm_up: random.time(100, 3000),
        overload_factor: random.one_of(&[0.5, 1.0, 2.0]),
        overload_window: random.time(50, 500),
        key_cooldown: random.maybe(50, |random| random.time(20, 300)),
        retry_budget: random.maybe(50, |random| RetryBudget {
            spare: random.one_of(&[0.0, 1.0, 4.0]),
            per_request: random.one_of(&[0.0, 0.1, 0.5]),
            window: random.time(200, 2000),
        }),
        max_retry_after: random.maybe(70, |random| random.time(20, 500)),
    }
}

fn habits(random: &mut Random, fleet: &Fleet) -> Habits {
    Habits {
        estimates: random.one_of(&[0, 50, 95, 100, 100]),
        usages: random.one_of(&[0, 60, 100]),
        load_report: random.one_of(&[0, 50, 100]),
        tells_busy: random.percent(60),
        tells_in_flight: random.percent(60),
        tells_memory: random.percent(70),
        tells_later_tries: random.percent(50),
        faults: random.one_of(&[0, 3, 10, 30]),
        longest_gap: random.one_of(&[3, 8, 20, 60]),
        requests: random.one_of(&[20, 30, 50, 70]),
        closes: random.percent(25),
        progress_interval: fleet.progress_interval,
    }
}

fn machine(random: &mut Random, kinds: usize, launched: Option<Duration>) -> Machine {
    let location = random.below(3);
    Machine {
        location,
        kind: random.below(kinds),
        cell: (location * 2 + random.below(2)) as u64,
        ready: random.percent(92),
        gone: false,
        launched,
        slowness: random.one_of(&[1.0, 1.0, 1.0, 1.5, 4.0, 12.0]),
        silent: random.percent(5),
        fails: random.percent(5),
    }
}

fn endpoint(engine: EngineId, machine: &Machine) -> Endpoint {
    let Machine { location, kind, cell, ready, gone, launched, .. } = *machine;
    let lifecycle = match (ready, gone) {
        (true, false) => Lifecycle::Ready,
        (true, true) => Lifecycle::Retiring,
        (false, true) => Lifecycle::Gone,
        (false, false) => Lifecycle::Draining,
    };
    Endpoint { engine, location, kind, cell, lifecycle, launched }
}

impl Life {
    fn new(seed: u64, log: Log) -> Self {
        let mut random = Random { state: seed, coarse: seed.is_multiple_of(2) };
        let (fleet, attempt_limits) = (fleet(&mut random), attempt_limits(&mut random));
        let habits = habits(&mut random, &fleet);
        let kinds = fleet.kinds.len();
        let classes: Vec<RequestClass> =
            (0..=random.below(4)).map(|_| traffic_type(&mut random, kinds)).collect();
        let now = random.time(2_000, 20_000);
        let machines = (0..=random.below(6)).map(|engine| (engine, machine(&mut random, kinds, None)));
        Self {
            machines: machines.collect(),
            classes: classes.iter().map(|class| (class.deadline, class.threads)).collect(),
            scheduler: Scheduler::new(fleet, classes, attempt_limits),
            random,
            log,
            habits,
            kinds,
            now,
            events: BTreeMap::new(),
            planned: 0,
            arrived: 0,
            asking: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    fn play(mut self) -> Log {
        self.list_engines(EndpointUpdate::FullList);
        self.plan(ms(0), Event::Arrival);
        let some_time = |random: &mut Random| random.time(10, 1000);
        for event in [Event::Engines, Event::ClientsLeave, Event::Look, Event::ListFails] {
            let wait = some_time(&mut self.random);
            self.plan(wait, event);
        }
        if self.habits.closes {
            let wait = self.random.time(100, 1500);
            self.plan(wait, Event::Closing);
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            self.happen(event);
            self.act();
        }
        let HeldCounts { requests, engines, keys } = self.scheduler.held_counts();
        self.log.add(KEPT, &[requests as u64, engines as u64, keys as u64]);
        self.log
    }

    fn plan(&mut self, wait: Duration, event: Event) {
        self.planned += 1;
        let at = self.random.grained(self.now + wait);
        self.events.insert((at.max(self.now), self.planned), event);
    }

    /// Whether requests are still to come or to be answered.
    fn goes_on(&self) -> bool {
        (self.arrived as usize) < self.habits.requests || !self.running.is_empty()
    }

    fn plan_again(&mut self, first_ms: u64, last_ms: u64, event: Event) {
        if self.goes_on() {
            let wait = self.random.time(first_ms, last_ms);
            self.plan(wait, event);
        }
    }

    fn happen(&mut self, event: Event) {
        self.log.add(INPUT, &[nanos(self.now)]);
        match event {
            Event::Arrival => self.request_arrives(),
            Event::Wake => self.scheduler.wake(self.now, &mut self.log),
            Event::AttemptOutcome(request, attempt, end) => self.attempt_ends(request, attempt, end),
            Event::Note(request, attempt) => self.note_comes(request, attempt),
            Event::Probed(engine) => self.probe_ends(engine),
            Event::Engines => {
                self.engines_change();
                self.plan_again(50, 600, Event::Engines);
            }
            Event::ClientsLeave => {
                self.clients_leave();
                self.plan_again(20, 400, Event::ClientsLeave);
            }
            Event::ListFails => {
                self.scheduler.endpoint_list_failed(self.now, &mut self.log);
                self.plan_again(200, 1500, Event::ListFails);
            }
            Event::Closing => {
                let by = self.now + self.random.time(20, 800);
                self.scheduler.shutting_down(self.now, by, &mut self.log);
            }
            Event::Look => {
                self.look_for_room();
                self.plan_again(10, 100, Event::Look);
            }
        }
    }

    /// Does what the router asked for; it asks for nothing more meanwhile.
    fn act(&mut self) {
        for asked in std::mem::take(&mut self.log.asked) {
            match asked {
                Asked::Attempt { request, engine, until } => self.attempt_starts(request, engine, until),
                Asked::Cancel { request, attempt } => self.attempt_is_cancelled(request, attempt),
                Asked::Answered(request) => self.request_is_answered(request),
                Asked::Probe(engine) => {
                    let wait = self.random.time(1, 60);
                    self.plan(wait, Event::Probed(engine));
                }
                Asked::Wake(wait) => self.plan(wait, Event::Wake),
                Asked::Forget(engine) => {
                    self.machines.remove(&engine);
                }
            }
        }
    }

    fn arrival(&mut self) -> Arrival {
        let random = &mut self.random;
        let class = random.below(self.classes.len());
        let (deadline, _) = self.classes[class];
        let is_later = random.percent(15);
        let told = random.percent(self.habits.estimates);
        let memory = random.one_of(&[5.0, 40.0, 300.0, 1200.0, 4000.0]) * random.between(0.5, 1.5);
        let cost = random.one_of(&[10, 40, 150, 600]) * random.among(5, 15) / 10;
        Arrival {
            request: self.arrived,
            class,
            key: random.maybe(60, |random| random.below(4) as KeyId),
            cost: told.then_some(ms(cost)),
            memory_mb: (told && !random.percent(10)).then_some(memory),
            deadline: if is_later { deadline.mul_f64(random.between(0.3, 0.9)) } else { deadline },
            waited: if random.percent(30) { random.time(1, 60) } else { ms(0) },
            is_retry: self.habits.tells_later_tries.then_some(is_later),
            group: random.maybe(50, |random| random.below(4) as u64),
        }
    }

    fn request_arrives(&mut self) {
        // Some come at once, as after a pause.
        let crowd = if self.random.percent(4) { self.random.among(5, 45) } else { 1 };
        for _ in 0..crowd {
            let arrival = self.arrival();
            self.arrived += 1;
            let asking = Asking { arrival: arrival.clone(), attempts: 0, answered: false };
            self.asking.insert(arrival.request, asking);
            self.scheduler.accept(self.now, arrival, &mut self.log);
            self.act();
        }
        if (self.arrived as usize) < self.habits.requests {
            let wait = self.random.time(0, self.habits.longest_gap);
            self.plan(wait, Event::Arrival);
        }
    }

    fn attempt_starts(&mut self, request: RequestId, engine: EngineId, until: Duration) {
        let asking = self.asking.get_mut(&request).expect("a task that arrived");
        let attempt = asking.attempts;
        asking.attempts += 1;
        let (machine, random) = (&self.machines[&engine], &mut self.random);
        let (_, threads) = self.classes[asking.arrival.class];
        let cost = asking.arrival.cost.unwrap_or(ms(80)).div_f64(f64::max(threads, 1.0));
        let misjudged = random.one_of(&[0.7, 1.0, 1.0, 1.2, 2.0, 10.0]);
        let run = cost.mul_f64(misjudged * machine.slowness * random.between(0.9, 1.6)) + ms(1);
        let left = until.saturating_sub(self.now);
        let faulty = random.percent(self.habits.faults);
        let (wait, end) = match () {
            _ if machine.silent => (left, AttemptOutcome::TimedOut),
            _ if machine.gone => (random.time(1, 30).min(left), AttemptOutcome::Unreachable),
            _ if machine.fails => (random.time(1, 10).min(left), AttemptOutcome::Failed),
            _ if faulty => {
                let ends = [
                    AttemptOutcome::Failed,
                    AttemptOutcome::Overloaded,
                    AttemptOutcome::Overloaded,
                    AttemptOutcome::TimedOut,
                    AttemptOutcome::Unreachable,
                    AttemptOutcome::Broken,
                    AttemptOutcome::Void,
                ];
                (run.mul_f64(random.part()).min(left), random.one_of(&ends))
            }
            _ if run >= left => (left, AttemptOutcome::TimedOut),
            _ => (run, AttemptOutcome::Succeeded),
        };
        let silent = machine.silent;
        self.running.insert((request, attempt), Running { engine, sent: self.now, until, run });
        self.plan(wait, Event::AttemptOutcome(request, attempt, end));
        if let Some(every) = self.habits.progress_interval.filter(|_| !silent) {
            self.plan(every, Event::Note(request, attempt));
        }
    }

    fn attempt_is_cancelled(&mut self, request: RequestId, attempt: usize) {
        let ends = [
            AttemptOutcome::Withdrawn,
            AttemptOutcome::Withdrawn,
            AttemptOutcome::Withdrawn,
            AttemptOutcome::Void,
            AttemptOutcome::Broken,
        ];
        let (wait, end) = (self.random.time(0, 10), self.random.one_of(&ends));
        self.plan(wait, Event::AttemptOutcome(request, attempt, end));
    }

    fn request_is_answered(&mut self, request: RequestId) {
        self.asking.get_mut(&request).expect("a task that arrived").answered = true;
    }

    /// What the engine says of its load, as far as engines do in this life.
    fn load_report(&mut self, engine: EngineId) -> Option<LoadReport> {
        let out = self.running.values().filter(|running| running.engine == engine).count() as f64;
        let (habits, random) = (&self.habits, &mut self.random);
        let waiting = random.maybe(20, |random| random.below(3) as f64);
        Some(LoadReport {
            busy: habits.tells_busy.then(|| (out / 4.0 * random.between(0.5, 1.5)).min(1.0)),
            in_flight: habits.tells_in_flight.then(|| out + random.below(4) as f64),
            waiting,
            memory: habits.tells_memory.then(|| (out / 6.0 * random.between(0.5, 1.5)).min(1.0)),
            disks: random.maybe(20, Random::part),
        })
    }

    fn attempt_ends(&mut self, request: RequestId, attempt: usize, end: AttemptOutcome) {
        let Some(running) = self.running.remove(&(request, attempt)) else { return };
        let tells =
            !matches!(end, AttemptOutcome::TimedOut | AttemptOutcome::Unreachable | AttemptOutcome::Broken);
        let load_report = if tells && self.random.percent(self.habits.load_report) {
            self.load_report(running.engine)
        } else {
            None
        };
        let asking = self.asking.get_mut(&request).expect("a task that arrived");
        let elapsed = self.now - running.sent;
        let told = asking.arrival.memory_mb.unwrap_or(100.0);
        let random = &mut self.random;
        let billed = end == AttemptOutcome::Succeeded && random.percent(self.habits.usages);
        let usage = billed.then(|| Usage {
            cost: elapsed.mul_f64(random.between(0.5, 1.0)),
            memory_mb: told * random.between(0.4, 2.0),
        });
        asking.answered |= end == AttemptOutcome::Succeeded;
        let request_done = asking.answered;
        let ended = AttemptEnded {
            request,
            attempt,
            engine: running.engine,
            outcome: end,
            elapsed,
            usage,
            load_report,
            request_done,
        };
        self.scheduler.attempt_ended(self.now, ended, &mut self.log);
    }

    fn note_comes(&mut self, request: RequestId, attempt: usize) {
        let Some(Running { engine, sent, until, run }) = self.running.get(&(request, attempt)) else {
            return;
        };
        let (since, random) = (self.now - *sent, &mut self.random);
        if self.machines[engine].silent || *until <= self.now {
            return;
        }
        let done = since.as_nanos() as f64 / run.as_nanos() as f64;
        let notice = match random.below(12) {
            0 | 1 => ProgressNote::Running,
            2 => ProgressNote::Spilling(random.between(10.0, 900.0)),
            3 => random.one_of(&[
                ProgressNote::WaitingForMemory,
                ProgressNote::WaitingForLoad,
                ProgressNote::Running,
            ]),
            4 => ProgressNote::Fraction(0.0),
            _ => ProgressNote::Fraction(done.min(1.0)),
        };
        self.scheduler.progress_noted(self.now, request, attempt, notice, &mut self.log);
        if let Some(every) = self.habits.progress_interval
            && self.random.percent(93)
        {
            self.plan(every, Event::Note(request, attempt));
        }
    }

    fn probe_ends(&mut self, engine: EngineId) {
        let answers = self.machines.get(&engine).is_some_and(|machine| !machine.silent && !machine.gone);
        let load_report = if answers && !self.random.percent(10) { self.load_report(engine) } else { None };
        self.scheduler.probed(self.now, engine, load_report, &mut self.log);
    }

    fn list_engines(&mut self, update: EndpointUpdate) {
        let rows = self.machines.iter().map(|(engine, machine)| endpoint(*engine, machine)).collect();
        self.scheduler.endpoints_changed(self.now, update, rows, &mut self.log);
        self.act();
    }

    fn engines_change(&mut self) {
        let engines: Vec<EngineId> = self.machines.keys().copied().collect();
        let (random, now) = (&mut self.random, self.now);
        let change = random.below(10);
        if engines.is_empty() || change == 0 {
            let free = engines.last().map_or(0, |last| last + 1);
            let launched = random.maybe(50, |random| now.saturating_sub(random.time(0, 500)));
            self.machines.insert(free, machine(random, self.kinds, launched));
            let full = self.random.percent(30);
            return self.list_engines(if full { EndpointUpdate::FullList } else { EndpointUpdate::Changes });
        }
        let engine = random.one_of(&engines);
        let machine = self.machines.get_mut(&engine).expect("a listed engine");
        match change {
            1 => machine.ready = !machine.ready,
            2 => (machine.ready, machine.gone) = (false, true),
            3 | 4 => {
                (machine.ready, machine.gone, machine.launched) = (true, false, Some(now));
                (machine.silent, machine.fails, machine.slowness) = (false, false, 1.0);
            }
            5 => machine.silent = !machine.silent,
            6 => machine.fails = !machine.fails,
            7 => machine.slowness = random.one_of(&[1.0, 2.0, 6.0, 20.0]),
            8 => {
                let rows = self.machines.iter().filter(|_| !random.percent(20));
                let rows = rows.map(|(engine, machine)| endpoint(*engine, machine)).collect();
                return self.scheduler.endpoints_changed(now, EndpointUpdate::FullList, rows, &mut self.log);
            }
            _ => machine.ready = true,
        }
        let row = endpoint(engine, machine);
        self.scheduler.endpoints_changed(now, EndpointUpdate::Changes, vec![row], &mut self.log);
    }

    fn clients_leave(&mut self) {
        let waiting = self.asking.iter().filter(|(_, asking)| !asking.answered).map(|(request, _)| *request);
        let leaving: BTreeSet<RequestId> = waiting.filter(|_| self.random.percent(8)).collect();
        let (over, ended): (Vec<RequestId>, Vec<RequestId>) =
            leaving.iter().partition(|request| *request % 2 == 0);
        over.iter().for_each(|request| self.request_is_answered(*request));
        self.scheduler.clients_left(self.now, &over, &ended, &mut self.log);
    }

    fn look_for_room(&mut self) {
        let arrivals: Vec<Arrival> = (0..3).map(|_| self.arrival()).collect();
        let mut room = self.scheduler.capacity(self.now);
        for arrival in &arrivals {
            self.log.add(ROOM, &[u64::from(room.admits(arrival))]);
        }
        let work = self.scheduler.expected_work(&arrivals[0]);
        self.log.add(EXPECTED_WORK, &[nanos(work), nanos(self.scheduler.margin())]);
    }
}
