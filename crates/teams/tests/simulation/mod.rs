//! A simulated day: teams send requests at random times, servers run one request each, and a policy decides which
//! request is served next.

mod figures;

pub use figures::Figures;

use emberflow_teams::{NewRequest, Organization, Outcome, Queues, Quotas, RequestId, Team, WaitEstimate};
use figures::Recorder;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Urgency of urgent requests.
const URGENCY: u8 = 2;
/// Work of urgent requests relative to ordinary ones.
const URGENT_WORK_FACTOR: f64 = 0.1;
/// Bound on each team's waiting requests.
const MAX_WAITING: usize = 400;

pub fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// The traffic of a team.
#[derive(Clone, Copy)]
pub struct Traffic {
    /// Requests per second.
    pub rate: f64,
    /// Median work of a request, in seconds.
    pub work: f64,
    /// Percentage of urgent requests.
    pub urgent_percent: u32,
}

/// The parameters of a simulated day. Times are in seconds.
pub struct Day {
    /// The teams' shares and traffic.
    pub teams: Vec<(f64, Traffic)>,
    pub servers: usize,
    pub duration: f64,
    pub latency_objective: f64,
    pub deadline: f64,
    /// Ratio of actual to expected work of the requests.
    pub work_factor: f64,
    pub seed: u64,
}

/// Decides which request is served next.
pub trait Policy {
    /// Enqueues a request, and returns whether it is accepted.
    fn enqueue(&mut self, now: Duration, new_request: NewRequest) -> bool;
    /// Dispatches the next request.
    fn next(&mut self, now: Duration) -> Option<RequestId>;
    /// Removes a waiting request that has reached its deadline.
    fn remove(&mut self, now: Duration, request: RequestId);
    /// Records that a request has ended after `work`.
    fn ended(&mut self, now: Duration, request: RequestId, work: Duration);
    fn estimate_wait(&self, _: Duration, _: RequestId) -> Option<WaitEstimate> {
        None
    }
}

impl Policy for Queues {
    fn enqueue(&mut self, now: Duration, new_request: NewRequest) -> bool {
        Queues::enqueue(self, now, new_request).is_ok()
    }

    fn next(&mut self, now: Duration) -> Option<RequestId> {
        let next = self.dispatch_order().next()?;
        self.dispatch(now, next).then_some(next)
    }

    fn remove(&mut self, now: Duration, request: RequestId) {
        Queues::remove(self, now, request);
    }

    fn ended(&mut self, now: Duration, request: RequestId, work: Duration) {
        self.settle(now, request, Outcome::Measured(work));
    }

    fn estimate_wait(&self, now: Duration, request: RequestId) -> Option<WaitEstimate> {
        Queues::estimate_wait(self, now, request)
    }
}

/// The order of arrival across teams.
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

    fn remove(&mut self, _: Duration, request: RequestId) {
        self.0.retain(|other| *other != request);
    }

    fn ended(&mut self, _: Duration, _: RequestId, _: Duration) {}
}

/// A request that a team sends.
struct Sent {
    at: Duration,
    team: usize,
    work: f64,
    urgent: bool,
}

/// Returns all requests of the day in the order of arrival. They are the same for every policy.
fn traffic(day: &Day) -> Vec<Sent> {
    let mut random = StdRng::seed_from_u64(day.seed);
    let mut sent = Vec::new();
    for (team, (_, traffic)) in day.teams.iter().enumerate() {
        let gap = Exp::new(traffic.rate).expect("the rate is above 0");
        let spread = LogNormal::new(0.0, 0.5).expect("the deviation is finite");
        let mut at = gap.sample(&mut random);
        while at < day.duration {
            let urgent = random.random_range(0..100) < traffic.urgent_percent;
            let factor = if urgent { URGENT_WORK_FACTOR } else { 1.0 };
            let work = traffic.work * spread.sample(&mut random) * factor;
            sent.push(Sent { at: seconds(at), team, work, urgent });
            at += gap.sample(&mut random);
        }
    }
    sent.sort_by_key(|request| (request.at, request.team));
    sent
}

/// An accepted request.
struct Accepted {
    new_request: NewRequest,
    arrived: Duration,
    /// Actual work, in seconds.
    work: f64,
    estimate: Option<WaitEstimate>,
    dispatched: bool,
}

struct Simulation<'a, P> {
    day: &'a Day,
    policy: &'a mut P,
    recorder: Recorder,
    requests: BTreeMap<RequestId, Accepted>,
    /// Running requests by the time of their end.
    running: BTreeSet<(Duration, RequestId)>,
    deadlines: BTreeSet<(Duration, RequestId)>,
}

