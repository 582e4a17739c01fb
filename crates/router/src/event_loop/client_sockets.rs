//! Reading from clients and writing to them.

use super::RouterLoop;
use crate::clients::ClientInput;
use crate::gate::CloseReason;
use crate::slots::Slot;
use crate::sockets::time_since_last_arrival;
use std::io::{self, Read};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// A client's socket, to be read from.
struct SocketReader(Rc<TcpStream>);

impl Read for SocketReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        (&*self.0).read(buffer)
    }
}

impl ClientInput for SocketReader {
    fn time_since_last_arrival(&self) -> Duration {
        time_since_last_arrival(&self.0)
    }
}

impl RouterLoop {
    /// Notes that something has changed on a client's socket.
    pub(super) fn client_became_ready(&mut self, slot: Slot) {
        self.poll_times.poll_ended(&self.clock);
        if self.lingering.contains_key(&slot) {
            return self.drain_lingering(slot);
        }
        self.readable_clients.add(slot, self.poll_times.earliest_arrival());
        self.clients_to_scan.push(slot);
    }

    /// Scans what all clients have sent before anything else is handled: some may have left.
    pub(super) fn scan_clients(&mut self) {
        if self.clients_to_scan.is_empty() {
            return;
        }
        self.update_time();
        let slots = std::mem::take(&mut self.clients_to_scan);
        self.scan(&slots);
        self.apply_changes();
    }

    /// Scans what some clients have sent.
    pub(super) fn scan(&mut self, slots: &[Slot]) {
        let reader = |slot: &Slot| Some((*slot, SocketReader(Rc::clone(&self.clients.get(slot)?.socket))));
        let clients: Vec<_> = slots.iter().filter_map(reader).collect();
        self.server.scan_clients(self.poll_times.earliest_arrival(), clients);
    }

    /// Reads the next line of a client, which was received at `received_since` at the earliest.
    pub(super) fn read_client(&mut self, slot: Slot, received_since: Duration) {
        self.update_time();
        let Some(registered) = self.clients.get(&slot) else { return };
        let socket = Rc::clone(&registered.socket);
        if !self.flush_or_close_client(slot) {
            return self.apply_changes();
        }
        let has_failed = || !matches!(socket.take_error(), Ok(None));
        if self.server.read_client_line(
            slot,
            received_since,
            &mut SocketReader(Rc::clone(&socket)),
            has_failed,
        ) {
            self.readable_clients.add(slot, self.server.dispatcher.context.now());
        }
        self.apply_changes();
    }

    /// Writes what is to be sent to a client; closes it and returns false if it can't be written to.
    pub(super) fn flush_or_close_client(&mut self, slot: Slot) -> bool {
        let Some(registered) = self.clients.get(&slot) else { return true };
        let is_written = self.server.dispatcher.clients.drain(slot, &mut &*registered.socket).is_ok();
        if !is_written {
            self.server.close_client(slot, CloseReason::Fault, "writing to it failed");
        }
        is_written
    }
}
