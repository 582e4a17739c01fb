//! An emulated engine: a thread with a listener that speaks the router's protocol to engines and runs what it is sent
//! by the load model. Faults can be set while it runs.

use crate::load_model::{FinishedRequest, LoadModel, ResourceNeed};
use emberflow_router::resp;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Unread bytes of a connection, in either direction, beyond which it is closed.
const MOST_BUFFERED_BYTES: usize = 1 << 20;
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Between two looks at all sockets.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// What a request needs where its statement names nothing.
const DEFAULT_WORK_MS: f64 = 10.0;
const DEFAULT_MEMORY_MB: f64 = 10.0;
/// A complete result, and one that was cut within its row.
const RESULT: &str = "1\t2\t3\n";
const TRUNCATED_RESULT: &str = "1\t2";

/// What is wrong with an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineFault {
    /// The speed of its cores; `None` for the usual one.
    pub speed: Option<f64>,
    /// It reads commands and runs them, but sends nothing.
    pub is_silent: bool,
    /// Each result of that ordinal is cut within its row; `None` for no such fault.
    pub truncates_every: Option<u32>,
    /// It closes all connections and accepts no new ones.
    pub is_stopped: bool,
}

/// The last time that an engine ran a request.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub started_at: Instant,
    pub ended_at: Option<Instant>,
}

impl Run {
    /// How long it took, once it has ended.
    pub fn duration(&self) -> Option<Duration> {
        Some(self.ended_at?.saturating_duration_since(self.started_at))
    }
}

/// The last run of each request, by its id, on whichever engine.
#[derive(Clone, Default)]
pub struct RunLog(Arc<Mutex<BTreeMap<String, Run>>>);

impl RunLog {
    fn runs(&self) -> MutexGuard<'_, BTreeMap<String, Run>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_start(&self, id: &str) {
        self.runs().insert(id.to_owned(), Run { started_at: Instant::now(), ended_at: None });
    }

    fn record_end(&self, id: &str) {
        let now = Instant::now();
        let run = Run { started_at: now, ended_at: None };
        self.runs().entry(id.to_owned()).and_modify(|run| run.ended_at = Some(now)).or_insert(run);
    }

    /// The last run of a request.
    pub fn last_run(&self, id: &str) -> Option<Run> {
        self.runs().get(id).copied()
    }
}

/// A running engine; it stops when it is dropped.
pub struct Engine {
    /// Where routers connect.
    pub address: SocketAddr,
    fault: Arc<Mutex<EngineFault>>,
    thread: Option<JoinHandle<()>>,
}

impl Engine {
    /// Starts an engine on a loopback port; its runs are recorded in `runs`.
    pub fn start(cores: f64, memory_mb: f64, runs: RunLog) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let fault = Arc::new(Mutex::new(EngineFault::default()));
        let server = EngineServer {
            listener,
            fault: Arc::clone(&fault),
            load: LoadModel::new(cores, memory_mb),
            runs,
            connections: Vec::new(),
            connection_by_request: BTreeMap::new(),
            started_at: Instant::now(),
            result_count: 0,
        };
        let thread = std::thread::spawn(move || server.run());
        Ok(Self { address, fault, thread: Some(thread) })
    }

    /// Sets what is wrong with it from now on.
    pub fn set_fault(&self, fault: EngineFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Stops it for good and waits until its sockets are closed.
    pub fn stop(&mut self) {
        self.set_fault(EngineFault { is_stopped: true, ..EngineFault::default() });
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.stop();
    }
}

/// A router's connection to the engine.
struct Connection {
    socket: TcpStream,
    input: Vec<u8>,
    output: Vec<u8>,
}

/// Whether a connection can be read on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionState {
    Open,
    Closed,
}

impl Connection {
    fn new(socket: TcpStream) -> std::io::Result<Self> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        Ok(Self { socket, input: Vec::new(), output: Vec::new() })
    }

    fn read(&mut self) -> ConnectionState {
        let mut chunk = [0; READ_CHUNK_BYTES];
        match self.socket.read(&mut chunk) {
            Ok(0) => ConnectionState::Closed,
            Ok(count) => {
                self.input.extend(&chunk[..count]);
                ConnectionState::Open
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => ConnectionState::Open,
            Err(_) => ConnectionState::Closed,
        }
    }

    /// Takes the complete commands out of the input.
    fn take_commands(&mut self) -> Vec<Vec<String>> {
        let mut commands = Vec::new();
        while let Ok(Some((words, length))) = resp::parse_array(&self.input) {
            commands.push(words.iter().map(|word| String::from_utf8_lossy(word).into_owned()).collect());
            self.input.drain(..length);
        }
        commands
    }

    /// Writes as much of the output as the socket takes.
    fn write(&mut self) {
        while !self.output.is_empty() {
            match self.socket.write(&self.output) {
                Ok(count) => drop(self.output.drain(..count)),
                Err(_) => break,
            }
        }
    }

    fn is_over_limit(&self) -> bool {
        self.input.len().max(self.output.len()) > MOST_BUFFERED_BYTES
    }
}

