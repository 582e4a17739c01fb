//! The end of a graceful shutdown.

use super::RouterLoop;
use super::lingering::drain_input;
use crate::clients::CROSSING;
use crate::ring::Filled;
use calloop::EventLoop;
use std::net::Shutdown;

impl RouterLoop {
    /// Before the process may end: reads what clients have sent, those included that still wait to be accepted.
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

    /// Closes all clients for writing and drains what is still on its way from them: see [`Self::linger`].
    pub(super) fn drain_clients(&mut self, event_loop: &mut EventLoop<'static, Self>) {
        let end = self.clock.now() + CROSSING;
        // Connections that still arrive are not waited for.
        let _ = self.loop_handle.disable(&self.listener.token);
        self.clients.retain(|_, registered| registered.socket.shutdown(Shutdown::Write).is_ok());
        loop {
            self.clients.retain(|_, registered| drain_input(&registered.socket) != Filled::Closed);
            let time_left = end.saturating_sub(self.clock.now());
            if self.clients.is_empty() || time_left.is_zero() {
                return;
            }
            if event_loop.dispatch(time_left, self).is_err() {
                return;
            }
        }
    }
}
