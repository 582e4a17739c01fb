//! Decodes the events of the discovery service's endpoint list: the initial ones from the configuration, the later
//! ones from binary frames.

use crate::counters::Counters;
use crate::error::DiscoveryError;
use crate::ring::RingBuffer;
use emberflow::{EndpointUpdate, Lifecycle};
use emberflow_settings::{Fields, Problem, SettingsError};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::time::Duration;

/// Bytes of a frame's length prefix.
const LENGTH_BYTES: usize = 4;
/// Bytes of the event number at the start of a frame. The frame's kind follows in one byte.
const NUMBER_BYTES: usize = 8;
/// Bytes of the event number and the kind.
const HEADER_BYTES: usize = NUMBER_BYTES + 1;
/// Bytes of one endpoint in a frame.
const RECORD_BYTES: usize = 27;
/// Bytes of the largest frame that is accepted, which has space for some 38,000 endpoints.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Kind of a heartbeat, which has no payload.
const HEARTBEAT_FRAME: u8 = 0;
/// Kind of a frame with the complete list.
const SNAPSHOT_FRAME: u8 = 1;
/// Kind of a frame with the changed endpoints.
const CHANGES_FRAME: u8 = 2;

// Positions of the fields in a record.
const ID_RANGE: Range<usize> = 0..4;
const IP_RANGE: Range<usize> = 4..8;
const PORT_RANGE: Range<usize> = 8..10;
const STATE_OFFSET: usize = 10;
const LOCATION_OFFSET: usize = 11;
const KIND_OFFSET: usize = 12;
const CELL_RANGE: Range<usize> = 13..15;
const UP_SINCE_RANGE: Range<usize> = 19..27;

// States of an endpoint in a record.
const READY_STATE: u8 = 0;
const DRAINING_STATE: u8 = 1;
const REMOVED_STATE: u8 = 2;

/// Base of the digits in the id of an endpoint of the configuration, after the prefix.
const ID_RADIX: u32 = 16;
const ID_PREFIX: &str = "s-";

/// An engine in the endpoint list.
pub struct EndpointRecord {
    /// The engine's id in the endpoint list.
    pub id: u32,
    /// The address at which the engine listens.
    pub address: SocketAddr,
    /// Whether the engine is ready, draining or removed.
    pub lifecycle: Lifecycle,
    /// The index of the engine's location in the settings.
    pub location: usize,
    /// The index of the engine's kind in the settings.
    pub kind: usize,
    /// The failure domain within the location.
    pub cell: u64,
    /// Start of the engine's process, in milliseconds since the Unix epoch; 0 if unknown.
    pub up_since_ms: u64,
}

impl EndpointRecord {
    /// Whether the engine accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.lifecycle == Lifecycle::Ready
    }
}

/// An event of the endpoint list.
pub struct EndpointEvent {
    /// Whether the event contains the complete list or only the changed endpoints.
    pub update: EndpointUpdate,
    /// The endpoints of the event.
    pub endpoints: Vec<EndpointRecord>,
}

/// A frame from the discovery service.
pub struct Frame {
    /// The number of the frame's event; for a heartbeat, the number of the service's last event.
    pub number: u64,
    /// The event; `None` for a heartbeat and for an event that was received before.
    pub event: Option<EndpointEvent>,
}

/// The events of the configuration, and the number of the last one.
pub struct InitialEvents {
    /// The number of the last event, after which the discovery service resumes.
    pub last_event: u64,
    /// The events, oldest first.
    pub events: Vec<EndpointEvent>,
}

/// The receiving side of the connection to the discovery service, without its socket.
#[derive(Clone)]
pub struct Discovery {
    /// Received bytes that are not decoded yet.
    pub input: RingBuffer,
    /// Whether the subscription was sent on this connection.
    pub subscribed: bool,
    /// The number of the last event that was received.
    pub last_event: u64,
    /// The time at which the connection is dialled again unless a frame is received before.
    pub redial_at: Duration,
    /// Number of engine kinds in the settings.
    kind_count: usize,
    /// Number of locations in the settings.
    location_count: usize,
}

impl Discovery {
    /// Returns a receiver that resumes after `last_event` and rejects endpoints of unknown kinds or locations.
    pub fn resume_after(last_event: u64, kind_count: usize, location_count: usize) -> Self {
        Self {
            input: RingBuffer::default(),
            subscribed: false,
            last_event,
            redial_at: Duration::ZERO,
            kind_count,
            location_count,
        }
    }

    /// Returns the state for a new connection, which resumes after the same event.
    pub fn for_new_connection(&self) -> Self {
        Self { input: RingBuffer::default(), subscribed: false, ..*self }
    }

