//! The engines' side: connections, attempts, the pages of a result. It chooses no engine and answers no client.

use crate::clock::whole_ms;
use crate::context::Context;
use crate::discovery::EndpointRecord;
use crate::resp;
use crate::ring::{Filled, Ring};
use crate::slots::{Slot, Slots};
use crate::timers::Timer;
use emberflow::{
    AttemptEnded, AttemptOutcome, Endpoint, EngineId, LoadReport, ProgressNote, RequestId, Usage,
};
use emberflow_settings::{build_load_report, from_ms};
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::io::{Read, Result as Done, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes of a result, and its pages.
const MOST_BYTES: usize = 48_000;
const MOST_PAGES: usize = 256;
/// Read from a connection in one turn of the loop.
const TURN: usize = 256 * 1024;
/// The part of an idle connection's time after which it is retired.
const RETIRED: f64 = 0.8;

#[derive(Clone)]
struct Engine {
    id: u32,
    address: SocketAddr,
    ready: bool,
    launched: Option<Duration>,
    connections: Vec<Slot>,
}

/// One connection.
#[derive(Clone)]
struct Connection {
    engine: EngineId,
    up: bool,
    /// It takes no further attempts.
    retired: bool,
    input: Ring,
    output: Ring,
    attempts: BTreeMap<String, Slot>,
    /// Attempts that wait until it has come up or has shown that it works.
    waiting: Vec<Slot>,
    opened: Duration,
    heard: Duration,
    /// When it must have come up; later, when it is looked at next.
    due: Option<Duration>,
    /// It was asked to show that it works.
    asked: bool,
    /// When an answer that has begun must have come whole.
    whole_by: Option<Duration>,
    idle: Option<Duration>,
}

#[derive(Clone)]
struct Attempt {
    request: RequestId,
    number: usize,
    engine: EngineId,
    connection: Option<Slot>,
    id: String,
    call: Vec<u8>,
    sent: Duration,
    until: Duration,
    /// Where its call begins in what was ever written to the connection.
    written: Option<u64>,
    /// Connections that may still answer an earlier attempt of the request.
    owing: Vec<Slot>,
    /// It has left a connection that was lost before its call was written.
    moved: bool,
    /// Its client may be gone: it is written to no other connection.
    kept_back: bool,
    /// It was taken back at its engine, which has not shown yet that it has heard of that: its end, and since when.
    dropped: Option<(AttemptOutcome, Duration)>,
    result: Option<Pages>,
}

#[derive(Clone)]
struct Pages {
    got: Vec<Option<Vec<u8>>>,
    usage: Option<Usage>,
    load_report: Option<LoadReport>,
}

/// An attempt to be sent: the request's id, class, key and statement go on unchanged.
pub struct Call<'a> {
    pub request: RequestId,
    pub number: usize,
    pub id: &'a str,
    pub class: &'a str,
    pub opkey: Option<&'a str>,
    pub statement: &'a [u8],
    pub grant_mb: f64,
    pub priority: u8,
    pub until: Duration,
}

/// What the decisions are to be told next.
#[derive(Clone)]
pub enum PoolEvent {
    /// An attempt's end, its result, and the connection that may still bring an answer to it.
    Ended(AttemptEnded, Option<Vec<u8>>, Option<Slot>),
    Progress(RequestId, usize, ProgressNote),
}

/// What the engines ask of whoever holds the sockets.
#[derive(Clone)]
pub enum PoolCommand {
    Dial(Slot, SocketAddr),
    Close(Slot),
}

/// The machine of all connections and attempts: bytes, rows of the list and times in; bytes to write, connections
/// to dial and to close, and news of attempts out. It holds no socket and no clock.
#[derive(Clone)]
pub struct EnginePool {
    book: BTreeMap<EngineId, Engine>,
    numbers: BTreeMap<u32, EngineId>,
    /// The number of the next.
    next: EngineId,
    connections: Slots<Connection>,
    attempts: Slots<Attempt>,
    pub events: VecDeque<PoolEvent>,
    pub commands: VecDeque<PoolCommand>,
    /// Connections with something new to be written.
    pub pending_writes: Vec<Slot>,
    streams: usize,
    comes_up: Duration,
    idle_close: Duration,
    most_connections: usize,
    /// Whether a request may be sent again while its engine may not have heard yet that it was taken back.
    pub may_duplicate: bool,
}

impl EnginePool {
    /// Of a connection: what it carries, how soon it must come up, when an engine closes an idle one.
    pub fn new(streams: usize, comes_up: Duration, idle_close: Duration, most_connections: usize) -> Self {
        Self {
            book: BTreeMap::new(),
            numbers: BTreeMap::new(),
            next: 0,
            connections: Slots::default(),
            attempts: Slots::default(),
            events: VecDeque::new(),
            commands: VecDeque::new(),
            pending_writes: Vec::new(),
            streams,
            comes_up,
            idle_close,
            most_connections,
            may_duplicate: true,
        }
    }

