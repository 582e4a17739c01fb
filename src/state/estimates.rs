//! Measurements of the requests of one class, from which later requests are estimated.

use super::Request;
use crate::Usage;
use crate::samples::{SampleWindow, seconds};
use std::time::Duration;

/// Measurements of one request class.
#[derive(Clone)]
pub struct ClassEstimates {
    /// Work in seconds on one core.
    pub work: SampleWindow,
    /// Memory in MB, as billed.
    pub memory_mb: SampleWindow,
    /// Billed work as a multiple of the client's estimate.
    pub work_ratios: SampleWindow,
    /// Billed memory as a multiple of the client's estimate.
    pub memory_ratios: SampleWindow,
    /// Elapsed time of each success as a multiple of the ideal run.
    pub slowdowns: SampleWindow,
    /// Deadlines in seconds, counted from the arrival.
    pub deadlines: SampleWindow,
}

impl ClassEstimates {
    /// Creates empty windows over the latest `capacity` samples.
    pub fn new(capacity: usize) -> Self {
        let window = || SampleWindow::with_capacity(capacity);
        Self {
            work: window(),
            memory_mb: window(),
            work_ratios: window(),
            memory_ratios: window(),
            slowdowns: window(),
            deadlines: window(),
        }
    }

    /// Records the billed usage of a request, also relative to the client's estimates. The work itself is
    /// recorded by the caller.
    pub fn record_usage(&mut self, now: Duration, request: &Request, usage: &Usage) {
        self.memory_mb.push(now, usage.memory_mb);
        if let Some(estimate) = request.estimated_memory_mb {
            self.memory_ratios.push(now, usage.memory_mb / estimate);
        }
        if let Some(estimate) = request.estimated_work {
            self.work_ratios.push(now, seconds(usage.work) / estimate);
        }
    }
}
