//! A world round the whole router but its sockets: clients' connections, the dispatcher, the module, the connections
//! to one or two engines, and a planned restart. What the clients read is what they judge by.

use crate::connection_model::{Came, Far, Socket};
use crate::search::Walk;
use crate::witness;
use emberflow_router::bootstrap::Bootstrap;
use emberflow_router::context::Context;
use emberflow_router::discovery::Row;
use emberflow_router::engine_pool::PoolCommand;
use emberflow_router::resp;
use emberflow_router::server::Server;
use emberflow_router::slots::Slot;
use serde_json::Value;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

const DEADLINE_MS: u64 = 320;
/// Bytes that a slow client reads at first: less than any answer.
const FEW: usize = 10;

pub const CONFIGURATION: &str = r#"{"name":"n0","listen":"127.0.0.1:0","seed":"1",
"limits":{"cores":1.0,"memory_mb":64,"sockets":256},"bulletin":"127.0.0.1:1","known":{"no":0,"items":[]},
"settings":{"instances":1,"myZone":0,"zones":["hall-a"],"kinds":["std-8"],"discovery":"push","tickMs":8,
"categories":[{"name":"lookup","onTimeMs":160,"deadlineMs":320,"gain":1,"lateShare":0,"repeat":"repeatable"},
{"name":"post","onTimeMs":160,"deadlineMs":320,"gain":1,"lateShare":0,"repeat":"once"},
{"name":"book","onTimeMs":160,"deadlineMs":320,"gain":1,"lateShare":0,"repeat":"by_key","keyScope":"cell","windowMs":200}],
"caps":{"cancel":true,"connectTimeoutMs":100,"idleCloseMs":1000,"mostTries":2,"retryAfter":false,"streamsPerConn":32},
"domain":{"kindCores":[8],"largestShare":0.4,"lanesCount":false,"sizeMb":[16384],"tellsEveryMs":80},
"report":{"how":"none"},"rules":{"fallMs":100,"overloadFactor":2.5,"startCapacity":0.3,"warmUpMs":400}}}"#;

/// What a client may say, each once.
#[derive(Clone, Copy, Debug)]
pub enum Line {
    /// A request under an id on this connection, by its class and the number that its `req` is made of.
    Request {
        id: u64,
        class: &'static str,
        req: u64,
    },
    Withdraw {
        req: u64,
    },
    Nonsense,
    /// As many bytes as a line may have, and no end.
    Endless,
}

pub struct House {
    pub name: &'static str,
    pub says: &'static str,
    pub engines: u32,
    /// By client, what each may say, in any order.
    pub lines: &'static [&'static [Line]],
    /// Whether a client may shut its side, or break off.
    pub leaves: bool,
    /// Connections to engines that may be reset or refused, in all.
    pub faults: u8,
    pub drains: bool,
    pub restarts: bool,
    /// Whether clients read a few bytes at first, and the rest later.
    pub slow: bool,
    /// Whether lines come in two pieces.
    pub split: bool,
    /// Steps after which it is not followed further.
    pub depth: Option<usize>,
    pub short: bool,
}

#[derive(Clone, Copy, Debug)]
pub enum Step {
    Say {
        client: usize,
        line: usize,
    },
    /// The second piece of a line.
    Rest {
        client: usize,
    },
    Shut {
        client: usize,
    },
    Break {
        client: usize,
    },
    /// A slow client reads on.
    Reads {
        client: usize,
    },
    Up {
        connection: Slot,
    },
    Refuse {
        connection: Slot,
    },
    Hit {
        connection: Slot,
        call: usize,
    },
    Shed {
        connection: Slot,
        call: usize,
    },
    Fault {
        connection: Slot,
        call: usize,
    },
    Pong {
        connection: Slot,
    },
    Reset {
        connection: Slot,
    },
    Drain,
    Terminate,
    Pass,
}

#[derive(Clone)]
struct Seat {
    slot: Slot,
    here: bool,
    shut: bool,
    /// Which lines were said, as bits.
    said: u32,
    /// Bytes that it will still read; `None` for any number.
    room: Option<usize>,
    /// Of a line that has come in part.
    begun: Vec<u8>,
    /// The line that it has said in part, and what is left of that.
    rest: Option<(usize, Vec<u8>)>,
}

