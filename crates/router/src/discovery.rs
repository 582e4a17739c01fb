//! Decodes the events of the endpoint list. The configuration contains the first events; the discovery service sends
//! the later ones as binary frames.

use crate::counters::Counters;
use crate::error::DiscoveryError;
use crate::ring::RingBuffer;
use emberflow::{EndpointUpdate, Lifecycle};
use emberflow_settings::{Fields, Problem, SettingsError};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::time::Duration;

/// Bytes of a frame's length prefix, which does not count itself.
const LENGTH_BYTES: usize = 4;
/// Bytes of the event number, with which a frame begins after its length. The frame's kind follows in one byte.
const NUMBER_BYTES: usize = 8;
/// Bytes of the event number and the kind. The payload follows them.
pub(crate) const HEADER_BYTES: usize = NUMBER_BYTES + 1;
/// Bytes of one endpoint in a frame's payload.
pub(crate) const RECORD_BYTES: usize = 27;
/// Bytes of the largest frame that is accepted, without its length prefix. It has space for some 38,000 endpoints.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Kind of a heartbeat, which has no payload.
const HEARTBEAT_FRAME: u8 = 0;
/// Kind of a frame with the complete list.
const SNAPSHOT_FRAME: u8 = 1;
/// Kind of a frame with the changed endpoints.
const CHANGES_FRAME: u8 = 2;

// Byte positions of the fields in an endpoint's record. The bytes between them are not used.
const ID_RANGE: Range<usize> = 0..4;
const IP_RANGE: Range<usize> = 4..8;
const PORT_RANGE: Range<usize> = 8..10;
const STATE_OFFSET: usize = 10;
const LOCATION_OFFSET: usize = 11;
const KIND_OFFSET: usize = 12;
const CELL_RANGE: Range<usize> = 13..15;
const UP_SINCE_RANGE: Range<usize> = 19..27;

// Values of the state byte in an endpoint's record.
const READY_STATE: u8 = 0;
const DRAINING_STATE: u8 = 1;
const REMOVED_STATE: u8 = 2;

/// Prefix of an engine's id in the configuration. The id's number follows as hexadecimal digits.
const ID_PREFIX: &str = "s-";
const ID_RADIX: u32 = 16;
/// The form of an engine's id, for errors.
const EXPECTED_ID: &str = "`s-` with a hexadecimal number of up to 32 bits";

/// An engine in an event of the endpoint list.
pub struct EndpointRecord {
    /// The engine's id in the endpoint list.
    pub id: u32,
    /// The address at which the engine listens.
    pub address: SocketAddr,
    /// Whether the engine is ready, draining or removed.
    pub lifecycle: Lifecycle,
    /// The index of the engine's location in the settings, counted from 0.
    pub location: usize,
    /// The index of the engine's kind in the settings, counted from 0.
    pub kind: usize,
    /// The number of the failure domain within the location.
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
    /// Whether `endpoints` is the complete list or only the changed endpoints.
    pub update: EndpointUpdate,
    /// The endpoints, in the order of the frame or of the configuration.
    pub endpoints: Vec<EndpointRecord>,
}

/// A frame from the discovery service.
pub struct Frame {
    /// The number of the frame's event; for a heartbeat, the number of the service's last event.
    pub event_number: u64,
    /// The event; `None` for a heartbeat and for an event that was received before.
    pub event: Option<EndpointEvent>,
}

/// The events that the configuration contains, and the number of the last one.
pub struct InitialEvents {
    /// The number of the last event. The discovery service sends the events after it.
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
    /// The number of the last event that was received from the service or the configuration.
    pub last_event: u64,
    /// The time at which a new connection is dialled, unless a frame is received before.
    pub redial_at: Duration,
    /// Number of engine kinds in the settings.
    kind_count: usize,
    /// Number of locations in the settings.
    location_count: usize,
}

impl Discovery {
    /// Creates a receiver that subscribes to the events after `last_event`. Endpoints whose kind or location is not
    /// below `kind_count` or `location_count` are rejected.
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

    /// Returns the state for a new connection, without the buffered input. The new subscription resumes after the last
    /// received event.
    pub fn for_new_connection(&self) -> Self {
        Self { input: RingBuffer::default(), subscribed: false, ..*self }
    }

