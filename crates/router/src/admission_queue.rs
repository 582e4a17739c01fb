//! The admission queue in front of the scheduler, which exists if the operator has configured teams. A queued request
//! is open, but the scheduler has not accepted it yet. `emberflow-teams` orders the requests and estimates their waits.

use crate::dispatch::{Completion, RequestOutcome};
use emberflow::{Arrival, Capacity, RequestId};
use emberflow_operator::TeamConfig;
use emberflow_teams::{NewRequest, Outcome, Queues, Rejection, WaitEstimate};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An action that becomes due for a queued request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum DueAction {
    /// Passes the request to the scheduler, regardless of the order among teams.
    Dispatch,
    /// Notifies the client of the estimated wait.
    WaitNotice,
}

#[derive(Clone)]
struct QueuedRequest {
    /// The scheduler's input, as it was when the request was queued.
    arrival: Arrival,
    arrived_at: Duration,
    /// The latest time at which the request is passed to the scheduler.
    dispatch_by: Duration,
    /// The time of the next notice to the client; `None` if the client wants none.
    next_notice: Option<Duration>,
}

impl QueuedRequest {
    /// Returns the scheduler's input for the request at `now`.
    fn arrival(&self, now: Duration) -> Arrival {
        Arrival { queue_time: now.saturating_sub(self.arrived_at), ..self.arrival.clone() }
    }
}

/// A request for which an action is due.
struct DueRequest {
    /// The time at which the action became due.
    due_at: Duration,
    request: RequestId,
}

/// The properties of a request that admission depends on, apart from the scheduler's input.
pub struct AdmissionParameters {
    /// The index of the team in the operator's configuration.
    pub team: usize,
    /// The urgency, from 0 for ordinary requests to 3.
    pub urgency: u8,
    /// A number that a request and its retries have in common.
    pub identity: u64,
    /// The request's key. Requests with the same key are passed to the scheduler in the order of their arrival.
    pub key: Option<u64>,
    /// Estimated execution time on one core.
    pub work: Duration,
    /// The latency objective of the request class.
    pub latency_objective: Duration,
    /// Minimum time between passing the request to the scheduler and the request's deadline.
    pub dispatch_margin: Duration,
    /// Whether the client has asked for notices of the estimated wait. They are sent only if the operator's file names
    /// the parameter by which clients ask for them.
    pub wants_wait_notices: bool,
}

/// A notice to a client of the estimated wait of its request.
pub struct WaitNotice {
    /// The queued request.
    pub request: RequestId,
    /// The estimated time in the queue, and the number of requests of the same team that are dispatched earlier.
    pub wait: WaitEstimate,
}

/// The queued requests of all teams.
#[derive(Clone)]
pub struct AdmissionQueue {
    /// The teams as the operator has configured them.
    pub teams: TeamConfig,
    queues: Queues,
    queued: BTreeMap<RequestId, QueuedRequest>,
    /// The actions that become due for queued requests, ordered by time.
    due: BTreeSet<(Duration, DueAction, RequestId)>,
    /// Measured costs of requests that the scheduler has accepted and that are not closed yet.
    costs: BTreeMap<RequestId, Duration>,
}

impl AdmissionQueue {
    /// Creates an empty queue. The budget of each team is full.
    pub fn new(teams: TeamConfig, now: Duration) -> Self {
        Self {
            queues: Queues::new(teams.quotas.clone(), now),
            teams,
            queued: BTreeMap::new(),
            due: BTreeSet::new(),
            costs: BTreeMap::new(),
        }
    }

    /// Queues a request.
    ///
    /// # Errors
    /// Returns the reason if the request is rejected, and the time after which a similar request is expected to be
    /// accepted.
    pub fn enqueue(
        &mut self,
        now: Duration,
        arrival: Arrival,
        parameters: AdmissionParameters,
    ) -> Result<(), Rejection> {
        let request = arrival.request;
        let remaining = arrival.deadline.saturating_sub(arrival.queue_time);
        self.queues.enqueue(
            now,
            NewRequest {
                id: request.0,
                team: parameters.team,
                urgency: parameters.urgency,
                class: arrival.class as u16,
                work: parameters.work,
                latency_objective: parameters.latency_objective,
                deadline: remaining,
                identity: Some(parameters.identity),
                key: parameters.key,
            },
        )?;
        let wants_notices = parameters.wants_wait_notices && self.teams.wait_notice_field.is_some();
        let queued = QueuedRequest {
            arrived_at: now.saturating_sub(arrival.queue_time),
            arrival,
            dispatch_by: now + remaining.saturating_sub(parameters.dispatch_margin),
            next_notice: wants_notices.then_some(now),
        };
        self.due.insert((queued.dispatch_by, DueAction::Dispatch, request));
        self.due.extend(queued.next_notice.map(|at| (at, DueAction::WaitNotice, request)));
        self.queued.insert(request, queued);
        Ok(())
    }

