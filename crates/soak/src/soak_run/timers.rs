//! The timers of a run.

use crate::engines::EngineTimer;
use crate::faults::Fault;
use std::collections::BTreeMap;
use std::time::Duration;

/// The action of the event loop when a timer expires. `router` and `engines` are indices.
pub enum Timer {
    SendRequest {
        router: usize,
    },
    CancelRequest {
        request_id: String,
    },
    CloseConnection {
        request_id: String,
    },
    Engine(EngineTimer),
    InjectFault(Fault),
    EndEngineFault {
        engines: Vec<usize>,
    },
    ResumeAccepting {
        engines: Vec<usize>,
    },
    StopDrainedEngines {
        engines: Vec<usize>,
    },
    RestartEngines {
        engines: Vec<usize>,
    },
    EndDiscoveryFault,
    KillTerminatedRouter {
        router: usize,
    },
    StartRouter {
        router: usize,
    },
    ContinueRouter {
        router: usize,
        stopped_at: Duration,
    },
    /// Sends the heartbeats of discovery, and closes idle connections of clients.
    Heartbeat,
    /// Sends a status request to each router that is starting.
    RequestStatus,
    /// Measures how late the event loop is.
    Tick,
    SampleUsage,
}

/// A timer that has expired.
pub struct DueTimer {
    pub due_at: Duration,
    pub timer: Timer,
}

/// Timers in the order of their due times. Timers with the same due time expire in the order in which they were set.
#[derive(Default)]
pub struct TimerQueue {
    timers: BTreeMap<(Duration, u64), Timer>,
    /// Number of timers that were set; orders timers with the same due time.
    set_count: u64,
}

impl TimerQueue {
    /// Sets a timer that is due at `at`.
    pub fn set(&mut self, at: Duration, timer: Timer) {
        self.set_count += 1;
        self.timers.insert((at, self.set_count), timer);
    }

    /// Returns when the next timer is due.
    pub fn next_due(&self) -> Option<Duration> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the first timer, if it is due at `now`.
    pub fn pop_due(&mut self, now: Duration) -> Option<DueTimer> {
        let entry = self.timers.first_entry()?;
        let (due_at, _) = *entry.key();
        (due_at <= now).then(|| DueTimer { due_at, timer: entry.remove() })
    }
}
