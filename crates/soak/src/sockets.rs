//! Non-blocking connections with buffers, addressed by tokens.

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;
use std::time::Duration;

const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Unread or unwritten bytes of a connection at the most.
const MOST_BUFFERED_BYTES: usize = 1 << 20;

/// Whether a connection can be used on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamState {
    Open,
    Ended,
}

/// A connection and its buffers.
pub struct Stream {
    socket: TcpStream,
    pub input: Vec<u8>,
    /// Offsets of the input's end among all that was read, and when so much had arrived.
    arrivals: VecDeque<(u64, Duration)>,
    /// Bytes that were taken out of the input.
    consumed: u64,
    output: Vec<u8>,
    /// While set nothing is written; what is to be written waits.
    pub is_muted: bool,
    /// Bytes written at a time; 0 for all at once.
    pub piece_bytes: usize,
}

impl Stream {
    /// Registers a connection.
    pub fn register(mut socket: TcpStream, token: Token, registry: &Registry) -> io::Result<Self> {
        registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE)?;
        // A connection that is being made accepts this as well.
        let _ = socket.set_nodelay(true);
        Ok(Self {
            socket,
            input: Vec::new(),
            arrivals: VecDeque::new(),
            consumed: 0,
            output: Vec::new(),
            is_muted: false,
            piece_bytes: 0,
        })
    }

    /// Reads all that has arrived by now.
    pub fn fill(&mut self, now: Duration) -> StreamState {
        let length_before = self.input.len();
        let state = self.read();
        if self.input.len() > length_before {
            self.arrivals.push_back((self.consumed + self.input.len() as u64, now));
        }
        state
    }

    /// Takes bytes out of the front of the input; returns when the last of them had arrived.
    pub fn consume(&mut self, count: usize) -> Duration {
        self.input.drain(..count);
        self.consumed += count as u64;
        let mut arrived_at = Duration::ZERO;
        while let Some((end, at)) = self.arrivals.front() {
            arrived_at = *at;
            if *end > self.consumed {
                break;
            }
            let is_last = *end == self.consumed;
            self.arrivals.pop_front();
            if is_last {
                break;
            }
        }
        arrived_at
    }

    fn read(&mut self) -> StreamState {
        let mut chunk = [0; READ_CHUNK_BYTES];
        while self.input.len() < MOST_BUFFERED_BYTES {
            match self.socket.read(&mut chunk) {
                Ok(0) => return StreamState::Ended,
                Ok(count) => self.input.extend(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return StreamState::Open,
                Err(error) if error.kind() == ErrorKind::NotConnected => return StreamState::Open,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return StreamState::Ended,
            }
        }
        StreamState::Ended
    }

    /// Adds bytes to the output and writes what the socket takes.
    pub fn send(&mut self, bytes: &[u8]) -> StreamState {
        self.output.extend(bytes);
        self.flush()
    }

    /// Writes what the socket takes, one piece of it where it is written in pieces.
    pub fn flush(&mut self) -> StreamState {
        while !self.output.is_empty() && !self.is_muted {
            let is_in_pieces = self.piece_bytes > 0 && self.piece_bytes < self.output.len();
            let length = if is_in_pieces { self.piece_bytes } else { self.output.len() };
            match self.socket.write(&self.output[..length]) {
                Ok(count) => drop(self.output.drain(..count)),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    break;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return StreamState::Ended,
            }
        }
        if self.output.len() > MOST_BUFFERED_BYTES { StreamState::Ended } else { StreamState::Open }
    }

    /// Whether all output was written.
    pub fn is_flushed(&self) -> bool {
        self.output.is_empty()
    }

    /// Ends the own side.
    pub fn shut_down_writing(&self) {
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    /// Makes the close a reset.
    pub fn reset_on_close(&self) {
        let _ = socket2::SockRef::from(&self.socket).set_linger(Some(Duration::ZERO));
    }
}
