//! An emulated engine: a thread that accepts connections from routers and runs their calls according to the load model.
//! Its faults can be set while it runs.

use crate::load_model::{FinishedRequest, LoadModel, ResourceNeed};
use crate::run_log::RunLog;
use crate::statements::StatementNeed;
use emberflow_peer_protocol::engine::{Call, EngineCommand, EngineReply, UsedResources};
use emberflow_peer_protocol::resp::take_array;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Maximum number of unhandled input bytes, and of unwritten bytes, of a connection; above it the connection is closed.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Pause between two rounds in which the engine polls all its sockets.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Relative speed of an engine's cores without a fault.
const NORMAL_SPEED: f64 = 1.0;
const MS_PER_SECOND: f64 = 1e3;
/// The tag of every pong, which is the tag of the router's health checks; the tag of the ping is ignored.
const PONG_TAG: &str = "0";
/// The rows of a complete result.
const RESULT: &str = "1\t2\t3\n";
/// The rows of a truncated result, which ends within its row.
const TRUNCATED_RESULT: &str = "1\t2";

/// The faults that an engine has at the same time; the default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineFault {
    /// Relative speed of the engine's cores; `None` for the normal speed of 1.
    pub speed: Option<f64>,
    /// Whether the engine runs calls but sends no replies.
    pub is_silent: bool,
    /// Every Nth result ends within its row; `None` for no such fault.
    pub truncates_every: Option<u32>,
    /// Whether the engine closes all connections and its listener, and ends.
    pub is_stopped: bool,
}

/// A running engine; it stops when it is dropped.
pub struct Engine {
    /// The address to which routers connect.
    pub address: SocketAddrV4,
    fault: Arc<Mutex<EngineFault>>,
    thread: Option<JoinHandle<()>>,
}

impl Engine {
    /// Starts an engine on a free loopback port; the runs of its calls are recorded in `runs`.
    pub fn start(cores: f64, memory_mb: f64, runs: RunLog) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(ErrorKind::AddrNotAvailable.into());
        };
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

    /// Replaces the faults of the engine from its next polling round on.
    pub fn set_fault(&self, fault: EngineFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Stops the engine permanently and waits until its sockets are closed.
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

/// Whether a connection is open.
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

    /// Removes the complete commands from the input and returns them.
    fn take_commands(&mut self) -> Vec<EngineCommand> {
        let mut commands = Vec::new();
        while let Ok(Some(parts)) = take_array(&mut self.input) {
            commands.push(EngineCommand::decode(&parts));
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
        self.input.len().max(self.output.len()) > MAX_BUFFERED_BYTES
    }
}

/// The state of the engine's thread.
struct EngineServer {
    listener: TcpListener,
    fault: Arc<Mutex<EngineFault>>,
    load: LoadModel,
    runs: RunLog,
    connections: Vec<Option<Connection>>,
    /// The index of the connection on which the call of each running request came, by request id.
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
            self.load.speed = fault.speed.unwrap_or(NORMAL_SPEED);
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
        let rows = if is_truncated { TRUNCATED_RESULT } else { RESULT };
        let ResourceNeed { work_s, memory_mb, .. } = finished.need;
        let used = Some(UsedResources { work_ms: work_s * MS_PER_SECOND, memory_mb });
        let reply = EngineReply::Result { pages: 1, used, rows: rows.as_bytes() };
        self.send(connection, &finished.id, reply);
    }

    fn send(&mut self, connection: usize, id: &str, reply: EngineReply<'_>) {
        if let Some(Some(connection)) = self.connections.get_mut(connection) {
            connection.output.extend(reply.encode(id));
        }
    }

    fn serve_connection(&mut self, index: usize, now: Duration, is_silent: bool) {
        let Some(connection) = &mut self.connections[index] else { return };
        let state = connection.read();
        for command in connection.take_commands() {
            self.handle(index, now, &command, is_silent);
        }
        let Some(still_open) = &mut self.connections[index] else { return };
        still_open.write();
        if state == ConnectionState::Closed || still_open.is_over_limit() {
            self.close(index);
        }
    }

    /// Closes a connection and cancels its running requests.
    fn close(&mut self, index: usize) {
        self.connections[index] = None;
        for (id, _) in self.connection_by_request.extract_if(.., |_, connection| *connection == index) {
            self.load.cancel(&id);
        }
    }

    fn handle(&mut self, connection: usize, now: Duration, command: &EngineCommand, is_silent: bool) {
        match command {
            EngineCommand::Call(call) => self.start_call(connection, now, call, is_silent),
            EngineCommand::Cancel { request_id } => {
                self.load.cancel(request_id);
                self.connection_by_request.remove(request_id);
            }
            EngineCommand::Ping { .. } if !is_silent => self.send(connection, PONG_TAG, EngineReply::Pong),
            // Results have one page, and the load model has no priorities.
            EngineCommand::Ping { .. }
            | EngineCommand::SetPriority { .. }
            | EngineCommand::ReadPage { .. }
            | EngineCommand::ClosePages { .. }
            | EngineCommand::Unknown(_) => {}
        }
    }

    /// Runs a call, or replies that the engine is overloaded if the granted memory is not free.
    fn start_call(&mut self, connection: usize, now: Duration, call: &Call, is_silent: bool) {
        let StatementNeed { work_ms, memory_mb } = StatementNeed::of_statement(&call.statement);
        let granted_mb = call.fields.granted_memory_mb.unwrap_or(memory_mb);
        let need = ResourceNeed { work_s: work_ms / MS_PER_SECOND, memory_mb, granted_mb };
        if self.load.start(now, &call.request_id, need) {
            self.connection_by_request.insert(call.request_id.clone(), connection);
            self.runs.record_start(&call.request_id);
        } else if !is_silent {
            self.send(connection, &call.request_id, EngineReply::Overloaded);
        }
    }
}
