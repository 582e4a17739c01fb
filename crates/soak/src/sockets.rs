//! Non-blocking connections with buffers for input and output.

use crate::arrivals::Arrivals;
use emberflow_peer_protocol::client::take_line;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::io::{self, ErrorKind, Read, Write};
use std::time::Duration;

const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of unconsumed bytes, and of unwritten bytes, of a connection; above it the connection is ended.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Whether a connection is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamState {
    Open,
    Ended,
}

/// A connection and its buffers.
pub struct Stream {
    socket: TcpStream,
    /// Bytes that were read and not yet consumed.
    input: Vec<u8>,
    arrivals: Arrivals,
    output: Vec<u8>,
    /// While true, nothing is written and all output stays in the buffer.
    pub is_muted: bool,
    /// Maximum length of each write, in bytes; `None` for no limit.
    pub write_size: Option<usize>,
}

impl Stream {
    /// Returns the stream of a socket and registers it for reading and writing.
    pub fn register(mut socket: TcpStream, token: Token, registry: &Registry) -> io::Result<Self> {
        registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE)?;
        // If the option cannot be set, messages are only delayed, which the checks allow for.
        let _ = socket.set_nodelay(true);
        Ok(Self {
            socket,
            input: Vec::new(),
            arrivals: Arrivals::default(),
            output: Vec::new(),
            is_muted: false,
            write_size: None,
        })
    }

    /// Returns the bytes that were read and not yet consumed.
    pub fn input(&self) -> &[u8] {
        &self.input
    }

    /// Reads all bytes that have arrived, and records `now` as their arrival time.
    pub fn fill(&mut self, now: Duration) -> StreamState {
        let length_before = self.input.len();
        let state = self.read();
        self.arrivals.record_received(self.input.len() - length_before, now);
        state
    }

    /// Removes `count` bytes from the front of the input; returns when the last of them arrived.
    pub fn consume(&mut self, count: usize) -> Duration {
        self.input.drain(..count);
        self.arrivals.consume(count)
    }

    /// Removes the first complete line from the input.
    pub fn take_line(&mut self) -> Option<Vec<u8>> {
        let line = take_line(&mut self.input)?;
        self.arrivals.consume(line.len());
        Some(line)
    }

    fn read(&mut self) -> StreamState {
        let mut chunk = [0; READ_CHUNK_BYTES];
        while self.input.len() < MAX_BUFFERED_BYTES {
            match self.socket.read(&mut chunk) {
                Ok(0) => return StreamState::Ended,
                Ok(count) => self.input.extend(&chunk[..count]),
                Err(error) => match error.kind() {
                    ErrorKind::WouldBlock | ErrorKind::NotConnected => return StreamState::Open,
                    ErrorKind::Interrupted => {}
                    _ => return StreamState::Ended,
                },
            }
        }
        StreamState::Ended
    }

    /// Appends bytes to the output and writes as much as the socket takes.
    pub fn send(&mut self, bytes: &[u8]) -> StreamState {
        self.output.extend(bytes);
        self.flush()
    }

    /// Writes as much of the output as the socket takes.
    pub fn flush(&mut self) -> StreamState {
        while !self.output.is_empty() && !self.is_muted {
            let length = self.write_size.unwrap_or(usize::MAX).min(self.output.len());
            match self.socket.write(&self.output[..length]) {
                Ok(count) => drop(self.output.drain(..count)),
                Err(error) => match error.kind() {
                    ErrorKind::WouldBlock | ErrorKind::NotConnected => break,
                    ErrorKind::Interrupted => {}
                    _ => return StreamState::Ended,
                },
            }
        }
        if self.output.len() > MAX_BUFFERED_BYTES { StreamState::Ended } else { StreamState::Open }
    }

    /// Whether all output has been written.
    pub fn is_flushed(&self) -> bool {
        self.output.is_empty()
    }

    /// Makes the connection end with a reset when it is closed.
    pub fn reset_on_close(&self) {
        // If the option cannot be set, the connection has already ended.
        let _ = socket2::SockRef::from(&self.socket).set_linger(Some(Duration::ZERO));
    }
}
