//! Pressure: takes the snapshot of the fleet at the time of an input, with the engines under pressure and the
//! memory targets that follow from the pressure.

use super::outliers::INACTIVITY_RATIO_FOR_EJECTION;
use super::{FULL_USE, MEMORY_TARGET_FRACTION, PRESSURE_SLOWDOWN};
use crate::EngineKind;
use crate::samples::{mean, median};
use crate::state::{
    Engine, EngineCondition, EngineConditions, FleetSnapshot, Gateway, ReceivedReport, Resources,
    SchedulerState, Tier,
};
use std::collections::BTreeSet;
use std::time::Duration;

/// Memory below which requests are not limited, as a fraction of an engine's memory per core.
const UNLIMITED_FRACTION: f64 = 1.0 / 64.0;
/// Largest change of the memory target by pressure, as a fraction of its initial value.
const MAX_TARGET_CHANGE: f64 = 0.5;
/// Fraction of an engine's memory that may be filled if its load is estimated and not reported. Lies halfway
/// between `MEMORY_TARGET_FRACTION` and the whole memory.
const UNREPORTED_MEMORY_LIMIT: f64 = (1.0 + MEMORY_TARGET_FRACTION) / 2.0;
/// Lower bound on an engine's slowdown relative to that of the fleet.
const MIN_RELATIVE_SLOWDOWN: f64 = 0.5;
/// Upper bound on an engine's slowdown relative to that of the fleet.
const MAX_RELATIVE_SLOWDOWN: f64 = 4.0;

/// An engine of a gateway's engine kind, and the engine's condition.
type Member<'a> = (&'a Engine, &'a EngineCondition);

impl SchedulerState {
    /// Returns the fleet at the time of an input. Unless `may_send`, the snapshot contains only the engines with
    /// attempts in flight, and no gateways.
    pub fn snapshot(&self, now: Duration, may_send: bool) -> FleetSnapshot {
        let slowdowns = self.class_slowdowns(now);
        let mut engines = self.engine_conditions(now, may_send, &slowdowns);
        assume_pressure_of_majority(&mut engines);
        let fleet_share = self.fleet_share();
        let kind_count = if may_send { self.fleet.kinds.len() } else { 0 };
        let gateways = (0..kind_count).map(|kind| self.gateway(now, kind, fleet_share, &engines)).collect();
        FleetSnapshot {
            now,
            slowdowns,
            fleet_share,
            engine_share: self.engine_share(fleet_share),
            slow_start_share: self.slow_start_share(fleet_share),
            engines_examined: engines.len() as u64,
            engines,
            gateways,
            blocked_tiers: BTreeSet::new(),
        }
    }

    /// Returns the typical elapsed time of recent successful attempts as a multiple of their ideal runs, by request
    /// class.
    fn class_slowdowns(&self, now: Duration) -> Vec<f64> {
        let window_start = self.slowdown_window_start(now);
        let classes = self.estimates.iter();
        classes.map(|class| at_least_ideal(class.slowdowns.median_since(window_start))).collect()
    }

    fn engine_conditions(&self, now: Duration, may_send: bool, slowdowns: &[f64]) -> EngineConditions {
        let window_start = self.slowdown_window_start(now);
        let recent = self.estimates.iter().flat_map(|class| class.slowdowns.since(window_start));
        let fleet_slowdown = at_least_ideal(median(recent));
        let examined = self.engines_to_examine(may_send).into_iter();
        let condition = |id| self.engine_condition(&self.engines[&id], now, fleet_slowdown, slowdowns);
        examined.map(|id| (id, condition(id))).collect()
    }

    fn engine_condition(
        &self,
        engine: &Engine,
        now: Duration,
        fleet_slowdown: f64,
        slowdowns: &[f64],
    ) -> EngineCondition {
        let slowdown = engine.slowdowns.median_since(self.slowdown_window_start(now));
        let is_slow = slowdown.map(|slowdown| slowdown > PRESSURE_SLOWDOWN);
        let inactivity_ratio = self.inactivity_ratio(engine, now, slowdowns);
        EngineCondition {
            under_pressure: self.under_pressure(engine, now, is_slow),
            inactivity_ratio,
            is_outlier: inactivity_ratio >= INACTIVITY_RATIO_FOR_EJECTION || self.is_failing(engine, now),
            limit_factor: (PRESSURE_SLOWDOWN / slowdown.unwrap_or(fleet_slowdown)).min(1.0),
            relative_slowdown: slowdown.map_or(1.0, |slowdown| {
                (slowdown / fleet_slowdown).clamp(MIN_RELATIVE_SLOWDOWN, MAX_RELATIVE_SLOWDOWN)
            }),
        }
    }

    /// Returns whether an engine is under pressure: it was recently short of memory, reports full use, or is
    /// slow. Returns `None` if there is no recent measurement.
    fn under_pressure(&self, engine: &Engine, now: Duration, is_slow: Option<bool>) -> Option<bool> {
        let window_start = self.pressure_window_start(now);
        if engine.had_memory_shortage_since(window_start) {
            return Some(true);
        }
        let report = engine.report.filter(|report| report.at >= window_start);
        let is_full = report.map(|report| reports_full_use(&report));
        match (is_full, is_slow) {
            (Some(is_full), Some(is_slow)) => Some(is_full || is_slow),
            (is_full, is_slow) => is_full.or(is_slow),
        }
    }