    /// Takes one line of the list in. A process that ended takes its connections with it, told or not.
    pub fn update_endpoint(&mut self, row: &EndpointRecord, context: &mut Context) -> Endpoint {
        let launched = (row.up_since_ms > 0).then(|| context.at_unix_ms(row.up_since_ms));
        let engine = *self.numbers.entry(row.id).or_insert(self.next);
        if engine == self.next {
            let (id, address, ready) = (row.id, row.address, row.is_ready());
            self.book.insert(engine, Engine { id, address, ready, launched, connections: Vec::new() });
            self.next += 1;
        }
        if !row.is_ready() {
            self.void_unsent_attempts(engine, context);
        }
        let Some(known) = self.book.get_mut(&engine) else { unreachable!("a numbered engine") };
        (known.address, known.ready) = (row.address, row.is_ready());
        if known.launched != launched
            && let Some(at) = launched
        {
            known.launched = launched;
            let connections = known.connections.clone();
            let old =
                |slot: &Slot| self.connections.get(*slot).is_some_and(|connection| connection.opened < at);
            for slot in connections.into_iter().filter(old).collect::<Vec<_>>() {
                self.close_connection(slot, "its engine has started anew", false, context);
            }
        }
        Endpoint {
            engine,
            location: row.location,
            kind: row.kind,
            cell: row.cell,
            lifecycle: row.lifecycle,
            launched,
        }
    }

    /// A whole list leaves out what has gone: nothing is sent there any more, nor what waits for a connection.
    pub fn drain_unlisted(&mut self, rows: &[EndpointRecord], context: &mut Context) {
        let left_out = |known: &Engine| known.ready && !rows.iter().any(|row| row.id == known.id);
        let left_out = self.book.iter().filter(|(_, known)| left_out(known));
        for engine in left_out.map(|(engine, _)| *engine).collect::<Vec<_>>() {
            self.void_unsent_attempts(engine, context);
            self.book.entry(engine).and_modify(|known| known.ready = false);
        }
    }

    /// An engine's number, connections and history end.
    pub fn forget(&mut self, engine: EngineId, context: &mut Context) {
        for slot in self.connections_of(engine) {
            self.close_connection(slot, "its engine is gone", false, context);
        }
        if let Some(known) = self.book.remove(&engine) {
            context.counters.count("engines_forgotten");
            self.numbers.remove(&known.id);
        }
    }

    fn connections_of(&self, engine: EngineId) -> Vec<Slot> {
        self.book.get(&engine).map_or_else(Vec::new, |known| known.connections.clone())
    }

    /// What waits for a connection to an engine that is not to be sent to any more is never written; a call that
    /// stands in front of what its connection has to say, and of which nothing has left, is taken out again.
    fn void_unsent_attempts(&mut self, engine: EngineId, context: &mut Context) {
        for slot in self.connections_of(engine) {
            let Some(connection) = self.connections.get(slot) else { continue };
            let mut unsent = connection.waiting.clone();
            let carried: Vec<Slot> = connection.attempts.values().copied().collect();
            unsent.extend(carried.into_iter().filter(|attempt| self.retract_unsent_call(*attempt)));
            for attempt in unsent {
                self.end(attempt, AttemptOutcome::Void, None, context);
            }
        }
    }

    /// An attempt whose client may be gone: what was not written is never written, and what was goes nowhere else.
    pub fn disable_resend(&mut self, attempt: Slot, context: &mut Context) {
        self.retract_unsent_call(attempt);
        let Some(row) = self.attempts.get_mut(attempt) else { return };
        row.kept_back = true;
        if row.written.is_none() {
            self.end(attempt, AttemptOutcome::Void, None, context);
        }
    }

    /// Takes a call out again that stands in front of what its connection has to say, if nothing of it has left.
    fn retract_unsent_call(&mut self, attempt: Slot) -> bool {
        let Some(row) = self.attempts.get_mut(attempt) else { return false };
        let Some(connection) = row.connection.and_then(|connection| self.connections.get_mut(connection))
        else {
            return false;
        };
        let whole = row.written == Some(connection.output.passed()) && !row.call.is_empty();
        if whole {
            connection.output.cut(row.call.len());
            row.written = None;
        }
        whole
    }

