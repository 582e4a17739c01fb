//! Graceful shutdown: clients are served on for a while, and the process ends once nothing is open.

use super::Server;
use crate::dispatch::Dispatcher;
use crate::timers::Timer;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// For so long after SIGTERM clients still connect and send requests. SIGKILL comes as long after the longest
/// deadline, of which no more than [`MAX_COUNTED_DEADLINE`] counts.
const LATE_CLIENT_WINDOW: Duration = Duration::from_millis(700);
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// What the signal's and the last answers' delivery may take.
const DELIVERY_ALLOWANCE: Duration = Duration::from_millis(150);
/// How often it is checked whether anything is still open.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Where a server stands between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerState {
    Serving,
    /// Finishing what is open, until `deadline` at the latest.
    Draining {
        deadline: Duration,
    },
    /// Nothing was open at the last check, or the deadline had passed.
    Stopped {
        deadline: Duration,
    },
}

impl ServerState {
    fn deadline(self) -> Option<Duration> {
        match self {
            Self::Serving => None,
            Self::Draining { deadline } | Self::Stopped { deadline } => Some(deadline),
        }
    }

    pub(super) fn fingerprint(self, now: Duration, hasher: &mut impl Hasher) {
        let until = |at: Duration| at.as_micros() as i64 - now.as_micros() as i64;
        self.deadline().map(until).hash(hasher);
        matches!(self, Self::Stopped { .. }).hash(hasher);
    }
}

impl Server {
    /// Begins a graceful shutdown, on SIGTERM: the process ends once nothing is open, or shortly before SIGKILL.
    pub fn begin_shutdown(&mut self) {
        if self.is_shutting_down() {
            return;
        }
        let context = &mut self.dispatcher.context;
        let now = context.now();
        let longest_deadline = self.longest_deadline.min(MAX_COUNTED_DEADLINE);
        let deadline = now + longest_deadline + LATE_CLIENT_WINDOW - DELIVERY_ALLOWANCE;
        self.state = ServerState::Draining { deadline };
        context.timers.set(now + LATE_CLIENT_WINDOW, Timer::ShutdownCheck);
        self.drain_admission_queue(now);
        self.scheduler.shutting_down(now, deadline, &mut self.dispatcher);
        self.process_events();
    }

    /// Whether a graceful shutdown has begun.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.state != ServerState::Serving
    }

    /// Whether the process may end.
    pub fn has_stopped(&self) -> bool {
        matches!(self.state, ServerState::Stopped { .. })
    }

    /// Stops once nothing is open or the deadline has passed, else checks again a little later.
    pub(super) fn check_shutdown(&mut self) {
        let now = self.dispatcher.context.now();
        let is_drained = self.is_idle() && !self.has_unread_input;
        if let Some(deadline) = self.state.deadline() {
            let stops = is_drained || now >= deadline;
            self.state =
                if stops { ServerState::Stopped { deadline } } else { ServerState::Draining { deadline } };
        }
        self.dispatcher.context.timers.set(now + CHECK_INTERVAL, Timer::ShutdownCheck);
    }

    /// Whether no request is open and everything written has been sent, as far as clients' input was read.
    pub fn is_idle(&self) -> bool {
        let Dispatcher { requests, clients, engines, .. } = &self.dispatcher;
        requests.is_empty() && clients.all_sent() && engines.all_written()
    }
}
