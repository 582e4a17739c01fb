//! An engine of the router's endpoint list, with all connections that the router makes to it.

use super::client::CLOSED;
use super::sockets::{POLL_INTERVAL, TEST_TIMEOUT, local_address};
use emberflow_peer_protocol::engine::{Call, EngineCommand, EngineReply, Progress};
use emberflow_peer_protocol::request_id;
use emberflow_peer_protocol::resp::{encode_array, take_array};
use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A page of a result: one row of three columns.
pub const ROWS: &str = "a\tb\tc\n";

/// Time without a command after which a test assumes that the router sends no further call.
const QUIET_TIME: Duration = Duration::from_millis(300);
/// Limit of the bytes read from a connection at a time.
const CHUNK_BYTES: usize = 4096;
/// Prefix of the field that carries the time left for a call. Its value differs between runs.
const TIME_LEFT_FIELD: &str = "budget=";

/// A connection of the router to an engine.
struct EngineConnection {
    /// `None` once either side has closed the connection.
    socket: Option<TcpStream>,
    /// Received bytes that do not form a complete command yet.
    input: Vec<u8>,
}

/// A command as the transcript shows it.
struct ReceivedCommand {
    /// The words of the command without the time left, or [`CLOSED`] if a connection was closed.
    text: String,
    /// The request, if the command is a call.
    call: Option<u64>,
}

/// A test engine. The test sends the reply to each command itself.
pub struct TestEngine {
    listener: TcpListener,
    connections: Vec<EngineConnection>,
    /// The time left that the last call of each request carried, by request.
    time_left_by_request: BTreeMap<u64, Duration>,
    /// The index of the connection on which the last command for each request arrived, by request.
    connection_by_request: BTreeMap<u64, usize>,
    /// Commands that the test has not taken yet.
    commands: VecDeque<ReceivedCommand>,
}

/// Returns the text of a command without the time left.
fn transcript_text(words: &[String]) -> String {
    let words = words.iter().map(|word| {
        let fields = word.split(',').filter(|field| !field.starts_with(TIME_LEFT_FIELD));
        fields.collect::<Vec<_>>().join(",")
    });
    words.collect::<Vec<_>>().join(" ")
}

/// Decodes the number of a request from its id on the wire.
pub fn parse_request(id: &str) -> u64 {
    u64::from_str_radix(id, 16).expect("an id is a hexadecimal number")
}

impl TestEngine {
    /// Creates an engine that accepts the connections of a listener.
    pub fn new(listener: &TcpListener) -> Self {
        listener.set_nonblocking(true).expect("a listener can be non-blocking");
        Self {
            listener: listener.try_clone().expect("a listener can be cloned"),
            connections: Vec::new(),
            time_left_by_request: BTreeMap::new(),
            connection_by_request: BTreeMap::new(),
            commands: VecDeque::new(),
        }
    }

    /// Returns the address on which the engine listens.
    pub fn address(&self) -> SocketAddr {
        local_address(&self.listener)
    }

    /// Returns the next command without the time left, or [`CLOSED`] if a connection was closed.
    pub fn next_command(&mut self) -> String {
        self.take_command().text
    }

    fn take_command(&mut self) -> ReceivedCommand {
        assert!(self.has_command_within(TEST_TIMEOUT), "no command within {TEST_TIMEOUT:?}");
        self.commands.pop_front().expect("there is a command")
    }

