//! Stand-ins for a small deployment on loopback: SQL engines, the bulletin, clients and the platform that starts the
//! router. They use only the standard library, so that `rustc` alone builds them.

#![allow(dead_code, reason = "each case uses a part of the stand-ins")]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const RULE_HELD: i32 = 0;
pub const RULE_BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

// ---------------------------------------------------------------------------------------------------------- record

/// The record of a run: what was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn log(&self, text: &str) {
        let line = format!("{:9.4} {text}\n", self.seconds());
        let _ = lock(&self.file).write_all(line.as_bytes());
    }
}

// ------------------------------------------------------------------------------------------------------------ JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Self> {
        let mut parser = Parser { bytes: text, at: 0 };
        let value = parser.value()?;
        parser.blanks();
        (parser.at == text.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn blanks(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.blanks();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| self.at += word.len())?;
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.blanks();
        match *self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.figure(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.blanks();
            let name = self.string()?;
            self.take(b':')?;
            fields.insert(name, self.value()?);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Object(fields));
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(items));
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'b' => text.push(8),
                        b'f' => text.push(12),
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let character = char::from_u32(code).unwrap_or('\u{fffd}');
                            text.extend(character.to_string().bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }

    fn figure(&mut self) -> Option<Json> {
        let start = self.at;
        while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
            self.at += 1;
        }
        std::str::from_utf8(&self.bytes[start..self.at]).ok()?.parse().ok().map(Json::Number)
    }
}

// ---------------------------------------------------------------------------------------------------------- base64

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let number = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= group.len() { digit as char } else { '=' });
        }
    }
    text
}

pub fn from_base64(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let digits = text.trim_end_matches('=').as_bytes();
    for group in digits.chunks(4) {
        let mut number = 0u32;
        for place in 0..4 {
            let digit = match group.get(place) {
                Some(byte) => DIGITS.iter().position(|digit| digit == byte)? as u32,
                None => 0,
            };
            number = number << 6 | digit;
        }
        bytes.extend(&number.to_be_bytes()[1..group.len()]);
    }
    Some(bytes)
}

// ------------------------------------------------------------------------------------------------------------ RESP

pub fn resp(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        bytes.extend(format!("${}\r\n", part.len()).bytes());
        bytes.extend(*part);
        bytes.extend(b"\r\n");
    }
    bytes
}

/// An engine's answer with its four parts.
pub fn answer(id: &str, word: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    resp(&[id.as_bytes(), word.as_bytes(), fields.as_bytes(), body])
}

fn read_length(reader: &mut impl BufRead, kind: u8) -> std::io::Result<Option<usize>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    let invalid = || std::io::Error::other("not a RESP length");
    let digits =
        line.strip_prefix(&[kind]).and_then(|rest| rest.strip_suffix(b"\r\n")).ok_or_else(invalid)?;
    let number =
        std::str::from_utf8(digits).ok().and_then(|digits| digits.parse().ok()).ok_or_else(invalid)?;
    Ok(Some(number))
}

fn read_array(reader: &mut impl BufRead) -> std::io::Result<Option<Vec<Vec<u8>>>> {
    let Some(count) = read_length(reader, b'*')? else { return Ok(None) };
    let mut parts = Vec::new();
    for _ in 0..count {
        let Some(length) = read_length(reader, b'$')? else { return Ok(None) };
        let mut part = vec![0; length + 2];
        reader.read_exact(&mut part)?;
        part.truncate(length);
        parts.push(part);
    }
    Ok(Some(parts))
}

#[repr(C)]
struct SocketAddress {
    family: u16,
    rest: [u8; 14],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
/// Segments and the receive buffer of a connection over a slow link, in bytes. On loopback both are far larger by default.
const SLOW_LINK_OPTIONS: [(i32, i32, i32); 2] =
    [(IPPROTO_TCP, TCP_MAXSEG, 1400), (SOL_SOCKET, SO_RCVBUF, 16_384)];

/// Connects with small segments and a small receive buffer, as over a slow link.
pub fn connect_over_slow_link(address: SocketAddr) -> std::io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    let SocketAddr::V4(v4) = address else { return Err(std::io::Error::other("not an IPv4 address")) };
    let mut rest = [0; 14];
    rest[..2].copy_from_slice(&v4.port().to_be_bytes());
    rest[2..6].copy_from_slice(&v4.ip().octets());
    let peer = SocketAddress { family: AF_INET as u16, rest };
    // SAFETY: the addresses of the options and of the peer are valid for the calls, with their lengths; the descriptor is
    // open and has no other owner.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        for (level, name, value) in SLOW_LINK_OPTIONS {
            if setsockopt(descriptor, level, name, &raw const value, size_of::<i32>() as u32) != 0 {
                return Err(std::io::Error::last_os_error());
            }
        }
        if connect(descriptor, &raw const peer, size_of::<SocketAddress>() as u32) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}

