//! The stand-ins: sql engines, the bulletin, clients, and the router's process.

use crate::wire::{self, Answer, Member};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    safe fn kill(pid: i32, signal: i32) -> i32;
}

/// The record of a run: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn log(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.now().as_secs_f64(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until this time of the run.
pub fn sleep_until(record: &Record, at: Duration) {
    thread::sleep(at.saturating_sub(record.now()));
}

/// Returns a free loopback address.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// A connection that a router has opened to a sql engine.
pub struct EngineConnection {
    pub number: u64,
    pub engine: String,
    socket: Mutex<TcpStream>,
    record: Record,
}

impl EngineConnection {
    /// Sends an answer. `what` names it in the record.
    pub fn send(&self, id: &str, word: &str, fields: &str, body: &[u8]) {
        if word != "INFO" && word != "PONG" {
            self.record
                .log(format!("engine {} conn {} answers {word} {id} {fields}", self.engine, self.number));
        }
        let bytes = wire::resp(&[id.as_bytes(), word.as_bytes(), fields.as_bytes(), body]);
        let _ = self.socket.lock().unwrap().write_all(&bytes);
    }
}

/// One command that a router has sent to a sql engine.
pub enum Order {
    Opened,
    Get { id: String, fields: String },
    Ping { tag: String },
    Other,
}

/// What an engine does with the orders that it gets; called in the thread of the connection.
pub type Behaviour = Arc<dyn Fn(&Arc<EngineConnection>, Order) + Send + Sync>;

/// A sql engine that listens on a loopback address.
pub struct Engine {
    pub address: SocketAddrV4,
}

static CONNECTIONS: AtomicU64 = AtomicU64::new(1);

impl Engine {
    pub fn start(name: &str, record: &Record, behaviour: Behaviour) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let SocketAddr::V4(address) = listener.local_addr()? else { unreachable!("bound to IPv4") };
        let (name, record) = (name.to_owned(), record.clone());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (name, record, behaviour) = (name.clone(), record.clone(), behaviour.clone());
                thread::spawn(move || serve_router(socket, name, record, behaviour));
            }
        });
        Ok(Self { address })
    }

    pub fn member(&self, id: u32) -> Member {
        Member { id, address: self.address, state: 0, zone: 0, kind: 0, cell: id as u16, started_ms: 0 }
    }
}

fn serve_router(socket: TcpStream, engine: String, record: Record, behaviour: Behaviour) {
    let _ = socket.set_nodelay(true);
    let Ok(reading) = socket.try_clone() else { return };
    let number = CONNECTIONS.fetch_add(1, Ordering::Relaxed);
    let connection = Arc::new(EngineConnection {
        number,
        engine: engine.clone(),
        socket: Mutex::new(socket),
        record: record.clone(),
    });
    behaviour(&connection, Order::Opened);
    let mut input = BufReader::new(reading);
    while let Ok(Some(parts)) = wire::read_resp(&mut input) {
        let text = |at: usize| {
            parts.get(at).map(|part| String::from_utf8_lossy(part).into_owned()).unwrap_or_default()
        };
        let order = match text(0).as_str() {
            "GET" => Order::Get { id: text(1), fields: text(2) },
            "PING" => Order::Ping { tag: text(1) },
            _ => Order::Other,
        };
        let shown = if parts.len() > 3 {
            format!("{} {} {}", text(0), text(1), text(2))
        } else {
            parts.iter().map(|part| String::from_utf8_lossy(part)).collect::<Vec<_>>().join(" ")
        };
        record.log(format!("engine {engine} conn {number} gets {shown}"));
        behaviour(&connection, order);
    }
    record.log(format!("engine {engine} conn {number} ended"));
}

/// The bulletin: tells the list of sql engines as numbered events.
#[derive(Clone)]
pub struct Bulletin {
    pub address: SocketAddr,
    events: Arc<(Mutex<Vec<(u8, Vec<Member>)>>, Condvar)>,
}

