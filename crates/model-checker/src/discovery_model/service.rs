//! The scripted discovery service: its endpoint list after each event, and the frames that it sends.

use emberflow_peer_protocol::discovery::{Endpoint, EngineState, FrameKind, encode_frame, encode_heartbeat};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Number of engines of the endpoint list.
const ENGINES: u32 = 2;
/// Address of every engine.
const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9);
/// Number of engine kinds in the settings; a kind with this number or a larger one is unknown.
pub const KIND_COUNT: usize = 1;
/// An engine kind that the settings do not name.
const UNKNOWN_KIND: u8 = KIND_COUNT as u8;
/// The beginning of a frame whose length field says 8 bytes, which is less than the 9 bytes of the event number and
/// kind that the field counts.
const FRAME_WITH_BAD_LENGTH: [u8; 5] = [0, 0, 0, 8, 0];

/// The endpoint list: for each engine id, whether the engine is ready.
pub type EndpointList = BTreeMap<u32, bool>;

/// A fault of a frame that the service sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FrameFault {
    /// The last event that was sent is sent again; the reader ignores it.
    Duplicate,
    /// The frame carries a change, and the event before it was not sent.
    Gap,
    /// An engine has a kind that the settings do not name.
    UnknownKind,
    /// The length field is less than the length of the header that it counts.
    BadLength,
    /// A heartbeat has the number of the next event, which was not sent.
    HeartbeatAhead,
}

/// Returns the list after the event with this number, or the initial list for 0. Each event changes whether one engine
/// is ready.
pub fn endpoint_list(event: u64) -> EndpointList {
    (0..ENGINES).map(|id| (id, is_ready_after(event, id))).collect()
}

/// Whether an engine is ready after an event. Each engine changes at every second event, alternating with the other
/// engine.
fn is_ready_after(event: u64, id: u32) -> bool {
    let changes = (event + u64::from(id)) / 2;
    changes.is_multiple_of(2)
}

/// Returns the engine that an event changes, and whether the engine is ready after the event.
fn changed_engine(event: u64) -> (u32, bool) {
    let (before, after) = (endpoint_list(event - 1), endpoint_list(event));
    let changed = after.iter().find(|(id, ready)| before[id] != **ready);
    changed.or(after.first_key_value()).map(|(id, ready)| (*id, *ready)).expect("the list has engines")
}

fn endpoint(id: u32, is_ready: bool) -> Endpoint {
    let state = if is_ready { EngineState::Ready } else { EngineState::Draining };
    Endpoint { state, ..Endpoint::ready(id, ADDRESS) }
}

/// Returns the frame of an event, from 1, as a change: it contains only the engine that the event changes.
pub fn change_frame(event: u64) -> Vec<u8> {
    let (id, is_ready) = changed_engine(event);
    encode_frame(event, FrameKind::Changes, &[endpoint(id, is_ready)])
}

/// Returns the frame with the complete list after an event.
pub fn snapshot_frame(event: u64) -> Vec<u8> {
    let endpoints: Vec<Endpoint> =
        endpoint_list(event).into_iter().map(|(id, is_ready)| endpoint(id, is_ready)).collect();
    encode_frame(event, FrameKind::CompleteList, &endpoints)
}

/// Returns a heartbeat, which contains the number of an event and no engines.
pub fn heartbeat_frame(event: u64) -> Vec<u8> {
    encode_heartbeat(event)
}

/// Returns a faulty frame. `sent` is the number of the last event that was sent.
pub fn faulty_frame(sent: u64, fault: FrameFault) -> Vec<u8> {
    match fault {
        FrameFault::Duplicate => change_frame(sent),
        FrameFault::Gap => change_frame(sent + 2),
        FrameFault::UnknownKind => {
            let unknown = Endpoint { kind: UNKNOWN_KIND, ..endpoint(0, true) };
            encode_frame(sent + 1, FrameKind::CompleteList, &[unknown])
        }
        FrameFault::BadLength => FRAME_WITH_BAD_LENGTH.to_vec(),
        FrameFault::HeartbeatAhead => heartbeat_frame(sent + 1),
    }
}
