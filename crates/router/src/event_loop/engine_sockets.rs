//! Connections to engines.

use super::RouterLoop;
use crate::engine_pool::PoolCommand;
use crate::slots::Slot;
use crate::sockets::RegisteredSocket;
use std::io;
use std::net::SocketAddr;

impl RouterLoop {
    /// Dials or closes a connection, as the engine pool asks.
    pub(super) fn apply_command(&mut self, command: PoolCommand) {
        match command {
            PoolCommand::Close(slot) => drop(self.connections.remove(&slot)),
            PoolCommand::Dial(slot, address) => self.dial_engine(slot, address),
        }
    }

    fn dial_engine(&mut self, slot: Slot, address: SocketAddr) {
        let note = move |router_loop: &mut Self| {
            router_loop.readable_connections.insert(slot);
        };
        match RegisteredSocket::dial(&self.loop_handle, address, note) {
            Ok(registered) => drop(self.connections.insert(slot, registered)),
            Err(error) => {
                log::info!("dialling an engine failed: address={address} error={error:?}");
                let dispatcher = &mut self.server.dispatcher;
                dispatcher.engines.dial_failed(slot, false, &error.to_string(), &mut dispatcher.context);
            }
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
                    let was_reached = error.kind() == io::ErrorKind::ConnectionReset;
                    let reason = error.to_string();
                    dispatcher.engines.dial_failed(slot, was_reached, &reason, &mut dispatcher.context);
                    return self.apply_changes();
                }
            }
        }
        self.flush_connection(slot);
        self.read_connection(slot);
        self.apply_changes();
    }

    /// Writes what is to be sent on a connection.
    pub(super) fn flush_connection(&mut self, slot: Slot) {
        let Some(registered) = self.connections.get(&slot) else { return };
        let dispatcher = &mut self.server.dispatcher;
        if let Err(error) = dispatcher.engines.drain(slot, &mut &*registered.socket) {
            // Answers may have come before the engine closed.
            dispatcher.engines.read(slot, &mut &*registered.socket, &mut dispatcher.context);
            dispatcher.engines.close_connection(slot, &error.to_string(), true, &mut dispatcher.context);
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
