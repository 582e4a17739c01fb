//! An engine of the router's list, with all connections that the router makes to it.

use super::client::CLOSED;
use super::{POLL_INTERVAL, RouterHarness, TEST_TIMEOUT, local_address};
use emberflow_router::resp;
use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A page of results with three columns.
pub const ROWS: &str = "a\tb\tc\n";

/// How long an engine is watched for calls that should not come.
const QUIET_TIME: Duration = Duration::from_millis(300);

/// One connection of the router to an engine.
struct EngineConnection {
    /// None once either side has closed it.
    socket: Option<TcpStream>,
    input: Vec<u8>,
}

/// A test engine; the test answers each command itself.
pub struct TestEngine {
    listener: TcpListener,
    connections: Vec<EngineConnection>,
    /// The index of the connection that each request came on last, by its id.
    /// The budgets in milliseconds of the last calls, by request.
    budget_by_request: BTreeMap<String, u64>,
    connection_by_request: BTreeMap<String, usize>,
    /// Commands that the test has not looked at.
    commands: VecDeque<String>,
}

/// The request that a `GET` names; none for other commands.
fn request_of_call(command: &str) -> Option<u64> {
    let id = command.strip_prefix("GET ")?.get(..16)?;
    u64::from_str_radix(id, 16).ok()
}

/// A word of a command without the field whose value changes from run to run.
/// The budget in milliseconds among the fields of a call.
fn budget(word: &str) -> Option<u64> {
    word.split(',').find_map(|field| field.strip_prefix("budget="))?.parse().ok()
}

fn without_budget(word: &str) -> String {
    let fields = word.split(',').filter(|field| !field.starts_with("budget="));
    fields.collect::<Vec<_>>().join(",")
}

impl TestEngine {
    /// An engine whose connections come to a listener.
    pub fn new(listener: &TcpListener) -> Self {
        listener.set_nonblocking(true).expect("a listener can be non-blocking");
        Self {
            listener: listener.try_clone().expect("a listener can be cloned"),
            connections: Vec::new(),
            budget_by_request: BTreeMap::new(),
            connection_by_request: BTreeMap::new(),
            commands: VecDeque::new(),
        }
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        local_address(&self.listener)
    }

    /// The next command, without the field of its budget, or that a connection was closed.
    pub fn next_command(&mut self) -> String {
        assert!(self.has_command_within(TEST_TIMEOUT), "no command within {TEST_TIMEOUT:?}");
        self.commands.pop_front().expect("there is a command")
    }

    /// Waits for a command for so long.
    pub fn has_command_within(&mut self, time: Duration) -> bool {
        let end = Instant::now() + time;
        while self.commands.is_empty() && Instant::now() < end {
            self.accept_connections();
            for index in 0..self.connections.len() {
                self.read_connection(index);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        !self.commands.is_empty()
    }

    fn accept_connections(&mut self) {
        while let Ok((socket, _)) = self.listener.accept() {
            socket.set_nodelay(true).expect("a socket takes TCP_NODELAY");
            self.connections.push(EngineConnection { socket: Some(socket), input: Vec::new() });
        }
    }

    fn read_connection(&mut self, index: usize) {
        let EngineConnection { socket, input } = &mut self.connections[index];
        let Some(open) = socket else { return };
        open.set_nonblocking(true).expect("a socket can be non-blocking");
        let mut chunk = [0; 4096];
        match open.read(&mut chunk) {
            Ok(0) => *socket = None,
            Ok(count) => input.extend(&chunk[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => *socket = None,
        }
        let was_closed = socket.is_none();
        while let Some(resp::Array { parts, length }) =
            resp::parse_array(input).expect("the router sends well-formed commands")
        {
            let words: Vec<_> = parts.iter().map(|part| String::from_utf8_lossy(part).into_owned()).collect();
            input.drain(..length);
            self.connection_by_request.insert(words[1].clone(), index);
            let mut budgets = words.iter().filter_map(|word| budget(word));
            if let Some(budget) = budgets.next() {
                self.budget_by_request.insert(words[1].clone(), budget);
            }
            self.commands
                .push_back(words.iter().map(|word| without_budget(word)).collect::<Vec<_>>().join(" "));
        }
        if was_closed {
            self.commands.push_back(CLOSED.into());
        }
    }

    /// The next call; other commands before it are dropped.
    pub fn next_call(&mut self) -> String {
        loop {
            let command = self.next_command();
            if command.starts_with("GET") {
                return command;
            }
        }
    }

    /// The request of the next call.
    pub fn next_request(&mut self) -> u64 {
        request_of_call(&self.next_call()).expect("a call names its request")
    }

    /// Records the next call in the transcript; returns its request.
    pub fn record_next_call(&mut self, router: &mut RouterHarness) -> u64 {
        let call = self.next_call();
        let request = request_of_call(&call).expect("a call names its request");
        router.record(call);
        request
    }

    /// Waits for `awaited` calls, and then until none comes for a while; answers each with [`ROWS`] and returns
    /// their requests.
    pub fn answer_calls(&mut self, awaited: usize) -> Vec<u64> {
        let mut requests = Vec::new();
        loop {
            let timeout = if requests.len() < awaited { TEST_TIMEOUT } else { QUIET_TIME };
            if !self.has_command_within(timeout) {
                return requests;
            }
            let command = self.commands.pop_front().expect("there is a command");
            if let Some(request) = request_of_call(&command) {
                requests.push(request);
                self.send_result(request, ROWS);
            }
        }
    }

    /// The index of the connection that a request came on last.
    /// The budget of a request's last call.
    pub fn budget_of(&self, request: u64) -> Duration {
        Duration::from_millis(self.budget_by_request[&format!("{request:016x}")])
    }

    pub fn connection_of(&self, request: u64) -> usize {
        self.connection_by_request.get(&format!("{request:016x}")).copied().unwrap_or_default()
    }

    /// Sends the result of a request, in one page.
    pub fn send_result(&mut self, request: u64, rows: &str) {
        self.send(request, "HIT", "pages=1", rows);
    }

    /// Says that the engine stalls on a request.
    pub fn send_stalled(&mut self, request: u64) {
        self.send(request, "INFO", "detail=stall,v=1", "");
    }

    /// Refuses a request for want of capacity.
    pub fn send_overloaded(&mut self, request: u64) {
        self.send(request, "SHED", "-", "");
    }

    /// Sends a message on the connection that its request came on.
    pub fn send(&mut self, request: u64, word: &str, fields: &str, body: &str) {
        self.send_on(self.connection_of(request), request, word, fields, body);
    }

    /// Sends a message on a connection.
    pub fn send_on(&mut self, connection: usize, request: u64, word: &str, fields: &str, body: &str) {
        let id = format!("{request:016x}");
        let words = [id.as_bytes(), word.as_bytes(), fields.as_bytes(), body.as_bytes()];
        self.send_bytes(connection, &resp::encode_array(&words));
    }

    /// Sends bytes that may be a part of a message, or none.
    pub fn send_bytes(&mut self, connection: usize, bytes: &[u8]) {
        let mut socket = self.connections[connection].socket.as_ref().expect("the connection is open");
        socket.set_nonblocking(false).expect("a socket can be blocking");
        socket.write_all(bytes).expect("the router reads from its engine");
    }

    /// Closes the connection that a request came on.
    pub fn close_connection_of(&mut self, request: u64) {
        let index = self.connection_of(request);
        self.connections[index].socket = None;
    }
}
