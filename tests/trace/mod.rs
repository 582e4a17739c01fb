//! A router whose decisions are written down, and short ways to tell it what happens.

use emberflow::*;
use std::fmt::Write;
use std::time::Duration;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Default)]
struct Lines(String, u64, Duration);

impl Lines {
    fn add(&mut self, line: std::fmt::Arguments) {
        writeln!(self.0, "{:<5} {line}", self.1).unwrap();
    }
}

impl Actions for Lines {
    fn send(&mut self, request: RequestId, engine: EngineId, until: Duration) {
        self.add(format_args!("request {request} to engine {engine} until {}", until.as_millis()));
    }
    fn set_terms(&mut self, request: RequestId, grant_mb: f64, priority: u8) {
        self.add(format_args!("request {request} gets {grant_mb} MB, priority {priority}"));
    }
    fn cancel(&mut self, request: RequestId, attempt: usize) {
        self.add(format_args!("cancel request {request} attempt {attempt}"));
    }
    fn reject(&mut self, request: RequestId, retry_after: Option<Duration>) {
        let after = retry_after.map_or(0, |after| after.as_millis());
        self.add(format_args!("reject request {request}, back after {after}"));
    }
    fn fail(&mut self, request: RequestId) {
        self.add(format_args!("give up request {request}"));
    }
    fn probe(&mut self, engine: EngineId) {
        self.add(format_args!("probe engine {engine}"));
    }
    fn wake_after(&mut self, wait: Duration) {
        self.2 = wait;
    }
    fn watch(&mut self) {
        self.add(format_args!("watch the list"));
    }
    fn forget(&mut self, engine: EngineId) {
        self.add(format_args!("forget engine {engine}"));
    }
}

/// Request classes 0 to 2: short idempotent, long idempotent on three threads, non-idempotent holding its group.
pub fn classes() -> Vec<RequestClass> {
    let short = |effect, priority_weight, latency_objective, threads| RequestClass {
        latency_objective: ms(latency_objective),
        objective_stretch: 2.0,
        deadline: ms(latency_objective * 8),
        priority_weight,
        late_share: 0.0,
        effect,
        keeps_order: false,
        kinds: None,
        locations: None,
        threads,
        holds_group: false,
        waits_for_loads: false,
    };
    let mut load = short(Effect::NonIdempotent, 5.0, 3000, 2.0);
    load.holds_group = true;
    vec![short(Effect::Idempotent, 1.0, 1000, 1.0), short(Effect::Idempotent, 6.0, 2000, 3.0), load]
}

/// What the traces start from: engines of one kind with 8 cores and 16,000 MB, one router.
pub fn base() -> (Fleet, Vec<RequestClass>, AttemptLimits) {
    let fleet = Fleet {
        seed: 1,
        router_count: 1,
        home_location: 0,
        kinds: vec![EngineKind { cores: 8.0, memory_mb: 16000.0 }],
        max_grant_share: 0.5,
        honors_priorities: false,
        shrinks_grants: false,
        progress_interval: Some(ms(500)),
        reports_only_on_probe: false,
        polls_endpoint_list: false,
        tick: ms(5),
    };
    let attempt_limits = AttemptLimits {
        max_attempts: 3,
        may_cancel: true,
        may_probe: false,
        start_capacity: 0.3,
        warm_up: ms(10_000),
        overload_factor: 2.0,
        overload_window: ms(1000),
        key_cooldown: None,
        retry_budget: None,
        max_retry_after: Some(ms(400)),
    };
    (fleet, classes(), attempt_limits)
}

/// The same with short times, so that a whole life takes few steps. Request classes: 0 idempotent, 1 to 3
/// keyed within a cell, a location and everywhere, 4 non-idempotent.
pub fn small() -> (Fleet, Vec<RequestClass>, AttemptLimits) {
    let (mut fleet, mut classes, mut attempt_limits) = base();
    let window = ms(120);
    let effects = [
        Effect::Idempotent,
        Effect::IdempotentWithKey { scope: KeyScope::Cell, window },
        Effect::IdempotentWithKey { scope: KeyScope::Location, window },
        Effect::IdempotentWithKey { scope: KeyScope::All, window },
        Effect::NonIdempotent,
    ];
    let plain = classes.swap_remove(0);
    let short = |effect| RequestClass {
        latency_objective: ms(160),
        deadline: ms(320),
        effect,
        kinds: None,
        locations: None,
        ..plain
    };
    classes = effects.into_iter().map(short).collect();
    (fleet.progress_interval, fleet.tick) = (Some(ms(80)), ms(8));
    (attempt_limits.warm_up, attempt_limits.overload_window) = (ms(400), ms(100));
    (fleet, classes, attempt_limits)
}

/// When a small trace starts: later than any span that is looked back over.
pub const START: u64 = 20_000;