    /// Sends an attempt, on a connection that owes no answer to an earlier attempt: answers name the request alone.
    pub fn send(&mut self, engine: EngineId, call: Call, owing: &[Slot], context: &mut Context) -> Slot {
        let now = context.now();
        let fields = [
            Some(format!("queue={}", call.class)),
            Some(format!("budget={}", whole_ms(call.until.saturating_sub(now)).max(1))),
            call.opkey.map(|key| format!("uniq={key}")),
            (call.grant_mb >= 1.0).then(|| format!("mem={}", call.grant_mb.round() as u64)),
            Some(format!("prio={}", call.priority)),
        ];
        let fields = fields.into_iter().flatten().collect::<Vec<_>>().join(",");
        let words = resp::encode_array(&[b"GET", call.id.as_bytes(), fields.as_bytes(), call.statement]);
        let attempt = self.attempts.insert(Attempt {
            request: call.request,
            number: call.number,
            engine,
            connection: None,
            id: call.id.to_owned(),
            call: words,
            sent: now,
            until: call.until,
            written: None,
            owing: owing.to_vec(),
            moved: false,
            kept_back: false,
            dropped: None,
            result: None,
        });
        context.timers.set(call.until, Timer::Attempt(attempt));
        context.counters.count("attempts_sent");
        self.assign_connection(attempt, context);
        attempt
    }

    /// Puts an attempt on a connection; none is made to an engine that is not to be sent to any more.
    fn assign_connection(&mut self, slot: Slot, context: &mut Context) {
        let Some(attempt) = self.attempts.get_mut(slot) else { return };
        attempt.written = None;
        let (engine, id, owing) = (attempt.engine, attempt.id.clone(), attempt.owing.clone());
        if attempt.kept_back || !self.book.get(&engine).is_some_and(|known| known.ready) {
            return self.end(slot, AttemptOutcome::Void, None, context);
        }
        match self.select_connection(engine, &id, &owing, context) {
            Some(connection) => self.enqueue_call(slot, connection, context),
            None => self.end(slot, AttemptOutcome::Unreachable, None, context),
        }
    }

    /// A connection with room for another attempt: one that carries none, else a new one as far as this engine's
    /// part of them goes, else the one that carries least. Guards against spoilt answers and resets, which
    /// take all that a connection carries with them.
    fn select_connection(
        &mut self,
        engine: EngineId,
        id: &str,
        owing: &[Slot],
        context: &mut Context,
    ) -> Option<Slot> {
        let Engine { connections, address, .. } = self.book.get(&engine)?;
        let rows = connections.iter().filter_map(|slot| Some((*slot, self.connections.get(*slot)?)));
        let open = rows.filter(|(slot, connection)| {
            let apart = !owing.contains(slot) && !connection.attempts.contains_key(id);
            apart && !connection.retired && connection.attempts.len() < self.streams
        });
        // The one heard last among equals: the others run idle, and it need not show that it works.
        let least = open.min_by_key(|(_, connection)| {
            (connection.attempts.len(), !connection.up, Reverse(connection.heard))
        });
        let part = self.most_connections / self.book.len();
        let full = self.connections.len() >= self.most_connections;
        if let Some((slot, connection)) = least
            && (connection.attempts.is_empty() || full || connections.len() >= part)
        {
            return Some(slot);
        }
        if self.connections.len() >= self.most_connections {
            context.counters.count("connections_over_the_limit");
            return None;
        }
        let address = *address;
        let now = context.now();
        let due = now + self.comes_up;
        context.counters.count("connections_dialled");
        let slot = self.connections.insert(Connection {
            engine,
            up: false,
            retired: false,
            input: Ring::default(),
            output: Ring::default(),
            attempts: BTreeMap::new(),
            waiting: Vec::new(),
            opened: now,
            heard: now,
            due: Some(due),
            asked: false,
            whole_by: None,
            idle: None,
        });
        context.timers.set(due, Timer::Connection(slot));
        self.commands.push_back(PoolCommand::Dial(slot, address));
        self.book.entry(engine).and_modify(|known| known.connections.push(slot));
        Some(slot)
    }

    fn enqueue_call(&mut self, attempt: Slot, slot: Slot, context: &mut Context) {
        let (Some(row), Some(connection)) = (self.attempts.get_mut(attempt), self.connections.get_mut(slot))
        else {
            return;
        };
        row.connection = Some(slot);
        connection.attempts.insert(row.id.clone(), attempt);
        if let Some(at) = connection.idle.take() {
            context.timers.clear(at, Timer::ConnectionIdle(slot));
        }
        connection.waiting.push(attempt);
        // A silent connection may lead to a machine that is no more: it has to answer before it is used.
        if connection.up && !connection.asked && context.now() > connection.heard + self.comes_up {
            self.send_ping(slot, context);
        }
        self.schedule_writes(slot, context);
    }

    /// Has the connection show that it works.
    fn send_ping(&mut self, slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        connection.output.push(&resp::encode_array(&[b"PING", b"0"]));
        connection.asked = true;
        context.counters.count("connections_checked");
        self.schedule_check(slot, context.now() + self.comes_up, context);
    }

