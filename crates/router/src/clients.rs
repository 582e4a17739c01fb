//! Connections of clients: lines in, answers out, and the requests open on each.

use crate::jsonrpc::{self, Withdrawal};
use crate::ring::{Filled, Ring};
use crate::slots::{Slot, Slots};
use emberflow::RequestId;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::io::{Read, Result as Done, Write};
use std::time::Duration;

/// Open requests that a connection carries.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// A line that has begun, and the first one, must have come whole within this; a client that has said something
/// and waits for nothing is kept for longer. Clients close what is idle after 4 s, and are owed a close, an
/// error or an answer within 3 s of connecting.
const STALLED: Duration = Duration::from_secs(2);
const IDLE: Duration = Duration::from_secs(5);
/// What was on its way to a connection when it was closed: the protocol has it cross within this. A client that
/// came, said something or was answered within it may have a request on its way.
pub const CROSSING: Duration = Duration::from_millis(50);

#[derive(Clone)]
pub struct Client {
    input: Ring,
    pub output: Ring,
    /// Bytes at the front of the input that hold no line's end; those that were looked through for what tells
    /// that it has stopped waiting.
    scanned: usize,
    glanced: usize,
    /// What it has taken back in lines that were not heard yet, by where they end among all that came; and up to
    /// where all that came was looked through.
    taken_back: VecDeque<(u64, Withdrawal)>,
    looked: u64,
    /// By the id on this connection.
    pub open: BTreeMap<u64, RequestId>,
    /// It has said something.
    heard: bool,
    /// When it last had something to say or was answered, or began to.
    active: Duration,
    /// When the last of what it said came, at the earliest.
    came: Duration,
    /// When it is looked at next.
    pub due: Duration,
    /// Nothing more is taken from it; it closes once all is answered.
    deaf: bool,
    /// Nothing more will come from it, and all that came was heard.
    shut: bool,
    /// When its input was seen to end, which may be before all that came was heard.
    ended: Option<Duration>,
}

impl Client {
    /// Takes out what was heard at the front of the input.
    fn pass(&mut self, length: usize) {
        self.input.consume(length);
        self.glanced = self.glanced.saturating_sub(length);
        while self.taken_back.front().is_some_and(|(end, _)| *end <= self.input.passed()) {
            self.taken_back.pop_front();
        }
    }

    /// Looks through what has come since, up to the last line's end, for what it takes back.
    fn look_ahead(&mut self) -> Vec<Withdrawal> {
        if self.looked == self.input.end() {
            return Vec::new();
        }
        self.looked = self.input.end();
        if self.deaf {
            self.glanced = self.input.len();
        }
        let (mut at, mut found) = (self.input.passed() + self.glanced as u64, Vec::new());
        let rest = &self.input.readable()[self.glanced..];
        let whole = rest.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1);
        for line in rest[..whole].split_inclusive(|byte| *byte == b'\n') {
            at += line.len() as u64;
            if let Some(named) = jsonrpc::parse_withdrawal(line) {
                self.taken_back.push_back((at, named.clone()));
                found.push(named);
            }
        }
        self.glanced += whole;
        found
    }

    /// Nothing more is taken from it.
    fn is_read_out(&self) -> bool {
        self.deaf || self.shut
    }

    fn waits_for_nothing(&self) -> bool {
        self.open.is_empty() && self.output.is_empty()
    }

    /// What its connection holds, for the log.
    pub fn held(&self) -> String {
        let (begun, unsaid) = (self.input.len(), self.output.len());
        format!("{} tasks open, {begun} bytes of a line begun, {unsaid} bytes not said", self.open.len())
    }
}

/// What a connection's turn at reading came to.
pub enum ReadOutcome {
    /// A line, and when its last byte came at the earliest.
    Line(Vec<u8>, Duration),
    TooLong,
    /// Input was read and discarded.
    Discarded,
    /// It has ended its side, once all that came was heard.
    EndOfInput,
    /// No complete line has come yet.
    Pending,
    /// The connection was reset or has failed.
    Closed,
}

/// What a look ahead of a client's turn has told.
#[derive(Default)]
pub struct Peek {
    /// What it does not wait for any more.
    pub withdrawn: Vec<Withdrawal>,
    /// Its connection is over, or it has ended its side.
    pub closed: bool,
    pub ended: bool,
}

#[derive(Clone, Default)]
pub struct Clients {
    pub table: Slots<Client>,
    /// In one line, and unread among the answers to all.
    most_bytes: usize,
    most_owed: usize,
    /// Bytes that are unread among the answers to all.
    owed: usize,
    /// Those that may have nothing more to come or to be told.
    pub maybe_finished: Vec<Slot>,
    /// Those to whom something new was said.
    pub pending_writes: Vec<Slot>,
}

