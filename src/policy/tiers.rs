//! Tiers: requests are sorted by their memory, and under pressure each tier has a limit of its own.

use super::*;

/// Parts of the memory target that small and medium requests may fill together.
const SMALL_PART: f64 = 0.3;
const MEDIUM_PART: f64 = 0.6;
/// Threads a core that small and medium requests hold under pressure.
const SMALL_THREADS_PER_CORE: f64 = 4.0;
const MEDIUM_THREADS_PER_CORE: f64 = 1.0;

impl Gateway {
    /// The tier of a request, by parts of the target over the mean count per engine, the new one included.
    pub fn tier(&self, request: &Request) -> Tier {
        let limit = |part: f64, count: f64| self.memory_target_mb * part * self.engine_count / (count + 1.0);
        match request.estimated_work.map(|_| request.memory_mb) {
            None => Tier::Medium,
            Some(memory) if memory < self.unblocked_mb => Tier::Unblocked,
            Some(memory) if memory < limit(SMALL_PART, self.small_count) => Tier::Small,
            Some(memory) if memory < limit(MEDIUM_PART, self.medium_count) => Tier::Medium,
            Some(_) => Tier::Largest,
        }
    }
}

impl SchedulerState {
    /// Whether the tier has a slot open at an engine: largest one at a time, the others bound under pressure.
    /// Guards against surges and slow fleets: limits shrink as latency rises. Guards against many routers,
    /// whose one query at each engine adds up: parts under one are pooled over the engines under pressure.
    pub fn has_slot(
        &self,
        (engine, view): (&Engine, &EngineView),
        request: &Request,
        tier: Tier,
        snapshot: &FleetSnapshot,
    ) -> bool {
        let share = snapshot.engine_share;
        let gateway = &snapshot.gateways[engine.kind];
        let threads = self.classes[request.class].threads;
        let per_core = if tier == Tier::Small { SMALL_THREADS_PER_CORE } else { MEDIUM_THREADS_PER_CORE };
        let limit = self.fleet.kinds[engine.kind].cores * share * per_core;
        let in_flight = engine.threads_in_flight(tier);
        let lowered = limit * view.limit_factor;
        let pool = gateway.pressed_cores * share * per_core;
        let pooled = gateway.pressed_threads[tier as usize];
        match tier {
            Tier::Unblocked => true,
            Tier::Largest if in_flight > 0.0 => false,
            _ if view.under_pressure != Some(true) => true,
            _ if limit < threads => pooled == 0.0 || pooled + threads <= pool,
            _ => in_flight == 0.0 || tier != Tier::Largest && in_flight + threads <= lowered,
        }
    }
}
