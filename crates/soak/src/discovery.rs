//! An emulated discovery service: it sends numbered changes of the endpoint list to each router that connects, and can
//! be silent or down.

use crate::config::{CELLS_PER_ZONE, KINDS, ZONES};
use crate::connections::ConnectionTable;
use crate::sockets::{Stream, StreamState};
use emberflow_peer_protocol::discovery::{
    Endpoint, FrameKind, SettingNames, decode_resume_event, encode_frame, encode_heartbeat, known_list,
};
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};
use serde_json::Value;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

/// Returns the endpoint of an engine whose slow start is long over. Its id, zone and cell follow from its index.
pub fn engine_endpoint(engine: usize, address: SocketAddrV4) -> Endpoint {
    Endpoint {
        zone: (engine % ZONES.len()) as u8,
        cell: (engine / ZONES.len() % CELLS_PER_ZONE) as u16,
        ..Endpoint::ready(engine as u32, address)
    }
}

/// A router's connection to the service.
struct Subscriber {
    stream: Stream,
    /// The number of the last event that the router has received; `None` until the router has sent the number.
    last_event: Option<u64>,
}

/// A fault of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFault {
    None,
    /// Connections stay open, and the service sends nothing.
    Silent,
    /// All connections are closed and new ones are refused.
    Down,
}

/// The discovery service.
pub struct Discovery {
    pub address: SocketAddr,
    listener: Option<TcpListener>,
    /// The current endpoint list, by engine index.
    pub endpoints: Vec<Endpoint>,
    /// The changes in the order of their events; event 1, at index 0, is the complete list.
    changes: Vec<Vec<Endpoint>>,
    subscribers: ConnectionTable<Subscriber>,
    fault: DiscoveryFault,
    /// Number of bytes of complete lists and changes sent to all routers, without heartbeats.
    pub list_bytes: u64,
    first_token: usize,
}

impl Discovery {
    /// Starts a service with these endpoints. The listener has the token `first_token`, and connections have the tokens
    /// after it.
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
            subscribers: ConnectionTable::default(),
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

    fn last_event(&self) -> u64 {
        self.changes.len() as u64
    }

    /// Returns the current list as a router's configuration has it.
    pub fn known_list(&self) -> Value {
        let names = SettingNames { zones: &ZONES, kinds: &KINDS };
        known_list(self.last_event(), &self.endpoints, &names)
    }

    /// Serves a socket that has become readable or writable.
    pub fn serve_socket(&mut self, token: Token, registry: &Registry) {
        match token.0 - self.first_token {
            0 => self.accept(registry),
            offset => self.serve_subscriber(offset - 1),
        }
    }

    fn accept(&mut self, registry: &Registry) {
        while let Some(Ok((socket, _))) = self.listener.as_ref().map(TcpListener::accept) {
            let index = self.subscribers.free_index();
            let token = Token(self.first_token + 1 + index);
            let Ok(stream) = Stream::register(socket, token, registry) else { continue };
            self.subscribers.insert(index, Subscriber { stream, last_event: None });
        }
    }

    fn serve_subscriber(&mut self, index: usize) {
        let Some(subscriber) = self.subscribers.get_mut(index) else { return };
        let state = subscriber.stream.fill(Duration::ZERO);
        if subscriber.last_event.is_none() {
            subscriber.last_event = decode_resume_event(subscriber.stream.input());
        }
        if state == StreamState::Ended {
            self.subscribers.remove(index);
            return;
        }
        self.send_changes(index);
    }

    /// Sends a subscriber all changes after its last event, unless the service has a fault.
    fn send_changes(&mut self, index: usize) {
        if self.fault != DiscoveryFault::None {
            return;
        }
        let newest = self.last_event();
        let Some(subscriber) = self.subscribers.get_mut(index) else { return };
        let Some(last_event) = subscriber.last_event else { return };
        for event in last_event + 1..=newest {
            let kind = if event == 1 { FrameKind::CompleteList } else { FrameKind::Changes };
            let frame = encode_frame(event, kind, &self.changes[event as usize - 1]);
            self.list_bytes += frame.len() as u64;
            subscriber.stream.send(&frame);
        }
        subscriber.last_event = Some(newest.max(last_event));
        subscriber.stream.flush();
    }

    /// Replaces the endpoints with the same ids and sends the change to all subscribers as a new event.
    pub fn change(&mut self, changed: Vec<Endpoint>) {
        for endpoint in &changed {
            self.endpoints[endpoint.id as usize] = *endpoint;
        }
        self.changes.push(changed);
        for index in 0..self.subscribers.index_limit() {
            self.send_changes(index);
        }
    }

    /// Sends the complete list as a new event, as after a loss of the service's state.
    /// Routers that receive the event later get an empty change, since the list itself has not changed.
    pub fn resend_complete_list(&mut self) {
        let event = self.last_event() + 1;
        self.changes.push(Vec::new());
        if self.fault != DiscoveryFault::None {
            return;
        }
        let frame = encode_frame(event, FrameKind::CompleteList, &self.endpoints);
        for subscriber in self.subscribers.iter_mut() {
            if subscriber.last_event == Some(event - 1) {
                self.list_bytes += frame.len() as u64;
                subscriber.stream.send(&frame);
                subscriber.last_event = Some(event);
            }
        }
    }

    /// Sends each router the changes that it lacks, and then a heartbeat.
    pub fn send_heartbeats(&mut self) {
        if self.fault != DiscoveryFault::None {
            return;
        }
        for index in 0..self.subscribers.index_limit() {
            self.send_changes(index);
            if let Some(subscriber) = self.subscribers.get_mut(index)
                && let Some(last_event) = subscriber.last_event
            {
                subscriber.stream.send(&encode_heartbeat(last_event));
            }
        }
    }

    /// Sets the fault of the service; [`DiscoveryFault::None`] ends the current fault.
    pub fn set_fault(&mut self, fault: DiscoveryFault, registry: &Registry) -> io::Result<()> {
        self.fault = fault;
        match fault {
            DiscoveryFault::Down => {
                self.listener = None;
                self.subscribers.clear();
            }
            DiscoveryFault::None | DiscoveryFault::Silent if self.listener.is_none() => {
                self.listen(registry)?;
            }
            DiscoveryFault::None | DiscoveryFault::Silent => {}
        }
        Ok(())
    }
}
