//! Measures the time of inputs by the number of engines: a request that succeeds, a change of one row of the endpoint
//! list, and a full list without changes.

#[path = "../tests/common/large_fleet.rs"]
mod fixture;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use emberflow::*;
use fixture::*;
use std::time::Duration;

/// Numbers of engines for which each input is measured.
const FLEET_SIZES: [usize; 4] = [8, 80, 800, 3200];

/// A scheduler with twenty requests in flight.
struct LoadedScheduler {
    scheduler: Scheduler,
    in_flight: std::collections::VecDeque<(RequestId, EngineId)>,
    next_request: RequestId,
}

impl LoadedScheduler {
    fn new(engines: usize) -> Self {
        let mut loaded = Self {
            scheduler: scheduler_with_engines(1, engines, Idempotency::Idempotent),
            in_flight: Default::default(),
            next_request: RequestId(0),
        };
        (0..20).for_each(|_| loaded.accept());
        loaded
    }

    fn now(&self) -> Duration {
        ms(u64::from(self.next_request.0))
    }

    fn accept(&mut self) {
        let mut sent = SentAttempts::default();
        self.scheduler.accept(self.now(), arrival(self.next_request), &mut sent);
        self.in_flight.extend(sent.0);
        self.next_request.0 += 1;
    }

    fn update_endpoints(&mut self, update: EndpointUpdate, rows: Vec<Endpoint>) {
        self.scheduler.endpoints_changed(self.now(), update, rows, &mut SentAttempts::default());
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
        self.scheduler.attempt_ended(self.now(), ended, &mut SentAttempts::default());
    }
}

fn accept_and_succeed(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("accepted and succeeded");
    for engines in FLEET_SIZES {
        let mut loaded = LoadedScheduler::new(engines);
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| {
                loaded.accept();
                loaded.succeed_oldest();
            });
        });
    }
    group.finish();
}

fn change_one_row(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("one row of the list");
    for engines in FLEET_SIZES {
        let mut loaded = LoadedScheduler::new(engines);
        let mut is_ready = true;
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| {
                is_ready = !is_ready;
                let lifecycle = if is_ready { Lifecycle::Ready } else { Lifecycle::Draining };
                loaded.update_endpoints(EndpointUpdate::Changes, vec![endpoint(EngineId(0), lifecycle)]);
            });
        });
    }
    group.finish();
}

fn repeat_full_list(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("complete list repeated");
    for engines in FLEET_SIZES {
        let mut loaded = LoadedScheduler::new(engines);
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| {
                let ids = (0..engines).map(EngineId);
                let rows = ids.map(|engine| endpoint(engine, Lifecycle::Ready)).collect();
                loaded.update_endpoints(EndpointUpdate::FullList, rows);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, accept_and_succeed, change_one_row, repeat_full_list);
criterion_main!(benches);
