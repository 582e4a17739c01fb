//! Compares scheduling policies on the same skewed workload by fairness, waits and run time. Usage: `compare [SEED]`

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use emberflow_teams::{NewRequest, Queues, RequestId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use simulation::{Fifo, Policy, Workload, quotas, simulate, skewed_workload};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Deficit round robin: serves the teams in rounds. In each round a team gains credit by its share, and its requests
/// are dispatched while its credit covers them.
pub struct DeficitRoundRobin {
    /// By team, the waiting requests and their work in seconds.
    pub queues: Vec<VecDeque<(RequestId, f64)>>,
    pub shares: Vec<f64>,
    /// By team, the seconds of work that it may dispatch.
    pub credit_s: Vec<f64>,
    /// Index of the team that is served.
    pub current: usize,
    /// Credit that a team of share 1 gains in each round.
    pub quantum_s: f64,
}

impl Policy for DeficitRoundRobin {
    fn enqueue(&mut self, _: Duration, new_request: NewRequest) -> bool {
        self.queues[new_request.team].push_back((new_request.id, new_request.work.as_secs_f64()));
        true
    }
    fn dispatch_next(&mut self, _: Duration) -> Option<RequestId> {
        if self.queues.iter().all(VecDeque::is_empty) {
            return None;
        }
        loop {
            let current = self.current;
            match self.queues[current].front().copied() {
                Some((request, work_s)) if work_s <= self.credit_s[current] => {
                    self.credit_s[current] -= work_s;
                    self.queues[current].pop_front();
                    return Some(request);
                }
                Some(_) => {}
                None => self.credit_s[current] = 0.0,
            }
            self.current = (current + 1) % self.queues.len();
            self.credit_s[self.current] += self.quantum_s * self.shares[self.current];
        }
    }
    fn remove(&mut self, _: Duration, request: RequestId) {
        self.queues.iter_mut().for_each(|queue| queue.retain(|(other, _)| *other != request));
    }
    fn record_end(&mut self, _: Duration, _: RequestId, _: Duration) {}
}

/// Lottery: draws among the teams with waiting requests, with their shares as weights.
pub struct Lottery {
    pub queues: Vec<VecDeque<RequestId>>,
    pub shares: Vec<f64>,
    pub rng: StdRng,
}

impl Policy for Lottery {
    fn enqueue(&mut self, _: Duration, new_request: NewRequest) -> bool {
        self.queues[new_request.team].push_back(new_request.id);
        true
    }
    fn dispatch_next(&mut self, _: Duration) -> Option<RequestId> {
        let has_requests = |team: &usize| !self.queues[*team].is_empty();
        let shares_sum: f64 = (0..self.queues.len()).filter(has_requests).map(|team| self.shares[team]).sum();
        let mut remaining_draw = self.rng.random::<f64>() * shares_sum;
        let drawn = (0..self.queues.len()).filter(has_requests).find(|team| {
            remaining_draw -= self.shares[*team];
            remaining_draw <= 0.0
        });
        drawn.and_then(|team| self.queues[team].pop_front())
    }
    fn remove(&mut self, _: Duration, request: RequestId) {
        self.queues.iter_mut().for_each(|queue| queue.retain(|other| *other != request));
    }
    fn record_end(&mut self, _: Duration, _: RequestId, _: Duration) {}
}

/// Headings of the printed table; all but the first are at most ten characters wide.
const COLUMNS: [&str; 13] = [
    "policy",
    "share err",
    "Jain index",
    "max gap s",
    "urgent p99",
    "on time",
    "served",
    "rejected",
    "expired",
    "wait err",
    "in range",
    "estimates",
    "run ms",
];

fn print_header() {
    let [policy, columns @ ..] = COLUMNS;
    print!("{policy:24}");
    columns.iter().for_each(|column| print!(" {column:>10}"));
    println!();
}

/// Simulates the workload under a policy, and prints the metrics.
fn print_row(name: &str, workload: &Workload, policy: &mut impl Policy) {
    let started_at = Instant::now();
    let metrics = simulate(workload, policy);
    let elapsed_ms = started_at.elapsed().as_secs_f64() * 1e3;
    print!("{name:24} {:>10.3} {:>10.3}", metrics.max_share_error, metrics.jain_index);
    print!(" {:>10.2} {:>10.3}", metrics.max_service_gap_s, metrics.urgent_p99_s);
    print!(" {:>10} {:>10}", metrics.on_time, metrics.served);
    print!(" {:>10} {:>10}", metrics.rejected, metrics.expired);
    print!(" {:>10.2} {:>10.2}", metrics.median_estimate_error, metrics.estimates_in_range);
    println!(" {:>10} {elapsed_ms:>10.0}", metrics.estimates);
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|seed| seed.parse().ok()).unwrap_or(7);
    let workload = skewed_workload(seed);
    let shares: Vec<f64> = workload.teams.iter().map(|(share, _)| *share).collect();
    let team_count = workload.teams.len();
    print_header();
    print_row("first in, first out", &workload, &mut Fifo::default());
    let mut round_robin = DeficitRoundRobin {
        queues: vec![VecDeque::new(); team_count],
        shares: shares.clone(),
        credit_s: vec![0.0; team_count],
        current: 0,
        quantum_s: 0.2,
    };
    print_row("deficit round robin", &workload, &mut round_robin);
    let rng = StdRng::seed_from_u64(seed);
    let mut lottery = Lottery { queues: vec![VecDeque::new(); team_count], shares, rng };
    print_row("lottery", &workload, &mut lottery);
    let mut queues = Queues::new(quotas(&workload), Duration::ZERO);
    print_row("fair queueing, ageing", &workload, &mut queues);
}
