//! A scheduler whose decisions are written down, and short ways to tell it what happens.

use emberflow::*;
use std::fmt::Write;
use std::time::Duration;

/// Request classes of [`base`]: short and idempotent; long on three threads and idempotent; non-idempotent, and
/// loading its group.
pub const SHORT: usize = 0;
pub const LONG: usize = 1;
pub const LOAD: usize = 2;

/// When a small trace starts: later than any span that is looked back over.
pub const START: u64 = 20_000;
/// How often [`Trace::wake_until`] wakes the scheduler.
const WAKE_STEP: u64 = 40;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Writes actions down, one a line, each with its time in milliseconds.
#[derive(Default)]
struct ActionLog {
    text: String,
    now_ms: u64,
    /// The wait that was requested last.
    wake_after: Duration,
}

impl ActionLog {
    fn add(&mut self, line: std::fmt::Arguments<'_>) {
        writeln!(self.text, "{:<5} {line}", self.now_ms).expect("a string takes all");
    }
}

impl Actions for ActionLog {
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
        self.add(format_args!("reject request {request}, retry after {after}"));
    }
    fn fail(&mut self, request: RequestId) {
        self.add(format_args!("fail request {request}"));
    }
    fn probe(&mut self, engine: EngineId) {
        self.add(format_args!("probe engine {engine}"));
    }
    fn wake_after(&mut self, wait: Duration) {
        self.wake_after = wait;
    }
    fn watch(&mut self) {
        self.add(format_args!("watch the endpoint list"));
    }
    fn forget(&mut self, engine: EngineId) {
        self.add(format_args!("forget engine {engine}"));
    }
}

/// The request classes [`SHORT`], [`LONG`] and [`LOAD`].
pub fn classes() -> Vec<RequestClass> {
    let class = |effect, priority_weight, latency_objective, threads| RequestClass {
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
        is_bulk_load: false,
        waits_for_bulk_loads: false,
    };
    let short = class(Effect::Idempotent, 1.0, 1000, 1.0);
    let long = class(Effect::Idempotent, 6.0, 2000, 3.0);
    let load = RequestClass { is_bulk_load: true, ..class(Effect::NonIdempotent, 5.0, 3000, 2.0) };
    vec![short, long, load]
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

/// The same with short times, so that a request's whole way takes few steps. Request classes: 0 idempotent, 1 to 3
/// with an idempotency key in a cell, a location and everywhere, 4 non-idempotent.
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
    let plain = classes.swap_remove(SHORT);
    let with_effect = |effect| RequestClass {
        latency_objective: ms(160),
        deadline: ms(320),
        effect,
        kinds: None,
        locations: None,
        ..plain
    };
    classes = effects.into_iter().map(with_effect).collect();
    fleet.progress_interval = Some(ms(80));
    fleet.tick = ms(8);
    attempt_limits.warm_up = ms(400);
    attempt_limits.overload_window = ms(100);
    (fleet, classes, attempt_limits)
}

/// A scheduler, the time, and what it has decided so far.
pub struct Trace {
    scheduler: Scheduler,
    log: ActionLog,
    /// The number of the next request.
    next_request: RequestId,
    /// By request class.
    deadlines: Vec<Duration>,
    /// Location and cell of each engine of a small trace.
    positions: Vec<(usize, u64)>,
}

// The model checker, which prints its paths as traces, uses the settings alone.
#[allow(dead_code, reason = "the model checker uses the settings alone")]
impl Trace {
    /// The scheduler of one router, with so many engines of one kind.
    pub fn with_engines(engines: usize) -> Self {
        Self::new(engines, |_, _, _| ())
    }

    /// The same with what `change` makes of the settings.
    pub fn new(
        engines: usize,
        change: impl FnOnce(&mut Fleet, &mut Vec<RequestClass>, &mut AttemptLimits),
    ) -> Self {
        let (mut fleet, mut classes, mut attempt_limits) = base();
        change(&mut fleet, &mut classes, &mut attempt_limits);
        let mut trace = Self::from_settings(fleet, classes, attempt_limits, Vec::new());
        trace.list_engines((0..engines).map(|engine| endpoint(engine, Lifecycle::Ready, None)).collect());
        trace
    }

    /// A trace in short times at engines in these locations and cells.
    pub fn small(
        positions: &[(usize, u64)],
        change: impl FnOnce(&mut Fleet, &mut Vec<RequestClass>, &mut AttemptLimits),
    ) -> Self {
        let (mut fleet, mut classes, mut attempt_limits) = small();
        change(&mut fleet, &mut classes, &mut attempt_limits);
        let mut trace = Self::from_settings(fleet, classes, attempt_limits, positions.to_vec());
        let rows = (0..positions.len()).map(|engine| trace.row(engine, Lifecycle::Ready, None)).collect();
        trace.at(START).list_engines(rows);
        trace
    }

