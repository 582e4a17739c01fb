//! The queue in front of the scheduler, where the operator has configured teams: requests that wait in it are open
//! and not yet accepted. Whose turn it is and how long a request will wait is decided by `emberflow-teams`.

use crate::dispatch::{Completion, RequestOutcome};
use emberflow::{Arrival, Capacity, RequestId};
use emberflow_operator::TeamConfig;
use emberflow_teams::{NewRequest, Outcome, Queues, Rejection, WaitEstimate};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What is due for a queued request at a time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// It is passed to the scheduler whatever its turn.
    Dispatch,
    /// Its client is notified of its wait.
    WaitNotice,
}

/// A request in the queue.
#[derive(Clone)]
struct QueuedRequest {
    arrival: Arrival,
    arrived_at: Duration,
    /// When it is passed to the scheduler at the latest.
    dispatch_by: Duration,
    /// When its client is notified of its wait next, if it wants to be.
    next_notice: Option<Duration>,
}

impl QueuedRequest {
    /// The request as the scheduler is given it now.
    fn arrival(&self, now: Duration) -> Arrival {
        Arrival { waited: now.saturating_sub(self.arrived_at), ..self.arrival.clone() }
    }
}

/// What admission goes by for a request, beside what the scheduler is given.
pub struct Admission {
    /// The team's index.
    pub team: usize,
    /// From 0 for ordinary work to 3.
    pub urgency: u8,
    /// The same for a request and its retries.
    pub identity: u64,
    /// Requests of one key are passed on in the order in which they came.
    pub key: Option<u64>,
    /// Expected time on one core.
    pub work: Duration,
    /// Its class's latency objective.
    pub latency_objective: Duration,
    /// How long before the end of its deadline it is passed on at the latest.
    pub margin: Duration,
    /// Whether its client wants to be notified of its wait.
    pub wants_wait_notices: bool,
}

/// An estimate of how long a request will still be queued, for its client.
pub struct WaitNotice {
    /// The request that waits.
    pub request: RequestId,
    /// How long it will wait yet, and how many of its team are before it.
    pub wait: WaitEstimate,
}

/// The requests that wait for their team's turn.
#[derive(Clone)]
pub struct AdmissionQueue {
    /// The teams as the operator has configured them.
    pub teams: TeamConfig,
    queues: Queues,
    queued: BTreeMap<RequestId, QueuedRequest>,
    due: BTreeSet<(Duration, Due, RequestId)>,
    /// What requests that were passed on have cost, until they are closed.
    costs: BTreeMap<RequestId, Duration>,
}

impl AdmissionQueue {
    /// An empty queue, each team's budget full.
    pub fn new(teams: TeamConfig, now: Duration) -> Self {
        Self {
            queues: Queues::new(teams.quotas.clone(), now),
            teams,
            queued: BTreeMap::new(),
            due: BTreeSet::new(),
            costs: BTreeMap::new(),
        }
    }

    /// Queues a request, or refuses it with the time after which it would be admitted.
    pub fn enqueue(
        &mut self,
        now: Duration,
        arrival: Arrival,
        admission: Admission,
    ) -> Result<(), Rejection> {
        let request = arrival.request;
        let remaining = arrival.deadline.saturating_sub(arrival.waited);
        self.queues.enqueue(
            now,
            NewRequest {
                request: request.0,
                team: admission.team,
                urgency: admission.urgency,
                class: arrival.class as u16,
                work: admission.work,
                latency_objective: admission.latency_objective,
                deadline: remaining,
                identity: Some(admission.identity),
                key: admission.key,
            },
        )?;
        let wants_notices = admission.wants_wait_notices && self.teams.wait_notice_field.is_some();
        let queued = QueuedRequest {
            arrived_at: now.saturating_sub(arrival.waited),
            arrival,
            dispatch_by: now + remaining.saturating_sub(admission.margin),
            next_notice: wants_notices.then_some(now),
        };
        self.due.insert((queued.dispatch_by, Due::Dispatch, request));
        self.due.extend(queued.next_notice.map(|at| (at, Due::WaitNotice, request)));
        self.queued.insert(request, queued);
        Ok(())
    }