    /// Decodes the next frame; returns `None` until a complete one has been received. An event that was received before
    /// is returned as a heartbeat.
    ///
    /// # Errors
    /// Fails if the frame is malformed, if the receiver has missed an event before the frame, or if the settings do not
    /// name the kind or the location of an endpoint. The caller must then replace the connection.
    pub fn next_frame(&mut self, counters: &mut Counters) -> Result<Option<Frame>, DiscoveryError> {
        let Some((frame, length)) = parse_frame(self.input.contents())? else { return Ok(None) };
        self.input.consume(length);
        self.check_endpoints(&frame)?;
        let (number, last) = (frame.event_number, self.last_event);
        match frame.event.as_ref().map(|event| event.update) {
            None if number > last => Err(DiscoveryError::MissedBeforeHeartbeat { number, last }),
            Some(_) if number <= last => {
                counters.count("discovery_events_repeated");
                Ok(Some(Frame { event_number: number, event: None }))
            }
            None if number < last => Ok(Some(frame)),
            Some(EndpointUpdate::Changes) if number != last + 1 => {
                Err(DiscoveryError::MissedBeforeChanges { number, last })
            }
            _ => {
                self.last_event = number;
                Ok(Some(frame))
            }
        }
    }

    /// Fails if the frame has an endpoint whose kind or location the settings do not name.
    fn check_endpoints(&self, frame: &Frame) -> Result<(), DiscoveryError> {
        let Some(event) = &frame.event else { return Ok(()) };
        for endpoint in &event.endpoints {
            if endpoint.kind >= self.kind_count || endpoint.location >= self.location_count {
                let EndpointRecord { kind, location, .. } = *endpoint;
                return Err(DiscoveryError::UnknownKindOrLocation {
                    kind,
                    location,
                    kind_count: self.kind_count,
                    location_count: self.location_count,
                });
            }
        }
        Ok(())
    }
}

/// Decodes the frame at the start of `bytes`. Returns the frame and its length in bytes with the length prefix, or
/// `None` if the frame is incomplete.
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
    let event_number = big_endian(&header[..NUMBER_BYTES]);
    let event = parse_event(header[NUMBER_BYTES], payload)?;
    Ok(Some((Frame { event_number, event }, LENGTH_BYTES + length)))
}

/// Decodes the payload of a frame of this kind; returns `None` for a heartbeat.
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

/// Decodes an unsigned big-endian number of up to 8 bytes.
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
    for item in known.elements("items")? {
        events.push(configured_event(item, locations, kinds)?);
    }
    Ok(InitialEvents { last_event: known.unsigned("no")?, events })
}

/// Decodes an event of the configuration.
fn configured_event(
    item: Fields<'_>,
    locations: &[String],
    kinds: &[String],
) -> Result<EndpointEvent, SettingsError> {
    let roster = item.object("roster")?;
    let members = roster.elements("members")?;
    let update = if roster.flag("complete")? { EndpointUpdate::FullList } else { EndpointUpdate::Changes };
    let endpoints =
        members.map(|member| configured_endpoint(member, locations, kinds)).collect::<Result<_, _>>()?;
    Ok(EndpointEvent { update, endpoints })
}

/// Decodes an endpoint of an event of the configuration.
fn configured_endpoint(
    member: Fields<'_>,
    locations: &[String],
    kinds: &[String],
) -> Result<EndpointRecord, SettingsError> {
    let id = member.text("id")?;
    let address = member.text("host_port")?;
    let id_number = id.strip_prefix(ID_PREFIX).and_then(|digits| u32::from_str_radix(digits, ID_RADIX).ok());
    let lifecycle = match member.text("phase")? {
        "ready" => Lifecycle::Ready,
        "gone" => Lifecycle::Removed,
        _ => Lifecycle::Draining,
    };
    Ok(EndpointRecord {
        id: id_number.ok_or_else(|| invalid_field(member, "id", EXPECTED_ID))?,
        address: address
            .parse()
            .map_err(|_| invalid_field(member, "host_port", "an IP address with a port"))?,
        lifecycle,
        location: index_of_name(member, "locality", locations)?,
        kind: index_of_name(member, "flavor", kinds)?,
        cell: member.get_number("cell").unwrap_or(0.0) as u64,
        up_since_ms: member.get_number("up_since_ms").unwrap_or(0.0) as u64,
    })
}

/// Returns the error that a field is not what `expected` describes, or that the field is missing.
fn invalid_field(member: Fields<'_>, field_name: &str, expected: &'static str) -> SettingsError {
    match member.field(field_name) {
        Ok(field) => field.invalid(expected),
        Err(missing) => missing,
    }
}

/// Reads a name from a field, and returns its index in `names`.
fn index_of_name(member: Fields<'_>, field_name: &str, names: &[String]) -> Result<usize, SettingsError> {
    let name = member.text(field_name)?;
    let index = names.iter().position(|known| known == name);
    match index {
        Some(index) => Ok(index),
        None => Err(member.field(field_name)?.error(Problem::NotInSettings { name: name.to_owned() })),
    }
}
