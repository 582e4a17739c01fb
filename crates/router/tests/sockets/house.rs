//! The program, started, between small stand-ins for a client, engines and the discovery service.

use emberflow_router::resp;
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

pub const PATIENT: Duration = Duration::from_secs(20);

/// A router with the stand-ins it knows of, and what was seen so far.
pub struct House {
    pub program: Child,
    pub log: BufReader<ChildStderr>,
    pub at: SocketAddr,
    pub discovery: TcpListener,
    pub engines: Vec<TcpListener>,
    /// Its configuration.
    pub file: (std::path::PathBuf, String),
    pub seen: String,
}

/// An address for each house, so that a port that one has given up is never another's.
pub fn address() -> Ipv4Addr {
    static HOUSES: AtomicU8 = AtomicU8::new(2);
    Ipv4Addr::new(127, 0, HOUSES.fetch_add(1, Ordering::Relaxed), 1)
}

/// The next connection.
pub fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).expect("no wait");
    for _ in 0..PATIENT.as_millis() {
        if let Ok((socket, _)) = listener.accept() {
            socket.set_nonblocking(false).expect("a wait");
            return patient(socket);
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("no connection");
}

pub fn patient(socket: TcpStream) -> TcpStream {
    socket.set_read_timeout(Some(PATIENT)).expect("a time-out");
    socket.set_nodelay(true).expect("no delay");
    socket
}

pub const SETTINGS: &str = r#"{"caps":{"cancel":true,"connectTimeoutMs":COMES_UP,"idleCloseMs":15000.0,
"maxRetryAfterMs":400.0,"mostTries":3,"retryAfter":true,"streamsPerConn":32},
"categories":[{"deadlineMs":PATIENCE,"gain":1,"lateShare":0,"name":"lookup","onTimeMs":2000.0,"repeat":"repeatable"},
{"deadlineMs":PATIENCE,"gain":1,"lateShare":0,"name":"post","onTimeMs":2000.0,"repeat":"once"}],"discovery":"push",
"domain":{"kindCores":[8],"largestShare":0.4,"lanesCount":true,"sizeMb":[16384.0],"tellsEveryMs":500.0,
"whenShort":"line_up"},"instances":1,"kinds":["std-8"],"myZone":0,"report":{"how":"none","names":[]},
"rules":{"fallMs":1000.0,"overloadFactor":2.5,"startCapacity":0.3,"warmUpMs":9000.0},"tickMs":5.0,
"zones":["hall-a"]}"#;

pub const TAKEN: &str = r#"{"name":"n0","listen":"LISTEN","seed":"1","limits":{"memory_mb":64,"sockets":256},
"bulletin":"127.0.0.1:1","known":{"no":0,"items":[]},"settings":{"caps":{"cancel":true,"connectTimeoutMs":250,
"idleCloseMs":15000,"mostTries":3,"retryAfter":false,"streamsPerConn":32},"categories":[{"deadlineMs":8000,
"gain":1,"lateShare":0,"name":"lookup","onTimeMs":2000,"repeat":"once"}],"discovery":"push",
"domain":{"kindCores":[8],"largestShare":0.4,"lanesCount":true,"sizeMb":[16384]},"instances":1,"kinds":["std-8"],
"myZone":0,"report":{"how":"none"},"rules":{"fallMs":1000,"overloadFactor":2.5,"startCapacity":0.3,
"warmUpMs":9000},"tickMs":5,"zones":["hall-a"]}}"#;

pub fn settings(comes_up: u64, deadline: u64) -> String {
    SETTINGS.replace("COMES_UP", &comes_up.to_string()).replace("PATIENCE", &deadline.to_string())
}

pub fn program() -> Command {
    let mut program = Command::new(env!("CARGO_BIN_EXE_emberflow"));
    program.env_remove("EDGE_CONFIG").env_remove("EDGE_LISTEN").env_remove("RUST_LOG");
    program.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    program
}

pub fn file(name: &str, text: &str) -> std::path::PathBuf {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    std::fs::write(&path, text).expect("a file");
    path
}

