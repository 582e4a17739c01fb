//! Accepting clients.

use super::RouterLoop;
use crate::clients::CROSSING;
use crate::config::RouterConfig;
use crate::error::ServeError;
use crate::gate::CloseReason;
use crate::slots::Slot;
use crate::sockets::{RegisteredSocket, listen};
use crate::timers::Timer;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// The listening socket and its place in the loop.
pub(super) struct Listener {
    /// The listening socket, which also its event source holds.
    pub socket: Rc<TcpListener>,
    /// By which the loop pauses and resumes it.
    pub token: RegistrationToken,
}

impl Listener {
    /// Listens at the configured address and has the loop note when connections wait to be accepted.
    pub fn open(
        loop_handle: &LoopHandle<'static, RouterLoop>,
        config: &RouterConfig,
    ) -> Result<Self, ServeError> {
        let address = config.listen_address;
        let listen_error = |source| ServeError::Listen { address, source };
        let socket = listen(address, config.max_descriptors).map_err(listen_error)?;
        let local_address = socket.local_addr().map_err(listen_error)?;
        log::info!("router listening: name={} address={local_address}", config.name);
        let socket = Rc::new(socket);
        let source = Generic::new(Rc::clone(&socket), Interest::READ, Mode::Level);
        let note = |_, _: &mut _, router_loop: &mut RouterLoop| {
            router_loop.listener_is_ready = true;
            Ok(PostAction::Continue)
        };
        let inserted = loop_handle.insert_source(source, note);
        let token =
            inserted.map_err(|error| ServeError::event_loop("watching the listener")(error.into()))?;
        Ok(Self { socket, token })
    }
}

/// What a failed accept means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcceptFailure {
    /// No connection waits.
    NothingWaits,
    /// The connection that waited has failed; others may wait.
    OfOneConnection,
    /// The process has no descriptor left.
    OutOfDescriptors,
    /// The machine lacks something for a moment.
    OutOfResources,
}

impl AcceptFailure {
    /// By the error; Linux passes those of the connection's own network on as well.
    fn of(error: &io::Error) -> Self {
        match error.raw_os_error() {
            Some(libc::EAGAIN) => Self::NothingWaits,
            Some(libc::EMFILE) => Self::OutOfDescriptors,
            Some(
                libc::ECONNABORTED
                | libc::EINTR
                | libc::ENETDOWN
                | libc::EPROTO
                | libc::ENOPROTOOPT
                | libc::EHOSTDOWN
                | libc::ENONET
                | libc::EHOSTUNREACH
                | libc::EOPNOTSUPP
                | libc::ENETUNREACH
                | libc::ETIMEDOUT,
            ) => Self::OfOneConnection,
            _ => Self::OutOfResources,
        }
    }
}

/// Whether there may be more connections to accept.
enum Accepting {
    Continue,
    Finished,
}

impl RouterLoop {
    /// Accepts all connections that wait. Where there is no room, the client that was idle longest is closed for
    /// it; where none is idle, accepting is paused and connections wait with the kernel.
    pub(super) fn accept_clients(&mut self) {
        let listener = Rc::clone(&self.listener.socket);
        while let Accepting::Continue = self.accept_client(&listener) {}
    }

    fn accept_client(&mut self, listener: &TcpListener) -> Accepting {
        self.update_time();
        let idle_client = if self.is_full() { self.longest_idle_client() } else { None };
        if idle_client.is_none() && self.is_full() {
            self.pause_accepting();
            return Accepting::Finished;
        }
        match listener.accept() {
            Ok((socket, address)) => {
                if let Some(slot) = idle_client.filter(|_| self.is_full()) {
                    self.close_for_capacity(slot);
                }
                self.register_client(socket, address);
                Accepting::Continue
            }
            Err(error) => self.accept_failed(&error, idle_client),
        }
    }

    fn accept_failed(&mut self, error: &io::Error, idle_client: Option<Slot>) -> Accepting {
        let failure = AcceptFailure::of(error);
        match failure {
            AcceptFailure::NothingWaits => return Accepting::Finished,
            AcceptFailure::OfOneConnection => return Accepting::Continue,
            AcceptFailure::OutOfDescriptors | AcceptFailure::OutOfResources => {}
        }
        self.server.context().counters.count("accepts_failed");
        log::warn!("accepting a connection failed: error={error:?}");
        // Another descriptor helps only where the process has run out of its own.
        let helps = failure == AcceptFailure::OutOfDescriptors;
        match idle_client.filter(|_| helps).or_else(|| helps.then(|| self.longest_idle_client()).flatten()) {
            Some(slot) => {
                self.close_for_capacity(slot);
                Accepting::Continue
            }
            None => {
                self.pause_accepting();
                Accepting::Finished
            }
        }
    }

    fn register_client(&mut self, socket: TcpStream, address: SocketAddr) {
        let slot = self.server.dispatcher.clients.table.next();
        let note = move |router_loop: &mut Self| router_loop.client_became_ready(slot);
        match RegisteredSocket::register(&self.loop_handle, socket, note) {
            Ok(registered) => {
                let slot = self.server.accept_client();
                log::debug!("client accepted: client={slot:?} address={address}");
                self.clients.insert(slot, registered);
                self.client_became_ready(slot);
            }
            Err(error) => {
                self.server.context().counters.count("clients_not_admitted");
                log::warn!("client not accepted: address={address} error={error:?}");
            }
        }
    }

    fn is_full(&self) -> bool {
        let Self { server, .. } = self;
        server.dispatcher.clients.table.len() >= server.dispatcher.config.max_clients()
    }

    /// The client that was idle longest. What has arrived from it is read first: a connection must not be closed
    /// with a request standing unread in its socket.
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

    fn close_for_capacity(&mut self, slot: Slot) {
        self.server.context().counters.count("clients_closed_for_room");
        self.server.close_client(slot, CloseReason::Idle, "idle, closed for a new client");
        self.apply_changes();
    }

    fn pause_accepting(&mut self) {
        let context = self.server.context();
        context.counters.count("accepts_paused");
        context.timers.set(context.now() + CROSSING, Timer::ResumeAccepting);
        if let Err(error) = self.loop_handle.disable(&self.listener.token) {
            log::warn!("pausing the listener failed: error={error:?}");
        }
    }

    /// Accepts connections again after a pause.
    pub(super) fn resume_accepting(&mut self) {
        if let Err(error) = self.loop_handle.enable(&self.listener.token) {
            log::error!("resuming the listener failed: error={error:?}");
            self.server.context().counters.must(false, "a_closed_door");
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/listener.rs"]
mod tests;
