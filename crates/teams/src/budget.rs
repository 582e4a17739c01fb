//! A team's budget, as a token bucket of work: it fills evenly up to its burst and is charged on dispatch.

use crate::quotas::Allowance;
use std::time::Duration;

/// Tolerance for the rounding of sums, in seconds of work.
const ROUNDING_S: f64 = 1e-9;

/// What a team may still have done.
#[derive(Clone, Debug)]
pub struct Budget {
    allowance: Allowance,
    /// Seconds of work that are left; below 0 after a request larger than the burst.
    left: f64,
    /// The time for which `left` holds.
    updated: Duration,
}

impl Budget {
    /// A full budget.
    pub fn full(allowance: Allowance, now: Duration) -> Self {
        Self { allowance, left: allowance.burst.as_secs_f64(), updated: now }
    }

    /// Seconds of work that come in a second.
    fn rate(&self) -> f64 {
        self.allowance.work.as_secs_f64() / self.allowance.period.as_secs_f64()
    }

    fn burst(&self) -> f64 {
        self.allowance.burst.as_secs_f64()
    }

    /// Seconds of work that are left at a time from the last update on.
    pub fn left_at(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.updated).as_secs_f64();
        (self.left + since * self.rate()).min(self.burst())
    }

    /// Adds what has come since the last update.
    pub fn refill(&mut self, now: Duration) {
        self.left = self.left_at(now);
        self.updated = self.updated.max(now);
    }

    /// Charges seconds of work; a negative charge gives some back, up to the burst.
    pub fn charge(&mut self, work: f64) {
        self.left = (self.left - work).min(self.burst());
    }

    /// Replaces the allowance: what was spent stays spent, and what is left stays within the new burst.
    pub fn set_allowance(&mut self, allowance: Allowance, now: Duration) {
        self.refill(now);
        let spent = self.burst() - self.left;
        self.allowance = allowance;
        self.left = self.burst() - spent;
    }

    /// Seconds of work that were left at the last update.
    pub fn left(&self) -> f64 {
        self.left
    }

    /// When it covers a request of so many seconds of work, which may be in the past. A request larger than the
    /// burst is covered once the budget is full.
    pub fn covers_at(&self, work: f64) -> Duration {
        let missing = work.min(self.burst()) - self.left;
        let wait = Duration::try_from_secs_f64((missing / self.rate()).max(0.0)).unwrap_or(Duration::MAX);
        // Rounded up, so that the request is covered at that instant.
        let rounding = Duration::from_nanos(u64::from(missing > 0.0));
        let at = self.updated.checked_add(wait).and_then(|at| at.checked_add(rounding));
        at.unwrap_or(Duration::MAX)
    }

    /// Whether it covers a request of so many seconds of work now.
    pub fn covers(&self, work: f64) -> bool {
        work.min(self.burst()) <= self.left + ROUNDING_S
    }
}