impl House {
    /// `name` tells the files of tests apart. Without engines, the list names one where nothing listens.
    pub fn open(name: &str, engines: usize, settings: &str) -> Self {
        Self::open_within((64, 256), name, engines, settings)
    }

    /// With an operator's file.
    pub fn open_ordered(name: &str, engines: usize, settings: &str, orders: &str) -> Self {
        Self::order(name, orders);
        Self::open(name, engines, settings)
    }

    pub fn order(name: &str, orders: &str) {
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json5"));
        std::fs::write(path, orders).expect("a file");
    }

    /// Within so many MB and descriptors.
    pub fn open_within(limits: (u32, u32), name: &str, engines: usize, settings: &str) -> Self {
        Self::open_logged("info", limits, name, engines, settings)
    }

    pub fn open_logged(
        level: &str,
        (memory, sockets): (u32, u32),
        name: &str,
        engines: usize,
        settings: &str,
    ) -> Self {
        let at = address();
        let listener = || TcpListener::bind((at, 0)).expect("a port");
        let (discovery, engines): (_, Vec<_>) = (listener(), (0..engines).map(|_| listener()).collect());
        let member = |(at, address): (usize, SocketAddr)| {
            format!(
                r#"{{"id":"s-{at:08x}","host_port":"{address}","locality":"hall-a","flavor":"std-8","cell":0,"phase":"ready","size":1,"up_since_ms":0}}"#
            )
        };
        let nothing_listens = (at, 1).into();
        let mut addresses: Vec<_> = engines.iter().map(|e| e.local_addr().expect("an address")).collect();
        if addresses.is_empty() {
            addresses.push(nothing_listens);
        }
        let members: Vec<String> = addresses.into_iter().enumerate().map(member).collect();
        let text = format!(
            r#"{{"name":"n0","listen":"{at}:0","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},
            "bulletin":"{}","known":{{"no":1,"items":[{{"no":1,"roster":{{"revision":1,"complete":true,"members":[{}]}}}}]}},
            "settings":{settings}}}"#,
            discovery.local_addr().expect("an address"),
            members.join(",")
        );
        let path = file(name, &text);
        // The operator's own file stands beside it, where there is one.
        let operator = path.with_extension("json5");
        let mut command = program();
        command.arg("serve").arg("--config").arg(&path).env("RUST_LOG", level);
        if operator.exists() {
            command.arg("--operator").arg(&operator);
        }
        let mut program = command.spawn().expect("it starts");
        let mut log = BufReader::new(program.stderr.take().expect("its log"));
        let mut line = String::new();
        log.read_line(&mut line).expect("it tells where it listens");
        let at = line.trim().rsplit(' ').next().and_then(|at| at.parse().ok());
        let at = at.unwrap_or_else(|| panic!("no address: {line}"));
        Self { program, log, at, discovery, engines, file: (path, text), seen: String::new() }
    }

    pub fn client(&self) -> Client {
        let socket = patient(TcpStream::connect(self.at).expect("it listens"));
        Client(BufReader::new(socket))
    }

    pub fn engine(&self, at: usize) -> Engine {
        Engine::at(&self.engines[at])
    }

    /// Two engines, the first to hear a command in server.
    pub fn any_engine(&self) -> Vec<Engine> {
        let mut engines: Vec<_> = self.engines.iter().map(Engine::at).collect();
        let first =
            (0..).find(|at| engines[at % 2].has_within(Duration::from_millis(1))).expect("a command") % 2;
        engines.rotate_left(first);
        engines
    }

    pub fn discovery(&mut self) -> TcpStream {
        let mut socket = accept(&self.discovery);
        let mut last = [0; 8];
        socket.read_exact(&mut last).expect("the last event's number");
        self.note(format!("bulletin after {}", u64::from_be_bytes(last)));
        socket
    }

    pub fn note(&mut self, line: impl std::fmt::Display) -> &mut Self {
        self.seen.push_str(&format!("{line}\n"));
        self
    }

    pub fn signal(&self, signal: &str) {
        Command::new("kill").arg(signal).arg(self.program.id().to_string()).status().expect("kill");
    }

    /// Waits until its log says so; how many lines before it say something else.
    pub fn logs_after(&mut self, what: &str, other: &str) -> usize {
        let (mut line, mut others) = (String::new(), 0);
        while !line.contains(what) {
            others += usize::from(line.contains(other));
            line.clear();
            assert_ne!(self.log.read_line(&mut line).expect("its log"), 0, "it ended before it said {what}");
        }
        others
    }

    pub fn logs(&mut self, what: &str) {
        self.logs_after(what, what);
    }

    /// What is done meanwhile it finds all at once.
    pub fn meanwhile<T>(&self, done: impl FnOnce(&Self) -> T) -> T {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.program.id());
        let stopped = || std::fs::read_to_string(&stat).expect("its state").contains(") T ");
        while !stopped() {
            std::thread::sleep(Duration::from_millis(1));
        }
        let result = done(self);
        self.signal("-CONT");
        result
    }

    /// Ends it as planned; the counters that the exit tells, of those named.
    pub fn end(&mut self, counters: &[&str]) -> String {
        if self.program.try_wait().expect("its state").is_none() {
            self.signal("-TERM");
        }
        let status = self.program.wait().expect("it ends");
        let mut log = String::new();
        self.log.read_to_string(&mut log).expect("its log");
        let exit = log.lines().rfind(|line| line.contains("counters at exit")).unwrap_or_default();
        let told: Vec<&str> =
            exit.split(' ').filter(|c| c.split('=').next().is_some_and(|c| counters.contains(&c))).collect();
        self.note(format!("ended with {:?}: {}", status.code(), told.join(" ")));
        std::mem::take(&mut self.seen)
    }
}