impl Clients {
    pub fn with_limits(most_bytes: usize, most_owed: usize) -> Self {
        Self { most_bytes, most_owed, ..Self::default() }
    }

    /// Takes a connection in; tells when it is looked at.
    pub fn admit(&mut self, now: Duration) -> Duration {
        let (input, output, open) = (Ring::default(), Ring::default(), BTreeMap::new());
        let due = now + STALLED;
        self.table.insert(Client {
            input,
            output,
            scanned: 0,
            glanced: 0,
            taken_back: VecDeque::new(),
            looked: 0,
            open,
            heard: false,
            active: now,
            came: now,
            due,
            deaf: false,
            shut: false,
            ended: None,
        });
        due
    }

    pub fn take(&mut self, slot: Slot) -> Option<Client> {
        let client = self.table.take(slot)?;
        self.owed -= client.output.len();
        Some(client)
    }

    /// Of those that wait for nothing, the one that has for longest; first those that never said anything. Guards
    /// against floods of connections, which left no time to say something to those that came just before.
    pub fn longest_idle(&self, now: Duration) -> Option<Slot> {
        let quiet = |client: &Client| client.active.max(client.came) + CROSSING <= now;
        let idle = self.table.iter().filter(|(_, client)| client.waits_for_nothing() && quiet(client));
        idle.min_by_key(|(_, client)| (client.heard, client.active)).map(|(slot, _)| slot)
    }

    /// Where more is unread among the answers than the memory bears: the client that reads least of them.
    pub fn slowest_reader(&self) -> Option<Slot> {
        let most = || self.table.iter().max_by_key(|(_, client)| client.output.len());
        (self.owed > self.most_owed).then(most).flatten().map(|(slot, _)| slot)
    }

    /// Guards against clients that connect and say nothing, stop within a line, or hold what they do not use:
    /// whether one is to be closed, and whether it began to say something; else when to look again.
    pub fn check_idle(&mut self, slot: Slot, now: Duration) -> Result<bool, Duration> {
        let Some(client) = self.table.get_mut(slot) else { return Ok(false) };
        let begun = !client.input.is_empty();
        let held_counts = if begun || !client.heard { STALLED } else { IDLE };
        let due = if client.waits_for_nothing() { client.active + held_counts } else { now + STALLED };
        client.due = due;
        if due <= now { Ok(begun) } else { Err(due) }
    }

    /// The next line that comes from `from`, or has come; what is read now came at `since` at the earliest. A
    /// client that does not read its answers is not read from either; `failed` tells whether one that has shut
    /// can't be written to.
    pub fn read_line(
        &mut self,
        slot: Slot,
        (now, since): (Duration, Duration),
        from: &mut impl Read,
        failed: impl Fn() -> bool,
    ) -> ReadOutcome {
        let most = self.most_bytes;
        let Some(client) = self.table.get_mut(slot) else { return ReadOutcome::Pending };
        loop {
            if client.output.len() > most {
                return ReadOutcome::Pending;
            }
            if client.shut {
                return if failed() { ReadOutcome::Closed } else { ReadOutcome::Pending };
            }
            if client.deaf {
                client.pass(client.input.len());
                match client.input.fill(from, most) {
                    Ok(Filled::Enough) => return ReadOutcome::Discarded,
                    Ok(Filled::Drained) => return ReadOutcome::Pending,
                    Ok(Filled::Closed) => client.shut = true,
                    Err(_) => return ReadOutcome::Closed,
                }
                self.maybe_finished.push(slot);
                return ReadOutcome::EndOfInput;
            }
            if let Some((line, length)) = jsonrpc::split_line(client.input.readable(), client.scanned) {
                let line = line.to_vec();
                client.pass(length);
                (client.scanned, client.active, client.heard) = (0, now, true);
                return ReadOutcome::Line(line, client.came);
            }
            client.scanned = client.input.len();
            if client.scanned >= most {
                client.deaf = true;
                return ReadOutcome::TooLong;
            }
            let before = client.input.len();
            match client.input.fill(from, most) {
                Err(_) => return ReadOutcome::Closed,
                Ok(_) if client.input.len() > before => {
                    client.came = since;
                    if before == 0 && client.heard {
                        client.active = now;
                    }
                }
                // It may have shut one direction only: what is open is still owed.
                Ok(Filled::Closed) => {
                    client.shut = true;
                    self.maybe_finished.push(slot);
                    return ReadOutcome::EndOfInput;
                }
                Ok(_) => return ReadOutcome::Pending,
            }
        }
    }

