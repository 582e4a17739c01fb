//! Memory and cores, which requests use together.

/// MB and threads, or the parts of an engine's memory and cores that they make.
#[derive(Clone, Copy, Debug, Default)]
pub struct Resources {
    pub memory: f64,
    pub threads: f64,
}

impl Resources {
    /// Nothing of either.
    pub const NONE: Self = Self { memory: 0.0, threads: 0.0 };

    /// The sum of both.
    pub fn plus(self, other: Self) -> Self {
        Self { memory: self.memory + other.memory, threads: self.threads + other.threads }
    }

    /// Both times the same factor.
    pub fn scaled(self, factor: f64) -> Self {
        Self { memory: self.memory * factor, threads: self.threads * factor }
    }
}
