//! Memory and threads that attempts reserve at engines.

/// An amount of memory and threads: in MB and threads, or as fractions of an engine's memory and cores.
#[derive(Clone, Copy, Debug, Default)]
pub struct Resources {
    pub memory: f64,
    pub threads: f64,
}

impl Resources {
    /// No memory and no threads.
    pub const NONE: Self = Self { memory: 0.0, threads: 0.0 };

    /// Returns the sum of two amounts.
    pub fn plus(self, other: Self) -> Self {
        Self { memory: self.memory + other.memory, threads: self.threads + other.threads }
    }

    /// Returns the amount times a factor.
    pub fn scaled(self, factor: f64) -> Self {
        Self { memory: self.memory * factor, threads: self.threads * factor }
    }
}
