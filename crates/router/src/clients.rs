//! Connections of clients: the lines received on each, the answers to be sent, and the open requests.

mod client;

pub use client::{Client, ReadOutcome};

use crate::jsonrpc::Cancellation;
use crate::slots::{Slot, SlotMap};
use client::{IDLE_TIMEOUT, LINE_TIMEOUT};
use std::hash::Hasher;
use std::io::{self, Read, Write};
use std::time::Duration;

/// Limit of the open requests on one connection of a client.
pub const MAX_OPEN_REQUESTS_PER_CLIENT: usize = 32;
/// Time, by the protocol, for which bytes sent before a close may still be in transit. A client that has connected, has
/// sent input or was answered within this time may have a request in transit.
pub const MAX_TRANSIT_TIME: Duration = Duration::from_millis(50);

/// The source of a client's input.
pub trait ClientInput: Read {
    /// Returns the earliest time at which the input that is read now can have arrived. That is `assumed`, or an earlier
    /// time if the process is known to have been suspended while it polled.
    fn earliest_arrival(&self, _now: Duration, assumed: Duration) -> Duration {
        assumed
    }
}

impl<T: ClientInput + ?Sized> ClientInput for &mut T {
    fn earliest_arrival(&self, now: Duration, assumed: Duration) -> Duration {
        (**self).earliest_arrival(now, assumed)
    }
}

/// The result of scanning a client's unread input.
#[derive(Default)]
pub struct ScanResult {
    /// Cancellations that no earlier scan has found.
    pub cancellations: Vec<Cancellation>,
    /// Whether the connection was reset or reading from it failed.
    pub connection_failed: bool,
    /// Whether this scan is the first to find that the client has shut down its sending side.
    pub input_ended: bool,
}

/// The result of checking a client whose idle timer has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleCheck {
    /// The client did not complete a line within the timeout, and is to be closed.
    Stalled,
    /// The client has exceeded its idle timeout, and is to be closed.
    Idle,
    /// The client is to be checked again at this time.
    CheckAgain(Duration),
}

/// The connections of all clients.
#[derive(Clone, Default)]
pub struct Clients {
    /// The open connections.
    pub table: SlotMap<Client>,
    /// Limit of the length of a line, in bytes.
    max_line_bytes: usize,
    /// Limit of the unsent bytes of all clients together.
    max_unsent_bytes: usize,
    /// Unsent bytes of all clients together.
    unsent_bytes: usize,
    /// Clients to be checked with [`Self::is_finished`]. The caller takes this list.
    pub maybe_finished: Vec<Slot>,
    /// Clients whose output has grown since it was last written.
    pub pending_writes: Vec<Slot>,
}

impl Clients {
    /// Creates an empty table with the limits for lines and for unsent answers, in bytes.
    pub fn with_limits(max_line_bytes: usize, max_unsent_bytes: usize) -> Self {
        Self { max_line_bytes, max_unsent_bytes, ..Self::default() }
    }

    /// Adds a connection. Returns the time of its first idle check.
    pub fn admit(&mut self, now: Duration) -> Duration {
        let client = Client::new(now);
        let check_due = client.check_due;
        self.table.insert(client);
        check_due
    }

    /// Removes and returns a connection. Returns `None` if it was removed before.
    pub fn remove(&mut self, slot: Slot) -> Option<Client> {
        let client = self.table.remove(slot)?;
        self.unsent_bytes -= client.output.len();
        Some(client)
    }

    /// Returns the idle client that has been inactive longest. Clients that never sent a line come first. Clients that
    /// may have input in transit are excluded, so that a flood of connections does not close the clients that connected
    /// shortly before.
    pub fn longest_idle(&self, now: Duration) -> Option<Slot> {
        let idle = self
            .table
            .iter()
            .filter(|(_, client)| client.is_idle() && !client.may_have_input_in_transit(now));
        idle.min_by_key(|(_, client)| (client.has_sent_line, client.last_active)).map(|(slot, _)| slot)
    }

    /// Returns the unsent bytes of all clients together.
    pub fn unsent_bytes(&self) -> usize {
        self.unsent_bytes
    }

    /// Returns the client with the most unsent bytes, or `None` while the unsent bytes of all clients together are
    /// within their limit.
    pub fn slowest_reader(&self) -> Option<Slot> {
        if self.unsent_bytes <= self.max_unsent_bytes {
            return None;
        }
        let slowest = self.table.iter().max_by_key(|(_, client)| client.output.len());
        slowest.map(|(slot, _)| slot)
    }

