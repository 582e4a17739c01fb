//! The connection to the discovery service.

use super::RouterLoop;
use crate::discovery::MAX_FRAME_BYTES;
use crate::error::DiscoveryError;
use crate::ring::Filled;
use crate::server::Server;
use crate::sockets::RegisteredSocket;
use crate::timers::Timer;
use std::io::Write;
use std::rc::Rc;
use std::time::Duration;

/// The service sends something each second: after so much silence the connection is dialled anew.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long after a failure the service is dialled again.
const REDIAL_DELAY: Duration = Duration::from_millis(200);
/// How soon a connection must be established. Events count as delivered 4 s after the service was stopped, so this
/// leaves time for another connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes buffered at once: a frame that has begun, and another.
const MAX_BUFFERED_BYTES: usize = 2 * MAX_FRAME_BYTES;

impl RouterLoop {
    /// Opens a new connection, after what the one before has brought was read.
    pub(super) fn dial_discovery(&mut self) {
        if let Err(error) = self.read_discovery() {
            log::debug!("discovery connection replaced: error={:?}", error.to_string());
        }
        self.server.discovery = self.server.discovery.for_new_connection();
        self.server.context().counters.count("discovery_dialled");
        self.discovery = None;
        let address = self.server.dispatcher.config.discovery_address;
        let note = |router_loop: &mut Self| router_loop.discovery_is_ready = true;
        match RegisteredSocket::dial(&self.loop_handle, address, note) {
            Ok(registered) => {
                self.discovery = Some(registered);
                self.redial_discovery_after(CONNECT_TIMEOUT);
            }
            Err(_) => self.redial_discovery_after(REDIAL_DELAY),
        }
    }

    /// Dials anew, unless what arrived in time stood unread: the router itself may be late.
    pub(super) fn discovery_timer_expired(&mut self) {
        self.discovery_ready();
        if self.server.discovery.redial_at <= self.server.dispatcher.context.now() {
            self.dial_discovery();
        }
    }

    /// Sets the time after which the service is dialled anew, in place of the one before.
    fn redial_discovery_after(&mut self, wait: Duration) {
        let Server { discovery, dispatcher, .. } = &mut self.server;
        let context = &mut dispatcher.context;
        context.timers.clear(discovery.redial_at, Timer::Discovery);
        discovery.redial_at = context.now() + wait;
        context.timers.set(discovery.redial_at, Timer::Discovery);
    }

    /// Handles a change on the connection's socket.
    pub(super) fn discovery_ready(&mut self) {
        self.update_time();
        if let Err(error) = self.read_discovery() {
            if self.server.discovery.subscribed {
                log::info!("discovery connection lost: error={:?}", error.to_string());
            }
            self.server.context().counters.count("discovery_lost");
            self.discovery = None;
            self.redial_discovery_after(REDIAL_DELAY);
        }
        self.apply_changes();
    }

    /// Subscribes once the connection is established, and applies all events that have arrived.
    fn read_discovery(&mut self) -> Result<(), DiscoveryError> {
        loop {
            let Some(registered) = &self.discovery else { return Ok(()) };
            let socket = Rc::clone(&registered.socket);
            if !self.server.discovery.subscribed {
                if !registered.is_established().map_err(DiscoveryError::Connect)? {
                    return Ok(());
                }
                let last_event = self.server.discovery.last_event.to_be_bytes();
                (&*socket).write_all(&last_event).map_err(DiscoveryError::Subscribe)?;
                self.server.discovery.subscribed = true;
                self.redial_discovery_after(SILENCE_TIMEOUT);
            }
            let input = &mut self.server.discovery.input;
            let filled = input.fill(&mut &*socket, MAX_BUFFERED_BYTES).map_err(DiscoveryError::Read)?;
            if self.server.receive_endpoint_events()? {
                self.redial_discovery_after(SILENCE_TIMEOUT);
            }
            match filled {
                Filled::Closed => return Err(DiscoveryError::Closed),
                Filled::Drained => return Ok(()),
                Filled::Enough => {}
            }
        }
    }
}
