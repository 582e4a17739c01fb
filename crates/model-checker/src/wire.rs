//! In-memory ends of the router's connections: what a peer has received, and what it sends.
//!
//! The models of connections and of the whole router share them.

use emberflow::Lifecycle;
use emberflow_router::clients::ClientInput;
use emberflow_router::discovery::EndpointRecord;
use emberflow_router::engine_pool::PoolCommand;
use emberflow_router::resp;
use emberflow_router::slots::Slot;
use std::collections::{BTreeMap, VecDeque};
use std::io::{Cursor, ErrorKind, Read, Write};

/// The far end of a connection, into which the router writes.
#[derive(Clone, Default, Hash)]
pub struct Peer {
    /// Whether the connection has been established.
    pub is_connected: bool,
    /// Bytes that it still takes before writing blocks; `None` for any number.
    pub capacity: Option<usize>,
    /// Bytes received and not yet decoded.
    pub inbox: Vec<u8>,
    /// Pings received and not yet answered.
    pub pings: usize,
}

impl Peer {
    /// A peer that takes so many bytes before writing blocks; `None` for any number.
    pub fn with_capacity(capacity: Option<usize>) -> Self {
        Self { capacity, ..Self::default() }
    }
}

impl Write for Peer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let accepted = self.capacity.map_or(bytes.len(), |capacity| capacity.min(bytes.len()));
        if accepted == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        self.capacity = self.capacity.map(|capacity| capacity - accepted);
        self.inbox.extend(&bytes[..accepted]);
        Ok(accepted)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Bytes that the router reads from a connection, and what follows them.
pub struct ScriptedInput {
    bytes: Cursor<Vec<u8>>,
    /// The error of every read after the bytes; `None` for the end of the stream.
    then: Option<ErrorKind>,
}

impl ScriptedInput {
    /// These bytes, after which the connection is silent.
    pub fn bytes(bytes: Vec<u8>) -> Self {
        Self { bytes: Cursor::new(bytes), then: Some(ErrorKind::WouldBlock) }
    }

    /// A reset of the connection.
    pub fn reset() -> Self {
        Self { bytes: Cursor::default(), then: Some(ErrorKind::ConnectionReset) }
    }

    /// The end of the stream.
    pub fn end_of_stream() -> Self {
        Self { bytes: Cursor::default(), then: None }
    }
}

impl ClientInput for ScriptedInput {}

impl Read for ScriptedInput {
    fn read(&mut self, into: &mut [u8]) -> std::io::Result<usize> {
        match (self.bytes.read(into)?, self.then) {
            (0, Some(kind)) => Err(kind.into()),
            (count, _) => Ok(count),
        }
    }
}

/// A command that came complete to an engine, by its parts.
pub struct Command(Vec<String>);

impl Command {
    /// The part at this position; empty where there is none.
    pub fn part(&self, position: usize) -> &str {
        self.0.get(position).map_or("", String::as_str)
    }
}

/// Takes all complete commands off the front of an engine's inbox.
pub fn take_commands(inbox: &mut Vec<u8>) -> Vec<Command> {
    let mut commands = Vec::new();
    let mut consumed = 0;
    while let Ok(Some(resp::Array { parts, length })) = resp::parse_array(&inbox[consumed..]) {
        commands.push(Command(parts.iter().map(|part| String::from_utf8_lossy(part).into_owned()).collect()));
        consumed += length;
    }
    inbox.drain(..consumed);
    commands
}

/// The id under which a request goes to an engine.
pub fn request_id(number: u64) -> String {
    format!("{number:016x}")
}

/// An engine's answer: the id of the call, the kind of answer, its attributes and its body.
pub fn engine_answer(id: &str, kind: &str, attributes: &str, body: &str) -> Vec<u8> {
    resp::encode_array(&[id.as_bytes(), kind.as_bytes(), attributes.as_bytes(), body.as_bytes()])
}

/// An engine's answer to a ping.
pub fn pong() -> Vec<u8> {
    engine_answer("0", "PONG", "-", "")
}

/// The endpoint list's row of an engine that is ready, on a port of the loopback address.
pub fn ready_endpoint(id: u32, port: u16) -> EndpointRecord {
    EndpointRecord {
        id,
        address: ([127, 0, 0, 1], port).into(),
        lifecycle: Lifecycle::Ready,
        location: 0,
        kind: 0,
        cell: 0,
        up_since_ms: 0,
    }
}

/// Opens and closes the far ends that the pool of connections asks for; whether it asked for any.
pub fn open_and_close<End>(
    commands: &mut VecDeque<PoolCommand>,
    ends: &mut BTreeMap<Slot, End>,
    new_end: impl Fn() -> End,
) -> bool {
    let any = !commands.is_empty();
    for command in commands.drain(..) {
        match command {
            PoolCommand::Dial(connection, _) => drop(ends.insert(connection, new_end())),
            PoolCommand::Close(connection) => drop(ends.remove(&connection)),
        }
    }
    any
}
