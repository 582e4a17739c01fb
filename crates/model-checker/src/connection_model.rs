//! A world round the machine of connections and attempts: engines that answer, shed, spoil, split, repeat, fall
//! silent, reset or are replaced at their address, while calls are sent, dropped and overdue. The machine inside
//! is the router's own; the sockets are two byte strings.

use crate::search::Walk;
use crate::witness;
use emberflow::{AttemptOutcome, EngineId, RequestId};
use emberflow_router::context::Context;
use emberflow_router::discovery::Row;
use emberflow_router::engine_pool::{Call, EnginePool, PoolCommand, PoolEvent};
use emberflow_router::resp;
use emberflow_router::slots::Slot;
use emberflow_router::timers::Timer;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{Cursor, Read, Write};
use std::time::Duration;

const COMES_UP: Duration = Duration::from_millis(100);
const IDLE: Duration = Duration::from_millis(1000);
/// A call is abandoned after so long.
const DEADLINE: Duration = Duration::from_millis(350);

pub struct Connections {
    pub name: &'static str,
    pub says: &'static str,
    /// How many requests, and attempts of each.
    pub requests: usize,
    pub attempts: usize,
    /// What an engine may say, and how often in all it may do what it should not.
    pub words: &'static [Word],
    pub faults: u8,
    /// What the list may tell, once.
    pub listed: &'static [Told],
    /// Connections that the machine may have, and calls that one carries.
    pub most_connections: usize,
    pub streams: usize,
    /// Bytes that a socket takes until it flows; `None` where it always does.
    pub narrow: Option<usize>,
    pub cancels: bool,
    pub short: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    Hit,
    HitOfTwo,
    Part,
    Shed,
    Fault,
    Note,
    /// A whole answer where one was said before, be that of one page or of more.
    Again,
    /// An answer under an id that nobody has.
    Stray,
    /// The first half of a result; the rest may follow.
    Half,
    Rest,
    Noise,
    Pong,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Told {
    Drains,
    /// The process started anew at its address.
    Anew,
    /// It is gone, and its number is let go.
    Gone,
    /// Another stands at its address under an id of its own; the former is gone.
    Replaced,
}

#[derive(Clone, Copy, Debug)]
pub enum Step {
    Call { request: usize },
    Up { connection: Slot },
    Refuse { connection: Slot },
    Says { connection: Slot, call: usize, word: Word },
    Resets { connection: Slot },
    Flows { connection: Slot },
    Cancel { call: usize },
    List { what: Told },
    Pass,
}

/// The far end of a connection.
#[derive(Clone, Default)]
pub(crate) struct Far {
    pub up: bool,
    /// Bytes that it will still take; `None` for any number.
    pub room: Option<usize>,
    pub inbox: Vec<u8>,
    /// Calls that came whole, by their places.
    got: Vec<usize>,
    /// Pages that it was asked for, by call.
    asked: Vec<usize>,
    pub pings: usize,
    /// What is left of an answer that was begun.
    rest: Vec<u8>,
    /// It has sent what nothing can follow.
    spoilt: bool,
}

impl Far {
    /// One that takes so many bytes, or any number.
    pub fn taking(room: Option<usize>) -> Self {
        Self { room, ..Self::default() }
    }
}

/// An attempt as the world knows it.
#[derive(Clone)]
struct Attempt {
    request: usize,
    number: usize,
    slot: Slot,
    until: Duration,
    end: Option<AttemptOutcome>,
    /// How often it came to an engine whole.
    came: u8,
    /// Whether an engine said its word on it, and how many pages that has.
    hit: Option<usize>,
    noted: bool,
}

#[derive(Clone)]
pub struct Scene {
    pub now: Duration,
    context: Context,
    engines: EnginePool,
    engine: EngineId,
    ready: bool,
    far: BTreeMap<Slot, Far>,
    attempts: Vec<Attempt>,
    /// Connections that may still answer an attempt that was given up, by its request.
    owing: Vec<(usize, Slot)>,
    faults: u8,
    listed: bool,
    broken: Option<&'static str>,
}

/// What the machine does, as those see it who stand round it, and an end at which nothing can come any more.
enum Act<'a> {
    /// An attempt ends; `by` is the one that an engine's word was about.
    Ends {
        attempt: usize,
        end: AttemptOutcome,
        body: Option<&'a [u8]>,
        by: Option<usize>,
    },
    /// A call has come whole to an engine.
    Comes {
        attempt: usize,
    },
    /// A call begins to leave.
    Leaves,
    /// Time goes on to then.
    Passes {
        to: Duration,
    },
    Rests,
}

