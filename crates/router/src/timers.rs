//! All that falls due at a time, in one ordered structure.

use crate::slots::Slot;
use std::collections::BTreeSet;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    /// The decisions asked to be woken.
    Wake,
    /// An attempt is abandoned.
    Attempt(Slot),
    /// A connection to an engine must have come up, or have shown that it works.
    Connection(Slot),
    /// An answer that has begun must have come whole.
    Whole(Slot),
    /// A connection to an engine has carried nothing for long.
    Idle(Slot),
    /// The discovery service must have sent something, or is dialled again.
    Discovery,
    /// A client must have said something, or be in use.
    Client(Slot),
    /// New connections are accepted again.
    Admit,
    /// A planned restart may end.
    Leave,
    /// A configuration that could not be read is read again.
    Reload,
    /// A connection that was closed to a client is read no longer.
    Part(Slot),
    /// Something changes among the requests that wait for their team's turn.
    AdmissionQueue,
}

#[derive(Clone, Default)]
pub struct Timers {
    ordered: BTreeSet<(Duration, Timer)>,
}

impl Timers {
    pub fn set(&mut self, at: Duration, due: Timer) {
        self.ordered.insert((at, due));
    }

    pub fn clear(&mut self, at: Duration, due: Timer) {
        self.ordered.remove(&(at, due));
    }

    pub fn len(&self) -> usize {
        self.ordered.len()
    }

    pub fn is_empty(&self) -> bool {
        self.ordered.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = (Duration, Timer)> {
        self.ordered.iter().copied()
    }

    pub fn first(&self) -> Option<Duration> {
        self.ordered.first().map(|(at, _)| *at)
    }

    pub fn pop(&mut self, now: Duration) -> Option<Timer> {
        let (at, due) = *self.ordered.first()?;
        (at <= now && self.ordered.remove(&(at, due))).then_some(due)
    }
}