/// A request as its client sees it.
#[derive(Clone)]
struct Asked {
    client: usize,
    id: u64,
    req: u64,
    once: bool,
    by: Duration,
    answers: u8,
    withdrawn: bool,
}

/// A call that came whole to an engine.
#[derive(Clone)]
struct Call {
    req: u64,
    /// For which request it came.
    asked: Option<usize>,
    connection: Slot,
    ended: bool,
    ran: bool,
}

#[derive(Clone)]
pub struct Home {
    pub now: Duration,
    server: Server,
    seats: Vec<Seat>,
    asked: Vec<Asked>,
    far: BTreeMap<Slot, Far>,
    calls: Vec<Call>,
    /// What engines answered, by `req`.
    bodies: Vec<(u64, String)>,
    faults: u8,
    drained: bool,
    terminated: bool,
    broken: Option<&'static str>,
}

/// What the router does, as its clients and engines see it, and two things that happen: time that passes, and an
/// end at which nothing can come any more.
enum Act<'a> {
    /// A client reads a line under an id, of the request at that place, if it has asked under it.
    Line {
        asked: Option<usize>,
        body: Option<&'a [u8]>,
    },
    /// A call has come whole to an engine.
    Comes {
        req: u64,
    },
    /// A client's connection closes at what another did.
    Closes {
        client: usize,
        by: usize,
    },
    Pass {
        to: Duration,
    },
    Rests,
}

/// The laws of the house: names, words, and what breaks them.
pub struct Law(pub &'static str, pub &'static str, fn(&Home, &Act) -> bool);

pub const LAWS: [Law; 8] = [
    Law("one line", "no request is answered by two lines, and none by a line of another", second_line),
    Law(
        "a line in time",
        "a request is answered before its time is up, unless its client has left or withdrawn it",
        late_line,
    ),
    Law("an engine's own result", "a result is what an engine answered to that request", foreign_result),
    Law(
        "runs once",
        "a non-idempotent request comes to an engine again only if it was shed before",
        runs_again,
    ),
    Law("no call for nobody", "nothing is sent for a request that was answered or withdrawn", for_nobody),
    Law("no call for one that left", "nothing is sent once its client has ended its side", for_one_that_left),
    Law("own fault", "what a client does closes no other client's connection", closes_another),
    Law("an empty house", "at rest there is no client, request, attempt, connection or deadline", keeps),
];

fn second_line(home: &Home, act: &Act) -> bool {
    matches!(act, Act::Line { asked, .. } if asked.is_none_or(|at| home.asked[at].answers > 0))
}

fn late_line(home: &Home, act: &Act) -> bool {
    let open = |by: Duration| home.asked.iter().any(|asked| asked.by <= by && home.open(asked));
    match act {
        Act::Pass { to } => open(*to),
        Act::Rests => open(Duration::MAX),
        _ => false,
    }
}

fn foreign_result(home: &Home, act: &Act) -> bool {
    let Act::Line { asked: Some(at), body: Some(body) } = act else { return false };
    let number = home.asked[*at].req;
    !home.bodies.iter().any(|(by, text)| *by == number && text.as_bytes() == *body)
}

fn runs_again(home: &Home, act: &Act) -> bool {
    let Act::Comes { req } = act else { return false };
    // What was asked under the same name and answered is another request.
    let Some(at) = home.open_as(*req) else { return false };
    home.asked[at].once && home.calls.iter().any(|call| call.asked == Some(at) && call.ran)
}

fn for_nobody(home: &Home, act: &Act) -> bool {
    let Act::Comes { req } = act else { return false };
    home.open_as(*req).is_none()
}

fn for_one_that_left(home: &Home, act: &Act) -> bool {
    let Act::Comes { req } = act else { return false };
    home.open_as(*req).is_some_and(|at| home.seats[home.asked[at].client].shut)
}

