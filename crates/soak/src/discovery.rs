//! An emulated discovery service: numbered changes of the endpoint list, sent to each router that connects, and the
//! faults of such a service.

use crate::config::{CELLS_PER_ZONE, ZONES};
use crate::sockets::{Stream, StreamState};
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

const FRAME_HEADER_BYTES: usize = 9;
const RESUME_BYTES: usize = 8;
const SIZE_PERMILLE: u32 = 1000;
const HEARTBEAT: u8 = 0;
const COMPLETE_LIST: u8 = 1;
const CHANGES: u8 = 2;

/// Whether an engine takes requests, as frames number it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    Ready = 0,
    Draining = 1,
    Removed = 2,
}

impl EngineState {
    fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Removed => "gone",
        }
    }
}

/// A row of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    pub engine: usize,
    pub address: SocketAddr,
    pub state: EngineState,
    /// Unix milliseconds of a late start, or 0.
    pub up_since_ms: u64,
}

impl Endpoint {
    fn id(&self) -> u32 {
        self.engine as u32
    }

    /// Its zone, which follows from its number.
    pub fn zone(&self) -> usize {
        self.engine % ZONES.len()
    }

    fn cell(&self) -> usize {
        self.engine / ZONES.len() % CELLS_PER_ZONE
    }

    fn encode(&self) -> Vec<u8> {
        let SocketAddr::V4(address) = self.address else { return Vec::new() };
        let mut record = Vec::new();
        record.extend(self.id().to_be_bytes());
        record.extend(address.ip().octets());
        record.extend(address.port().to_be_bytes());
        record.extend([self.state as u8, self.zone() as u8, 0]);
        record.extend((self.cell() as u16).to_be_bytes());
        record.extend(SIZE_PERMILLE.to_be_bytes());
        record.extend(self.up_since_ms.to_be_bytes());
        record
    }

    fn to_json(self) -> Value {
        json!({"id": format!("s-{:08x}", self.id()), "host_port": self.address.to_string(),
            "locality": ZONES[self.zone()], "flavor": "std", "cell": self.cell(), "phase": self.state.name(),
            "size": 1, "up_since_ms": self.up_since_ms})
    }
}

fn frame(number: u64, kind: u8, endpoints: &[Endpoint]) -> Vec<u8> {
    let payload: Vec<u8> = endpoints.iter().flat_map(Endpoint::encode).collect();
    let mut frame = Vec::new();
    frame.extend(((FRAME_HEADER_BYTES + payload.len()) as u32).to_be_bytes());
    frame.extend(number.to_be_bytes());
    frame.push(kind);
    frame.extend(payload);
    frame
}

/// A router's connection.
struct Subscriber {
    stream: Stream,
    /// The number of the last event that it was sent; `None` until it has said which it holds.
    last_event: Option<u64>,
}

/// What is wrong with the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFault {
    None,
    /// Connections stay open and nothing comes.
    Silent,
    /// It refuses connections.
    Down,
}

/// The service.
pub struct Discovery {
    pub address: SocketAddr,
    listener: Option<TcpListener>,
    pub endpoints: Vec<Endpoint>,
    /// Each change, by its number less one; the first is the complete list.
    changes: Vec<Vec<Endpoint>>,
    subscribers: Vec<Option<Subscriber>>,
    fault: DiscoveryFault,
    /// Bytes of lists and changes sent to all routers, without heartbeats.
    pub list_bytes: u64,
    first_token: usize,
}

impl Discovery {
    /// Starts a service that lists these endpoints; its tokens are `first_token` and `most_tokens` after it.
    pub fn start(
        address: SocketAddr,
        endpoints: Vec<Endpoint>,
        first_token: usize,
        registry: &Registry,
    ) -> io::Result<Self> {
        let mut discovery = Self {
            address,
            listener: None,
            changes: vec![endpoints.clone()],
            endpoints,
            subscribers: Vec::new(),
            fault: DiscoveryFault::None,
            list_bytes: 0,
            first_token,
        };
        discovery.listen(registry)?;
        Ok(discovery)
    }

    fn listen(&mut self, registry: &Registry) -> io::Result<()> {
        let mut listener = TcpListener::bind(self.address)?;
        self.address = listener.local_addr()?;
        registry.register(&mut listener, Token(self.first_token), Interest::READABLE)?;
        self.listener = Some(listener);
        Ok(())
    }

