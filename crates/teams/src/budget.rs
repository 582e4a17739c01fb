//! A team's budget, as a token bucket of work: it fills evenly up to its burst and is charged on dispatch.

use crate::quotas::Allowance;
use std::time::Duration;

/// Tolerance for the rounding of sums, in seconds of work.
const ROUNDING_S: f64 = 1e-9;

/// The token bucket of a team's budget.
#[derive(Clone, Debug)]
pub struct Budget {
    allowance: Allowance,
    /// Remaining work, in seconds of one core; below 0 after a request larger than the burst.
    remaining: f64,
    /// The time of the last refill.
    updated: Duration,
}

impl Budget {
    /// Returns a full budget.
    pub fn full(allowance: Allowance, now: Duration) -> Self {
        Self { allowance, remaining: allowance.burst.as_secs_f64(), updated: now }
    }

    /// Returns the refill rate, in seconds of work per second.
    fn rate(&self) -> f64 {
        self.allowance.work.as_secs_f64() / self.allowance.period.as_secs_f64()
    }

    /// Returns the largest amount that the budget holds, in seconds of work.
    fn burst(&self) -> f64 {
        self.allowance.burst.as_secs_f64()
    }

    /// Returns the seconds of work that remain at `now`, without refilling the budget.
    pub fn remaining_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        (self.remaining + elapsed * self.rate()).min(self.burst())
    }

    /// Adds the work granted since the last refill.
    pub fn refill(&mut self, now: Duration) {
        self.remaining = self.remaining_at(now);
        self.updated = self.updated.max(now);
    }

    /// Charges `work` seconds of work. A negative charge is a refund, which fills the budget up to the burst at most.
    pub fn charge(&mut self, work: f64) {
        self.remaining = (self.remaining - work).min(self.burst());
    }

    /// Replaces the allowance. Spent work stays spent, and the remainder is at most the new burst.
    pub fn set_allowance(&mut self, allowance: Allowance, now: Duration) {
        self.refill(now);
        let spent = self.burst() - self.remaining;
        self.allowance = allowance;
        self.remaining = self.burst() - spent;
    }

    /// Returns the seconds of work that remained at the last refill or charge.
    pub fn remaining(&self) -> f64 {
        self.remaining
    }

    /// Returns the time from which the budget covers a request of `work` seconds; it may be in the past. A request
    /// larger than the burst is covered once the budget is full.
    pub fn covers_at(&self, work: f64) -> Duration {
        let missing = work.min(self.burst()) - self.remaining;
        let wait = Duration::try_from_secs_f64((missing / self.rate()).max(0.0)).unwrap_or(Duration::MAX);
        // One nanosecond more, so that rounding does not leave the request uncovered at the returned time.
        let rounding = Duration::from_nanos(u64::from(missing > 0.0));
        let at = self.updated.checked_add(wait).and_then(|at| at.checked_add(rounding));
        at.unwrap_or(Duration::MAX)
    }

    /// Whether the budget, as last refilled, covers a request of `work` seconds.
    pub fn covers(&self, work: f64) -> bool {
        work.min(self.burst()) <= self.remaining + ROUNDING_S
    }
}