    fn from_settings(
        fleet: Fleet,
        classes: Vec<RequestClass>,
        attempt_limits: AttemptLimits,
        positions: Vec<(usize, u64)>,
    ) -> Self {
        let deadlines = classes.iter().map(|class| class.deadline).collect();
        let scheduler = Scheduler::new(fleet, classes, attempt_limits);
        Self { scheduler, log: ActionLog::default(), next_request: RequestId(0), deadlines, positions }
    }

    fn now(&self) -> Duration {
        ms(self.log.now_ms)
    }

    // ---- time ----

    /// Goes on at this time.
    pub fn at(&mut self, ms: u64) -> &mut Self {
        self.log.now_ms = ms;
        self
    }

    /// Wakes the scheduler now.
    pub fn wake_now(&mut self) -> &mut Self {
        self.scheduler.wake(self.now(), &mut self.log);
        self
    }

    /// Wakes the scheduler when it last asked for it.
    pub fn wake_when_due(&mut self) -> &mut Self {
        self.log.now_ms += self.log.wake_after.as_millis() as u64;
        self.wake_now()
    }

    /// Wakes the scheduler again and again up to a time.
    pub fn wake_until(&mut self, until: u64) -> &mut Self {
        while self.log.now_ms + WAKE_STEP <= until {
            self.log.now_ms += WAKE_STEP;
            self.wake_now();
        }
        self
    }

    /// Sets where chance goes on from.
    pub fn random_draws(&mut self, draws: u64) -> &mut Self {
        self.scheduler.set_random_draws(draws);
        self
    }

    /// The process ends at this time.
    pub fn shutting_down(&mut self, by: u64) -> &mut Self {
        self.scheduler.shutting_down(self.now(), ms(by), &mut self.log);
        self
    }

    // ---- engines ----

    fn row(&self, engine: usize, lifecycle: Lifecycle, launched: Option<u64>) -> Endpoint {
        let (location, cell) = self.positions[engine];
        Endpoint { location, cell, ..endpoint(engine, lifecycle, launched) }
    }

    fn change_endpoints(&mut self, update: EndpointUpdate, rows: Vec<Endpoint>) -> &mut Self {
        self.scheduler.endpoints_changed(self.now(), update, rows, &mut self.log);
        self
    }

    /// Some rows of the endpoint list have changed.
    pub fn list_engines(&mut self, rows: Vec<Endpoint>) -> &mut Self {
        self.change_endpoints(EndpointUpdate::Changes, rows)
    }

    /// The row of one engine of a small trace has changed.
    pub fn list_engine(&mut self, engine: usize, lifecycle: Lifecycle, launched: Option<u64>) -> &mut Self {
        self.list_engines(vec![self.row(engine, lifecycle, launched)])
    }

    /// A full endpoint list without rows.
    pub fn list_emptied(&mut self) -> &mut Self {
        self.change_endpoints(EndpointUpdate::FullList, Vec::new())
    }

    /// The endpoint list can't be had.
    pub fn endpoint_list_failed(&mut self) -> &mut Self {
        self.scheduler.endpoint_list_failed(self.now(), &mut self.log);
        self
    }

    /// An engine answers a probe, or does not.
    pub fn probed(&mut self, engine: usize, load_report: Option<LoadReport>) -> &mut Self {
        self.scheduler.probed(self.now(), EngineId(engine), load_report, &mut self.log);
        self
    }

    // ---- requests ----

    /// A request with these estimates; 0 for none.
    pub fn accept(&mut self, class: usize, cost: u64, memory_mb: f64) -> &mut Self {
        self.accept_keyed(class, cost, memory_mb, None)
    }

    /// So many requests with the same estimates.
    pub fn accept_many(&mut self, count: usize, class: usize, cost: u64, memory_mb: f64) -> &mut Self {
        for _ in 0..count {
            self.accept(class, cost, memory_mb);
        }
        self
    }

    /// A request of a key.
    pub fn accept_keyed(&mut self, class: usize, cost: u64, memory: f64, key: Option<u32>) -> &mut Self {
        self.arrive(Arrival { key: key.map(KeyId), ..arrival(class, cost, memory) })
    }

    /// A short request on a group of data.
    pub fn accept_in_group(&mut self, class: usize, group: u64) -> &mut Self {
        self.arrive(Arrival { group: Some(group), ..arrival(class, 100, 300.0) })
    }

