//! Estimates: the resources that a request is expected to need, from the client's estimates and the usage of
//! earlier requests.

use crate::samples::{SampleWindow, duration, quantile, seconds};
use crate::state::{Attempt, ExpectedResources, Request, SchedulerState};
use crate::{Arrival, AttemptEnded, AttemptOutcome};
use std::time::Duration;

/// Memory grant as a multiple of the client's estimate or of the expected memory, whichever is larger.
const GRANT_FACTOR: f64 = 1.25;
/// Memory grant as a multiple of the usual memory of the class, for a request without an estimate.
const GRANT_FACTOR_UNESTIMATED: f64 = 1.5;
/// Quantile of the reported memory of the class that the grant of a request without an estimate must cover.
const GRANT_QUANTILE: f64 = 0.9;

/// Priority of bulk loads. They are served first, because other requests on the engine wait for them.
const PRIORITY_BULK_LOAD: u8 = 3;
/// Priority of classes with a high priority weight per core-second of work.
const PRIORITY_HIGH: u8 = 2;
/// Priority of all other classes, and of all classes if engines ignore priorities.
const PRIORITY_NORMAL: u8 = 1;
/// Priority weight per core-second from which a class has a high priority, as a fraction of the highest of all
/// classes.
const HIGH_WEIGHT_FRACTION: f64 = 0.5;

impl SchedulerState {
    /// Returns the resources that a request is expected to need: the client's estimates, corrected by the usual
    /// ratio of reported usage to estimate in the class, or without an estimate the usual usage of the class.
    pub fn expected_resources(&self, arrival: &Arrival) -> ExpectedResources {
        let estimates = &self.estimates[arrival.class];
        let corrected = |estimate: f64, ratios: &SampleWindow| estimate * ratios.median().unwrap_or(1.0);
        let usual = |samples: &SampleWindow| samples.mean().unwrap_or(0.0);
        ExpectedResources {
            work: match arrival.estimated_work {
                Some(work) => corrected(seconds(work), &estimates.work_ratios),
                None => usual(&estimates.work),
            },
            memory_mb: match arrival.estimated_memory_mb {
                Some(memory_mb) => corrected(memory_mb, &estimates.memory_ratios),
                None => usual(&estimates.memory_mb),
            },
        }
    }

    /// Creates the request that an arrival would become, without recording it.
    pub fn expected_request(&self, now: Duration, arrival: &Arrival) -> Request {
        self.new_request(now, arrival, self.expected_resources(arrival), self.elapsed_before_arrival(arrival))
    }

    /// Returns the time that has passed since a client's first request, if the arrival is a retry. A retry has a
    /// shorter deadline than usual, and the difference also counts against its latency objective. An arrival is
    /// treated as a retry unless the client has marked it as a first request.
    fn elapsed_before_arrival(&self, arrival: &Arrival) -> Duration {
        if arrival.is_retry == Some(false) {
            return Duration::ZERO;
        }
        let usual_deadline = duration(self.estimates[arrival.class].deadlines.median().unwrap_or(0.0));
        usual_deadline.saturating_sub(arrival.deadline)
    }

    /// Records the deadline of an arrival and, if the client gave an estimate, the expected work. Creates the request
    /// of the arrival.
    pub fn update_estimates_from_arrival(&mut self, now: Duration, arrival: &Arrival) -> Request {
        // Marked retries are left out, because their shorter deadlines would lower the usual deadline.
        if arrival.is_retry != Some(true) {
            self.estimates[arrival.class].deadlines.push(now, seconds(arrival.deadline));
        }
        let request = self.expected_request(now, arrival);
        if arrival.estimated_work.is_some() {
            let work = self.expected_resources(arrival).work;
            self.estimates[arrival.class].work.push(now, work);
        }
        request
    }

    /// Records the usage of an ended attempt. Returns the ideal run of the request in seconds. If the attempt
    /// succeeded and the client gave no estimate of the work, the ideal run is computed from the work of the attempt.
    pub fn update_estimates_from_outcome(
        &mut self,
        now: Duration,
        ended: &AttemptEnded,
        attempt: &Attempt,
    ) -> f64 {
        self.record_usage(now, ended, attempt);
        let request = &self.requests[&ended.request];
        if request.estimated_work.is_some() || ended.outcome != AttemptOutcome::Succeeded {
            return request.ideal_run_seconds;
        }
        let threads = self.classes[request.class].threads;
        let work = match &ended.usage {
            Some(usage) => seconds(usage.work),
            None => self.work_from_elapsed_time(ended, attempt, threads),
        };
        self.estimates[request.class].work.push(now, work);
        work / threads.max(1.0)
    }

    /// Records the usage that the engine reported. Without reported usage, records the memory that the attempt needed,
    /// if that is known.
    fn record_usage(&mut self, now: Duration, ended: &AttemptEnded, attempt: &Attempt) {
        let request = &self.requests[&ended.request];
        let estimates = &mut self.estimates[request.class];
        if let Some(usage) = &ended.usage {
            return estimates.record_usage(now, request, usage);
        }
        // Without reported usage, a spill shows how much memory was needed, unless the engine may have cut the
        // grant.
        let succeeded = ended.outcome == AttemptOutcome::Succeeded;
        if let Some(estimate) = request.estimated_memory_mb
            && succeeded
            && !self.fleet.shrinks_grants
        {
            let needed_mb = attempt.grant_mb + attempt.spilled_mb;
            let ratio = if attempt.spilled_mb > 0.0 { needed_mb / estimate } else { 1.0 };
            estimates.memory_ratios.push(now, ratio);
        }
    }

    /// Estimates the work in core-seconds of a successful attempt without reported usage from its elapsed time.
    /// Requests that share the cores extend the elapsed time, which is corrected by the load that the engine
    /// reported with the answer.
    fn work_from_elapsed_time(&self, ended: &AttemptEnded, attempt: &Attempt, threads: f64) -> f64 {
        let report = ended.load_report.and_then(|_| self.engines[&attempt.engine].report);
        let core_utilization = report.and_then(|report| report.load.core_utilization).unwrap_or(1.0).max(1.0);
        seconds(ended.elapsed) * threads / core_utilization
    }

    /// Returns the memory grant in MB of a request's next attempt at an engine of this kind.
    pub fn grant_mb(&self, request: &Request, kind: usize) -> f64 {
        let limit = self.fleet.max_grant_fraction * self.fleet.kinds[kind].memory_mb;
        let grant = match request.estimated_memory_mb {
            Some(estimate) => request.memory_mb.max(estimate) * GRANT_FACTOR,
            None => {
                let reported = quantile(self.estimates[request.class].memory_mb.values(), GRANT_QUANTILE);
                reported.unwrap_or(0.0).max(request.memory_mb * GRANT_FACTOR_UNESTIMATED)
            }
        };
        grant.min(limit)
    }

    /// Returns the priority that engines are sent for a class; a higher number is served first.
    pub fn priority(&self, class: usize) -> u8 {
        if !self.fleet.honors_priorities {
            return PRIORITY_NORMAL;
        }
        if self.classes[class].is_bulk_load {
            return PRIORITY_BULK_LOAD;
        }
        let highest = self.weights_per_core_second().fold(0.0, f64::max);
        let has_high_weight = self.weight_per_core_second(class) >= highest * HIGH_WEIGHT_FRACTION;
        if has_high_weight { PRIORITY_HIGH } else { PRIORITY_NORMAL }
    }
}
