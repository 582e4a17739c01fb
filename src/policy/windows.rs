//! Time windows and intervals of the decisions. All are derived from the shortest latency objective.

use crate::state::SchedulerState;
use std::time::Duration;

/// Length of the window of slowdowns, in shortest latency objectives.
const SLOWDOWN_WINDOW_OBJECTIVES: u32 = 4;
/// Length of the window in which measurements show pressure, in shortest latency objectives.
const PRESSURE_WINDOW_OBJECTIVES: u32 = 2;
/// Length of the window in which a reported bulk load counts, in shortest latency objectives.
const BULK_LOAD_WINDOW_OBJECTIVES: u32 = 2;
/// Length that each consecutive failure adds to the window of failures, in shortest latency objectives.
const FAILURE_WINDOW_OBJECTIVES: u32 = 4;
/// Age at which a load report counts as much as the estimate from other engines, in shortest latency
/// objectives.
const REPORT_AGING_OBJECTIVES: u32 = 4;
/// Rounds of probes in one shortest latency objective.
const PROBES_PER_OBJECTIVE: u32 = 2;
/// Recovery attempts at one engine in one shortest latency objective, of all routers together.
const RECOVERY_ATTEMPTS_PER_OBJECTIVE: f64 = 2.0;

impl SchedulerState {
    /// Returns the shortest latency objective of all classes, without its variable part.
    pub fn shortest_objective(&self) -> Duration {
        self.classes.iter().map(|class| class.latency_objective).min().unwrap_or(self.fleet.tick)
    }

    /// Returns the start of the window in which measured slowdowns count: `now` minus the length of the window, but
    /// at least 0.
    pub fn slowdown_window_start(&self, now: Duration) -> Duration {
        now.saturating_sub(self.shortest_objective() * SLOWDOWN_WINDOW_OBJECTIVES)
    }

    /// Returns the start of the window in which a load report or a shortage of memory shows pressure.
    pub fn pressure_window_start(&self, now: Duration) -> Duration {
        now.saturating_sub(self.shortest_objective() * PRESSURE_WINDOW_OBJECTIVES)
    }

    /// Returns the start of the window in which a reported bulk load still counts.
    pub fn bulk_load_window_start(&self, now: Duration) -> Duration {
        now.saturating_sub(self.shortest_objective() * BULK_LOAD_WINDOW_OBJECTIVES)
    }

    /// Returns the start of the window in which failures count, which grows with the number of consecutive
    /// failures.
    pub fn failure_window_start(&self, now: Duration, consecutive_failures: usize) -> Duration {
        let objectives = FAILURE_WINDOW_OBJECTIVES * consecutive_failures as u32;
        now.saturating_sub(self.shortest_objective() * objectives)
    }

    /// Returns the age at which a load report counts as much as the estimate from other engines.
    pub fn report_aging_time(&self) -> Duration {
        self.shortest_objective() * REPORT_AGING_OBJECTIVES
    }

    /// Returns the interval between rounds of probes. An engine may be probed again once its last report is older
    /// than this interval.
    pub fn probe_interval(&self) -> Duration {
        self.shortest_objective() / PROBES_PER_OBJECTIVE
    }

    /// Returns the interval between recovery attempts of a router with this share of the engine, which is at
    /// least one shortest latency objective.
    pub fn recovery_interval(&self, share: f64) -> Duration {
        let objective = self.shortest_objective();
        objective.div_f64(RECOVERY_ATTEMPTS_PER_OBJECTIVE * share).max(objective)
    }
}
