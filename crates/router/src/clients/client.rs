//! One connection of a client: splits the input into lines, and scans lines that are not handled yet for cancellations.

use super::{ClientInput, MAX_TRANSIT_TIME, ScanResult};
use crate::jsonrpc::{self, Cancellation};
use crate::ring::{FillOutcome, RingBuffer};
use emberflow::RequestId;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::io;
use std::time::Duration;

/// Time within which a client's first line, and any other line that has begun, must be complete. It is shorter than the
/// 3 s after connecting within which the protocol requires a close, an error or an answer.
pub(super) const LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a client that has sent a line may be idle. It is longer than the 4 s after which clients close idle
/// connections.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time since the end of the input beyond which fingerprints do not distinguish clients.
const MAX_FINGERPRINT_ENDED_TIME: Duration = MAX_TRANSIT_TIME.saturating_mul(2);

/// How a client's input is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum InputState {
    /// The input is read line by line.
    Reading,
    /// The input is read and discarded, after a line that was too long.
    Discarding,
    /// The client has shut down its sending side, and all its input was read.
    Ended,
}

/// The outcome of reading a client's input up to its next line.
pub enum ReadOutcome {
    /// A complete line has arrived.
    Line {
        /// The line without its newline.
        line: Vec<u8>,
        /// Earliest time at which the latest input can have been received. That input ends with or after the line's
        /// newline.
        received_at: Duration,
    },
    /// The line exceeds the limit. All further input is discarded.
    TooLong,
    /// Input was read and discarded.
    Discarded,
    /// The client has shut down its sending side, and all its input was read.
    EndOfInput,
    /// No complete line has arrived.
    Pending,
    /// The connection was reset or has failed.
    Closed,
}

/// A cancellation in an unread line.
#[derive(Clone)]
struct UnreadCancellation {
    /// Offset of the line's end in the stream of all input.
    line_end_offset: u64,
    cancellation: Cancellation,
}

/// A client's connection.
#[derive(Clone)]
pub struct Client {
    input: RingBuffer,
    /// Bytes to be written to the client.
    pub output: RingBuffer,
    /// Number of bytes at the front of the input that are known to hold no newline.
    newline_free_bytes: usize,
    /// Number of bytes at the front of the input that were scanned for cancellations. They end with a complete line,
    /// unless the input is being discarded.
    cancellation_scanned_bytes: usize,
    /// The cancellations in lines that are not handled yet, in order.
    unread_cancellations: VecDeque<UnreadCancellation>,
    /// Offset of the end of the input at the last scan for cancellations, in the stream of all input.
    scan_end_offset: u64,
    /// The open requests, by the ids of their JSON-RPC messages.
    pub open_requests: BTreeMap<u64, RequestId>,
    pub(super) has_sent_line: bool,
    /// Time of the client's last activity: the connection was accepted, a line was read, a line after the first began
    /// to arrive, or a request was answered or cancelled.
    pub(super) last_active: Duration,
    /// Earliest time at which the latest input can have been received.
    last_received: Duration,
    /// Time of the next idle check, for which a timer is set.
    pub check_due: Duration,
    input_state: InputState,
    /// Time at which the end of the input was found, possibly before all input was read.
    pub(super) input_ended_at: Option<Duration>,
}

