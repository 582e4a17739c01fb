//! Dials, reads, writes and closes connections to engines.

use super::RouterLoop;
use crate::dispatch::Dispatcher;
use crate::engine_pool::{PoolCommand, Reachability};
use crate::slots::Slot;
use crate::sockets::RegisteredSocket;
use crate::timers::Timer;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Time from a dial that failed for a local cause to the next one.
const REDIAL_DELAY: Duration = Duration::from_millis(20);

/// Errors of a dial whose cause is temporary and on this machine, such as a lack of ports, descriptors or memory.
const LOCAL_DIAL_ERRORS: [libc::c_int; 9] = [
    libc::EADDRNOTAVAIL,
    libc::EADDRINUSE,
    libc::EAGAIN,
    libc::EINTR,
    libc::EMFILE,
    libc::ENETUNREACH,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
];

/// Whether a dial failed for a local cause, so that the engine may be reachable.
fn has_local_cause(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| LOCAL_DIAL_ERRORS.contains(&code))
}

impl RouterLoop {
    /// Carries out a command of the engine pool: dials or closes a connection.
    pub(super) fn apply_command(&mut self, command: PoolCommand) {
        match command {
            PoolCommand::Close(slot) => {
                self.redials.remove(&slot);
                drop(self.connections.remove(&slot));
            }
            PoolCommand::Dial(slot, address) => self.dial_engine(slot, address),
        }
    }

    fn dial_engine(&mut self, slot: Slot, address: SocketAddr) {
        let record_readiness = move |router_loop: &mut Self| {
            router_loop.readable_connections.insert(slot);
        };
        match RegisteredSocket::dial(&self.loop_handle, address, record_readiness) {
            Ok(registered) => drop(self.connections.insert(slot, registered)),
            Err(error) if has_local_cause(&error) => self.schedule_redial(slot, address),
            Err(error) => {
                log::info!("dialling an engine failed: address={address} error={error:?}");
                let Dispatcher { engines, context, .. } = &mut self.server.dispatcher;
                engines.dial_failed(slot, Reachability::Unreachable, &error.to_string(), context);
            }
        }
    }

    /// Schedules another dial of a connection whose dial failed for a local cause.
    fn schedule_redial(&mut self, slot: Slot, address: SocketAddr) {
        let context = self.server.context();
        context.counters.count("dials_failed_locally");
        context.timers.set(context.now() + REDIAL_DELAY, Timer::EngineRedial(slot));
        self.redials.insert(slot, address);
    }

    /// Repeats a dial that failed for a local cause, unless the connection was closed meanwhile. The connect timeout
    /// still counts from the first dial.
    pub(super) fn redial_engine(&mut self, slot: Slot) {
        if let Some(address) = self.redials.remove(&slot) {
            self.dial_engine(slot, address);
        }
    }

    /// Handles readiness of a connection's socket: completes or fails a dial, then writes and reads.
    pub(super) fn connection_ready(&mut self, slot: Slot) {
        self.update_time();
        let Some(registered) = self.connections.get(&slot) else { return };
        let Dispatcher { engines, context, .. } = &mut self.server.dispatcher;
        if engines.is_established(slot) == Some(false) {
            match registered.is_established() {
                Ok(false) => return,
                Ok(true) => engines.connection_established(slot, context),
                Err(error) => {
                    let reachability = Reachability::of_dial_error(&error);
                    engines.dial_failed(slot, reachability, &error.to_string(), context);
                    return self.apply_changes();
                }
            }
        }
        self.flush_connection(slot);
        self.read_connection(slot);
        self.apply_changes();
    }

    /// Scans the clients whose calls are written next. A client may have disconnected or cancelled its request since
    /// the scheduler decided on the call. Even after a slow iteration, no call must be sent for such a client.
    fn scan_clients_of_unwritten_calls(&mut self, connection: Slot) {
        let dispatcher = &self.server.dispatcher;
        let requests = dispatcher.engines.requests_of_unwritten_calls(connection);
        if requests.is_empty() {
            return;
        }
        let mut clients = Vec::new();
        for request in requests {
            clients.extend(dispatcher.requests.get(request).map(|request| request.client));
        }
        self.update_time();
        self.scan(&clients);
        let received_since = self.poll_times.earliest_arrival();
        for client in clients {
            self.readable_clients.add(client, received_since);
        }
    }

    /// Writes the pending output of a connection; closes the connection if that fails.
    pub(super) fn flush_connection(&mut self, slot: Slot) {
        self.server.end_lapsed_attempts(slot);
        self.scan_clients_of_unwritten_calls(slot);
        let Some(registered) = self.connections.get(&slot) else { return };
        let Dispatcher { engines, context, .. } = &mut self.server.dispatcher;
        if let Err(error) = engines.flush(slot, &mut &*registered.socket, context) {
            // The engine may have sent answers before it closed the connection.
            engines.read(slot, &mut &*registered.socket, context);
            engines.close_connection(slot, &error.to_string(), Reachability::Reachable, context);
        }
    }

    /// Reads a limited part of a connection's input. If there is more, the next iteration continues.
    pub(super) fn read_connection(&mut self, slot: Slot) {
        let Some(registered) = self.connections.get(&slot) else { return };
        let Dispatcher { engines, context, .. } = &mut self.server.dispatcher;
        let has_more = engines.read(slot, &mut &*registered.socket, context);
        if has_more {
            self.readable_connections.insert(slot);
        }
    }
}
