//! What was learned of the requests of one class.

use super::Request;
use crate::Usage;
use crate::samples::{SampleWindow, seconds};
use std::time::Duration;

/// Measurements of one request class.
#[derive(Clone)]
pub struct ClassEstimates {
    /// Seconds of one core.
    pub work: SampleWindow,
    /// MB billed.
    pub memory_mb: SampleWindow,
    /// Billed over estimated.
    pub work_ratios: SampleWindow,
    pub memory_ratios: SampleWindow,
    /// Time to a success over that of an ideal run.
    pub slowdowns: SampleWindow,
    /// Seconds that clients wait at most.
    pub deadlines: SampleWindow,
}

impl ClassEstimates {
    /// Empty windows of so many samples.
    pub fn new(samples: usize) -> Self {
        let window = || SampleWindow::with_capacity(samples);
        Self {
            work: window(),
            memory_mb: window(),
            work_ratios: window(),
            memory_ratios: window(),
            slowdowns: window(),
            deadlines: window(),
        }
    }

    /// Enters what a request was billed, by itself and over the client's estimates.
    pub fn record_usage(&mut self, now: Duration, request: &Request, usage: &Usage) {
        self.memory_mb.push(now, usage.memory_mb);
        if let Some(estimate) = request.estimated_memory_mb {
            self.memory_ratios.push(now, usage.memory_mb / estimate);
        }
        if let Some(estimate) = request.estimated_work {
            self.work_ratios.push(now, seconds(usage.cost) / estimate);
        }
    }
}
