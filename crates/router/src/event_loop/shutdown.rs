//! The work on sockets during a graceful shutdown.

use super::RouterLoop;
use super::lingering::drain_input;
use crate::clients::MAX_TRANSIT_TIME;
use crate::ring::FillOutcome;
use calloop::EventLoop;
use std::net::Shutdown;

impl RouterLoop {
    /// Accepts all waiting connections and reads a line of each client, if the server is otherwise idle. Records
    /// whether there is more input, since the process must not exit while a request is unread.
    pub(super) fn read_before_shutdown(&mut self) {
        if self.server.is_idle() {
            self.accept_clients();
            let received_since = self.poll_times.earliest_arrival();
            let slots: Vec<_> = self.clients.keys().copied().collect();
            for slot in slots {
                self.read_client(slot, received_since);
            }
        }
        self.server.has_unread_input = !self.readable_clients.is_empty();
    }

    /// Closes all clients gracefully: shuts their connections down for writing and discards their input until they
    /// close, for [`MAX_TRANSIT_TIME`] at most. See [`Self::linger`] for the reason.
    pub(super) fn drain_clients(&mut self, event_loop: &mut EventLoop<'static, Self>) {
        let deadline = self.clock.now() + MAX_TRANSIT_TIME;
        // New connections would only wake the loop. If disabling the listener fails, the deadline still ends the loop.
        let _ = self.loop_handle.disable(&self.listener.token);
        self.clients.retain(|_, registered| registered.socket.shutdown(Shutdown::Write).is_ok());
        loop {
            self.clients.retain(|_, registered| drain_input(&registered.socket) != FillOutcome::Closed);
            let time_left = deadline.saturating_sub(self.clock.now());
            if self.clients.is_empty() || time_left.is_zero() {
                return;
            }
            if event_loop.dispatch(time_left, self).is_err() {
                return;
            }
        }
    }
}