pub struct Trace {
    scheduler: Scheduler,
    lines: Lines,
    requests: RequestId,
    deadline: Vec<Duration>,
    /// Location and cell of each engine.
    places: Vec<(usize, u64)>,
}

#[allow(dead_code)]
impl Trace {
    /// One router of one, on engines of one kind with 8 cores and 16,000 MB, unless `change` says otherwise.
    pub fn new(
        engines: usize,
        change: impl FnOnce(&mut Fleet, &mut Vec<RequestClass>, &mut AttemptLimits),
    ) -> Self {
        let (mut fleet, mut classes, mut attempt_limits) = base();
        change(&mut fleet, &mut classes, &mut attempt_limits);
        let mut trace = Self::round(fleet, classes, attempt_limits, Vec::new());
        trace.list((0..engines).map(|engine| endpoint(engine, Lifecycle::Ready, None)).collect());
        trace
    }

    /// A trace in short times at engines in these locations and cells.
    pub fn small(
        places: &[(usize, u64)],
        change: impl FnOnce(&mut Fleet, &mut Vec<RequestClass>, &mut AttemptLimits),
    ) -> Self {
        let (mut fleet, mut classes, mut attempt_limits) = small();
        change(&mut fleet, &mut classes, &mut attempt_limits);
        let mut trace = Self::round(fleet, classes, attempt_limits, places.to_vec());
        let rows = (0..places.len()).map(|engine| trace.row(engine, Lifecycle::Ready, None)).collect();
        trace.at(START).list(rows);
        trace
    }

    fn round(
        fleet: Fleet,
        classes: Vec<RequestClass>,
        attempt_limits: AttemptLimits,
        places: Vec<(usize, u64)>,
    ) -> Self {
        let deadline = classes.iter().map(|class| class.deadline).collect();
        let (scheduler, lines) = (Scheduler::new(fleet, classes, attempt_limits), Lines::default());
        Self { scheduler, lines, requests: 0, deadline, places }
    }

    fn row(&self, engine: EngineId, lifecycle: Lifecycle, launched: Option<u64>) -> Endpoint {
        let (location, cell) = self.places[engine];
        Endpoint { location, cell, ..endpoint(engine, lifecycle, launched) }
    }

    /// The list's word on one engine of a small trace.
    pub fn tell(&mut self, engine: EngineId, lifecycle: Lifecycle, launched: Option<u64>) -> &mut Self {
        let row = self.row(engine, lifecycle, launched);
        self.list(vec![row])
    }

    /// A whole list that names nobody.
    pub fn list_lost(&mut self) -> &mut Self {
        self.scheduler.endpoints_changed(
            ms(self.lines.1),
            EndpointUpdate::FullList,
            Vec::new(),
            &mut self.lines,
        );
        self
    }

    /// Where chance goes on from.
    pub fn draw(&mut self, draws: u64) -> &mut Self {
        self.scheduler.draw_from(draws);
        self
    }

    pub fn woken(&mut self) -> &mut Self {
        self.scheduler.wake(ms(self.lines.1), &mut self.lines);
        self
    }

    /// The end of an attempt of a request that is over.
    pub fn ended_over(
        &mut self,
        request: RequestId,
        attempt: usize,
        engine: EngineId,
        end: AttemptOutcome,
    ) -> &mut Self {
        self.attempt_ended(AttemptEnded {
            request,
            attempt,
            engine,
            outcome: end,
            elapsed: ms(1),
            usage: None,
            load_report: None,
            request_done: true,
        })
    }

    fn attempt_ended(&mut self, ended: AttemptEnded) -> &mut Self {
        self.scheduler.attempt_ended(ms(self.lines.1), ended, &mut self.lines);
        self
    }

    pub fn at(&mut self, ms: u64) -> &mut Self {
        self.lines.1 = ms;
        self
    }

    pub fn list(&mut self, rows: Vec<Endpoint>) -> &mut Self {
        self.scheduler.endpoints_changed(ms(self.lines.1), EndpointUpdate::Changes, rows, &mut self.lines);
        self
    }

    pub fn accept(&mut self, class: usize, cost: u64, memory_mb: f64) -> &mut Self {
        self.accept_keyed(class, cost, memory_mb, None)
    }

    /// A request whose client says whether it tried before.
    pub fn accept_marked(&mut self, deadline: u64, is_retry: Option<bool>) -> &mut Self {
        let arrival = Arrival { deadline: ms(deadline), is_retry, ..arrival(0, 100, 300.0) };
        self.arrive(arrival)
    }

    /// A small request on a table group.
    pub fn accept_in(&mut self, class: usize, group: u64) -> &mut Self {
        self.arrive(Arrival { group: Some(group), ..arrival(class, 100, 300.0) })
    }

    pub fn accept_keyed(&mut self, class: usize, cost: u64, memory: f64, key: Option<KeyId>) -> &mut Self {
        self.arrive(Arrival { key, ..arrival(class, cost, memory) })
    }