fn closes_another(_: &Home, act: &Act) -> bool {
    matches!(act, Act::Closes { client, by } if client != by)
}

fn keeps(home: &Home, act: &Act) -> bool {
    let dispatcher = &home.server.dispatcher;
    let (_, connections, attempts) = dispatcher.engines.held();
    let held_counts = connections
        + attempts
        + dispatcher.context.timers.len()
        + dispatcher.clients.table.len()
        + home.far.len();
    matches!(act, Act::Rests) && !home.server.left && (held_counts > 0 || !dispatcher.requests.is_empty())
}

fn req(number: u64) -> String {
    format!("{number:016x}")
}

impl Home {
    fn new(world: &House) -> Self {
        let now = Duration::from_secs(20);
        let file: Value = serde_json::from_str(CONFIGURATION).expect("the world's configuration is JSON");
        let bootstrap = Bootstrap::read(&file, None).expect("the world's configuration makes sense");
        let mut server = Server::new(bootstrap, Context { now, ..Context::default() });
        server.listed(true, &Self::rows(world, true));
        let mut home = Self {
            now,
            server,
            seats: Vec::new(),
            asked: Vec::new(),
            far: BTreeMap::new(),
            calls: Vec::new(),
            bodies: Vec::new(),
            faults: 0,
            drained: false,
            terminated: false,
            broken: None,
        };
        for _ in world.lines {
            let slot = home.server.admit();
            let room = world.slow.then_some(FEW);
            let (begun, rest) = (Vec::new(), None);
            home.seats.push(Seat { slot, here: true, shut: false, said: 0, room, begun, rest });
        }
        home
    }

    /// All engines; the first may drain.
    fn rows(world: &House, ready: bool) -> Vec<Row> {
        let row = |id: u32| Row {
            id,
            address: ([127, 0, 0, 1], 9 + id as u16).into(),
            ready: ready || id > 0,
            gone: false,
            location: 0,
            kind: 0,
            cell: 0,
            up_since_ms: 0,
        };
        (0..world.engines).map(row).collect()
    }

    /// Holds an act against the laws, before what it does is noted.
    fn judge(&mut self, act: &Act) {
        let broken = LAWS.iter().find(|Law(_, _, breaks)| breaks(self, act));
        self.broken = self.broken.or(broken.map(|Law(name, ..)| *name));
    }

    /// Notes which laws the router could break from here by one act.
    fn near(&self) {
        if witness::all_near(witness::HOUSE, LAWS.len()) {
            return;
        }
        let mut acts = vec![Act::Rests, Act::Pass { to: Duration::MAX }];
        for (asked, its) in self.asked.iter().enumerate() {
            acts.push(Act::Line { asked: Some(asked), body: None });
            acts.push(Act::Line { asked: Some(asked), body: Some(b"wrong") });
            acts.push(Act::Comes { req: its.req });
        }
        let here = || self.seats.iter().enumerate().filter(|(_, seat)| seat.here).map(|(at, _)| at);
        acts.extend(here().flat_map(|client| here().map(move |by| Act::Closes { client, by })));
        for act in acts {
            witness::note(witness::HOUSE, LAWS.iter().map(|Law(_, _, breaks)| breaks(self, &act)));
        }
    }

    /// Whether an answer is still owed; one that its client has not read to the end is its own affair.
    fn open(&self, asked: &Asked) -> bool {
        let seat = &self.seats[asked.client];
        let unread = seat.room.is_some() && !self.server.owes(seat.slot, asked.id);
        asked.answers == 0 && !asked.withdrawn && seat.here && !unread
    }

    /// The first request that is open under a name.
    fn open_as(&self, req: u64) -> Option<usize> {
        self.asked.iter().position(|asked| asked.req == req && self.open(asked))
    }

