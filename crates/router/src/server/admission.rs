//! Admission of requests by team: queues requests, passes them to the scheduler once there is capacity, and applies
//! changes of the teams.

use super::Server;
use super::parameters::TeamParameters;
use crate::admission_queue::{AdmissionParameters, AdmissionQueue};
use crate::jsonrpc;
use crate::timers::Timer;
use emberflow::{Actions, Arrival};
use emberflow_operator::TeamConfig;
use emberflow_teams::Rejection;
use std::time::Duration;

/// A request leaves the queue at the latest this multiple of the scheduler's answer margin before its deadline. The
/// scheduler needs the time to answer the request.
const DISPATCH_MARGIN_FACTOR: u32 = 2;

impl Server {
    /// Creates an empty admission queue for the teams.
    pub(super) fn open_admission_queue(&mut self, teams: TeamConfig, now: Duration) {
        log::info!("admission queue opened: teams={} budgets=full", teams.names.len());
        self.admission_queue = Some(AdmissionQueue::new(teams, now));
        self.dispatcher.completions = Some(Vec::new());
    }

    /// Passes all queued requests to the scheduler, and removes the admission queue.
    fn close_admission_queue(&mut self, now: Duration) {
        log::info!("admission queue closed");
        self.drain_admission_queue(now);
        self.admission_queue = None;
        self.dispatcher.completions = None;
        if let Some(at) = self.admission_timer.take() {
            self.dispatcher.context.timers.clear(at, Timer::AdmissionCheck);
        }
    }

    /// Queues a request. If the queue rejects the request, answers the client with the time after which the request
    /// would be admitted.
    pub(super) fn enqueue(&mut self, now: Duration, arrival: Arrival, team: TeamParameters, identity: u64) {
        let admission = self.admission_of(&arrival, team, identity);
        let request = arrival.request;
        let Some(admission_queue) = &mut self.admission_queue else { return };
        if let Err(Rejection { reason, retry_after }) = admission_queue.enqueue(now, arrival, admission) {
            self.dispatcher.context.counters.count("requests_rejected_at_admission");
            log::debug!(
                "request rejected by the admission queue: request={request} reason={reason:?} \
                 retry_after={retry_after:?}"
            );
            let retry_after = self.max_retry_after.map(|max| retry_after.min(max));
            self.dispatcher.reject(request, retry_after);
        }
    }

    /// Returns the properties of a request on which the admission queue depends.
    fn admission_of(&self, arrival: &Arrival, team: TeamParameters, identity: u64) -> AdmissionParameters {
        let class = &self.admission_classes[arrival.class];
        AdmissionParameters {
            team: team.team,
            urgency: team.urgency,
            identity,
            key: arrival.key.filter(|_| class.keeps_order).map(|key| u64::from(key.0)),
            work: self.scheduler.expected_work(arrival),
            latency_objective: class.latency_objective,
            dispatch_margin: self.scheduler.answer_margin() * DISPATCH_MARGIN_FACTOR,
            wants_wait_notices: team.wants_wait_notices,
        }
    }

    /// Charges closed requests to their teams, and passes the next queued request to the scheduler if there is capacity
    /// for it. Otherwise notifies clients of their wait. Returns whether a request was passed on.
    pub(super) fn admit_next(&mut self) -> bool {
        let Some(admission_queue) = &mut self.admission_queue else { return false };
        let now = self.dispatcher.context.now();
        let completions = self.dispatcher.completions.as_mut().map(std::mem::take).unwrap_or_default();
        for completion in completions {
            admission_queue.settle(now, completion);
        }
        if let Some(arrival) = admission_queue.next_admissible(now, || self.scheduler.capacity(now)) {
            self.scheduler.accept(now, arrival, &mut self.dispatcher);
            return true;
        }
        self.send_wait_notices(now);
        self.schedule_admission_timer(now);
        false
    }

    /// Notifies the clients whose notice is due of their estimated wait.
    fn send_wait_notices(&mut self, now: Duration) {
        let Some(admission_queue) = &mut self.admission_queue else { return };
        for notice in admission_queue.take_wait_notices(now) {
            if let Some(request) = self.dispatcher.requests.get(notice.request) {
                let line = jsonrpc::waiting_line(request.client_request_id, &notice.wait);
                self.dispatcher.clients.send_line(request.client, &line);
            }
        }
    }

    /// Sets the timer for the queue's next deadline. Capacity may also become free without any event, only because time
    /// passes, so the timer expires at the latest after the scheduler's answer margin.
    fn schedule_admission_timer(&mut self, now: Duration) {
        let next_deadline = self.admission_queue.as_ref().and_then(AdmissionQueue::next_deadline);
        let due = next_deadline.map(|at| at.min(now + self.scheduler.answer_margin()));
        if due == self.admission_timer {
            return;
        }
        let timers = &mut self.dispatcher.context.timers;
        if let Some(at) = self.admission_timer {
            timers.clear(at, Timer::AdmissionCheck);
        }
        if let Some(at) = due {
            timers.set(at, Timer::AdmissionCheck);
        }
        self.admission_timer = due;
    }

    /// Passes all queued requests to the scheduler in the order of their arrival.
    pub(super) fn drain_admission_queue(&mut self, now: Duration) {
        while let Some(arrival) = self.admission_queue.as_mut().and_then(|queue| queue.take_oldest(now)) {
            self.scheduler.accept(now, arrival, &mut self.dispatcher);
        }
    }

    /// Applies the teams of a reloaded operator's file. Queued requests stay with the team of the same name. If the
    /// file has no teams, all queued requests are passed to the scheduler.
    pub fn apply_teams(&mut self, teams: Option<TeamConfig>) {
        let now = self.dispatcher.context.now();
        match (&mut self.admission_queue, teams) {
            (Some(admission_queue), Some(teams)) => {
                for change in admission_queue.teams.changes(&teams) {
                    log::info!("team configuration changed: {change}");
                }
                admission_queue.apply_teams(now, teams);
            }
            (Some(_), None) => self.close_admission_queue(now),
            (None, Some(teams)) => self.open_admission_queue(teams, now),
            (None, None) => {}
        }
        self.process_events();
    }
}
