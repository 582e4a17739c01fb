//! The buffer of one direction of a connection.

use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Result, Write};

/// Bytes read from a socket at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// The capacity that an empty buffer may keep: little, since there are many and each grows for a large answer some day.
const MAX_EMPTY_CAPACITY: usize = 4 * 1024;

/// Bytes that were received and not yet consumed, or are to be sent.
#[derive(Clone, Default)]
pub struct Ring {
    bytes: VecDeque<u8>,
    /// Bytes that were ever consumed or sent.
    passed: u64,
}

/// How reading into a buffer ended.
#[derive(Debug, PartialEq)]
pub enum Filled {
    /// The socket has no more for now.
    Drained,
    /// The buffer holds as much as was asked for; the socket may have more.
    Enough,
    /// The peer has closed its side.
    Closed,
}

impl Ring {
    /// Bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the buffer holds nothing.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The offset of the buffer's end among all bytes that ever passed through it.
    pub fn end(&self) -> u64 {
        self.passed + self.bytes.len() as u64
    }

    /// The offset of the buffer's front among all bytes that ever passed through it.
    pub fn passed(&self) -> u64 {
        self.passed
    }

    /// Adds bytes at the end.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
    }

    /// All bytes in the buffer.
    pub fn readable(&mut self) -> &[u8] {
        self.bytes.make_contiguous()
    }

    /// Takes bytes out of the front.
    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
        self.passed += count as u64;
        if self.bytes.is_empty() && self.bytes.capacity() > MAX_EMPTY_CAPACITY {
            self.bytes = VecDeque::new();
        }
    }

    /// Removes bytes from the front that are not to be sent; they do not count as passed.
    pub fn cut(&mut self, count: usize) {
        self.bytes.drain(..count);
    }

    /// Reads until the socket has no more or the buffer holds `max_bytes`.
    pub fn fill(&mut self, from: &mut impl Read, max_bytes: usize) -> Result<Filled> {
        let mut chunk = [0; CHUNK_BYTES];
        while self.bytes.len() < max_bytes {
            let capacity = CHUNK_BYTES.min(max_bytes - self.bytes.len());
            match from.read(&mut chunk[..capacity]) {
                Ok(0) => return Ok(Filled::Closed),
                Ok(count) => self.push(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(Filled::Drained),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(Filled::Enough)
    }

    /// Writes until nothing is left or the socket accepts no more.
    pub fn drain(&mut self, to: &mut impl Write) -> Result<()> {
        while !self.bytes.is_empty() {
            match to.write(self.bytes.as_slices().0) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.consume(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}
