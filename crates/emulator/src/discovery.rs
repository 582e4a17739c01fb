//! An emulated discovery service: it sends the complete endpoint list to whoever connects, each change of it, and a
//! heartbeat each second.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes of a frame's event number and kind.
const FRAME_HEADER_BYTES: u32 = 9;
/// Bytes of the event number that a router sends first.
const RESUME_BYTES: usize = 8;
/// What each engine says of its size; its zone and kind are the first of the settings.
const SIZE_PERMILLE: u32 = 1000;
const ZONE: u8 = 0;
const KIND: u8 = 0;

/// The state of an engine, as frames number them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    Ready = 0,
    Draining = 1,
    Removed = 2,
}

/// One engine of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    pub id: u32,
    pub address: SocketAddr,
    pub state: EngineState,
    pub cell: u16,
    /// Milliseconds since the epoch; 0 for long ago.
    pub up_since_ms: u64,
}

impl Endpoint {
    /// Its record in a frame; none for an address that the protocol can't name.
    fn encode(&self) -> Option<Vec<u8>> {
        let SocketAddr::V4(address) = self.address else { return None };
        let mut record = Vec::new();
        record.extend(self.id.to_be_bytes());
        record.extend(address.ip().octets());
        record.extend(address.port().to_be_bytes());
        record.extend([self.state as u8, ZONE, KIND]);
        record.extend(self.cell.to_be_bytes());
        record.extend(SIZE_PERMILLE.to_be_bytes());
        record.extend(self.up_since_ms.to_be_bytes());
        Some(record)
    }
}

/// What a frame holds, as the protocol numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    Heartbeat = 0,
    CompleteList = 1,
    Changes = 2,
}

/// A frame: its length, the number of the last event, its kind and the endpoints.
pub fn frame(event: u64, kind: FrameKind, endpoints: &[Endpoint]) -> Vec<u8> {
    let payload: Vec<u8> = endpoints.iter().filter_map(Endpoint::encode).flatten().collect();
    let length = FRAME_HEADER_BYTES + payload.len() as u32;
    [&length.to_be_bytes()[..], &event.to_be_bytes(), &[kind as u8], &payload].concat()
}

#[derive(Default)]
struct EndpointList {
    /// The number of the last event.
    event: u64,
    endpoints: Vec<Endpoint>,
    /// Connections of routers.
    watchers: Vec<TcpStream>,
}

impl EndpointList {
    fn send_to_watchers(&mut self, frame: &[u8]) {
        self.watchers.retain_mut(|watcher| watcher.write_all(frame).is_ok());
    }
}

/// A running discovery service; its threads end with the process.
#[derive(Clone)]
pub struct Discovery {
    /// Where routers connect.
    pub address: SocketAddr,
    list: Arc<Mutex<EndpointList>>,
}

impl Discovery {
    /// Serves a list of endpoints on a loopback port.
    pub fn start(endpoints: Vec<Endpoint>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let list = Arc::new(Mutex::new(EndpointList { event: 1, endpoints, watchers: Vec::new() }));
        let discovery = Self { address, list };
        let (accepting, beating) = (discovery.clone(), discovery.clone());
        std::thread::spawn(move || accepting.accept_watchers(&listener));
        std::thread::spawn(move || beating.send_heartbeats());
        Ok(discovery)
    }

    /// Replaces the endpoint with the same id.
    pub fn change(&self, endpoint: Endpoint) {
        let mut list = self.list();
        list.event += 1;
        list.endpoints.retain(|other| other.id != endpoint.id);
        if endpoint.state != EngineState::Removed {
            list.endpoints.push(endpoint);
        }
        let change = frame(list.event, FrameKind::Changes, &[endpoint]);
        list.send_to_watchers(&change);
    }

    /// Each change of the list is complete once its lock is released, whatever panicked since.
    fn list(&self) -> MutexGuard<'_, EndpointList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A router first sends which event it knows, and always gets the complete list.
    fn accept_watchers(&self, listener: &TcpListener) {
        for mut watcher in listener.incoming().flatten() {
            if watcher.read_exact(&mut [0; RESUME_BYTES]).is_err() {
                continue;
            }
            let mut list = self.list();
            let complete_list = frame(list.event, FrameKind::CompleteList, &list.endpoints);
            if watcher.write_all(&complete_list).is_ok() {
                list.watchers.push(watcher);
            }
        }
    }

    fn send_heartbeats(&self) {
        loop {
            std::thread::sleep(HEARTBEAT_INTERVAL);
            let mut list = self.list();
            let heartbeat = frame(list.event, FrameKind::Heartbeat, &[]);
            list.send_to_watchers(&heartbeat);
        }
    }
}