    /// Returns the measurements and targets of one engine kind. The memory target depends on how many engines of
    /// the kind are under pressure.
    fn gateway(
        &self,
        now: Duration,
        kind: usize,
        fleet_share: f64,
        conditions: &EngineConditions,
    ) -> Gateway {
        let EngineKind { cores, memory_mb } = self.fleet.kinds[kind];
        let members = self.accepting_members(kind, conditions);
        let target_factor = target_factor(&members);
        let reports = self.comparable_reports(&members);
        let local_loads = members.iter().map(|(engine, _)| self.local_load(now, engine, Duration::ZERO));
        Gateway {
            unlimited_below_mb: memory_mb / cores * UNLIMITED_FRACTION,
            memory_target_mb: memory_mb * fleet_share * MEMORY_TARGET_FRACTION * target_factor,
            unreported_memory_limit: UNREPORTED_MEMORY_LIMIT * target_factor.min(1.0),
            engine_count: self.engine_index.accepting(kind).max(1) as f64,
            small_count: count_in_flight(&members, Tier::Small),
            medium_count: count_in_flight(&members, Tier::Medium),
            mean_memory_utilization: mean(reports.iter().filter_map(|report| report.load.memory_utilization)),
            mean_core_utilization: mean(reports.iter().filter_map(|report| directly_reported_cores(report))),
            reports_in_flight: reports.iter().any(|report| report.load.in_flight.is_some()),
            local_load: local_loads.fold(Resources::NONE, Resources::plus),
            threads_under_pressure: self.threads_under_pressure(&members, cores, fleet_share),
            cores_under_pressure: cores_under_pressure(&members, cores),
        }
    }

    fn accepting_members<'a>(&'a self, kind: usize, conditions: &'a EngineConditions) -> Vec<Member<'a>> {
        let examined = conditions.iter().map(|(id, condition)| (&self.engines[id], condition));
        examined.filter(|(engine, _)| engine.kind == kind && engine.lifecycle.accepts_requests()).collect()
    }

    /// Returns the load reports from which the load of other engines is estimated. Reports in answer to a probe
    /// are not used: the few engines that were probed are not representative.
    fn comparable_reports<'a>(&self, members: &[Member<'a>]) -> Vec<&'a ReceivedReport> {
        if self.fleet.reports_only_on_probe {
            return Vec::new();
        }
        members.iter().filter_map(|(engine, _)| engine.report.as_ref()).collect()
    }

    /// Returns the threads of this router's attempts at engines under pressure, by tier. Caps the threads that
    /// are counted for one engine, so that one engine can't use up the pooled limit of all engines.
    fn threads_under_pressure(
        &self,
        members: &[Member<'_>],
        cores: f64,
        fleet_share: f64,
    ) -> [f64; Tier::ALL.len()] {
        let largest_request = self.classes.iter().map(|class| class.threads).fold(1.0, f64::max);
        let max_per_engine = largest_request.max(cores * self.engine_share(fleet_share));
        Tier::ALL.map(|tier| {
            let under_pressure = members.iter().filter(|(_, condition)| condition.is_under_pressure());
            under_pressure.map(|(engine, _)| engine.threads_in_flight(tier).min(max_per_engine)).sum()
        })
    }
}

/// Returns the slowdown, but at least 1, the slowdown of an ideal run. Returns 1 if the slowdown is unknown.
fn at_least_ideal(slowdown: Option<f64>) -> f64 {
    slowdown.unwrap_or(1.0).max(1.0)
}

/// Assumes that engines without a recent measurement are under pressure if most of the others are. With many
/// routers, most engines have no recent measurement.
fn assume_pressure_of_majority(engines: &mut EngineConditions) {
    let count =
        |pressure| engines.values().filter(|condition| condition.under_pressure == Some(pressure)).count();
    if count(true) <= count(false) {
        return;
    }
    for condition in engines.values_mut() {
        condition.under_pressure = condition.under_pressure.or(Some(true));
    }
}

/// Returns whether a report shows full use of cores, memory or disks, or requests that wait for memory.
fn reports_full_use(report: &ReceivedReport) -> bool {
    let load = &report.load;
    // A core utilization that is estimated from the requests in flight may exceed 1 without a slowdown.
    let max_core_utilization = if load.in_flight.is_some() { PRESSURE_SLOWDOWN } else { 1.0 };
    let utilizations = [
        load.core_utilization.map(|used| used / max_core_utilization),
        load.memory_utilization,
        load.disk_utilization,
    ];
    utilizations.into_iter().flatten().any(|used| used >= FULL_USE)
        || load.waiting_for_memory.is_some_and(|waiting| waiting >= 1.0)
}

/// Returns the core utilization of a report; `None` if it is estimated from the requests in flight, which
/// change too fast for a mean over reports of different ages.
fn directly_reported_cores(report: &ReceivedReport) -> Option<f64> {
    report.load.core_utilization.filter(|_| report.load.in_flight.is_none())
}

/// Returns the factor by which pressure changes the memory target: lower if most engines are under pressure,
/// higher if most are not.
fn target_factor(members: &[Member<'_>]) -> f64 {
    let headroom = |condition: &EngineCondition| match condition.under_pressure {
        Some(true) => -1.0,
        Some(false) => 1.0,
        None => 0.0,
    };
    let mean_headroom = mean(members.iter().map(|(_, condition)| headroom(condition))).unwrap_or(0.0);
    1.0 + mean_headroom * MAX_TARGET_CHANGE
}

fn count_in_flight(members: &[Member<'_>], tier: Tier) -> f64 {
    let in_flight = members.iter().flat_map(|(engine, _)| &engine.in_flight);
    in_flight.filter(|attempt| attempt.tier == tier).count() as f64
}

fn cores_under_pressure(members: &[Member<'_>], cores: f64) -> f64 {
    let under_pressure = members.iter().filter(|(_, condition)| condition.is_under_pressure());
    under_pressure.map(|(_, condition)| condition.limit_factor * cores).sum()
}