impl Drop for House {
    fn drop(&mut self) {
        let _ = self.program.kill();
        let _ = self.program.wait();
    }
}

pub struct Client(pub BufReader<TcpStream>);

impl Client {
    pub fn say(&mut self, line: &str) {
        self.0.get_ref().write_all(format!("{line}\n").as_bytes()).expect("it reads");
    }

    pub fn ask(&mut self, id: u64, method: &str, timeout: u64) {
        self.ask_about("", id, method, timeout);
    }

    /// A request with further fields.
    pub fn ask_about(&mut self, more: &str, id: u64, method: &str, timeout: u64) {
        self.say(Self::line(more, id, method, timeout).trim_end());
    }

    /// A lookup that needs most of an engine's memory.
    pub fn ask_much(&mut self, team: &str, id: u64, timeout: u64, more: &str) {
        self.say(&format!(
            r#"{{"jsonrpc":"2.0","id":{id},"method":"lookup","params":{{"team":"{team}",{more}"req":"{id:016x}","timeout":{timeout},"ms":2000,"memory":12000,"data":"c2VsZWN0IDE="}}}}"#
        ));
    }

    pub fn line(more: &str, id: u64, method: &str, timeout: u64) -> String {
        let (req, data) = (format!("{id:016x}"), "c2VsZWN0IDE=");
        format!(
            r#"{{"jsonrpc":"2.0","id":{id},"method":"{method}","params":{{{more}"req":"{req}","timeout":{timeout},"ms":50.0,"memory":96,"data":"{data}"}}}}"#
        ) + "\n"
    }

    pub fn hear(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).expect("an answer");
        if line.is_empty() { "closed".into() } else { line.trim_end().into() }
    }
}

/// An engine with all connections to it.
pub struct Engine {
    pub listener: TcpListener,
    pub sockets: Vec<(Option<TcpStream>, Vec<u8>)>,
    /// The connection that each request came on last.
    pub came_on: BTreeMap<String, usize>,
    pub heard: VecDeque<String>,
}

impl Engine {
    pub fn at(listener: &TcpListener) -> Self {
        listener.set_nonblocking(true).expect("no wait");
        let listener = listener.try_clone().expect("a listener");
        Self { listener, sockets: Vec::new(), came_on: BTreeMap::new(), heard: VecDeque::new() }
    }

