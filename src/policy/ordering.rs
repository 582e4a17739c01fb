//! Ordering: requests of one key run one at a time.

use super::*;

impl SchedulerState {
    /// Whether it is this request's turn among those of its key.
    pub fn has_turn(&self, id: RequestId, request: &Request, now: Duration) -> bool {
        let Some(key_queue) = self.key_queue(request) else { return true };
        key_queue.requests.front() == Some(&id)
            && key_queue.cooldown.is_none_or(|cooldown| cooldown.after == id || cooldown.until <= now)
    }

    /// Whether a new request would have its turn at once.
    pub fn would_have_turn(&self, request: &Request, now: Duration) -> bool {
        let key_queue = self.key_queue(request);
        key_queue.is_none_or(|queue| queue.requests.is_empty() && !queue.is_cooling_down(now))
    }

    /// Keeps a key's other requests back after an attempt that may still run.
    pub fn cool_down_key(&mut self, now: Duration, ended: &AttemptEnded) {
        use AttemptOutcome::{Broken, Cancelled, TimedOut};
        if matches!(ended.outcome, TimedOut | Broken | Cancelled) {
            self.record_cooldown(now, ended.request);
        }
    }
}
