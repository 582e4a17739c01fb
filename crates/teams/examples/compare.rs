//! The same skewed day under each way to take turns: fairness, waits and cost. `compare [SEED]`

#[path = "../tests/day/mod.rs"]
mod day;

use day::*;
use emberflow_teams::{NewRequest, Queues, RequestId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Deficit round robin: each team in turn may have work up to what it has been granted by rounds.
pub struct Rounds {
    pub lines: Vec<VecDeque<(RequestId, f64)>>,
    pub shares: Vec<f64>,
    pub credit: Vec<f64>,
    pub at: usize,
    pub quantum: f64,
}

impl Policy for Rounds {
    fn enqueue(&mut self, _: Duration, new_request: NewRequest) -> bool {
        self.lines[new_request.team].push_back((new_request.request, new_request.work.as_secs_f64()));
        true
    }
    fn next(&mut self, _: Duration) -> Option<RequestId> {
        if self.lines.iter().all(VecDeque::is_empty) {
            return None;
        }
        loop {
            let at = self.at;
            match self.lines[at].front().copied() {
                Some((request, work)) if work <= self.credit[at] => {
                    self.credit[at] -= work;
                    self.lines[at].pop_front();
                    return Some(request);
                }
                Some(_) => {}
                None => self.credit[at] = 0.0,
            }
            self.at = (at + 1) % self.lines.len();
            self.credit[self.at] += self.quantum * self.shares[self.at];
        }
    }
    fn left(&mut self, _: Duration, request: RequestId) {
        self.lines.iter_mut().for_each(|line| line.retain(|(other, _)| *other != request));
    }
    fn ended(&mut self, _: Duration, _: RequestId, _: Duration) {}
}

/// A draw among teams that have something waiting, by their shares.
pub struct Lottery {
    pub lines: Vec<VecDeque<RequestId>>,
    pub shares: Vec<f64>,
    pub chance: StdRng,
}

impl Policy for Lottery {
    fn enqueue(&mut self, _: Duration, new_request: NewRequest) -> bool {
        self.lines[new_request.team].push_back(new_request.request);
        true
    }
    fn next(&mut self, _: Duration) -> Option<RequestId> {
        let wants = |at: &usize| !self.lines[*at].is_empty();
        let all: f64 = (0..self.lines.len()).filter(wants).map(|at| self.shares[at]).sum();
        let mut draw = self.chance.random::<f64>() * all;
        let drawn = (0..self.lines.len()).filter(wants).find(|at| {
            draw -= self.shares[*at];
            draw <= 0.0
        });
        drawn.and_then(|at| self.lines[at].pop_front())
    }
    fn left(&mut self, _: Duration, request: RequestId) {
        self.lines.iter_mut().for_each(|line| line.retain(|other| *other != request));
    }
    fn ended(&mut self, _: Duration, _: RequestId, _: Duration) {}
}

fn row(name: &str, day: &Day, policy: &mut impl Policy) {
    let begun = Instant::now();
    let told = live(day, policy);
    println!(
        "{name:24} {:>8.3} {:>6.3} {:>8.2} {:>10.3} {:>8} {:>7} {:>8} {:>6} {:>6.2} {:>7.2} {:>6} {:>6.0}",
        told.worst_share_error,
        told.jain,
        told.longest_without,
        told.urgent_p99,
        told.in_time,
        told.served,
        told.refused,
        told.left,
        told.told_error,
        told.told_within,
        told.told,
        begun.elapsed().as_secs_f64() * 1e3
    );
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|seed| seed.parse().ok()).unwrap_or(7);
    let day = skewed(seed);
    let shares: Vec<f64> = day.teams.iter().map(|(share, _)| *share).collect();
    println!(
        "{:24} {:>8} {:>6} {:>8} {:>10} {:>8} {:>7} {:>8} {:>6} {:>6} {:>7} {:>6} {:>6}",
        "policy",
        "share",
        "jain",
        "without",
        "urgent p99",
        "in time",
        "served",
        "refused",
        "left",
        "error",
        "within",
        "told",
        "ms"
    );
    row("order of arrival", &day, &mut Fifo::default());
    let credit = vec![0.0; day.teams.len()];
    let (lines_of, shares_of) = (vec![VecDeque::new(); day.teams.len()], shares.clone());
    row(
        "deficit round robin",
        &day,
        &mut Rounds { lines: lines_of, shares: shares_of, credit, at: 0, quantum: 0.2 },
    );
    let chance = StdRng::seed_from_u64(seed);
    row("lottery", &day, &mut Lottery { lines: vec![VecDeque::new(); day.teams.len()], shares, chance });
    let mut queues = Queues::new(quotas(&day), Duration::ZERO);
    row("virtual time, ageing", &day, &mut queues);
}