/// A field of a statement or of the terms of a call: `name=figure`.
fn field(text: &str, name: &str) -> Option<f64> {
    text.split([',', ' ']).find_map(|field| field.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// The engine's thread.
struct EngineServer {
    listener: TcpListener,
    fault: Arc<Mutex<EngineFault>>,
    load: LoadModel,
    runs: RunLog,
    connections: Vec<Option<Connection>>,
    /// The index of the connection that each running request came on, by its id.
    connection_by_request: BTreeMap<String, usize>,
    started_at: Instant,
    result_count: u32,
}

impl EngineServer {
    /// Serves until the engine is stopped.
    fn run(mut self) {
        loop {
            let fault = *self.fault.lock().unwrap_or_else(PoisonError::into_inner);
            if fault.is_stopped {
                return;
            }
            self.load.speed = fault.speed.unwrap_or(1.0);
            self.accept_connections();
            let now = self.started_at.elapsed();
            for finished in self.load.advance_to(now) {
                self.finish(&finished, fault);
            }
            for index in 0..self.connections.len() {
                self.serve_connection(index, now, fault.is_silent);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn accept_connections(&mut self) {
        while let Ok((socket, _)) = self.listener.accept() {
            let Ok(connection) = Connection::new(socket) else { continue };
            match self.connections.iter_mut().find(|entry| entry.is_none()) {
                Some(entry) => *entry = Some(connection),
                None => self.connections.push(Some(connection)),
            }
        }
    }

    /// Sends the result of a request that has run to its end.
    fn finish(&mut self, finished: &FinishedRequest, fault: EngineFault) {
        self.runs.record_end(&finished.id);
        let Some(connection) = self.connection_by_request.remove(&finished.id) else { return };
        if fault.is_silent {
            return;
        }
        self.result_count += 1;
        let is_truncated = fault.truncates_every.is_some_and(|count| self.result_count.is_multiple_of(count));
        let body = if is_truncated { TRUNCATED_RESULT } else { RESULT };
        let ResourceNeed { work_s, memory_mb, .. } = finished.need;
        let fields = format!("pages=1,cost={:.1},need={memory_mb:.1}", work_s * 1e3);
        self.send(connection, &[finished.id.as_bytes(), b"HIT", fields.as_bytes(), body.as_bytes()]);
    }

    fn send(&mut self, connection: usize, words: &[&[u8]]) {
        if let Some(Some(connection)) = self.connections.get_mut(connection) {
            connection.output.extend(resp::encode_array(words));
        }
    }

    fn serve_connection(&mut self, index: usize, now: Duration, is_silent: bool) {
        let Some(connection) = &mut self.connections[index] else { return };
        let state = connection.read();
        for command in connection.take_commands() {
            self.handle(index, now, &command, is_silent);
        }
        let Some(connection) = &mut self.connections[index] else { return };
        connection.write();
        if state == ConnectionState::Closed || connection.is_over_limit() {
            self.close(index);
        }
    }

    /// Closes a connection and cancels what came on it.
    fn close(&mut self, index: usize) {
        self.connections[index] = None;
        for (id, _) in self.connection_by_request.extract_if(.., |_, connection| *connection == index) {
            self.load.cancel(&id);
        }
    }

    fn handle(&mut self, connection: usize, now: Duration, command: &[String], is_silent: bool) {
        let word = |index: usize| command.get(index).map_or("", String::as_str);
        match word(0) {
            "GET" => self.call(connection, now, word(1), word(2), word(3), is_silent),
            "DROP" => {
                self.load.cancel(word(1));
                self.connection_by_request.remove(word(1));
            }
            "PING" if !is_silent => self.send(connection, &[b"0", b"PONG", b"-", b""]),
            _ => {}
        }
    }

    fn call(
        &mut self,
        connection: usize,
        now: Duration,
        id: &str,
        terms: &str,
        statement: &str,
        is_silent: bool,
    ) {
        let work_ms = field(statement, "work_ms").unwrap_or(DEFAULT_WORK_MS);
        let memory_mb = field(statement, "need_mb").unwrap_or(DEFAULT_MEMORY_MB);
        let granted_mb = field(terms, "mem").filter(|mb| *mb > 0.0).unwrap_or(memory_mb);
        let need = ResourceNeed { work_s: work_ms / 1e3, memory_mb, granted_mb };
        if self.load.start(now, id, need) {
            self.connection_by_request.insert(id.to_owned(), connection);
            self.runs.record_start(id);
        } else if !is_silent {
            self.send(connection, &[id.as_bytes(), b"SHED", b"-", b""]);
        }
    }
}
