//! Windows over the latest samples of a measurement, and statistics over samples.

use std::collections::VecDeque;
use std::time::Duration;

/// Longest time that [`duration`] returns, in microseconds: about eleven and a half days.
const MAX_MICROSECONDS: f64 = 1e12;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// The latest samples of one measurement, each with its time.
#[derive(Clone)]
pub struct SampleWindow {
    samples: VecDeque<(Duration, f64)>,
    capacity: usize,
}

impl SampleWindow {
    /// Creates an empty window over the latest `capacity` samples.
    pub fn with_capacity(capacity: usize) -> Self {
        Self { samples: VecDeque::new(), capacity }
    }

    /// Adds a sample, and drops the oldest one if the window is full.
    pub fn push(&mut self, now: Duration, value: f64) {
        if self.samples.len() == self.capacity {
            self.samples.pop_front();
        }
        self.samples.push_back((now, value));
    }

    /// Removes the newest sample that was taken at `at` and returns its value; `None` if there is none.
    pub fn remove(&mut self, at: Duration) -> Option<f64> {
        let position = self.samples.iter().rposition(|(sampled_at, _)| *sampled_at == at)?;
        self.samples.remove(position).map(|(_, value)| value)
    }

    /// Returns time and value of the newest sample; `None` if the window is empty.
    pub fn last(&self) -> Option<(Duration, f64)> {
        self.samples.back().copied()
    }

    /// Returns time and value of each sample, oldest first.
    pub fn samples(&self) -> impl Iterator<Item = (Duration, f64)> {
        self.samples.iter().copied()
    }

    /// Returns the values, oldest first.
    pub fn values(&self) -> impl Iterator<Item = f64> {
        self.samples.iter().map(|(_, value)| *value)
    }

    /// Returns the values that were sampled at or after `start`, newest first.
    pub fn since(&self, start: Duration) -> impl Iterator<Item = f64> {
        self.samples.iter().rev().take_while(move |(at, _)| *at >= start).map(|(_, value)| *value)
    }

    /// Returns the mean of all values; `None` if the window is empty.
    pub fn mean(&self) -> Option<f64> {
        mean(self.values())
    }

    /// Returns the median of all values; `None` if the window is empty.
    pub fn median(&self) -> Option<f64> {
        median(self.values())
    }

    /// Returns the median of the values that were sampled at or after `start`; `None` if there are none.
    pub fn median_since(&self, start: Duration) -> Option<f64> {
        median(self.since(start))
    }
}

/// Returns the mean; `None` if there are no values.
pub fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    (count > 0.0).then(|| sum / count)
}

/// Returns the median; `None` if there are no values.
pub fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    quantile(values, 0.5)
}

/// Returns the quantile of the values at `fraction`, which is from 0 (the smallest value) to 1 (the largest value),
/// rounded to the nearest rank; `None` if there are no values.
pub fn quantile(values: impl Iterator<Item = f64>, fraction: f64) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    let last = values.len().checked_sub(1)?;
    let index = (last as f64 * fraction).round() as usize;
    let (_, value, _) = values.select_nth_unstable_by(index, f64::total_cmp);
    Some(*value)
}

/// Converts a time to seconds.
pub fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

/// Converts seconds to a duration, rounded down to a multiple of 1 µs. The result is limited to the range
/// from 0 to `MAX_MICROSECONDS`.
pub fn duration(seconds: f64) -> Duration {
    Duration::from_micros((seconds * MICROSECONDS_PER_SECOND).clamp(0.0, MAX_MICROSECONDS) as u64)
}