    fn say(&mut self, world: &House, client: usize, line: usize) {
        self.seats[client].said |= 1 << line;
        let mut text = match world.lines[client][line] {
            Line::Request { id, class, req: number } => format!(
                r#"{{"jsonrpc":"2.0","id":{id},"method":"{class}","params":{{"req":"{}","timeout":{DEADLINE_MS},"ms":20,"memory":300,"data":""}}}}"#,
                req(number)
            ),
            Line::Withdraw { req: number } => {
                format!(r#"{{"jsonrpc":"2.0","method":"withdraw","params":{{"req":"{}"}}}}"#, req(number))
            }
            Line::Nonsense => "{".to_owned(),
            Line::Endless => " ".repeat(self.server.dispatcher.config.most_bytes()),
        }
        .into_bytes();
        if !matches!(world.lines[client][line], Line::Endless) {
            text.push(b'\n');
        }
        if world.split {
            let rest = text.split_off(text.len() / 2);
            self.seats[client].rest = Some((line, rest));
        } else {
            self.asks(world, client, line);
        }
        self.hear(client, Came::then_silent(text));
    }

    /// A line that is whole is a request, or takes one back.
    fn asks(&mut self, world: &House, client: usize, line: usize) {
        match world.lines[client][line] {
            Line::Request { id, class, req: number } => {
                let (once, by) = (class == "post", self.now + Duration::from_millis(DEADLINE_MS));
                let (answers, withdrawn) = (0, false);
                self.asked.push(Asked { client, id, req: number, once, by, answers, withdrawn });
            }
            Line::Withdraw { req: number } => {
                let its =
                    |asked: &&mut Asked| (asked.client, asked.req) == (client, number) && asked.answers == 0;
                self.asked.iter_mut().filter(its).for_each(|asked| asked.withdrawn = true);
            }
            Line::Nonsense | Line::Endless => {}
        }
    }

    fn hear(&mut self, client: usize, mut came: Came) {
        let slot = self.seats[client].slot;
        let now = self.server.dispatcher.context.now();
        self.server.peek(now, [(slot, &mut came)]);
        while self.server.hear(slot, now, &mut came, || false) {}
    }

    fn answer(&mut self, connection: Slot, call: usize, word: &str, body: &str) {
        let name = req(self.calls[call].req);
        self.calls[call].ended = true;
        self.calls[call].ran = word != "SHED";
        let bytes = resp::encode_array(&[name.as_bytes(), word.as_bytes(), b"pages=1", body.as_bytes()]);
        self.bring(connection, Came::then_silent(bytes));
    }

    fn bring(&mut self, connection: Slot, mut came: Came) {
        let dispatcher = &mut self.server.dispatcher;
        dispatcher.engines.read(connection, &mut came, &mut dispatcher.context);
    }

    /// Does what the server asks for, as the edge would, and holds what clients and engines see against the laws.
    fn pump(&mut self, actor: Option<usize>) {
        loop {
            self.server.tell();
            let mut quiet = true;
            while let Some(ask) = self.server.dispatcher.engines.commands.pop_front() {
                quiet = false;
                match ask {
                    PoolCommand::Dial(connection, _) => drop(self.far.insert(connection, Far::default())),
                    PoolCommand::Close(connection) => drop(self.far.remove(&connection)),
                }
            }
            for connection in std::mem::take(&mut self.server.dispatcher.engines.pending_writes) {
                quiet = false;
                self.flush(connection);
            }
            for slot in std::mem::take(&mut self.server.dispatcher.clients.pending_writes) {
                quiet = false;
                self.reads(slot);
            }
            for (slot, mut last) in std::mem::take(&mut self.server.closed) {
                quiet = false;
                let mut words = Vec::new();
                last.drain(&mut words).expect("a client that reads");
                self.read(slot, &words);
                let Some(at) = self.seats.iter().position(|seat| seat.slot == slot) else { continue };
                self.seats[at].here = false;
                if let Some(by) = actor {
                    self.judge(&Act::Closes { client: at, by });
                }
            }
            if quiet {
                return;
            }
        }
    }

    /// Lets a client read what its connection holds for it, as far as it will.
    fn reads(&mut self, slot: Slot) {
        let Some(seat) = self.seats.iter_mut().find(|seat| seat.slot == slot) else { return };
        let mut far = Far::taking(seat.room);
        self.server.dispatcher.clients.drain(slot, &mut Socket(&mut far)).expect("a client that only blocks");
        seat.room = far.room;
        self.read(slot, &far.inbox);
    }

    /// What a client has read: whole lines count.
    fn read(&mut self, slot: Slot, words: &[u8]) {
        let Some(client) = self.seats.iter().position(|seat| seat.slot == slot) else { return };
        let mut words = [std::mem::take(&mut self.seats[client].begun), words.to_vec()].concat();
        let whole = words.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1);
        self.seats[client].begun = words.split_off(whole);
        for line in words.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            let line: Value = serde_json::from_slice(line).unwrap_or_default();
            let Some(id) = line["id"].as_u64() else { continue };
            let asked = self.asked.iter().position(|asked| (asked.client, asked.id) == (client, id));
            let body = line["result"]["data"].as_str().and_then(emberflow_router::jsonrpc::decode_body);
            self.judge(&Act::Line { asked, body: body.as_deref() });
            let Some(at) = asked else { return };
            self.asked[at].answers += 1;
        }
    }

    fn flush(&mut self, connection: Slot) {
        let Some(far) = self.far.get_mut(&connection) else { return };
        self.server.dispatcher.engines.drain(connection, &mut Socket(far)).expect("a far end that reads");
        let inbox = std::mem::take(&mut far.inbox);
        let mut taken = 0;
        while let Ok(Some((parts, length))) = resp::parse_array(&inbox[taken..]) {
            let part = |at: usize| {
                std::str::from_utf8(parts.get(at).copied().unwrap_or_default()).unwrap_or_default()
            };
            let number = u64::from_str_radix(part(1), 16).unwrap_or(u64::MAX);
            match part(0) {
                "GET" => self.came(number, connection),
                "PING" => drop(self.far.entry(connection).and_modify(|far| far.pings += 1)),
                // An engine that has been told so answers it no more.
                "DROP" => {
                    let its = |call: &&mut Call| call.req == number && call.connection == connection;
                    self.calls.iter_mut().filter(its).for_each(|call| call.ended = true);
                }
                _ => {}
            }
            taken += length;
        }
    }

    fn came(&mut self, number: u64, connection: Slot) {
        self.judge(&Act::Comes { req: number });
        let asked = self.open_as(number);
        self.calls.push(Call { req: number, asked, connection, ended: false, ran: true });
    }
}

