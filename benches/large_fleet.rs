//! The time of one input by the number of engines: a request that succeeds, and a change of one row of the list.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use emberflow::*;
use std::time::Duration;

const SIZES: [usize; 4] = [8, 80, 800, 3200];

/// Actions that nobody carries out; the engine of the last send is kept.
#[derive(Default)]
struct LastSend(Option<EngineId>);

impl Actions for LastSend {
    fn send(&mut self, _: RequestId, engine: EngineId, _: Duration) {
        self.0 = Some(engine);
    }
    fn set_terms(&mut self, _: RequestId, _: f64, _: u8) {}
    fn cancel(&mut self, _: RequestId, _: usize) {}
    fn reject(&mut self, _: RequestId, _: Option<Duration>) {}
    fn fail(&mut self, _: RequestId) {}
    fn probe(&mut self, _: EngineId) {}
    fn wake_after(&mut self, _: Duration) {}
    fn watch(&mut self) {}
    fn forget(&mut self, _: EngineId) {}
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn endpoint(engine: EngineId, lifecycle: Lifecycle) -> Endpoint {
    Endpoint { engine, location: engine % 3, kind: 0, cell: 0, lifecycle, launched: None }
}

fn scheduler(engines: usize) -> Scheduler {
    let fleet = Fleet {
        seed: 1,
        router_count: 300,
        home_location: 0,
        kinds: vec![EngineKind { cores: 4.0, memory_mb: 4096.0 }],
        max_grant_share: 0.4,
        honors_priorities: true,
        shrinks_grants: false,
        progress_interval: Some(ms(500)),
        reports_only_on_probe: false,
        polls_endpoint_list: false,
        tick: ms(5),
    };
    let class = RequestClass {
        latency_objective: ms(500),
        objective_stretch: 0.0,
        deadline: ms(2000),
        priority_weight: 1.0,
        late_share: 0.0,
        effect: Effect::Idempotent,
        keeps_order: false,
        kinds: None,
        locations: None,
        threads: 1.0,
        holds_group: false,
        waits_for_loads: false,
    };
    let limits = AttemptLimits {
        max_attempts: 3,
        may_cancel: true,
        may_probe: false,
        start_capacity: 0.3,
        warm_up: ms(6000),
        overload_factor: 2.5,
        overload_window: ms(1000),
        key_cooldown: None,
        retry_budget: None,
        max_retry_after: None,
    };
    let mut scheduler = Scheduler::new(fleet, vec![class], limits);
    let rows = (0..engines).map(|engine| endpoint(engine, Lifecycle::Ready)).collect();
    scheduler.endpoints_changed(Duration::ZERO, EndpointUpdate::FullList, rows, &mut LastSend::default());
    scheduler
}

fn arrival(request: RequestId) -> Arrival {
    Arrival {
        request,
        class: 0,
        key: None,
        cost: Some(ms(20)),
        memory_mb: Some(16.0),
        deadline: ms(2000),
        waited: Duration::ZERO,
        is_retry: None,
        group: None,
    }
}

/// Serves requests with twenty others in flight.
struct Served {
    scheduler: Scheduler,
    in_flight: std::collections::VecDeque<(RequestId, EngineId)>,
    next: RequestId,
}

impl Served {
    fn new(engines: usize) -> Self {
        let mut served = Self { scheduler: scheduler(engines), in_flight: Default::default(), next: 0 };
        (0..20).for_each(|_| served.accept());
        served
    }

    fn now(&self) -> Duration {
        ms(u64::from(self.next))
    }

    fn accept(&mut self) {
        let mut sent = LastSend::default();
        self.scheduler.accept(self.now(), arrival(self.next), &mut sent);
        self.in_flight.extend(sent.0.map(|engine| (self.next, engine)));
        self.next += 1;
    }

    fn succeed_oldest(&mut self) {
        let Some((request, engine)) = self.in_flight.pop_front() else { return };
        let ended = AttemptEnded {
            request,
            attempt: 0,
            engine,
            outcome: AttemptOutcome::Succeeded,
            elapsed: ms(20),
            usage: None,
            load_report: None,
            request_done: true,
        };
        self.scheduler.attempt_ended(self.now(), ended, &mut LastSend::default());
    }
}

fn inputs(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("accepted and succeeded");
    for engines in SIZES {
        let mut served = Served::new(engines);
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| {
                served.accept();
                served.succeed_oldest();
            });
        });
    }
    group.finish();
    let mut group = criterion.benchmark_group("one row of the list");
    for engines in SIZES {
        let mut served = Served::new(engines);
        let mut is_ready = true;
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| {
                is_ready = !is_ready;
                let lifecycle = if is_ready { Lifecycle::Ready } else { Lifecycle::Draining };
                let rows = vec![endpoint(0, lifecycle)];
                let now = served.now();
                served.scheduler.endpoints_changed(
                    now,
                    EndpointUpdate::Changes,
                    rows,
                    &mut LastSend::default(),
                );
            });
        });
    }
    group.finish();
    let mut group = criterion.benchmark_group("complete list repeated");
    for engines in SIZES {
        let mut served = Served::new(engines);
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| {
                let rows = (0..engines).map(|engine| endpoint(engine, Lifecycle::Ready)).collect();
                let now = served.now();
                served.scheduler.endpoints_changed(
                    now,
                    EndpointUpdate::FullList,
                    rows,
                    &mut LastSend::default(),
                );
            });
        });
    }
    group.finish();
}

criterion_group!(benches, inputs);
criterion_main!(benches);