    /// Takes out the next request for the scheduler: one whose time is nearly up, else the next by turn that there
    /// is capacity for.
    pub fn next_admissible<'a>(
        &mut self,
        now: Duration,
        capacity: impl FnOnce() -> Capacity<'a>,
    ) -> Option<Arrival> {
        if self.queued.is_empty() {
            return None;
        }
        self.queues.advance(now);
        let next = self.next_overdue(now).or_else(|| self.next_by_turn(now, capacity()))?;
        self.release(now, next)
    }

    /// A request whose time is nearly up, or one of the same key that came before it and must be passed on first.
    fn next_overdue(&self, now: Duration) -> Option<RequestId> {
        let mut overdue = self.due.iter().take_while(|(at, ..)| *at <= now);
        let (.., request) = overdue.find(|(_, due, _)| *due == Due::Dispatch)?;
        Some(RequestId(self.queues.first_of_key(request.0)))
    }

    fn next_by_turn(&self, now: Duration, mut capacity: Capacity<'_>) -> Option<RequestId> {
        let next = self.queues.next_fitting(|request| {
            let queued = self.queued.get(&RequestId(request));
            queued.is_some_and(|queued| capacity.admits(&queued.arrival(now)))
        });
        next.map(RequestId)
    }

    /// Takes out the oldest request, whatever its turn.
    pub fn take_oldest(&mut self, now: Duration) -> Option<Arrival> {
        let oldest = *self.queued.keys().next()?;
        self.release(now, oldest)
    }

    fn release(&mut self, now: Duration, request: RequestId) -> Option<Arrival> {
        self.queues.dispatch(now, request.0);
        self.remove(request).map(|queued| queued.arrival(now))
    }

    fn remove(&mut self, request: RequestId) -> Option<QueuedRequest> {
        let queued = self.queued.remove(&request)?;
        self.due.remove(&(queued.dispatch_by, Due::Dispatch, request));
        if let Some(at) = queued.next_notice {
            self.due.remove(&(at, Due::WaitNotice, request));
        }
        Some(queued)
    }

    /// Notes what a request's successful attempt cost, until the request is closed.
    pub fn record_cost(&mut self, request: RequestId, cost: Duration) {
        self.costs.insert(request, cost);
    }

    /// Whether a request is queued.
    pub fn contains(&self, request: RequestId) -> bool {
        self.queued.contains_key(&request)
    }

    /// Settles a request that was answered or withdrawn: charges its team, or takes it out of the queue.
    pub fn request_closed(&mut self, now: Duration, Completion { request, outcome }: Completion) {
        let cost = self.costs.remove(&request);
        if self.remove(request).is_some() {
            self.queues.remove(now, request.0);
            return;
        }
        let charge = match (outcome, cost) {
            (RequestOutcome::Succeeded, Some(cost)) => Outcome::Measured(cost),
            (RequestOutcome::Succeeded | RequestOutcome::Failed, _) => Outcome::Unknown,
            (RequestOutcome::Rejected | RequestOutcome::Cancelled, _) => Outcome::Refunded,
        };
        self.queues.settle(now, request.0, charge);
    }

    /// Replaces the teams; queued requests move to the team of the same name.
    pub fn apply_teams(&mut self, now: Duration, teams: TeamConfig) {
        self.queues.reconfigure(now, teams.quotas.clone(), &self.teams.indices_in(&teams));
        self.teams = teams;
    }

    /// The notices that are due now, as far as there is an estimate; each is scheduled again.
    pub fn take_wait_notices(&mut self, now: Duration) -> Vec<WaitNotice> {
        let due_now = self.due.iter().take_while(|(at, ..)| *at <= now);
        let notices = due_now.filter(|(_, due, _)| *due == Due::WaitNotice);
        let due_requests: Vec<_> = notices.map(|(at, _, request)| (*at, *request)).collect();
        // Teams that were reloaded may say that clients are not notified any more.
        let next_notice =
            self.teams.wait_notice_field.as_ref().map(|_| now + self.teams.wait_notice_interval);
        for (at, request) in &due_requests {
            self.due.remove(&(*at, Due::WaitNotice, *request));
            self.due.extend(next_notice.map(|at| (at, Due::WaitNotice, *request)));
            self.queued.entry(*request).and_modify(|queued| queued.next_notice = next_notice);
        }
        if next_notice.is_none() {
            return Vec::new();
        }
        let notice =
            |(_, request)| Some(WaitNotice { request, wait: self.queues.estimate_wait(now, request.0)? });
        due_requests.into_iter().filter_map(notice).collect()
    }

    /// When something is due in the queue next.
    pub fn next_deadline(&self) -> Option<Duration> {
        let first_due = self.due.first().map(|(at, ..)| *at);
        first_due.into_iter().chain(self.queues.due()).min()
    }
}