/// The laws of connections and attempts: names, words, and what breaks them.
pub struct Law(pub &'static str, pub &'static str, fn(&Scene, &Act) -> bool);

pub const LAWS: [Law; 7] = [
    Law("one end", "every attempt ends in its time, and once", ends_twice),
    Law(
        "honest end",
        "an end that says it never ran is of a call that never came whole to an engine",
        ends_falsely,
    ),
    Law("comes once", "a call comes whole to an engine at most once", comes_again),
    Law("whole result", "a result is exactly one engine's whole answer to that attempt", spoils),
    Law("own answer", "a well-formed answer ends no other attempt than its own", ends_another),
    Law(
        "no call after a drain",
        "no call begins to leave for an engine after its drain was told",
        |scene, act| matches!(act, Act::Leaves) && !scene.ready,
    ),
    Law("nothing held_counts", "at rest there is no attempt, connection or deadline", keeps),
];

fn ends_twice(scene: &Scene, act: &Act) -> bool {
    match act {
        Act::Ends { attempt, .. } => scene.attempts[*attempt].end.is_some(),
        Act::Rests => scene.attempts.iter().any(|attempt| attempt.end.is_none()),
        Act::Passes { to } => {
            scene.attempts.iter().any(|attempt| attempt.end.is_none() && attempt.until < *to)
        }
        _ => false,
    }
}

fn ends_falsely(scene: &Scene, act: &Act) -> bool {
    let Act::Ends { attempt, end: AttemptOutcome::Void | AttemptOutcome::Unreachable, .. } = act else {
        return false;
    };
    scene.attempts[*attempt].came > 0
}

fn comes_again(scene: &Scene, act: &Act) -> bool {
    matches!(act, Act::Comes { attempt } if scene.attempts[*attempt].came > 0)
}

fn spoils(scene: &Scene, act: &Act) -> bool {
    let Act::Ends { attempt, end, body, .. } = act else { return false };
    let attempt = &scene.attempts[*attempt];
    let pages = attempt.hit.unwrap_or(0);
    let whole: String = (0..pages).map(|at| page(attempt.request, attempt.number, at)).collect();
    let right = pages > 0 && *body == Some(whole.as_bytes());
    (*end == AttemptOutcome::Succeeded) != body.is_some() || body.is_some() && !right
}

fn ends_another(_: &Scene, act: &Act) -> bool {
    matches!(act, Act::Ends { attempt, by: Some(by), .. } if attempt != by)
}

fn keeps(scene: &Scene, act: &Act) -> bool {
    let (_, connections, attempts) = scene.engines.held();
    matches!(act, Act::Rests) && connections + attempts + scene.context.timers.len() + scene.far.len() > 0
}

pub(crate) struct Socket<'a>(pub &'a mut Far);

impl Write for Socket<'_> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let taken = self.0.room.map_or(bytes.len(), |room| room.min(bytes.len()));
        if taken == 0 {
            return Err(std::io::ErrorKind::WouldBlock.into());
        }
        self.0.room = self.0.room.map(|room| room - taken);
        self.0.inbox.extend(&bytes[..taken]);
        Ok(taken)
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Bytes that came, and what follows them: nothing for now, the end, or a reset.
pub(crate) struct Came(Cursor<Vec<u8>>, Option<std::io::ErrorKind>);

impl Came {
    pub fn then_silent(bytes: Vec<u8>) -> Self {
        Self(Cursor::new(bytes), Some(std::io::ErrorKind::WouldBlock))
    }

    pub fn then_reset() -> Self {
        Self(Cursor::default(), Some(std::io::ErrorKind::ConnectionReset))
    }

    pub fn then_closed() -> Self {
        Self(Cursor::default(), None)
    }
}

impl Read for Came {
    fn read(&mut self, into: &mut [u8]) -> std::io::Result<usize> {
        match (self.0.read(into)?, self.1) {
            (0, Some(kind)) => Err(kind.into()),
            (count, _) => Ok(count),
        }
    }
}

fn id(request: usize) -> String {
    format!("{request:016x}")
}

fn page(request: usize, number: usize, page: usize) -> String {
    format!("request {request}\thop {number}\tpage {page}\n")
}

