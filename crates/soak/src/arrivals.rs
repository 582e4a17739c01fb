//! Arrival times of the bytes that a connection has received.

use std::collections::VecDeque;
use std::time::Duration;

/// A part of the input that arrived at one time.
struct Arrival {
    /// Offset of the part's end, counted from the first byte that the connection received.
    end_offset: u64,
    at: Duration,
}

/// Arrival times of the bytes that were received and not yet consumed.
#[derive(Default)]
pub struct Arrivals {
    parts: VecDeque<Arrival>,
    received_bytes: u64,
    consumed_bytes: u64,
}

impl Arrivals {
    /// Records that `count` bytes have arrived.
    pub fn record_received(&mut self, count: usize, now: Duration) {
        if count > 0 {
            self.received_bytes += count as u64;
            self.parts.push_back(Arrival { end_offset: self.received_bytes, at: now });
        }
    }

    /// Consumes the next `count` received bytes; returns when the last of them arrived.
    pub fn consume(&mut self, count: usize) -> Duration {
        self.consumed_bytes += count as u64;
        while let Some(Arrival { end_offset, at }) = self.parts.front() {
            let (end_offset, at) = (*end_offset, *at);
            if end_offset <= self.consumed_bytes {
                self.parts.pop_front();
            }
            if end_offset >= self.consumed_bytes {
                return at;
            }
        }
        Duration::ZERO
    }
}
