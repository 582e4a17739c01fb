//! Connections to engines.

use super::RouterLoop;
use crate::dispatch::Dispatcher;
use crate::engine_pool::{PoolCommand, Reachability};
use crate::slots::Slot;
use crate::sockets::RegisteredSocket;
use crate::timers::Timer;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// How long after a local failure a connection is dialled again.
const REDIAL_DELAY: Duration = Duration::from_millis(20);

/// Whether dialling failed for a want of this machine's, which passes and says nothing of the engine.
fn is_local(error: &io::Error) -> bool {
    const LOCAL: [libc::c_int; 9] = [
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
    error.raw_os_error().is_some_and(|code| LOCAL.contains(&code))
}

impl RouterLoop {
    /// Dials or closes a connection, as the engine pool asks.
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
        let note = move |router_loop: &mut Self| {
            router_loop.readable_connections.insert(slot);
        };
        match RegisteredSocket::dial(&self.loop_handle, address, note) {
            Ok(registered) => drop(self.connections.insert(slot, registered)),
            Err(error) if is_local(&error) => {
                let context = self.server.context();
                context.counters.count("dials_failed_locally");
                context.timers.set(context.now() + REDIAL_DELAY, Timer::Redial(slot));
                self.redials.insert(slot, address);
            }
            Err(error) => {
                log::info!("dialling an engine failed: address={address} error={error:?}");
                let dispatcher = &mut self.server.dispatcher;
                dispatcher.engines.dial_failed(
                    slot,
                    Reachability::Unreachable,
                    &error.to_string(),
                    &mut dispatcher.context,
                );
            }
        }
    }

    /// Dials a connection again that is still wanted; its time to be established runs on.
    pub(super) fn redial_engine(&mut self, slot: Slot) {
        if let Some(address) = self.redials.remove(&slot) {
            self.dial_engine(slot, address);
        }
    }

    /// Handles a change on a connection's socket: it is established or refused, can be written to or read from.
    pub(super) fn connection_ready(&mut self, slot: Slot) {
        self.update_time();
        let Some(registered) = self.connections.get(&slot) else { return };
        let dispatcher = &mut self.server.dispatcher;
        if dispatcher.engines.is_established(slot) == Some(false) {
            match registered.is_established() {
                Ok(false) => return,
                Ok(true) => dispatcher.engines.connection_established(slot, &mut dispatcher.context),
                Err(error) => {
                    let reachability = Reachability::of_dial_error(&error);
                    let reason = error.to_string();
                    dispatcher.engines.dial_failed(slot, reachability, &reason, &mut dispatcher.context);
                    return self.apply_changes();
                }
            }
        }
        self.flush_connection(slot);
        self.read_connection(slot);
        self.apply_changes();
    }

    /// Scans what the clients of calls that are written next have sent by now: one may have left since the decision
    /// was taken, however late this turn is.
    fn scan_clients_of_unwritten_calls(&mut self, connection: Slot) {
        let dispatcher = &self.server.dispatcher;
        let requests = dispatcher.engines.requests_of_unwritten_calls(connection);
        if requests.is_empty() {
            return;
        }
        let client = |request| Some(dispatcher.requests.get(request)?.client);
        let clients: Vec<Slot> = requests.into_iter().filter_map(client).collect();
        self.update_time();
        self.scan(&clients);
        let received_since = self.poll_times.earliest_arrival();
        clients.into_iter().for_each(|client| self.readable_clients.add(client, received_since));
    }

    /// Writes what is to be sent on a connection.
    pub(super) fn flush_connection(&mut self, slot: Slot) {
        self.scan_clients_of_unwritten_calls(slot);
        let Some(registered) = self.connections.get(&slot) else { return };
        let dispatcher = &mut self.server.dispatcher;
        let Dispatcher { engines, context, .. } = &mut *dispatcher;
        if let Err(error) = engines.drain(slot, &mut &*registered.socket, context) {
            // Answers may have come before the engine closed.
            dispatcher.engines.read(slot, &mut &*registered.socket, &mut dispatcher.context);
            dispatcher.engines.close_connection(
                slot,
                &error.to_string(),
                Reachability::Reachable,
                &mut dispatcher.context,
            );
        }
    }

    /// Reads a part of what has arrived on a connection; it is read on in the next turn if there is more.
    pub(super) fn read_connection(&mut self, slot: Slot) {
        let Some(registered) = self.connections.get(&slot) else { return };
        let dispatcher = &mut self.server.dispatcher;
        let has_more = dispatcher.engines.read(slot, &mut &*registered.socket, &mut dispatcher.context);
        if has_more {
            self.readable_connections.insert(slot);
        }
    }
}
