//! A stand-in engine: a thread with a listener that speaks the router's protocol to engines and runs what it is
//! sent by the load model. Faults are told to it while it runs.

use crate::load::Load;
use emberflow_router::resp;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What may be wrong with an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// It runs at this part of its pace; 0 for its usual one.
    pub pace: f64,
    /// It reads and says nothing.
    pub silent: bool,
    /// Each so many-th result is cut in the middle of a row; 0 for none.
    pub spoils: u32,
    /// It resets all connections and takes no new ones.
    pub gone: bool,
}

/// When a request began to run, and ended.
pub type Run = (Instant, Option<Instant>);

/// The last runs of requests, by id, as the engines saw them.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<BTreeMap<String, Run>>>);

impl Runs {
    fn note(&self, id: &str, ended: bool) {
        let mut runs = self.0.lock().expect("nobody panics with it");
        match runs.get_mut(id) {
            Some((_, end)) if ended => *end = Some(Instant::now()),
            _ => drop(runs.insert(id.to_owned(), (Instant::now(), None))),
        }
    }

    /// The last run of a request.
    pub fn of(&self, id: &str) -> Option<Run> {
        self.0.lock().expect("nobody panics with it").get(id).copied()
    }
}

pub struct Engine {
    pub address: SocketAddr,
    fault: Arc<Mutex<Fault>>,
    thread: Option<JoinHandle<()>>,
}

struct Connection {
    socket: TcpStream,
    input: Vec<u8>,
    output: Vec<u8>,
}

/// Bytes that a connection may have unread before it is cut.
const MOST_BYTES: usize = 1 << 20;

impl Engine {
    /// Listens on a port of loopback; what runs is noted in `runs`.
    pub fn start(cores: f64, memory_mb: f64, runs: Runs) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let (address, fault) = (listener.local_addr()?, Arc::new(Mutex::new(Fault::default())));
        let told = Arc::clone(&fault);
        let thread =
            std::thread::spawn(move || Desk::new(Load::of(cores, memory_mb), runs).run(&listener, &told));
        Ok(Self { address, fault, thread: Some(thread) })
    }

    /// What is wrong with it from now on.
    pub fn fails(&self, fault: Fault) {
        *self.fault.lock().expect("nobody panics with it") = fault;
    }

    /// It is gone for good.
    pub fn end(&mut self) {
        self.fails(Fault { gone: true, ..Fault::default() });
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.end();
    }
}

struct Desk {
    load: Load,
    runs: Runs,
    connections: Vec<Option<Connection>>,
    /// The connection that a request came on.
    from: BTreeMap<String, usize>,
    begun: Instant,
    results: u32,
}

impl Desk {
    fn new(load: Load, runs: Runs) -> Self {
        let (connections, from) = (Vec::new(), BTreeMap::new());
        Self { load, runs, connections, from, begun: Instant::now(), results: 0 }
    }

    fn run(mut self, listener: &TcpListener, told: &Mutex<Fault>) {
        loop {
            let fault = *told.lock().expect("nobody panics with it");
            if fault.gone {
                return;
            }
            self.load.pace = if fault.pace > 0.0 { fault.pace } else { 1.0 };
            while let Ok((socket, _)) = listener.accept() {
                if socket.set_nonblocking(true).is_ok() && socket.set_nodelay(true).is_ok() {
                    let connection = Connection { socket, input: Vec::new(), output: Vec::new() };
                    let free = self.connections.iter().position(Option::is_none);
                    match free {
                        Some(at) => self.connections[at] = Some(connection),
                        None => self.connections.push(Some(connection)),
                    }
                }
            }
            let now = self.begun.elapsed();
            for done in self.load.pass(now) {
                self.runs.note(&done.id, true);
                let Some(at) = self.from.remove(&done.id).filter(|_| !fault.silent) else { continue };
                self.results += 1;
                let spoilt = fault.spoils > 0 && self.results.is_multiple_of(fault.spoils);
                let body = if spoilt { "1\t2" } else { "1\t2\t3\n" };
                let fields = format!("pages=1,cost={:.1},need={:.1}", done.work * 1e3, done.need_mb);
                self.say(at, &[done.id.as_bytes(), b"HIT", fields.as_bytes(), body.as_bytes()]);
            }
            for at in 0..self.connections.len() {
                self.serve(at, now, fault.silent);
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn say(&mut self, at: usize, words: &[&[u8]]) {
        if let Some(Some(connection)) = self.connections.get_mut(at) {
            connection.output.extend(resp::encode_array(words));
        }
    }

    fn serve(&mut self, at: usize, now: Duration, silent: bool) {
        let Some(connection) = &mut self.connections[at] else { return };
        let mut chunk = [0; 16 * 1024];
        let open = match connection.socket.read(&mut chunk) {
            Ok(0) => false,
            Ok(count) => {
                connection.input.extend(&chunk[..count]);
                true
            }
            Err(e) => e.kind() == ErrorKind::WouldBlock,
        };
        let mut words = Vec::new();
        while let Ok(Some((parts, length))) = resp::parse_array(&connection.input) {
            words.push(
                parts.iter().map(|part| String::from_utf8_lossy(part).into_owned()).collect::<Vec<_>>(),
            );
            connection.input.drain(..length);
        }
        for words in words {
            self.hear(at, now, &words, silent);
        }
        let Some(connection) = &mut self.connections[at] else { return };
        while !connection.output.is_empty() {
            match connection.socket.write(&connection.output) {
                Ok(count) => drop(connection.output.drain(..count)),
                Err(_) => break,
            }
        }
        if !open || connection.input.len().max(connection.output.len()) > MOST_BYTES {
            self.connections[at] = None;
            let lost: Vec<String> =
                self.from.iter().filter(|(_, by)| **by == at).map(|(id, _)| id.clone()).collect();
            for id in lost {
                self.from.remove(&id);
                self.load.drop_request(&id);
            }
        }
    }

    fn hear(&mut self, at: usize, now: Duration, words: &[String], silent: bool) {
        let word = |at: usize| words.get(at).map_or("", String::as_str);
        let figure = |text: &str, name: &str| -> Option<f64> {
            text.split([',', ' ']).find_map(|field| field.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        match word(0) {
            "GET" => {
                let (id, terms, statement) = (word(1), word(2), word(3));
                let work = figure(statement, "work_ms").unwrap_or(10.0) / 1e3;
                let need = figure(statement, "need_mb").unwrap_or(10.0);
                let granted = figure(terms, "mem").filter(|mb| *mb > 0.0).unwrap_or(need);
                if self.load.take(now, id, work, need, granted) {
                    self.from.insert(id.to_owned(), at);
                    self.runs.note(id, false);
                } else if !silent {
                    self.say(at, &[id.as_bytes(), b"SHED", b"-", b""]);
                }
            }
            "DROP" => {
                self.load.drop_request(word(1));
                self.from.remove(word(1));
            }
            "PING" if !silent => self.say(at, &[b"0", b"PONG", b"-", b""]),
            _ => {}
        }
    }
}
