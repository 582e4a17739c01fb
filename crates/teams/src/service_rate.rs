//! The service rate over the latest dispatches, and wait estimates that are corrected by earlier actual waits.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// An estimate of a wait. At least nine of ten actual waits should lie between `low` and `high`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitEstimate {
    /// Estimated 3 % quantile of the wait.
    pub low: Duration,
    /// Estimated median of the wait.
    pub median: Duration,
    /// Estimated 97 % quantile of the wait.
    pub high: Duration,
    /// Number of waiting requests of the same team that precede the request.
    pub position: usize,
}

/// Largest number of samples of each measurement.
const MAX_SAMPLES: usize = 128;
/// Smallest number of dispatches from which the service rate is computed.
const MIN_SAMPLES: usize = 8;
/// Longest estimated wait: one year.
const MAX_WAIT_S: f64 = 366.0 * 24.0 * 3600.0;
/// Ratios of actual to estimated wait that are assumed until samples replace them.
const INITIAL_RATIOS: [f64; 3] = [0.5, 1.0, 2.0];
/// Smallest sampled ratio of actual to estimated wait; a request that did not wait is sampled with this ratio.
const MIN_RATIO: f64 = 0.1;
/// Largest sampled ratio. The ratio to an estimate close to zero would otherwise outweigh all others.
const MAX_RATIO: f64 = 10.0;
/// Quantile of the ratios from which [`WaitEstimate::low`] is computed.
const LOW_QUANTILE: f64 = 0.03;
/// Quantile of the ratios from which [`WaitEstimate::median`] is computed.
const MEDIAN_QUANTILE: f64 = 0.5;
/// Quantile of the ratios from which [`WaitEstimate::high`] is computed.
const HIGH_QUANTILE: f64 = 0.97;

#[derive(Clone, Debug)]
struct Dispatch {
    at: Duration,
    /// Expected work of the request.
    work_s: f64,
}

/// Samples of the latest dispatches and of the accuracy of wait estimates.
#[derive(Clone, Debug)]
pub struct ServiceRate {
    dispatches: VecDeque<Dispatch>,
    /// Ratios of actual to estimated wait of the latest dispatched requests.
    wait_ratios: VecDeque<f64>,
}

impl Default for ServiceRate {
    fn default() -> Self {
        Self { dispatches: VecDeque::new(), wait_ratios: INITIAL_RATIOS.into() }
    }
}

impl ServiceRate {
    /// Records the dispatch of a request of `work_s` seconds of work, with its actual and its estimated wait. The
    /// estimate is `None` if the service rate was unknown when the request arrived.
    pub fn record_dispatch(
        &mut self,
        now: Duration,
        work_s: f64,
        waited: Duration,
        estimated_wait_s: Option<f64>,
    ) {
        push_sample(&mut self.dispatches, Dispatch { at: now, work_s });
        if let Some(estimated_s) = estimated_wait_s.filter(|estimated_s| *estimated_s > 0.0) {
            let ratio = waited.as_secs_f64() / estimated_s;
            push_sample(&mut self.wait_ratios, ratio.clamp(MIN_RATIO, MAX_RATIO));
        }
    }

    /// Adds `work_s` seconds to the work of the latest dispatch; negative for the work of a requeued request.
    pub fn adjust_latest_work(&mut self, work_s: f64) {
        if let Some(latest) = self.dispatches.back_mut() {
            latest.work_s += work_s;
        }
    }

    /// Returns the seconds of work dispatched per second; `None` with fewer than `MIN_SAMPLES` dispatches.
    pub fn work_per_second(&self, now: Duration) -> Option<f64> {
        let first = self.dispatches.front().filter(|_| self.dispatches.len() >= MIN_SAMPLES)?;
        let work_s: f64 = self.dispatches.iter().skip(1).map(|dispatch| dispatch.work_s).sum();
        let span_s = now.saturating_sub(first.at).as_secs_f64();
        (span_s > 0.0 && work_s > 0.0).then(|| work_s / span_s)
    }

    /// Returns the mean work of the latest dispatches, in seconds; 0 before the first dispatch.
    pub fn mean_work_s(&self) -> f64 {
        let work_s: f64 = self.dispatches.iter().map(|dispatch| dispatch.work_s).sum();
        work_s / self.dispatches.len().max(1) as f64
    }

    /// Returns the estimate for a computed wait, corrected by the ratios of actual to estimated waits.
    pub fn estimate(&self, computed_wait_s: f64, position: usize) -> WaitEstimate {
        let mut ratios: Vec<f64> = self.wait_ratios.iter().copied().collect();
        ratios.sort_unstable_by(f64::total_cmp);
        let corrected_wait = |fraction| {
            let wait_s = computed_wait_s * quantile(&ratios, fraction);
            Duration::from_secs_f64(wait_s.min(MAX_WAIT_S))
        };
        WaitEstimate {
            low: corrected_wait(LOW_QUANTILE),
            median: corrected_wait(MEDIAN_QUANTILE),
            high: corrected_wait(HIGH_QUANTILE),
            position,
        }
    }

    /// Feeds the state to a hasher, with times relative to `now`.
    pub fn fingerprint(&self, now: Duration, hasher: &mut impl Hasher) {
        for dispatch in &self.dispatches {
            (now.saturating_sub(dispatch.at), dispatch.work_s.to_bits()).hash(hasher);
        }
        self.wait_ratios.iter().for_each(|ratio| ratio.to_bits().hash(hasher));
    }
}

/// Adds a sample, and drops the oldest one beyond [`MAX_SAMPLES`].
fn push_sample<T>(samples: &mut VecDeque<T>, sample: T) {
    if samples.len() == MAX_SAMPLES {
        samples.pop_front();
    }
    samples.push_back(sample);
}

/// Returns the quantile of sorted samples, interpolated between the two neighbouring samples; `fraction` is 0 to 1.
fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let index = fraction * (sorted.len() - 1) as f64;
    let low = sorted[index.floor() as usize];
    let high = sorted[index.ceil() as usize];
    low + (high - low) * index.fract()
}
