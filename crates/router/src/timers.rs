//! The pending timers, ordered by time.

use crate::slots::Slot;
use std::collections::BTreeSet;
use std::time::Duration;

/// The purposes of timers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    /// The scheduler's wake-up.
    Wake,
    /// The deadline of an attempt.
    Attempt(Slot),
    /// The check of a connection to an engine: connect timeout or health check.
    Connection(Slot),
    /// The time by which an engine's answer that has begun to arrive must be complete.
    AnswerComplete(Slot),
    /// The idle timeout of a connection to an engine.
    ConnectionIdle(Slot),
    /// The next dial of the discovery service, postponed by each frame that is received.
    Discovery,
    /// The idle check of a client.
    Client(Slot),
    /// The end of a pause in accepting connections.
    ResumeAccepting,
    /// The check whether the process may exit, during a graceful shutdown.
    ShutdownCheck,
    /// The next attempt of a reload that failed.
    Reload,
    /// The end of the lingering close of a client's connection.
    Linger(Slot),
    /// The next deadline in the admission queue.
    AdmissionQueue,
    /// The next dial of a connection to an engine, after a local failure.
    Redial(Slot),
}

/// The pending timers. The same timer may be pending at several times.
#[derive(Clone, Default)]
pub struct Timers {
    ordered: BTreeSet<(Duration, Timer)>,
}

impl Timers {
    /// Sets a timer to expire at `at`.
    pub fn set(&mut self, at: Duration, timer: Timer) {
        self.ordered.insert((at, timer));
    }

    /// Removes a timer that was set to expire at `at`.
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

    /// Returns the time at which the next timer expires.
    pub fn first(&self) -> Option<Duration> {
        self.ordered.first().map(|(at, _)| *at)
    }

    /// Removes and returns the next timer if it has expired.
    pub fn pop(&mut self, now: Duration) -> Option<Timer> {
        let (at, timer) = *self.ordered.first()?;
        if at > now {
            return None;
        }
        self.ordered.remove(&(at, timer));
        Some(timer)
    }
}