impl Bulletin {
    pub fn start(record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let bulletin = Self { address: listener.local_addr()?, events: Arc::default() };
        let (serving, record) = (bulletin.clone(), record.clone());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (serving, record) = (serving.clone(), record.clone());
                thread::spawn(move || serving.serve(socket, &record));
            }
        });
        Ok(bulletin)
    }

    /// Adds an event. Kinds: 1 the whole list, 2 changes.
    pub fn tell(&self, kind: u8, members: Vec<Member>) {
        self.events.0.lock().unwrap().push((kind, members));
        self.events.1.notify_all();
    }

    fn serve(&self, mut socket: TcpStream, record: &Record) {
        let Ok(last) = wire::read_number(&mut socket) else { return };
        record.log(format!("bulletin: a router asks for the events after {last}"));
        let mut sent = last as usize;
        loop {
            let events = self.events.0.lock().unwrap();
            let (events, _) = self
                .events
                .1
                .wait_timeout_while(events, Duration::from_secs(1), |events| events.len() <= sent)
                .unwrap();
            let mut bytes = Vec::new();
            for (at, (kind, members)) in events.iter().enumerate().skip(sent) {
                bytes.extend(wire::frame(at as u64 + 1, *kind, members));
            }
            sent = sent.max(events.len());
            if bytes.is_empty() {
                bytes = wire::frame(sent as u64, 0, &[]);
            }
            drop(events);
            if socket.write_all(&bytes).is_err() {
                return;
            }
        }
    }
}

/// A client's connection to a router. A thread reads the answers.
pub struct Client {
    name: String,
    socket: TcpStream,
    next_id: u64,
    answers: Arc<(Mutex<Answers>, Condvar)>,
    record: Record,
}

/// The answers that a client has received, by the ids of its messages, and whether its connection has ended.
#[derive(Default)]
pub struct Answers {
    pub by_id: BTreeMap<u64, Vec<(Duration, Answer)>>,
    pub ended: bool,
}

/// A request of a client.
pub struct Request {
    pub class: &'static str,
    pub req: String,
    pub timeout_ms: u64,
    pub work_ms: f64,
    pub memory_mb: f64,
    pub more: String,
    pub statement: String,
}

impl Client {
    pub fn connect(name: &str, address: SocketAddr, record: &Record) -> io::Result<Self> {
        let socket = TcpStream::connect(address)?;
        socket.set_nodelay(true)?;
        let answers: Arc<(Mutex<Answers>, Condvar)> = Arc::default();
        let (reading, shared, owner, log) =
            (socket.try_clone()?, answers.clone(), name.to_owned(), record.clone());
        thread::spawn(move || {
            for line in BufReader::new(reading).lines() {
                let Ok(line) = line else { break };
                let shown: String = line.chars().take(160).collect();
                log.log(format!("client {owner} is answered {shown}"));
                if let Some((Some(id), answer)) = wire::decode_answer(&line) {
                    shared.0.lock().unwrap().by_id.entry(id).or_default().push((log.now(), answer));
                    shared.1.notify_all();
                }
            }
            log.log(format!("client {owner}: the connection has ended"));
            shared.0.lock().unwrap().ended = true;
            shared.1.notify_all();
        });
        Ok(Self { name: name.to_owned(), socket, next_id: 1, answers, record: record.clone() })
    }

    /// Sends a cancellation, to which no answer is owed.
    pub fn withdraw(&mut self, req: &str) -> io::Result<()> {
        self.record.log(format!("client {} withdraws {req}", self.name));
        let line =
            format!("{{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\",\"params\":{{\"req\":\"{req}\"}}}}\n");
        self.socket.write_all(line.as_bytes())
    }