impl Client {
    /// Creates a connection that is accepted at `now`.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            input: RingBuffer::default(),
            output: RingBuffer::default(),
            newline_free_bytes: 0,
            cancellation_scanned_bytes: 0,
            unread_cancellations: VecDeque::new(),
            scan_end_offset: 0,
            open_requests: BTreeMap::new(),
            has_sent_line: false,
            last_active: now,
            last_received: now,
            check_due: now + LINE_TIMEOUT,
            input_state: InputState::Reading,
            input_ended_at: None,
        }
    }

    /// Whether further lines are read from the client's connection.
    pub(super) fn accepts_lines(&self) -> bool {
        self.input_state == InputState::Reading
    }

    /// Whether the client has no open request and no unsent output.
    pub(super) fn is_idle(&self) -> bool {
        self.open_requests.is_empty() && self.output.is_empty()
    }

    /// Whether a line has begun to arrive.
    pub(super) fn has_partial_line(&self) -> bool {
        !self.input.is_empty()
    }

    /// Whether the client was active so recently that further input may be in transit at `now`.
    pub(super) fn may_have_input_in_transit(&self, now: Duration) -> bool {
        self.last_active.max(self.last_received) + MAX_TRANSIT_TIME > now
    }

    /// Describes the state of the connection for the log.
    pub fn summary(&self) -> String {
        format!(
            "open_requests={} unread_bytes={} unsent_bytes={}",
            self.open_requests.len(),
            self.input.len(),
            self.output.len()
        )
    }

    /// Reads input up to the next line; see [`super::Clients::read_line`].
    pub(super) fn read_line(
        &mut self,
        max_line_bytes: usize,
        now: Duration,
        received_since: Duration,
        socket: &mut impl ClientInput,
        has_failed: impl Fn() -> bool,
    ) -> ReadOutcome {
        // Backpressure: a client that does not read its answers is not read from.
        if self.output.len() > max_line_bytes {
            return ReadOutcome::Pending;
        }
        match self.input_state {
            InputState::Ended if has_failed() => return ReadOutcome::Closed,
            InputState::Ended => return ReadOutcome::Pending,
            InputState::Discarding => return self.discard_input(max_line_bytes, socket),
            InputState::Reading => {}
        }
        loop {
            if let Some(line) = self.take_line(now) {
                return ReadOutcome::Line { line, received_at: self.last_received };
            }
            if self.newline_free_bytes >= max_line_bytes {
                self.input_state = InputState::Discarding;
                return ReadOutcome::TooLong;
            }
            let length_before = self.input.len();
            match self.receive(max_line_bytes, now, received_since, socket) {
                Err(_) => return ReadOutcome::Closed,
                Ok(_) if self.input.len() > length_before => {}
                Ok(FillOutcome::Closed) => return self.end_input(),
                Ok(_) => return ReadOutcome::Pending,
            }
        }
    }

    /// Reads input until the buffer holds `max_bytes`, and records its arrival.
    fn receive(
        &mut self,
        max_bytes: usize,
        now: Duration,
        received_since: Duration,
        socket: &mut impl ClientInput,
    ) -> io::Result<FillOutcome> {
        let length_before = self.input.len();
        let filled = self.input.fill(socket, max_bytes);
        if self.input.len() > length_before {
            self.last_received = socket.earliest_arrival(now, received_since);
            let begins_line = length_before == 0;
            if begins_line && self.has_sent_line {
                self.last_active = now;
            }
        }
        filled
    }

    /// Marks the input as ended. The client may have shut down only its sending side, so open requests are still
    /// answered.
    fn end_input(&mut self) -> ReadOutcome {
        self.input_state = InputState::Ended;
        ReadOutcome::EndOfInput
    }

    /// Discards the buffered input and reads more.
    fn discard_input(&mut self, max_bytes: usize, socket: &mut impl ClientInput) -> ReadOutcome {
        self.consume(self.input.len());
        match self.input.fill(socket, max_bytes) {
            Ok(FillOutcome::LimitReached) => ReadOutcome::Discarded,
            Ok(FillOutcome::WouldBlock) => ReadOutcome::Pending,
            Ok(FillOutcome::Closed) => self.end_input(),
            Err(_) => ReadOutcome::Closed,
        }
    }

    /// Takes the next line out of the input, if it is complete.
    fn take_line(&mut self, now: Duration) -> Option<Vec<u8>> {
        let Some((line, length)) = jsonrpc::split_line(self.input.contents(), self.newline_free_bytes) else {
            self.newline_free_bytes = self.input.len();
            return None;
        };
        let line = line.to_vec();
        self.consume(length);
        self.newline_free_bytes = 0;
        self.last_active = now;
        self.has_sent_line = true;
        Some(line)
    }

    /// Removes bytes from the front of the input, and the recorded cancellations of their lines.
    fn consume(&mut self, length: usize) {
        self.input.consume(length);
        self.cancellation_scanned_bytes = self.cancellation_scanned_bytes.saturating_sub(length);
        let front_offset = self.input.front_offset();
        while self.unread_cancellations.front().is_some_and(|unread| unread.line_end_offset <= front_offset) {
            self.unread_cancellations.pop_front();
        }
    }

    /// Reads input and scans it for cancellations without handling any line; see [`super::Clients::scan_ahead`].
    pub(super) fn scan_ahead(
        &mut self,
        max_line_bytes: usize,
        now: Duration,
        received_since: Duration,
        socket: &mut impl ClientInput,
    ) -> ScanResult {
        let mut scan = ScanResult::default();
        let has_requests = !self.open_requests.is_empty() || !self.input.is_empty();
        if self.input_state == InputState::Ended || !has_requests {
            return scan;
        }
        match self.receive(max_line_bytes, now, received_since, socket) {
            Ok(FillOutcome::Closed) => scan.input_ended = self.input_ended_at.replace(now).is_none(),
            Ok(_) => {}
            Err(_) => scan.connection_failed = true,
        }
        scan.cancellations = self.new_cancellations();
        scan
    }

    /// Scans the complete lines that have arrived since the last scan, and returns their cancellations.
    pub(super) fn new_cancellations(&mut self) -> Vec<Cancellation> {
        if self.scan_end_offset == self.input.end_offset() {
            return Vec::new();
        }
        self.scan_end_offset = self.input.end_offset();
        if self.input_state == InputState::Discarding {
            self.cancellation_scanned_bytes = self.input.len();
        }
        let mut line_end_offset = self.input.front_offset() + self.cancellation_scanned_bytes as u64;
        let mut found = Vec::new();
        let unscanned = &self.input.contents()[self.cancellation_scanned_bytes..];
        let last_newline = unscanned.iter().rposition(|byte| *byte == b'\n');
        let complete = last_newline.map_or(0, |newline| newline + 1);
        for line in unscanned[..complete].split_inclusive(|byte| *byte == b'\n') {
            line_end_offset += line.len() as u64;
            if let Some(cancellation) = Cancellation::decode_line(line) {
                found.push(cancellation.clone());
                self.unread_cancellations.push_back(UnreadCancellation { line_end_offset, cancellation });
            }
        }
        self.cancellation_scanned_bytes += complete;
        found
    }

    /// Whether an unread line cancels the request with this name and message id.
    pub(super) fn has_cancelled(&self, name: &str, id: u64) -> bool {
        self.unread_cancellations.iter().any(|unread| unread.cancellation.matches(name, id))
    }

    /// Feeds the state to a hasher, with times relative to `now`.
    pub(super) fn fingerprint(&self, now: Duration, hasher: &mut impl Hasher) {
        let relative = |at: Duration| at.as_micros() as i64 - now.as_micros() as i64;
        (self.input.len(), self.output.len(), self.newline_free_bytes, &self.open_requests).hash(hasher);
        // All idle times beyond the timeout are equivalent.
        let last_active = self.last_active.max(now.saturating_sub(IDLE_TIMEOUT));
        (self.has_sent_line, relative(last_active), relative(self.check_due), self.input_state).hash(hasher);
        let input_ended_at = self.input_ended_at.filter(|_| self.input_state != InputState::Ended);
        let input_ended_at =
            input_ended_at.map(|at| relative(at.max(now.saturating_sub(MAX_FINGERPRINT_ENDED_TIME))));
        (self.cancellation_scanned_bytes, input_ended_at).hash(hasher);
        let front_offset = self.input.front_offset();
        for unread in &self.unread_cancellations {
            (unread.line_end_offset - front_offset, &unread.cancellation).hash(hasher);
        }
        (self.input.end_offset() - self.scan_end_offset).hash(hasher);
        self.has_partial_line().then(|| relative(self.last_received)).hash(hasher);
    }
}