    fn schedule_check(&mut self, slot: Slot, at: Duration, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        connection.due.inspect(|at| context.timers.clear(*at, Timer::Connection(slot)));
        connection.due = Some(at);
        context.timers.set(at, Timer::Connection(slot));
    }

    /// Writes what waits, as far as the connection is known to work.
    fn schedule_writes(&mut self, slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        if connection.up && !connection.asked && !connection.waiting.is_empty() {
            self.queue_next_call(slot);
            if self.connections.get(slot).is_some_and(|connection| connection.due.is_none()) {
                self.schedule_check(slot, context.now() + self.comes_up * 2, context);
            }
        }
        if self.connections.get(slot).is_some_and(|connection| connection.up && !connection.output.is_empty())
        {
            self.pending_writes.push(slot);
        }
    }

    /// Puts the next call behind what a connection has to say, once all of that has left: a call that still waits
    /// can be taken back. Guards against engines that do not read: what had been told to drain got the calls
    /// that its connection had no room for.
    fn queue_next_call(&mut self, slot: Slot) -> bool {
        let Some(connection) = self.connections.get_mut(slot) else { return false };
        if !connection.up
            || connection.asked
            || !connection.output.is_empty()
            || connection.waiting.is_empty()
        {
            return false;
        }
        if let Some(attempt) = self.attempts.get_mut(connection.waiting.remove(0)) {
            attempt.written = Some(connection.output.end());
            log::debug!(
                "task {} hop {}: on connection {slot:?} to engine {}",
                attempt.request,
                attempt.number,
                attempt.engine
            );
            connection.output.push(&attempt.call);
        }
        true
    }

    /// Whether a connection is up; `None` where it is no more.
    pub fn is_established(&self, slot: Slot) -> Option<bool> {
        self.connections.get(slot).map(|connection| connection.up)
    }

    pub fn connection_established(&mut self, slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        connection.up = true;
        connection.heard = context.now();
        log::debug!(
            "engine {}: connection {slot:?} up after {:?}",
            connection.engine,
            connection.heard - connection.opened
        );
        connection.due.take().inspect(|at| context.timers.clear(*at, Timer::Connection(slot)));
        self.schedule_writes(slot, context);
    }

    /// A connection did not come about: refused, or reset where its engine was `there`.
    pub fn dial_failed(&mut self, slot: Slot, there: bool, why: &str, context: &mut Context) {
        if !there {
            context.counters.count("connections_refused");
        }
        self.close_connection(slot, why, there, context);
    }

    /// Writes what a connection has to say, as far as `to` takes it.
    pub fn drain(&mut self, slot: Slot, to: &mut impl Write) -> Done<()> {
        loop {
            let Some(connection) = self.connections.get_mut(slot).filter(|connection| connection.up) else {
                return Ok(());
            };
            connection.output.drain(to)?;
            if !connection.output.is_empty() {
                return Ok(());
            }
            // A call that has left is not kept: it goes on to no other connection.
            for attempt in connection.attempts.values() {
                if let Some(attempt) =
                    self.attempts.get_mut(*attempt).filter(|attempt| attempt.written.is_some())
                {
                    attempt.call = Vec::new();
                }
            }
            if !self.queue_next_call(slot) {
                return Ok(());
            }
        }
    }

    /// Takes in what `from` has for a connection, as much as one turn bears; tells whether there may be more.
    pub fn read(&mut self, slot: Slot, from: &mut impl Read, context: &mut Context) -> bool {
        let Some(connection) = self.connections.get_mut(slot) else { return false };
        let filled = connection.input.fill(from, TURN);
        if let Err(malformed) = self.process_input(slot, context) {
            context.counters.count("engine_input_malformed");
            log::warn!("malformed from an engine: {malformed}");
            self.close_connection(slot, &malformed, true, context);
            return false;
        }
        match filled {
            Ok(Filled::Drained | Filled::Enough) => {}
            Ok(Filled::Closed) => self.close_connection(slot, "closed by the engine", true, context),
            Err(ref error) => self.close_connection(slot, &error.to_string(), true, context),
        }
        let Some(connection) = self.connections.get_mut(slot) else { return false };
        if connection.whole_by.is_none() && !connection.input.is_empty() {
            let by = context.now() + self.comes_up * 2;
            connection.whole_by = Some(by);
            context.timers.set(by, Timer::AnswerComplete(slot));
        }
        matches!(filled, Ok(Filled::Enough))
    }

    /// Guards against answers that stop short on a connection that stays open: nothing can follow them.
    pub fn reply_overdue(&mut self, slot: Slot, context: &mut Context) {
        let now = context.now();
        if self.connections.get(slot).and_then(|connection| connection.whole_by).is_some_and(|by| by <= now) {
            context.counters.count("engine_input_cut_short");
            self.close_connection(slot, "an answer that stopped short", true, context);
        }
    }

