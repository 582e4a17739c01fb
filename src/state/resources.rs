//! The memory and threads that attempts reserve at engines.

/// An amount of memory and threads.
#[derive(Clone, Copy, Debug, Default)]
pub struct Resources {
    /// Sum of the memory grants in MB.
    pub memory_mb: f64,
    /// Threads, each of which keeps one core busy.
    pub threads: f64,
}

impl Resources {
    /// No memory and no threads.
    pub const NONE: Self = Self { memory_mb: 0.0, threads: 0.0 };

    /// Returns the sum of two amounts.
    pub fn plus(self, other: Self) -> Self {
        Self { memory_mb: self.memory_mb + other.memory_mb, threads: self.threads + other.threads }
    }

    /// Returns the amount times a factor.
    pub fn scaled(self, factor: f64) -> Self {
        Self { memory_mb: self.memory_mb * factor, threads: self.threads * factor }
    }
}