    /// A short request whose client may tell whether it is a retry.
    pub fn accept_retry_mark(&mut self, deadline: u64, is_retry: Option<bool>) -> &mut Self {
        self.arrive(Arrival { deadline: ms(deadline), is_retry, ..arrival(SHORT, 100, 300.0) })
    }

    fn arrive(&mut self, arrival: Arrival) -> &mut Self {
        let deadline = arrival.deadline.min(self.deadlines[arrival.class]);
        let arrival = Arrival { request: self.next_request, deadline, ..arrival };
        self.next_request.0 += 1;
        self.scheduler.accept(self.now(), arrival, &mut self.log);
        self
    }

    /// A client withdraws its request.
    pub fn withdrawn(&mut self, request: u32) -> &mut Self {
        self.scheduler.clients_left(self.now(), &[RequestId(request)], &[], &mut self.log);
        self
    }

    // ---- attempts ----

    fn attempt_ended(&mut self, ended: AttemptEnded) -> &mut Self {
        self.scheduler.attempt_ended(self.now(), ended, &mut self.log);
        self
    }

    /// An attempt ends; its request is answered if it succeeded.
    pub fn ended(
        &mut self,
        request: u32,
        attempt: usize,
        engine: usize,
        outcome: AttemptOutcome,
    ) -> &mut Self {
        self.attempt_ended(attempt_ended(request, attempt, engine, outcome))
    }

    /// An attempt ends whose request was answered before.
    pub fn ended_after_answer(
        &mut self,
        request: u32,
        attempt: usize,
        engine: usize,
        outcome: AttemptOutcome,
    ) -> &mut Self {
        let ended = attempt_ended(request, attempt, engine, outcome);
        self.attempt_ended(AttemptEnded { request_done: true, ..ended })
    }

    /// An attempt ends with a load report.
    pub fn reported(
        &mut self,
        request: u32,
        attempt: usize,
        engine: usize,
        outcome: AttemptOutcome,
        load_report: Option<LoadReport>,
    ) -> &mut Self {
        let ended = attempt_ended(request, attempt, engine, outcome);
        self.attempt_ended(AttemptEnded { load_report, ..ended })
    }

    /// A first attempt has succeeded after so many ms.
    pub fn succeeded_after(
        &mut self,
        request: u32,
        engine: usize,
        elapsed: u64,
        load_report: Option<LoadReport>,
    ) -> &mut Self {
        let ended = attempt_ended(request, 0, engine, AttemptOutcome::Succeeded);
        self.attempt_ended(AttemptEnded { elapsed: ms(elapsed), load_report, ..ended })
    }

    /// A first attempt has succeeded and was billed; no load is reported.
    pub fn billed(&mut self, request: u32, engine: usize, cost: u64, memory_mb: f64) -> &mut Self {
        let usage = Some(Usage { cost: ms(cost), memory_mb });
        let ended = attempt_ended(request, 0, engine, AttemptOutcome::Succeeded);
        self.attempt_ended(AttemptEnded { elapsed: ms(cost), usage, ..ended })
    }

    /// An engine tells of an attempt that goes on.
    pub fn progress_updated(&mut self, request: u32, attempt: usize, note: ProgressUpdate) -> &mut Self {
        self.scheduler.progress_updated(self.now(), RequestId(request), attempt, note, &mut self.log);
        self
    }

    // ---- decisions ----

    /// What was decided since the last call; each line starts with its time in milliseconds.
    pub fn decisions(&mut self) -> String {
        std::mem::take(&mut self.log.text)
    }
}

/// A row of the endpoint list: engines alternate between two locations, and each two share a cell.
pub fn endpoint(engine: usize, lifecycle: Lifecycle, launched: Option<u64>) -> Endpoint {
    Endpoint {
        engine: EngineId(engine),
        location: engine % 2,
        kind: 0,
        cell: engine as u64 / 2,
        lifecycle,
        launched: launched.map(ms),
    }
}

/// An attempt that ended after 1 ms, with nothing told of load and usage.
fn attempt_ended(request: u32, attempt: usize, engine: usize, outcome: AttemptOutcome) -> AttemptEnded {
    AttemptEnded {
        request: RequestId(request),
        attempt,
        engine: EngineId(engine),
        outcome,
        elapsed: ms(1),
        usage: None,
        load_report: None,
        request_done: outcome == AttemptOutcome::Succeeded,
    }
}

fn arrival(class: usize, cost: u64, memory_mb: f64) -> Arrival {
    Arrival {
        request: RequestId(0),
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
