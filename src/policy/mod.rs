//! The decisions of the scheduler, one concern in each file. They are methods of `SchedulerState` that the rules in
//! `scheduler.rs` and the inputs in `handlers.rs` call.

mod admission;
mod deadlines;
mod estimates;
mod load;
mod ordering;
mod outliers;
mod placement;
mod pressure;
mod retries;
mod send_conditions;
mod slow_start;
mod subsetting;
mod tiers;
mod windows;

pub use outliers::MIN_FAILURES;

use crate::state::WindowSizes;

/// Samples in the window of each estimate of a class, and of an engine's slowdowns.
const ESTIMATE_SAMPLES: usize = 32;
/// Outcomes in the window of an engine's latest attempts.
const OUTCOME_SAMPLES: usize = 8;
/// Table groups of the latest requests that were sent to an engine.
const RECENT_TABLE_GROUPS: usize = 8;
/// Samples in the window of the work sent to an engine.
const SENT_WORK_SAMPLES: usize = 1024;
/// Samples in the window of this router's share of the fleet.
const FLEET_SHARE_SAMPLES: usize = 256;
/// Memory target without any change by pressure, as a fraction of an engine's memory times this router's fleet
/// share.
const MEMORY_TARGET_FRACTION: f64 = 0.5;
/// Elapsed time of an engine's successful attempts, as a multiple of their ideal runs, above which the engine
/// is under pressure.
const PRESSURE_SLOWDOWN: f64 = 2.0;
/// Reported fraction of cores, disks or memory from which an engine counts as fully used.
const FULL_USE: f64 = 0.95;

/// Capacities of the sample windows in the state.
pub const WINDOW_SIZES: WindowSizes = WindowSizes {
    estimates: ESTIMATE_SAMPLES,
    outcomes: OUTCOME_SAMPLES,
    recent_table_groups: RECENT_TABLE_GROUPS,
    sent_work: SENT_WORK_SAMPLES,
    fleet_shares: FLEET_SHARE_SAMPLES,
};
