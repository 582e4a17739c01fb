//! A team's budget: it fills evenly up to its burst, and is charged when work is let go.

use crate::charter::Allowance;
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Budget {
    allowance: Allowance,
    /// What is left, in seconds of work; below 0 after a request larger than all of it.
    left: f64,
    at: Duration,
}

impl Budget {
    /// A full one.
    pub fn full(allowance: Allowance, now: Duration) -> Self {
        Self { allowance, left: allowance.burst.as_secs_f64(), at: now }
    }

    fn rate(&self) -> f64 {
        self.allowance.work.as_secs_f64() / self.allowance.over.as_secs_f64()
    }

    /// What is left by then, in seconds of work.
    pub fn left_at(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.at).as_secs_f64();
        (self.left + since * self.rate()).min(self.allowance.burst.as_secs_f64())
    }

    /// Takes in what has come since.
    pub fn fill(&mut self, now: Duration) {
        (self.left, self.at) = (self.left_at(now), self.at.max(now));
    }

    /// Charges work, in seconds; below 0 gives some back.
    pub fn charge(&mut self, work: f64) {
        self.left = (self.left - work).min(self.allowance.burst.as_secs_f64());
    }

    /// Another allowance: what was spent stays spent, what is left stays within the new burst.
    pub fn change(&mut self, allowance: Allowance, now: Duration) {
        self.fill(now);
        let spent = self.allowance.burst.as_secs_f64() - self.left;
        self.allowance = allowance;
        self.left = allowance.burst.as_secs_f64() - spent;
    }

    pub fn left(&self) -> f64 {
        self.left
    }

    /// When it bears a request of so many seconds of work: now, or once enough has come; a request larger than the
    /// burst, once that is full.
    pub fn bears_at(&self, work: f64) -> Duration {
        let missing = work.min(self.allowance.burst.as_secs_f64()) - self.left;
        // Rounded up, so that it is borne at that instant.
        let wait = Duration::try_from_secs_f64((missing / self.rate()).max(0.0)).unwrap_or(Duration::MAX);
        let tick = Duration::from_nanos(u64::from(missing > 0.0));
        self.at.checked_add(wait).and_then(|at| at.checked_add(tick)).unwrap_or(Duration::MAX)
    }

    pub fn bears(&self, work: f64) -> bool {
        work.min(self.allowance.burst.as_secs_f64()) <= self.left + 1e-9
    }
}