    /// The next command, with the figure of its budget left out, or that a connection was closed.
    pub fn hear(&mut self) -> String {
        assert!(self.has_within(PATIENT), "a command");
        self.heard.pop_front().expect("a command")
    }

    /// Whether there is another command in time.
    pub fn has_within(&mut self, time: Duration) -> bool {
        let end = Instant::now() + time;
        while self.heard.is_empty() && Instant::now() < end {
            while let Ok((socket, _)) = self.listener.accept() {
                socket.set_nodelay(true).expect("no delay");
                self.sockets.push((Some(socket), Vec::new()));
            }
            (0..self.sockets.len()).for_each(|at| self.listen(at));
            std::thread::sleep(Duration::from_millis(1));
        }
        !self.heard.is_empty()
    }

    pub fn listen(&mut self, at: usize) {
        let (socket, input) = &mut self.sockets[at];
        let Some(open) = socket else { return };
        open.set_nonblocking(true).expect("no wait");
        let mut chunk = [0; 4096];
        match open.read(&mut chunk) {
            Ok(0) => *socket = None,
            Ok(count) => input.extend(&chunk[..count]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => *socket = None,
        }
        while let Some((parts, length)) = resp::parse_array(input).expect("well formed") {
            let words: Vec<_> = parts.iter().map(|part| String::from_utf8_lossy(part).into_owned()).collect();
            input.drain(..length);
            self.came_on.insert(words[1].clone(), at);
            let fields = |word: &String| {
                let kept = word.split(',').filter(|field| !field.starts_with("budget="));
                kept.collect::<Vec<_>>().join(",")
            };
            self.heard.push_back(words.iter().map(fields).collect::<Vec<_>>().join(" "));
        }
        if socket.is_none() {
            self.heard.push_back("closed".into());
        }
    }

    /// The next call; what else is heard before it does not matter.
    pub fn call(&mut self) -> String {
        loop {
            let command = self.hear();
            if command.starts_with("GET") {
                return command;
            }
        }
    }

    /// The request of the next call, which is noted.
    pub fn takes(&mut self, house: &mut House) -> u64 {
        let call = self.call();
        let id = u64::from_str_radix(&call[4..20], 16).expect("its name");
        house.note(call);
        id
    }

    /// The connection that a request came on last.
    pub fn of(&self, id: u64) -> usize {
        self.came_on.get(&format!("{id:016x}")).copied().unwrap_or_default()
    }

    pub fn say(&mut self, id: u64, word: &str, fields: &str, body: &str) {
        self.say_on(self.of(id), id, word, fields, body);
    }

    pub fn say_on(&mut self, at: usize, id: u64, word: &str, fields: &str, body: &str) {
        let id = format!("{id:016x}");
        let words = [id.as_bytes(), word.as_bytes(), fields.as_bytes(), body.as_bytes()];
        self.write(at, &resp::encode_array(&words));
    }

    pub fn write(&mut self, at: usize, bytes: &[u8]) {
        let mut socket = self.sockets[at].0.as_ref().expect("an open connection");
        socket.set_nonblocking(false).expect("a wait");
        socket.write_all(bytes).expect("it reads");
    }

    /// Ends the connection that a request came on.
    pub fn cut(&mut self, id: u64) {
        let at = self.of(id);
        self.sockets[at].0 = None;
    }
}

/// A frame of changes: rows of an engine's number, address, state and late start.
pub fn changes(number: u64, rows: &[(u32, SocketAddr, u8, u64)]) -> Vec<u8> {
    let mut payload = Vec::new();
    for (id, address, state, started) in rows {
        let SocketAddr::V4(address) = address else { panic!("an address of version 4") };
        payload.extend(id.to_be_bytes());
        payload.extend(address.ip().octets());
        payload.extend(address.port().to_be_bytes());
        payload.extend([*state, 0, 0, 0, 0]);
        payload.extend(1000u32.to_be_bytes());
        payload.extend(started.to_be_bytes());
    }
    let length = 9 + payload.len() as u32;
    [&length.to_be_bytes()[..], &number.to_be_bytes(), &[2], &payload].concat()
}
