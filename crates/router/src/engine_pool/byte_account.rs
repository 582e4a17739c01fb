//! Counts the bytes that are held for one purpose, and limits them.

/// The bytes in use for one purpose, all owners together.
#[derive(Clone, Debug)]
pub(super) struct ByteAccount {
    used: usize,
    limit: usize,
}

impl ByteAccount {
    /// Creates an account with a limit in bytes, of which none is in use.
    pub fn with_limit(limit: usize) -> Self {
        Self { used: 0, limit }
    }

    /// Counts further bytes as in use, unless they would exceed the limit. Returns whether they are within it.
    pub fn charge(&mut self, bytes: usize) -> bool {
        let is_within_limit = bytes <= self.limit.saturating_sub(self.used);
        if is_within_limit {
            self.used += bytes;
        }
        is_within_limit
    }

    /// Counts further bytes as in use, even beyond the limit. The caller releases them before it handles other input.
    pub fn charge_briefly(&mut self, bytes: usize) {
        self.used += bytes;
    }

    /// Counts bytes that were charged before as free.
    pub fn release(&mut self, bytes: usize) {
        self.used -= bytes;
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used
    }
}
