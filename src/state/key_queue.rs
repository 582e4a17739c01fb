//! The requests of one key whose order counts.

use crate::RequestId;
use std::collections::VecDeque;
use std::time::Duration;

/// Requests of one key in the order of arrival.
#[derive(Clone, Default)]
pub struct KeyQueue {
    pub requests: VecDeque<RequestId>,
    pub cooldown: Option<Cooldown>,
}

/// The time in which a key's other requests wait, since an attempt of one of them may still run.
#[derive(Clone, Copy)]
pub struct Cooldown {
    /// The request of that attempt.
    pub after: RequestId,
    pub until: Duration,
}

impl KeyQueue {
    /// Whether the cooldown, if any, still lasts.
    pub fn is_cooling_down(&self, now: Duration) -> bool {
        self.cooldown.is_some_and(|cooldown| cooldown.until > now)
    }
}
