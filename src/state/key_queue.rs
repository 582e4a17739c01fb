//! The requests of one ordering key, and the cooldown of the key.

use crate::RequestId;
use std::collections::VecDeque;
use std::time::Duration;

/// The unfinished requests of one key, in the order of arrival.
#[derive(Clone, Default)]
pub struct KeyQueue {
    pub requests: VecDeque<RequestId>,
    pub cooldown: Option<Cooldown>,
}

/// A period in which a key's requests wait, because an attempt of one of them has ended but may still run.
#[derive(Clone, Copy)]
pub struct Cooldown {
    /// The request of that attempt, which alone may be sent during the cooldown.
    pub exempt_request: RequestId,
    pub until: Duration,
}

impl KeyQueue {
    /// Returns whether a cooldown is in progress.
    pub fn is_cooling_down(&self, now: Duration) -> bool {
        self.cooldown.is_some_and(|cooldown| cooldown.until > now)
    }
}
