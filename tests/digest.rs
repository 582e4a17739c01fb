//! A guard for refactorings, which must not change any decision: one digest over all actions of a scheduler in thousands
//! of random runs with random settings.
//!
//! The digest covers numbers, indices, times in nanoseconds and the bits of floats, but no names, which a refactoring may
//! change. Each decision influences the rest of its run, so that a single difference changes the digest.

#[path = "digest/log.rs"]
mod log;
#[path = "digest/random.rs"]
mod random;
#[path = "digest/settings.rs"]
mod settings;

use emberflow::*;
use expect_test::expect;
use log::*;
use random::Random;
use settings::*;
use sha2::Digest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const RUNS: u64 = 2000;

/// Minimum number of each kind of action in all runs together, so that the digest covers it.
const MIN_COUNTS: [(usize, u64); 13] = [
    (SEND, 40_000),
    (SET_TERMS, 40_000),
    (CANCEL, 5_000),
    (REJECT, 20_000),
    (FAIL, 2_000),
    (PROBE, 1_000),
    (WAKE_AFTER, 40_000),
    (WATCH, 1_000),
    (FORGET, 500),
    (ADMITS, 50_000),
    (EXPECTED_WORK, 20_000),
    (INPUT, 200_000),
    (HELD_COUNTS, RUNS),
];

