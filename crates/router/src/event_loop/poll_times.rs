//! The times of the last polls. They bound the time at which input that is read now can have arrived.

use crate::clock::Clock;
use std::time::Duration;

/// The phases of an iteration of the event loop.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Waiting for events.
    Polling,
    /// Handling the events of the last poll.
    Handling,
}

/// The times of the last two polls, on the router's clock.
pub(super) struct PollTimes {
    phase: Phase,
    /// The start of the last poll.
    began_at: Duration,
    /// The end of the last poll.
    ended_at: Duration,
    /// Time from the end of the second-to-last poll to the start of the last one.
    previous_handling_time: Duration,
}

impl PollTimes {
    /// Returns the initial times, before the first poll.
    pub fn before_first_poll(now: Duration) -> Self {
        Self { phase: Phase::Handling, began_at: now, ended_at: now, previous_handling_time: Duration::ZERO }
    }

    /// Records the start of a poll.
    pub fn poll_begins(&mut self, clock: &Clock) {
        self.began_at = clock.now();
        self.previous_handling_time = self.began_at.saturating_sub(self.ended_at);
        self.phase = Phase::Polling;
    }

    /// Records the end of a poll. Callbacks of events call it as well, since they run before the poll returns; only
    /// the first call after [`Self::poll_begins`] has an effect.
    pub fn poll_ended(&mut self, clock: &Clock) {
        if self.phase == Phase::Polling {
            self.phase = Phase::Handling;
            self.ended_at = clock.now();
        }
    }

    /// Returns the start of the last poll.
    pub fn began_at(&self) -> Duration {
        self.began_at
    }

    /// Returns the time since the last poll ended, in which its events were handled.
    pub fn handling_time(&self, clock: &Clock) -> Duration {
        clock.now().saturating_sub(self.ended_at)
    }

    /// Returns the earliest time at which input that the last poll found can have arrived. The previous poll did not
    /// find the input, so it may have arrived while the events of that poll were handled. Deadlines count from this
    /// time.
    pub fn earliest_arrival(&self) -> Duration {
        self.ended_at.saturating_sub(self.previous_handling_time)
    }
}
