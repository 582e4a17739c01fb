//! Emulated engines, thousands in one process: each listens at an address of its own, runs what it is sent by a small
//! load model, and fails when told to.

use crate::config::PROGRESS_INTERVAL;
use crate::records::{Attempt, Records};
use crate::sockets::{Stream, StreamState};
use emberflow_router::resp;
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Connections that fill the queue of a listener that queues none.
const QUEUE_FILLERS: usize = 2;
/// The port of all engines; their addresses differ.
const PORT: u16 = 9090;
/// Requests for each core from which an engine refuses more.
const MOST_RUNNING_PER_CORE: f64 = 16.0;
const FEWEST_REFUSED: usize = 16;

/// What is wrong with an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineFault {
    None,
    /// It reads nothing and sends nothing.
    Silent,
    /// It runs what it reads, and sends nothing.
    Mute,
    /// It runs so many times as long.
    Slow(f64),
    /// It answers that each attempt has failed.
    Failing,
    /// Each answer breaks off in its middle.
    Truncating,
    /// Answers leave in small pieces.
    InPieces,
}

/// A request that an engine runs.
struct Run {
    connection: usize,
    attempt: usize,
    /// What it is billed.
    work: Duration,
    ends_at: Duration,
}

/// An engine and what it runs.
pub struct Engine {
    pub address: SocketAddr,
    listener: Option<TcpListener>,
    /// While it accepts nothing: connections that fill its queue, so that others wait for the kernel's next try.
    fillers: Vec<std::net::TcpStream>,
    pub fault: EngineFault,
    /// Rises with each start of its process.
    incarnation: u32,
    running: BTreeMap<String, Run>,
    connections: Vec<usize>,
}

/// A router's connection to an engine.
struct EngineConnection {
    engine: usize,
    incarnation: u32,
    stream: Stream,
}

/// A call as an engine reads it.
struct Call<'a> {
    id: &'a str,
    terms: &'a str,
    statement: &'a str,
    /// When its last byte had arrived.
    arrived_at: Duration,
}

/// What falls due at an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineTimer {
    RunEnds { engine: usize, incarnation: u32, id: String },
    Progress { engine: usize, incarnation: u32, id: String },
}

/// All engines of a soak.
pub struct Engines {
    pub engines: Vec<Engine>,
    /// Their addresses are 127.N.x.y with this N.
    pub host_block: u8,
    connections: Vec<Option<EngineConnection>>,
    cores: f64,
    /// What is to be set off, and when.
    pub timers: Vec<(Duration, EngineTimer)>,
    /// Tokens of listeners begin here, those of connections behind them.
    first_token: usize,
}

impl Engines {
    /// Starts engines on loopback addresses that follow from `host_block`, with tokens from `first_token` up.
    pub fn start(
        count: usize,
        cores: f64,
        host_block: u8,
        first_token: usize,
        registry: &Registry,
    ) -> io::Result<Self> {
        let mut engines = Self {
            host_block,
            engines: Vec::new(),
            connections: Vec::new(),
            cores,
            timers: Vec::new(),
            first_token,
        };
        for index in 0..count {
            let host = Ipv4Addr::new(127, host_block, (1 + index / 250) as u8, (1 + index % 250) as u8);
            engines.engines.push(Engine {
                address: SocketAddr::from((host, PORT)),
                listener: None,
                fillers: Vec::new(),
                fault: EngineFault::None,
                incarnation: 0,
                running: BTreeMap::new(),
                connections: Vec::new(),
            });
            engines.listen(index, registry)?;
        }
        Ok(engines)
    }

    fn listen(&mut self, engine: usize, registry: &Registry) -> io::Result<()> {
        let mut listener = TcpListener::bind(self.engines[engine].address)?;
        registry.register(&mut listener, Token(self.first_token + engine), Interest::READABLE)?;
        self.engines[engine].listener = Some(listener);
        Ok(())
    }

