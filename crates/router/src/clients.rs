//! Connections of clients: lines in, answers out, and the requests open on each.

mod client;

pub use client::{Client, ReadOutcome};

use crate::jsonrpc::Withdrawal;
use crate::slots::{Slot, Slots};
use client::{IDLE_TIMEOUT, LINE_TIMEOUT};
use std::hash::Hasher;
use std::io::{self, Read, Write};
use std::time::Duration;

/// Requests that may be open on one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// How long what was sent before a close may still be in transit, by the protocol. A client that has connected, sent
/// something or was answered within it may have a request in transit.
pub const CROSSING: Duration = Duration::from_millis(50);

/// What a client's input is read from.
pub trait ClientInput: Read {
    /// The earliest time at which what was read now can have arrived: `assumed` by the caller, or before that where
    /// it is known that the process was not scheduled while it polled, and saw it late.
    fn earliest_arrival(&self, _now: Duration, assumed: Duration) -> Duration {
        assumed
    }
}

impl<T: ClientInput + ?Sized> ClientInput for &mut T {
    fn earliest_arrival(&self, now: Duration, assumed: Duration) -> Duration {
        (**self).earliest_arrival(now, assumed)
    }
}

/// What a scan ahead of a client's next line has found.
#[derive(Default)]
pub struct ScanResult {
    /// What the client has stopped waiting for.
    pub withdrawn: Vec<Withdrawal>,
    /// The connection was reset or has failed.
    pub closed: bool,
    /// The client has ended its side, which was not known before.
    pub ended: bool,
}

/// What becomes of a client whose timer has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleCheck {
    /// It has stopped within a line, and is closed.
    Stalled,
    /// It has been idle for too long, and is closed.
    Idle,
    /// It is checked again at this time.
    CheckAgain(Duration),
}

/// The connections of all clients.
#[derive(Clone, Default)]
pub struct Clients {
    pub table: Slots<Client>,
    /// Bytes of the longest line.
    max_line_bytes: usize,
    /// Bytes of answers to all clients that may be unsent.
    max_unsent_bytes: usize,
    /// Bytes of answers to all clients that are unsent.
    unsent_bytes: usize,
    /// Clients that may have finished since this was last looked through.
    pub maybe_finished: Vec<Slot>,
    /// Clients whose output has grown since it was last written.
    pub pending_writes: Vec<Slot>,
}

impl Clients {
    /// No clients yet, and the limits for lines and for unsent answers in bytes.
    pub fn with_limits(max_line_bytes: usize, max_unsent_bytes: usize) -> Self {
        Self { max_line_bytes, max_unsent_bytes, ..Self::default() }
    }

    /// Adds a connection; returns when it is checked first.
    pub fn admit(&mut self, now: Duration) -> Duration {
        let client = Client::new(now);
        let due = client.due;
        self.table.insert(client);
        due
    }

    /// Takes a connection out.
    pub fn take(&mut self, slot: Slot) -> Option<Client> {
        let client = self.table.take(slot)?;
        self.unsent_bytes -= client.output.len();
        Some(client)
    }

    /// Of the clients that wait for nothing, the one that has been idle longest; first those that never sent a line.
    /// Clients in whose direction something may be in transit are left out: a flood of connections must not
    /// close those that came just before.
    pub fn longest_idle(&self, now: Duration) -> Option<Slot> {
        let is_quiet = |client: &Client| client.last_active.max(client.last_received) + CROSSING <= now;
        let idle = self.table.iter().filter(|(_, client)| client.awaits_nothing() && is_quiet(client));
        idle.min_by_key(|(_, client)| (client.has_sent_line, client.last_active)).map(|(slot, _)| slot)
    }

    /// The client with the most unsent answers, if those to all clients exceed their limit.
    pub fn slowest_reader(&self) -> Option<Slot> {
        if self.unsent_bytes <= self.max_unsent_bytes {
            return None;
        }
        let slowest = self.table.iter().max_by_key(|(_, client)| client.output.len());
        slowest.map(|(slot, _)| slot)
    }