    fn arrive(&mut self, arrival: Arrival) -> &mut Self {
        let deadline = arrival.deadline.min(self.deadline[arrival.class]);
        let arrival = Arrival { request: self.requests, deadline, ..arrival };
        self.requests += 1;
        self.scheduler.accept(ms(self.lines.1), arrival, &mut self.lines);
        self
    }

    pub fn ended(
        &mut self,
        request: RequestId,
        attempt: usize,
        engine: EngineId,
        end: AttemptOutcome,
    ) -> &mut Self {
        self.reported(request, attempt, engine, end, None)
    }

    pub fn reported(
        &mut self,
        request: RequestId,
        attempt: usize,
        engine: EngineId,
        end: AttemptOutcome,
        load_report: Option<LoadReport>,
    ) -> &mut Self {
        let over = end == AttemptOutcome::Succeeded;
        self.attempt_ended(AttemptEnded {
            request,
            attempt,
            engine,
            outcome: end,
            elapsed: ms(1),
            usage: None,
            load_report,
            request_done: over,
        })
    }

    /// Its first attempt has succeeded after so many ms.
    pub fn answered(
        &mut self,
        request: RequestId,
        engine: EngineId,
        took: u64,
        told: Option<LoadReport>,
    ) -> &mut Self {
        let (attempt, end, took) = (0, AttemptOutcome::Succeeded, ms(took));
        self.attempt_ended(AttemptEnded {
            request,
            attempt,
            engine,
            outcome: end,
            elapsed: took,
            usage: None,
            load_report: told,
            request_done: true,
        })
    }

    /// A success with its bill; what is told of load is left out.
    pub fn billed(&mut self, request: RequestId, engine: EngineId, cost: u64, memory_mb: f64) -> &mut Self {
        let (end, usage) = (AttemptOutcome::Succeeded, Some(Usage { cost: ms(cost), memory_mb }));
        self.attempt_ended(AttemptEnded {
            request,
            attempt: 0,
            engine,
            outcome: end,
            elapsed: ms(cost),
            usage,
            load_report: None,
            request_done: true,
        })
    }

    pub fn progress_noted(&mut self, request: RequestId, attempt: usize, notice: ProgressNote) -> &mut Self {
        self.scheduler.progress_noted(ms(self.lines.1), request, attempt, notice, &mut self.lines);
        self
    }

    pub fn probed(&mut self, engine: EngineId, load_report: Option<LoadReport>) -> &mut Self {
        self.scheduler.probed(ms(self.lines.1), engine, load_report, &mut self.lines);
        self
    }

    pub fn left(&mut self, request: RequestId) -> &mut Self {
        self.scheduler.clients_left(ms(self.lines.1), &[request], &[], &mut self.lines);
        self
    }

    /// Their clients have ended their side.
    pub fn shut(&mut self, requests: &[RequestId]) -> &mut Self {
        self.scheduler.clients_left(ms(self.lines.1), &[], requests, &mut self.lines);
        self
    }

    pub fn shutting_down(&mut self, by: u64) -> &mut Self {
        self.scheduler.shutting_down(ms(self.lines.1), ms(by), &mut self.lines);
        self
    }

    /// Wakes the router when it last asked for it.
    pub fn wake(&mut self) -> &mut Self {
        self.lines.1 += self.lines.2.as_millis() as u64;
        self.scheduler.wake(ms(self.lines.1), &mut self.lines);
        self
    }

    pub fn endpoint_list_failed(&mut self) -> &mut Self {
        self.scheduler.endpoint_list_failed(ms(self.lines.1), &mut self.lines);
        self
    }

    /// Wakes the router every 40 ms up to `until`.
    pub fn wait(&mut self, until: u64) -> &mut Self {
        while self.lines.1 + 40 <= until {
            self.lines.1 += 40;
            self.scheduler.wake(ms(self.lines.1), &mut self.lines);
        }
        self
    }

    /// What was decided so far; each line starts with its time in milliseconds.
    pub fn decided(&mut self) -> String {
        std::mem::take(&mut self.lines.0)
    }
}

pub fn endpoint(engine: EngineId, lifecycle: Lifecycle, launched: Option<u64>) -> Endpoint {
    Endpoint {
        engine,
        location: engine % 2,
        kind: 0,
        cell: engine as u64 / 2,
        lifecycle,
        launched: launched.map(ms),
    }
}

fn arrival(class: usize, cost: u64, memory_mb: f64) -> Arrival {
    Arrival {
        request: 0,
        class,
        key: None,
        cost: (cost > 0).then(|| ms(cost)),
        memory_mb: (memory_mb > 0.0).then_some(memory_mb),
        deadline: ms(24000),
        waited: Duration::ZERO,
        is_retry: None,
        group: None,
    }
}