    /// Waits up to `time` for a command or the close of a connection. Returns whether either has arrived.
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
        let mut chunk = [0; CHUNK_BYTES];
        match open.read(&mut chunk) {
            Ok(0) => *socket = None,
            Ok(count) => input.extend(&chunk[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => *socket = None,
        }
        let was_closed = socket.is_none();
        while let Some(words) =
            take_array(&mut self.connections[index].input).expect("the router sends well-formed commands")
        {
            self.receive_command(index, &words);
        }
        if was_closed {
            self.commands.push_back(ReceivedCommand { text: CLOSED.into(), call: None });
        }
    }

    /// Records a command that has arrived on a connection.
    fn receive_command(&mut self, connection: usize, words: &[String]) {
        let request = parse_request(&words[1]);
        self.connection_by_request.insert(request, connection);
        let mut received = ReceivedCommand { text: transcript_text(words), call: None };
        if let EngineCommand::Call(Call { fields, .. }) = EngineCommand::decode(words) {
            let time_left = fields.time_left.expect("a call carries the time left");
            self.time_left_by_request.insert(request, time_left);
            received.call = Some(request);
        }
        self.commands.push_back(received);
    }

    /// Returns the text of the next call. Drops other commands before it.
    pub fn next_call(&mut self) -> String {
        let (_, text) = self.take_call();
        text
    }

    /// Returns the request of the next call. Drops other commands before it.
    pub fn next_request(&mut self) -> u64 {
        let (request, _) = self.take_call();
        request
    }

    /// Returns the request and the text of the next call. Drops other commands before it.
    pub fn take_call(&mut self) -> (u64, String) {
        loop {
            let command = self.take_command();
            if let Some(request) = command.call {
                return (request, command.text);
            }
        }
    }

    /// Waits for `expected_count` calls, and then until no command arrives for [`QUIET_TIME`]. Answers each call with
    /// [`ROWS`], and returns the requests, which are fewer if a call does not arrive within [`TEST_TIMEOUT`].
    pub fn answer_calls(&mut self, expected_count: usize) -> Vec<u64> {
        let mut requests = Vec::new();
        loop {
            let timeout = if requests.len() < expected_count { TEST_TIMEOUT } else { QUIET_TIME };
            if !self.has_command_within(timeout) {
                return requests;
            }
            if let Some(request) = self.take_command().call {
                requests.push(request);
                self.send_result(request, ROWS);
            }
        }
    }

    /// Returns the time left that the last call of a request carried.
    pub fn time_left_of(&self, request: u64) -> Duration {
        self.time_left_by_request[&request]
    }

    /// Returns the index of the connection on which the last command for a request arrived, or 0 if none
    /// has arrived.
    pub fn connection_of(&self, request: u64) -> usize {
        self.connection_by_request.get(&request).copied().unwrap_or_default()
    }

    /// Sends the result of a request, in one page.
    pub fn send_result(&mut self, request: u64, rows: &str) {
        self.send_first_page(request, 1, rows);
    }

    /// Sends the first of `pages` pages of a result.
    pub fn send_first_page(&mut self, request: u64, pages: u32, rows: &str) {
        self.send(request, EngineReply::Result { pages, used: None, rows: rows.as_bytes() });
    }

    /// Sends a result of `pages` pages with the same rows, each further page after the router's next command.
    pub fn send_pages(&mut self, request: u64, pages: u32, rows: &str) {
        self.send_first_page(request, pages, rows);
        for page in 1..pages {
            self.next_command();
            self.send_page(request, page, rows);
        }
    }

    /// Sends a further page of a result.
    pub fn send_page(&mut self, request: u64, page: u32, rows: &str) {
        self.send(request, EngineReply::Page { page, rows: rows.as_bytes() });
    }

    /// Reports that a request waits for memory.
    pub fn send_stalled(&mut self, request: u64) {
        self.send(request, EngineReply::Progress(Some(Progress::WaitingForMemory)));
    }

    /// Rejects a request for lack of capacity.
    pub fn send_overloaded(&mut self, request: u64) {
        self.send(request, EngineReply::Overloaded);
    }

    /// Sends a reply on the connection on which the last command for its request arrived.
    pub fn send(&mut self, request: u64, reply: EngineReply<'_>) {
        self.send_on(self.connection_of(request), request, reply);
    }

    /// Sends a reply on a connection.
    pub fn send_on(&mut self, connection: usize, request: u64, reply: EngineReply<'_>) {
        self.send_bytes(connection, &reply.encode(&request_id(request)));
    }

    /// Sends a reply as [`Self::send`] does, unless the router has closed the connection.
    pub fn send_if_open(&mut self, request: u64, reply: EngineReply<'_>) {
        let Some(mut socket) = self.connections[self.connection_of(request)].socket.as_ref() else { return };
        socket.set_nonblocking(false).expect("a socket can be blocking");
        // The router may close the connection at any time.
        let _ = socket.write_all(&reply.encode(&request_id(request)));
    }

    /// Sends a reply with a type and fields as text, so that they may be malformed.
    pub fn send_raw_reply(&mut self, request: u64, reply_type: &str, fields: &str) {
        let id = request_id(request);
        let parts = [id.as_bytes(), reply_type.as_bytes(), fields.as_bytes(), b""];
        self.send_bytes(self.connection_of(request), &encode_array(&parts));
    }

    /// Sends bytes on a connection, for example a part of a reply or malformed input.
    pub fn send_bytes(&mut self, connection: usize, bytes: &[u8]) {
        let mut socket = self.connections[connection].socket.as_ref().expect("the connection is open");
        socket.set_nonblocking(false).expect("a socket can be blocking");
        socket.write_all(bytes).expect("the router reads from its engine");
    }

    /// Closes the connection on which the last command for a request arrived.
    pub fn close_connection_of(&mut self, request: u64) {
        let index = self.connection_of(request);
        self.connections[index].socket = None;
    }
}
