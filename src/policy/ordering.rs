//! Ordering: requests of one ordering key run one at a time, in the order of arrival.

use crate::state::{Request, SchedulerState};
use crate::{AttemptEnded, AttemptOutcome, RequestId};
use std::time::Duration;

impl SchedulerState {
    /// Returns whether the order of its key allows a request to be sent now. Always true without a key.
    pub fn is_next_of_its_key(&self, id: RequestId, request: &Request, now: Duration) -> bool {
        let Some(key_queue) = self.key_queue(request) else { return true };
        key_queue.requests.front() == Some(&id)
            && key_queue
                .cooldown
                .is_none_or(|cooldown| cooldown.exempt_request == id || cooldown.until <= now)
    }

    /// Returns whether the order of its key would allow a new request to be sent now. Always true without a key.
    pub fn would_be_next_of_its_key(&self, request: &Request, now: Duration) -> bool {
        let key_queue = self.key_queue(request);
        key_queue.is_none_or(|queue| queue.requests.is_empty() && !queue.is_cooling_down(now))
    }

    /// Starts the cooldown of the request's key if the ended attempt may still run.
    pub fn cool_down_key(&mut self, now: Duration, ended: &AttemptEnded) {
        use AttemptOutcome::{Broken, Cancelled, TimedOut};
        if matches!(ended.outcome, TimedOut | Broken | Cancelled) {
            self.record_cooldown(now, ended.request);
        }
    }
}