fn row(id: u32, ready: bool, gone: bool, up_since_ms: u64) -> Row {
    let address = ([127, 0, 0, 1], 9).into();
    Row { id, address, ready, gone, location: 0, kind: 0, cell: 0, up_since_ms }
}

impl Scene {
    fn new(world: &Connections) -> Self {
        let now = Duration::from_secs(20);
        let mut context = Context { now, ..Context::default() };
        let mut engines = EnginePool::new(world.streams, COMES_UP, IDLE, world.most_connections);
        let engine = engines.update_endpoint(&row(7, true, false, 0), &mut context).engine;
        let (far, attempts, broken) = (BTreeMap::new(), Vec::new(), None);
        let owing = Vec::new();
        Self {
            now,
            context,
            engines,
            engine,
            ready: true,
            far,
            attempts,
            owing,
            faults: 0,
            listed: false,
            broken,
        }
    }

    /// Holds an act against the laws, before what it does is noted.
    fn judge(&mut self, act: &Act) {
        let broken = LAWS.iter().find(|Law(_, _, breaks)| breaks(self, act));
        self.broken = self.broken.or(broken.map(|Law(name, ..)| *name));
    }

    /// Notes which laws the machine could break from here by one act.
    fn near(&self) {
        if witness::all_near(witness::CONNECTIONS, LAWS.len()) {
            return;
        }
        let (fault, wrong) = (AttemptOutcome::Failed, Some(&b"wrong"[..]));
        let mut acts = vec![Act::Leaves, Act::Rests];
        for attempt in 0..self.attempts.len() {
            let ends = |end, body, by| Act::Ends { attempt, end, body, by };
            acts.extend([
                ends(fault, None, None),
                ends(AttemptOutcome::Void, None, None),
                Act::Comes { attempt },
            ]);
            acts.push(ends(AttemptOutcome::Succeeded, wrong, None));
            let answered = self.far.values().flat_map(|far| &far.got);
            acts.extend(answered.map(|by| ends(fault, None, Some(*by))));
        }
        for act in acts {
            witness::note(witness::CONNECTIONS, LAWS.iter().map(|Law(_, _, breaks)| breaks(self, &act)));
        }
    }

    fn call(&mut self, request: usize) {
        let number = self.attempts.iter().filter(|attempt| attempt.request == request).count();
        let (name, statement) = (id(request), format!("request {request} attempt {number}"));
        let call = Call {
            request: request as RequestId,
            number,
            id: &name,
            class: "lookup",
            opkey: None,
            statement: statement.as_bytes(),
            grant_mb: 0.0,
            priority: 1,
            until: self.now + DEADLINE,
        };
        let owing: Vec<Slot> =
            self.owing.iter().filter(|(by, _)| *by == request).map(|(_, connection)| *connection).collect();
        // The attempt must be known before its news is.
        let slot = self.engines.send(self.engine, call, &owing, &mut self.context);
        let until = self.now + DEADLINE;
        self.attempts.push(Attempt {
            request,
            number,
            slot,
            until,
            end: None,
            came: 0,
            hit: None,
            noted: false,
        });
    }

    fn says(&mut self, connection: Slot, call: usize, word: Word) {
        let Some(far) = self.far.get_mut(&connection) else { return };
        far.spoilt |= word == Word::Noise;
        let name = self.attempts.get(call).map_or_else(String::new, |attempt| id(attempt.request));
        let (request, number) =
            self.attempts.get(call).map_or((0, 0), |attempt| (attempt.request, attempt.number));
        let say = |words: &[&str]| {
            resp::encode_array(&words.iter().map(|word| word.as_bytes()).collect::<Vec<_>>())
        };
        let whole = say(&[&name, "HIT", "pages=1", &page(request, number, 0)]);
        let bytes = match word {
            Word::Hit | Word::Again => whole,
            Word::HitOfTwo => say(&[&name, "HIT", "pages=2", &page(request, number, 0)]),
            Word::Part => {
                far.asked.retain(|asked| *asked != call);
                say(&[&name, "PART", "page=1", &page(request, number, 1)])
            }
            Word::Shed => say(&[&name, "SHED", "-", ""]),
            Word::Fault => say(&[&name, "FAULT", "-", ""]),
            Word::Note => say(&[&name, "INFO", "detail=advance,v=0.5", ""]),
            Word::Stray => say(&["ffffffffffffffff", "HIT", "pages=1", "x\ty\tz\n"]),
            Word::Half => {
                far.rest = whole[whole.len() / 2..].to_vec();
                whole[..whole.len() / 2].to_vec()
            }
            Word::Rest => std::mem::take(&mut far.rest),
            Word::Noise => b"*4\r\n$x".to_vec(),
            Word::Pong => {
                far.pings -= 1;
                say(&["0", "PONG", "-", ""])
            }
        };
        if let Some(attempt) = self.attempts.get_mut(call) {
            match word {
                Word::Hit | Word::Half => attempt.hit = Some(1),
                Word::HitOfTwo => attempt.hit = Some(2),
                Word::Shed | Word::Fault => attempt.hit = Some(0),
                Word::Note => attempt.noted = true,
                _ => {}
            }
        }
        self.engines.read(connection, &mut Came::then_silent(bytes), &mut self.context);
    }

