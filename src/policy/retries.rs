//! Retries: when another attempt is allowed, and which attempts are taken back for one.

use super::*;

/// Remaining time over an undisturbed run's from which an attempt is slow; the same without progress notes.
const SLOW_REMAINDER: f64 = 3.0;
const SLOW_WITHOUT_NOTES: f64 = 8.0;

impl SchedulerState {
    /// Whether effects and limits allow another attempt: never while one is in flight.
    pub fn may_retry(&self, request: &Request, now: Duration) -> bool {
        let soon = now + self.margin();
        let is_harmless = match (&self.classes[request.class].effect, request.first_that_may_have_run()) {
            (Effect::Idempotent, _) | (_, None) => true,
            (Effect::NonIdempotent, Some(_)) => false,
            (Effect::IdempotentWithKey { window, .. }, Some(first)) => soon < first.sent_at + *window,
        };
        is_harmless && request.attempts.len() < self.attempt_limits.max_attempts
    }

    /// Whether a client may be told that its retry is harmless.
    pub fn may_reject(&self, request: &Request) -> bool {
        match &self.classes[request.class].effect {
            Effect::Idempotent | Effect::IdempotentWithKey { scope: KeyScope::All, .. } => true,
            _ => request.first_that_may_have_run().is_none(),
        }
    }

    /// Retries that the budget still holds.
    pub fn retries_left(&self, now: Duration) -> f64 {
        let Some(budget) = &self.attempt_limits.retry_budget else { return f64::INFINITY };
        let accepted = self.accepted_at.iter().filter(|at| **at + budget.window > now).count() as f64;
        let retried = self.retried_at.iter().filter(|at| **at + budget.window >= now).count() as f64;
        budget.min_retries + budget.per_request * accepted - retried
    }

    /// Guards against attempts that take many times their expected run without cause: only a request's first
    /// attempt, since a second one as slow shows a costly request.
    pub fn cancel_slow_attempts(&mut self, snapshot: &mut FleetSnapshot, actions: &mut impl Actions) -> bool {
        let first = self.in_flight().filter(|(_, request)| request.attempts.len() == 1);
        let slow = first.filter(|(_, request)| self.is_slow(request, snapshot));
        let ids = slow.map(|(id, request)| request.last_attempt(id)).collect();
        self.migrate(snapshot.now, ids, actions)
    }

    /// Whether a request's only attempt takes many times its expected run.
    fn is_slow(&self, request: &Request, snapshot: &FleetSnapshot) -> bool {
        let (now, attempt) = (snapshot.now, &request.attempts[0]);
        let run = snapshot.slowdowns[request.class] * request.ideal_run;
        let left = attempt.expected_finish.map(|finish| seconds(finish.saturating_sub(now)));
        let has_no_notes = self.fleet.progress_interval.is_none();
        let slack = seconds(self.shortest_objective());
        attempt.is_stalled
            || left.is_some_and(|left| left > SLOW_REMAINDER * run + seconds(self.fleet.tick))
            || has_no_notes && seconds(now - attempt.sent_at) > SLOW_WITHOUT_NOTES * run + slack
    }

    /// Takes back those of the attempts whose requests may still be sent again, within the retry budget.
    pub fn migrate(&mut self, now: Duration, mut ids: Vec<AttemptId>, actions: &mut impl Actions) -> bool {
        let may_migrate = |request: &Request| {
            let in_time = seconds(request.deadline.saturating_sub(now)) > 2.0 * request.ideal_run;
            request.is_open() && in_time && self.may_retry(request, now)
        };
        ids.retain(|id| may_migrate(&self.requests[&id.request]));
        ids.truncate(self.retries_left(now) as usize);
        self.cancel(ids, actions)
    }

    /// Takes attempts back, where that is allowed, and once.
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
