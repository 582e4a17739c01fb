//! Accepts clients' connections.

use super::RouterLoop;
use super::listener::AcceptFailure;
use crate::clients::MAX_TRANSIT_TIME;
use crate::dispatch::Dispatcher;
use crate::final_checks::CloseReason;
use crate::slots::Slot;
use crate::sockets::RegisteredSocket;
use crate::timers::Timer;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Whether the router tries to accept another connection in this iteration.
enum AcceptProgress {
    /// More connections may wait.
    MayHaveMore,
    /// No connection waits, or accepting is paused.
    Finished,
}

impl RouterLoop {
    /// Accepts all waiting connections. At the limit of clients, each new connection replaces the client that was
    /// idle longest. If no client is idle, accepting pauses, and connections wait in the kernel's backlog.
    pub(super) fn accept_clients(&mut self) {
        let listener = Rc::clone(&self.listener.socket);
        while let AcceptProgress::MayHaveMore = self.accept_client(&listener) {}
    }

    fn accept_client(&mut self, listener: &TcpListener) -> AcceptProgress {
        self.update_time();
        let idle_client = if self.is_at_client_limit() { self.longest_idle_client() } else { None };
        if idle_client.is_none() && self.is_at_client_limit() {
            self.pause_accepting();
            return AcceptProgress::Finished;
        }
        match listener.accept() {
            Ok((socket, address)) => {
                if let Some(slot) = idle_client.filter(|_| self.is_at_client_limit()) {
                    self.close_for_capacity(slot);
                }
                self.register_client(socket, address);
                AcceptProgress::MayHaveMore
            }
            Err(error) => self.accept_failed(&error, idle_client),
        }
    }

    /// Handles the error of a failed accept. If the process has no descriptor left, closes an idle client to free one.
    /// Pauses accepting if no client is idle, or if the machine lacks resources.
    fn accept_failed(&mut self, error: &io::Error, idle_client: Option<Slot>) -> AcceptProgress {
        let failure = AcceptFailure::of(error);
        match failure {
            AcceptFailure::NoConnection => return AcceptProgress::Finished,
            AcceptFailure::ConnectionFailed => return AcceptProgress::MayHaveMore,
            AcceptFailure::OutOfDescriptors | AcceptFailure::OutOfResources => {}
        }
        self.server.context().counters.count("accepts_failed");
        log::warn!("accepting a client's connection failed: error={error:?}");
        let replaced_client = match failure {
            AcceptFailure::OutOfDescriptors => idle_client.or_else(|| self.longest_idle_client()),
            // If the machine lacks resources, closing one client of this process does not free enough of them.
            _ => None,
        };
        match replaced_client {
            Some(slot) => {
                self.close_for_capacity(slot);
                AcceptProgress::MayHaveMore
            }
            None => {
                self.pause_accepting();
                AcceptProgress::Finished
            }
        }
    }

    fn register_client(&mut self, socket: TcpStream, address: SocketAddr) {
        let next_slot = self.server.dispatcher.clients.table.next_slot();
        let record_readiness = move |router_loop: &mut Self| router_loop.client_became_ready(next_slot);
        match RegisteredSocket::register(&self.loop_handle, socket, record_readiness) {
            Ok(registered) => {
                let slot = self.server.accept_client();
                log::debug!("client accepted: client={slot:?} address={address}");
                self.clients.insert(slot, registered);
                self.client_became_ready(slot);
            }
            Err(error) => {
                self.server.context().counters.count("clients_not_admitted");
                log::warn!("registering a client's socket failed: address={address} error={error:?}");
            }
        }
    }

    fn is_at_client_limit(&self) -> bool {
        let Dispatcher { clients, config, .. } = &self.server.dispatcher;
        clients.table.len() >= config.max_clients()
    }

    /// Returns the client that was idle longest. Its input is read first, since a connection with an unread request
    /// must not be closed.
    fn longest_idle_client(&mut self) -> Option<Slot> {
        loop {
            let now = self.server.context().now();
            let slot = self.server.dispatcher.clients.longest_idle(now)?;
            self.read_client(slot, self.poll_times.earliest_arrival());
            if self.server.dispatcher.clients.longest_idle(now) == Some(slot) {
                return Some(slot);
            }
        }
    }

    /// Closes an idle client, so that a new connection can be accepted.
    fn close_for_capacity(&mut self, slot: Slot) {
        self.server.context().counters.count("clients_closed_for_capacity");
        self.server.close_client(slot, CloseReason::ReplacedWhileIdle);
        self.apply_changes();
    }

    /// Stops polling the listening socket, and schedules the end of the pause.
    fn pause_accepting(&mut self) {
        let context = self.server.context();
        context.counters.count("accepts_paused");
        // A client does not count as idle within this time after its last activity, so one may be idle after the pause.
        context.timers.set(context.now() + MAX_TRANSIT_TIME, Timer::ResumeAccepting);
        if let Err(error) = self.loop_handle.disable(&self.listener.token) {
            log::warn!("disabling the listening socket for a pause failed: error={error:?}");
        }
    }

    /// Accepts connections again after a pause.
    pub(super) fn resume_accepting(&mut self) {
        if let Err(error) = self.loop_handle.enable(&self.listener.token) {
            log::error!("enabling the listening socket after a pause failed: error={error:?}");
            self.server.context().counters.check_invariant(false, "accepting_not_resumed");
        }
    }
}
