//! Deadlines: gives every request one final answer in time, and cancels late attempts at engines under pressure.

use crate::samples::{mean, seconds};
use crate::state::{FleetSnapshot, Request, SchedulerState};
use crate::{Actions, RequestId};
use std::time::Duration;

/// Time before a deadline by which the final answer must have been sent, in ticks.
const ANSWER_MARGIN_TICKS: u32 = 4;
/// Time before a deadline at which the scheduler answers a request, in answer margins.
const FINAL_ANSWER_LEAD_MARGINS: u32 = 3;
/// Priority weight per core-second of remaining work below which a late answer is not worth the work, as a
/// fraction of the mean of all classes.
const MIN_LATE_VALUE: f64 = 0.25;
/// Number of wake-ups in one shortest latency objective while no request is queued.
const IDLE_WAKES_PER_OBJECTIVE: u32 = 8;
/// Interval between wake-ups while a request is queued, in ticks. Other intervals are at least as long.
const QUEUED_WAKE_TICKS: u32 = 8;

impl SchedulerState {
    /// Returns the time before a deadline by which the final answer must have been sent.
    pub fn answer_margin(&self) -> Duration {
        self.fleet.tick * ANSWER_MARGIN_TICKS
    }

    /// Returns the time before a deadline at which the scheduler gives the final answer.
    pub fn final_answer_lead(&self) -> Duration {
        self.answer_margin() * FINAL_ANSWER_LEAD_MARGINS
    }

    /// Rejects or fails the requests whose final answer is due. Shortly before the shutdown deadline, these are all
    /// requests. Before that, a queued request is answered shortly before its deadline. It is answered at once if
    /// its client may have left, if it must not be retried, or if a retry would cost more than a late answer is worth.
    /// Returns whether any request was answered.
    pub fn answer_when_due(&mut self, snapshot: &mut FleetSnapshot, actions: &mut impl Actions) -> bool {
        let now = snapshot.now;
        let due_by = now + self.final_answer_lead();
        let mut due = Vec::new();
        for (id, request) in &self.requests {
            if !request.is_done() && self.is_answer_due(request, now, due_by) {
                due.push(*id);
            }
        }
        self.answer_without_result(now, due, actions)
    }

    fn is_answer_due(&self, request: &Request, now: Duration, due_by: Duration) -> bool {
        due_by >= self.shutdown_at || request.is_queued() && self.is_too_late_to_send(request, now, due_by)
    }

    /// Returns whether a queued request must be answered instead of sent: its client may have left, its deadline
    /// is near, or it is a retry that is not allowed or not worth the work.
    fn is_too_late_to_send(&self, request: &Request, now: Duration, due_by: Duration) -> bool {
        let is_retry = !request.attempts.is_empty();
        !request.is_open()
            || due_by >= request.deadline
            || is_retry && (!self.may_retry(request, now) || self.late_value_below_cost(request, now))
    }

    /// Returns whether the request is past its latency objective, and a late answer is worth less than the
    /// remaining work costs.
    fn late_value_below_cost(&self, request: &Request, now: Duration) -> bool {
        if now <= request.objective_at {
            return false;
        }
        let class = &self.classes[request.class];
        let min_weight = mean(self.weights_per_core_second()).unwrap_or(0.0)
            * MIN_LATE_VALUE
            * self.remaining_work(request, now);
        class.late_weight_fraction * class.priority_weight < min_weight
    }

    /// Returns the remaining work of a request in core-seconds: the work until the expected end of its last
    /// attempt, or the usual work of its class if no end is expected or the expected end has passed.
    fn remaining_work(&self, request: &Request, now: Duration) -> f64 {
        let finish = request.attempts.last().and_then(|attempt| attempt.expected_finish);
        match finish.filter(|finish| *finish > now) {
            Some(finish) => seconds(finish - now) * self.classes[request.class].threads,
            None => self.usual_work(request.class),
        }
    }

    /// Cancels late attempts at engines under pressure whose answers are worth less than the capacity that the
    /// attempts use.
    pub fn cancel_late_attempts(&mut self, snapshot: &mut FleetSnapshot, actions: &mut impl Actions) -> bool {
        let mut late = Vec::new();
        for (id, request) in self.in_flight() {
            if request.is_done() {
                continue;
            }
            let attempt = request.last_attempt(id);
            let engine = &snapshot.engines[&request.attempts[attempt.attempt].engine];
            if engine.is_under_pressure() && self.late_value_below_cost(request, snapshot.now) {
                late.push(attempt);
            }
        }
        self.cancel(late, actions)
    }

    /// Rejects each request that its client may safely retry, and fails the others. Returns whether any request
    /// was answered.
    pub fn answer_without_result(
        &mut self,
        now: Duration,
        ids: Vec<RequestId>,
        actions: &mut impl Actions,
    ) -> bool {
        let max_retry_after = self.attempt_limits.max_retry_after;
        let retry_after = max_retry_after.map(|longest| self.shortest_objective().min(longest));
        for id in &ids {
            if self.may_reject(&self.requests[id], now, retry_after) {
                actions.reject(*id, retry_after);
            } else {
                actions.fail(*id);
            }
            self.record_done(*id);
        }
        !ids.is_empty()
    }

    /// Forgets finished requests, and one deregistered engine that no request refers to. Returns whether anything
    /// was forgotten.
    pub fn forget_finished(&mut self, snapshot: &mut FleetSnapshot, actions: &mut impl Actions) -> bool {
        let any_finished = self.remove_finished_requests(snapshot.now);
        self.prune_retry_budget(snapshot.now);
        // Removed engines must be forgotten: in a fleet whose engines are replaced all the time, their state would
        // fill the memory.
        let Some(removed) = self.engine_index.first_forgettable() else { return any_finished };
        actions.forget(removed);
        snapshot.engines.remove(&removed);
        self.remove_engine(removed);
        true
    }

    /// Requests the next wake-up while the scheduler holds any request. Also subscribes to changes of the endpoint
    /// list, if the scheduler must do so and is not subscribed.
    pub fn schedule_wake(&mut self, snapshot: &mut FleetSnapshot, actions: &mut impl Actions) -> bool {
        let now = snapshot.now;
        if self.fleet.must_watch_endpoints && !self.is_watching_endpoints {
            self.is_watching_endpoints = true;
            actions.watch_endpoints();
        }
        let wait = self.wake_interval();
        if !self.requests.is_empty() && (self.wake_due <= now || self.wake_due > now + wait) {
            self.wake_due = now + wait;
            actions.wake_after(wait);
        }
        false
    }

    /// Returns the time until the next wake-up, which is shorter while a request is queued.
    fn wake_interval(&self) -> Duration {
        let queued_interval = self.fleet.tick * QUEUED_WAKE_TICKS;
        if self.queued().next().is_some() {
            return queued_interval;
        }
        queued_interval.max(self.shortest_objective() / IDLE_WAKES_PER_OBJECTIVE)
    }
}