// --------------------------------------------------------------------------------------------------------- engines

/// A command that an engine has read.
#[derive(Clone, Debug, Default)]
pub struct EngineCommand {
    pub word: String,
    pub id: String,
    /// The fields of a `GET`, or the third word of another command.
    pub fields: String,
    pub statement: String,
}

impl EngineCommand {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.split(',').find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
    }
}

/// The engine's side of a connection.
#[derive(Clone)]
pub struct EngineConnection {
    pub number: u64,
    socket: Arc<Mutex<TcpStream>>,
    /// The requests that are given up, or whose answers are written.
    closed: Arc<Mutex<std::collections::BTreeSet<String>>>,
    is_open: Arc<AtomicBool>,
}

impl EngineConnection {
    pub fn write(&self, bytes: &[u8]) -> bool {
        lock(&self.socket).write_all(bytes).is_ok()
    }

    /// Whether the router has closed the connection.
    pub fn is_open(&self) -> bool {
        self.is_open.load(Ordering::SeqCst)
    }

    /// Whether the router has given this request up on this connection.
    pub fn is_given_up(&self, id: &str) -> bool {
        !self.is_open() || lock(&self.closed).contains(id)
    }
}

type EngineHandler = dyn Fn(&EngineConnection, &EngineCommand) + Send + Sync;

/// An engine on a free port. Its handler gets every command but `PING`, which is answered at once.
pub struct Engine {
    pub name: String,
    pub address: SocketAddr,
}

impl Engine {
    pub fn start(
        name: &str,
        record: &Record,
        handler: impl Fn(&EngineConnection, &EngineCommand) + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let handler: Arc<EngineHandler> = Arc::new(handler);
        let (name_of_thread, record) = (name.to_owned(), record.clone());
        thread::spawn(move || {
            for (number, socket) in (1..).zip(listener.incoming().flatten()) {
                let (handler, record, name) = (Arc::clone(&handler), record.clone(), name_of_thread.clone());
                thread::spawn(move || serve_engine_connection(&name, number, socket, &record, &*handler));
            }
        });
        Ok(Self { name: name.to_owned(), address })
    }
}

fn serve_engine_connection(
    name: &str,
    number: u64,
    socket: TcpStream,
    record: &Record,
    handler: &EngineHandler,
) {
    let _ = socket.set_nodelay(true);
    let Ok(writer) = socket.try_clone() else { return };
    let connection = EngineConnection {
        number,
        socket: Arc::new(Mutex::new(writer)),
        closed: Arc::default(),
        is_open: Arc::new(AtomicBool::new(true)),
    };
    let mut reader = BufReader::new(socket);
    while let Ok(Some(parts)) = read_array(&mut reader) {
        let part = |index: usize| {
            parts.get(index).map(|part| String::from_utf8_lossy(part).into_owned()).unwrap_or_default()
        };
        let command = EngineCommand { word: part(0), id: part(1), fields: part(2), statement: part(3) };
        match command.word.as_str() {
            "PING" => {
                connection.write(&answer(&command.id, "PONG", "-", b""));
            }
            "DROP" => {
                record.log(&format!("{name} connection {number}: DROP {}", command.id));
                lock(&connection.closed).insert(command.id.clone());
                handler(&connection, &command);
            }
            "GET" => {
                lock(&connection.closed).remove(&command.id);
                record.log(&format!(
                    "{name} connection {number}: GET {} {} {}",
                    command.id,
                    command.fields,
                    command.statement.chars().take(80).collect::<String>()
                ));
                handler(&connection, &command);
            }
            _ => handler(&connection, &command),
        }
    }
    connection.is_open.store(false, Ordering::SeqCst);
    record.log(&format!("{name} connection {number}: closed"));
}

