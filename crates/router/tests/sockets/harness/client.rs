//! A client of the router, which sends JSON-RPC lines and reads the answers.

use socket2::SockRef;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// The statement of every request: `select 1`, in base64.
const STATEMENT: &str = "c2VsZWN0IDE=";
/// Memory that a request needs so that no other like it fits into an engine beside it.
const MOST_OF_AN_ENGINE_MB: u32 = 12_000;
/// What [`TestClient::read_line`] returns once the router has closed the connection.
pub const CLOSED: &str = "closed";

/// The line of a request that needs little of an engine. `fields` are further parameters in JSON, each with a comma
/// behind it.
pub fn request_line(fields: &str, id: u64, class: &str, timeout_ms: u64) -> String {
    format!(
        r#"{{"jsonrpc":"2.0","id":{id},"method":"{class}","params":{{{fields}"req":"{id:016x}","timeout":{timeout_ms},"ms":50.0,"memory":96,"data":"{STATEMENT}"}}}}"#
    ) + "\n"
}

/// The line, without its end, that withdraws a request.
pub fn withdraw_line(id: u64) -> String {
    format!(r#"{{"jsonrpc":"2.0","method":"withdraw","params":{{"req":"{id:016x}"}}}}"#)
}

/// The line, without its end, that asks for the router's status.
pub fn status_line(id: u64) -> String {
    format!(r#"{{"jsonrpc":"2.0","id":{id},"method":"status"}}"#)
}

/// A client's connection to the router.
pub struct TestClient(BufReader<TcpStream>);

impl TestClient {
    /// Takes over a connected socket.
    pub fn new(socket: TcpStream) -> Self {
        Self(BufReader::new(socket))
    }

    /// The socket, for what has no method here.
    pub fn socket(&self) -> &TcpStream {
        self.0.get_ref()
    }

    /// Sends bytes that may be a part of a line, or many lines.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("the router reads from its client");
    }

    /// Sends a line, or several with line ends between them.
    pub fn send_line(&mut self, line: &str) {
        self.send_bytes(format!("{line}\n").as_bytes());
    }

    /// The next line, or [`CLOSED`].
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a line or the end of the connection");
        if line.is_empty() { CLOSED.into() } else { line.trim_end().into() }
    }

    /// All that comes until the router closes the connection, and whether it was closed without a reset.
    pub fn read_to_end(&mut self) -> (String, bool) {
        let mut text = String::new();
        let end = self.0.read_to_string(&mut text);
        (text.trim_end().to_owned(), end.is_ok())
    }

    /// Sends a request of a class.
    pub fn send_request(&mut self, id: u64, class: &str, timeout_ms: u64) {
        self.send_request_with("", id, class, timeout_ms);
    }

    /// Sends a request with further parameters; see [`request_line`].
    pub fn send_request_with(&mut self, fields: &str, id: u64, class: &str, timeout_ms: u64) {
        self.send_line(request_line(fields, id, class, timeout_ms).trim_end());
    }

    /// Sends a lookup of two seconds that needs most of an engine's memory, for a team.
    pub fn send_large_request(&mut self, team: &str, id: u64, timeout_ms: u64, fields: &str) {
        self.send_line(&format!(
            r#"{{"jsonrpc":"2.0","id":{id},"method":"lookup","params":{{"team":"{team}",{fields}"req":"{id:016x}","timeout":{timeout_ms},"ms":2000,"memory":{MOST_OF_AN_ENGINE_MB},"data":"{STATEMENT}"}}}}"#
        ));
    }

    /// Sends a short lookup that needs most of an engine's memory, so that others like it are queued.
    pub fn send_filling_request(&mut self, id: u64) {
        self.send_line(&format!(
            r#"{{"jsonrpc":"2.0","id":{id},"method":"lookup","params":{{"req":"{id:016x}","timeout":60000,"ms":50,"memory":{MOST_OF_AN_ENGINE_MB},"data":"{STATEMENT}"}}}}"#
        ));
    }

    /// Asks for the router's status and returns the answer: all that was sent before has been read by then.
    pub fn status(&mut self, id: u64) -> String {
        self.send_line(&status_line(id));
        self.read_line()
    }

    /// Ends its sending side; the client still reads.
    pub fn shut_down_sending(&self) {
        self.socket().shutdown(Shutdown::Write).expect("the sending side was open");
    }

    /// Ends the connection by a reset.
    pub fn reset(self) {
        SockRef::from(self.socket()).set_linger(Some(Duration::ZERO)).expect("a socket takes SO_LINGER");
    }
}