#[test]
fn random_runs_have_unchanged_decisions() {
    let mut log = Log::default();
    for seed in 0..RUNS {
        log = Simulation::new(seed, log).run_to_end();
    }
    for (kind, min_count) in MIN_COUNTS {
        assert!(log.counts[kind] >= min_count, "action {kind}: {} of at least {min_count}", log.counts[kind]);
    }
    let digest: String = log.digest.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
    expect!["5b7f7a0e0625171505bc27b73182cae01a0424bfa5152c41b047ec6ca7ca94d3"].assert_eq(&digest);
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request as its client knows it.
struct ClientRequest {
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
    Progress(RequestId, usize),
    Probed(EngineId),
    Engines,
    ClientsLeave,
    EndpointListFails,
    ShutDown,
    CapacityCheck,
}

struct Simulation {
    random: Random,
    scheduler: Scheduler,
    log: Log,
    environment: Environment,
    kinds: usize,
    /// Deadline and threads of each request class.
    classes: Vec<(Duration, f64)>,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    scheduled: u64,
    arrived: RequestId,
    machines: BTreeMap<EngineId, Machine>,
    client_requests: BTreeMap<RequestId, ClientRequest>,
    running: BTreeMap<(RequestId, usize), Running>,
}

impl Simulation {
    fn new(seed: u64, log: Log) -> Self {
        let mut random = Random { state: seed, coarse: seed.is_multiple_of(2) };
        let (fleet, attempt_limits) = (fleet(&mut random), attempt_limits(&mut random));
        let environment = environment(&mut random, &fleet);
        let kinds = fleet.kinds.len();
        let classes: Vec<RequestClass> =
            (0..=random.below(4)).map(|_| request_class(&mut random, kinds)).collect();
        let now = random.time(2_000, 20_000);
        let machines =
            (0..=random.below(6)).map(|engine| (EngineId(engine), machine(&mut random, kinds, None)));
        Self {
            machines: machines.collect(),
            classes: classes.iter().map(|class| (class.deadline, class.threads)).collect(),
            scheduler: Scheduler::new(fleet, classes, attempt_limits),
            random,
            log,
            environment,
            kinds,
            now,
            events: BTreeMap::new(),
            scheduled: 0,
            arrived: RequestId(0),
            client_requests: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    fn run_to_end(mut self) -> Log {
        self.update_endpoints(EndpointUpdate::FullList);
        self.schedule(ms(0), Event::Arrival);
        let first_time = |random: &mut Random| random.time(10, 1000);
        for event in [Event::Engines, Event::ClientsLeave, Event::CapacityCheck, Event::EndpointListFails] {
            let wait = first_time(&mut self.random);
            self.schedule(wait, event);
        }
        if self.environment.shuts_down {
            let wait = self.random.time(100, 1500);
            self.schedule(wait, Event::ShutDown);
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            self.handle(event);
            self.carry_out();
        }
        let HeldCounts { requests, engines, keys } = self.scheduler.held_counts();
        self.log.add(HELD_COUNTS, &[requests as u64, engines as u64, keys as u64]);
        self.log
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        self.scheduled += 1;
        let at = self.random.rounded(self.now + wait);
        self.events.insert((at.max(self.now), self.scheduled), event);
    }

    /// Returns whether more requests arrive or attempts are in flight.
    fn is_active(&self) -> bool {
        (self.arrived.0 as usize) < self.environment.requests || !self.running.is_empty()
    }

    fn schedule_again(&mut self, first_ms: u64, last_ms: u64, event: Event) {
        if self.is_active() {
            let wait = self.random.time(first_ms, last_ms);
            self.schedule(wait, event);
        }
    }

    fn handle(&mut self, event: Event) {
        self.log.add(INPUT, &[nanoseconds(self.now)]);
        match event {
            Event::Arrival => self.handle_arrivals(),
            Event::Wake => self.scheduler.wake(self.now, &mut self.log),
            Event::AttemptOutcome(request, attempt, end) => self.end_attempt(request, attempt, end),
            Event::Progress(request, attempt) => self.send_progress(request, attempt),
            Event::Probed(engine) => self.answer_probe(engine),
            Event::Engines => {
                self.change_engines();
                self.schedule_again(50, 600, Event::Engines);
            }
            Event::ClientsLeave => {
                self.clients_withdraw();
                self.schedule_again(20, 400, Event::ClientsLeave);
            }
            Event::EndpointListFails => {
                self.scheduler.endpoint_list_failed(self.now, &mut self.log);
                self.schedule_again(200, 1500, Event::EndpointListFails);
            }
            Event::ShutDown => {
                let by = self.now + self.random.time(20, 800);
                self.scheduler.shutting_down(self.now, by, &mut self.log);
            }
            Event::CapacityCheck => {
                self.check_capacity();
                self.schedule_again(10, 100, Event::CapacityCheck);
            }
        }
    }

    /// Carries out the actions of the scheduler.
    fn carry_out(&mut self) {
        for pending in std::mem::take(&mut self.log.pending) {
            match pending {
                PendingAction::Attempt { request, engine, until } => {
                    self.start_attempt(request, engine, until)
                }
                PendingAction::Cancel { request, attempt } => self.cancel_attempt(request, attempt),
                PendingAction::Answered(request) => self.answer_request(request),
                PendingAction::Probe(engine) => {
                    let wait = self.random.time(1, 60);
                    self.schedule(wait, Event::Probed(engine));
                }
                PendingAction::Wake(wait) => self.schedule(wait, Event::Wake),
                PendingAction::Forget(engine) => {
                    self.machines.remove(&engine);
                }
            }
        }
    }

    fn arrival(&mut self) -> Arrival {
        let random = &mut self.random;
        let class = random.below(self.classes.len());
        let (deadline, _) = self.classes[class];
        let is_retry = random.percent(15);
        let has_estimates = random.percent(self.environment.estimates);
        let memory = random.one_of(&[5.0, 40.0, 300.0, 1200.0, 4000.0]) * random.between(0.5, 1.5);
        let cost = random.one_of(&[10, 40, 150, 600]) * random.inclusive(5, 15) / 10;
        Arrival {
            request: self.arrived,
            class,
            key: random.maybe(60, |random| KeyId(random.below(4) as u32)),
            cost: has_estimates.then_some(ms(cost)),
            memory_mb: (has_estimates && !random.percent(10)).then_some(memory),
            deadline: if is_retry { deadline.mul_f64(random.between(0.3, 0.9)) } else { deadline },
            waited: if random.percent(30) { random.time(1, 60) } else { ms(0) },
            is_retry: self.environment.marks_retries.then_some(is_retry),
            group: random.maybe(50, |random| random.below(4) as u64),
        }
    }

    fn handle_arrivals(&mut self) {
        // Requests also arrive in bursts.
        let burst = if self.random.percent(4) { self.random.inclusive(5, 45) } else { 1 };
        for _ in 0..burst {
            let arrival = self.arrival();
            self.arrived.0 += 1;
            let client_request = ClientRequest { arrival: arrival.clone(), attempts: 0, answered: false };
            self.client_requests.insert(arrival.request, client_request);
            self.scheduler.accept(self.now, arrival, &mut self.log);
            self.carry_out();
        }
        if (self.arrived.0 as usize) < self.environment.requests {
            let wait = self.random.time(0, self.environment.longest_gap);
            self.schedule(wait, Event::Arrival);
        }
    }

    fn start_attempt(&mut self, request: RequestId, engine: EngineId, until: Duration) {
        let client_request = self.client_requests.get_mut(&request).expect("a request that arrived");
        let attempt = client_request.attempts;
        client_request.attempts += 1;
        let (machine, random) = (&self.machines[&engine], &mut self.random);
        let (_, threads) = self.classes[client_request.arrival.class];
        let cost = client_request.arrival.cost.unwrap_or(ms(80)).div_f64(f64::max(threads, 1.0));
        let estimate_error = random.one_of(&[0.7, 1.0, 1.0, 1.2, 2.0, 10.0]);
        let run = cost.mul_f64(estimate_error * machine.slowness * random.between(0.9, 1.6)) + ms(1);
        let left = until.saturating_sub(self.now);
        let faulty = random.percent(self.environment.faults);
        let (wait, end) = match () {
            _ if machine.silent => (left, AttemptOutcome::TimedOut),
            _ if machine.removed => (random.time(1, 30).min(left), AttemptOutcome::Unreachable),
            _ if machine.fails => (random.time(1, 10).min(left), AttemptOutcome::Failed),
            _ if faulty => {
                let ends = [
                    AttemptOutcome::Failed,
                    AttemptOutcome::Overloaded,
                    AttemptOutcome::Overloaded,
                    AttemptOutcome::TimedOut,
                    AttemptOutcome::Unreachable,
                    AttemptOutcome::Broken,
                    AttemptOutcome::NotSent,
                ];
                (run.mul_f64(random.fraction()).min(left), random.one_of(&ends))
            }
            _ if run >= left => (left, AttemptOutcome::TimedOut),
            _ => (run, AttemptOutcome::Succeeded),
        };
        let silent = machine.silent;
        self.running.insert((request, attempt), Running { engine, sent: self.now, until, run });
        self.schedule(wait, Event::AttemptOutcome(request, attempt, end));
        if let Some(every) = self.environment.progress_interval.filter(|_| !silent) {
            self.schedule(every, Event::Progress(request, attempt));
        }
    }

    fn cancel_attempt(&mut self, request: RequestId, attempt: usize) {
        let ends = [
            AttemptOutcome::Cancelled,
            AttemptOutcome::Cancelled,
            AttemptOutcome::Cancelled,
            AttemptOutcome::NotSent,
            AttemptOutcome::Broken,
        ];
        let (wait, end) = (self.random.time(0, 10), self.random.one_of(&ends));
        self.schedule(wait, Event::AttemptOutcome(request, attempt, end));
    }

    fn answer_request(&mut self, request: RequestId) {
        self.client_requests.get_mut(&request).expect("a request that arrived").answered = true;
    }

    /// Returns the load that an engine reports, with the fields that engines report in this run.
    fn load_report(&mut self, engine: EngineId) -> Option<LoadReport> {
        let attempts = self.running.values().filter(|running| running.engine == engine).count() as f64;
        let (environment, random) = (&self.environment, &mut self.random);
        let waiting = random.maybe(20, |random| random.below(3) as f64);
        Some(LoadReport {
            busy: environment.reports_busy.then(|| (attempts / 4.0 * random.between(0.5, 1.5)).min(1.0)),
            in_flight: environment.reports_in_flight.then(|| attempts + random.below(4) as f64),
            waiting,
            memory: environment.reports_memory.then(|| (attempts / 6.0 * random.between(0.5, 1.5)).min(1.0)),
            disks: random.maybe(20, Random::fraction),
        })
    }

    fn end_attempt(&mut self, request: RequestId, attempt: usize, end: AttemptOutcome) {
        let Some(running) = self.running.remove(&(request, attempt)) else { return };
        let reports_load =
            !matches!(end, AttemptOutcome::TimedOut | AttemptOutcome::Unreachable | AttemptOutcome::Broken);
        let load_report = if reports_load && self.random.percent(self.environment.load_report) {
            self.load_report(running.engine)
        } else {
            None
        };
        let client_request = self.client_requests.get_mut(&request).expect("a request that arrived");
        let elapsed = self.now - running.sent;
        let estimate = client_request.arrival.memory_mb.unwrap_or(100.0);
        let random = &mut self.random;
        let billed = end == AttemptOutcome::Succeeded && random.percent(self.environment.usages);
        let usage = billed.then(|| Usage {
            cost: elapsed.mul_f64(random.between(0.5, 1.0)),
            memory_mb: estimate * random.between(0.4, 2.0),
        });
        client_request.answered |= end == AttemptOutcome::Succeeded;
        let request_done = client_request.answered;
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

    fn send_progress(&mut self, request: RequestId, attempt: usize) {
        let Some(Running { engine, sent, until, run }) = self.running.get(&(request, attempt)) else {
            return;
        };
        let (since, random) = (self.now - *sent, &mut self.random);
        if self.machines[engine].silent || *until <= self.now {
            return;
        }
        let done = since.as_nanos() as f64 / run.as_nanos() as f64;
        let update = match random.below(12) {
            0 | 1 => ProgressUpdate::Running,
            2 => ProgressUpdate::Spilling(random.between(10.0, 900.0)),
            3 => random.one_of(&[
                ProgressUpdate::WaitingForMemory,
                ProgressUpdate::WaitingForLoad,
                ProgressUpdate::Running,
            ]),
            4 => ProgressUpdate::Fraction(0.0),
            _ => ProgressUpdate::Fraction(done.min(1.0)),
        };
        self.scheduler.progress_updated(self.now, request, attempt, update, &mut self.log);
        if let Some(every) = self.environment.progress_interval
            && self.random.percent(93)
        {
            self.schedule(every, Event::Progress(request, attempt));
        }
    }

    fn answer_probe(&mut self, engine: EngineId) {
        let answers = self.machines.get(&engine).is_some_and(|machine| !machine.silent && !machine.removed);
        let load_report = if answers && !self.random.percent(10) { self.load_report(engine) } else { None };
        self.scheduler.probed(self.now, engine, load_report, &mut self.log);
    }

    fn update_endpoints(&mut self, update: EndpointUpdate) {
        let rows = self.machines.iter().map(|(engine, machine)| endpoint(*engine, machine)).collect();
        self.scheduler.endpoints_changed(self.now, update, rows, &mut self.log);
        self.carry_out();
    }

    fn change_engines(&mut self) {
        let engines: Vec<EngineId> = self.machines.keys().copied().collect();
        let (random, now) = (&mut self.random, self.now);
        let change = random.below(10);
        if engines.is_empty() || change == 0 {
            let free = engines.last().map_or(EngineId(0), |last| EngineId(last.0 + 1));
            let launched = random.maybe(50, |random| now.saturating_sub(random.time(0, 500)));
            self.machines.insert(free, machine(random, self.kinds, launched));
            let full = self.random.percent(30);
            return self.update_endpoints(if full {
                EndpointUpdate::FullList
            } else {
                EndpointUpdate::Changes
            });
        }
        let engine = random.one_of(&engines);
        let machine = self.machines.get_mut(&engine).expect("a listed engine");
        match change {
            1 => machine.ready = !machine.ready,
            2 => (machine.ready, machine.removed) = (false, true),
            3 | 4 => {
                (machine.ready, machine.removed, machine.launched) = (true, false, Some(now));
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

    fn clients_withdraw(&mut self) {
        let waiting = self
            .client_requests
            .iter()
            .filter(|(_, client_request)| !client_request.answered)
            .map(|(request, _)| *request);
        let leaving: BTreeSet<RequestId> = waiting.filter(|_| self.random.percent(8)).collect();
        let (withdrawn, half_closed): (Vec<RequestId>, Vec<RequestId>) =
            leaving.iter().partition(|request| request.0.is_multiple_of(2));
        withdrawn.iter().for_each(|request| self.answer_request(*request));
        self.scheduler.clients_left(self.now, &withdrawn, &half_closed, &mut self.log);
    }

    fn check_capacity(&mut self) {
        let arrivals: Vec<Arrival> = (0..3).map(|_| self.arrival()).collect();
        let mut capacity = self.scheduler.capacity(self.now);
        for arrival in &arrivals {
            self.log.add(ADMITS, &[u64::from(capacity.admits(arrival))]);
        }
        let work = self.scheduler.expected_work(&arrivals[0]);
        self.log.add(EXPECTED_WORK, &[nanoseconds(work), nanoseconds(self.scheduler.margin())]);
    }
}
