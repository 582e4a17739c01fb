//! An emulated discovery service: numbered changes of the endpoint list, sent to each router that connects, and the
//! faults of such a service.

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

/// Returns the endpoint of an engine that has been ready for long. Its id, zone and cell follow from its number.
pub fn engine_endpoint(engine: usize, address: SocketAddrV4) -> Endpoint {
    Endpoint {
        zone: (engine % ZONES.len()) as u8,
        cell: (engine / ZONES.len() % CELLS_PER_ZONE) as u16,
        ..Endpoint::ready(engine as u32, address)
    }
}

/// A router's connection.
struct Subscriber {
    stream: Stream,
    /// The number of the last event that the router has; `None` until the router has sent it.
    last_event: Option<u64>,
}

/// A fault of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFault {
    None,
    /// Connections stay open, and the service sends nothing.
    Silent,
    /// The service refuses connections.
    Down,
}

/// The discovery service.
pub struct Discovery {
    pub address: SocketAddr,
    listener: Option<TcpListener>,
    /// The current list, by engine.
    pub endpoints: Vec<Endpoint>,
    /// The changes by event number, from event 1; the first is the complete list.
    changes: Vec<Vec<Endpoint>>,
    subscribers: ConnectionTable<Subscriber>,
    fault: DiscoveryFault,
    /// Bytes of lists and changes sent to all routers, without heartbeats.
    pub list_bytes: u64,
    first_token: usize,
}

impl Discovery {
    /// Starts a service with these endpoints. The listener has the token `first_token`; the tokens of connections
    /// follow it.
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

    /// Returns the current list in the form of a router's configuration.
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

    /// Sends a subscriber all changes after its last event.
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

    /// Lists changes of some endpoints.
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

    /// Sends each router a heartbeat, after the changes that the router does not have.
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

    /// Sets the fault of the service; `None` ends it.
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
