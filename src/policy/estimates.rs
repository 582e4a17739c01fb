//! Estimates: what a request will need, by what its client says and what such requests came to.

use super::*;

/// Margin of a grant over the corrected estimate; the engine's own choice adds as much to the client's.
const GRANT_FACTOR: f64 = 1.25;
/// The same without a client's estimate: an engine adds half to what the class usually needs.
const GRANT_FACTOR_UNESTIMATED: f64 = 1.5;
/// Part of the billed needs of a class that such a grant covers.
const GRANT_QUANTILE: f64 = 0.9;

impl SchedulerState {
    /// A request's work in seconds and its memory in MB, as corrected by what others came to.
    pub fn expected(&self, arrival: &Arrival) -> (f64, f64) {
        let estimates = &self.estimates[arrival.class];
        let ratio = |ratios: &SampleWindow| ratios.median().unwrap_or(1.0);
        let usual = |samples: &SampleWindow| samples.mean().unwrap_or(0.0);
        let work = arrival.cost.map(|cost| seconds(cost) * ratio(&estimates.work_ratios));
        let memory = arrival.memory_mb.map(|memory| memory * ratio(&estimates.memory_ratios));
        let work = work.unwrap_or_else(|| usual(&estimates.work));
        (work, memory.unwrap_or_else(|| usual(&estimates.memory_mb)))
    }

    /// A request as it is expected to be.
    pub fn expected_request(&self, now: Duration, arrival: &Arrival) -> Request {
        // A client's retry has less deadline than usual: so much of the way to the objective is gone.
        let usual_deadline = duration(self.estimates[arrival.class].deadlines.median().unwrap_or(0.0));
        let may_be_retry = arrival.is_retry != Some(false);
        let spent = usual_deadline.saturating_sub(arrival.deadline) * u32::from(may_be_retry);
        self.new_request(now, arrival, self.expected(arrival), spent)
    }

    /// A request as it is expected to be, after taking in what its arrival tells of its class.
    pub fn learn_from_arrival(&mut self, now: Duration, arrival: &Arrival) -> Request {
        // Where clients mark retries, a first request with less deadline than others is not taken for one.
        if arrival.is_retry != Some(true) {
            self.estimates[arrival.class].deadlines.push(now, seconds(arrival.deadline));
        }
        let (work, _) = self.expected(arrival);
        let request = self.expected_request(now, arrival);
        if arrival.cost.is_some() {
            self.estimates[arrival.class].work.push(now, work);
        }
        request
    }

    /// Takes in what an attempt came to; returns the request's ideal run in seconds by that.
    pub fn learn_from_outcome(&mut self, now: Duration, ended: &AttemptEnded, attempt: &Attempt) -> f64 {
        let request = &self.requests[&ended.request];
        let estimates = &mut self.estimates[request.class];
        let succeeded = ended.outcome == AttemptOutcome::Succeeded;
        if let Some(usage) = &ended.usage {
            estimates.record_usage(now, request, usage);
        } else if let (Some(estimate), true, false) =
            (request.estimated_memory_mb, succeeded, self.fleet.shrinks_grants)
        {
            // Unbilled, a spill tells the most that was needed, unless a cut grant may be its cause.
            let needed = attempt.grant_mb + attempt.spilled_mb;
            estimates.memory_ratios.push(now, if attempt.spilled_mb > 0.0 { needed / estimate } else { 1.0 });
        }
        if request.estimated_work.is_some() || !succeeded {
            return request.ideal_run;
        }
        // Without an estimate, a request is what it came to, not what such requests come to. Unbilled, its
        // share of the cores is what it ran on: else a crowd would look like its own work.
        let threads = self.classes[request.class].threads;
        let report = ended.load_report.and_then(|_| self.engines[&attempt.engine].report);
        let crowd = report.and_then(|report| report.load.busy).unwrap_or(1.0).max(1.0);
        let alone = seconds(ended.elapsed) * threads / crowd;
        let work = ended.usage.map_or(alone, |usage| seconds(usage.cost));
        estimates.work.push(now, work);
        work / threads.max(1.0)
    }

    /// The memory in MB that a request's next attempt may use at an engine of this kind.
    pub fn grant_mb(&self, request: &Request, kind: usize) -> f64 {
        let limit = self.fleet.max_grant_share * self.fleet.kinds[kind].memory_mb;
        let billed = || quantile(self.estimates[request.class].memory_mb.values(), GRANT_QUANTILE);
        let unestimated = || billed().unwrap_or(0.0).max(request.memory_mb * GRANT_FACTOR_UNESTIMATED);
        let estimated = |estimate| request.memory_mb.max(estimate) * GRANT_FACTOR;
        request.estimated_memory_mb.map_or_else(unestimated, estimated).min(limit)
    }

    /// Where priorities are heeded: first what others may wait for on an engine, then by weight for the work.
    pub fn priority(&self, class: usize) -> u8 {
        let highest = self.weights_per_second().fold(0.0, f64::max);
        match &self.classes[class] {
            _ if !self.fleet.honors_priorities => 1,
            RequestClass { is_bulk_load: true, .. } => 3,
            _ if self.weight_per_second(class) >= highest / 2.0 => 2,
            _ => 1,
        }
    }
}
