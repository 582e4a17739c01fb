//! The discovery service's list of engines: its events as the configuration holds them at the start, and as binary
//! frames over a connection.

use crate::counters::Counters;
use crate::error::DiscoveryError;
use crate::ring::Ring;
use emberflow::{EndpointUpdate, Lifecycle};
use emberflow_settings::{Fields, Problem, SettingsError};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Bytes of a frame's length prefix, and of the event number and kind that follow it.
const LENGTH_BYTES: usize = 4;
const HEADER_BYTES: usize = 9;
/// Bytes of one endpoint in a frame.
const RECORD_BYTES: usize = 27;
/// Bytes of the largest frame: far more engines than any list has.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Kinds of frames on the wire.
const HEARTBEAT_FRAME: u8 = 0;
const SNAPSHOT_FRAME: u8 = 1;
const CHANGES_FRAME: u8 = 2;

/// One engine of the list.
pub struct EndpointRecord {
    /// The engine's id in the endpoint list.
    pub id: u32,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it takes requests.
    pub lifecycle: Lifecycle,
    /// Its location's index in the settings.
    pub location: usize,
    /// Its kind's index in the settings.
    pub kind: usize,
    /// The failure domain within its location.
    pub cell: u64,
    /// When its process started, in milliseconds since the Unix epoch; 0 where that is unknown.
    pub up_since_ms: u64,
}

impl EndpointRecord {
    /// Whether the engine takes new requests.
    pub fn is_ready(&self) -> bool {
        self.lifecycle == Lifecycle::Ready
    }
}

/// A change of the list of engines.
pub struct EndpointEvent {
    /// Whether the event holds the whole list or only what has changed.
    pub update: EndpointUpdate,
    /// The engines that the event is about.
    pub endpoints: Vec<EndpointRecord>,
}

/// A frame from the discovery service.
pub struct Frame {
    /// The number of its event, or of the last event for a heartbeat.
    pub number: u64,
    /// `None` for a heartbeat, and for an event that was received before.
    pub event: Option<EndpointEvent>,
}

/// The events of the configuration, and the number of the last one.
pub struct InitialEvents {
    /// The number of the last event, which the discovery service resumes after.
    pub last_event: u64,
    /// The events, the oldest first.
    pub events: Vec<EndpointEvent>,
}

/// The receiving side of the discovery service's connection. It holds no socket.
#[derive(Clone)]
pub struct Discovery {
    /// Bytes received and not yet decoded.
    pub input: Ring,
    /// Whether the number of the last event was sent on this connection, which the service resumes after.
    pub subscribed: bool,
    /// The number of the last event received.
    pub last_event: u64,
    /// When the connection is dialled anew unless something is received before.
    pub redial_at: Duration,
    /// How many kinds and locations the settings name.
    kind_count: usize,
    location_count: usize,
}

impl Discovery {
    /// Resumes after an event, for settings with so many kinds and locations.
    pub fn resume_after(last_event: u64, kind_count: usize, location_count: usize) -> Self {
        Self {
            input: Ring::default(),
            subscribed: false,
            last_event,
            redial_at: Duration::ZERO,
            kind_count,
            location_count,
        }
    }

    /// The state for a new connection, which resumes after the same event.
    pub fn for_new_connection(&self) -> Self {
        Self { input: Ring::default(), subscribed: false, ..*self }
    }

    /// Decodes the next complete frame, `None` until one has been received. The frame is checked against the
    /// number of the last event and against the settings; an event that was received before becomes a heartbeat.
    pub fn next_frame(&mut self, counters: &mut Counters) -> Result<Option<Frame>, DiscoveryError> {
        let Some((frame, length)) = parse_frame(self.input.readable())? else { return Ok(None) };
        self.input.consume(length);
        self.check_endpoints(&frame)?;
        let (number, last) = (frame.number, self.last_event);
        match frame.event.as_ref().map(|event| event.update) {
            None if number > last => Err(DiscoveryError::MissedEvents { number, last }),
            Some(_) if number <= last => {
                counters.count("discovery_events_repeated");
                Ok(Some(Frame { number, event: None }))
            }
            None if number < last => Ok(Some(frame)),
            Some(EndpointUpdate::Changes) if number != last + 1 => {
                Err(DiscoveryError::EventGap { number, last })
            }
            _ => {
                self.last_event = number;
                Ok(Some(frame))
            }
        }
    }

    /// Rejects endpoints of a kind or in a location that the settings do not name.
    fn check_endpoints(&self, frame: &Frame) -> Result<(), DiscoveryError> {
        let is_unknown = |endpoint: &&EndpointRecord| {
            endpoint.kind >= self.kind_count || endpoint.location >= self.location_count
        };
        let mut endpoints = frame.event.iter().flat_map(|event| &event.endpoints);
        match endpoints.find(is_unknown) {
            Some(&EndpointRecord { kind, location, .. }) => {
                Err(DiscoveryError::UnknownKindOrLocation { kind, location })
            }
            None => Ok(()),
        }
    }
}

