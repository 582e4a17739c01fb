//! The snapshot of the fleet at the time of an input, on which the rules decide.

use super::{InFlightAttempt, Resources};
use crate::EngineId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The tiers into which requests are divided by their expected memory. `Gateway::tier` computes the thresholds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// Requests that need too little memory to be limited.
    Unlimited,
    Small,
    /// Requests of medium memory, and all requests without an estimate of their work.
    Medium,
    /// Requests that need the most memory. This router sends an engine only one of them at a time.
    Largest,
}

impl Tier {
    /// All tiers, in ascending order of memory.
    pub const ALL: [Self; 4] = [Self::Unlimited, Self::Small, Self::Medium, Self::Largest];
}

/// The fleet at the time of an input. Updated with each request that is sent and each engine that is forgotten.
pub struct FleetSnapshot {
    /// Time of the input.
    pub now: Duration,
    /// Typical elapsed time of a successful attempt as a multiple of its ideal run, at least 1, by request class.
    pub slowdowns: Vec<f64>,
    /// Fraction of the fleet's capacity that this router uses.
    pub fleet_share: f64,
    /// Fraction of an engine's capacity that this router uses, for an engine in its subset.
    pub engine_share: f64,
    /// Fraction of an engine's slow-start budget that this router may use, for an engine in its subset.
    pub slow_start_share: f64,
    /// The engines that the input examines, and their conditions.
    pub engines: EngineConditions,
    /// Gateways by engine kind; empty if the snapshot was taken without `may_send`.
    pub gateways: Vec<Gateway>,
    /// Engine kinds and tiers without capacity. Later requests of such a tier wait behind the first one.
    pub blocked_tiers: BTreeSet<(usize, Tier)>,
    /// Number of engines that were examined: those of the snapshot, once for the snapshot and once more for each
    /// choice of an engine.
    pub engines_examined: u64,
}

impl FleetSnapshot {
    /// Adds an attempt that was sent now to the gateway of its engine's kind. `kind` is the index of that kind.
    pub fn count_sent(&mut self, engine: EngineId, kind: usize, sent: &InFlightAttempt) {
        let is_under_pressure = self.engines[&engine].is_under_pressure();
        let gateway = &mut self.gateways[kind];
        gateway.local_load = gateway.local_load.plus(sent.resources());
        gateway.threads_under_pressure[sent.tier as usize] += sent.threads * f64::from(is_under_pressure);
        gateway.small_count += f64::from(sent.tier == Tier::Small);
        gateway.medium_count += f64::from(sent.tier == Tier::Medium);
    }
}

/// The conditions of the engines of a snapshot.
pub type EngineConditions = BTreeMap<EngineId, EngineCondition>;

/// The pressure, activity and speed of one engine at the time of the input.
pub struct EngineCondition {
    /// Whether the engine is under pressure. Without a recent measurement, it is assumed to be under pressure if most
    /// measured engines are; otherwise `None`.
    pub under_pressure: Option<bool>,
    /// Time without activity, as a multiple of the time after which the engine counts as inactive; 0 without attempts
    /// in flight.
    pub inactivity_ratio: f64,
    /// Whether the engine is ejected. It gets recovery attempts only, unless all engines that a request may use are
    /// ejected.
    pub is_outlier: bool,
    /// Factor, at most 1, by which the engine's limits under pressure are multiplied. It decreases with the slowdown of
    /// the engine or, if that is unknown, of the fleet.
    pub limit_factor: f64,
    /// The engine's slowdown relative to that of the fleet; 1 if the engine's slowdown is unknown.
    pub relative_slowdown: f64,
}

impl EngineCondition {
    /// Returns whether the engine is measured or assumed to be under pressure.
    pub fn is_under_pressure(&self) -> bool {
        self.under_pressure == Some(true)
    }
}

/// The measurements and targets of one engine kind, from which the thresholds of its tiers are computed.
pub struct Gateway {
    /// Requests below this many MB are not limited.
    pub unlimited_below_mb: f64,
    /// Memory in MB of one engine that this router intends to fill.
    pub memory_target_mb: f64,
    /// Largest fraction of an engine's memory that may be filled if its load is estimated and not reported.
    pub unreported_memory_limit: f64,
    /// Number of engines of the kind in the fleet that accept requests; 1 if none does.
    pub engine_count: f64,
    /// Number of this router's attempts of the small tier in flight.
    pub small_count: f64,
    /// Number of this router's attempts of the medium tier in flight.
    pub medium_count: f64,
    /// Mean memory utilization in the load reports; `None` if no report contains it or engines report only in answer
    /// to a probe.
    pub mean_memory_utilization: Option<f64>,
    /// Mean core utilization in the load reports, without those where it is estimated from the requests in flight;
    /// `None` if there are no others or engines report only in answer to a probe.
    pub mean_core_utilization: Option<f64>,
    /// Whether an engine has reported its number of requests in flight without its core utilization. Always false if
    /// engines report only in answer to a probe.
    pub reports_in_flight: bool,
    /// Resources of this router's attempts in flight, without inactive ones.
    pub local_load: Resources,
    /// Threads of this router's attempts at engines under pressure, by tier. Attempts that were in flight before the
    /// input count up to a limit for each engine.
    pub threads_under_pressure: [f64; Tier::ALL.len()],
    /// Sum of the cores of the engines under pressure, each multiplied by the engine's limit factor.
    pub cores_under_pressure: f64,
}
