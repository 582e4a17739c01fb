//! Slow start: an engine that has just started gets no more than it can take.

use super::*;

/// Part of the cores that is busy at the capacity which a warm-up is measured by.
const BUSY_AT_CAPACITY: f64 = 0.85;

impl SchedulerState {
    /// Guards warming engines: this router's part of what a starting engine takes in any window, by the usual
    /// work of the request class. With many routers that is under one request: then one in a longer window,
    /// from a point in it that chance sets, so that the parts still add up, to half of the whole at most.
    pub fn fits_slow_start(
        &self,
        id: EngineId,
        engine: &Engine,
        request: &Request,
        snapshot: &FleetSnapshot,
    ) -> bool {
        let now = snapshot.now;
        let Some(budget) = self.slow_start_budget(engine, now, snapshot.slow_start_share) else {
            return true;
        };
        let usual = self.slow_start_work(request.class);
        let times = if usual > budget { 2.0 * usual / budget } else { 1.0 };
        let window = self.attempt_limits.overload_window.mul_f64(times.min(1e6));
        let sent: f64 = engine.sent_work.since(now.saturating_sub(window)).sum();
        let offset = self.chance(id, engine.listed_at.as_micros() as u64) as f64 / u64::MAX as f64;
        let has_begun = times == 1.0 || now >= engine.listed_at + window.mul_f64(offset);
        sent + usual <= budget.max(usual) && has_begun
    }

    /// Usual work in seconds that this router may send an engine in any window; `None` once it is warm.
    pub fn slow_start_budget(&self, engine: &Engine, now: Duration, share: f64) -> Option<f64> {
        let limits = &self.attempt_limits;
        let age = now.saturating_sub(engine.warming_since?);
        let warmth = Some(seconds(age) / seconds(limits.warm_up)).filter(|warmth| *warmth < 1.0)?;
        let part = limits.start_capacity + (1.0 - limits.start_capacity) * warmth;
        let capacity = self.fleet.kinds[engine.kind].cores * BUSY_AT_CAPACITY * part;
        Some(limits.overload_factor * capacity * seconds(limits.overload_window) * share)
    }

    /// Work in seconds that a request of this class counts for.
    pub fn slow_start_work(&self, class: usize) -> f64 {
        self.usual_work(class).max(seconds(self.fleet.tick))
    }
}