impl Walk for House {
    type State = Home;
    type Move = Step;

    fn start(&self) -> Home {
        Home::new(self)
    }

    fn moves(&self, home: &Home, moves: &mut Vec<Step>) {
        if home.broken.is_some() || home.server.left {
            return;
        }
        for (client, seat) in home.seats.iter().enumerate().filter(|(_, seat)| seat.here && !seat.shut) {
            let unsaid = (0..self.lines[client].len()).filter(|line| seat.said & (1 << line) == 0);
            match seat.rest {
                Some(_) => moves.push(Step::Rest { client }),
                None => moves.extend(unsaid.map(|line| Step::Say { client, line })),
            }
            moves.extend(seat.room.is_some().then_some(Step::Reads { client }));
            if self.leaves {
                moves.extend([Step::Shut { client }, Step::Break { client }]);
            }
        }
        let fault = home.faults < self.faults;
        for (connection, far) in home.far.iter().map(|(connection, far)| (*connection, far)) {
            if !far.up {
                moves.push(Step::Up { connection });
                moves.extend(fault.then_some(Step::Refuse { connection }));
                continue;
            }
            let here = |(_, call): &(usize, &Call)| call.connection == connection && !call.ended;
            for (call, _) in home.calls.iter().enumerate().filter(here) {
                moves.extend([
                    Step::Hit { connection, call },
                    Step::Shed { connection, call },
                    Step::Fault { connection, call },
                ]);
            }
            moves.extend((far.pings > 0).then_some(Step::Pong { connection }));
            moves.extend(fault.then_some(Step::Reset { connection }));
        }
        if self.drains && !home.drained {
            moves.push(Step::Drain);
        }
        if self.restarts && !home.terminated {
            moves.push(Step::Terminate);
        }
        if !home.server.dispatcher.context.timers.is_empty() {
            moves.push(Step::Pass);
        }
    }

