//! The discovery service: the list of engines, from the configuration and as frames over a connection.

use crate::counters::Counters;
use crate::ring::Ring;
use emberflow_settings::{Fault, Fields};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

const RECORD: usize = 27;
/// Bytes of the largest frame: far more engines than any list has.
pub const MOST_BYTES: usize = 1 << 20;

/// One line of the list, as the configuration and the frames tell it alike.
pub struct Row {
    pub id: u32,
    pub address: SocketAddr,
    pub ready: bool,
    pub gone: bool,
    pub location: usize,
    pub kind: usize,
    pub cell: u64,
    pub up_since_ms: u64,
}

/// An event: whether it holds the whole list, and its rows.
pub type Event = (bool, Vec<Row>);

/// A frame: its number and event; `None` for nothing new.
pub type Frame = (u64, Option<Event>);

/// What comes over the connection, and the number of the last event heard.
#[derive(Clone)]
pub struct Discovery {
    pub input: Ring,
    pub greeted: bool,
    pub last: u64,
    /// When the connection is given up, or dialled again.
    pub due: Duration,
    /// How many kinds and locations the settings name.
    kinds: usize,
    locations: usize,
}

impl Discovery {
    pub fn after(last: u64, kinds: usize, locations: usize) -> Self {
        Self { input: Ring::default(), greeted: false, last, due: Duration::ZERO, kinds, locations }
    }

    /// A new connection, after the same event.
    pub fn anew(&self) -> Self {
        Self { input: Ring::default(), greeted: false, ..*self }
    }

    /// The next whole frame, checked against the last number and the settings. An event that was told before
    /// is nothing new.
    pub fn take(&mut self, counters: &mut Counters) -> Result<Option<Frame>, String> {
        let Some((frame, length)) = parse(self.input.readable())? else { return Ok(None) };
        self.input.consume(length);
        let mut rows = frame.1.iter().flat_map(|(_, rows)| rows);
        if let Some(row) = rows.find(|row| row.kind >= self.kinds || row.location >= self.locations) {
            return Err(format!("an engine of kind {} in location {}", row.kind, row.location));
        }
        match &frame {
            (number, None) if *number > self.last => Err(format!("event {number} without those before it")),
            (number, Some(_)) if *number <= self.last => {
                counters.count("discovery_events_repeated");
                Ok(Some((*number, None)))
            }
            (number, None) if *number < self.last => Ok(Some(frame)),
            (number, Some((false, _))) if *number != self.last + 1 => {
                Err(format!("changes {number} after {}", self.last))
            }
            _ => {
                self.last = frame.0;
                Ok(Some(frame))
            }
        }
    }
}

/// The first whole frame of `bytes` and its length; `None` until it has come.
pub fn parse(bytes: &[u8]) -> Result<Option<(Frame, usize)>, String> {
    let Some((head, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if !(9..=MOST_BYTES).contains(&length) {
        return Err(format!("a frame of {length} bytes"));
    }
    let Some(frame) = rest.get(..length) else { return Ok(None) };
    let number = whole(&frame[..8]);
    let (kind, payload) = (frame[8], &frame[9..]);
    let rows = match kind {
        0 if payload.is_empty() => None,
        1 | 2 if payload.len().is_multiple_of(RECORD) => {
            let rows = payload.chunks(RECORD).map(record).collect::<Result<_, _>>()?;
            Some((kind == 1, rows))
        }
        _ => return Err(format!("a frame of kind {kind} with {} bytes", payload.len())),
    };
    Ok(Some(((number, rows), 4 + length)))
}

fn whole(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

fn record(bytes: &[u8]) -> Result<Row, String> {
    let state = bytes[10];
    if state > 2 {
        return Err(format!("an engine in state {state}"));
    }
    let address = Ipv4Addr::new(bytes[4], bytes[5], bytes[6], bytes[7]);
    Ok(Row {
        id: whole(&bytes[..4]) as u32,
        address: (address, whole(&bytes[8..10]) as u16).into(),
        ready: state == 0,
        gone: state == 2,
        location: bytes[11].into(),
        kind: bytes[12].into(),
        cell: whole(&bytes[13..15]),
        up_since_ms: whole(&bytes[19..27]),
    })
}

/// The number of the last event of the start, and all of them.
pub fn known(file: Fields, locations: &[String], kinds: &[String]) -> Result<(u64, Vec<Event>), Fault> {
    let known = file.object("known")?;
    let event = |item: Fields| {
        let roster = item.object("roster")?;
        let rows = roster.rows("members")?.map(|row| member(row, locations, kinds));
        Ok((roster.flag("complete")?, rows.collect::<Result<_, Fault>>()?))
    };
    let events = known.rows("items")?.map(event).collect::<Result<_, Fault>>()?;
    Ok((known.unsigned("no")?, events))
}

fn member(row: Fields, locations: &[String], kinds: &[String]) -> Result<Row, Fault> {
    let told = |name: &str| Ok::<_, Fault>((row.field(name)?, row.text(name)?));
    let ((named, id), (placed, address)) = (told("id")?, told("host_port")?);
    let number = id.strip_prefix("s-").and_then(|digits| u32::from_str_radix(digits, 16).ok());
    let place = |list: &[String], name: &str| {
        let (field, name) = told(name)?;
        let unknown = || field.fault(format_args!("is not in the settings: {name}"));
        list.iter().position(|n| n == name).ok_or_else(unknown)
    };
    let phase = row.text("phase")?;
    Ok(Row {
        id: number.ok_or_else(|| named.fault(format_args!("is no engine's id: {id}")))?,
        address: address.parse().map_err(|_| placed.fault(format_args!("is no address: {address}")))?,
        ready: phase == "ready",
        gone: phase == "gone",
        location: place(locations, "locality")?,
        kind: place(kinds, "flavor")?,
        cell: row.get_number("cell").unwrap_or(0.0) as u64,
        up_since_ms: row.get_number("up_since_ms").unwrap_or(0.0) as u64,
    })
}
