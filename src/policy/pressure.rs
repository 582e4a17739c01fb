//! Pressure: how the fleet does at the time of an input, and what may fill of it.

use super::*;

/// The first threshold, as a part of the memory that goes with one core.
const UNBLOCKED_PART: f64 = 1.0 / 64.0;

impl SchedulerState {
    /// The fleet at the time of an input; without `may_send` only the engines with something in flight.
    pub fn snapshot(&self, now: Duration, may_send: bool) -> FleetSnapshot {
        let from = now.saturating_sub(self.shortest_objective() * 4);
        let recent = self.estimates.iter().flat_map(|estimates| estimates.slowdowns.since(from));
        let fleet_slowdown = quantile(recent, 0.5).unwrap_or(1.0).max(1.0);
        let usual = |slowdowns: &SampleWindow| quantile(slowdowns.since(from), 0.5).unwrap_or(1.0).max(1.0);
        let slowdowns: Vec<f64> = self.estimates.iter().map(|class| usual(&class.slowdowns)).collect();
        let view = |engine: &Engine| {
            let own = quantile(engine.slowdowns.since(from), 0.5);
            let silence_ratio = self.silence_ratio(engine, now, &slowdowns);
            EngineView {
                under_pressure: self.under_pressure(engine, now, own.map(|own| own > PRESSURE_SLOWDOWN)),
                silence_ratio,
                is_outlier: silence_ratio >= 1.0 || self.is_failing(engine, now),
                limit_factor: (PRESSURE_SLOWDOWN / own.unwrap_or(fleet_slowdown)).min(1.0),
                relative_slowdown: own.map_or(1.0, |own| (own / fleet_slowdown).clamp(0.5, 4.0)),
            }
        };
        let engines = self.engines_in_view(may_send).into_iter().map(|id| (id, &self.engines[&id]));
        let mut engines: EngineViews = engines.map(|(id, engine)| (id, view(engine))).collect();
        // Where nothing recent tells of an engine, as for most when routers are many, the others tell.
        let count = |pressure| engines.values().filter(|view| view.under_pressure == Some(pressure)).count();
        if count(true) > count(false) {
            engines.values_mut().for_each(|view| view.under_pressure = view.under_pressure.or(Some(true)));
        }
        let (share, kinds) = (self.share(), 0..if may_send { self.fleet.kinds.len() } else { 0 });
        let gateways = kinds.map(|kind| self.gateway(now, kind, share, &engines)).collect();
        let engines_examined = engines.len() as u64;
        FleetSnapshot {
            now,
            slowdowns,
            share,
            engine_share: self.engine_share(share),
            slow_start_share: self.slow_start_share(share),
            engines,
            gateways,
            blocked_tiers: BTreeSet::new(),
            engines_examined,
        }
    }

    /// The figures of one engine kind. The memory target moves with the pressure that its engines show,
    /// from half to 1.5 of its start.
    fn gateway(&self, now: Duration, kind: usize, share: f64, views: &EngineViews) -> Gateway {
        let EngineKind { cores, memory_mb } = self.fleet.kinds[kind];
        let of_kind = |engine: &Engine| engine.kind == kind && engine.lifecycle.accepts_requests();
        let in_view = views.iter().map(|(id, view)| (&self.engines[id], view));
        let members: Vec<(&Engine, &EngineView)> = in_view.filter(|(engine, _)| of_kind(engine)).collect();
        let engines = || members.iter().copied();
        let headroom = |view: &EngineView| match view.under_pressure {
            Some(true) => -1.0,
            Some(false) => 1.0,
            None => 0.0,
        };
        let target_factor = 1.0 + mean(engines().map(|(_, view)| headroom(view))).unwrap_or(0.0) / 2.0;
        let in_flight = || engines().flat_map(|(engine, _)| &engine.in_flight);
        let count = |tier| in_flight().filter(|attempt| attempt.tier == tier).count() as f64;
        let own = engines().map(|(engine, _)| self.own_load(now, engine, Duration::ZERO));
        let pressed = || engines().filter(|(_, view)| view.under_pressure == Some(true));
        // What waits at a jammed engine takes no more than its part, or one request, from the others.
        let one_request = self.classes.iter().map(|class| class.threads).fold(1.0, f64::max);
        let most = one_request.max(cores * self.engine_share(share));
        let threads = |tier| pressed().map(|(engine, _)| engine.threads_in_flight(tier).min(most)).sum();
        // The few that were probed tell nothing of the others.
        let may_compare = !self.fleet.reports_only_on_probe;
        let reports = || engines().filter_map(|(engine, _)| engine.report.as_ref()).filter(|_| may_compare);
        Gateway {
            reported_memory: mean(reports().filter_map(|report| report.load.memory)),
            // What is in flight comes and goes too fast for a mean of old reports.
            reported_busy: mean(reports().filter_map(|r| r.load.busy.filter(|_| r.load.in_flight.is_none()))),
            reports_in_flight: reports().any(|report| report.load.in_flight.is_some()),
            own: own.fold(Resources::NONE, Resources::plus),
            pressed_cores: pressed().map(|(_, view)| view.limit_factor * cores).sum(),
            pressed_threads: [Tier::Unblocked, Tier::Small, Tier::Medium, Tier::Largest].map(threads),
            unblocked_mb: memory_mb / cores * UNBLOCKED_PART,
            memory_target_mb: memory_mb * share * MEMORY_TARGET_PART * target_factor,
            unreported_fill: (1.0 + MEMORY_TARGET_PART) / 2.0 * target_factor.min(1.0),
            engine_count: self.engine_index.accepting(kind).max(1) as f64,
            small_count: count(Tier::Small),
            medium_count: count(Tier::Medium),
        }
    }

    /// Whether an engine shows pressure; `None` where nothing recent tells.
    fn under_pressure(&self, engine: &Engine, now: Duration, is_slow: Option<bool>) -> Option<bool> {
        let from = now.saturating_sub(self.shortest_objective() * 2);
        if engine.short_at.is_some_and(|at| at >= from) {
            return Some(true);
        }
        let report = engine.report.filter(|report| report.at >= from);
        let is_full = report.map(|ReceivedReport { load, .. }| {
            let crowding = if load.in_flight.is_some() { PRESSURE_SLOWDOWN } else { 1.0 };
            let parts = [load.busy.map(|busy| busy / crowding), load.memory, load.disks];
            parts.into_iter().flatten().any(|part| part >= FULL) || load.waiting.is_some_and(|w| w >= 1.0)
        });
        [is_full, is_slow].into_iter().flatten().reduce(|full, slow| full || slow)
    }
}
