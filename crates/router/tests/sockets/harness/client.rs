//! A client of the router, which sends JSON-RPC lines and reads the answers.

use emberflow_peer_protocol::client::{ClientRequest, encode_cancellation, encode_status_request};
use emberflow_peer_protocol::request_id;
use serde_json::Value;
use socket2::SockRef;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// The timeout of an ordinary request.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// The timeout of a request that may be queued for long.
pub const LONG_REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// The result of [`TestClient::read_line`] once the router has closed the connection.
pub const CLOSED: &str = "closed";

/// The statement of every request.
const STATEMENT: &[u8] = b"select 1";
/// Estimate of the work of an ordinary request.
const ORDINARY_WORK_MS: f64 = 50.0;
/// Estimate of the memory of an ordinary request, many of which fit into an engine.
const ORDINARY_MEMORY_MB: f64 = 96.0;
/// Estimate of the work of a large request.
const LARGE_WORK_MS: f64 = 2000.0;
/// Estimate of the memory of a large request, of which only one fits into an engine.
const LARGE_MEMORY_MB: f64 = 12_000.0;

/// Returns a request that needs little of an engine.
pub fn request(id: u64, class: &str, timeout: Duration) -> ClientRequest {
    let request = ClientRequest::new(id, class, &request_id(id), timeout, STATEMENT);
    ClientRequest { work_ms: ORDINARY_WORK_MS, memory_mb: ORDINARY_MEMORY_MB, ..request }
}

/// Returns a short lookup that needs most of an engine's memory, so that other such requests are queued.
pub fn filling_request(id: u64) -> ClientRequest {
    ClientRequest { memory_mb: LARGE_MEMORY_MB, ..request(id, "lookup", LONG_REQUEST_TIMEOUT) }
}

/// Returns a lookup of a team, with estimates of two seconds of work and of most of an engine's memory.
pub fn large_request(team: &str, id: u64, timeout: Duration) -> ClientRequest {
    ClientRequest {
        team: Some(team.to_owned()),
        work_ms: LARGE_WORK_MS,
        memory_mb: LARGE_MEMORY_MB,
        ..request(id, "lookup", timeout)
    }
}

/// Returns the line that cancels a request.
pub fn cancellation_line(id: u64) -> Vec<u8> {
    encode_cancellation(&request_id(id))
}

/// Returns the line that requests the router's status.
pub fn status_line(id: u64) -> Vec<u8> {
    encode_status_request(id)
}

/// A client's connection to the router.
pub struct TestClient(BufReader<TcpStream>);

impl TestClient {
    /// Creates a client with a connected socket.
    pub fn new(socket: TcpStream) -> Self {
        Self(BufReader::new(socket))
    }

    /// Returns the socket, for operations that this type does not offer.
    pub fn socket(&self) -> &TcpStream {
        self.0.get_ref()
    }

    /// Sends bytes: a part of a line, or any number of lines.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("the router reads from its client");
    }

    /// Sends a text as a line.
    pub fn send_line(&mut self, line: &str) {
        self.send_bytes(format!("{line}\n").as_bytes());
    }

    /// Returns the next line, or [`CLOSED`].
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a line or the end of the connection");
        if line.is_empty() { CLOSED.into() } else { line.trim_end().into() }
    }

    /// Returns all text until the router closes the connection, and whether the connection was closed without a reset.
    pub fn read_to_end(&mut self) -> (String, bool) {
        let mut text = String::new();
        let end = self.0.read_to_string(&mut text);
        (text.trim_end().to_owned(), end.is_ok())
    }

    /// Sends an ordinary request of a class.
    pub fn send_request(&mut self, id: u64, class: &str) {
        self.send(&request(id, class, REQUEST_TIMEOUT));
    }

    /// Sends an ordinary request of a class with another timeout.
    pub fn send_request_within(&mut self, timeout: Duration, id: u64, class: &str) {
        self.send(&request(id, class, timeout));
    }

    /// Sends an ordinary request with the further parameters of a JSON object, whose values may be invalid.
    pub fn send_request_with(&mut self, parameters: &Value, id: u64, class: &str) {
        let further_parameters = parameters.as_object().expect("parameters are an object").clone();
        self.send(&ClientRequest { further_parameters, ..request(id, class, REQUEST_TIMEOUT) });
    }

    /// Sends a request.
    pub fn send(&mut self, request: &ClientRequest) {
        self.send_bytes(&request.encode());
    }

    /// Cancels a request.
    pub fn cancel(&mut self, id: u64) {
        self.send_bytes(&cancellation_line(id));
    }

    /// Requests the router's status and returns the response. The router has then read all earlier lines.
    pub fn status(&mut self, id: u64) -> String {
        self.send_bytes(&status_line(id));
        self.read_line()
    }

    /// Shuts down the sending side. The client still reads.
    pub fn shut_down_sending(&self) {
        self.socket().shutdown(Shutdown::Write).expect("the sending side was open");
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        SockRef::from(self.socket()).set_linger(Some(Duration::ZERO)).expect("a socket takes SO_LINGER");
    }
}
