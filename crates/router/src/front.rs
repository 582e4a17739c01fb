//! The loop that owns the decisions: what comes in is told to them, turn by turn.

use crate::bulletin::{self, Bulletin, Row};
use crate::clients::{Clients, Heard, MOST_OPEN};
use crate::clock::Clock;
use crate::counters::Counters;
use crate::deadlines::{Deadlines, Due};
use crate::engines::{Engines, News};
use crate::floor::{Floor, Task, Tasks};
use crate::jsonrpc::{self, Objection};
use crate::premises::Briefing;
use crate::ring::Filled;
use crate::slots::Slot;
use crate::statement;
use crate::works::{Works, has_come_up};
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, Mode, PostAction, RegistrationToken};
use emberflow::{Arrival, Ended, KeyId, Router, TaskId};
use emberflow_startup::{Fields, from_ms};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// Lines taken from one client in one turn of the loop.
const LINES: usize = 64;
/// The largest figure that a client is believed.
const MOST_FIGURE: f64 = 1e9;
/// The longest that a client's wait is believed to be.
const LONGEST: Duration = Duration::from_secs(3600);
/// The bulletin sends something each second; it is dialled again after so much silence, or so long after a
/// failure.
const SILENCE: Duration = Duration::from_millis(2500);
const AGAIN: Duration = Duration::from_millis(200);
/// After SIGTERM clients go on coming for so long. SIGKILL comes as long after the longest patience, of which
/// no more than the second figure counts.
const STRAGGLERS: Duration = Duration::from_millis(700);
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// What the signal and the last answers may take on their way.
const ON_THE_WAY: Duration = Duration::from_millis(150);
/// How often an end is looked for.
const LOOK: Duration = Duration::from_millis(10);
/// New connections wait so long where there is no room.
const PAUSE: Duration = Duration::from_millis(50);

pub struct Front {
    router: Router,
    floor: Floor,
    bulletin: Bulletin,
    /// Clients that have more to say than one turn took.
    unheard: Vec<Slot>,
    /// When the process ends at the latest, once that is planned.
    leaving: Option<Duration>,
    left: bool,
    door: RegistrationToken,
    /// The longest patience of any traffic type.
    longest: Duration,
    /// Reads the configuration.
    read: Box<dyn Fn() -> Result<Briefing, String>>,
}