    /// Encodes a request under the next id.
    fn encode(&mut self, request: &Request) -> (u64, String) {
        let id = self.next_id;
        self.next_id += 1;
        let Request { class, req, timeout_ms, work_ms, memory_mb, more, statement } = request;
        let data = wire::base64(statement.as_bytes());
        let line = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{class}\",\"params\":{{\"req\":\"{req}\",\"timeout\":{timeout_ms},\"ms\":{work_ms:.1},\"memory\":{memory_mb:.0}{more},\"data\":\"{data}\"}}}}\n"
        );
        (id, line)
    }

    /// Sends a request; returns the id of the message.
    pub fn send(&mut self, request: &Request) -> io::Result<u64> {
        let (id, line) = self.encode(request);
        let shown: String = line.trim_end().chars().take(200).collect();
        self.record.log(format!("client {} sends {shown}", self.name));
        self.socket.write_all(line.as_bytes())?;
        Ok(id)
    }

    /// Waits for the first answer to a message until this time of the run.
    pub fn wait(&self, id: u64, until: Duration) -> Option<(Duration, Answer)> {
        let mut answers = self.answers.0.lock().unwrap();
        loop {
            if let Some(first) = answers.by_id.get(&id).and_then(|all| all.first()) {
                return Some(first.clone());
            }
            let left = until.saturating_sub(self.record.now());
            if left.is_zero() || answers.ended {
                return None;
            }
            answers = self.answers.1.wait_timeout(answers, left).unwrap().0;
        }
    }

    pub fn status(&mut self, until: Duration) -> Option<bool> {
        let id = self.next_id;
        self.next_id += 1;
        let line = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"status\",\"params\":{{}}}}\n");
        self.socket.write_all(line.as_bytes()).ok()?;
        match self.wait(id, until) {
            Some((_, Answer::Status(serving))) => Some(serving),
            _ => None,
        }
    }

    pub fn close(&self) {
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}

/// A router's process, started with the command `run` of the deploy file.
pub struct Router {
    child: Child,
    pub address: SocketAddr,
    pid_file: PathBuf,
    record: Record,
}

impl Router {
    /// Starts a router and waits until it serves.
    pub fn start(
        place: &Place,
        record: &Record,
        bulletin: SocketAddr,
        known: &str,
        settings: &str,
    ) -> Result<Self, String> {
        let address = free_address().map_err(|error| error.to_string())?;
        let config = place.temporary.join("config.json");
        write_config(&config, address, bulletin, known, settings).map_err(|error| error.to_string())?;
        let log = File::create(place.temporary.join("router.log")).map_err(|error| error.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", &place.run])
            .current_dir(&place.root)
            .env("EDGE_NAME", "n0")
            .env("EDGE_LISTEN", address.to_string())
            .env("EDGE_CONFIG", &config)
            .env("RUST_LOG", std::env::var("ROUTER_LOG").unwrap_or_else(|_| "info".to_owned()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| format!("the router does not start: {error}"))?;
        record.log(format!("router started as process {} at {address}", child.id()));
        let pid_file = place.temporary.join("router.pid");
        std::fs::write(&pid_file, child.id().to_string()).map_err(|error| error.to_string())?;
        let mut router = Self { child, address, pid_file, record: record.clone() };
        for _ in 0..200 {
            sleep_ms(50);
            let Ok(mut client) = Client::connect("front", address, record) else { continue };
            let serving = client.status(record.now() + Duration::from_secs(1));
            client.close();
            if serving == Some(true) {
                return Ok(router);
            }
        }
        router.end();
        Err("the router does not serve".to_owned())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32, name: &str) {
        self.record.log(format!("the router gets {name}"));
        kill(self.child.id() as i32, signal);
    }

    /// Ends the process.
    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.pid_file);
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.end();
    }
}

/// Writes a router's configuration.
pub fn write_config(
    path: &Path,
    listen: SocketAddr,
    bulletin: SocketAddr,
    known: &str,
    settings: &str,
) -> io::Result<()> {
    let text = format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"bulletin\":\"{bulletin}\",\"known\":{known},\"settings\":{settings}}}\n"
    );
    std::fs::write(path, text)
}

/// Where a case runs.
pub struct Place {
    pub root: PathBuf,
    pub temporary: PathBuf,
    /// The command `run` of the deploy file.
    pub run: String,
    /// Whether the disruption takes place.
    pub trouble: bool,
}
