//! Measures the time of dispatching, settling, enqueueing and estimating waits with 1,000 teams and 100,000 waiting
//! requests, and prints the memory of a waiting request.

use criterion::{Criterion, criterion_group, criterion_main};
use emberflow_teams::{Allowance, NewRequest, Organization, Outcome, Queues, Quotas, RequestId, Team};
use std::hint::black_box;
use std::time::Duration;

const TEAM_COUNT: usize = 1000;
/// Number of waiting requests at the start.
const REQUEST_COUNT: u32 = 100_000;
/// Size of a memory page. `/proc/self/statm` counts the resident memory in pages.
const PAGE_KB: u64 = 4;

fn new_request(id: RequestId) -> NewRequest {
    NewRequest {
        id,
        team: (id as usize * 7919) % TEAM_COUNT,
        urgency: id.is_multiple_of(11).into(),
        class: (id % 5) as u16,
        work: Duration::from_millis(20 + u64::from(id) % 400),
        latency_objective: Duration::from_secs(2),
        deadline: Duration::from_secs(3600),
        identity: Some(id.into()),
        key: None,
    }
}

fn filled_queues() -> Queues {
    let allowance = Allowance {
        work: Duration::from_secs(10),
        period: Duration::from_secs(60),
        burst: Duration::from_secs(30),
    };
    let team = |index: usize| Team {
        organization: index % 20,
        share: 1.0 + (index % 3) as f64,
        allowance: index.is_multiple_of(2).then_some(allowance),
        max_waiting: 10_000,
    };
    let quotas = Quotas {
        organizations: vec![Organization { share: 1.0 }; 20],
        teams: (0..TEAM_COUNT).map(team).collect(),
    };
    let mut queues = Queues::new(quotas, Duration::ZERO);
    for id in 0..REQUEST_COUNT {
        queues
            .enqueue(Duration::from_micros(id.into()), new_request(id))
            .expect("each team accepts up to 10,000 waiting requests");
    }
    queues
}

/// Returns the resident memory of this process; 0 if it cannot be read.
fn resident_kb() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_KB
}

fn decisions(criterion: &mut Criterion) {
    let empty_kb = resident_kb();
    let mut queues = filled_queues();
    println!(
        "each waiting request takes {} bytes of memory",
        (resident_kb() - empty_kb) * 1024 / u64::from(REQUEST_COUNT)
    );
    let (mut now, mut next_id) = (Duration::from_secs(1), REQUEST_COUNT);
    criterion.bench_function("dispatch, settle and enqueue", |bencher| {
        bencher.iter(|| {
            now += Duration::from_micros(50);
            let request = queues.dispatch_order().next().expect("the queues hold waiting requests");
            queues.dispatch(now, request);
            queues.settle(now, request, Outcome::Measured(Duration::from_millis(50)));
            queues
                .enqueue(now, new_request(next_id))
                .expect("each team accepts up to 10,000 waiting requests");
            next_id += 1;
        });
    });
    let mut dispatched = Vec::new();
    criterion.bench_function("dispatch", |bencher| {
        bencher.iter(|| {
            now += Duration::from_micros(50);
            let request = queues.dispatch_order().next().expect("the queues hold waiting requests");
            queues.dispatch(now, request);
            dispatched.push(request);
            if queues.len() < REQUEST_COUNT as usize / 2 {
                for in_flight in dispatched.drain(..) {
                    queues.requeue(now, in_flight);
                }
            }
        });
    });
    criterion.bench_function("estimate a wait", |bencher| {
        let request = queues.dispatch_order().nth(500).expect("the queues hold waiting requests");
        bencher.iter(|| black_box(queues.estimate_wait(now, request)));
    });
}

criterion_group!(benches, decisions);
criterion_main!(benches);