/// Decodes the frame that `bytes` begin with; returns it and its length on the wire, `None` while it is incomplete.
pub fn parse_frame(bytes: &[u8]) -> Result<Option<(Frame, usize)>, DiscoveryError> {
    let Some((prefix, rest)) = bytes.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    if !(HEADER_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(DiscoveryError::FrameLength { bytes: length });
    }
    let Some(frame) = rest.get(..length) else { return Ok(None) };
    let (header, payload) = frame.split_at(HEADER_BYTES);
    let number = big_endian(&header[..8]);
    let event = parse_event(header[8], payload)?;
    Ok(Some((Frame { number, event }, LENGTH_BYTES + length)))
}

fn parse_event(kind: u8, payload: &[u8]) -> Result<Option<EndpointEvent>, DiscoveryError> {
    let is_complete = payload.len().is_multiple_of(RECORD_BYTES);
    let update = match kind {
        HEARTBEAT_FRAME if payload.is_empty() => return Ok(None),
        SNAPSHOT_FRAME if is_complete => EndpointUpdate::FullList,
        CHANGES_FRAME if is_complete => EndpointUpdate::Changes,
        _ => return Err(DiscoveryError::FrameKind { kind, bytes: payload.len() }),
    };
    let endpoints = payload.chunks(RECORD_BYTES).map(parse_record).collect::<Result<_, _>>()?;
    Ok(Some(EndpointEvent { update, endpoints }))
}

fn parse_record(bytes: &[u8]) -> Result<EndpointRecord, DiscoveryError> {
    let lifecycle = match bytes[10] {
        0 => Lifecycle::Ready,
        1 => Lifecycle::Draining,
        2 => Lifecycle::Removed,
        unknown => return Err(DiscoveryError::EndpointState(unknown)),
    };
    let ip = Ipv4Addr::new(bytes[4], bytes[5], bytes[6], bytes[7]);
    let port = big_endian(&bytes[8..10]) as u16;
    Ok(EndpointRecord {
        id: big_endian(&bytes[..4]) as u32,
        address: (ip, port).into(),
        lifecycle,
        location: bytes[11].into(),
        kind: bytes[12].into(),
        cell: big_endian(&bytes[13..15]),
        up_since_ms: big_endian(&bytes[19..27]),
    })
}

fn big_endian(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |number, byte| number << 8 | u64::from(*byte))
}

/// Decodes the events that the configuration file holds.
pub fn initial_events(
    file: Fields<'_>,
    locations: &[String],
    kinds: &[String],
) -> Result<InitialEvents, SettingsError> {
    let known = file.object("known")?;
    let event = |item: Fields<'_>| {
        let roster = item.object("roster")?;
        let members = roster.rows("members")?.map(|row| configured_endpoint(row, locations, kinds));
        let update =
            if roster.flag("complete")? { EndpointUpdate::FullList } else { EndpointUpdate::Changes };
        Ok(EndpointEvent { update, endpoints: members.collect::<Result<_, SettingsError>>()? })
    };
    let events = known.rows("items")?.map(event).collect::<Result<_, SettingsError>>()?;
    Ok(InitialEvents { last_event: known.unsigned("no")?, events })
}

fn configured_endpoint(
    row: Fields<'_>,
    locations: &[String],
    kinds: &[String],
) -> Result<EndpointRecord, SettingsError> {
    let id = row.text("id")?;
    let address = row.text("host_port")?;
    let id_number = id.strip_prefix("s-").and_then(|digits| u32::from_str_radix(digits, 16).ok());
    let lifecycle = match row.text("phase")? {
        "ready" => Lifecycle::Ready,
        "gone" => Lifecycle::Removed,
        _ => Lifecycle::Draining,
    };
    let malformed = |name: &str, expected: &'static str, found: &str| {
        let problem = Problem::Malformed { expected, found: found.to_owned() };
        row.field(name).map_or_else(|error| error, |field| field.error(problem))
    };
    Ok(EndpointRecord {
        id: id_number.ok_or_else(|| malformed("id", "engine's id", id))?,
        address: address.parse().map_err(|_| malformed("host_port", "address", address))?,
        lifecycle,
        location: index_of_name(row, "locality", locations)?,
        kind: index_of_name(row, "flavor", kinds)?,
        cell: row.get_number("cell").unwrap_or(0.0) as u64,
        up_since_ms: row.get_number("up_since_ms").unwrap_or(0.0) as u64,
    })
}

/// The index in `names` of the text of a field.
fn index_of_name(row: Fields<'_>, field_name: &str, names: &[String]) -> Result<usize, SettingsError> {
    let name = row.text(field_name)?;
    let index = names.iter().position(|known| known == name);
    match index {
        Some(index) => Ok(index),
        None => Err(row.field(field_name)?.error(Problem::NotInSettings { name: name.to_owned() })),
    }
}
