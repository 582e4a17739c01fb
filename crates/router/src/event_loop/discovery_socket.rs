//! Dials and reads the connection to the discovery service.

use super::RouterLoop;
use crate::discovery::MAX_FRAME_BYTES;
use crate::error::DiscoveryError;
use crate::ring::FillOutcome;
use crate::server::Server;
use crate::sockets::RegisteredSocket;
use crate::timers::Timer;
use std::io::Write;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Time without a frame after which a new connection is dialled. The service sends at least a heartbeat each second.
const INACTIVITY_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time from a failure of the connection to the next dial.
const REDIAL_DELAY: Duration = Duration::from_millis(200);
/// Time within which a dialled connection must be established. An event must take effect within 4 s, so there must be
/// time left for a second dial.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of buffered bytes, which holds a complete frame and an incomplete one.
const MAX_BUFFERED_BYTES: usize = 2 * MAX_FRAME_BYTES;

impl RouterLoop {
    /// Replaces the connection by a new one. Events that have arrived on the old connection are applied first.
    pub(super) fn dial_discovery(&mut self) {
        if let Err(error) = self.read_discovery() {
            log::debug!("discovery connection failed before it was replaced: error={:?}", error.to_string());
        }
        self.server.discovery = self.server.discovery.for_new_connection();
        self.server.context().counters.count("discovery_dialled");
        self.discovery = None;
        let address = self.server.dispatcher.config.discovery_address;
        let record_readiness = |router_loop: &mut Self| router_loop.discovery_is_ready = true;
        match RegisteredSocket::dial(&self.loop_handle, address, record_readiness) {
            Ok(registered) => {
                self.discovery = Some(registered);
                self.redial_discovery_after(CONNECT_TIMEOUT);
            }
            Err(_) => self.redial_discovery_after(REDIAL_DELAY),
        }
    }

    /// Dials again, unless the connection has unread frames: the timer may have expired only because the router was
    /// late.
    pub(super) fn discovery_timer_expired(&mut self) {
        self.discovery_ready();
        if self.server.discovery.redial_at <= self.server.dispatcher.context.now() {
            self.dial_discovery();
        }
    }

    /// Schedules the next dial of the service after `delay`, in place of the dial that was scheduled before.
    fn redial_discovery_after(&mut self, delay: Duration) {
        let Server { discovery, dispatcher, .. } = &mut self.server;
        let context = &mut dispatcher.context;
        context.timers.clear(discovery.redial_at, Timer::DiscoveryRedial);
        discovery.redial_at = context.now() + delay;
        context.timers.set(discovery.redial_at, Timer::DiscoveryRedial);
    }

    /// Handles readiness of the connection's socket: reads the socket, or schedules a new dial if the connection has
    /// failed.
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

    /// Sends the subscription once the connection is established, and applies all events that have arrived.
    fn read_discovery(&mut self) -> Result<(), DiscoveryError> {
        loop {
            let Some(registered) = &self.discovery else { return Ok(()) };
            let socket = Rc::clone(&registered.socket);
            if !self.server.discovery.subscribed {
                if !registered.is_established().map_err(DiscoveryError::Connect)? {
                    return Ok(());
                }
                self.subscribe(&socket)?;
            }
            let input = &mut self.server.discovery.input;
            let filled = input.fill(&mut &*socket, MAX_BUFFERED_BYTES).map_err(DiscoveryError::Read)?;
            if self.server.receive_endpoint_events()? {
                self.redial_discovery_after(INACTIVITY_TIMEOUT);
            }
            match filled {
                FillOutcome::Closed => return Err(DiscoveryError::Closed),
                FillOutcome::WouldBlock => return Ok(()),
                FillOutcome::LimitReached => {}
            }
        }
    }

    /// Sends the number of the last event, after which the service resumes.
    fn subscribe(&mut self, mut socket: &TcpStream) -> Result<(), DiscoveryError> {
        let last_event = self.server.discovery.last_event.to_be_bytes();
        socket.write_all(&last_event).map_err(DiscoveryError::Subscribe)?;
        self.server.discovery.subscribed = true;
        self.redial_discovery_after(INACTIVITY_TIMEOUT);
        Ok(())
    }
}
