//! The state of the fleet as one pass over the rules sees it.

use super::{InFlight, Resources};
use crate::EngineId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Requests by the memory that they need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// So little that it is not limited.
    Unblocked,
    Small,
    Medium,
    /// One at a time on an engine.
    Largest,
}

/// The fleet at the time of an input; sending a request keeps it up to date.
pub struct FleetSnapshot {
    pub now: Duration,
    /// By request class: usual time to a success over that of an ideal run.
    pub slowdowns: Vec<f64>,
    /// This router's part of the fleet.
    pub share: f64,
    /// Its part of an engine that it uses, and of what such an engine takes while it warms up.
    pub engine_share: f64,
    pub slow_start_share: f64,
    pub engines: EngineViews,
    /// By engine kind; empty where nothing is to be sent.
    pub gateways: Vec<Gateway>,
    /// Tiers of an engine kind that have no room: later requests of the tier wait behind an earlier one.
    pub blocked_tiers: BTreeSet<(usize, Tier)>,
    /// Engines that were looked at.
    pub engines_examined: u64,
}

impl FleetSnapshot {
    /// Counts an attempt that was sent to an engine of this kind.
    pub fn count_sent(&mut self, engine: EngineId, kind: usize, sent: &InFlight) {
        let under_pressure = self.engines[&engine].under_pressure == Some(true);
        let gateway = &mut self.gateways[kind];
        gateway.own = gateway.own.plus(sent.resources());
        gateway.pressed_threads[sent.tier as usize] += sent.threads * f64::from(under_pressure);
        gateway.small_count += f64::from(sent.tier == Tier::Small);
        gateway.medium_count += f64::from(sent.tier == Tier::Medium);
    }
}

/// The engines of a snapshot.
pub type EngineViews = BTreeMap<EngineId, EngineView>;

/// How one engine does.
pub struct EngineView {
    /// `None` where nothing recent tells.
    pub under_pressure: Option<bool>,
    /// Time without a sign over the time that one is due in.
    pub silence_ratio: f64,
    /// Whether it gets only a trickle.
    pub is_outlier: bool,
    /// Part of the limits under pressure that its latency leaves.
    pub limit_factor: f64,
    /// Its slowdown over the fleet's.
    pub relative_slowdown: f64,
}

/// The figures behind one engine kind's thresholds.
pub struct Gateway {
    /// Requests below this many MB are not limited.
    pub unblocked_mb: f64,
    /// Memory of one engine that this router aims to fill.
    pub memory_target_mb: f64,
    /// Part of an engine's memory that may fill where nothing reports how full it is.
    pub unreported_fill: f64,
    pub engine_count: f64,
    /// Requests in flight by tier.
    pub small_count: f64,
    pub medium_count: f64,
    /// Mean parts of memory and cores that its engines reported in use.
    pub reported_memory: Option<f64>,
    pub reported_busy: Option<f64>,
    /// Whether its engines report how many requests they hold.
    pub reports_in_flight: bool,
    /// What this router has in flight.
    pub own: Resources,
    /// Of that, threads by tier at engines under pressure.
    pub pressed_threads: [f64; 4],
    /// Cores of these engines that count there.
    pub pressed_cores: f64,
}
