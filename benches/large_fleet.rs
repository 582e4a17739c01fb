//! The time of one input by the number of engines: a request that succeeds, a change of one row of the
//! endpoint list, and a full list without changes.

#[path = "../tests/common/large_fleet.rs"]
mod fixture;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use emberflow::*;
use fixture::*;
use std::time::Duration;

const SIZES: [usize; 4] = [8, 80, 800, 3200];

/// A scheduler with twenty requests in flight.
struct Served {
    scheduler: Scheduler,
    in_flight: std::collections::VecDeque<(RequestId, EngineId)>,
    next: RequestId,
}

impl Served {
    fn new(engines: usize) -> Self {
        let mut served = Self {
            scheduler: listed(1, engines, Effect::Idempotent),
            in_flight: Default::default(),
            next: RequestId(0),
        };
        (0..20).for_each(|_| served.accept());
        served
    }

    fn now(&self) -> Duration {
        ms(u64::from(self.next.0))
    }

    fn accept(&mut self) {
        let mut sent = Sends::default();
        self.scheduler.accept(self.now(), arrival(self.next), &mut sent);
        self.in_flight.extend(sent.0);
        self.next.0 += 1;
    }

    fn list(&mut self, update: EndpointUpdate, rows: Vec<Endpoint>) {
        self.scheduler.endpoints_changed(self.now(), update, rows, &mut Sends::default());
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
        self.scheduler.attempt_ended(self.now(), ended, &mut Sends::default());
    }
}

fn accept_and_succeed(criterion: &mut Criterion) {
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
}

fn change_one_row(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("one row of the list");
    for engines in SIZES {
        let mut served = Served::new(engines);
        let mut is_ready = true;
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| {
                is_ready = !is_ready;
                let lifecycle = if is_ready { Lifecycle::Ready } else { Lifecycle::Draining };
                served.list(EndpointUpdate::Changes, vec![endpoint(EngineId(0), lifecycle)]);
            });
        });
    }
    group.finish();
}

fn repeat_full_list(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("complete list repeated");
    for engines in SIZES {
        let mut served = Served::new(engines);
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| {
                let ids = (0..engines).map(EngineId);
                let rows = ids.map(|engine| endpoint(engine, Lifecycle::Ready)).collect();
                served.list(EndpointUpdate::FullList, rows);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, accept_and_succeed, change_one_row, repeat_full_list);
criterion_main!(benches);
