//! A simulation: teams send requests at random times, each server runs one request at a time, and a policy decides
//! which request is dispatched next.

mod metrics;

pub use metrics::Metrics;

use emberflow_teams::{NewRequest, Organization, Outcome, Queues, Quotas, RequestId, Team, WaitEstimate};
use metrics::MetricsRecorder;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Urgency of urgent requests.
const URGENT: u8 = 2;
/// Ratio of the work of urgent requests to that of ordinary ones.
const URGENT_WORK_FACTOR: f64 = 0.1;
/// Largest number of waiting requests of each team.
const MAX_WAITING: usize = 400;

/// Returns a time in seconds.
pub fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// The traffic of a team.
#[derive(Clone, Copy)]
pub struct Traffic {
    /// Mean rate of requests.
    pub requests_per_s: f64,
    /// Median work of an ordinary request.
    pub median_work_s: f64,
    /// Percentage of urgent requests.
    pub urgent_percent: u32,
}

/// The parameters of a simulation.
pub struct Workload {
    /// The teams' shares and traffic.
    pub teams: Vec<(f64, Traffic)>,
    /// Number of servers.
    pub servers: usize,
    pub duration_s: f64,
    pub latency_objective_s: f64,
    /// Time from the arrival after which a waiting request is removed.
    pub deadline_s: f64,
    /// Ratio of actual to expected work of the requests.
    pub work_factor: f64,
    /// Seed of the random arrivals and work.
    pub seed: u64,
}

/// Decides which request is dispatched next.
pub trait Policy {
    /// Enqueues a request, and returns whether it is accepted.
    fn enqueue(&mut self, now: Duration, new_request: NewRequest) -> bool;
    /// Dispatches the next request; `None` if no request waits.
    fn dispatch_next(&mut self, now: Duration) -> Option<RequestId>;
    /// Removes a waiting request that has reached its deadline.
    fn remove(&mut self, now: Duration, request: RequestId);
    /// Records that a dispatched request has ended, and its actual work.
    fn record_end(&mut self, now: Duration, request: RequestId, work: Duration);
    /// Estimates the wait of a waiting request; `None` if the policy cannot estimate it.
    fn estimate_wait(&self, _: Duration, _: RequestId) -> Option<WaitEstimate> {
        None
    }
}

impl Policy for Queues {
    fn enqueue(&mut self, now: Duration, new_request: NewRequest) -> bool {
        Queues::enqueue(self, now, new_request).is_ok()
    }

    fn dispatch_next(&mut self, now: Duration) -> Option<RequestId> {
        let next = self.dispatch_order().next()?;
        self.dispatch(now, next).then_some(next)
    }

    fn remove(&mut self, now: Duration, request: RequestId) {
        Queues::remove(self, now, request);
    }

    fn record_end(&mut self, now: Duration, request: RequestId, work: Duration) {
        self.settle(now, request, Outcome::Measured(work));
    }

    fn estimate_wait(&self, now: Duration, request: RequestId) -> Option<WaitEstimate> {
        Queues::estimate_wait(self, now, request)
    }
}

/// First in, first out, regardless of the teams.
#[derive(Default)]
pub struct Fifo(VecDeque<RequestId>);

impl Policy for Fifo {
    fn enqueue(&mut self, _: Duration, new_request: NewRequest) -> bool {
        self.0.push_back(new_request.id);
        true
    }

    fn dispatch_next(&mut self, _: Duration) -> Option<RequestId> {
        self.0.pop_front()
    }

    fn remove(&mut self, _: Duration, request: RequestId) {
        self.0.retain(|other| *other != request);
    }

    fn record_end(&mut self, _: Duration, _: RequestId, _: Duration) {}
}

/// A request that a team sends.
struct SentRequest {
    at: Duration,
    team: usize,
    /// Actual work.
    work_s: f64,
    urgent: bool,
}

/// Returns all requests of the workload in the order of arrival. They do not depend on the policy.
fn generate_requests(workload: &Workload) -> Vec<SentRequest> {
    let mut rng = StdRng::seed_from_u64(workload.seed);
    let mut sent = Vec::new();
    for (team, (_, traffic)) in workload.teams.iter().enumerate() {
        let interval = Exp::new(traffic.requests_per_s).expect("the request rate is above 0");
        let work_ratio = LogNormal::new(0.0, 0.5).expect("the standard deviation is finite");
        let mut at_s = interval.sample(&mut rng);
        while at_s < workload.duration_s {
            let urgent = rng.random_range(0..100) < traffic.urgent_percent;
            let urgency_factor = if urgent { URGENT_WORK_FACTOR } else { 1.0 };
            let work_s = traffic.median_work_s * work_ratio.sample(&mut rng) * urgency_factor;
            sent.push(SentRequest { at: seconds(at_s), team, work_s, urgent });
            at_s += interval.sample(&mut rng);
        }
    }
    sent.sort_by_key(|request| (request.at, request.team));
    sent
}

/// An accepted request.
struct AcceptedRequest {
    new_request: NewRequest,
    arrived_at: Duration,
    /// Actual work.
    work_s: f64,
    /// The wait estimated at the arrival.
    estimate: Option<WaitEstimate>,
    dispatched: bool,
}