    /// Stops accepting: connections that are dialled from now on come up only after `resume_accepting`.
    pub fn stop_accepting(&mut self, engine: usize) -> io::Result<()> {
        let known = &mut self.engines[engine];
        if known.listener.take().is_none() {
            return Ok(());
        }
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&known.address.into())?;
        socket.listen(0)?;
        for _ in 0..QUEUE_FILLERS {
            let filler = Socket::new(Domain::IPV4, Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
            // It is on its way, or waits like the router's.
            let _ = filler.connect(&known.address.into());
            known.fillers.push(filler.into());
        }
        socket.set_nonblocking(true)?;
        known.listener = Some(TcpListener::from_std(socket.into()));
        Ok(())
    }

    /// Accepts connections again, those that waited included.
    pub fn resume_accepting(&mut self, engine: usize, registry: &Registry) -> io::Result<()> {
        let token = Token(self.first_token + engine);
        let known = &mut self.engines[engine];
        if known.fillers.is_empty() {
            return Ok(());
        }
        known.fillers.clear();
        if let Some(listener) = &mut known.listener {
            registry.register(listener, token, Interest::READABLE)?;
        }
        Ok(())
    }

    /// Tokens from the first up to this belong to engines.
    pub fn owns(&self, token: Token) -> bool {
        token.0 >= self.first_token
    }

    fn connection_token(&self, connection: usize) -> Token {
        Token(self.first_token + self.engines.len() + connection)
    }

    /// Handles a socket that has become ready.
    pub fn ready(&mut self, token: Token, now: Duration, registry: &Registry, records: &mut Records) {
        let index = token.0 - self.first_token;
        match index.checked_sub(self.engines.len()) {
            None => self.accept(index, registry, records),
            Some(connection) => self.connection_ready(connection, now, records),
        }
    }

    fn accept(&mut self, engine: usize, registry: &Registry, records: &mut Records) {
        while let Some(Ok((socket, _))) = self.engines[engine].listener.as_ref().map(TcpListener::accept) {
            let free = self.connections.iter().position(Option::is_none);
            let index = free.unwrap_or(self.connections.len());
            let Ok(stream) = Stream::register(socket, self.connection_token(index), registry) else {
                continue;
            };
            let incarnation = self.engines[engine].incarnation;
            let connection = Some(EngineConnection { engine, incarnation, stream });
            if index == self.connections.len() {
                self.connections.push(connection);
            } else {
                self.connections[index] = connection;
            }
            self.engines[engine].connections.push(index);
            records.engine_connections += 1;
        }
    }

    fn connection_ready(&mut self, index: usize, now: Duration, records: &mut Records) {
        let Some(Some(connection)) = self.connections.get_mut(index) else { return };
        let engine = connection.engine;
        let fault = self.engines[engine].fault;
        // What arrives at a silent engine has arrived, though it is handled later.
        let state = connection.stream.fill(now);
        if fault == EngineFault::Silent {
            return;
        }
        connection.stream.is_muted = fault == EngineFault::Mute;
        connection.stream.piece_bytes = if fault == EngineFault::InPieces { 7 } else { 0 };
        while let Some((command, arrived_at)) = self.take_command(index) {
            self.handle(index, now, &command, arrived_at, records);
        }
        let Some(Some(connection)) = self.connections.get_mut(index) else { return };
        if state == StreamState::Ended || connection.stream.flush() == StreamState::Ended {
            self.close(index, now, records);
        }
    }

    /// Takes the next complete command out of a connection's input, with the time at which it had arrived.
    fn take_command(&mut self, index: usize) -> Option<(Vec<String>, Duration)> {
        let stream = &mut self.connections.get_mut(index)?.as_mut()?.stream;
        let Ok(Some(resp::Array { parts, length })) = resp::parse_array(&stream.input) else { return None };
        let words = parts.iter().map(|part| String::from_utf8_lossy(part).into_owned()).collect();
        Some((words, stream.consume(length)))
    }