    /// Decodes the next frame; returns `None` until a complete one has been received. An event that was received before
    /// is returned as a heartbeat.
    ///
    /// # Errors
    /// Fails if the frame is malformed, if events are missing before it, or if the settings do not name the kind or the
    /// location of an endpoint. The connection must then be replaced.
    pub fn next_frame(&mut self, counters: &mut Counters) -> Result<Option<Frame>, DiscoveryError> {
        let Some((frame, length)) = parse_frame(self.input.contents())? else { return Ok(None) };
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

    /// Fails for an endpoint whose kind or location the settings do not name.
    fn check_endpoints(&self, frame: &Frame) -> Result<(), DiscoveryError> {
        let Some(event) = &frame.event else { return Ok(()) };
        for endpoint in &event.endpoints {
            if endpoint.kind >= self.kind_count || endpoint.location >= self.location_count {
                let EndpointRecord { kind, location, .. } = *endpoint;
                return Err(DiscoveryError::UnknownKindOrLocation { kind, location });
            }
        }
        Ok(())
    }
}

/// Decodes the frame at the start of `bytes`; returns it with its length on the wire, or `None` if it is incomplete.
///
/// # Errors
/// Fails if the length, the kind, the payload or the state of an endpoint is invalid.
pub fn parse_frame(bytes: &[u8]) -> Result<Option<(Frame, usize)>, DiscoveryError> {
    let Some((prefix, rest)) = bytes.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    if !(HEADER_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(DiscoveryError::FrameLength { bytes: length });
    }
    let Some(frame) = rest.get(..length) else { return Ok(None) };
    let (header, payload) = frame.split_at(HEADER_BYTES);
    let number = big_endian(&header[..NUMBER_BYTES]);
    let event = parse_event(header[NUMBER_BYTES], payload)?;
    Ok(Some((Frame { number, event }, LENGTH_BYTES + length)))
}

/// Decodes the payload of a frame; returns `None` for a heartbeat.
fn parse_event(kind: u8, payload: &[u8]) -> Result<Option<EndpointEvent>, DiscoveryError> {
    let has_complete_records = payload.len().is_multiple_of(RECORD_BYTES);
    let update = match kind {
        HEARTBEAT_FRAME if payload.is_empty() => return Ok(None),
        SNAPSHOT_FRAME if has_complete_records => EndpointUpdate::FullList,
        CHANGES_FRAME if has_complete_records => EndpointUpdate::Changes,
        _ => return Err(DiscoveryError::FrameKind { kind, bytes: payload.len() }),
    };
    let endpoints = payload.chunks(RECORD_BYTES).map(parse_record).collect::<Result<_, _>>()?;
    Ok(Some(EndpointEvent { update, endpoints }))
}

/// Decodes an endpoint from [`RECORD_BYTES`] bytes.
fn parse_record(bytes: &[u8]) -> Result<EndpointRecord, DiscoveryError> {
    let lifecycle = match bytes[STATE_OFFSET] {
        READY_STATE => Lifecycle::Ready,
        DRAINING_STATE => Lifecycle::Draining,
        REMOVED_STATE => Lifecycle::Removed,
        unknown => return Err(DiscoveryError::EndpointState(unknown)),
    };
    let ip = Ipv4Addr::from(big_endian(&bytes[IP_RANGE]) as u32);
    let port = big_endian(&bytes[PORT_RANGE]) as u16;
    Ok(EndpointRecord {
        id: big_endian(&bytes[ID_RANGE]) as u32,
        address: (ip, port).into(),
        lifecycle,
        location: bytes[LOCATION_OFFSET].into(),
        kind: bytes[KIND_OFFSET].into(),
        cell: big_endian(&bytes[CELL_RANGE]),
        up_since_ms: big_endian(&bytes[UP_SINCE_RANGE]),
    })
}

/// Decodes an unsigned number of up to 8 bytes.
fn big_endian(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |number, byte| number << u8::BITS | u64::from(*byte))
}

/// Decodes the events that the configuration file contains.
///
/// # Errors
/// Returns the first value that is missing or invalid, with its path.
pub fn initial_events(
    file: Fields<'_>,
    locations: &[String],
    kinds: &[String],
) -> Result<InitialEvents, SettingsError> {
    let known = file.object("known")?;
    let mut events = Vec::new();
    for item in known.rows("items")? {
        events.push(configured_event(item, locations, kinds)?);
    }
    Ok(InitialEvents { last_event: known.unsigned("no")?, events })
}

fn configured_event(
    item: Fields<'_>,
    locations: &[String],
    kinds: &[String],
) -> Result<EndpointEvent, SettingsError> {
    let roster = item.object("roster")?;
    let members = roster.rows("members")?;
    let update = if roster.flag("complete")? { EndpointUpdate::FullList } else { EndpointUpdate::Changes };
    let endpoints =
        members.map(|row| configured_endpoint(row, locations, kinds)).collect::<Result<_, _>>()?;
    Ok(EndpointEvent { update, endpoints })
}

fn configured_endpoint(
    row: Fields<'_>,
    locations: &[String],
    kinds: &[String],
) -> Result<EndpointRecord, SettingsError> {
    let id = row.text("id")?;
    let address = row.text("host_port")?;
    let id_number = id.strip_prefix(ID_PREFIX).and_then(|digits| u32::from_str_radix(digits, ID_RADIX).ok());
    let lifecycle = match row.text("phase")? {
        "ready" => Lifecycle::Ready,
        "gone" => Lifecycle::Removed,
        _ => Lifecycle::Draining,
    };
    Ok(EndpointRecord {
        id: id_number.ok_or_else(|| malformed(row, "id", "an engine's id"))?,
        address: address.parse().map_err(|_| malformed(row, "host_port", "an address with a port"))?,
        lifecycle,
        location: index_of_name(row, "locality", locations)?,
        kind: index_of_name(row, "flavor", kinds)?,
        cell: row.get_number("cell").unwrap_or(0.0) as u64,
        up_since_ms: row.get_number("up_since_ms").unwrap_or(0.0) as u64,
    })
}

/// Returns the error for a text field that does not have the expected form.
fn malformed(row: Fields<'_>, field_name: &str, expected: &'static str) -> SettingsError {
    match row.field(field_name) {
        Ok(field) => {
            let found = field.as_text().unwrap_or_default().to_owned();
            field.error(Problem::Malformed { expected, found })
        }
        Err(missing) => missing,
    }
}

/// Returns the index in `names` of the text of a field.
fn index_of_name(row: Fields<'_>, field_name: &str, names: &[String]) -> Result<usize, SettingsError> {
    let name = row.text(field_name)?;
    let index = names.iter().position(|known| known == name);
    match index {
        Some(index) => Ok(index),
        None => Err(row.field(field_name)?.error(Problem::NotInSettings { name: name.to_owned() })),
    }
}