    fn step(&self, home: &Home, step: &Step) -> Home {
        let mut next = home.clone();
        let mut actor = None;
        match *step {
            Step::Say { client, line } => {
                actor = Some(client);
                next.say(self, client, line);
            }
            Step::Rest { client } => {
                actor = Some(client);
                if let Some((line, rest)) = next.seats[client].rest.take() {
                    next.asks(self, client, line);
                    next.hear(client, Came::then_silent(rest));
                }
            }
            Step::Shut { client } => {
                actor = Some(client);
                next.seats[client].shut = true;
                next.hear(client, Came::then_closed());
            }
            Step::Break { client } => {
                actor = Some(client);
                next.seats[client].here = false;
                next.hear(client, Came::then_reset());
            }
            Step::Reads { client } => {
                next.seats[client].room = None;
                next.reads(next.seats[client].slot);
            }
            Step::Up { connection } => {
                next.far.entry(connection).and_modify(|far| far.up = true);
                let dispatcher = &mut next.server.dispatcher;
                dispatcher.engines.connection_established(connection, &mut dispatcher.context);
            }
            Step::Refuse { connection } => {
                next.faults += 1;
                let dispatcher = &mut next.server.dispatcher;
                dispatcher.engines.dial_failed(connection, false, "refused", &mut dispatcher.context);
            }
            Step::Hit { connection, call } => {
                let body = format!("request {}\tcall {call}\tx\n", next.calls[call].req);
                next.bodies.push((next.calls[call].req, body.clone()));
                next.answer(connection, call, "HIT", &body);
            }
            Step::Shed { connection, call } => next.answer(connection, call, "SHED", ""),
            Step::Fault { connection, call } => next.answer(connection, call, "FAULT", ""),
            Step::Pong { connection } => {
                next.far.entry(connection).and_modify(|far| far.pings -= 1);
                next.bring(connection, Came::then_silent(resp::encode_array(&[b"0", b"PONG", b"-", b""])));
            }
            Step::Reset { connection } => {
                next.faults += 1;
                next.calls
                    .iter_mut()
                    .filter(|call| call.connection == connection)
                    .for_each(|call| call.ended = true);
                next.bring(connection, Came::then_reset());
            }
            Step::Drain => {
                next.drained = true;
                next.server.listed(false, &Home::rows(self, false)[..1]);
            }
            Step::Terminate => {
                next.terminated = true;
                next.server.close();
            }
            Step::Pass => {
                let to = next.server.context().timers.first().map_or(next.now, |at| at.max(next.now));
                next.judge(&Act::Pass { to });
                next.now = to;
                next.server.context().now = to;
                while let Some(due) = next.server.context().timers.pop(to) {
                    next.server.due(due);
                    next.pump(None);
                }
            }
        }
        next.pump(actor);
        next.server.clear();
        next.pump(actor);
        next
    }

    fn fingerprint(&self, home: &Home) -> u64 {
        let mut into = DefaultHasher::new();
        home.server.fingerprint(&mut into);
        for far in home.far.values() {
            (far.up, far.pings).hash(&mut into);
        }
        for seat in &home.seats {
            let rest = seat.rest.is_some();
            (seat.here, seat.shut, seat.said, seat.room, &seat.begun, rest).hash(&mut into);
        }
        let since = |at: Duration| at.saturating_sub(home.now);
        for asked in &home.asked {
            let open = home.open(asked).then(|| since(asked.by));
            (asked.client, asked.id, asked.answers, asked.withdrawn, open).hash(&mut into);
        }
        for call in &home.calls {
            // Where it is matters while it may be answered.
            let place =
                home.far.keys().position(|connection| *connection == call.connection).filter(|_| !call.ended);
            (call.req, call.asked, call.ended, call.ran, place).hash(&mut into);
        }
        (home.faults, home.drained, home.terminated, home.server.left, home.broken).hash(&mut into);
        into.finish()
    }

