//! A day in virtual time: teams that send what they like, servers that run one request each, and a policy between.

use emberflow_teams::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

pub fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// What a team sends: requests a second, their median work in seconds, how many in a hundred are urgent ones of a
/// tenth of that work.
#[derive(Clone, Copy)]
pub struct Habit {
    pub rate: f64,
    pub work: f64,
    pub urgent: u32,
}

pub struct Day {
    pub teams: Vec<(f64, Habit)>,
    pub servers: usize,
    pub lasts: f64,
    pub latency_objective: f64,
    pub deadline: f64,
    /// The work that a request comes to against what was expected.
    pub off: f64,
    pub seed: u64,
}

/// Who decides whose turn it is.
pub trait Policy {
    fn enqueue(&mut self, now: Duration, new_request: NewRequest) -> bool;
    fn next(&mut self, now: Duration) -> Option<RequestId>;
    fn left(&mut self, now: Duration, request: RequestId);
    fn ended(&mut self, now: Duration, request: RequestId, work: Duration);
    fn told(&self, _: Duration, _: RequestId) -> Option<WaitEstimate> {
        None
    }
}

impl Policy for Queues {
    fn enqueue(&mut self, now: Duration, new_request: NewRequest) -> bool {
        Queues::enqueue(self, now, new_request).is_ok()
    }
    fn next(&mut self, now: Duration) -> Option<RequestId> {
        let next = self.turns().next()?;
        self.dispatch(now, next).then_some(next)
    }
    fn left(&mut self, now: Duration, request: RequestId) {
        self.remove(now, request);
    }
    fn ended(&mut self, now: Duration, request: RequestId, work: Duration) {
        self.settle(now, request, Outcome::Measured(work));
    }
    fn told(&self, now: Duration, request: RequestId) -> Option<WaitEstimate> {
        self.estimate_wait(now, request)
    }
}

/// The order of arrival, whoever asks.
#[derive(Default)]
pub struct Fifo(VecDeque<RequestId>);

impl Policy for Fifo {
    fn enqueue(&mut self, _: Duration, new_request: NewRequest) -> bool {
        self.0.push_back(new_request.request);
        true
    }
    fn next(&mut self, _: Duration) -> Option<RequestId> {
        self.0.pop_front()
    }
    fn left(&mut self, _: Duration, request: RequestId) {
        self.0.retain(|other| *other != request);
    }
    fn ended(&mut self, _: Duration, _: RequestId, _: Duration) {}
}

#[derive(Debug, Default)]
pub struct Figures {
    /// Of the service of teams that always had something waiting, by ten-second windows, against their shares.
    pub worst_share_error: f64,
    pub jain: f64,
    /// The longest time in which such a team had no turn, in seconds.
    pub longest_without: f64,
    pub urgent_p99: f64,
    pub in_time: usize,
    pub served: usize,
    pub refused: usize,
    pub left: usize,
    /// Waits told at arrival against those had: the median error, how many were within the range, and how many
    /// there were of over a tenth of a second.
    pub told_error: f64,
    pub told_within: f64,
    pub told: usize,
}

const WINDOW: f64 = 10.0;

struct Asked {
    new_request: NewRequest,
    arrived: Duration,
    work: f64,
    told: Option<WaitEstimate>,
    sent: bool,
}

pub fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values.get(((values.len() as f64 - 1.0) * part).round() as usize).copied().unwrap_or(0.0)
}

