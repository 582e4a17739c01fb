//! The peers of a router under test: connects clients, and accepts connections as its engines and discovery service.

use super::client::TestClient;
use super::discovery::TestDiscovery;
use super::engine::TestEngine;
use super::process::RouterHarness;
use super::sockets::{POLL_INTERVAL, accept, local_address, with_test_timeout};
use std::net::{SocketAddr, TcpListener, TcpStream};

impl RouterHarness {
    /// Connects `count` clients, whose reads fail after the test timeout.
    pub fn connect_clients(&self, count: usize) -> Vec<TestClient> {
        (0..count).map(|_| self.connect_client()).collect()
    }

    /// Connects a client, whose reads fail after the test timeout.
    pub fn connect_client(&self) -> TestClient {
        let socket = TcpStream::connect(self.address).expect("the router listens");
        TestClient::new(with_test_timeout(socket))
    }

    /// Returns the engine at an index of the endpoint list.
    pub fn engine(&self, index: usize) -> TestEngine {
        TestEngine::new(&self.engine_listeners[index])
    }

    /// Returns the address of the engine at an index of the endpoint list.
    pub fn engine_address(&self, index: usize) -> SocketAddr {
        local_address(&self.engine_listeners[index])
    }

    /// Returns the id of an engine in the endpoint list.
    pub fn endpoint_id_of(&self, engine: &TestEngine) -> u32 {
        let address = engine.address();
        let index = self.engine_listeners.iter().position(|listener| local_address(listener) == address);
        index.expect("the engine is one of this router's") as u32
    }

    /// Returns both engines of a router with two. The engine that receives the first command comes first.
    pub fn two_engines_by_first_command(&self) -> Vec<TestEngine> {
        let mut engines: Vec<_> = self.engine_listeners.iter().map(TestEngine::new).collect();
        let first = (0..)
            .map(|attempt| attempt % 2)
            .find(|index| engines[*index].has_command_within(POLL_INTERVAL))
            .expect("an endless search only ends with an engine");
        engines.rotate_left(first);
        engines
    }

    /// Accepts the router's connection to discovery, and records after which event the router resumes.
    pub fn accept_discovery(&mut self) -> TestDiscovery {
        let mut discovery = TestDiscovery::new(accept(&self.discovery_listener));
        let last_event = discovery.read_resume_event();
        self.record(format!("discovery dialled after event {last_event}"));
        discovery
    }

    /// Moves discovery to another port. Returns the configuration with the new address.
    pub fn move_discovery(&mut self) -> String {
        let host = local_address(&self.discovery_listener).ip();
        let moved = TcpListener::bind((host, 0)).expect("a loopback port is free");
        let previous = std::mem::replace(&mut self.discovery_listener, moved);
        let previous_address = local_address(&previous).to_string();
        let moved_address = local_address(&self.discovery_listener).to_string();
        self.configuration_text.replace(&previous_address, &moved_address)
    }

    /// Refuses further connections to discovery. Returns the address on which discovery listened.
    pub fn close_discovery_listener(&mut self) -> SocketAddr {
        let address = local_address(&self.discovery_listener);
        let unused = TcpListener::bind((address.ip(), 0)).expect("a loopback port is free");
        drop(std::mem::replace(&mut self.discovery_listener, unused));
        address
    }

    /// Accepts connections to discovery at an address again.
    pub fn listen_for_discovery(&mut self, address: SocketAddr) {
        self.discovery_listener = TcpListener::bind(address).expect("the address was released before");
    }
}
