//! The pending timers, ordered by time.

use crate::slots::Slot;
use std::collections::BTreeSet;
use std::time::Duration;

/// The purpose of a timer, with the slot of the object that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    /// The wake-up that the scheduler has requested.
    SchedulerWakeUp,
    /// The deadline of an attempt, at which the attempt times out and is cancelled at its engine.
    AttemptDeadline(Slot),
    /// The next check of a connection to an engine: whether it is established, still answers, or needs a health check.
    ConnectionCheck(Slot),
    /// The time by which an engine's reply that has begun to arrive on a connection must be complete.
    ReplyTimeout(Slot),
    /// The idle timeout of a connection to an engine.
    ConnectionIdleTimeout(Slot),
    /// The next dial of the discovery service. Each frame that is received postpones it.
    DiscoveryRedial,
    /// The next check whether a client is idle for too long.
    ClientIdleCheck(Slot),
    /// The end of a pause in accepting connections.
    ResumeAccepting,
    /// The next check whether the process may exit, during a graceful shutdown.
    ShutdownCheck,
    /// The next retry of a reload that failed.
    ReloadRetry,
    /// The time at which the lingering close of a client's connection ends at the latest.
    LingerTimeout(Slot),
    /// The time at which the admission queue is examined again, for a deadline, a notice or free capacity.
    AdmissionCheck,
    /// The next dial of a connection to an engine, after a local failure.
    EngineRedial(Slot),
    /// The time from which an attempt's call must not be written, if that is before the attempt's deadline.
    CallExpiry(Slot),
}

/// The pending timers. The same timer may be pending at several times.
#[derive(Clone, Default)]
pub struct Timers {
    ordered: BTreeSet<(Duration, Timer)>,
}

impl Timers {
    /// Adds a timer that expires at `at`.
    pub fn set(&mut self, at: Duration, timer: Timer) {
        self.ordered.insert((at, timer));
    }

    /// Removes the timer that was set to expire at `at`. Has no effect if there is none.
    pub fn clear(&mut self, at: Duration, timer: Timer) {
        self.ordered.remove(&(at, timer));
    }

    /// Returns the number of pending timers.
    pub fn len(&self) -> usize {
        self.ordered.len()
    }

    /// Whether no timer is pending.
    pub fn is_empty(&self) -> bool {
        self.ordered.is_empty()
    }

    /// Returns all pending timers, the next to expire first.
    pub fn iter(&self) -> impl Iterator<Item = (Duration, Timer)> {
        self.ordered.iter().copied()
    }

    /// Returns the time at which the next timer expires; `None` if no timer is pending.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.ordered.first().map(|(at, _)| *at)
    }

    /// Removes and returns the next timer if it has expired at `now`.
    pub fn pop(&mut self, now: Duration) -> Option<Timer> {
        let (at, timer) = *self.ordered.first()?;
        if at > now {
            return None;
        }
        self.ordered.remove(&(at, timer));
        Some(timer)
    }
}
