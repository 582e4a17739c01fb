//! Measurements of the requests of one class, from which the resources of later requests are estimated.

use super::Request;
use crate::Usage;
use crate::samples::{SampleWindow, seconds};
use std::time::Duration;

/// Measurements of one request class.
#[derive(Clone)]
pub struct ClassEstimates {
    /// Work in core-seconds: the measured work or, for a request with a client's estimate, the expected work.
    pub work: SampleWindow,
    /// Reported memory in MB.
    pub memory_mb: SampleWindow,
    /// Reported work as a multiple of the client's estimate.
    pub work_ratios: SampleWindow,
    /// Memory that was needed, as a multiple of the client's estimate.
    pub memory_ratios: SampleWindow,
    /// Elapsed time of each successful attempt as a multiple of its ideal run.
    pub slowdowns: SampleWindow,
    /// Deadlines in seconds, counted from the arrival. Marked retries are left out.
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

    /// Records the memory that the engine reported for a request, and the ratios of reported usage to the client's
    /// estimates. The caller records the work itself.
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
