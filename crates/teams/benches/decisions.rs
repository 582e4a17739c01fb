//! The cost of dispatch, settling, enqueueing and wait estimates with 1,000 teams and 100,000 requests, and the memory of
//! a waiting request.

use criterion::{Criterion, criterion_group, criterion_main};
use emberflow_teams::{Allowance, NewRequest, Organization, Outcome, Queues, Quotas, Team};
use std::hint::black_box;
use std::time::Duration;

const TEAMS: usize = 1000;
const REQUESTS: u32 = 100_000;
/// Size of a memory page, in which the kernel counts the resident memory.
const PAGE_KB: u64 = 4;

fn new_request(request: u32) -> NewRequest {
    NewRequest {
        request,
        team: (request as usize * 7919) % TEAMS,
        urgency: request.is_multiple_of(11).into(),
        class: (request % 5) as u16,
        work: Duration::from_millis(20 + u64::from(request) % 400),
        latency_objective: Duration::from_secs(2),
        deadline: Duration::from_secs(3600),
        identity: Some(request.into()),
        key: None,
    }
}

fn filled() -> Queues {
    let allowance = Allowance {
        work: Duration::from_secs(10),
        period: Duration::from_secs(60),
        burst: Duration::from_secs(30),
    };
    let team = |at: usize| Team {
        organization: at % 20,
        share: 1.0 + (at % 3) as f64,
        allowance: at.is_multiple_of(2).then_some(allowance),
        max_waiting: 10_000,
    };
    let quotas = Quotas {
        organizations: vec![Organization { share: 1.0 }; 20],
        teams: (0..TEAMS).map(team).collect(),
    };
    let mut queues = Queues::new(quotas, Duration::ZERO);
    for request in 0..REQUESTS {
        queues
            .enqueue(Duration::from_micros(request.into()), new_request(request))
            .expect("the queue has capacity");
    }
    queues
}

fn resident_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_KB
}

fn decisions(criterion: &mut Criterion) {
    let before = resident_kb();
    let mut queues = filled();
    println!("a waiting request holds {} bytes", (resident_kb() - before) * 1024 / u64::from(REQUESTS));
    let (mut now, mut next_request) = (Duration::from_secs(1), REQUESTS);
    criterion.bench_function("dispatch, settle and enqueue", |bencher| {
        bencher.iter(|| {
            now += Duration::from_micros(50);
            let request = queues.dispatch_order().next().expect("requests wait");
            queues.dispatch(now, request);
            queues.settle(now, request, Outcome::Measured(Duration::from_millis(50)));
            queues.enqueue(now, new_request(next_request)).expect("the queue has capacity");
            next_request += 1;
        });
    });
    let mut dispatched = Vec::new();
    criterion.bench_function("dispatch", |bencher| {
        bencher.iter(|| {
            now += Duration::from_micros(50);
            let request = queues.dispatch_order().next().expect("requests wait");
            queues.dispatch(now, request);
            dispatched.push(request);
            if queues.len() < REQUESTS as usize / 2 {
                for in_flight in dispatched.drain(..) {
                    queues.requeue(now, in_flight);
                }
            }
        });
    });
    criterion.bench_function("estimate a wait", |bencher| {
        let request = queues.dispatch_order().nth(500).expect("requests wait");
        bencher.iter(|| black_box(queues.estimate_wait(now, request)));
    });
}

criterion_group!(benches, decisions);
criterion_main!(benches);
