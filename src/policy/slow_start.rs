//! Slow start: limits the work that is sent to an engine while it warms up.

use crate::EngineId;
use crate::samples::seconds;
use crate::state::{Engine, FleetSnapshot, Request, SchedulerState};
use std::time::Duration;

/// Fraction of an engine's cores that is busy when the engine is at full capacity.
const CORE_UTILIZATION_AT_CAPACITY: f64 = 0.85;
/// Factor by which the window for a single request is longer than the budget requires, so that all routers
/// together use at most half of the engine's budget.
const SINGLE_REQUEST_WINDOW_FACTOR: f64 = 2.0;
/// Upper bound on the length of the window for a single request, in overload windows.
const MAX_WINDOW_FACTOR: f64 = 1e6;

/// The limit of the work that is sent to an engine while it warms up.
pub struct SlowStartLimit {
    /// The length of the time window to which the limit applies.
    pub window: Duration,
    /// The largest work in the window, in core-seconds.
    pub max_work: f64,
    /// Whether the router's share is smaller than one request, so that one request is allowed in a longer window.
    pub is_single_request: bool,
}

impl SchedulerState {
    /// Returns whether the request fits into this router's share of the slow-start budget of an engine. If the
    /// share is smaller than one request, the router may send one request in a longer window. The window starts
    /// at a random offset, so that the requests of all routers spread over the window.
    pub fn fits_slow_start(
        &self,
        id: EngineId,
        engine: &Engine,
        request: &Request,
        snapshot: &FleetSnapshot,
    ) -> bool {
        let now = snapshot.now;
        let usual_work = self.slow_start_work(request.class);
        let Some(limit) = self.slow_start_limit(engine, usual_work, now, snapshot.slow_start_share) else {
            return true;
        };
        let SlowStartLimit { window, max_work, .. } = limit;
        let sent_work: f64 = engine.sent_work.since(now.saturating_sub(window)).sum();
        let offset = window.mul_f64(self.slow_start_offset(id, engine));
        let has_begun = !limit.is_single_request || now >= engine.listed_at + offset;
        sent_work + usual_work <= max_work && has_begun
    }

    /// Returns the limit of the work that a router with this share may send to an engine, for a request that needs
    /// `usual_work`; `None` once the engine has warmed up.
    pub fn slow_start_limit(
        &self,
        engine: &Engine,
        usual_work: f64,
        now: Duration,
        share: f64,
    ) -> Option<SlowStartLimit> {
        let budget = self.slow_start_budget(engine, now, share)?;
        let is_single_request = usual_work > budget;
        let factor = if is_single_request { SINGLE_REQUEST_WINDOW_FACTOR * usual_work / budget } else { 1.0 };
        let window = self.attempt_limits.overload_window.mul_f64(factor.min(MAX_WINDOW_FACTOR));
        Some(SlowStartLimit { window, max_work: budget.max(usual_work), is_single_request })
    }

    /// Returns the random offset of this router's longer window, as a fraction of the window.
    fn slow_start_offset(&self, id: EngineId, engine: &Engine) -> f64 {
        self.slow_start_draw(id, engine) as f64 / u64::MAX as f64
    }

    /// Returns the random number that determines the offset of this router's longer window.
    pub fn slow_start_draw(&self, id: EngineId, engine: &Engine) -> u64 {
        self.pseudo_random(id, engine.listed_at.as_micros() as u64)
    }

    /// Returns the work in core-seconds that a router with this share may send to an engine in any overload
    /// window; `None` once the engine has warmed up.
    pub fn slow_start_budget(&self, engine: &Engine, now: Duration, share: f64) -> Option<f64> {
        let limits = &self.attempt_limits;
        let age = now.saturating_sub(engine.warming_since?);
        let progress = Some(seconds(age) / seconds(limits.warm_up)).filter(|progress| *progress < 1.0)?;
        let capacity_fraction =
            limits.start_capacity_fraction + (1.0 - limits.start_capacity_fraction) * progress;
        let capacity = self.fleet.kinds[engine.kind].cores * CORE_UTILIZATION_AT_CAPACITY * capacity_fraction;
        Some(limits.overload_factor * capacity * seconds(limits.overload_window) * share)
    }

    /// Returns the work in core-seconds that a request of this class needs in the slow-start budget: the usual work
    /// of the class, but at least one tick.
    pub fn slow_start_work(&self, class: usize) -> f64 {
        self.usual_work(class).max(seconds(self.fleet.tick))
    }
}
