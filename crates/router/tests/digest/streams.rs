//! The sides of emulated connections that the server reads and writes.

use emberflow_router::clients::ClientInput;
use std::io::{ErrorKind, Read, Result, Write};

/// The state of a connection after the bytes that it has received: open, ended by the peer, or reset.
#[derive(Clone, Copy)]
pub enum StreamEnd {
    WouldBlock,
    EndOfStream,
    Reset,
}

/// The received bytes of a connection, and its state after them.
pub struct ReceivedBytes<'a>(pub &'a [u8], pub StreamEnd);

impl ClientInput for ReceivedBytes<'_> {}

impl Read for ReceivedBytes<'_> {
    fn read(&mut self, into: &mut [u8]) -> Result<usize> {
        match (self.0.read(into)?, self.1) {
            (0, StreamEnd::WouldBlock) => Err(ErrorKind::WouldBlock.into()),
            (0, StreamEnd::Reset) => Err(ErrorKind::ConnectionReset.into()),
            (count, _) => Ok(count),
        }
    }
}

/// A peer's side of a connection that accepts a limited number of bytes and then would block.
pub struct LimitedSink {
    pub capacity: usize,
    pub written: Vec<u8>,
}

impl Write for LimitedSink {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        let count = bytes.len().min(self.capacity);
        if count == 0 && !bytes.is_empty() {
            return Err(ErrorKind::WouldBlock.into());
        }
        self.capacity -= count;
        self.written.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}