    /// Takes in all answers that have come whole.
    fn process_input(&mut self, slot: Slot, context: &mut Context) -> Result<(), String> {
        loop {
            let Some(connection) = self.connections.get_mut(slot) else { return Ok(()) };
            let Some((parts, length)) = resp::parse_array(connection.input.readable())? else {
                return Ok(());
            };
            let text = |part: &[u8]| String::from_utf8(part.to_vec()).map_err(|_| "text that is no UTF-8");
            let part = |at: usize| parts.get(at).copied().unwrap_or_default();
            let (id, word, fields) = (text(part(0))?, text(part(1))?, text(part(2))?);
            let body = part(3).to_vec();
            connection.input.consume(length);
            connection.heard = context.now();
            connection.whole_by.take().inspect(|at| context.timers.clear(*at, Timer::AnswerComplete(slot)));
            if std::mem::take(&mut connection.asked) {
                self.schedule_writes(slot, context);
            }
            if word == "PONG" {
                self.cancel_acknowledged(slot, &id, context);
                continue;
            }
            match self.connections.get(slot).and_then(|connection| connection.attempts.get(&id)).copied() {
                Some(attempt) => self.handle_reply(attempt, &word, &fields, body, context)?,
                None => context.counters.count("engine_answers_for_nothing"),
            }
        }
    }

    /// What comes under a request's name behind what took its attempt back shows that its engine has given that up, and
    /// that no answer to it follows.
    fn cancel_acknowledged(&mut self, slot: Slot, id: &str, context: &mut Context) {
        let Some(attempt) =
            self.connections.get(slot).and_then(|connection| connection.attempts.get(id)).copied()
        else {
            return;
        };
        if let Some((end, _)) = self.attempts.get(attempt).and_then(|row| row.dropped) {
            self.end(attempt, end, None, context);
        }
    }

    fn handle_reply(
        &mut self,
        slot: Slot,
        word: &str,
        fields: &str,
        body: Vec<u8>,
        context: &mut Context,
    ) -> Result<(), String> {
        let Some(attempt) = self.attempts.get_mut(slot) else { return Ok(()) };
        let text = |name: &str| resp::field(fields, name, (',', '='));
        let figure =
            |name: &str| text(name).map(|value| number(name, value).map(|value| value.max(0.0))).transpose();
        let load_report = text("use").map(load_report).transpose()?;
        // What ended before its engine heard of that is as good as any, if it needs no further pages.
        let taken_back = attempt.dropped.is_some();
        if taken_back
            && (word == "INFO" || word == "HIT" && figure("pages")?.is_some_and(|pages| pages > 1.0))
        {
            return Ok(());
        }
        match word {
            // Guards against answers told twice or unasked: they cost nothing else on the connection.
            "HIT" if attempt.result.is_some() => {
                context.counters.count("engine_answers_repeated");
                Ok(())
            }
            "HIT" => {
                let pages = figure("pages")?.unwrap_or(1.0);
                if !(1.0..=MOST_PAGES as f64).contains(&pages) {
                    return Err(format!("a result of {pages} pages"));
                }
                let usage = figure("cost")?.zip(figure("need")?);
                let usage = usage.map(|(ms, memory_mb)| Usage { cost: from_ms(ms), memory_mb });
                let mut got = vec![None; pages as usize];
                got[0] = Some(body);
                attempt.result = Some(Pages { got, usage, load_report });
                let asks = (1..pages as usize).map(|page| {
                    resp::encode_array(&[b"PAGE", attempt.id.as_bytes(), page.to_string().as_bytes()])
                });
                let asks = asks.collect::<Vec<_>>().concat();
                self.write(slot, &asks, context);
                self.complete(slot, context)
            }
            "PART" => {
                let page = figure("page")?.ok_or("a page without its number")? as usize;
                let got = attempt.result.as_mut().and_then(|result| result.got.get_mut(page));
                match got.filter(|got| got.is_none()) {
                    Some(got) => *got = Some(body),
                    None => {
                        context.counters.count("engine_answers_repeated");
                        return Ok(());
                    }
                }
                self.complete(slot, context)
            }
            "INFO" => {
                let value = figure("v")?;
                let notice = match (text("detail"), value) {
                    (Some("advance"), Some(done)) => ProgressNote::Fraction(done),
                    (Some("disk"), Some(missing_mb)) => ProgressNote::Spilling(missing_mb),
                    (Some("stall"), Some(1.0)) => ProgressNote::WaitingForMemory,
                    (Some("stall"), Some(2.0)) => ProgressNote::WaitingForLoad,
                    (None, _) => ProgressNote::Running,
                    (detail, value) => return Err(format!("a note {detail:?} of {value:?}")),
                };
                context.counters.count("notes");
                self.events.push_back(PoolEvent::Progress(attempt.request, attempt.number, notice));
                Ok(())
            }
            "SHED" | "LATE" => {
                self.end(slot, AttemptOutcome::Overloaded, load_report, context);
                Ok(())
            }
            "FAULT" => {
                self.end(slot, AttemptOutcome::Failed, load_report, context);
                Ok(())
            }
            _ => Err(format!("the word {word} out of turn")),
        }
    }

