//! Connections that are closed to their clients and drained for a little while.
//!
//! A socket that is closed while something stands unread in it is reset, and the client loses the last answers.

use super::{MAX_READS_PER_TURN, RouterLoop};
use crate::clients::CROSSING;
use crate::ring::Filled;
use crate::server::ClosedClient;
use crate::slots::Slot;
use crate::sockets::RegisteredSocket;
use crate::timers::Timer;
use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};

const CHUNK_BYTES: usize = 4096;

impl RouterLoop {
    /// Closes a client's socket, with what it does not take at once of the last answers.
    pub(super) fn close_client_socket(&mut self, client: ClosedClient) {
        let ClosedClient { slot, mut output } = client;
        let Some(registered) = self.clients.remove(&slot) else { return };
        let _ = output.drain(&mut &*registered.socket);
        let unread_bytes = unread_bytes(&registered.socket);
        let unwritten_bytes = output.len();
        if unread_bytes + unwritten_bytes > 0 {
            log::debug!(
                "client closed early: client={slot:?} unwritten_bytes={unwritten_bytes} unread_bytes>={unread_bytes}"
            );
        }
        if unread_bytes > 0 {
            self.linger(slot, registered);
        }
    }

    /// Closes a connection for writing and drains it for a little while, so that the last answers arrive.
    fn linger(&mut self, slot: Slot, registered: RegisteredSocket<Self>) {
        let is_full = self.lingering.len() >= self.server.dispatcher.config.max_lingering_clients();
        if is_full || registered.socket.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let context = self.server.context();
        context.counters.count("clients_read_out");
        context.timers.set(context.now() + CROSSING, Timer::Linger(slot));
        self.lingering.insert(slot, registered);
        self.drain_lingering(slot);
    }

    /// Discards what has arrived on a lingering connection.
    pub(super) fn drain_lingering(&mut self, slot: Slot) {
        match self.lingering.get(&slot).map(|registered| drain_input(&registered.socket)) {
            Some(Filled::Enough) => self.undrained.push(slot),
            Some(Filled::Closed) => drop(self.lingering.remove(&slot)),
            Some(Filled::Drained) | None => {}
        }
    }
}

/// Bytes that stand unread in a connection's socket, as far as one look shows them.
fn unread_bytes(socket: &TcpStream) -> usize {
    loop {
        match socket.peek(&mut [0; CHUNK_BYTES]) {
            Ok(count) => return count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return 0,
        }
    }
}

/// Discards what has arrived on a connection, as much as one turn of the loop takes.
pub(super) fn drain_input(mut socket: &TcpStream) -> Filled {
    let mut chunk = [0; CHUNK_BYTES];
    for _ in 0..MAX_READS_PER_TURN {
        match socket.read(&mut chunk) {
            Ok(0) => return Filled::Closed,
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Filled::Drained,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return Filled::Closed,
        }
    }
    Filled::Enough
}