    /// Removes and returns the next request for the scheduler: a request whose deadline is near, or else the first in
    /// the order among teams for which there is capacity.
    pub fn next_admissible<'a>(
        &mut self,
        now: Duration,
        capacity: impl FnOnce() -> Capacity<'a>,
    ) -> Option<Arrival> {
        if self.queued.is_empty() {
            return None;
        }
        self.queues.advance(now);
        let next = self.next_overdue(now).or_else(|| self.next_in_order(now, capacity()))?;
        self.release(now, next)
    }

    /// Returns a request whose latest dispatch time has come. If requests with the same key arrived before it, returns
    /// the first of them.
    fn next_overdue(&self, now: Duration) -> Option<RequestId> {
        let overdue = self.due_now(now, DueAction::Dispatch).next()?;
        Some(RequestId(self.queues.first_of_key(overdue.request.0)))
    }

    /// Returns the requests for which `action` is due now, ordered by the time at which it became due.
    fn due_now(&self, now: Duration, action: DueAction) -> impl Iterator<Item = DueRequest> {
        let due = self.due.iter().take_while(move |(at, ..)| *at <= now);
        due.filter(move |(_, due_action, _)| *due_action == action)
            .map(|(at, _, request)| DueRequest { due_at: *at, request: *request })
    }

    /// Returns the first request in the order among teams for which there is capacity.
    fn next_in_order(&self, now: Duration, mut capacity: Capacity<'_>) -> Option<RequestId> {
        let next = self.queues.next_fitting(|request| {
            let queued = self.queued.get(&RequestId(request));
            queued.is_some_and(|queued| capacity.admits(&queued.arrival(now)))
        });
        next.map(RequestId)
    }

    /// Removes and returns the oldest request, regardless of the order among teams.
    pub fn take_oldest(&mut self, now: Duration) -> Option<Arrival> {
        let oldest = *self.queued.keys().next()?;
        self.release(now, oldest)
    }

    /// Removes a request in order to pass it to the scheduler, and returns the scheduler's input.
    fn release(&mut self, now: Duration, request: RequestId) -> Option<Arrival> {
        self.queues.dispatch(now, request.0);
        self.remove(request).map(|queued| queued.arrival(now))
    }

    /// Removes a request and its due actions.
    fn remove(&mut self, request: RequestId) -> Option<QueuedRequest> {
        let queued = self.queued.remove(&request)?;
        self.due.remove(&(queued.dispatch_by, DueAction::Dispatch, request));
        if let Some(at) = queued.next_notice {
            self.due.remove(&(at, DueAction::WaitNotice, request));
        }
        Some(queued)
    }

    /// Records the measured work of a request's successful attempt. The team is charged when the request is closed.
    pub fn record_work(&mut self, request: RequestId, work: Duration) {
        self.costs.insert(request, work);
    }

    /// Whether a request is queued.
    pub fn contains(&self, request: RequestId) -> bool {
        self.queued.contains_key(&request)
    }

    /// Settles a closed request: removes it if it is still queued, or else charges its team.
    pub fn settle(&mut self, now: Duration, Completion { request, outcome }: Completion) {
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

    /// Replaces the teams. Queued requests move to the team with the same name, or to the first team if their team was
    /// removed.
    pub fn apply_teams(&mut self, now: Duration, teams: TeamConfig) {
        self.queues.reconfigure(now, teams.quotas.clone(), &self.teams.indices_in(&teams));
        self.teams = teams;
    }

    /// Returns the notices that are due now, and schedules the next notice of each request. Requests without an
    /// estimate are omitted.
    pub fn take_wait_notices(&mut self, now: Duration) -> Vec<WaitNotice> {
        let due_requests: Vec<DueRequest> = self.due_now(now, DueAction::WaitNotice).collect();
        // The operator may have switched the notices off since they were scheduled.
        let sends_notices = self.teams.wait_notice_field.is_some();
        let next_notice = sends_notices.then_some(now + self.teams.wait_notice_interval);
        let mut notices = Vec::new();
        for DueRequest { due_at, request } in due_requests {
            self.due.remove(&(due_at, DueAction::WaitNotice, request));
            self.due.extend(next_notice.map(|next| (next, DueAction::WaitNotice, request)));
            self.queued.entry(request).and_modify(|queued| queued.next_notice = next_notice);
            if sends_notices && let Some(wait) = self.queues.estimate_wait(now, request.0) {
                notices.push(WaitNotice { request, wait });
            }
        }
        notices
    }

    /// Returns the time at which the queue must be processed next; `None` if nothing is due.
    pub fn next_deadline(&self) -> Option<Duration> {
        let first_due = self.due.first().map(|(at, ..)| *at);
        [first_due, self.queues.due()].into_iter().flatten().min()
    }
}
