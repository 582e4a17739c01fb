//! A byte buffer for one direction of a connection, with offsets into the stream of all bytes.

use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Result, Write};

/// Limit of the bytes read from a socket by one system call.
const CHUNK_BYTES: usize = 16 * 1024;
/// Limit of the capacity that an empty buffer retains. Each of the router's many buffers may grow for a large answer,
/// and would otherwise keep that memory.
const MAX_EMPTY_CAPACITY: usize = 4 * 1024;
/// Capacity as a multiple of the content above which a buffer returns memory, so that the rest of a large input does
/// not hold the memory of the whole.
const MAX_CAPACITY_RATIO: usize = 4;

/// A queue of bytes that were received and not yet consumed, or that are not sent yet.
#[derive(Clone, Default)]
pub struct RingBuffer {
    bytes: VecDeque<u8>,
    /// Offset of the first byte in the stream of all bytes: the number of bytes that were consumed or sent before it.
    front_offset: u64,
}

/// Why reading into a buffer ended.
#[derive(Debug, PartialEq)]
pub enum FillOutcome {
    /// The socket has no more input at present.
    WouldBlock,
    /// The buffer holds the requested number of bytes. The socket may have more.
    LimitReached,
    /// The peer has shut down its sending side.
    Closed,
}

impl RingBuffer {
    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the number of bytes of memory that the buffer holds.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns the offset of the buffer's end in the stream of all bytes.
    pub fn end_offset(&self) -> u64 {
        self.front_offset + self.bytes.len() as u64
    }

    /// Returns the offset of the buffer's front in the stream of all bytes.
    pub fn front_offset(&self) -> u64 {
        self.front_offset
    }

    /// Appends bytes to the end of the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
    }

    /// Returns all bytes in the buffer as one slice.
    pub fn contents(&mut self) -> &[u8] {
        self.bytes.make_contiguous()
    }

    /// Removes bytes from the front that were handled or sent, and advances the offset of the front.
    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
        self.front_offset += count as u64;
        self.release_capacity();
    }

    /// Returns the memory that is far larger than the content needs.
    fn release_capacity(&mut self) {
        let needed = self.bytes.len().max(MAX_EMPTY_CAPACITY / MAX_CAPACITY_RATIO);
        if self.bytes.capacity() > needed * MAX_CAPACITY_RATIO {
            self.bytes.shrink_to(self.bytes.len());
        }
    }

    /// Removes unsent bytes from the front, which are never sent. The offset of the front stays the same, since it
    /// counts only bytes that were sent.
    pub fn remove_unsent(&mut self, count: usize) {
        self.bytes.drain(..count);
    }

    /// Reads until the socket has no more input, or until the buffer holds `max_bytes`.
    ///
    /// # Errors
    /// Returns the error of a socket that has failed. The bytes that were read before stay in the buffer.
    pub fn fill(&mut self, socket: &mut impl Read, max_bytes: usize) -> Result<FillOutcome> {
        let mut chunk = [0; CHUNK_BYTES];
        while self.bytes.len() < max_bytes {
            let capacity = CHUNK_BYTES.min(max_bytes - self.bytes.len());
            match socket.read(&mut chunk[..capacity]) {
                Ok(0) => return Ok(FillOutcome::Closed),
                Ok(count) => self.push(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(FillOutcome::WouldBlock),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(FillOutcome::LimitReached)
    }

    /// Writes until the buffer is empty, or until the socket accepts no more bytes.
    ///
    /// # Errors
    /// Returns the error of a socket that has failed.
    pub fn write_to(&mut self, socket: &mut impl Write) -> Result<()> {
        while !self.bytes.is_empty() {
            match socket.write(self.bytes.as_slices().0) {
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
