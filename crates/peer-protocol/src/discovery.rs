//! The discovery service's side of a connection to a router: numbered events of the endpoint list in binary frames, and
//! the JSON form of the endpoint list in a router's configuration.

use crate::number::json_number;
use serde_json::{Value, json};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Time between two heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Length of the event number that a router sends after it has connected, in bytes.
pub const RESUME_BYTES: usize = 8;
/// Length of a frame's event number and kind, in bytes; the length field of the frame includes them.
const HEADER_BYTES: usize = 9;
/// The size of an ordinary engine, in permille; all sizes are relative to it.
pub const ORDINARY_SIZE_PERMILLE: u32 = 1000;
const PERMILLE: f64 = 1000.0;

/// The state of an engine; the discriminants are the values in frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// The engine accepts calls.
    Ready = 0,
    /// The engine accepts no new calls.
    Draining = 1,
    /// The engine is removed from the list.
    Removed = 2,
}

impl EngineState {
    /// Returns the name of the state in JSON.
    fn wire_name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Removed => "gone",
        }
    }
}

/// One engine of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The engine's id; in JSON `s-` and 8 hexadecimal digits.
    pub id: u32,
    /// Where the engine listens.
    pub address: SocketAddrV4,
    /// Whether the engine accepts calls, is draining or is removed.
    pub state: EngineState,
    /// Index of the engine's zone in the router's settings.
    pub zone: u8,
    /// Index of the engine's kind in the router's settings.
    pub kind: u8,
    /// The number of the engine's cell.
    pub cell: u16,
    /// The engine's size in permille of the size of an ordinary engine.
    pub size_permille: u32,
    /// When the engine started, in milliseconds since the Unix epoch; 0 if it started long ago.
    pub up_since_ms: u64,
}

impl Endpoint {
    /// Returns a ready engine of ordinary size in the first zone, kind and cell, whose slow start is long over.
    pub fn ready(id: u32, address: SocketAddrV4) -> Self {
        Self {
            id,
            address,
            state: EngineState::Ready,
            zone: 0,
            kind: 0,
            cell: 0,
            size_permille: ORDINARY_SIZE_PERMILLE,
            up_since_ms: 0,
        }
    }

    /// Encodes the endpoint as a record of a frame.
    fn encode(&self) -> Vec<u8> {
        let mut record = Vec::new();
        record.extend(self.id.to_be_bytes());
        record.extend(self.address.ip().octets());
        record.extend(self.address.port().to_be_bytes());
        record.extend([self.state as u8, self.zone, self.kind]);
        record.extend(self.cell.to_be_bytes());
        record.extend(self.size_permille.to_be_bytes());
        record.extend(self.up_since_ms.to_be_bytes());
        record
    }

    /// Returns the endpoint as a member of the JSON list.
    fn to_json(self, names: &SettingNames<'_>) -> Value {
        let Self { id, address, state, cell, up_since_ms, .. } = self;
        json!({"id": format!("s-{id:08x}"), "host_port": address.to_string(),
            "locality": names.zones.get(usize::from(self.zone)), "flavor": names.kinds.get(usize::from(self.kind)),
            "cell": cell, "phase": state.wire_name(),
            "size": json_number(f64::from(self.size_permille) / PERMILLE), "up_since_ms": up_since_ms})
    }
}

/// The names of zones and engine kinds in the order of the router's settings.
#[derive(Clone, Copy, Debug)]
pub struct SettingNames<'a> {
    /// Names of the zones; [`Endpoint::zone`] is an index into this list.
    pub zones: &'a [&'a str],
    /// Names of the engine kinds; [`Endpoint::kind`] is an index into this list.
    pub kinds: &'a [&'a str],
}

/// The kind of a frame; the discriminants are the values in frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// No change; shows that the connection is alive.
    Heartbeat = 0,
    /// The complete list, which replaces the router's list.
    CompleteList = 1,
    /// Only the endpoints that have changed.
    Changes = 2,
}

/// Encodes a frame with the number of an event and its endpoints; a heartbeat repeats the number of the last event.
pub fn encode_frame(event_number: u64, kind: FrameKind, endpoints: &[Endpoint]) -> Vec<u8> {
    let payload: Vec<u8> = endpoints.iter().flat_map(Endpoint::encode).collect();
    let length = (HEADER_BYTES + payload.len()) as u32;
    [&length.to_be_bytes()[..], &event_number.to_be_bytes(), &[kind as u8], &payload].concat()
}

/// Encodes the heartbeat that discovery sends each second; `last_event` is the number of the event that the router got
/// last.
pub fn encode_heartbeat(last_event: u64) -> Vec<u8> {
    encode_frame(last_event, FrameKind::Heartbeat, &[])
}

/// Decodes the first message of a router, the number of the last event that it has received. Returns `None` until all
/// bytes have arrived.
pub fn decode_resume_event(input: &[u8]) -> Option<u64> {
    let (number, _) = input.split_first_chunk::<RESUME_BYTES>()?;
    Some(u64::from_be_bytes(*number))
}

/// Returns the value of `known` in a router's configuration: the complete list as of an event.
pub fn known_list(event_number: u64, endpoints: &[Endpoint], names: &SettingNames<'_>) -> Value {
    let members: Vec<Value> = endpoints.iter().map(|endpoint| endpoint.to_json(names)).collect();
    json!({"no": event_number, "items": [{"no": event_number,
        "roster": {"revision": event_number, "complete": true, "members": members}}]})
}
