//! In-memory peers of the router's connections: engines and clients that receive and send bytes without sockets.
//!
//! The connection model and the router model share them. The bytes are encoded and decoded by
//! `emberflow-peer-protocol`, which shares no code with the router.

use emberflow::Lifecycle;
use emberflow_peer_protocol::engine::{EngineCommand, EngineReply};
use emberflow_peer_protocol::resp::take_array;
use emberflow_router::clients::ClientInput;
use emberflow_router::discovery::EndpointRecord;
use emberflow_router::engine_pool::PoolCommand;
use emberflow_router::slots::Slot;
use std::collections::{BTreeMap, VecDeque};
use std::io::{Cursor, ErrorKind, Read, Write};

/// The tag of the router's health checks of a connection, and of every pong of the scripted engines.
const HEALTH_CHECK_TAG: &str = "0";

/// The receiving side of a connection, to which the router writes.
#[derive(Clone, Default, Hash)]
pub struct Peer {
    /// Whether the connection has been established.
    pub is_connected: bool,
    /// Number of further bytes that the peer accepts before a write blocks; `None` for no limit.
    pub capacity: Option<usize>,
    /// Bytes that were received and not decoded yet.
    pub inbox: Vec<u8>,
    /// Number of pings that were received and not answered yet.
    pub unanswered_pings: usize,
}

impl Peer {
    /// Returns a peer that accepts `capacity` bytes before a write blocks; `None` for no limit.
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

/// The input of a connection: bytes, and then an error or the end of the stream.
pub struct ScriptedInput {
    bytes: Cursor<Vec<u8>>,
    /// The error of every read after the bytes; `None` for the end of the stream.
    error_at_end: Option<ErrorKind>,
}

impl ScriptedInput {
    /// Returns an input of these bytes, after which a read would block.
    pub fn bytes(bytes: Vec<u8>) -> Self {
        Self { bytes: Cursor::new(bytes), error_at_end: Some(ErrorKind::WouldBlock) }
    }

    /// Returns an input whose connection is reset.
    pub fn reset() -> Self {
        Self { bytes: Cursor::default(), error_at_end: Some(ErrorKind::ConnectionReset) }
    }

    /// Returns an input that is at the end of the stream.
    pub fn end_of_stream() -> Self {
        Self { bytes: Cursor::default(), error_at_end: None }
    }
}

impl ClientInput for ScriptedInput {}

impl Read for ScriptedInput {
    fn read(&mut self, into: &mut [u8]) -> std::io::Result<usize> {
        match (self.bytes.read(into)?, self.error_at_end) {
            (0, Some(kind)) => Err(kind.into()),
            (count, _) => Ok(count),
        }
    }
}

/// Removes all complete commands from the front of an engine's inbox and returns them.
pub fn take_commands(inbox: &mut Vec<u8>) -> Vec<EngineCommand> {
    let mut commands = Vec::new();
    while let Ok(Some(parts)) = take_array(inbox) {
        commands.push(EngineCommand::decode(&parts));
    }
    commands
}

/// Returns the bytes of an engine's reply to a health check of the router.
pub fn pong() -> Vec<u8> {
    EngineReply::Pong.encode(HEALTH_CHECK_TAG)
}

/// Returns the row of the endpoint list for an engine that is ready, on a port of the loopback address.
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

/// Executes the commands of the engine pool: adds a peer for each connection that it dials, and removes the peer of
/// each connection that it closes. Returns whether there was a command.
pub fn execute_pool_commands<P>(
    commands: &mut VecDeque<PoolCommand>,
    peers: &mut BTreeMap<Slot, P>,
    new_peer: impl Fn() -> P,
) -> bool {
    let has_commands = !commands.is_empty();
    for command in commands.drain(..) {
        match command {
            PoolCommand::Dial(connection, _) => drop(peers.insert(connection, new_peer())),
            PoolCommand::Close(connection) => drop(peers.remove(&connection)),
        }
    }
    has_commands
}