    /// Ends an attempt whose pages are all there. Until then the next is due soon: guards against pages that never
    /// come.
    fn complete(&mut self, slot: Slot, context: &mut Context) -> Result<(), String> {
        let Some(attempt) = self.attempts.get_mut(slot) else { return Ok(()) };
        let Some(result) = attempt.result.as_mut() else { return Ok(()) };
        if result.got.iter().any(Option::is_none) {
            context.timers.clear(attempt.until, Timer::Attempt(slot));
            attempt.until = attempt.until.min(context.now() + self.comes_up * 2);
            context.timers.set(attempt.until, Timer::Attempt(slot));
            return Ok(());
        }
        let pages: Vec<Vec<u8>> = std::mem::take(&mut result.got).into_iter().flatten().collect();
        // Guards against noise in place of a result: it is passed on to nobody.
        if !pages.iter().all(|page| resp::holds_rows(page)) {
            return Err("a page that holds no whole rows of three columns".into());
        }
        let body = pages.concat();
        if body.len() > MOST_BYTES {
            return Err(format!("a result of {} bytes", body.len()));
        }
        self.finish(slot, AttemptOutcome::Succeeded, Some(body), None, context);
        Ok(())
    }

    fn end(
        &mut self,
        slot: Slot,
        end: AttemptOutcome,
        load_report: Option<LoadReport>,
        context: &mut Context,
    ) {
        self.finish(slot, end, None, load_report, context);
    }

    fn finish(
        &mut self,
        slot: Slot,
        end: AttemptOutcome,
        body: Option<Vec<u8>>,
        load_report: Option<LoadReport>,
        context: &mut Context,
    ) {
        let Some(attempt) = self.attempts.take(slot) else { return };
        let now = context.now();
        context.timers.clear(attempt.until, Timer::Attempt(slot));
        context.counters.count(match end {
            AttemptOutcome::Succeeded => "attempts_succeeded",
            AttemptOutcome::Failed => "attempts_failed",
            AttemptOutcome::Overloaded => "attempts_overloaded",
            AttemptOutcome::TimedOut => "attempts_timed_out",
            AttemptOutcome::Unreachable => "attempts_unreachable",
            AttemptOutcome::Broken => "attempts_broken",
            AttemptOutcome::Withdrawn => "attempts_withdrawn",
            AttemptOutcome::Void => "attempts_void",
        });
        if let Some((at, connection)) =
            attempt.connection.and_then(|at| Some((at, self.connections.get_mut(at)?)))
        {
            connection.attempts.remove(&attempt.id);
            connection.waiting.retain(|waits| *waits != slot);
            if connection.attempts.is_empty() {
                let idle = now + self.idle_close.mul_f64(RETIRED);
                connection.idle = Some(idle);
                context.timers.set(if connection.retired { now } else { idle }, Timer::ConnectionIdle(at));
            }
        }
        let (usage, told) = attempt.result.map_or((None, None), |result| (result.usage, result.load_report));
        let ended = AttemptEnded {
            request: attempt.request,
            attempt: attempt.number,
            engine: attempt.engine,
            outcome: end,
            elapsed: now.saturating_sub(attempt.sent),
            usage: usage.filter(|_| end == AttemptOutcome::Succeeded),
            load_report: load_report.or(told),
            request_done: false,
        };
        log::debug!(
            "task {} hop {} at engine {}: {end:?} after {:?}, bill {:?}, load {:?}",
            ended.request,
            ended.attempt,
            ended.engine,
            ended.elapsed,
            ended.usage,
            ended.load_report
        );
        let given_up =
            matches!(end, AttemptOutcome::Withdrawn | AttemptOutcome::TimedOut) && attempt.dropped.is_none();
        self.events.push_back(PoolEvent::Ended(ended, body, attempt.connection.filter(|_| given_up)));
    }

    fn write(&mut self, attempt: Slot, bytes: &[u8], context: &mut Context) {
        let Some(slot) = self.attempts.get(attempt).and_then(|attempt| attempt.connection) else { return };
        if let Some(connection) = self.connections.get_mut(slot) {
            connection.output.push(bytes);
            self.schedule_writes(slot, context);
        }
    }

