//! The decisions, one concern a file: methods of the state that the rules in `scheduler.rs` are made of.

mod admission;
mod deadlines;
mod estimates;
mod load;
mod ordering;
mod outliers;
mod placement;
mod pressure;
mod retries;
mod slow_start;
mod subsetting;
mod tiers;

use self::placement::Placement;
use crate::samples::{SampleWindow, duration, mean, quantile, seconds};
use crate::state::*;
use crate::*;
use std::collections::BTreeSet;
use std::time::Duration;

/// Samples of each measurement, and of an engine's last outcomes.
const SAMPLES: usize = 32;
const OUTCOMES: usize = 8;
/// Part of an engine's memory, within this router's share, that the target starts at.
const MEMORY_TARGET_PART: f64 = 0.5;
/// Latency over the fleet's best from which an engine is under pressure.
const PRESSURE_SLOWDOWN: f64 = 2.0;
/// A reported part of cores, disks or memory that counts as all of it.
const FULL: f64 = 0.95;

/// How many samples the state keeps.
pub const WINDOW_SIZES: WindowSizes = WindowSizes {
    estimates: SAMPLES,
    outcomes: OUTCOMES,
    sent_work: SAMPLES * SAMPLES,
    shares: SAMPLES * OUTCOMES,
};