    fn broken(&self, home: &Home, last: bool) -> Option<&'static str> {
        home.near();
        let rests = LAWS.iter().find(|Law(_, _, breaks)| last && breaks(home, &Act::Rests));
        home.broken.or(rests.map(|Law(name, ..)| *name))
    }
}

const LOOKUP: Line = Line::Request { id: 1, class: "lookup", req: 1 };
const POST: Line = Line::Request { id: 1, class: "post", req: 1 };

pub const WORLDS: &[House] = &[
    House {
        name: "one client",
        says: "a client that asks, withdraws and leaves in any order, with the answer in the same instant",
        engines: 1,
        lines: &[&[LOOKUP, Line::Withdraw { req: 1 }]],
        leaves: true,
        faults: 0,
        drains: false,
        restarts: false,
        slow: false,
        split: false,
        depth: None,
        short: true,
    },
    House {
        name: "an open request again",
        says: "a client that sends an open non-idempotent request again under another id",
        engines: 1,
        lines: &[&[POST, Line::Request { id: 2, class: "post", req: 1 }]],
        leaves: false,
        faults: 0,
        drains: false,
        restarts: false,
        slow: false,
        split: false,
        depth: Some(12),
        short: false,
    },
    House {
        name: "a slow reader",
        says: "a client that reads ten bytes of its answers at first, withdraws and leaves in any order",
        engines: 1,
        lines: &[&[LOOKUP, Line::Withdraw { req: 1 }]],
        leaves: true,
        faults: 0,
        drains: false,
        restarts: false,
        slow: true,
        split: false,
        depth: None,
        short: true,
    },
    House {
        name: "two clients",
        says: "a client that posts while another talks nonsense and breaks off",
        engines: 1,
        lines: &[&[POST], &[Line::Nonsense]],
        leaves: true,
        faults: 1,
        drains: false,
        restarts: false,
        slow: false,
        split: false,
        depth: None,
        short: true,
    },
    House {
        name: "a planned restart",
        says: "a non-idempotent request, a reset, a drain and the end of the process",
        engines: 1,
        lines: &[&[POST]],
        leaves: false,
        faults: 1,
        drains: true,
        restarts: true,
        slow: false,
        split: false,
        depth: None,
        short: true,
    },
    House {
        name: "a restart under two",
        says: "a non-idempotent and a idempotent request when the process ends",
        engines: 1,
        lines: &[&[POST, Line::Request { id: 2, class: "lookup", req: 2 }]],
        leaves: false,
        faults: 0,
        drains: false,
        restarts: true,
        slow: false,
        split: false,
        depth: Some(9),
        short: false,
    },
    House {
        name: "two engines",
        says: "one idempotent request between two engines, a drain, resets, a client that withdraws",
        engines: 2,
        lines: &[&[LOOKUP, Line::Withdraw { req: 1 }]],
        leaves: false,
        faults: 2,
        drains: true,
        restarts: false,
        slow: false,
        split: false,
        depth: None,
        short: false,
    },
    House {
        name: "lines in pieces",
        says: "a client whose lines come in two pieces, with time, a shut or a break between them",
        engines: 1,
        lines: &[&[LOOKUP, Line::Withdraw { req: 1 }]],
        leaves: true,
        faults: 0,
        drains: false,
        restarts: false,
        slow: false,
        split: true,
        depth: None,
        short: true,
    },
    House {
        name: "a line without end",
        says: "a client that asks and says a line that never ends, beside one that asks",
        engines: 1,
        lines: &[&[LOOKUP, Line::Endless], &[Line::Request { id: 1, class: "lookup", req: 2 }]],
        leaves: false,
        faults: 0,
        drains: false,
        restarts: false,
        slow: false,
        split: false,
        depth: Some(9),
        short: false,
    },
    House {
        name: "a restart under a booking",
        says: "a keyed request whose connection may break when the process ends",
        engines: 2,
        lines: &[&[Line::Request { id: 1, class: "book", req: 1 }]],
        leaves: false,
        faults: 1,
        drains: false,
        restarts: true,
        slow: false,
        split: false,
        depth: None,
        short: true,
    },
];
