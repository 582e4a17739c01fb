//! Compares policies on the same skewed day by fairness, waits and cost. Usage: `compare [SEED]`

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use emberflow_teams::{NewRequest, Queues, RequestId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use simulation::{Day, Fifo, Policy, quotas, simulate, skewed};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Deficit round robin: serves the teams in rounds, each up to the credit that the rounds have granted it.
pub struct DeficitRoundRobin {
    pub queues: Vec<VecDeque<(RequestId, f64)>>,
    pub shares: Vec<f64>,
    pub credit: Vec<f64>,
    pub current: usize,
    pub quantum: f64,
}

impl Policy for DeficitRoundRobin {
    fn enqueue(&mut self, _: Duration, new_request: NewRequest) -> bool {
        self.queues[new_request.team].push_back((new_request.request, new_request.work.as_secs_f64()));
        true
    }
    fn next(&mut self, _: Duration) -> Option<RequestId> {
        if self.queues.iter().all(VecDeque::is_empty) {
            return None;
        }
        loop {
            let current = self.current;
            match self.queues[current].front().copied() {
                Some((request, work)) if work <= self.credit[current] => {
                    self.credit[current] -= work;
                    self.queues[current].pop_front();
                    return Some(request);
                }
                Some(_) => {}
                None => self.credit[current] = 0.0,
            }
            self.current = (current + 1) % self.queues.len();
            self.credit[self.current] += self.quantum * self.shares[self.current];
        }
    }
    fn remove(&mut self, _: Duration, request: RequestId) {
        self.queues.iter_mut().for_each(|queue| queue.retain(|(other, _)| *other != request));
    }
    fn ended(&mut self, _: Duration, _: RequestId, _: Duration) {}
}

/// Lottery: draws among the teams with waiting requests, with their shares as weights.
pub struct Lottery {
    pub queues: Vec<VecDeque<RequestId>>,
    pub shares: Vec<f64>,
    pub random: StdRng,
}

impl Policy for Lottery {
    fn enqueue(&mut self, _: Duration, new_request: NewRequest) -> bool {
        self.queues[new_request.team].push_back(new_request.request);
        true
    }
    fn next(&mut self, _: Duration) -> Option<RequestId> {
        let has_requests = |team: &usize| !self.queues[*team].is_empty();
        let sum: f64 = (0..self.queues.len()).filter(has_requests).map(|team| self.shares[team]).sum();
        let mut draw = self.random.random::<f64>() * sum;
        let drawn = (0..self.queues.len()).filter(has_requests).find(|team| {
            draw -= self.shares[*team];
            draw <= 0.0
        });
        drawn.and_then(|team| self.queues[team].pop_front())
    }
    fn remove(&mut self, _: Duration, request: RequestId) {
        self.queues.iter_mut().for_each(|queue| queue.retain(|other| *other != request));
    }
    fn ended(&mut self, _: Duration, _: RequestId, _: Duration) {}
}

const COLUMNS: [&str; 13] = [
    "policy",
    "share",
    "jain",
    "without",
    "urgent p99",
    "on time",
    "served",
    "rejected",
    "expired",
    "error",
    "in range",
    "estimates",
    "ms",
];

fn print_header() {
    let [policy, columns @ ..] = COLUMNS;
    print!("{policy:24}");
    columns.iter().for_each(|column| print!(" {column:>10}"));
    println!();
}

fn print_row(name: &str, day: &Day, policy: &mut impl Policy) {
    let begun = Instant::now();
    let figures = simulate(day, policy);
    let elapsed_ms = begun.elapsed().as_secs_f64() * 1e3;
    print!("{name:24} {:>10.3} {:>10.3}", figures.worst_share_error, figures.jain);
    print!(" {:>10.2} {:>10.3}", figures.longest_without_service, figures.urgent_p99);
    print!(" {:>10} {:>10}", figures.on_time, figures.served);
    print!(" {:>10} {:>10}", figures.rejected, figures.expired);
    print!(" {:>10.2} {:>10.2}", figures.estimate_error, figures.estimates_in_range);
    println!(" {:>10} {elapsed_ms:>10.0}", figures.estimates);
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|seed| seed.parse().ok()).unwrap_or(7);
    let day = skewed(seed);
    let shares: Vec<f64> = day.teams.iter().map(|(share, _)| *share).collect();
    let team_count = day.teams.len();
    print_header();
    print_row("order of arrival", &day, &mut Fifo::default());
    let mut round_robin = DeficitRoundRobin {
        queues: vec![VecDeque::new(); team_count],
        shares: shares.clone(),
        credit: vec![0.0; team_count],
        current: 0,
        quantum: 0.2,
    };
    print_row("deficit round robin", &day, &mut round_robin);
    let random = StdRng::seed_from_u64(seed);
    let mut lottery = Lottery { queues: vec![VecDeque::new(); team_count], shares, random };
    print_row("lottery", &day, &mut lottery);
    let mut queues = Queues::new(quotas(&day), Duration::ZERO);
    print_row("fair queueing, ageing", &day, &mut queues);
}