struct Simulation<'a, P> {
    workload: &'a Workload,
    policy: &'a mut P,
    recorder: MetricsRecorder,
    requests: BTreeMap<RequestId, AcceptedRequest>,
    /// Running requests by the time at which they end.
    running: BTreeSet<(Duration, RequestId)>,
    /// Accepted requests by their deadline, including those that have been dispatched or have ended.
    deadlines: BTreeSet<(Duration, RequestId)>,
}

/// Runs the workload under a policy.
pub fn simulate(workload: &Workload, policy: &mut impl Policy) -> Metrics {
    let mut simulation = Simulation {
        workload,
        policy,
        recorder: MetricsRecorder::new(workload),
        requests: BTreeMap::new(),
        running: BTreeSet::new(),
        deadlines: BTreeSet::new(),
    };
    let mut arrivals = generate_requests(workload).into_iter().zip(0..).peekable();
    let end = seconds(workload.duration_s);
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
    simulation.recorder.into_metrics(workload)
}

impl<P: Policy> Simulation<'_, P> {
    /// Returns the time of the next arrival, end or deadline.
    fn next_event(&self, next_arrival: Option<Duration>) -> Option<Duration> {
        let next_end = self.running.first().map(|(at, _)| *at);
        let next_deadline = self.deadlines.first().map(|(at, _)| *at);
        [next_arrival, next_end, next_deadline].into_iter().flatten().min()
    }

    fn end_requests(&mut self, now: Duration) {
        while let Some((_, request)) = pop_due(&mut self.running, now) {
            let accepted = &self.requests[&request];
            let on_time = now - accepted.arrived_at <= accepted.new_request.latency_objective;
            self.recorder.record_ended(on_time);
            self.policy.record_end(now, request, seconds(accepted.work_s));
        }
    }

    fn expire_requests(&mut self, now: Duration) {
        while let Some((_, request)) = pop_due(&mut self.deadlines, now) {
            let accepted = &self.requests[&request];
            if !accepted.dispatched {
                self.policy.remove(now, request);
                self.recorder.record_expired(accepted.new_request.team);
            }
        }
    }

    fn arrive(&mut self, request: RequestId, sent: &SentRequest) {
        let new_request = NewRequest {
            id: request,
            team: sent.team,
            urgency: if sent.urgent { URGENT } else { 0 },
            class: u16::from(sent.urgent),
            work: seconds(sent.work_s / self.workload.work_factor),
            latency_objective: seconds(self.workload.latency_objective_s),
            deadline: seconds(self.workload.deadline_s),
            identity: None,
            key: None,
        };
        if !self.policy.enqueue(sent.at, new_request) {
            self.recorder.record_rejected();
            return;
        }
        self.recorder.record_enqueued(sent.at, sent.team);
        let estimate = self.policy.estimate_wait(sent.at, request);
        self.deadlines.insert((sent.at + new_request.deadline, request));
        let accepted = AcceptedRequest {
            new_request,
            arrived_at: sent.at,
            work_s: sent.work_s,
            estimate,
            dispatched: false,
        };
        self.requests.insert(request, accepted);
    }

    fn dispatch(&mut self, now: Duration) {
        while self.running.len() < self.workload.servers {
            let Some(request) = self.policy.dispatch_next(now) else { break };
            let accepted =
                self.requests.get_mut(&request).expect("the policy dispatches only accepted requests");
            accepted.dispatched = true;
            let wait_s = (now - accepted.arrived_at).as_secs_f64();
            self.recorder.record_dispatched(now, accepted.new_request.team, accepted.work_s);
            self.recorder.record_wait(wait_s, accepted.new_request.urgency > 0, accepted.estimate);
            self.running.insert((now + seconds(accepted.work_s), request));
        }
    }
}

/// Removes and returns the first request whose time is at most `now`.
fn pop_due(queue: &mut BTreeSet<(Duration, RequestId)>, now: Duration) -> Option<(Duration, RequestId)> {
    let (at, _) = queue.first()?;
    if *at <= now { queue.pop_first() } else { None }
}

/// Returns a workload of eight teams with equal shares on sixteen servers. The first team sends ten times its share,
/// five teams send slightly more than their share, and two send half of it.
pub fn skewed_workload(seed: u64) -> Workload {
    let traffic = |requests_per_s: f64| Traffic { requests_per_s, median_work_s: 0.2, urgent_percent: 10 };
    // A team's share is two servers, which serve about ten requests of 0.2 s per second.
    let requests_per_s = [100.0, 13.0, 13.0, 13.0, 13.0, 13.0, 5.0, 5.0];
    let teams = requests_per_s.into_iter().map(|rate| (1.0, traffic(rate))).collect();
    Workload {
        teams,
        servers: 16,
        duration_s: 60.0,
        latency_objective_s: 4.0,
        deadline_s: 20.0,
        work_factor: 1.0,
        seed,
    }
}

/// Returns the quotas of the workload's teams, in one organization.
pub fn quotas(workload: &Workload) -> Quotas {
    let team = |(share, _): &(f64, Traffic)| Team {
        organization: 0,
        share: *share,
        allowance: None,
        max_waiting: MAX_WAITING,
    };
    let teams = workload.teams.iter().map(team).collect();
    Quotas { organizations: vec![Organization { share: 1.0 }], teams }
}