    /// Does what the machine asks for and holds what it tells against the laws; `only` may end by it.
    fn pump(&mut self, world: &Connections, only: Option<usize>) {
        loop {
            let mut quiet = true;
            while let Some(ask) = self.engines.commands.pop_front() {
                quiet = false;
                match ask {
                    PoolCommand::Dial(connection, _) => {
                        let room = world.narrow;
                        self.far.insert(connection, Far::taking(room));
                    }
                    PoolCommand::Close(connection) => drop(self.far.remove(&connection)),
                }
            }
            for connection in std::mem::take(&mut self.engines.pending_writes) {
                quiet = false;
                self.flush(connection);
            }
            while let Some(news) = self.engines.events.pop_front() {
                quiet = false;
                if let PoolEvent::Ended(ended, body, owing) = news {
                    self.owing.extend(owing.map(|connection| (ended.request as usize, connection)));
                    self.ended(ended.request as usize, ended.attempt, ended.outcome, body, only);
                }
            }
            if quiet {
                return;
            }
        }
    }

    fn ended(
        &mut self,
        request: usize,
        number: usize,
        end: AttemptOutcome,
        body: Option<Vec<u8>>,
        by: Option<usize>,
    ) {
        let Some(attempt) =
            self.attempts.iter().position(|attempt| (attempt.request, attempt.number) == (request, number))
        else {
            self.broken = self.broken.or(Some("one end"));
            return;
        };
        self.judge(&Act::Ends { attempt, end, body: body.as_deref(), by });
        self.attempts[attempt].end = Some(end);
    }

    /// Lets a connection's bytes go as far as its far end takes them, which reads the calls that came whole.
    fn flush(&mut self, connection: Slot) {
        let Some(far) = self.far.get_mut(&connection) else { return };
        let before = far.inbox.len();
        self.engines.drain(connection, &mut Socket(far)).expect("a far end that only blocks");
        let new_call = far.inbox[before..].windows(3).any(|at| at == b"GET");
        let (mut taken, mut came) = (0, Vec::new());
        while let Ok(Some((parts, length))) = resp::parse_array(&far.inbox[taken..]) {
            let part =
                |at: usize| String::from_utf8_lossy(parts.get(at).copied().unwrap_or_default()).into_owned();
            let at = self.attempts.iter().position(|attempt| {
                part(3) == format!("request {} attempt {}", attempt.request, attempt.number)
            });
            match (part(0).as_str(), at) {
                ("GET", Some(at)) => {
                    far.got.push(at);
                    came.push(at);
                }
                ("PING", _) => far.pings += 1,
                ("PAGE", _) => {
                    let mut asks =
                        far.got.iter().copied().filter(|at| id(self.attempts[*at].request) == part(1));
                    far.asked.extend(asks.next_back());
                }
                _ => {}
            }
            taken += length;
        }
        far.inbox.drain(..taken);
        if new_call {
            self.judge(&Act::Leaves);
        }
        for attempt in came {
            self.judge(&Act::Comes { attempt });
            self.attempts[attempt].came += 1;
        }
    }
}

impl Walk for Connections {
    type State = Scene;
    type Move = Step;

    fn start(&self) -> Scene {
        Scene::new(self)
    }

