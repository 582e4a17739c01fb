//! Reads from clients' sockets and writes to them.

use super::RouterLoop;
use crate::clients::ClientInput;
use crate::final_checks::CloseReason;
use crate::slots::Slot;
use crate::sockets::time_since_last_arrival;
use std::io::{self, Read};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Tolerance for the time of the last arrival. The kernel reports it by a coarse clock, so that new input may seem a
/// few milliseconds old.
const ARRIVAL_TOLERANCE: Duration = Duration::from_millis(5);

/// A client's socket, with the times that bound the arrival of its input.
struct SocketReader {
    socket: Rc<TcpStream>,
    /// When the poll began that reported the socket as readable.
    poll_began_at: Duration,
}

impl Read for SocketReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        (&*self.socket).read(buffer)
    }
}

impl ClientInput for SocketReader {
    /// Returns `assumed`, unless the last bytes arrived clearly before that time. The operating system then did not
    /// schedule the process during the poll, and earlier bytes may have arrived at any time since the poll began.
    fn earliest_arrival(&self, now: Duration, assumed: Duration) -> Duration {
        let last_arrival = now.saturating_sub(time_since_last_arrival(&self.socket));
        let was_polled_late = last_arrival + ARRIVAL_TOLERANCE < assumed;
        if was_polled_late { last_arrival.min(self.poll_began_at) } else { assumed }
    }
}

impl RouterLoop {
    /// Records that a client's socket became readable or writable, or was closed.
    pub(super) fn client_became_ready(&mut self, slot: Slot) {
        self.poll_times.poll_ended(&self.clock);
        if self.lingering.contains_key(&slot) {
            return self.drain_lingering(slot);
        }
        self.readable_clients.add(slot, self.poll_times.earliest_arrival());
        self.clients_to_scan.push(slot);
    }

    /// Scans the input of all clients that became ready. The scan finds cancelled requests and closed connections.
    pub(super) fn scan_clients(&mut self) {
        if self.clients_to_scan.is_empty() {
            return;
        }
        self.update_time();
        let slots = std::mem::take(&mut self.clients_to_scan);
        self.scan(&slots);
        self.apply_changes();
    }

    fn reader_of(&self, socket: &Rc<TcpStream>) -> SocketReader {
        SocketReader { socket: Rc::clone(socket), poll_began_at: self.poll_times.began_at() }
    }

    /// Scans the input of the clients in `slots`. The scan finds cancelled requests and closed connections.
    pub(super) fn scan(&mut self, slots: &[Slot]) {
        let mut readers = Vec::new();
        for slot in slots {
            if let Some(registered) = self.clients.get(slot) {
                readers.push((*slot, self.reader_of(&registered.socket)));
            }
        }
        self.server.scan_clients(self.poll_times.earliest_arrival(), readers);
    }

    /// Writes a client's pending output, and then reads its next line. The unread input was received at
    /// `received_since` at the earliest.
    pub(super) fn read_client(&mut self, slot: Slot, received_since: Duration) {
        self.update_time();
        let Some(registered) = self.clients.get(&slot) else { return };
        let socket = Rc::clone(&registered.socket);
        if !self.flush_or_close_client(slot) {
            return self.apply_changes();
        }
        let has_failed = || !matches!(socket.take_error(), Ok(None));
        if self.server.read_client_line(slot, received_since, &mut self.reader_of(&socket), has_failed) {
            self.readable_clients.add(slot, self.server.dispatcher.context.now());
        }
        self.apply_changes();
    }

    /// Writes a client's pending output. If writing fails, closes the client and returns false.
    pub(super) fn flush_or_close_client(&mut self, slot: Slot) -> bool {
        let Some(registered) = self.clients.get(&slot) else { return true };
        let is_written = self.server.dispatcher.clients.flush(slot, &mut &*registered.socket).is_ok();
        if !is_written {
            self.server.close_client(slot, CloseReason::WriteFailed);
        }
        is_written
    }
}
