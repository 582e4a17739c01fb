//! Lingering close of clients' connections.
//!
//! The kernel resets a connection that is closed with unread input, and the client then loses the last answers.
//! Therefore such a connection is first shut down for writing. Its input is discarded until the client closes its side,
//! for [`MAX_TRANSIT_TIME`] at most.

use super::{MAX_READS_PER_ITERATION, RouterLoop};
use crate::clients::MAX_TRANSIT_TIME;
use crate::ring::FillOutcome;
use crate::server::ClosedClient;
use crate::slots::Slot;
use crate::sockets::RegisteredSocket;
use crate::timers::Timer;
use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};

/// Maximum number of bytes that one system call peeks at or discards.
const CHUNK_BYTES: usize = 4096;

impl RouterLoop {
    /// Closes a removed client's socket, after a last attempt to write its output. Lingers if the socket has unread
    /// input.
    pub(super) fn close_client_socket(&mut self, client: ClosedClient) {
        let ClosedClient { slot, mut output } = client;
        let Some(registered) = self.clients.remove(&slot) else { return };
        let _ = output.write_to(&mut &*registered.socket);
        let unread_bytes = unread_bytes(&registered.socket);
        let unwritten_bytes = output.len();
        if unread_bytes + unwritten_bytes > 0 {
            log::debug!(
                "client closed with unwritten or unread data: client={slot:?} unwritten_bytes={unwritten_bytes} \
                 unread_bytes>={unread_bytes}"
            );
        }
        if unread_bytes > 0 {
            self.linger(slot, registered);
        }
    }

    /// Shuts a connection down for writing and discards its input until [`Timer::LingerTimeout`], so that the last
    /// answers arrive. At the limit of lingering connections, closes the connection at once.
    fn linger(&mut self, slot: Slot, registered: RegisteredSocket<Self>) {
        let is_at_limit = self.lingering.len() >= self.server.dispatcher.config.max_lingering_clients();
        if is_at_limit || registered.socket.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let context = self.server.context();
        context.counters.count("clients_drained");
        context.timers.set(context.now() + MAX_TRANSIT_TIME, Timer::LingerTimeout(slot));
        self.lingering.insert(slot, registered);
        self.drain_lingering(slot);
    }

    /// Discards the input of a lingering connection, and closes the connection at the end of its input.
    pub(super) fn drain_lingering(&mut self, slot: Slot) {
        match self.lingering.get(&slot).map(|registered| drain_input(&registered.socket)) {
            Some(FillOutcome::LimitReached) => self.undrained_lingering.push(slot),
            Some(FillOutcome::Closed) => drop(self.lingering.remove(&slot)),
            Some(FillOutcome::WouldBlock) | None => {}
        }
    }
}

/// Returns the number of unread bytes in a connection's socket, but at most [`CHUNK_BYTES`]. Returns 0 if the socket
/// has failed.
fn unread_bytes(socket: &TcpStream) -> usize {
    loop {
        match socket.peek(&mut [0; CHUNK_BYTES]) {
            Ok(count) => return count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return 0,
        }
    }
}

/// Discards a connection's input, up to [`MAX_READS_PER_ITERATION`] chunks. Returns `FillOutcome::LimitReached` at
/// that limit.
pub(super) fn drain_input(mut socket: &TcpStream) -> FillOutcome {
    let mut chunk = [0; CHUNK_BYTES];
    for _ in 0..MAX_READS_PER_ITERATION {
        match socket.read(&mut chunk) {
            Ok(0) => return FillOutcome::Closed,
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return FillOutcome::WouldBlock,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return FillOutcome::Closed,
        }
    }
    FillOutcome::LimitReached
}
