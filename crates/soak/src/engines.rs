//! Emulated engines, up to thousands in one process. Each engine has a separate address in 127.0.0.0/8 and runs calls
//! according to a small load model. It has at most one fault at a time.

mod calls;
mod results;

use crate::connections::ConnectionTable;
use crate::records::Records;
use crate::sockets::{Stream, StreamState};
use calls::RunningCall;
pub use calls::{CallKey, EngineTimer};
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};
use results::PagedResult;
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::time::Duration;

/// Number of connections that fill the accept queue of a listener with a backlog of 0.
const BACKLOG_FILLERS: usize = 2;
/// First byte of all loopback addresses.
const LOOPBACK_NETWORK: u8 = 127;
/// The port of all engines, which have different addresses.
const PORT: u16 = 9090;
/// Number of engines whose addresses share the first three bytes.
const ENGINES_PER_SUBNET: usize = 250;
/// Length of each write of an engine with [`EngineFault::SmallWrites`], in bytes.
const SMALL_WRITE_BYTES: usize = 7;

/// The fault of an engine, which lasts until another value is set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineFault {
    None,
    /// The engine handles no commands and sends nothing; results of calls that end meanwhile are lost.
    Silent,
    /// The engine runs calls and sends nothing.
    Mute,
    /// Each call takes `slowdown` times as long.
    Slow {
        slowdown: f64,
    },
    /// The engine answers each call with a failure.
    Failing,
    /// The engine runs each call for most of the window of an idempotency key, and then answers with a failure.
    FailingLate,
    /// Only the first half of each result is sent.
    Truncating,
    /// Results have several pages, and half of them are spoilt.
    Spoiling,
    /// Output is written a few bytes at a time.
    SmallWrites,
}

/// An engine and the calls that it runs.
pub struct Engine {
    pub address: SocketAddrV4,
    listener: Option<TcpListener>,
    /// Connections that fill the accept queue while the engine accepts no connections.
    backlog_fillers: Vec<TcpStream>,
    fault: EngineFault,
    /// Number of times that the engine's process has ended.
    incarnation: u32,
    /// The running calls by request id.
    running: BTreeMap<String, RunningCall>,
    /// Results of several pages that routers may still read, by request id.
    paged_results: BTreeMap<String, PagedResult>,
    /// Number of results that were made while the engine spoilt results.
    results_made: usize,
    /// Indices of the engine's connections.
    connections: Vec<usize>,
}

impl Engine {
    fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            listener: None,
            backlog_fillers: Vec::new(),
            fault: EngineFault::None,
            incarnation: 0,
            running: BTreeMap::new(),
            paged_results: BTreeMap::new(),
            results_made: 0,
            connections: Vec::new(),
        }
    }
}

/// A router's connection to an engine.
struct EngineConnection {
    engine: usize,
    /// The incarnation of the engine that accepted the connection.
    incarnation: u32,
    /// Whether the engine has forgotten the connection: it reads what arrives, and answers nothing.
    is_forgotten: bool,
    stream: Stream,
}

/// All engines of a soak.
pub struct Engines {
    pub engines: Vec<Engine>,
    /// The second byte of the engines' addresses 127.`host_block`.x.y.
    pub host_block: u8,
    connections: ConnectionTable<EngineConnection>,
    /// Timers to set, with their due times; the event loop drains the list.
    pub new_timers: Vec<(Duration, EngineTimer)>,
    /// The token of the first listener. Connections have the tokens after those of the listeners.
    first_token: usize,
}

impl Engines {
    /// Starts `count` engines on addresses 127.`host_block`.x.y, with tokens from `first_token` up.
    pub fn start(count: usize, host_block: u8, first_token: usize, registry: &Registry) -> io::Result<Self> {
        let mut engines = Self {
            host_block,
            engines: (0..count).map(|index| Engine::new(engine_address(host_block, index))).collect(),
            connections: ConnectionTable::default(),
            new_timers: Vec::new(),
            first_token,
        };
        for engine in 0..count {
            engines.listen(engine, registry)?;
        }
        Ok(engines)
    }

    fn listener_token(&self, engine: usize) -> Token {
        Token(self.first_token + engine)
    }

    fn connection_token(&self, connection: usize) -> Token {
        Token(self.first_token + self.engines.len() + connection)
    }

    /// Whether a token belongs to an engine's socket.
    pub fn owns(&self, token: Token) -> bool {
        token.0 >= self.first_token
    }

    fn listen(&mut self, engine: usize, registry: &Registry) -> io::Result<()> {
        let mut listener = TcpListener::bind(self.engines[engine].address.into())?;
        registry.register(&mut listener, self.listener_token(engine), Interest::READABLE)?;
        self.engines[engine].listener = Some(listener);
        Ok(())
    }

    /// Stops accepting connections: connections that are dialled from now on are not established until
    /// [`resume_accepting`](Self::resume_accepting).
    pub fn stop_accepting(&mut self, engine: usize) -> io::Result<()> {
        let engine = &mut self.engines[engine];
        if engine.listener.take().is_none() {
            return Ok(());
        }
        let address = SocketAddr::from(engine.address).into();
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&address)?;
        socket.listen(0)?;
        for _ in 0..BACKLOG_FILLERS {
            let filler = Socket::new(Domain::IPV4, Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
            // The result is ignored: the connection is still in progress, or is queued like those of the routers.
            let _ = filler.connect(&address);
            engine.backlog_fillers.push(filler.into());
        }
        socket.set_nonblocking(true)?;
        engine.listener = Some(TcpListener::from_std(socket.into()));
        Ok(())
    }

