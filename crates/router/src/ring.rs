//! The ring buffer of one direction of a connection.

use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Result, Write};

/// Read at once from a socket.
const CHUNK: usize = 16 * 1024;
/// Kept by a buffer that has run empty: little, since there are many and each meets a large answer some day.
const KEPT: usize = 4 * 1024;

#[derive(Clone, Default)]
pub struct Ring {
    bytes: VecDeque<u8>,
    /// All that was ever taken out at the server.
    passed: u64,
}

#[derive(Debug, PartialEq)]
pub enum Filled {
    /// The socket has no more for now.
    Drained,
    /// As much as was asked for; there may be more.
    Enough,
    /// The other side has closed.
    Closed,
}

impl Ring {
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The count of the byte that comes next at the end, from the first that ever came.
    pub fn end(&self) -> u64 {
        self.passed + self.bytes.len() as u64
    }

    pub fn passed(&self) -> u64 {
        self.passed
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
    }

    pub fn readable(&mut self) -> &[u8] {
        self.bytes.make_contiguous()
    }

    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
        self.passed += count as u64;
        if self.bytes.is_empty() && self.bytes.capacity() > KEPT {
            self.bytes = VecDeque::new();
        }
    }

    /// Takes out bytes at the server that were never to leave.
    pub fn cut(&mut self, count: usize) {
        self.bytes.drain(..count);
    }

    /// Reads until the socket has no more or the buffer holds `most`.
    pub fn fill(&mut self, from: &mut impl Read, most: usize) -> Result<Filled> {
        let mut chunk = [0; CHUNK];
        while self.bytes.len() < most {
            let room = CHUNK.min(most - self.bytes.len());
            match from.read(&mut chunk[..room]) {
                Ok(0) => return Ok(Filled::Closed),
                Ok(count) => self.push(&chunk[..count]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(Filled::Drained),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(Filled::Enough)
    }

    /// Writes until nothing is left or the socket takes no more.
    pub fn drain(&mut self, to: &mut impl Write) -> Result<()> {
        while !self.bytes.is_empty() {
            match to.write(self.bytes.as_slices().0) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.consume(count),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}