    /// Checks a client whose timer has expired: those that send nothing, stop within a line or hold a connection
    /// without use are closed.
    pub fn check_idle(&mut self, slot: Slot, now: Duration) -> IdleCheck {
        let Some(client) = self.table.get_mut(slot) else { return IdleCheck::Idle };
        let has_partial_line = client.has_partial_line();
        let timeout = if has_partial_line || !client.has_sent_line { LINE_TIMEOUT } else { IDLE_TIMEOUT };
        client.due = if client.awaits_nothing() { client.last_active + timeout } else { now + LINE_TIMEOUT };
        if client.due > now {
            IdleCheck::CheckAgain(client.due)
        } else if has_partial_line {
            IdleCheck::Stalled
        } else {
            IdleCheck::Idle
        }
    }

    /// Reads on until the next line. What is read now was received at `received_since` at the earliest; `has_failed`
    /// tells whether a client that has ended its side can't be written to.
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

    /// Reads what a client with open requests or unread lines has sent, without handling it: whether it has
    /// withdrawn requests, or has left. Without this, requests would be sent to engines for nobody while a
    /// withdrawal stands behind other lines.
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

    /// Withdrawals in a client's unread lines that were not returned before.
    pub fn find_withdrawals(&mut self, slot: Slot) -> Vec<Withdrawal> {
        self.table.get_mut(slot).map(Client::new_withdrawals).unwrap_or_default()
    }

    /// Whether an unread line of a client withdraws a request, by its name, or by its id where no name is given.
    pub fn has_withdrawn(&self, slot: Slot, name: &str, id: u64) -> bool {
        self.table.get(slot).is_some_and(|client| client.has_withdrawn(name, id))
    }

    /// Whether a client's input has ended longer ago than anything can be in transit.
    pub fn has_ended_input(&self, slot: Slot, now: Duration) -> bool {
        let ended_at = self.table.get(slot).and_then(|client| client.ended_at);
        ended_at.is_some_and(|at| at + CROSSING < now)
    }

    /// Adds a line to a client's output.
    pub fn send_line(&mut self, slot: Slot, line: &[u8]) {
        let Some(client) = self.table.get_mut(slot) else { return };
        self.unsent_bytes += line.len();
        client.output.push(line);
        self.pending_writes.push(slot);
        if client.takes_no_input() {
            self.maybe_finished.push(slot);
        }
    }

    /// Writes a client's output until its socket accepts no more.
    pub fn drain(&mut self, slot: Slot, to: &mut impl Write) -> io::Result<()> {
        let Some(client) = self.table.get_mut(slot) else { return Ok(()) };
        self.unsent_bytes -= client.output.len();
        let drained = client.output.drain(to);
        self.unsent_bytes += client.output.len();
        if client.takes_no_input() {
            self.maybe_finished.push(slot);
        }
        drained
    }

    /// Removes an open request that was answered or withdrawn.
    pub fn request_closed(&mut self, slot: Slot, id: u64, now: Duration) {
        let Some(client) = self.table.get_mut(slot) else { return };
        client.open.remove(&id);
        client.last_active = now;
        if client.takes_no_input() {
            self.maybe_finished.push(slot);
        }
    }

    /// Whether nothing more is read from a client, and nothing is owed to it.
    pub fn is_finished(&self, slot: Slot) -> bool {
        self.table.get(slot).is_some_and(|client| client.takes_no_input() && client.awaits_nothing())
    }

    /// Whether all output of all clients has been written.
    pub fn all_sent(&self) -> bool {
        self.table.iter().all(|(_, client)| client.output.is_empty())
    }

    /// Feeds the state to a hasher, times relative to `now`: states with equal fingerprints behave alike.
    pub fn fingerprint(&self, now: Duration, hasher: &mut impl Hasher) {
        for (_, client) in self.table.iter() {
            client.fingerprint(now, hasher);
        }
    }
}