// -------------------------------------------------------------------------------------------------------- bulletin

/// One engine of the bulletin's list.
#[derive(Clone, Debug)]
pub struct Row {
    pub id: u32,
    pub address: SocketAddr,
    /// 0 ready, 1 draining, 2 gone.
    pub state: u8,
    /// The Unix millisecond of a late start, or 0.
    pub up_since_ms: u64,
}

impl Row {
    fn bytes(&self) -> Vec<u8> {
        let mut bytes = self.id.to_be_bytes().to_vec();
        match self.address {
            SocketAddr::V4(address) => bytes.extend(address.ip().octets()),
            SocketAddr::V6(_) => bytes.extend([0; 4]),
        }
        bytes.extend(self.address.port().to_be_bytes());
        bytes.extend([self.state, 0, 0]);
        bytes.extend(0u16.to_be_bytes());
        bytes.extend(1000u32.to_be_bytes());
        bytes.extend(self.up_since_ms.to_be_bytes());
        bytes
    }

    /// The row as it stands in the configuration.
    pub fn json(&self) -> String {
        let phase = ["ready", "draining", "gone"][usize::from(self.state)];
        format!(
            r#"{{"id":"s-{:08x}","host_port":"{}","locality":"hall-a","flavor":"std-8","cell":0,"phase":"{phase}","size":1,"up_since_ms":{}}}"#,
            self.id, self.address, self.up_since_ms
        )
    }
}

/// The bulletin. It tells the changes of the list, and an empty frame each second.
pub struct Bulletin {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<Vec<Row>>>>,
}

impl Bulletin {
    /// Starts a bulletin whose first event, which the configuration holds, has the number 1.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let events: Arc<Mutex<Vec<Vec<Row>>>> = Arc::default();
        let shared = Arc::clone(&events);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let events = Arc::clone(&shared);
                thread::spawn(move || serve_bulletin(socket, &events));
            }
        });
        Ok(Self { address, events })
    }

    /// Adds a change of the list.
    pub fn tell(&self, rows: Vec<Row>) {
        lock(&self.events).push(rows);
    }
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (9 + payload.len() as u32).to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(kind);
    bytes.extend(payload);
    bytes
}

fn serve_bulletin(mut socket: TcpStream, events: &Mutex<Vec<Vec<Row>>>) {
    let mut subscription = [0; 8];
    if socket.read_exact(&mut subscription).is_err() {
        return;
    }
    let mut told = u64::from_be_bytes(subscription);
    let mut last_frame = Instant::now() - Duration::from_secs(1);
    loop {
        let unsent: Vec<Vec<Row>> = lock(events).iter().skip((told - 1) as usize).cloned().collect();
        for rows in unsent {
            told += 1;
            let payload: Vec<u8> = rows.iter().flat_map(Row::bytes).collect();
            if socket.write_all(&frame(told, 2, &payload)).is_err() {
                return;
            }
        }
        if last_frame.elapsed() >= Duration::from_secs(1) {
            last_frame = Instant::now();
            if socket.write_all(&frame(told, 0, &[])).is_err() {
                return;
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
}

// --------------------------------------------------------------------------------------------------------- clients

/// A line that a router has answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused,
    Failed(i64),
    Status(bool),
    /// A line that can't be read as an answer.
    Unreadable(String),
}

/// A client's connection to a router.
pub struct Client {
    pub name: String,
    socket: TcpStream,
    answers: Arc<Mutex<Vec<(u64, Answer, Instant)>>>,
    is_closed: Arc<AtomicBool>,
    /// Whether the link from the router to the client is slow.
    pub is_slow: Arc<AtomicBool>,
    next_id: AtomicU64,
    record: Record,
}

/// While a link is slow, so many bytes come through it in each interval: 50 kB a second.
const SLOW_LINK_BYTES: usize = 500;
const SLOW_LINK_INTERVAL: Duration = Duration::from_millis(10);

/// The reading side of a client's connection, whose link may be slow.
struct LinkReader {
    socket: TcpStream,
    is_slow: Arc<AtomicBool>,
}

impl Read for LinkReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if !self.is_slow.load(Ordering::SeqCst) {
            return self.socket.read(buffer);
        }
        thread::sleep(SLOW_LINK_INTERVAL);
        let length = buffer.len().min(SLOW_LINK_BYTES);
        self.socket.read(&mut buffer[..length])
    }
}

