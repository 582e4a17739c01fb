//! Tiers: classifies requests by their memory, and limits each tier at engines under pressure.

use crate::state::{Engine, EngineCondition, FleetSnapshot, Gateway, Request, SchedulerState, Tier};

/// Fraction of the memory target that small requests may fill together.
const SMALL_TIER_TARGET_FRACTION: f64 = 0.3;
/// Fraction of the memory target that medium requests may fill together.
const MEDIUM_TIER_TARGET_FRACTION: f64 = 0.6;
/// Threads per core that small requests may use at engines under pressure.
const SMALL_TIER_THREADS_PER_CORE: f64 = 4.0;
/// Threads per core that requests of the medium and of the largest tier may use at engines under pressure.
const LARGER_TIERS_THREADS_PER_CORE: f64 = 1.0;

impl Gateway {
    /// Returns the tier of a request, which is the medium tier without an estimate of its work. The upper threshold
    /// of a tier is its fraction of the memory target, divided by the mean number of the tier's requests per
    /// engine, including this request.
    pub fn tier(&self, request: &Request) -> Tier {
        if request.estimated_work.is_none() {
            return Tier::Medium;
        }
        let threshold =
            |fraction: f64, count: f64| self.memory_target_mb * fraction * self.engine_count / (count + 1.0);
        let memory_mb = request.memory_mb;
        if memory_mb < self.unlimited_below_mb {
            Tier::Unlimited
        } else if memory_mb < threshold(SMALL_TIER_TARGET_FRACTION, self.small_count) {
            Tier::Small
        } else if memory_mb < threshold(MEDIUM_TIER_TARGET_FRACTION, self.medium_count) {
            Tier::Medium
        } else {
            Tier::Largest
        }
    }
}

impl SchedulerState {
    /// Returns whether a tier has a free slot at an engine. Requests of the largest tier run one at a time. Small
    /// and medium requests are limited only under pressure; the limit decreases as the engine slows down. If the
    /// limit is smaller than one request, as with many routers, the limits of all engines under pressure are
    /// pooled.
    pub fn has_slot(
        &self,
        engine: &Engine,
        condition: &EngineCondition,
        request: &Request,
        tier: Tier,
        snapshot: &FleetSnapshot,
    ) -> bool {
        let threads = self.classes[request.class].threads;
        let in_flight = engine.threads_in_flight(tier);
        if tier == Tier::Unlimited {
            return true;
        }
        if tier == Tier::Largest && in_flight > 0.0 {
            return false;
        }
        if !condition.is_under_pressure() {
            return true;
        }
        let per_core =
            if tier == Tier::Small { SMALL_TIER_THREADS_PER_CORE } else { LARGER_TIERS_THREADS_PER_CORE };
        let limit = self.fleet.kinds[engine.kind].cores * snapshot.engine_share * per_core;
        if limit < threads {
            let gateway = &snapshot.gateways[engine.kind];
            let pooled_limit = gateway.cores_under_pressure * snapshot.engine_share * per_core;
            let pooled = gateway.threads_under_pressure[tier as usize];
            return pooled == 0.0 || pooled + threads <= pooled_limit;
        }
        in_flight == 0.0 || tier != Tier::Largest && in_flight + threads <= limit * condition.limit_factor
    }
}