    fn moves(&self, scene: &Scene, moves: &mut Vec<Step>) {
        if scene.broken.is_some() {
            return;
        }
        for request in 0..self.requests {
            let attempts = || scene.attempts.iter().filter(|attempt| attempt.request == request);
            let done = attempts()
                .any(|attempt| attempt.end.is_none() || attempt.end == Some(AttemptOutcome::Succeeded));
            if scene.ready && !done && attempts().count() < self.attempts {
                moves.push(Step::Call { request });
            }
        }
        for (connection, far) in &scene.far {
            let connection = *connection;
            if far.spoilt {
                continue;
            }
            if !far.up {
                moves.extend([Step::Up { connection }, Step::Refuse { connection }]);
                continue;
            }
            let may = |word: Word| self.words.contains(&word);
            let fault = scene.faults < self.faults;
            for call in far.got.iter().copied() {
                let attempt = &scene.attempts[call];
                let mut say = |word: Word, can: bool| {
                    moves.extend((can && may(word)).then_some(Step::Says { connection, call, word }));
                };
                let free = far.rest.is_empty();
                for word in [Word::Hit, Word::HitOfTwo, Word::Shed, Word::Fault] {
                    say(word, attempt.hit.is_none() && free);
                }
                say(Word::Half, attempt.hit.is_none() && free && fault);
                say(Word::Note, attempt.hit.is_none() && free && !attempt.noted);
                say(Word::Part, far.asked.contains(&call) && free);
                say(Word::Again, attempt.hit.is_some_and(|pages| pages > 0) && free && fault);
            }
            let mut say = |word: Word, can: bool| {
                moves.extend((can && may(word)).then_some(Step::Says { connection, call: usize::MAX, word }));
            };
            say(Word::Rest, !far.rest.is_empty());
            say(Word::Pong, far.pings > 0 && far.rest.is_empty());
            say(Word::Stray, fault && far.rest.is_empty());
            say(Word::Noise, fault && far.rest.is_empty());
            if fault {
                moves.push(Step::Resets { connection });
            }
            if far.room.is_some() {
                moves.push(Step::Flows { connection });
            }
        }
        if self.cancels {
            let out = scene.attempts.iter().enumerate().filter(|(_, attempt)| attempt.end.is_none());
            moves.extend(out.map(|(call, _)| Step::Cancel { call }));
        }
        if !scene.listed {
            moves.extend(self.listed.iter().map(|what| Step::List { what: *what }));
        }
        if scene.context.timers.first().is_some() {
            moves.push(Step::Pass);
        }
    }

    fn step(&self, scene: &Scene, step: &Step) -> Scene {
        let mut next = scene.clone();
        let mut only = None;
        match *step {
            Step::Call { request } => next.call(request),
            Step::Up { connection } => {
                next.far.entry(connection).and_modify(|far| far.up = true);
                next.engines.connection_established(connection, &mut next.context);
            }
            Step::Refuse { connection } => {
                next.engines.dial_failed(connection, false, "refused", &mut next.context)
            }
            Step::Says { connection, call, word } => {
                next.faults += u8::from(matches!(word, Word::Half | Word::Again | Word::Stray | Word::Noise));
                // What ends by a well-formed answer is its own attempt; what noise ends is all on the connection.
                only = (word != Word::Noise && word != Word::Rest).then_some(call);
                next.says(connection, call, word);
            }
            Step::Resets { connection } => {
                next.faults += 1;
                next.engines.read(connection, &mut Came::then_reset(), &mut next.context);
            }
            Step::Flows { connection } => {
                next.far.entry(connection).and_modify(|far| far.room = None);
                next.flush(connection);
            }
            Step::Cancel { call } => next.engines.cancel(next.attempts[call].slot, &mut next.context),
            Step::List { what } => {
                next.listed = true;
                let anew = (next.now + Duration::from_millis(1)).as_millis() as u64;
                let (id, ready, gone, since) = match what {
                    Told::Drains => (7, false, false, 0),
                    Told::Anew => (7, true, false, anew),
                    Told::Gone | Told::Replaced => (7, false, true, 0),
                };
                next.ready = ready;
                next.engines.update_endpoint(&row(id, ready, gone, since), &mut next.context);
                if gone {
                    next.engines.forget(next.engine, &mut next.context);
                }
                if what == Told::Replaced {
                    let fresh = next.engines.update_endpoint(&row(8, true, false, anew), &mut next.context);
                    (next.engine, next.ready) = (fresh.engine, true);
                }
            }
            Step::Pass => {
                let to = next.context.timers.first().map_or(next.now, |at| at.max(next.now));
                next.judge(&Act::Passes { to });
                next.now = to;
                next.context.now = next.now;
                while let Some(due) = next.context.timers.pop(next.now) {
                    let (engines, context) = (&mut next.engines, &mut next.context);
                    match due {
                        Timer::Attempt(slot) => engines.attempt_overdue(slot, context),
                        Timer::Connection(slot) => engines.connection_check_due(slot, next.now, context),
                        Timer::Whole(slot) => engines.reply_overdue(slot, context),
                        Timer::Idle(slot) => engines.connection_idle(slot, context),
                        _ => {}
                    }
                }
            }
        }
        next.pump(self, only);
        next
    }

