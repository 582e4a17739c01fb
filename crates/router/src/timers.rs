//! The pending timers, ordered by time.

use crate::slots::Slot;
use std::collections::BTreeSet;
use std::time::Duration;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    /// The scheduler asked to be woken.
    Wake,
    /// An attempt's time is up.
    Attempt(Slot),
    /// A connection to an engine must be established, or have shown that it works.
    Connection(Slot),
    /// An engine's answer that has begun to arrive must be complete.
    AnswerComplete(Slot),
    /// A connection to an engine was idle for long.
    ConnectionIdle(Slot),
    /// The discovery service is dialled anew unless it has sent something.
    Discovery,
    /// A client must have sent something, or wait for an answer.
    Client(Slot),
    /// New connections are accepted again.
    ResumeAccepting,
    /// During a graceful shutdown, it is checked whether the process may end.
    ShutdownCheck,
    /// A configuration that could not be read is read again.
    Reload,
    /// A connection that was closed to a client is drained no longer.
    Linger(Slot),
    /// Something is due in the admission queue.
    AdmissionQueue,
    /// A connection to an engine is dialled again, after a local failure.
    Redial(Slot),
}

/// The pending timers. The same timer may be pending at several times.
#[derive(Clone, Default)]
pub struct Timers {
    ordered: BTreeSet<(Duration, Timer)>,
}

impl Timers {
    /// Sets a timer to expire at a time.
    pub fn set(&mut self, at: Duration, timer: Timer) {
        self.ordered.insert((at, timer));
    }

    /// Removes a timer that was set to expire at a time.
    pub fn clear(&mut self, at: Duration, timer: Timer) {
        self.ordered.remove(&(at, timer));
    }

    /// How many timers are pending.
    pub fn len(&self) -> usize {
        self.ordered.len()
    }

    /// Whether no timer is pending.
    pub fn is_empty(&self) -> bool {
        self.ordered.is_empty()
    }

    /// All pending timers, the next to expire first.
    pub fn iter(&self) -> impl Iterator<Item = (Duration, Timer)> {
        self.ordered.iter().copied()
    }

    /// When the next timer expires.
    pub fn first(&self) -> Option<Duration> {
        self.ordered.first().map(|(at, _)| *at)
    }

    /// Takes out the next timer if it has expired.
    pub fn pop(&mut self, now: Duration) -> Option<Timer> {
        let (at, timer) = *self.ordered.first()?;
        if at > now {
            return None;
        }
        self.ordered.remove(&(at, timer));
        Some(timer)
    }
}
