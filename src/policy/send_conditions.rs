//! Conditions of an attempt that is decided on and not written yet: which of them no longer hold.

use crate::state::{Attempt, Engine, Request, SchedulerState};
use crate::{EngineId, RequestId, SendCondition};
use std::time::Duration;

/// Time after the decision, in ticks, within which an attempt counts as written at the decision.
const IMMEDIATE_WRITE_TICKS: u32 = 1;
/// Relative tolerance for the rounding of sums of work, which depend on the order of the summands.
const ROUNDING_TOLERANCE: f64 = 1e-9;

impl SchedulerState {
    /// Returns the condition that no longer holds for an attempt in flight that is about to be written at `now`. Returns
    /// `None` if all hold, or if the attempt is unknown. The times in [`SendLimits`](crate::SendLimits) are not checked.
    pub fn lapsed_condition(&self, now: Duration, id: RequestId, attempt: usize) -> Option<SendCondition> {
        let request = self.requests.get(&id)?;
        let sent = request.attempts.get(attempt).filter(|sent| sent.outcome.is_none())?;
        let engine = self.engines.get(&sent.engine)?;
        if !self.is_allowed(request, engine) {
            return Some(SendCondition::Placement);
        }
        if !self.is_delayed(now, sent.sent_at) {
            return None;
        }
        let is_retry = attempt > 0;
        if is_retry && self.retries_left(now) < 0.0 {
            return Some(SendCondition::RetryBudget);
        }
        let fits = self.still_fits_slow_start(now, request, sent, engine);
        (!fits).then_some(SendCondition::SlowStart)
    }

    /// Returns whether an attempt that is written now was decided on so long ago, at `sent_at`, that the two times differ
    /// for the limits over time windows.
    fn is_delayed(&self, now: Duration, sent_at: Duration) -> bool {
        now > sent_at + self.fleet.tick * IMMEDIATE_WRITE_TICKS
    }

    /// Returns whether a delayed attempt fits into the slow-start budget of its engine if it is written now. The work of
    /// attempts that were decided on and not written yet counts at the time of their decision.
    fn still_fits_slow_start(
        &self,
        now: Duration,
        request: &Request,
        sent: &Attempt,
        engine: &Engine,
    ) -> bool {
        let share = self.slow_start_share(self.fleet_share());
        let work = self.slow_start_work(request.class);
        let Some(limit) = self.slow_start_limit(engine, work, now, share) else { return true };
        let window_start = now.saturating_sub(limit.window);
        // An attempt that was decided on within the window is part of the sum already.
        let uncounted_work = if sent.sent_at >= window_start { 0.0 } else { work };
        let all_work = engine.sent_work.since(window_start).sum::<f64>() + uncounted_work;
        all_work <= limit.max_work * (1.0 + ROUNDING_TOLERANCE)
    }

    /// Records when an attempt was written. The windows of the limits, which count from the writing, move with a delayed
    /// attempt.
    pub fn record_written(&mut self, now: Duration, id: RequestId, attempt: usize) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = request.class;
        let Some(sent) = request.attempts.get_mut(attempt) else { return };
        sent.written_at = Some(now);
        let (sent_at, to) = (sent.sent_at, sent.engine);
        if !self.is_delayed(now, sent_at) {
            return;
        }
        if attempt > 0 && self.remove_retry(sent_at) {
            self.retried_at.push_back(now);
        }
        self.move_sent_work(to, class, sent_at, now);
    }

    /// Moves the work of a delayed attempt at an engine to the time at which the attempt was written.
    fn move_sent_work(&mut self, id: EngineId, class: usize, sent_at: Duration, now: Duration) {
        let usual_work = self.usual_work(class);
        let Some(engine) = self.engines.get_mut(&id) else { return };
        let work = engine.sent_work.remove(sent_at).unwrap_or(usual_work);
        engine.sent_work.push(now, work);
    }

    /// Removes an attempt that was not written completely from the limits over time windows: it has used no part of them.
    pub fn forget_unwritten(&mut self, sent: &Attempt, is_retry: bool) {
        let begun_late = sent.written_at.filter(|at| self.is_delayed(*at, sent.sent_at));
        let counted_at = begun_late.unwrap_or(sent.sent_at);
        if is_retry {
            self.remove_retry(counted_at);
        }
        if let Some(engine) = self.engines.get_mut(&sent.engine) {
            engine.sent_work.remove(counted_at);
        }
    }

    /// Removes a retry that counts from `at` from the retry budget. Returns whether there was one.
    fn remove_retry(&mut self, at: Duration) -> bool {
        let position = self.retried_at.iter().rposition(|retried| *retried == at);
        position.and_then(|position| self.retried_at.remove(position)).is_some()
    }
}