/// A request of a client.
pub struct Request {
    pub class: String,
    pub name: String,
    pub timeout_ms: u64,
    pub work_ms: f64,
    pub memory_mb: f64,
    pub key: Option<String>,
    pub is_resent: bool,
    pub statement: String,
}

impl Client {
    pub fn connect(name: &str, address: SocketAddr, record: &Record) -> std::io::Result<Self> {
        Self::on(name, TcpStream::connect(address)?, record)
    }

    /// A client on an open connection.
    pub fn on(name: &str, socket: TcpStream, record: &Record) -> std::io::Result<Self> {
        socket.set_nodelay(true)?;
        let is_slow = Arc::new(AtomicBool::new(false));
        let reader =
            BufReader::new(LinkReader { socket: socket.try_clone()?, is_slow: Arc::clone(&is_slow) });
        let answers: Arc<Mutex<Vec<(u64, Answer, Instant)>>> = Arc::default();
        let is_closed = Arc::new(AtomicBool::new(false));
        let (shared, closed, log, own_name) =
            (Arc::clone(&answers), Arc::clone(&is_closed), record.clone(), name.to_owned());
        thread::spawn(move || {
            for line in reader.split(b'\n') {
                let Ok(line) = line else { break };
                let (id, answer) = decode_answer(&line);
                if !matches!(answer, Answer::Status(_)) {
                    log.log(&format!("{own_name} <- id {id}: {}", describe(&answer)));
                }
                lock(&shared).push((id, answer, Instant::now()));
            }
            closed.store(true, Ordering::SeqCst);
        });
        Ok(Self {
            name: name.to_owned(),
            socket,
            answers,
            is_closed,
            is_slow,
            next_id: AtomicU64::new(1),
            record: record.clone(),
        })
    }

    pub fn write(&self, bytes: &[u8]) -> std::io::Result<()> {
        (&self.socket).write_all(bytes)
    }

