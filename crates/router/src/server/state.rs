//! The phases of a server, from the start to the end of a graceful shutdown.

use std::hash::{Hash, Hasher};
use std::time::Duration;

/// The phase of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerState {
    /// No shutdown has begun.
    Serving,
    /// A graceful shutdown has begun, and open requests are finished. The process exits at `deadline` at the latest.
    Draining { deadline: Duration },
    /// The process may exit: no request was open at the last check, or the deadline had passed.
    Stopped { deadline: Duration },
}

impl ServerState {
    /// Returns the time at which the process exits at the latest; `None` before a shutdown.
    pub(super) fn deadline(self) -> Option<Duration> {
        match self {
            Self::Serving => None,
            Self::Draining { deadline } | Self::Stopped { deadline } => Some(deadline),
        }
    }

    /// Feeds the state to `hasher`, with the deadline relative to `now`.
    pub(super) fn fingerprint(self, now: Duration, hasher: &mut impl Hasher) {
        let microseconds_left = |at: Duration| at.as_micros() as i64 - now.as_micros() as i64;
        self.deadline().map(microseconds_left).hash(hasher);
        matches!(self, Self::Stopped { .. }).hash(hasher);
    }
}