pub fn live(day: &Day, policy: &mut impl Policy) -> Figures {
    let mut chance = StdRng::seed_from_u64(day.seed);
    // All that is sent, the same for every policy.
    let mut sent: Vec<(Duration, usize, f64, bool)> = Vec::new();
    for (team, (_, habit)) in day.teams.iter().enumerate() {
        let gap = Exp::new(habit.rate).expect("a rate");
        let work = LogNormal::new(0.0, 0.5).expect("a spread");
        let mut at = gap.sample(&mut chance);
        while at < day.lasts {
            let urgent = chance.random_range(0..100) < habit.urgent;
            let size = habit.work * work.sample(&mut chance) * if urgent { 0.1 } else { 1.0 };
            sent.push((secs(at), team, size, urgent));
            at += gap.sample(&mut chance);
        }
    }
    sent.sort_by_key(|(at, team, ..)| (*at, *team));
    let mut requests: BTreeMap<RequestId, Asked> = BTreeMap::new();
    let mut running: BTreeSet<(Duration, RequestId)> = BTreeSet::new();
    let mut deadline: BTreeSet<(Duration, RequestId)> = BTreeSet::new();
    let teams = day.teams.len();
    let windows = (day.lasts / WINDOW).ceil() as usize;
    let mut service = vec![vec![0.0; teams]; windows];
    let mut dry = vec![vec![false; teams]; windows];
    let mut last_turn = vec![Duration::ZERO; teams];
    let mut waiting = vec![0usize; teams];
    let (mut figures, mut urgent, mut errors, mut within) =
        (Figures::default(), Vec::new(), Vec::new(), 0usize);
    let mut ahead = sent.into_iter().zip(0..).peekable();
    let end = secs(day.lasts);
    loop {
        let next = [
            ahead.peek().map(|((at, ..), _)| *at),
            running.first().map(|(at, _)| *at),
            deadline.first().map(|(at, _)| *at),
        ];
        let Some(now) = next.into_iter().flatten().min().filter(|now| *now < end) else { break };
        let window = (now.as_secs_f64() / WINDOW) as usize;
        while let Some((at, request)) = running.first().copied().filter(|(at, _)| *at <= now) {
            running.remove(&(at, request));
            let asked = &requests[&request];
            figures.served += 1;
            figures.in_time += usize::from(now - asked.arrived <= asked.new_request.latency_objective);
            policy.ended(now, request, secs(asked.work));
        }
        while let Some((at, request)) = deadline.first().copied().filter(|(at, _)| *at <= now) {
            deadline.remove(&(at, request));
            if !requests[&request].sent {
                policy.left(now, request);
                figures.left += 1;
                waiting[requests[&request].new_request.team] -= 1;
            }
        }
        while let Some(((at, team, work, is_urgent), request)) = ahead.next_if(|((at, ..), _)| *at <= now) {
            let new_request = NewRequest {
                request,
                team,
                urgency: if is_urgent { 2 } else { 0 },
                class: u16::from(is_urgent),
                work: secs(work / day.off),
                latency_objective: secs(day.latency_objective),
                deadline: secs(day.deadline),
                identity: None,
                key: None,
            };
            if !policy.enqueue(at, new_request) {
                figures.refused += 1;
                continue;
            }
            waiting[team] += 1;
            let told = policy.told(at, request);
            requests.insert(request, Asked { new_request, arrived: at, work, told, sent: false });
            deadline.insert((at + new_request.deadline, request));
            if waiting[team] == 1 {
                last_turn[team] = at;
            }
        }
        while running.len() < day.servers {
            let Some(request) = policy.next(now) else { break };
            let asked = requests.get_mut(&request).expect("a task that came");
            asked.sent = true;
            let (team, had) = (asked.new_request.team, (now - asked.arrived).as_secs_f64());
            waiting[team] -= 1;
            let without = (now - last_turn[team]).as_secs_f64();
            figures.longest_without = figures.longest_without.max(without);
            last_turn[team] = now;
            service[window][team] += asked.work;
            if asked.new_request.urgency > 0 {
                urgent.push(had);
            }
            if let Some(told) = asked.told.filter(|told| told.median > secs(0.1)) {
                errors.push((had / told.median.as_secs_f64() - 1.0).abs());
                within += usize::from(told.low.as_secs_f64() <= had && had <= told.high.as_secs_f64());
            }
            running.insert((now + secs(asked.work), request));
        }
        (0..teams).filter(|team| waiting[*team] == 0).for_each(|team| dry[window][team] = true);
    }
    // The first window fills the queues.
    let (mut sum, mut squares, mut count) = (0.0, 0.0, 0.0);
    for window in 1..windows {
        let always: Vec<usize> = (0..teams).filter(|team| !dry[window][*team]).collect();
        let all: f64 = always.iter().map(|team| service[window][*team]).sum();
        let shares: f64 = always.iter().map(|team| day.teams[*team].0).sum();
        for team in always {
            let had = service[window][team] / all / (day.teams[team].0 / shares);
            figures.worst_share_error = figures.worst_share_error.max((had - 1.0).abs());
            (sum, squares, count) = (sum + had, squares + had * had, count + 1.0);
        }
    }
    figures.jain = sum * sum / (count * squares).max(1e-9);
    figures.urgent_p99 = quantile(&mut urgent, 0.99);
    figures.told = errors.len();
    figures.told_within = within as f64 / errors.len().max(1) as f64;
    figures.told_error = quantile(&mut errors, 0.5);
    figures
}

/// Eight teams of equal shares at sixteen servers; the first sends ten times its share, most of the others a
/// little more than theirs.
pub fn skewed(seed: u64) -> Day {
    let habit = |rate: f64| Habit { rate, work: 0.2, urgent: 10 };
    // A share is two servers: some ten requests a second at a fifth of a second each.
    let rates = [100.0, 13.0, 13.0, 13.0, 13.0, 13.0, 5.0, 5.0];
    let teams = rates.into_iter().map(|rate| (1.0, habit(rate))).collect();
    Day { teams, servers: 16, lasts: 60.0, latency_objective: 4.0, deadline: 20.0, off: 1.0, seed }
}

pub fn quotas(day: &Day) -> Quotas {
    let team = |(share, _): &(f64, Habit)| Team {
        organization: 0,
        share: *share,
        allowance: None,
        max_waiting: 400,
    };
    Quotas { organizations: vec![Organization { share: 1.0 }], teams: day.teams.iter().map(team).collect() }
}
