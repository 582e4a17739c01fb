//! Graceful shutdown: the server continues to serve clients for a short time, and the process exits once no request is
//! open.

use super::Server;
use super::state::ServerState;
use crate::dispatch::Dispatcher;
use crate::timers::Timer;
use std::time::Duration;

/// Time after SIGTERM during which clients may still connect and send requests. SIGKILL follows SIGTERM after the
/// longest deadline of any request class, up to [`MAX_COUNTED_DEADLINE`], plus this time.
const LATE_CLIENT_WINDOW: Duration = Duration::from_millis(700);
/// Longest deadline that counts in the time from SIGTERM to SIGKILL.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time reserved before SIGKILL for the delivery of the SIGTERM and of the last answers.
const DELIVERY_ALLOWANCE: Duration = Duration::from_millis(150);
/// Time between two checks whether the process may exit.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Server {
    /// Begins a graceful shutdown. The process may exit once no request is open, and exits shortly before SIGKILL at
    /// the latest.
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
        self.scheduler.start_shutdown(now, deadline, &mut self.dispatcher);
        self.process_events();
    }

    /// Whether a graceful shutdown has begun.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.state != ServerState::Serving
    }

    /// Whether the shutdown is complete, so that the process may exit.
    pub fn has_stopped(&self) -> bool {
        matches!(self.state, ServerState::Stopped { .. })
    }

    /// Updates whether the process may exit: no request is open, or the deadline has passed. Schedules the next check.
    pub(super) fn check_shutdown(&mut self) {
        let now = self.dispatcher.context.now();
        let is_drained = self.is_idle() && !self.has_unread_input;
        if let Some(deadline) = self.state.deadline() {
            let may_exit = is_drained || now >= deadline;
            self.state =
                if may_exit { ServerState::Stopped { deadline } } else { ServerState::Draining { deadline } };
        }
        self.dispatcher.context.timers.set(now + CHECK_INTERVAL, Timer::ShutdownCheck);
    }

    /// Whether no request is open and no output is pending. Clients may still have unread input.
    pub fn is_idle(&self) -> bool {
        let Dispatcher { requests, clients, engines, .. } = &self.dispatcher;
        requests.is_empty() && clients.all_written() && engines.all_written()
    }
}