    /// Sends a request, and returns its id on this connection.
    pub fn send(&self, request: &Request) -> std::io::Result<u64> {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let key = request.key.as_ref().map_or_else(String::new, |key| format!(r#","opkey":"{key}""#));
        let resent = if request.is_resent { r#","resent":1"# } else { "" };
        let line = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{}\",\"params\":{{\"req\":\"{}\",\"timeout\":{}{resent}{key},\"ms\":{:.1},\"memory\":{:.1},\"data\":\"{}\"}}}}\n",
            request.class,
            request.name,
            request.timeout_ms,
            request.work_ms,
            request.memory_mb,
            to_base64(request.statement.as_bytes())
        );
        self.record.log(&format!(
            "{} -> id {id}: {} {} timeout {} ms{}{}",
            self.name,
            request.class,
            request.name,
            request.timeout_ms,
            request.key.as_ref().map_or_else(String::new, |key| format!(" opkey {key}")),
            if request.is_resent { " resent" } else { "" }
        ));
        self.write(line.as_bytes())?;
        Ok(id)
    }

    /// Asks for the router's status.
    pub fn is_serving(&self, wait: Duration) -> bool {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let line = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"status\",\"params\":{{}}}}\n");
        if self.write(line.as_bytes()).is_err() {
            return false;
        }
        matches!(self.wait(id, wait), Some((Answer::Status(true), _)))
    }

    /// The answers to a request so far.
    pub fn answers(&self, id: u64) -> Vec<Answer> {
        lock(&self.answers).iter().filter(|(of, ..)| *of == id).map(|(_, answer, _)| answer.clone()).collect()
    }

    /// All answers so far, with the ids of their requests and the times of their arrival.
    pub fn all_answers(&self) -> Vec<(u64, Answer, Instant)> {
        lock(&self.answers).clone()
    }

    /// Waits for the first answer to a request.
    pub fn wait(&self, id: u64, longest: Duration) -> Option<(Answer, Instant)> {
        let end = Instant::now() + longest;
        loop {
            let found = lock(&self.answers).iter().find(|(of, ..)| *of == id).cloned();
            if let Some((_, answer, at)) = found {
                return Some((answer, at));
            }
            if Instant::now() >= end {
                return None;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::SeqCst)
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let _ = self.socket.shutdown(std::net::Shutdown::Both);
    }
}

fn describe(answer: &Answer) -> String {
    match answer {
        Answer::Served(rows) => {
            let text = String::from_utf8_lossy(rows).into_owned();
            let short: String = text.chars().take(60).collect();
            format!("served, {} bytes: {short:?}", rows.len())
        }
        Answer::Refused => "refused (-32011)".to_owned(),
        Answer::Failed(code) => format!("failed ({code})"),
        Answer::Status(serving) => format!("status, serving {serving}"),
        Answer::Unreadable(line) => format!("unreadable: {line}"),
    }
}

fn decode_answer(line: &[u8]) -> (u64, Answer) {
    let unreadable = || Answer::Unreadable(String::from_utf8_lossy(line).chars().take(120).collect());
    let Some(message) = Json::parse(line) else { return (0, unreadable()) };
    let id = message.get("id").and_then(Json::number).unwrap_or(0.0) as u64;
    if let Some(code) = message.get("error").and_then(|error| error.get("code")).and_then(Json::number) {
        return (id, if code == -32011.0 { Answer::Refused } else { Answer::Failed(code as i64) });
    }
    let Some(result) = message.get("result") else { return (id, unreadable()) };
    if let Some(Json::Bool(serving)) = result.get("serving") {
        return (id, Answer::Status(*serving));
    }
    let rows = result.get("data").and_then(Json::text).and_then(from_base64);
    (id, rows.map_or_else(unreadable, Answer::Served))
}

// -------------------------------------------------------------------------------------------------------- platform

/// The platform: starts the router with the command of the deploy file, and ends it.
pub struct Router {
    child: Child,
    pub address: SocketAddr,
    pub log: PathBuf,
}

/// The folder of the repository, the temporary folder of the run, and its record.
pub struct Stage {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: Record,
}

impl Stage {
    /// Reads the folders from the arguments: the repository's root, the case's folder, the temporary folder.
    pub fn from_arguments() -> std::io::Result<Self> {
        let arguments: Vec<String> = std::env::args().collect();
        let [_, root, case, folder] = arguments.as_slice() else {
            return Err(std::io::Error::other("usage: ROOT CASE_FOLDER TEMPORARY_FOLDER"));
        };
        let record = Record::create(&Path::new(case).join("record.txt"))?;
        record.log(&format!("TROUBLE={}", u8::from(has_trouble())));
        Ok(Self { root: root.into(), folder: folder.into(), record })
    }

    /// The command `run` of the deploy file.
    fn run_command(&self) -> std::io::Result<String> {
        let deploy = std::fs::read_to_string(self.root.join("deploy/balancer.toml"))?;
        let line = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next());
        line.map(str::to_owned).ok_or_else(|| std::io::Error::other("the deploy file has no `run`"))
    }

    /// Starts a router named `name`, and waits until it serves. `config` is the configuration without name and
    /// addresses.
    pub fn start_router(&self, name: &str, config: &RouterConfig) -> std::io::Result<Router> {
        self.start_router_at(name, config, free_address()?)
    }

    /// Starts a router as `start_router` does, at a given address.
    pub fn start_router_at(
        &self,
        name: &str,
        config: &RouterConfig,
        address: SocketAddr,
    ) -> std::io::Result<Router> {
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, config.json(name, address))?;
        let log = self.folder.join(format!("{name}.log"));
        let output = std::fs::OpenOptions::new().create(true).append(true).open(&log)?;
        let level = std::env::var("ROUTER_LOG").unwrap_or_else(|_| "info".to_owned());
        let child = Command::new("/bin/sh")
            .args(["-c", &self.run_command()?])
            .current_dir(&self.root)
            .env("EDGE_NAME", name)
            .env("EDGE_LISTEN", address.to_string())
            .env("EDGE_CONFIG", &path)
            .env("TMPDIR", &self.folder)
            .env("RUST_LOG", level)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        std::fs::write(self.folder.join(format!("{name}-{}.pid", child.id())), child.id().to_string())?;
        self.record.log(&format!("router {name} started, process {}", child.id()));
        let mut router = Router { child, address, log };
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if router.has_ended() {
                return Err(std::io::Error::other("the router ended at its start"));
            }
            if let Ok(client) = Client::connect("front", address, &self.record)
                && client.is_serving(Duration::from_millis(500))
            {
                return Ok(router);
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(std::io::Error::other("the router did not serve within 10 s"))
    }
}

impl Router {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").args(["-s", signal, &self.pid().to_string()]).status();
    }