    /// A new priority of an attempt that is out, behind its call.
    pub fn update_priority(&mut self, attempt: Slot, priority: u8, context: &mut Context) {
        let Some(row) = self.attempts.get_mut(attempt).filter(|row| row.dropped.is_none()) else { return };
        let bytes = resp::encode_array(&[b"RANK", row.id.as_bytes(), priority.to_string().as_bytes()]);
        match row.written {
            Some(_) => self.write(attempt, &bytes, context),
            None => row.call.extend(bytes),
        }
    }

    pub fn cancel(&mut self, attempt: Slot, context: &mut Context) {
        self.abandon(attempt, AttemptOutcome::Withdrawn, AttemptOutcome::Void, context);
    }

    /// Takes an attempt back, whose request may be sent again. Guards against two attempts of a request at engines at once, where
    /// the settings do not allow that: what gives one up and the next call go over different connections, and may
    /// come in either order. So its engine has to show first that it has heard, by answering what stands behind
    /// that on the same connection, or the connection is closed.
    pub fn cancel_before_resend(&mut self, attempt: Slot, context: &mut Context) {
        self.retract_unsent_call(attempt);
        let Some(row) = self.attempts.get_mut(attempt).filter(|row| row.dropped.is_none()) else { return };
        let Some(connection) =
            row.connection.filter(|_| row.written.is_some() && row.result.is_none() && !self.may_duplicate)
        else {
            return self.cancel(attempt, context);
        };
        row.dropped = Some((AttemptOutcome::Withdrawn, context.now()));
        let id = row.id.clone().into_bytes();
        let bytes = [resp::encode_array(&[b"DROP", &id]), resp::encode_array(&[b"PING", &id])].concat();
        context.counters.count("attempts_taken_back");
        self.write(attempt, &bytes, context);
        self.schedule_check(connection, context.now() + self.comes_up, context);
    }

    /// The connection that an attempt is on.
    pub fn connection_of(&self, attempt: Slot) -> Option<Slot> {
        self.attempts.get(attempt)?.connection
    }

    /// An attempt's time is over; whoever holds the sockets has read what came for it before.
    pub fn attempt_overdue(&mut self, attempt: Slot, context: &mut Context) {
        if self.attempts.get(attempt).is_some_and(|attempt| attempt.until <= context.now()) {
            self.abandon(attempt, AttemptOutcome::TimedOut, AttemptOutcome::Unreachable, context);
        }
    }

    /// Gives an attempt up, at the engine too; what was never written never ran.
    fn abandon(&mut self, slot: Slot, end: AttemptOutcome, unwritten: AttemptOutcome, context: &mut Context) {
        if self.attempts.get(slot).is_some_and(|attempt| attempt.dropped.is_some()) {
            return self.end(slot, end, None, context);
        }
        self.retract_unsent_call(slot);
        let Some(attempt) = self.attempts.get(slot) else { return };
        if attempt.written.is_none() {
            return self.end(slot, unwritten, None, context);
        }
        let word: &[u8] = if attempt.result.is_some() { b"CLOSE" } else { b"DROP" };
        let bytes = resp::encode_array(&[word, attempt.id.as_bytes()]);
        self.write(slot, &bytes, context);
        self.end(slot, end, None, context);
    }

    /// A connection that has not come up, or has not shown that it works, in time.
    pub fn connection_check_due(&mut self, slot: Slot, now: Duration, context: &mut Context) {
        let Some(connection) =
            self.connections.get_mut(slot).filter(|connection| connection.due.is_some_and(|at| at <= now))
        else {
            return;
        };
        connection.due = None;
        let next = connection.heard + self.comes_up * 2;
        let attempts =
            || connection.attempts.values().filter_map(|attempt| self.attempts.get(*attempt)?.dropped);
        let unheard = attempts().any(|(_, since)| since + self.comes_up <= now);
        let waits = attempts().map(|(_, since)| since + self.comes_up).min();
        let next = waits.map_or(next, |at| at.min(next));
        if !connection.up {
            context.counters.count("connections_not_up_in_time");
            self.close_connection(slot, "not up in time", false, context);
        } else if connection.asked || unheard {
            // Nothing that it carries can be answered any more.
            context.counters.count("connections_silent");
            self.close_connection(slot, "silent", true, context);
        } else if connection.attempts.is_empty() {
            // Looked at again with its next attempt.
        } else if next <= now {
            self.send_ping(slot, context);
            self.schedule_writes(slot, context);
        } else {
            self.schedule_check(slot, next, context);
        }
    }

    pub fn connection_idle(&mut self, slot: Slot, context: &mut Context) {
        if let Some(connection) =
            self.connections.get(slot).filter(|connection| connection.attempts.is_empty())
            && (connection.retired || connection.idle.is_some_and(|at| at <= context.now()))
        {
            self.close_connection(slot, "idle", true, context);
        }
    }