impl Front {
    /// Serves until a planned restart ends it. The configuration is read at the start and at each SIGHUP.
    pub fn run(read: impl Fn() -> Result<Briefing, String> + 'static) -> Result<(), String> {
        let Briefing { premises, fleet, traffic, duties, last, events } = read()?;
        let longest = traffic.iter().map(|traffic| traffic.patience).max().unwrap_or_default();
        let fault = |what: &str, e: &dyn std::fmt::Display| format!("{what}: {e}");
        let mut event_loop = EventLoop::try_new().map_err(|e| fault("the loop", &e))?;
        let ear = event_loop.handle();
        let stops = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGUSR1])
            .map_err(|e| fault("signals", &e))?;
        let heard =
            |event: calloop::signals::Event, _: &mut (), front: &mut Self| front.signal(event.signal());
        ear.insert_source(stops, heard).map_err(|e| fault("signals", &e))?;
        let listener = TcpListener::bind(premises.listen);
        let listener = listener.map_err(|e| fault(&format!("listening on {}", premises.listen), &e))?;
        listener.set_nonblocking(true).map_err(|e| fault("listening", &e))?;
        let address = listener.local_addr().map_err(|e| fault("listening", &e))?;
        log::info!("{} listens on {address}", premises.name);
        let listener = Rc::new(listener);
        let source = Generic::new(Rc::clone(&listener), Interest::READ, Mode::Level);
        let admits = move |_, _: &mut _, front: &mut Self| Ok(front.admit(&listener));
        let door = ear.insert_source(source, admits).map_err(|e| fault("listening", &e))?;
        let clock = Clock::starting(duties.warm_up);
        let (deadlines, counters) = (Deadlines::default(), Counters::default());
        let mut front = Self {
            router: Router::new(fleet, traffic, duties),
            bulletin: Bulletin::after(last, &premises),
            unheard: Vec::new(),
            leaving: None,
            left: false,
            door,
            longest,
            read: Box::new(read),
            floor: Floor {
                clients: Clients::within(premises.most_bytes(), premises.most_held_bytes()),
                engines: Engines::new(
                    premises.streams,
                    premises.comes_up,
                    premises.idle_close,
                    premises.most_links(),
                ),
                works: Works { clock, deadlines, counters, ear },
                tasks: Tasks::default(),
                serving: false,
                premises,
            },
        };
        for (whole, rows) in events {
            front.listed(whole, &rows);
        }
        front.dial_bulletin();
        while !front.left {
            let floor = &front.floor;
            let due = floor.works.deadlines.first().map(|at| at.saturating_sub(floor.works.now()));
            let done = front.unheard.is_empty() && floor.engines.unread.is_empty();
            let wait = if done { due } else { Some(Duration::ZERO) };
            event_loop.dispatch(wait, &mut front).map_err(|e| fault("the loop", &e))?;
            front.turn();
        }
        log::info!("counters at exit: {}", front.floor.tally());
        Ok(())
    }

    /// What follows the sockets in each turn of the loop.
    fn turn(&mut self) {
        for slot in std::mem::take(&mut self.unheard) {
            self.client_ready(slot);
        }
        for slot in std::mem::take(&mut self.floor.engines.unread) {
            self.link_ready(slot);
        }
        while let Some(due) = self.floor.works.deadlines.pop(self.floor.works.now()) {
            let now = self.floor.works.now();
            let Floor { engines, works, .. } = &mut self.floor;
            match due {
                Due::Wake => self.router.wake(now, &mut self.floor),
                Due::Hop(slot) => engines.overdue(slot, works),
                Due::Link(slot) => engines.link_overdue(slot, now, works),
                Due::Whole(slot) => engines.not_whole(slot, works),
                Due::Idle(slot) => engines.link_idle(slot, works),
                Due::Bulletin => self.dial_bulletin(),
                Due::Client(slot) => self.client_overdue(slot, now),
                Due::Admit => self.open_the_door(),
                Due::Leave => self.leave(),
            }
            self.tell();
        }
        for slot in std::mem::take(&mut self.floor.clients.ending) {
            if self.floor.clients.finished(slot) {
                self.client_gone(slot);
            }
        }
        while let Some(slot) = self.floor.clients.swollen() {
            self.floor.works.counters.count("clients_too_slow");
            self.client_gone(slot);
        }
    }

    /// Tells the decisions what came of their hops, until nothing is new.
    fn tell(&mut self) {
        while let Some(news) = self.floor.engines.news.pop_front() {
            let now = self.floor.works.now();
            match news {
                News::Noticed(task, hop, notice) => {
                    self.router.notice(now, task, hop, notice, &mut self.floor);
                }
                News::Ended(ended, body, owing) => {
                    if let Some((link, task)) = owing.zip(self.floor.tasks.get_mut(ended.task)) {
                        task.owing.push(link);
                    }
                    self.ended(now, ended, body);
                }
            }
        }
    }

    fn ended(&mut self, now: Duration, mut ended: Ended, body: Option<Vec<u8>>) {
        if let Some(body) = body {
            // Not owed where the client has withdrawn in between.
            self.floor.answer(ended.task, "tasks_succeeded", |id| jsonrpc::result(id, &body));
        }
        ended.over = self.floor.tasks.get(ended.task).is_none();
        self.router.hop_ended(now, ended, &mut self.floor);
    }

    // ---- clients ----

    /// Takes new connections in. Where there is no room, the one that has been idle longest makes some;
    /// where none is, new ones wait a little with the kernel.
    fn admit(&mut self, listener: &TcpListener) -> PostAction {
        loop {
            let full = self.floor.clients.table.len() >= self.floor.premises.most_clients();
            if full && self.floor.clients.idlest().is_none() {
                return self.pause();
            }
            match listener.accept() {
                Ok((socket, _)) => {
                    if full {
                        self.make_room();
                    }
                    let floor = &mut self.floor;
                    let slot = floor.clients.table.next();
                    match floor.works.attend(socket, move |front| front.client_ready(slot)) {
                        Ok(wire) => {
                            let due = floor.clients.admit(wire, floor.works.now());
                            floor.works.deadlines.set(due, Due::Client(slot));
                            floor.works.counters.count("clients_admitted");
                            self.unheard.push(slot);
                        }
                        Err(error) => {
                            floor.works.counters.count("clients_not_admitted");
                            log::warn!("a client was not admitted: {error}");
                        }
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return PostAction::Continue,
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted) => {}
                Err(error) => {
                    self.floor.works.counters.count("accepts_failed");
                    log::warn!("accept: {error}");
                    if !self.make_room() {
                        return self.pause();
                    }
                }
            }
        }
    }

    fn make_room(&mut self) -> bool {
        let idle = self.floor.clients.idlest();
        if let Some(slot) = idle {
            self.floor.works.counters.count("clients_closed_for_room");
            self.client_gone(slot);
        }
        idle.is_some()
    }

    fn open_the_door(&mut self) {
        if let Err(error) = self.floor.works.ear.enable(&self.door) {
            log::error!("no connection is accepted any more: {error}");
            self.floor.works.counters.must(false, "a_closed_door");
        }
    }

    fn pause(&mut self) -> PostAction {
        let works = &mut self.floor.works;
        works.counters.count("accepts_paused");
        works.deadlines.set(works.now() + PAUSE, Due::Admit);
        PostAction::Disable
    }

    pub(crate) fn client_ready(&mut self, slot: Slot) {
        if self.floor.clients.flush(slot).is_err() {
            return self.client_gone(slot);
        }
        for _ in 0..LINES {
            let now = self.floor.works.now();
            match self.floor.clients.hear(slot, now) {
                Heard::Line(line) => {
                    if let Err((id, code, message)) = self.line(slot, &line) {
                        self.object(slot, id, code, &message);
                    }
                    self.tell();
                }
                Heard::Passed => {}
                Heard::TooLong => self.object(slot, None, jsonrpc::PARSE, "a line without end"),
                Heard::Closed => return self.client_gone(slot),
                Heard::Nothing => return,
            }
        }
        self.unheard.push(slot);
    }

    fn object(&mut self, slot: Slot, id: Option<u64>, code: i64, message: &str) {
        self.floor.works.counters.count("client_input_refused");
        log::debug!("refused from a client: {message}");
        self.reply(slot, &jsonrpc::error(id, code, message, None));
    }

    fn reply(&mut self, slot: Slot, line: &[u8]) {
        if self.floor.clients.say(slot, line).is_err() {
            self.client_gone(slot);
        }
    }

    fn line(&mut self, slot: Slot, line: &[u8]) -> Result<(), Objection> {
        let (id, method, params) = jsonrpc::request(line)?;
        match method.as_str() {
            "status" => self.status(slot, id),
            "withdraw" => {
                self.withdrawn(slot, id, Fields(&params));
                Ok(())
            }
            _ => self.take(slot, id, &method, Fields(&params)),
        }
    }

    fn status(&mut self, slot: Slot, id: Option<u64>) -> Result<(), Objection> {
        let id = id.ok_or_else(|| (id, jsonrpc::INVALID, "`status` without an id".to_owned()))?;
        let serving = self.floor.serving && self.leaving.is_none();
        self.reply(slot, &jsonrpc::status(id, serving));
        Ok(())
    }

    /// A client has stopped waiting for a task, which it names by its `req` or by its id here.
    fn withdrawn(&mut self, slot: Slot, id: Option<u64>, fields: Fields) {
        let (req, id) = (fields.text("req").unwrap_or_default(), fields.whole("id").ok().or(id));
        let Some(client) = self.floor.clients.table.get(slot) else { return };
        let named = |number: &TaskId| {
            self.floor.tasks.get(*number).is_some_and(|task| task.req == req || Some(task.id) == id)
        };
        if let Some(task) = client.open.values().copied().find(named) {
            self.withdraw(self.floor.works.now(), task);
        }
    }

    fn take(&mut self, slot: Slot, id: Option<u64>, method: &str, fields: Fields) -> Result<(), Objection> {
        let now = self.floor.works.now();
        let class = self.floor.premises.traffic.iter().position(|name| name == method);
        let class = class.ok_or_else(|| (id, jsonrpc::NO_METHOD, format!("no method `{method}`")))?;
        let invalid = |id: Option<u64>, what: &str| Err((id, jsonrpc::INVALID, what.to_owned()));
        let Some(number) = id else { return invalid(None, "a task without an id") };
        let Some(client) = self.floor.clients.table.get(slot) else { return Ok(()) };
        if client.open.contains_key(&number) {
            // Under that id it would pass for the answer that the open one is owed.
            return invalid(None, "`id` is open already");
        }
        if client.open.len() >= MOST_OPEN {
            return invalid(id, "too many open requests");
        }
        let wrong = |what: String| (id, jsonrpc::BAD_PARAMS, what);
        let maybe_text =
            |name: &str| fields.maybe(name).map(|_| fields.text(name)).transpose().map_err(wrong);
        // A figure that can't be true is not learned from: none is below 0 or beyond years or petabytes.
        let positive = |name: &str| {
            let value = fields.maybe(name).map(|_| fields.number(name)).transpose().map_err(wrong)?;
            match value {
                Some(value) if !(0.0..=MOST_FIGURE).contains(&value) => {
                    Err(wrong(format!("`{name}` is out of range")))
                }
                value => Ok(value.filter(|v| *v > 0.0)),
            }
        };
        let req = fields.text("req").map_err(wrong)?;
        if req.len() != 16 || !req.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(wrong("`req` is not 16 hex digits".into()));
        }
        // Engines tell tasks apart by it alone, whoever asks.
        if self.floor.tasks.holds(req) {
            return invalid(id, "`req` is open already");
        }
        let opkey = maybe_text("opkey")?;
        if opkey.is_some_and(|key| key.bytes().any(|b| !b.is_ascii_alphanumeric())) {
            return Err(wrong("`opkey` holds more than letters and digits".into()));
        }
        let subject = maybe_text("subject")?;
        let patience = positive("timeout")?.ok_or_else(|| wrong("`timeout` is not above 0".into()))?;
        let (cost, memory_mb) = (positive("ms")?.map(from_ms).filter(|c| !c.is_zero()), positive("memory")?);
        let body = jsonrpc::body(fields.text("data").map_err(wrong)?);
        let statement = body.ok_or_else(|| wrong("`data` is not base64".into()))?;
        let group = std::str::from_utf8(&statement).map(statement::group);
        let group = group.map_err(|_| wrong("`data` is no text".into()))?;
        let resent = match fields
            .maybe("resent")
            .map(|value| value.as_bool().map_or(value.as_u64(), |b| Some(b.into())))
        {
            None => false,
            Some(Some(told @ (0 | 1))) => told == 1,
            Some(_) => return Err(wrong("`resent` is not 0 or 1".into())),
        };
        let floor = &mut self.floor;
        let arrival = Arrival {
            task: floor.tasks.next,
            traffic: class,
            key: subject.map(key),
            cost,
            memory_mb,
            patience: from_ms(patience).min(LONGEST),
            later_try: floor.premises.marks_retries.then_some(resent),
            group,
        };
        log::debug!(
            "task {} {req}: {method}, cost {cost:?}, memory {memory_mb:?} MB, group {:?}, patience {patience} ms, \
             resent {resent}, key {opkey:?}",
            arrival.task,
            arrival.group
        );
        let (req, opkey) = (req.to_owned(), opkey.map(str::to_owned));
        if !floor.open(Task::new(slot, number, req, class, opkey, statement)) {
            return Err((id, jsonrpc::BOUNCED, "too many tasks are open".into()));
        }
        self.router.accept(now, arrival, floor);
        Ok(())
    }

    /// No answer is owed any more.
    fn withdraw(&mut self, now: Duration, number: TaskId) {
        if self.floor.close(number, "tasks_withdrawn").is_some() {
            self.router.client_left(now, number, &mut self.floor);
            self.tell();
        }
    }

    fn client_overdue(&mut self, slot: Slot, now: Duration) {
        match self.floor.clients.overdue(slot, now) {
            Ok(begun) => {
                self.floor.works.counters.count(if begun { "clients_stalled" } else { "clients_idle" });
                if begun {
                    self.object(slot, None, jsonrpc::PARSE, "a line that stopped short");
                }
                self.client_gone(slot);
            }
            Err(due) => self.floor.works.deadlines.set(due, Due::Client(slot)),
        }
    }

    fn client_gone(&mut self, slot: Slot) {
        let Some(client) = self.floor.clients.take(slot) else { return };
        self.floor.works.deadlines.clear(client.due, Due::Client(slot));
        let now = self.floor.works.now();
        for task in client.open.into_values() {
            self.withdraw(now, task);
        }
    }

    // ---- engines and their list ----

    pub(crate) fn link_ready(&mut self, slot: Slot) {
        let Floor { engines, works, .. } = &mut self.floor;
        engines.ready(slot, works);
        self.tell();
    }

    fn listed(&mut self, whole: bool, rows: &[Row]) {
        let Floor { engines, works, .. } = &mut self.floor;
        let listings: Vec<_> = rows.iter().map(|row| engines.listed(row, works)).collect();
        self.floor.serving |= listings.iter().any(|row| row.ready);
        self.floor.works.counters.count("list_events");
        let now = self.floor.works.now();
        self.router.engines_changed(now, whole, listings, &mut self.floor);
        self.tell();
    }

    fn dial_bulletin(&mut self) {
        self.bulletin = self.bulletin.anew();
        self.floor.works.counters.count("bulletin_dialled");
        match self.floor.works.dial(self.floor.premises.bulletin, |front| front.bulletin_ready()) {
            Ok(wire) => {
                self.bulletin.wire = Some(wire);
                self.expect_bulletin(SILENCE);
            }
            Err(_) => self.expect_bulletin(AGAIN),
        }
    }

    /// The bulletin is dialled anew unless this is put off in time.
    fn expect_bulletin(&mut self, wait: Duration) {
        let works = &mut self.floor.works;
        works.deadlines.clear(self.bulletin.due, Due::Bulletin);
        self.bulletin.due = works.now() + wait;
        works.deadlines.set(self.bulletin.due, Due::Bulletin);
    }

    fn bulletin_ready(&mut self) {
        if let Err(why) = self.read_bulletin() {
            if self.bulletin.greeted {
                log::info!("bulletin: {why}");
            }
            self.floor.works.counters.count("bulletin_lost");
            self.bulletin.wire = None;
            self.expect_bulletin(AGAIN);
        }
    }

    fn read_bulletin(&mut self) -> Result<(), String> {
        loop {
            let Some(wire) = &self.bulletin.wire else { return Ok(()) };
            let socket = Rc::clone(&wire.socket);
            if !self.bulletin.greeted {
                if !has_come_up(&socket).map_err(|e| e.to_string())? {
                    return Ok(());
                }
                let last = self.bulletin.last.to_be_bytes();
                io::Write::write_all(&mut &*socket, &last).map_err(|e| e.to_string())?;
                self.bulletin.greeted = true;
            }
            let filled = self
                .bulletin
                .input
                .fill(&mut &*socket, 2 * bulletin::MOST_BYTES)
                .map_err(|e| e.to_string())?;
            while let Some((number, rows)) = self.bulletin.take(&mut self.floor.works.counters)? {
                self.expect_bulletin(SILENCE);
                if let Some((whole, rows)) = rows {
                    log::info!("bulletin: event {number} with {} engines", rows.len());
                    self.listed(whole, &rows);
                }
            }
            match filled {
                Filled::Closed => return Err("closed".into()),
                Filled::Drained => return Ok(()),
                Filled::Enough => {}
            }
        }
    }

    /// The configuration anew: the bulletin's address takes effect, all else takes a restart. Open tasks,
    /// connections and what was learned stay. Guards against files that are written wrong under load: they
    /// change nothing.
    fn reload(&mut self) {
        match (self.read)() {
            Ok(Briefing { premises, .. }) => {
                log::info!("configuration read anew, bulletin at {}", premises.bulletin);
                self.floor.works.counters.count("reloads");
                self.floor.premises.bulletin = premises.bulletin;
                self.dial_bulletin();
            }
            Err(error) => {
                log::error!("configuration not read anew, the old one stays: {error}");
                self.floor.works.counters.count("reloads_refused");
            }
        }
    }

    // ---- the end ----

    fn signal(&mut self, signal: Signal) {
        log::info!("counters: {}", self.floor.tally());
        if signal == Signal::SIGHUP {
            self.reload();
        } else if signal != Signal::SIGUSR1 && self.leaving.is_none() {
            let works = &mut self.floor.works;
            let now = works.now();
            let by = now + self.longest.min(LONGEST_COUNTED) + STRAGGLERS - ON_THE_WAY;
            self.leaving = Some(by);
            works.deadlines.set(now + STRAGGLERS, Due::Leave);
            self.router.closing(now, by, &mut self.floor);
            self.tell();
        }
    }

    /// Ends once nothing is open, or when SIGKILL may come.
    fn leave(&mut self) {
        let floor = &mut self.floor;
        let now = floor.works.now();
        let done = floor.tasks.is_empty() && floor.clients.all_said() && floor.engines.all_written();
        self.left = done || self.leaving.is_some_and(|by| now >= by);
        floor.works.deadlines.set(now + LOOK, Due::Leave);
    }
}

/// The index of what a task's order goes by. Two names that came to one would only wait for each other.
fn key(subject: &str) -> KeyId {
    let mut hasher = DefaultHasher::new();
    subject.hash(&mut hasher);
    hasher.finish() as KeyId
}