    /// The resident memory of the process in kB, now and at its highest.
    pub fn memory_kb(&self) -> Option<(u64, u64)> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let figure = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.trim().trim_end_matches(" kB").parse::<u64>().ok()
        };
        Some((figure("VmRSS:")?, figure("VmHWM:")?))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

/// The settings of a small deployment, in the form of the README's example.
pub struct RouterConfig {
    pub memory_mb: u32,
    pub sockets: u32,
    pub bulletin: SocketAddr,
    pub rows: Vec<Row>,
    /// The request classes, as JSON objects separated by commas.
    pub categories: String,
    /// The number of classes, and for each the threads and whether it is a load.
    pub parallelism: String,
    pub writes_tables: String,
    pub blocked_by_loads: String,
    pub may_duplicate: bool,
    pub progress_ms: u32,
    /// The number of routers.
    pub instances: u32,
}

impl RouterConfig {
    fn json(&self, name: &str, listen: SocketAddr) -> String {
        let members: Vec<String> = self.rows.iter().map(Row::json).collect();
        let Self { memory_mb, sockets, bulletin, categories, may_duplicate, progress_ms, instances, .. } =
            self;
        let Self { parallelism, writes_tables, blocked_by_loads, .. } = self;
        let members = members.join(",");
        format!(
            r#"{{"name":"{name}","listen":"{listen}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"bulletin":"{bulletin}",
"known":{{"no":1,"items":[{{"no":1,"roster":{{"revision":1,"complete":true,"members":[{members}]}}}}]}},
"settings":{{"instances":{instances},"myZone":0,"zones":["hall-a"],"kinds":["std-8"],"discovery":"push","tickMs":5,
"categories":[{categories}],
"caps":{{"cancel":true,"connectTimeoutMs":250,"idleCloseMs":15000,"maxRetryAfterMs":2000,"mostTries":3,
"mayDuplicate":{may_duplicate},"retryAfter":true,"streamsPerConn":32,"maxOpen":24815}},
"domain":{{"kindCores":[8],"largestShare":0.4,"lanesCount":true,"sizeMb":[16384],"tellsEveryMs":{progress_ms},
"parallelism":[{parallelism}],"writesTables":[{writes_tables}],"blockedByLoads":[{blocked_by_loads}],
"takesGrants":true,"bills":true,"whenShort":"line_up"}},
"report":{{"how":"answers","names":["busy","q","x1","x0"]}},
"rules":{{"drainGraceMs":2000,"fallMs":1000,"graceToAnswerMs":20,"overloadFactor":2.5,"startCapacity":0.33,"warmUpMs":15000}}}}}}
"#
        )
    }
}

/// Names of requests: 16 hex digits, never the same twice.
pub struct Names {
    next: AtomicU64,
}

impl Names {
    pub fn new() -> Self {
        let seed = unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Self { next: AtomicU64::new(seed) }
    }

    pub fn next(&self) -> String {
        format!("{:016x}", self.next.fetch_add(0x1_0000_0001, Ordering::SeqCst))
    }
}

/// Ends the process with the status of a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn finish(outcome: std::io::Result<i32>, record: Option<&Record>) -> ! {
    let status = match &outcome {
        Ok(status) => *status,
        Err(_) => NOT_RUN,
    };
    let text = match &outcome {
        Ok(RULE_HELD) => "the rule held".to_owned(),
        Ok(RULE_BROKEN) => "the rule was broken".to_owned(),
        Ok(_) => "the case could not run".to_owned(),
        Err(error) => format!("the case could not run: {error}"),
    };
    if let Some(record) = record {
        record.log(&text);
    }
    println!("{text}");
    std::process::exit(status);
}
