//! One client's connection: its input is split into lines and scanned for withdrawals ahead of their turn.

use super::{CROSSING, ClientInput, ScanResult};
use crate::jsonrpc::{self, Withdrawal};
use crate::ring::{Filled, Ring};
use emberflow::RequestId;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// Within this time the first line must be complete, and any other that has begun. Clients are owed a close, an error or
/// an answer within 3 s of connecting.
pub(super) const LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client that has sent a line and waits for nothing is kept. Clients close idle connections after 4 s.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// What becomes of a client's input.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum InputState {
    /// It is read line by line.
    Reading,
    /// It is read and discarded, after a line that was too long.
    Discarding,
    /// The client has ended its side, and all its input was read.
    Ended,
}

/// What came of reading on until a client's next line.
pub enum ReadOutcome {
    /// A line, and when its last byte was received at the earliest.
    Line { line: Vec<u8>, received_at: Duration },
    /// The line exceeds the limit: from now on the client's input is discarded.
    TooLong,
    /// Input was read and discarded.
    Discarded,
    /// The client has ended its side, and all its input was read.
    EndOfInput,
    /// No complete line has come yet.
    Pending,
    /// The connection was reset or has failed.
    Closed,
}

/// A withdrawal in an unread line.
#[derive(Clone)]
struct UnreadWithdrawal {
    /// The offset of the line's end in all input.
    line_end: u64,
    withdrawal: Withdrawal,
}

/// A client's connection.
#[derive(Clone)]
pub struct Client {
    input: Ring,
    pub output: Ring,
    /// Bytes at the front of the input that hold no newline.
    scanned_for_line: usize,
    /// Bytes at the front of the input that were scanned for withdrawals, up to the end of a line.
    scanned_for_withdrawals: usize,
    unread_withdrawals: VecDeque<UnreadWithdrawal>,
    /// The offset in all input up to which it was scanned for withdrawals.
    scanned_end: u64,
    /// Open requests by their id on this connection.
    pub open: BTreeMap<u64, RequestId>,
    pub(super) has_sent_line: bool,
    /// When a line was last read or began to arrive, or a request was last answered.
    pub(super) last_active: Duration,
    /// When the latest input was received at the earliest.
    pub(super) last_received: Duration,
    /// When the connection is checked next.
    pub due: Duration,
    input_state: InputState,
    /// When its input was found to end, which may be before all of it was read.
    pub(super) ended_at: Option<Duration>,
}

