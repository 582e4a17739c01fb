//! The last few samples of a measurement; figures are worked out when they are needed.

use std::collections::VecDeque;
use std::time::Duration;

/// The last samples of one measurement, each with its time.
#[derive(Clone)]
pub struct SampleWindow {
    samples: VecDeque<(Duration, f64)>,
    capacity: usize,
}

impl SampleWindow {
    /// An empty window that keeps the last `capacity` samples.
    pub fn with_capacity(capacity: usize) -> Self {
        Self { samples: VecDeque::new(), capacity }
    }

    /// Adds a sample, and drops the oldest from a full window.
    pub fn push(&mut self, now: Duration, value: f64) {
        if self.samples.len() == self.capacity {
            self.samples.pop_front();
        }
        self.samples.push_back((now, value));
    }

    /// Time and value of the newest sample.
    pub fn last(&self) -> Option<(Duration, f64)> {
        self.samples.back().copied()
    }

    /// Time and value of each sample, oldest first.
    pub fn samples(&self) -> impl Iterator<Item = (Duration, f64)> {
        self.samples.iter().copied()
    }

    /// The values, oldest first.
    pub fn values(&self) -> impl Iterator<Item = f64> {
        self.samples.iter().map(|(_, value)| *value)
    }

    /// The values sampled at or after `from`, newest first.
    pub fn since(&self, from: Duration) -> impl Iterator<Item = f64> {
        self.samples.iter().rev().take_while(move |(at, _)| *at >= from).map(|(_, value)| *value)
    }

    /// Mean of all values.
    pub fn mean(&self) -> Option<f64> {
        mean(self.values())
    }

    /// Median of all values.
    pub fn median(&self) -> Option<f64> {
        quantile(self.values(), 0.5)
    }
}

/// The mean; `None` of no values.
pub fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    (count > 0.0).then(|| sum / count)
}

/// The value that `part` of the others lie below; `None` of no values.
pub fn quantile(values: impl Iterator<Item = f64>, part: f64) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    let last = values.len().checked_sub(1)?;
    let (_, value, _) = values.select_nth_unstable_by((last as f64 * part).round() as usize, f64::total_cmp);
    Some(*value)
}

/// A time in seconds.
pub fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

/// Seconds as a time in whole microseconds, from zero to some eleven days.
pub fn duration(seconds: f64) -> Duration {
    Duration::from_micros((seconds * 1e6).clamp(0.0, 1e12) as u64)
}