    fn fingerprint(&self, scene: &Scene) -> u64 {
        let mut into = DefaultHasher::new();
        scene.engines.fingerprint(scene.now, &mut into);
        let places: BTreeMap<Slot, usize> = scene.far.keys().copied().zip(0..).collect();
        for far in scene.far.values() {
            (far.up, far.room, &far.inbox, &far.got, &far.asked, far.pings, &far.rest, far.spoilt)
                .hash(&mut into);
        }
        for attempt in &scene.attempts {
            let at = scene.engines.connection_of(attempt.slot).and_then(|connection| places.get(&connection));
            let left = attempt.until.saturating_sub(scene.now);
            let left = attempt.end.is_none().then_some(left);
            (
                attempt.request,
                left,
                attempt.end.map(|end| end as u8),
                attempt.came,
                attempt.hit,
                attempt.noted,
                at,
            )
                .hash(&mut into);
        }
        for (request, connection) in &scene.owing {
            (request, places.get(connection)).hash(&mut into);
        }
        (scene.ready, scene.faults, scene.listed, scene.broken).hash(&mut into);
        into.finish()
    }

    fn broken(&self, scene: &Scene, last: bool) -> Option<&'static str> {
        scene.near();
        let rests = LAWS.iter().find(|Law(_, _, breaks)| last && breaks(scene, &Act::Rests));
        scene.broken.or(rests.map(|Law(name, ..)| *name))
    }
}

const ANSWERS: &[Word] =
    &[Word::Hit, Word::HitOfTwo, Word::Part, Word::Shed, Word::Fault, Word::Note, Word::Pong];

pub const WORLDS: &[Connections] = &[
    Connections {
        name: "a connection's answers",
        says: "one request of two attempts, every word, calls taken back, the engine draining, starting anew, gone or replaced",
        requests: 1,
        attempts: 2,
        words: ANSWERS,
        faults: 0,
        listed: &[Told::Drains, Told::Anew, Told::Gone, Told::Replaced],
        most_connections: 2,
        streams: 2,
        narrow: None,
        cancels: true,
        short: true,
    },
    Connections {
        name: "a connection's faults",
        says: "one request of two attempts, answers split, repeated, strayed or spoilt, resets, twice in all",
        requests: 1,
        attempts: 2,
        words: &[
            Word::Hit,
            Word::HitOfTwo,
            Word::Part,
            Word::Pong,
            Word::Again,
            Word::Stray,
            Word::Half,
            Word::Rest,
            Word::Noise,
        ],
        faults: 2,
        listed: &[],
        most_connections: 2,
        streams: 2,
        narrow: None,
        cancels: true,
        short: true,
    },
    Connections {
        name: "a shared connection",
        says: "two requests on one connection, one of which is dropped, one fault",
        requests: 2,
        attempts: 1,
        words: &[Word::Hit, Word::HitOfTwo, Word::Part, Word::Pong, Word::Again, Word::Stray, Word::Noise],
        faults: 1,
        listed: &[],
        most_connections: 1,
        streams: 2,
        narrow: None,
        cancels: true,
        short: false,
    },
    Connections {
        name: "a narrow connection",
        says: "one request of two attempts on sockets that take ten bytes at first, a drain or a new start, one reset",
        requests: 1,
        attempts: 2,
        words: &[Word::Hit, Word::Pong],
        faults: 1,
        listed: &[Told::Drains, Told::Anew],
        most_connections: 2,
        streams: 2,
        narrow: Some(10),
        cancels: true,
        short: true,
    },
    Connections {
        name: "two on a narrow connection",
        says: "two requests on one connection that takes nothing at first, a drain",
        requests: 2,
        attempts: 1,
        words: &[Word::Hit, Word::Pong],
        faults: 0,
        listed: &[Told::Drains],
        most_connections: 1,
        streams: 2,
        narrow: Some(0),
        cancels: true,
        short: true,
    },
];