impl Client {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            input: Ring::default(),
            output: Ring::default(),
            scanned_for_line: 0,
            scanned_for_withdrawals: 0,
            unread_withdrawals: VecDeque::new(),
            scanned_end: 0,
            open: BTreeMap::new(),
            has_sent_line: false,
            last_active: now,
            last_received: now,
            due: now + LINE_TIMEOUT,
            input_state: InputState::Reading,
            ended_at: None,
        }
    }

    /// Whether no more lines are taken from it.
    pub(super) fn takes_no_input(&self) -> bool {
        self.input_state != InputState::Reading
    }

    /// Whether no answer and no output is owed to it.
    pub(super) fn awaits_nothing(&self) -> bool {
        self.open.is_empty() && self.output.is_empty()
    }

    /// Whether a line has begun to arrive.
    pub(super) fn has_partial_line(&self) -> bool {
        !self.input.is_empty()
    }

    /// What the connection holds, for the log.
    pub fn summary(&self) -> String {
        format!(
            "open_requests={} unread_bytes={} unsent_bytes={}",
            self.open.len(),
            self.input.len(),
            self.output.len()
        )
    }

    pub(super) fn read_line(
        &mut self,
        max_line_bytes: usize,
        now: Duration,
        received_since: Duration,
        socket: &mut impl ClientInput,
        has_failed: impl Fn() -> bool,
    ) -> ReadOutcome {
        loop {
            // A client that does not read its answers is not read from either.
            if self.output.len() > max_line_bytes {
                return ReadOutcome::Pending;
            }
            match self.input_state {
                InputState::Ended if has_failed() => return ReadOutcome::Closed,
                InputState::Ended => return ReadOutcome::Pending,
                InputState::Discarding => return self.discard_input(max_line_bytes, socket),
                InputState::Reading => {}
            }
            if let Some(line) = self.take_line(now) {
                return ReadOutcome::Line { line, received_at: self.last_received };
            }
            if self.scanned_for_line >= max_line_bytes {
                self.input_state = InputState::Discarding;
                return ReadOutcome::TooLong;
            }
            let length_before = self.input.len();
            match self.input.fill(socket, max_line_bytes) {
                Err(_) => return ReadOutcome::Closed,
                Ok(_) if self.input.len() > length_before => {
                    self.note_received(length_before, now, received_since, socket);
                }
                Ok(Filled::Closed) => {
                    // It may have ended only its own side: open requests are still answered.
                    self.input_state = InputState::Ended;
                    return ReadOutcome::EndOfInput;
                }
                Ok(_) => return ReadOutcome::Pending,
            }
        }
    }

    fn discard_input(&mut self, max_bytes: usize, socket: &mut impl ClientInput) -> ReadOutcome {
        self.consume(self.input.len());
        match self.input.fill(socket, max_bytes) {
            Ok(Filled::Enough) => ReadOutcome::Discarded,
            Ok(Filled::Drained) => ReadOutcome::Pending,
            Ok(Filled::Closed) => {
                self.input_state = InputState::Ended;
                ReadOutcome::EndOfInput
            }
            Err(_) => ReadOutcome::Closed,
        }
    }

    /// Takes the next line out of the input, if it is complete.
    fn take_line(&mut self, now: Duration) -> Option<Vec<u8>> {
        let Some((line, length)) = jsonrpc::split_line(self.input.readable(), self.scanned_for_line) else {
            self.scanned_for_line = self.input.len();
            return None;
        };
        let line = line.to_vec();
        self.consume(length);
        self.scanned_for_line = 0;
        self.last_active = now;
        self.has_sent_line = true;
        Some(line)
    }

    /// Notes that input was received behind `length_before` bytes. A line that begins is activity.
    fn note_received(
        &mut self,
        length_before: usize,
        now: Duration,
        received_since: Duration,
        socket: &impl ClientInput,
    ) {
        self.last_received = socket.earliest_arrival(now, received_since);
        if length_before == 0 && self.has_sent_line {
            self.last_active = now;
        }
    }

    /// Takes bytes out of the front of the input.
    fn consume(&mut self, length: usize) {
        self.input.consume(length);
        self.scanned_for_withdrawals = self.scanned_for_withdrawals.saturating_sub(length);
        let passed = self.input.passed();
        while self.unread_withdrawals.front().is_some_and(|unread| unread.line_end <= passed) {
            self.unread_withdrawals.pop_front();
        }
    }

    pub(super) fn scan_ahead(
        &mut self,
        max_line_bytes: usize,
        now: Duration,
        received_since: Duration,
        socket: &mut impl ClientInput,
    ) -> ScanResult {
        let mut scan = ScanResult::default();
        let has_nothing_to_lose = self.open.is_empty() && self.input.is_empty();
        if self.input_state == InputState::Ended || has_nothing_to_lose {
            return scan;
        }
        let length_before = self.input.len();
        match self.input.fill(socket, max_line_bytes) {
            Ok(Filled::Closed) => scan.ended = self.ended_at.replace(now).is_none(),
            Ok(_) => {}
            Err(_) => scan.closed = true,
        }
        if self.input.len() > length_before {
            self.note_received(length_before, now, received_since, socket);
        }
        scan.withdrawn = self.new_withdrawals();
        scan
    }

    /// Scans the complete lines that have come since the last scan, and returns their withdrawals.
    pub(super) fn new_withdrawals(&mut self) -> Vec<Withdrawal> {
        if self.scanned_end == self.input.end() {
            return Vec::new();
        }
        self.scanned_end = self.input.end();
        if self.input_state == InputState::Discarding {
            self.scanned_for_withdrawals = self.input.len();
        }
        let mut line_end = self.input.passed() + self.scanned_for_withdrawals as u64;
        let mut found = Vec::new();
        let unscanned = &self.input.readable()[self.scanned_for_withdrawals..];
        let last_newline = unscanned.iter().rposition(|byte| *byte == b'\n');
        let complete = last_newline.map_or(0, |newline| newline + 1);
        for line in unscanned[..complete].split_inclusive(|byte| *byte == b'\n') {
            line_end += line.len() as u64;
            if let Some(withdrawal) = Withdrawal::decode_line(line) {
                found.push(withdrawal.clone());
                self.unread_withdrawals.push_back(UnreadWithdrawal { line_end, withdrawal });
            }
        }
        self.scanned_for_withdrawals += complete;
        found
    }

    pub(super) fn has_withdrawn(&self, name: &str, id: u64) -> bool {
        let is_named = |withdrawal: &Withdrawal| {
            if withdrawal.name.is_empty() { withdrawal.id == Some(id) } else { withdrawal.name == name }
        };
        self.unread_withdrawals.iter().any(|unread| is_named(&unread.withdrawal))
    }

    /// Feeds the state to a hasher, times relative to `now`.
    pub(super) fn fingerprint(&self, now: Duration, hasher: &mut impl Hasher) {
        let relative = |at: Duration| at.as_micros() as i64 - now.as_micros() as i64;
        (self.input.len(), self.output.len(), self.scanned_for_line, &self.open).hash(hasher);
        // However long a client has been idle beyond its timeout, it is idle.
        let last_active = self.last_active.max(now.saturating_sub(IDLE_TIMEOUT));
        (self.has_sent_line, relative(last_active), relative(self.due), self.input_state).hash(hasher);
        let ended_at = self.ended_at.filter(|_| self.input_state != InputState::Ended);
        let ended_at = ended_at.map(|at| relative(at.max(now.saturating_sub(CROSSING * 2))));
        (self.scanned_for_withdrawals, ended_at).hash(hasher);
        let passed = self.input.passed();
        for unread in &self.unread_withdrawals {
            (unread.line_end - passed, &unread.withdrawal).hash(hasher);
        }
        (self.input.end() - self.scanned_end).hash(hasher);
        self.has_partial_line().then(|| relative(self.last_received)).hash(hasher);
    }
}