    fn handle(
        &mut self,
        connection: usize,
        now: Duration,
        command: &[String],
        arrived_at: Duration,
        records: &mut Records,
    ) {
        let word = |index: usize| command.get(index).map_or("", String::as_str);
        match word(0) {
            "GET" => {
                let call = Call { id: word(1), terms: word(2), statement: word(3), arrived_at };
                self.call(connection, now, &call, records);
            }
            "DROP" => self.stop_run(connection, word(1), now, records),
            "PING" => self.send(connection, &[word(1).as_bytes(), b"PONG", b"-", b""]),
            _ => {}
        }
    }

    fn call(&mut self, connection: usize, now: Duration, call: &Call<'_>, records: &mut Records) {
        let Call { id, terms, statement, arrived_at } = *call;
        let Some(Some(EngineConnection { engine, .. })) = self.connections.get(connection) else { return };
        let engine_index = *engine;
        let field = |text: &str, name: &str| -> Option<f64> {
            text.split([',', ' ']).find_map(|field| field.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let most = ((self.cores * MOST_RUNNING_PER_CORE) as usize).max(FEWEST_REFUSED);
        let engine = &mut self.engines[engine_index];
        let is_failing = engine.fault == EngineFault::Failing;
        let has_capacity = engine.running.len() < most;
        let started = has_capacity && !is_failing;
        let time_left = Duration::from_millis(field(terms, "budget").unwrap_or(0.0) as u64);
        let attempt = Attempt { at: arrived_at, engine: engine_index, time_left, started, ended_at: None };
        let Some(request) = records.requests.get_mut(id) else { return };
        request.attempts.push(attempt);
        if !started {
            let word: &[u8] = if is_failing { b"FAULT" } else { b"SHED" };
            request.attempts.last_mut().expect("one was added").ended_at = Some(now);
            return self.send(connection, &[id.as_bytes(), word, b"-", b""]);
        }
        let slow = if let EngineFault::Slow(times) = engine.fault { times } else { 1.0 };
        let crowding = (engine.running.len() as f64 + 1.0) / self.cores;
        let work = Duration::from_secs_f64(field(statement, "work_ms").unwrap_or(10.0) / 1e3);
        let ends_at = now + work.mul_f64(slow * crowding.max(1.0));
        engine
            .running
            .insert(id.to_owned(), Run { connection, attempt: request.attempts.len() - 1, work, ends_at });
        let incarnation = engine.incarnation;
        let timer = |id: &str| (engine_index, incarnation, id.to_owned());
        let (engine, incarnation, id) = timer(id);
        self.timers.push((ends_at, EngineTimer::RunEnds { engine, incarnation, id: id.clone() }));
        if ends_at > now + PROGRESS_INTERVAL {
            self.timers.push((now + PROGRESS_INTERVAL, EngineTimer::Progress { engine, incarnation, id }));
        }
    }

    fn stop_run(&mut self, connection: usize, id: &str, now: Duration, records: &mut Records) {
        let Some(Some(EngineConnection { engine, .. })) = self.connections.get(connection) else { return };
        if let Some(run) = self.engines[*engine].running.remove(id) {
            record_end(id, run.attempt, now, records);
        }
    }

    fn send(&mut self, connection: usize, words: &[&[u8]]) {
        if let Some(Some(connection)) = self.connections.get_mut(connection) {
            connection.stream.send(&resp::encode_array(words));
        }
    }

    /// Handles what falls due.
    pub fn timer_expired(&mut self, timer: EngineTimer, now: Duration, records: &mut Records) {
        match timer {
            EngineTimer::RunEnds { engine, incarnation, id } => {
                self.run_ends(engine, incarnation, &id, now, records)
            }
            EngineTimer::Progress { engine, incarnation, id } => self.progress(engine, incarnation, id, now),
        }
    }

    fn run_ends(&mut self, engine: usize, incarnation: u32, id: &str, now: Duration, records: &mut Records) {
        let known = &mut self.engines[engine];
        if known.incarnation != incarnation || known.running.get(id).is_none_or(|run| run.ends_at > now) {
            return;
        }
        let Some(run) = known.running.remove(id) else { return };
        record_end(id, run.attempt, now, records);
        let fields = format!("pages=1,cost={:.1},need=10.0", run.work.as_secs_f64() * 1e3);
        let body = format!("{id}\t{engine}\t{}\n", run.attempt);
        let reply = resp::encode_array(&[id.as_bytes(), b"HIT", fields.as_bytes(), body.as_bytes()]);
        let fault = known.fault;
        let Some(Some(connection)) = self.connections.get_mut(run.connection) else { return };
        match fault {
            EngineFault::Silent => {}
            EngineFault::Truncating => drop(connection.stream.send(&reply[..reply.len() / 2])),
            _ => drop(connection.stream.send(&reply)),
        }
    }

    fn progress(&mut self, engine: usize, incarnation: u32, id: String, now: Duration) {
        let known = &self.engines[engine];
        if known.incarnation != incarnation || known.fault == EngineFault::Silent {
            return;
        }
        let Some(run) = known.running.get(&id) else { return };
        let (connection, ends_at) = (run.connection, run.ends_at);
        self.send(connection, &[id.as_bytes(), b"INFO", b"-", b""]);
        if ends_at > now + PROGRESS_INTERVAL {
            self.timers.push((now + PROGRESS_INTERVAL, EngineTimer::Progress { engine, incarnation, id }));
        }
    }

    fn close(&mut self, index: usize, now: Duration, records: &mut Records) {
        let Some(connection) = self.connections.get_mut(index).and_then(Option::take) else { return };
        let engine = &mut self.engines[connection.engine];
        engine.connections.retain(|other| *other != index);
        if engine.incarnation != connection.incarnation {
            return;
        }
        for (id, run) in engine.running.extract_if(.., |_, run| run.connection == index) {
            record_end(&id, run.attempt, now, records);
        }
    }

    /// Sets what is wrong with an engine; one that was silent reads on.
    pub fn set_fault(&mut self, engine: usize, fault: EngineFault, now: Duration, records: &mut Records) {
        self.engines[engine].fault = fault;
        for connection in self.engines[engine].connections.clone() {
            self.connection_ready(connection, now, records);
        }
    }

    /// Resets all connections of an engine, under whatever they carry.
    pub fn reset_connections(&mut self, engine: usize, now: Duration, records: &mut Records) {
        for index in self.engines[engine].connections.clone() {
            if let Some(Some(connection)) = self.connections.get(index) {
                connection.stream.reset_on_close();
            }
            self.close(index, now, records);
        }
    }

    /// Closes the connections of an engine that carry no request, whatever is on its way on them.
    pub fn close_idle_connections(&mut self, engine: usize) {
        let known = &mut self.engines[engine];
        let carries = |index: usize| known.running.values().any(|run| run.connection == index);
        let idle: Vec<usize> = known.connections.iter().copied().filter(|index| !carries(*index)).collect();
        known.connections.retain(|index| !idle.contains(index));
        for index in idle {
            self.connections[index] = None;
        }
    }

    /// Ends an engine's process: connections are reset, new ones refused.
    pub fn stop(&mut self, engine: usize, now: Duration, records: &mut Records) {
        self.reset_connections(engine, now, records);
        let known = &mut self.engines[engine];
        known.listener = None;
        known.fillers.clear();
        known.running.clear();
        known.incarnation += 1;
        known.fault = EngineFault::None;
    }

    /// Starts an engine's process again; it is cold.
    pub fn restart(&mut self, engine: usize, registry: &Registry) -> io::Result<()> {
        if self.engines[engine].listener.is_none() {
            self.listen(engine, registry)?;
        }
        Ok(())
    }
}

fn record_end(id: &str, attempt: usize, now: Duration, records: &mut Records) {
    let request = records.requests.get_mut(id);
    if let Some(attempt) = request.and_then(|request| request.attempts.get_mut(attempt)) {
        attempt.ended_at = Some(now);
    }
}
