//! The last few samples of a measurement; figures are worked out when asked for.

use std::collections::VecDeque;
use std::time::Duration;

#[derive(Clone)]
pub struct SampleWindow {
    samples: VecDeque<(Duration, f64)>,
    held_counts: usize,
}

impl SampleWindow {
    pub fn keeping(held_counts: usize) -> Self {
        Self { samples: VecDeque::new(), held_counts }
    }

    pub fn push(&mut self, now: Duration, value: f64) {
        if self.samples.len() == self.held_counts {
            self.samples.pop_front();
        }
        self.samples.push_back((now, value));
    }

    pub fn last(&self) -> Option<(Duration, f64)> {
        self.samples.back().copied()
    }

    /// When each was sampled, and its value.
    pub fn samples(&self) -> impl Iterator<Item = (Duration, f64)> {
        self.samples.iter().copied()
    }

    pub fn values(&self) -> impl Iterator<Item = f64> {
        self.samples.iter().map(|s| s.1)
    }

    /// The values sampled at or after `from`.
    pub fn since(&self, from: Duration) -> impl Iterator<Item = f64> {
        self.samples.iter().rev().take_while(move |s| s.0 >= from).map(|s| s.1)
    }

    pub fn mean(&self) -> Option<f64> {
        mean(self.values())
    }

    pub fn median(&self) -> Option<f64> {
        quantile(self.values(), 0.5)
    }
}

pub fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), v| (sum + v, count + 1.0));
    (count > 0.0).then(|| sum / count)
}

pub fn quantile(values: impl Iterator<Item = f64>, share: f64) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    let last = values.len().checked_sub(1)?;
    let (_, value, _) = values.select_nth_unstable_by((last as f64 * share).round() as usize, f64::total_cmp);
    Some(*value)
}

pub fn add(a: (f64, f64), b: (f64, f64)) -> (f64, f64) {
    (a.0 + b.0, a.1 + b.1)
}

pub fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

pub fn span(seconds: f64) -> Duration {
    Duration::from_micros((seconds * 1e6).clamp(0.0, 1e12) as u64)
}
