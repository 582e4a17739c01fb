//! One random run: a scheduler, simulated clients and engines, and the events between them.

use crate::log::{HELD_COUNTS, INPUT, Log, PendingAction, nanoseconds};
use crate::random::Random;
use crate::settings::{
    Environment, SimulatedEngine, attempt_limits, environment, fleet, request_class, simulated_engine,
};
use emberflow::{
    Arrival, AttemptOutcome, EndpointUpdate, EngineId, HeldCounts, RequestClass, RequestId, Scheduler,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Converts milliseconds to a time.
pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request that has arrived.
pub struct ClientRequest {
    pub arrival: Arrival,
    /// Number of attempts that the scheduler has sent, including those that have ended.
    pub attempts: usize,
    /// Whether the client needs no further answer, because it has one or has cancelled the request.
    pub answered: bool,
}

/// An attempt in flight.
pub struct RunningAttempt {
    pub engine: EngineId,
    pub sent_at: Duration,
    pub timeout_at: Duration,
    /// Time that the engine needs for the attempt.
    pub run: Duration,
}

/// An event of a run.
pub enum Event {
    Arrival,
    Wake,
    AttemptOutcome(RequestId, usize, AttemptOutcome),
    Progress(RequestId, usize),
    ProbeEnds(EngineId),
    EnginesChange,
    ClientsLeave,
    EndpointListFails,
    ShutDown,
    CapacityCheck,
}

/// One random run of a scheduler between clients and engines.
pub struct Simulation {
    pub(super) random: Random,
    pub(super) scheduler: Scheduler,
    pub(super) log: Log,
    pub(super) environment: Environment,
    pub(super) kinds: usize,
    /// Deadline and threads of each request class.
    pub(super) classes: Vec<(Duration, f64)>,
    pub(super) now: Duration,
    pub(super) events: BTreeMap<(Duration, u64), Event>,
    /// Number of events that were scheduled. It is the second part of the keys of `events`, so that events of the same
    /// time occur in the order in which they were scheduled.
    pub(super) scheduled: u64,
    /// Id of the next request, which is also the number of requests that have arrived.
    pub(super) next_request: RequestId,
    pub(super) simulated_engines: BTreeMap<EngineId, SimulatedEngine>,
    pub(super) client_requests: BTreeMap<RequestId, ClientRequest>,
    pub(super) running: BTreeMap<(RequestId, usize), RunningAttempt>,
}

impl Simulation {
    /// Creates a run with random settings.
    pub fn new(seed: u64, log: Log) -> Self {
        let mut random = Random { state: seed, whole_milliseconds: seed.is_multiple_of(2) };
        let (fleet, attempt_limits) = (fleet(&mut random), attempt_limits(&mut random));
        let environment = environment(&mut random, &fleet);
        let kinds = fleet.kinds.len();
        let classes: Vec<RequestClass> =
            (0..=random.below(4)).map(|_| request_class(&mut random, kinds)).collect();
        let now = random.time(2_000, 20_000);
        let simulated_engines = (0..=random.below(6))
            .map(|engine| (EngineId(engine), simulated_engine(&mut random, kinds, None)));
        Self {
            simulated_engines: simulated_engines.collect(),
            classes: classes.iter().map(|class| (class.deadline, class.threads)).collect(),
            scheduler: Scheduler::new(fleet, classes, attempt_limits),
            random,
            log,
            environment,
            kinds,
            now,
            events: BTreeMap::new(),
            scheduled: 0,
            next_request: RequestId(0),
            client_requests: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Runs until no event is left, and returns the log.
    pub fn run_to_end(mut self) -> Log {
        self.update_endpoints(EndpointUpdate::FullList);
        self.schedule(ms(0), Event::Arrival);
        let first_time = |random: &mut Random| random.time(10, 1000);
        for event in
            [Event::EnginesChange, Event::ClientsLeave, Event::CapacityCheck, Event::EndpointListFails]
        {
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
            self.carry_out_actions();
        }
        let HeldCounts { requests, engines, keys } = self.scheduler.held_counts();
        self.log.add(HELD_COUNTS, &[requests as u64, engines as u64, keys as u64]);
        self.log
    }

    /// Schedules an event after a wait.
    pub(super) fn schedule(&mut self, wait: Duration, event: Event) {
        self.scheduled += 1;
        let at = self.random.rounded(self.now + wait);
        self.events.insert((at.max(self.now), self.scheduled), event);
    }

    /// Returns whether more requests arrive or attempts are in flight.
    fn is_active(&self) -> bool {
        (self.next_request.0 as usize) < self.environment.requests || !self.running.is_empty()
    }

    /// Schedules an event again after a random wait, while the run is active.
    pub(super) fn schedule_again(&mut self, first_ms: u64, last_ms: u64, event: Event) {
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
            Event::AttemptOutcome(request, attempt, outcome) => self.end_attempt(request, attempt, outcome),
            Event::Progress(request, attempt) => self.send_progress(request, attempt),
            Event::ProbeEnds(engine) => self.answer_probe(engine),
            Event::EnginesChange => {
                self.change_engines();
                self.schedule_again(50, 600, Event::EnginesChange);
            }
            Event::ClientsLeave => {
                self.clients_leave();
                self.schedule_again(20, 400, Event::ClientsLeave);
            }
            Event::EndpointListFails => {
                self.scheduler.endpoint_list_failed(self.now, &mut self.log);
                self.schedule_again(200, 1500, Event::EndpointListFails);
            }
            Event::ShutDown => {
                let deadline = self.now + self.random.time(20, 800);
                self.scheduler.start_shutdown(self.now, deadline, &mut self.log);
            }
            Event::CapacityCheck => {
                self.check_capacity();
                self.schedule_again(10, 100, Event::CapacityCheck);
            }
        }
    }

    /// Carries out the actions of the scheduler.
    pub(super) fn carry_out_actions(&mut self) {
        for pending in std::mem::take(&mut self.log.pending) {
            match pending {
                PendingAction::Attempt { request, engine, timeout_at } => {
                    self.start_attempt(request, engine, timeout_at)
                }
                PendingAction::Cancel { request, attempt } => self.cancel_attempt(request, attempt),
                PendingAction::Answered(request) => self.answer_request(request),
                PendingAction::Probe(engine) => {
                    let wait = self.random.time(1, 60);
                    self.schedule(wait, Event::ProbeEnds(engine));
                }
                PendingAction::Wake(wait) => self.schedule(wait, Event::Wake),
                PendingAction::Forget(engine) => {
                    self.simulated_engines.remove(&engine);
                }
            }
        }
    }
}
