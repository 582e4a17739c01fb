//! Retries: when another attempt is allowed, and which attempts are cancelled for a retry.

use crate::samples::seconds;
use crate::state::{AttemptId, FleetSnapshot, Request, SchedulerState};
use crate::{Actions, Idempotency, KeyScope, SendLimits};
use std::time::Duration;

/// Remaining time of an attempt, in expected runs, above which the attempt is slow.
const SLOW_REMAINING_RUNS: f64 = 3.0;
/// Elapsed time of an attempt, in expected runs, above which the attempt is slow if engines send no progress
/// updates.
const SLOW_ELAPSED_RUNS: f64 = 8.0;
/// Minimum time left before the deadline for a cancelled attempt to be retried, in ideal runs.
const MIN_TIME_LEFT_RUNS: f64 = 2.0;

impl SchedulerState {
    /// Returns whether another attempt is allowed: the request may run again, and has not used all its attempts.
    pub fn may_retry(&self, request: &Request, now: Duration) -> bool {
        let may_run_again = request.first_that_may_have_run().is_none()
            || match &self.classes[request.class].idempotency {
                Idempotency::Idempotent => true,
                Idempotency::NonIdempotent => false,
                Idempotency::IdempotentWithKey { .. } => self.is_key_remembered(request, now),
            };
        may_run_again && request.attempts.len() < self.attempt_limits.max_attempts
    }

    /// Returns the limits of the request's next attempt.
    pub fn send_limits(&self, request: &Request) -> SendLimits {
        SendLimits {
            timeout_at: request.deadline.saturating_sub(self.answer_margin()),
            key_window_end: self.key_window_end(request),
        }
    }

    /// Returns the time from which no attempt of the request may be written, because the engines may forget its
    /// idempotency key before the attempt arrives; `None` if the request has no key or no attempt of it may have run.
    fn key_window_end(&self, request: &Request) -> Option<Duration> {
        let Idempotency::IdempotentWithKey { window, .. } = &self.classes[request.class].idempotency else {
            return None;
        };
        let first = request.first_that_may_have_run()?;
        Some((first.key_window_start() + *window).saturating_sub(self.answer_margin()))
    }

    /// Returns whether an attempt that is written at `at` is recognized as a repeat by the engines that know the
    /// request's idempotency key. Also true without a key.
    fn is_key_remembered(&self, request: &Request, at: Duration) -> bool {
        self.key_window_end(request).is_none_or(|end| at < end)
    }

    /// Returns whether the request may be rejected. A rejection tells the client that a retry is safe after
    /// `retry_after`. A retry is safe if requests of the class may run again at any engine, if all engines still
    /// remember the request's idempotency key by then, or if it is certain that no attempt has run.
    pub fn may_reject(&self, request: &Request, now: Duration, retry_after: Option<Duration>) -> bool {
        match &self.classes[request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentWithKey { scope: KeyScope::All, .. } => {
                self.is_key_remembered(request, now + retry_after.unwrap_or_default())
            }
            _ => request.first_that_may_have_run().is_none(),
        }
    }

    /// Returns the number of retries that the budget still allows, which is infinite without a budget and may be
    /// negative or a fraction.
    pub fn retries_left(&self, now: Duration) -> f64 {
        let Some(budget) = &self.attempt_limits.retry_budget else { return f64::INFINITY };
        let accepted = self.accepted_at.iter().filter(|at| **at + budget.window > now).count() as f64;
        let retried = self.retried_at.iter().filter(|at| **at + budget.window >= now).count() as f64;
        budget.min_retries + budget.per_request * accepted - retried
    }

    /// Cancels attempts that are much slower than expected, so that they are retried. Cancels only first attempts:
    /// if the second attempt is as slow, the request itself is the cause.
    pub fn cancel_slow_attempts(&mut self, snapshot: &mut FleetSnapshot, actions: &mut impl Actions) -> bool {
        let mut slow = Vec::new();
        for (id, request) in self.in_flight() {
            if request.attempts.len() == 1 && self.is_slow(request, snapshot) {
                slow.push(request.last_attempt(id));
            }
        }
        self.cancel_and_retry(snapshot.now, slow, actions)
    }

    /// Returns whether the first attempt of a request is much slower than expected.
    fn is_slow(&self, request: &Request, snapshot: &FleetSnapshot) -> bool {
        let (now, attempt) = (snapshot.now, &request.attempts[0]);
        let expected_run = snapshot.slowdowns[request.class] * request.ideal_run_seconds;
        let remaining = attempt.expected_finish.map(|finish| seconds(finish.saturating_sub(now)));
        let max_remaining = SLOW_REMAINING_RUNS * expected_run + seconds(self.fleet.tick);
        let sends_no_progress = self.fleet.progress_interval.is_none();
        let max_elapsed = SLOW_ELAPSED_RUNS * expected_run + seconds(self.shortest_objective());
        attempt.is_stalled
            || remaining.is_some_and(|remaining| remaining > max_remaining)
            || sends_no_progress && seconds(now - attempt.sent_at) > max_elapsed
    }

    /// Cancels those of the attempts whose requests may be retried, within the retry budget. The requests are
    /// queued again once the attempts have ended. Returns whether any attempt was cancelled.
    pub fn cancel_and_retry(
        &mut self,
        now: Duration,
        mut ids: Vec<AttemptId>,
        actions: &mut impl Actions,
    ) -> bool {
        ids.retain(|id| self.is_worth_retrying(&self.requests[&id.request], now));
        ids.truncate(self.retries_left(now) as usize);
        self.cancel(ids, actions)
    }

    fn is_worth_retrying(&self, request: &Request, now: Duration) -> bool {
        let time_left = seconds(request.deadline.saturating_sub(now));
        request.is_open()
            && time_left > MIN_TIME_LEFT_RUNS * request.ideal_run_seconds
            && self.may_retry(request, now)
    }

    /// Cancels attempts that are not cancelled yet, if cancelling is allowed. Returns whether any attempt was
    /// cancelled.
    pub fn cancel(&mut self, mut ids: Vec<AttemptId>, actions: &mut impl Actions) -> bool {
        let may_cancel = self.attempt_limits.may_cancel;
        ids.retain(|id| may_cancel && !self.requests[&id.request].attempts[id.attempt].cancelled);
        for id in &ids {
            self.record_cancelled(*id);
            actions.cancel(id.request, id.attempt);
        }
        !ids.is_empty()
    }
}
