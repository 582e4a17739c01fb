//! When the sockets were polled, from which follows when something that is read now can have arrived.

use crate::clock::Clock;
use std::time::Duration;

/// What the loop is doing.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Polling,
    /// Handling what the last poll has found.
    Handling,
}

/// The times of the last poll.
pub(super) struct PollTimes {
    phase: Phase,
    /// When the last poll began.
    began_at: Duration,
    /// When the last poll ended.
    polled_at: Duration,
    /// How long events were handled between the last poll and the one before.
    handled_for: Duration,
}

impl PollTimes {
    /// The times before the first poll.
    pub fn starting(now: Duration) -> Self {
        Self { phase: Phase::Handling, began_at: now, polled_at: now, handled_for: Duration::ZERO }
    }

    /// A poll begins: the time since the last one was spent on handling its events.
    pub fn poll_begins(&mut self, clock: &Clock) {
        self.began_at = clock.now();
        self.handled_for = self.began_at.saturating_sub(self.polled_at);
        self.phase = Phase::Polling;
    }

    /// Called after a poll, and as soon as it brings a first event; only the first of these calls counts.
    pub fn poll_ended(&mut self, clock: &Clock) {
        if self.phase == Phase::Polling {
            self.phase = Phase::Handling;
            self.polled_at = clock.now();
        }
    }

    /// When the last poll began.
    pub fn began_at(&self) -> Duration {
        self.began_at
    }

    /// How long the events of the last poll have been handled for.
    pub fn handling_time(&self, clock: &Clock) -> Duration {
        clock.now().saturating_sub(self.polled_at)
    }

    /// The earliest time at which what the last poll has found can have arrived: it was not there at the poll
    /// before, and may have come while that one's events were handled. A request's deadline counts from then.
    pub fn earliest_arrival(&self) -> Duration {
        self.polled_at.saturating_sub(self.handled_for)
    }
}
