//! The discovery service's side of its connection to the router.

use emberflow_peer_protocol::discovery::{
    Endpoint, EngineState, FrameKind, RESUME_BYTES, decode_resume_event, encode_frame, encode_heartbeat,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A kind of engine that the settings do not name.
const UNKNOWN_KIND: u8 = 9;
/// Limit of the bytes read from the router at a time.
const CHUNK_BYTES: usize = 9;

/// Returns an engine that has been ready for long.
pub fn ready_engine(id: u32, address: SocketAddr) -> Endpoint {
    let SocketAddr::V4(address) = address else { panic!("tests use IPv4 addresses only") };
    Endpoint::ready(id, address)
}

/// Returns an engine that takes no new calls.
pub fn draining_engine(id: u32, address: SocketAddr) -> Endpoint {
    Endpoint { state: EngineState::Draining, ..ready_engine(id, address) }
}

/// Returns an engine that has left the endpoint list.
pub fn removed_engine(id: u32, address: SocketAddr) -> Endpoint {
    Endpoint { state: EngineState::Removed, ..ready_engine(id, address) }
}

/// Returns an engine that started at a time, in milliseconds since the Unix epoch.
pub fn restarted_engine(id: u32, address: SocketAddr, up_since_ms: u64) -> Endpoint {
    Endpoint { up_since_ms, ..ready_engine(id, address) }
}

/// Returns an engine of a kind that the settings do not name.
pub fn engine_of_unknown_kind(id: u32, address: SocketAddr) -> Endpoint {
    Endpoint { kind: UNKNOWN_KIND, ..ready_engine(id, address) }
}

/// Encodes a frame of changed engines.
pub fn change_frame(event: u64, changes: &[Endpoint]) -> Vec<u8> {
    encode_frame(event, FrameKind::Changes, changes)
}

/// Encodes a frame of a complete endpoint list without any engine.
pub fn empty_list_frame(event: u64) -> Vec<u8> {
    encode_frame(event, FrameKind::CompleteList, &[])
}

/// An accepted connection of the router to the discovery service.
pub struct TestDiscovery(TcpStream);

impl TestDiscovery {
    /// Creates a discovery service with an accepted socket.
    pub fn new(socket: TcpStream) -> Self {
        Self(socket)
    }

    /// Reads the number of the last event that the router has received. The router sends it first.
    pub fn read_resume_event(&mut self) -> u64 {
        let mut number = [0; RESUME_BYTES];
        self.0.read_exact(&mut number).expect("the router sends the last event's number");
        decode_resume_event(&number).expect("the number is complete")
    }

    /// Sends a heartbeat. The router dials again after 2.5 s without a frame.
    pub fn send_heartbeat(&mut self, last_event: u64) {
        self.send(&encode_heartbeat(last_event));
    }

    /// Sends a frame of changed engines.
    pub fn send_changes(&mut self, event: u64, changes: &[Endpoint]) {
        self.send(&change_frame(event, changes));
    }

    /// Sends bytes: a part of a frame, or any bytes.
    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("the router reads from discovery");
    }

    /// Waits for more bytes from the router. Returns their number, which is 0 if the router closed the connection.
    pub fn read_more(&mut self) -> std::io::Result<usize> {
        self.0.read(&mut [0; CHUNK_BYTES])
    }
}