    /// Closes a connection; of what it carried, that of which nothing was written never ran. Where the engine
    /// had been `there`, that goes on to another connection once: guards against resets of new and of idle
    /// ones, which tell nothing of the engine.
    pub fn close_connection(&mut self, slot: Slot, why: &str, there: bool, context: &mut Context) {
        let Some(connection) = self.connections.take(slot) else { return };
        self.commands.push_back(PoolCommand::Close(slot));
        log::debug!(
            "engine {}: connection {slot:?} over with {} hops: {why}",
            connection.engine,
            connection.attempts.len()
        );
        self.book
            .entry(connection.engine)
            .and_modify(|known| known.connections.retain(|other| *other != slot));
        connection.due.inspect(|at| context.timers.clear(*at, Timer::Connection(slot)));
        connection.whole_by.inspect(|at| context.timers.clear(*at, Timer::AnswerComplete(slot)));
        connection.idle.inspect(|at| context.timers.clear(*at, Timer::ConnectionIdle(slot)));
        if there && !connection.attempts.is_empty() {
            context.counters.count("connections_lost");
        }
        for attempt in connection.attempts.into_values() {
            let Some(row) = self.attempts.get_mut(attempt) else { continue };
            row.connection = None;
            if let Some((end, _)) = row.dropped {
                self.end(attempt, end, None, context);
            } else if row.written.is_some_and(|from| connection.output.passed() > from) {
                self.end(attempt, AttemptOutcome::Broken, None, context);
            } else if !there || std::mem::replace(&mut row.moved, true) {
                self.end(attempt, AttemptOutcome::Unreachable, None, context);
            } else {
                self.assign_connection(attempt, context);
            }
        }
    }

    /// How many engines, connections and attempts are known.
    pub fn held(&self) -> (usize, usize, usize) {
        (self.book.len(), self.connections.len(), self.attempts.len())
    }

    pub fn attempt_index(&self, attempt: Slot) -> Option<usize> {
        self.attempts.place(attempt)
    }

    pub fn connection_index(&self, connection: Slot) -> Option<usize> {
        self.connections.place(connection)
    }

    /// Feeds the state to `into`, times told from `now`: states that print alike go on alike.
    pub fn fingerprint(&self, now: Duration, into: &mut impl Hasher) {
        let since = |at: Duration| at.as_micros() as i64 - now.as_micros() as i64;
        let places: BTreeMap<Slot, usize> = self.connections.iter().map(|(slot, _)| slot).zip(0..).collect();
        for (number, engine) in &self.book {
            (number, engine.ready, engine.launched.map(since)).hash(into);
            engine.connections.iter().for_each(|slot| places.get(slot).hash(into));
        }
        for (_, connection) in self.connections.iter() {
            let mut unread = Vec::new();
            // What has come so far, and what waits to leave.
            for ring in [&connection.input, &connection.output] {
                let _ = ring.clone().drain(&mut unread);
                unread.len().hash(into);
            }
            unread.hash(into);
            (
                connection.engine,
                connection.up,
                connection.retired,
                connection.asked,
                connection.attempts.len(),
                connection.waiting.len(),
            )
                .hash(into);
            let times = [
                Some(connection.opened),
                Some(connection.heard),
                connection.due,
                connection.whole_by,
                connection.idle,
            ];
            times.map(|at| at.map(since)).hash(into);
        }
        for (slot, attempt) in self.attempts.iter() {
            let connection = attempt.connection.and_then(|connection| self.connections.get(connection));
            let begun =
                connection.zip(attempt.written).map(|(connection, from)| connection.output.passed() > from);
            let waits =
                connection.map(|connection| connection.waiting.iter().position(|waits| *waits == slot));
            (
                attempt.request,
                attempt.number,
                attempt.connection.and_then(|connection| places.get(&connection)),
                begun,
                waits,
            )
                .hash(into);
            (since(attempt.until), attempt.moved, attempt.kept_back, attempt.call.is_empty()).hash(into);
            attempt.dropped.map(|(_, at)| since(at)).hash(into);
            attempt.owing.iter().filter_map(|connection| places.get(connection)).for_each(|at| at.hash(into));
            attempt.result.as_ref().map(|result| &result.got).hash(into);
        }
    }

    pub fn all_written(&self) -> bool {
        self.connections.iter().all(|(_, connection)| connection.output.is_empty())
    }
}

/// The load that an answer reports.
fn load_report(text: &str) -> Result<LoadReport, String> {
    build_load_report(|names| {
        let found = names.iter().find_map(|name| Some((*name, resp::field(text, name, (';', ':'))?)));
        found.map(|(name, value)| number(name, value)).transpose()
    })
}

fn number(name: &str, value: &str) -> Result<f64, String> {
    let number = value.parse().ok().filter(|number: &f64| number.is_finite());
    number.ok_or_else(|| format!("`{name}` is no number: {value}"))
}

#[cfg(test)]
#[path = "../tests/unit/engine_pool.rs"]
mod tests;