/// Simulates the day under a policy.
pub fn simulate(day: &Day, policy: &mut impl Policy) -> Figures {
    let mut simulation = Simulation {
        day,
        policy,
        recorder: Recorder::new(day),
        requests: BTreeMap::new(),
        running: BTreeSet::new(),
        deadlines: BTreeSet::new(),
    };
    let mut arrivals = traffic(day).into_iter().zip(0..).peekable();
    let end = seconds(day.duration);
    loop {
        let next_arrival = arrivals.peek().map(|(sent, _)| sent.at);
        let Some(now) = simulation.next_event(next_arrival).filter(|now| *now < end) else { break };
        simulation.end_requests(now);
        simulation.expire_requests(now);
        while let Some((sent, request)) = arrivals.next_if(|(sent, _)| sent.at <= now) {
            simulation.arrive(request, &sent);
        }
        simulation.dispatch(now);
        simulation.recorder.record_idle_teams(now);
    }
    simulation.recorder.figures(day)
}

impl<P: Policy> Simulation<'_, P> {
    fn next_event(&self, next_arrival: Option<Duration>) -> Option<Duration> {
        let next_end = self.running.first().map(|(at, _)| *at);
        let next_deadline = self.deadlines.first().map(|(at, _)| *at);
        [next_arrival, next_end, next_deadline].into_iter().flatten().min()
    }

    fn end_requests(&mut self, now: Duration) {
        while let Some((_, request)) = pop_due(&mut self.running, now) {
            let accepted = &self.requests[&request];
            let on_time = now - accepted.arrived <= accepted.new_request.latency_objective;
            self.recorder.ended(on_time);
            self.policy.ended(now, request, seconds(accepted.work));
        }
    }

    fn expire_requests(&mut self, now: Duration) {
        while let Some((_, request)) = pop_due(&mut self.deadlines, now) {
            let accepted = &self.requests[&request];
            if !accepted.dispatched {
                self.policy.remove(now, request);
                self.recorder.expired(accepted.new_request.team);
            }
        }
    }

    fn arrive(&mut self, request: RequestId, sent: &Sent) {
        let new_request = NewRequest {
            request,
            team: sent.team,
            urgency: if sent.urgent { URGENCY } else { 0 },
            class: u16::from(sent.urgent),
            work: seconds(sent.work / self.day.work_factor),
            latency_objective: seconds(self.day.latency_objective),
            deadline: seconds(self.day.deadline),
            identity: None,
            key: None,
        };
        if !self.policy.enqueue(sent.at, new_request) {
            self.recorder.rejected();
            return;
        }
        self.recorder.enqueued(sent.at, sent.team);
        let estimate = self.policy.estimate_wait(sent.at, request);
        self.deadlines.insert((sent.at + new_request.deadline, request));
        let accepted =
            Accepted { new_request, arrived: sent.at, work: sent.work, estimate, dispatched: false };
        self.requests.insert(request, accepted);
    }

    fn dispatch(&mut self, now: Duration) {
        while self.running.len() < self.day.servers {
            let Some(request) = self.policy.next(now) else { break };
            let accepted = self.requests.get_mut(&request).expect("only accepted requests are dispatched");
            accepted.dispatched = true;
            let waited = (now - accepted.arrived).as_secs_f64();
            self.recorder.dispatched(now, accepted.new_request.team, accepted.work);
            self.recorder.waited(waited, accepted.new_request.urgency > 0, accepted.estimate);
            self.running.insert((now + seconds(accepted.work), request));
        }
    }
}

/// Removes and returns the first request that is due at `now`.
fn pop_due(queue: &mut BTreeSet<(Duration, RequestId)>, now: Duration) -> Option<(Duration, RequestId)> {
    let (at, _) = queue.first()?;
    if *at <= now { queue.pop_first() } else { None }
}

/// Returns a day of eight teams with equal shares and sixteen servers. The first team sends ten times its share, and
/// most of the others slightly more than their share.
pub fn skewed(seed: u64) -> Day {
    let traffic = |rate: f64| Traffic { rate, work: 0.2, urgent_percent: 10 };
    // A team's share is two servers, which serve about ten requests of 0.2 s per second.
    let rates = [100.0, 13.0, 13.0, 13.0, 13.0, 13.0, 5.0, 5.0];
    let teams = rates.into_iter().map(|rate| (1.0, traffic(rate))).collect();
    Day { teams, servers: 16, duration: 60.0, latency_objective: 4.0, deadline: 20.0, work_factor: 1.0, seed }
}

/// Returns the quotas of the day's teams, in one organization.
pub fn quotas(day: &Day) -> Quotas {
    let team = |(share, _): &(f64, Traffic)| Team {
        organization: 0,
        share: *share,
        allowance: None,
        max_waiting: MAX_WAITING,
    };
    let teams = day.teams.iter().map(team).collect();
    Quotas { organizations: vec![Organization { share: 1.0 }], teams }
}
