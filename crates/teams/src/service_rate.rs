//! The rate at which work was dispatched lately, and wait estimates that are corrected by how former ones turned out.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// An estimate of a wait: nine in ten should end from `low` to `high`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitEstimate {
    /// Few waits are shorter.
    pub low: Duration,
    /// Half of the waits are shorter.
    pub median: Duration,
    /// Few waits are longer.
    pub high: Duration,
    /// Waiting requests of the same team that come before it.
    pub position: usize,
}

/// Samples of each measurement.
const MAX_SAMPLES: usize = 128;
/// With fewer dispatches there is no rate.
const MIN_SAMPLES: usize = 8;
/// Bound on estimates, in seconds: a year.
const MAX_WAIT_S: f64 = 366.0 * 24.0 * 3600.0;
/// Ratios of actual to estimated waits that are assumed before there are any samples.
const INITIAL_RATIOS: [f64; 3] = [0.5, 1.0, 2.0];
/// Range of a sampled ratio: the estimate may have been next to nothing.
const RATIO_RANGE: (f64, f64) = (0.1, 10.0);
/// The quantiles of the ratios that an estimate is made of.
const LOW_QUANTILE: f64 = 0.03;
const MEDIAN_QUANTILE: f64 = 0.5;
const HIGH_QUANTILE: f64 = 0.97;

#[derive(Clone, Debug)]
struct Dispatch {
    at: Duration,
    /// In seconds.
    work: f64,
}

/// What was dispatched lately, and how former estimates turned out.
#[derive(Clone, Debug)]
pub struct ServiceRate {
    dispatches: VecDeque<Dispatch>,
    /// Actual against estimated waits of the last dispatched requests.
    wait_ratios: VecDeque<f64>,
}

impl Default for ServiceRate {
    fn default() -> Self {
        Self { dispatches: VecDeque::new(), wait_ratios: INITIAL_RATIOS.into() }
    }
}

impl ServiceRate {
    /// Records a dispatch of so many seconds of work, after a wait that had been estimated as so many seconds.
    pub fn record_dispatch(&mut self, now: Duration, work: f64, waited: Duration, estimated: Option<f64>) {
        push_sample(&mut self.dispatches, Dispatch { at: now, work });
        if let Some(estimated) = estimated.filter(|estimated| *estimated > 0.0) {
            let ratio = waited.as_secs_f64() / estimated;
            push_sample(&mut self.wait_ratios, ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1));
        }
    }

    /// Adds to the work of the last dispatch, in seconds: below 0 when it was taken back.
    pub fn correct_last(&mut self, work: f64) {
        if let Some(last) = self.dispatches.back_mut() {
            last.work += work;
        }
    }

    /// Seconds of work dispatched in a second; none before there are enough samples.
    pub fn work_per_second(&self, now: Duration) -> Option<f64> {
        let first = self.dispatches.front().filter(|_| self.dispatches.len() >= MIN_SAMPLES)?;
        let work: f64 = self.dispatches.iter().skip(1).map(|dispatch| dispatch.work).sum();
        let span = now.saturating_sub(first.at).as_secs_f64();
        (span > 0.0 && work > 0.0).then(|| work / span)
    }

    /// Mean work of the last dispatches, in seconds; 0 before there are any.
    pub fn mean_work(&self) -> f64 {
        let work: f64 = self.dispatches.iter().map(|dispatch| dispatch.work).sum();
        work / self.dispatches.len().max(1) as f64
    }

    /// The estimate for a wait that was computed as so many seconds.
    pub fn estimate(&self, seconds: f64, position: usize) -> WaitEstimate {
        let mut ratios: Vec<f64> = self.wait_ratios.iter().copied().collect();
        ratios.sort_unstable_by(f64::total_cmp);
        let wait = |part| Duration::from_secs_f64((seconds * quantile(&ratios, part)).min(MAX_WAIT_S));
        WaitEstimate {
            low: wait(LOW_QUANTILE),
            median: wait(MEDIAN_QUANTILE),
            high: wait(HIGH_QUANTILE),
            position,
        }
    }

    /// Feeds the state to a hasher, with times relative to `now`.
    pub fn fingerprint(&self, now: Duration, hasher: &mut impl Hasher) {
        for dispatch in &self.dispatches {
            (now.saturating_sub(dispatch.at), dispatch.work.to_bits()).hash(hasher);
        }
        self.wait_ratios.iter().for_each(|ratio| ratio.to_bits().hash(hasher));
    }
}

fn push_sample<T>(samples: &mut VecDeque<T>, sample: T) {
    if samples.len() == MAX_SAMPLES {
        samples.pop_front();
    }
    samples.push_back(sample);
}

/// The value below which this part of the sorted samples lies, interpolated.
fn quantile(sorted: &[f64], part: f64) -> f64 {
    let index = part * (sorted.len() - 1) as f64;
    let low = sorted[index.floor() as usize];
    let high = sorted[index.ceil() as usize];
    low + (high - low) * index.fract()
}