    /// The configuration's form of the list as it is now.
    pub fn known(&self) -> Value {
        let members: Vec<Value> = self.endpoints.iter().map(|endpoint| endpoint.to_json()).collect();
        let number = self.changes.len();
        json!({"no": number, "items": [{"no": number,
            "roster": {"revision": number, "complete": true, "members": members}}]})
    }

    /// Handles a socket that has become ready.
    pub fn ready(&mut self, token: Token, registry: &Registry) {
        match token.0 - self.first_token {
            0 => self.accept(registry),
            place => self.subscriber_ready(place - 1),
        }
    }

    fn accept(&mut self, registry: &Registry) {
        while let Some(Ok((socket, _))) = self.listener.as_ref().map(TcpListener::accept) {
            let free = self.subscribers.iter().position(Option::is_none);
            let place = free.unwrap_or(self.subscribers.len());
            let token = Token(self.first_token + 1 + place);
            let Ok(stream) = Stream::register(socket, token, registry) else { continue };
            let subscriber = Some(Subscriber { stream, last_event: None });
            if place == self.subscribers.len() {
                self.subscribers.push(subscriber);
            } else {
                self.subscribers[place] = subscriber;
            }
        }
    }

    fn subscriber_ready(&mut self, place: usize) {
        let Some(Some(subscriber)) = self.subscribers.get_mut(place) else { return };
        let state = subscriber.stream.fill(Duration::ZERO);
        if subscriber.last_event.is_none()
            && let Some((number, _)) = subscriber.stream.input.split_first_chunk::<RESUME_BYTES>()
        {
            subscriber.last_event = Some(u64::from_be_bytes(*number));
        }
        if state == StreamState::Ended {
            self.subscribers[place] = None;
            return;
        }
        self.send_changes(place);
    }

    /// Sends a subscriber all changes that it has not been sent.
    fn send_changes(&mut self, place: usize) {
        if self.fault != DiscoveryFault::None {
            return;
        }
        let Some(Some(subscriber)) = self.subscribers.get_mut(place) else { return };
        let Some(last_event) = subscriber.last_event else { return };
        let newest = self.changes.len() as u64;
        for number in last_event + 1..=newest {
            let kind = if number == 1 { COMPLETE_LIST } else { CHANGES };
            let change = frame(number, kind, &self.changes[number as usize - 1]);
            self.list_bytes += change.len() as u64;
            subscriber.stream.send(&change);
        }
        subscriber.last_event = Some(newest.max(last_event));
        subscriber.stream.flush();
    }

    /// Lists changes of some endpoints.
    pub fn change(&mut self, changed: Vec<Endpoint>) {
        for endpoint in &changed {
            self.endpoints[endpoint.engine] = *endpoint;
        }
        self.changes.push(changed);
        for place in 0..self.subscribers.len() {
            self.send_changes(place);
        }
    }

    /// Lists everything again, as after the loss of the service's memory.
    pub fn repeat_complete_list(&mut self) {
        let number = self.changes.len() as u64 + 1;
        self.changes.push(Vec::new());
        let complete = frame(number, COMPLETE_LIST, &self.endpoints);
        for subscriber in self.subscribers.iter_mut().flatten() {
            if self.fault == DiscoveryFault::None && subscriber.last_event == Some(number - 1) {
                self.list_bytes += complete.len() as u64;
                subscriber.stream.send(&complete);
                subscriber.last_event = Some(number);
            }
        }
    }

    /// Sends everybody that nothing is new; to be called each second.
    pub fn send_heartbeats(&mut self) {
        if self.fault != DiscoveryFault::None {
            return;
        }
        for place in 0..self.subscribers.len() {
            self.send_changes(place);
            if let Some(Some(subscriber)) = self.subscribers.get_mut(place)
                && let Some(number) = subscriber.last_event
            {
                subscriber.stream.send(&frame(number, HEARTBEAT, &[]));
            }
        }
    }

    /// Sets what is wrong with the service.
    pub fn set_fault(&mut self, fault: DiscoveryFault, registry: &Registry) -> io::Result<()> {
        self.fault = fault;
        match fault {
            DiscoveryFault::Down => {
                self.listener = None;
                self.subscribers.iter_mut().for_each(|subscriber| *subscriber = None);
            }
            _ if self.listener.is_none() => self.listen(registry)?,
            _ => {}
        }
        Ok(())
    }

    /// The time between heartbeats.
    pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
}