    /// Checks a client whose idle timer has expired. A client without open requests and unsent output is to be closed
    /// if it sends nothing or leaves a line incomplete.
    pub fn check_idle(&mut self, slot: Slot, now: Duration) -> IdleCheck {
        let Some(client) = self.table.get_mut(slot) else { return IdleCheck::Idle };
        let has_partial_line = client.has_partial_line();
        let timeout = if has_partial_line || !client.has_sent_line { LINE_TIMEOUT } else { IDLE_TIMEOUT };
        client.check_due = if client.is_idle() { client.last_active + timeout } else { now + LINE_TIMEOUT };
        if client.check_due > now {
            IdleCheck::CheckAgain(client.check_due)
        } else if has_partial_line {
            IdleCheck::Stalled
        } else {
            IdleCheck::Idle
        }
    }

    /// Reads input up to the end of the next line. The input that is read now arrived at `received_since` at the
    /// earliest. `has_failed` returns whether the socket of a client that has shut down its sending side has an error.
    pub fn read_line(
        &mut self,
        slot: Slot,
        now: Duration,
        received_since: Duration,
        socket: &mut impl ClientInput,
        has_failed: impl Fn() -> bool,
    ) -> ReadOutcome {
        let Some(client) = self.table.get_mut(slot) else { return ReadOutcome::Pending };
        let outcome = client.read_line(self.max_line_bytes, now, received_since, socket, has_failed);
        if matches!(outcome, ReadOutcome::EndOfInput) {
            self.maybe_finished.push(slot);
        }
        outcome
    }

    /// Reads input of a client with open requests or unread lines, and scans it for cancellations and for its end
    /// without handling any line. The scan prevents attempts from being sent for requests whose cancellation is queued
    /// behind other lines.
    pub fn scan_ahead(
        &mut self,
        slot: Slot,
        now: Duration,
        received_since: Duration,
        socket: &mut impl ClientInput,
    ) -> ScanResult {
        match self.table.get_mut(slot) {
            Some(client) => client.scan_ahead(self.max_line_bytes, now, received_since, socket),
            None => ScanResult::default(),
        }
    }

    /// Returns the cancellations in a client's unread lines that no earlier scan has found.
    pub fn new_cancellations(&mut self, slot: Slot) -> Vec<Cancellation> {
        self.table.get_mut(slot).map(Client::new_cancellations).unwrap_or_default()
    }

    /// Whether an unread line of a client cancels the request with this name and message id.
    pub fn has_cancelled(&self, slot: Slot, name: &str, id: u64) -> bool {
        self.table.get(slot).is_some_and(|client| client.has_cancelled(name, id))
    }

    /// Whether a client's input has ended and nothing that the client sent before can be in transit.
    pub fn has_ended_input(&self, slot: Slot, now: Duration) -> bool {
        let input_ended_at = self.table.get(slot).and_then(|client| client.input_ended_at);
        input_ended_at.is_some_and(|at| at + MAX_TRANSIT_TIME < now)
    }

    /// Appends a line to a client's output.
    pub fn send_line(&mut self, slot: Slot, line: &[u8]) {
        let Some(client) = self.table.get_mut(slot) else { return };
        self.unsent_bytes += line.len();
        client.output.push(line);
        self.pending_writes.push(slot);
        if !client.accepts_lines() {
            self.maybe_finished.push(slot);
        }
    }

    /// Writes a client's output until the socket accepts no more.
    ///
    /// # Errors
    /// Returns the error of a socket that has failed.
    pub fn flush(&mut self, slot: Slot, socket: &mut impl Write) -> io::Result<()> {
        let Some(client) = self.table.get_mut(slot) else { return Ok(()) };
        self.unsent_bytes -= client.output.len();
        let result = client.output.write_to(socket);
        self.unsent_bytes += client.output.len();
        if !client.accepts_lines() {
            self.maybe_finished.push(slot);
        }
        result
    }

    /// Removes a request that was answered or cancelled from the open requests of its client.
    pub fn remove_request(&mut self, slot: Slot, id: u64, now: Duration) {
        let Some(client) = self.table.get_mut(slot) else { return };
        client.open_requests.remove(&id);
        client.last_active = now;
        if !client.accepts_lines() {
            self.maybe_finished.push(slot);
        }
    }

    /// Whether no further lines are read from a client, and it has no open request and no unsent output.
    pub fn is_finished(&self, slot: Slot) -> bool {
        self.table.get(slot).is_some_and(|client| !client.accepts_lines() && client.is_idle())
    }

    /// Whether all output to all clients has been written.
    pub fn all_written(&self) -> bool {
        self.table.iter().all(|(_, client)| client.output.is_empty())
    }

    /// Feeds the state to a hasher, with times relative to `now`. States with equal fingerprints behave alike.
    pub fn fingerprint(&self, now: Duration, hasher: &mut impl Hasher) {
        for (_, client) in self.table.iter() {
            client.fingerprint(now, hasher);
        }
    }
}
