//! An emulated discovery service: it sends the complete endpoint list to each router that connects, then each change of
//! the list, and a heartbeat each second.

use emberflow_peer_protocol::discovery::{
    Endpoint, EngineState, FrameKind, HEARTBEAT_INTERVAL, RESUME_BYTES, encode_frame, encode_heartbeat,
};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Default)]
struct EndpointList {
    /// The number of the last event; the initial list is event 1.
    last_event: u64,
    endpoints: Vec<Endpoint>,
    /// The connections of routers that get the changes of the list.
    subscribers: Vec<TcpStream>,
}

impl EndpointList {
    /// Sends a frame to all subscribers, and removes those whose connection has failed.
    fn send_to_subscribers(&mut self, frame: &[u8]) {
        self.subscribers.retain_mut(|subscriber| subscriber.write_all(frame).is_ok());
    }
}

/// A running discovery service; its threads end with the process.
#[derive(Clone)]
pub struct Discovery {
    /// The address to which routers connect.
    pub address: SocketAddr,
    list: Arc<Mutex<EndpointList>>,
}

impl Discovery {
    /// Starts a service with these endpoints on a free loopback port.
    pub fn start(endpoints: Vec<Endpoint>) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let list = Arc::new(Mutex::new(EndpointList { last_event: 1, endpoints, subscribers: Vec::new() }));
        let discovery = Self { address, list };
        let (acceptor, heartbeat_sender) = (discovery.clone(), discovery.clone());
        std::thread::spawn(move || acceptor.accept_subscribers(&listener));
        std::thread::spawn(move || heartbeat_sender.send_heartbeats());
        Ok(discovery)
    }

    /// Replaces the endpoint with the same id, or removes it if its new state is [`EngineState::Removed`]. Sends the
    /// change to all subscribers.
    pub fn change(&self, endpoint: Endpoint) {
        let mut list = self.list();
        list.last_event += 1;
        list.endpoints.retain(|other| other.id != endpoint.id);
        if endpoint.state != EngineState::Removed {
            list.endpoints.push(endpoint);
        }
        let change = encode_frame(list.last_event, FrameKind::Changes, &[endpoint]);
        list.send_to_subscribers(&change);
    }

    /// Locks the list. After a panic of another thread the list is still valid, since no change is left half done.
    fn list(&self) -> MutexGuard<'_, EndpointList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts the connections of routers. A router first sends the number of its last event, which is ignored: each
    /// router gets the complete list.
    fn accept_subscribers(&self, listener: &TcpListener) {
        for mut subscriber in listener.incoming().flatten() {
            if subscriber.read_exact(&mut [0; RESUME_BYTES]).is_err() {
                continue;
            }
            let mut list = self.list();
            let complete_list = encode_frame(list.last_event, FrameKind::CompleteList, &list.endpoints);
            if subscriber.write_all(&complete_list).is_ok() {
                list.subscribers.push(subscriber);
            }
        }
    }

    fn send_heartbeats(&self) {
        loop {
            std::thread::sleep(HEARTBEAT_INTERVAL);
            let mut list = self.list();
            let heartbeat = encode_heartbeat(list.last_event);
            list.send_to_subscribers(&heartbeat);
        }
    }
}