    /// Looks ahead through what has come from a client with requests open or lines not heard, before its turn: whether
    /// it has stopped waiting for some, or is gone. Guards against requests that were sent on for nobody while that stood unread
    /// behind other lines, floods of others or its own unread answers.
    pub fn scan_ahead(
        &mut self,
        slot: Slot,
        (now, since): (Duration, Duration),
        from: &mut impl Read,
    ) -> Peek {
        let mut seen = Peek::default();
        let most = self.most_bytes;
        let Some(client) = self.table.get_mut(slot).filter(|client| !client.shut) else { return seen };
        if client.open.is_empty() && client.input.is_empty() {
            return seen;
        }
        let before = client.input.len();
        match client.input.fill(from, most) {
            Ok(Filled::Closed) => seen.ended = client.ended.replace(now).is_none(),
            Ok(_) => {}
            Err(_) => seen.closed = true,
        }
        if client.input.len() > before {
            client.came = since;
            if before == 0 && client.heard {
                client.active = now;
            }
        }
        seen.withdrawn = client.look_ahead();
        seen
    }

    /// What a client takes back behind the line that was heard last, as far as that was not known yet.
    pub fn look_ahead(&mut self, slot: Slot) -> Vec<Withdrawal> {
        self.table.get_mut(slot).map(Client::look_ahead).unwrap_or_default()
    }

    /// Whether a request is taken back behind the line that was heard last: by its `req`, or by its id where no
    /// `req` is named.
    pub fn has_withdrawn(&self, slot: Slot, req: &str, id: u64) -> bool {
        let names = |(named, by_id): &Withdrawal| {
            if named.is_empty() { *by_id == Some(id) } else { named == req }
        };
        self.table.get(slot).is_some_and(|client| client.taken_back.iter().any(|(_, named)| names(named)))
    }

    /// Whether a client's input was seen to end longer ago than what crosses an end may take.
    pub fn has_ended_input(&self, slot: Slot, now: Duration) -> bool {
        let ended = self.table.get(slot).and_then(|client| client.ended);
        ended.is_some_and(|at| at + CROSSING < now)
    }

    pub fn send_line(&mut self, slot: Slot, line: &[u8]) {
        let Some(client) = self.table.get_mut(slot) else { return };
        self.owed += line.len();
        client.output.push(line);
        self.pending_writes.push(slot);
        if client.is_read_out() {
            self.maybe_finished.push(slot);
        }
    }

    /// Writes what is to be said to a client, as far as `to` takes it.
    pub fn drain(&mut self, slot: Slot, to: &mut impl Write) -> Done<()> {
        let Some(client) = self.table.get_mut(slot) else { return Ok(()) };
        self.owed -= client.output.len();
        let drained = client.output.drain(to);
        self.owed += client.output.len();
        if client.is_read_out() {
            self.maybe_finished.push(slot);
        }
        drained
    }

    pub fn request_closed(&mut self, slot: Slot, id: u64, now: Duration) {
        if let Some(client) = self.table.get_mut(slot) {
            client.open.remove(&id);
            client.active = now;
            if client.is_read_out() {
                self.maybe_finished.push(slot);
            }
        }
    }

    /// Whether one can't be read on and is owed nothing more.
    pub fn is_finished(&self, slot: Slot) -> bool {
        self.table.get(slot).is_some_and(|client| client.is_read_out() && client.waits_for_nothing())
    }

    /// Feeds the state to `into`, times told from `now`: states that print alike go on alike.
    pub fn fingerprint(&self, now: Duration, into: &mut impl Hasher) {
        let since = |at: Duration| at.as_micros() as i64 - now.as_micros() as i64;
        for (_, client) in self.table.iter() {
            (client.input.len(), client.output.len(), client.scanned, &client.open).hash(into);
            // Who has been idle for long enough is idle, however long.
            let active = client.active.max(now.saturating_sub(IDLE));
            (client.heard, since(active), since(client.due), client.deaf, client.shut).hash(into);
            let ended = client.ended.map(|at| since(at.max(now.saturating_sub(CROSSING * 2))));
            (client.glanced, ended.filter(|_| !client.shut)).hash(into);
            let passed = client.input.passed();
            client.taken_back.iter().for_each(|(end, named)| (end - passed, named).hash(into));
            (client.input.end() - client.looked).hash(into);
            (!client.input.is_empty()).then(|| since(client.came)).hash(into);
        }
    }

    /// Whether all that was said has left.
    pub fn all_sent(&self) -> bool {
        self.table.iter().all(|(_, client)| client.output.is_empty())
    }
}
