//! The discovery service's side of its connection to a router: numbered events of the endpoint list, in binary frames,
//! and the same events as JSON in a router's configuration.

use crate::number::shortest;
use serde_json::{Value, json};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Time between two heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes of the event number that a router sends after it has connected.
pub const RESUME_BYTES: usize = 8;
/// Bytes of a frame's event number and kind, which its length counts.
const HEADER_BYTES: usize = 9;
/// The size of an ordinary engine, in thousandths.
pub const ORDINARY_SIZE_PERMILLE: u32 = 1000;
const PERMILLE: f64 = 1000.0;

/// The state of an engine; the discriminants are those of the frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// The engine takes calls.
    Ready = 0,
    /// The engine takes no new calls.
    Draining = 1,
    /// The engine has left the list.
    Removed = 2,
}

impl EngineState {
    /// The name of the state in JSON.
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
    /// The engine's id, which is written `s-` and 8 hexadecimal digits in text.
    pub id: u32,
    /// Where the engine listens.
    pub address: SocketAddrV4,
    /// Whether the engine takes calls.
    pub state: EngineState,
    /// Index of the engine's zone in the router's settings.
    pub zone: u8,
    /// Index of the engine's kind in the router's settings.
    pub kind: u8,
    /// The engine's cell.
    pub cell: u16,
    /// The engine's size in thousandths.
    pub size_permille: u32,
    /// When the engine started, in milliseconds since the Unix epoch; 0 for long ago.
    pub up_since_ms: u64,
}

impl Endpoint {
    /// Returns an engine of the first zone, kind and cell that has been ready for long.
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

    /// Returns the record of a frame.
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

    /// Returns the member of a JSON event.
    fn to_json(self, names: &SettingNames<'_>) -> Value {
        let Self { id, address, state, cell, up_since_ms, .. } = self;
        json!({"id": format!("s-{id:08x}"), "host_port": address.to_string(),
            "locality": names.zones.get(usize::from(self.zone)), "flavor": names.kinds.get(usize::from(self.kind)),
            "cell": cell, "phase": state.wire_name(),
            "size": shortest(f64::from(self.size_permille) / PERMILLE), "up_since_ms": up_since_ms})
    }
}

/// The lists of the router's settings in which zones and kinds have their indices.
#[derive(Clone, Copy, Debug)]
pub struct SettingNames<'a> {
    /// Names of the zones; [`Endpoint::zone`] is an index into this list.
    pub zones: &'a [&'a str],
    /// Names of the kinds of engines; [`Endpoint::kind`] is an index into this list.
    pub kinds: &'a [&'a str],
}

/// The content of a frame; the discriminants are those of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// No change.
    Heartbeat = 0,
    /// All engines of the list.
    CompleteList = 1,
    /// The engines that have changed.
    Changes = 2,
}

/// Encodes a frame with the number of an event and its endpoints; a heartbeat repeats the number of the last event.
pub fn encode_frame(event: u64, kind: FrameKind, endpoints: &[Endpoint]) -> Vec<u8> {
    let payload: Vec<u8> = endpoints.iter().flat_map(Endpoint::encode).collect();
    let length = (HEADER_BYTES + payload.len()) as u32;
    [&length.to_be_bytes()[..], &event.to_be_bytes(), &[kind as u8], &payload].concat()
}

/// Encodes the frame that discovery sends each second after `last_event`, the event that the router got last.
pub fn encode_heartbeat(last_event: u64) -> Vec<u8> {
    encode_frame(last_event, FrameKind::Heartbeat, &[])
}

/// Decodes the number of the last event that a router has, which it sends first. Returns `None` until all its bytes
/// have arrived.
pub fn decode_resume_event(input: &[u8]) -> Option<u64> {
    let (number, _) = input.split_first_chunk::<RESUME_BYTES>()?;
    Some(u64::from_be_bytes(*number))
}

/// Returns the value of `known` in a router's configuration: a complete list under the number of its event.
pub fn known_list(event: u64, endpoints: &[Endpoint], names: &SettingNames<'_>) -> Value {
    let members: Vec<Value> = endpoints.iter().map(|endpoint| endpoint.to_json(names)).collect();
    json!({"no": event, "items": [{"no": event,
        "roster": {"revision": event, "complete": true, "members": members}}]})
}
