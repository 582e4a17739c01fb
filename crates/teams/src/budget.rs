//! A team's budget, as a token bucket: it refills with work at a constant rate up to its burst, and each dispatch is
//! charged to it.

use crate::quotas::Allowance;
use std::time::Duration;

/// Tolerance for the rounding errors of sums of work.
const ROUNDING_TOLERANCE_S: f64 = 1e-9;

/// The token bucket of a team's budget. Amounts of work are in seconds of one core.
#[derive(Clone, Debug)]
pub struct Budget {
    allowance: Allowance,
    /// Remaining work; negative after the dispatch of a request that the budget did not cover or that exceeds the
    /// burst.
    remaining_s: f64,
    /// The time of the last refill.
    refilled_at: Duration,
}

impl Budget {
    /// Returns a full budget.
    pub fn full(allowance: Allowance, now: Duration) -> Self {
        Self { allowance, remaining_s: allowance.burst.as_secs_f64(), refilled_at: now }
    }

    /// Returns the refill rate, in seconds of work per second.
    fn refill_rate(&self) -> f64 {
        self.allowance.work.as_secs_f64() / self.allowance.period.as_secs_f64()
    }

    /// Returns the largest amount that the budget holds, in seconds of work.
    fn burst_s(&self) -> f64 {
        self.allowance.burst.as_secs_f64()
    }

    /// Returns the seconds of work that remain at `now`, without refilling the budget.
    pub fn remaining_at(&self, now: Duration) -> f64 {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        (self.remaining_s + elapsed_s * self.refill_rate()).min(self.burst_s())
    }

    /// Adds the work granted since the last refill.
    pub fn refill(&mut self, now: Duration) {
        self.remaining_s = self.remaining_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Charges `work_s` seconds of work. A negative charge is a refund, which fills the budget at most up to the burst.
    pub fn charge(&mut self, work_s: f64) {
        self.remaining_s = (self.remaining_s - work_s).min(self.burst_s());
    }

    /// Replaces the allowance. The work spent from the former burst is subtracted from the new one, so the remainder is at
    /// most the new burst.
    pub fn set_allowance(&mut self, allowance: Allowance, now: Duration) {
        self.refill(now);
        let spent_s = self.burst_s() - self.remaining_s;
        self.allowance = allowance;
        self.remaining_s = self.burst_s() - spent_s;
    }

    /// Returns the seconds of work that remained at the last refill or charge.
    pub fn remaining(&self) -> f64 {
        self.remaining_s
    }

    /// Returns the time from which the budget covers a request of `work_s` seconds; it may be in the past. A request
    /// larger than the burst is covered once the budget is full.
    pub fn covers_at(&self, work_s: f64) -> Duration {
        let missing_s = work_s.min(self.burst_s()) - self.remaining_s;
        let wait =
            Duration::try_from_secs_f64((missing_s / self.refill_rate()).max(0.0)).unwrap_or(Duration::MAX);
        // One nanosecond more, so that rounding does not leave the request uncovered at the returned time.
        let margin = Duration::from_nanos(u64::from(missing_s > 0.0));
        let covered_at = self.refilled_at.checked_add(wait).and_then(|at| at.checked_add(margin));
        covered_at.unwrap_or(Duration::MAX)
    }

    /// Whether the budget covered a request of `work_s` seconds at the last refill or charge. A request larger than the
    /// burst needs a full budget.
    pub fn covers(&self, work_s: f64) -> bool {
        work_s.min(self.burst_s()) <= self.remaining_s + ROUNDING_TOLERANCE_S
    }
}