    /// Accepts connections again, including those that routers have dialled in the meantime.
    pub fn resume_accepting(&mut self, engine: usize, registry: &Registry) -> io::Result<()> {
        let token = self.listener_token(engine);
        let engine = &mut self.engines[engine];
        if engine.backlog_fillers.is_empty() {
            return Ok(());
        }
        engine.backlog_fillers.clear();
        if let Some(listener) = &mut engine.listener {
            registry.register(listener, token, Interest::READABLE)?;
        }
        Ok(())
    }

    /// Serves a listener or connection that has become readable or writable.
    pub fn serve_socket(&mut self, token: Token, now: Duration, registry: &Registry, records: &mut Records) {
        let index = token.0 - self.first_token;
        match index.checked_sub(self.engines.len()) {
            None => self.accept(index, registry, records),
            Some(connection) => self.serve_connection(connection, now, records),
        }
    }

    fn accept(&mut self, engine: usize, registry: &Registry, records: &mut Records) {
        while let Some(Ok((socket, _))) = self.engines[engine].listener.as_ref().map(TcpListener::accept) {
            let index = self.connections.free_index();
            let Ok(stream) = Stream::register(socket, self.connection_token(index), registry) else {
                continue;
            };
            let incarnation = self.engines[engine].incarnation;
            self.connections
                .insert(index, EngineConnection { engine, incarnation, is_forgotten: false, stream });
            self.engines[engine].connections.push(index);
            records.engine_connections += 1;
        }
    }

    fn serve_connection(&mut self, index: usize, now: Duration, records: &mut Records) {
        let Some(connection) = self.connections.get_mut(index) else { return };
        let fault = self.engines[connection.engine].fault;
        // A silent engine's input is read too, so that its commands have the arrival time of this read.
        let state = connection.stream.fill(now);
        if connection.is_forgotten && state == StreamState::Ended {
            return self.close(index, now, records);
        }
        if fault == EngineFault::Silent || connection.is_forgotten {
            return;
        }
        connection.stream.is_muted = fault == EngineFault::Mute;
        connection.stream.write_size = (fault == EngineFault::SmallWrites).then_some(SMALL_WRITE_BYTES);
        self.handle_commands(index, now, records);
        let Some(still_open) = self.connections.get_mut(index) else { return };
        if state == StreamState::Ended || still_open.stream.flush() == StreamState::Ended {
            self.close(index, now, records);
        }
    }

    /// Closes a connection and ends the calls that came on it.
    fn close(&mut self, index: usize, now: Duration, records: &mut Records) {
        let Some(connection) = self.connections.remove(index) else { return };
        let engine = &mut self.engines[connection.engine];
        engine.connections.retain(|other| *other != index);
        if engine.incarnation == connection.incarnation {
            engine.end_calls_of(index, now, records);
        }
    }

    /// Sets the fault of an engine. An engine that is no longer silent handles the commands that have arrived.
    pub fn set_fault(&mut self, engine: usize, fault: EngineFault, now: Duration, records: &mut Records) {
        self.engines[engine].fault = fault;
        for connection in self.engines[engine].connections.clone() {
            self.serve_connection(connection, now, records);
        }
    }

    /// Resets all connections of an engine, including those with open calls.
    pub fn reset_connections(&mut self, engine: usize, now: Duration, records: &mut Records) {
        for index in self.engines[engine].connections.clone() {
            if let Some(connection) = self.connections.get(index) {
                connection.stream.reset_on_close();
            }
            self.close(index, now, records);
        }
    }

    /// Closes the connections of an engine on which no call runs, even if a call is in transit on them.
    pub fn close_idle_connections(&mut self, engine: usize) {
        let engine = &mut self.engines[engine];
        let (busy, idle) = engine.connections.iter().partition(|index| engine.has_call_on(**index));
        engine.connections = busy;
        for index in idle as Vec<usize> {
            self.connections.remove(index);
        }
    }

    /// Forgets the connections of an engine on which no call runs, even if a call is in transit on them.
    pub fn forget_idle_connections(&mut self, engine: usize) {
        let engine = &self.engines[engine];
        let idle: Vec<usize> =
            engine.connections.iter().copied().filter(|index| !engine.has_call_on(*index)).collect();
        for index in idle {
            if let Some(connection) = self.connections.get_mut(index) {
                connection.is_forgotten = true;
            }
        }
    }

    /// Ends an engine's process: its connections are reset, new ones are refused, and its fault ends.
    pub fn stop(&mut self, engine: usize, now: Duration, records: &mut Records) {
        self.reset_connections(engine, now, records);
        let stopped = &mut self.engines[engine];
        *stopped = Engine { incarnation: stopped.incarnation + 1, ..Engine::new(stopped.address) };
    }

    /// Starts an engine's process again, unless it is running.
    pub fn restart(&mut self, engine: usize, registry: &Registry) -> io::Result<()> {
        if self.engines[engine].listener.is_none() {
            self.listen(engine, registry)?;
        }
        Ok(())
    }
}

fn engine_address(host_block: u8, engine: usize) -> SocketAddrV4 {
    let subnet = (1 + engine / ENGINES_PER_SUBNET) as u8;
    let host = (1 + engine % ENGINES_PER_SUBNET) as u8;
    SocketAddrV4::new(Ipv4Addr::new(LOOPBACK_NETWORK, host_block, subnet, host), PORT)
}
