//! The load model of an engine: all requests run at the same time and share the cores evenly, and a request with less
//! memory than it needs runs more slowly. The model has no sockets, and its caller passes the time.

use std::collections::BTreeMap;
use std::time::Duration;

/// Remaining work, in seconds of one core, below which a request has finished.
const NEGLIGIBLE_WORK_S: f64 = 1e-9;

/// The resources that a request needs from an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceNeed {
    /// Work in seconds of one core.
    pub work_s: f64,
    /// The memory with which the request runs at full speed, in MB.
    pub memory_mb: f64,
    /// The memory that the request may use, in MB.
    pub granted_mb: f64,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    need: ResourceNeed,
    /// Remaining work in seconds of one core.
    remaining_s: f64,
}

/// The requests that run on one engine.
#[derive(Clone, Debug)]
pub struct LoadModel {
    cores: f64,
    memory_mb: f64,
    /// Relative speed of each core; 1 for the normal speed.
    pub speed: f64,
    /// The time up to which the requests have run.
    now: Duration,
    running: BTreeMap<String, RunningRequest>,
}

/// A request that has run to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedRequest {
    pub id: String,
    pub need: ResourceNeed,
}

impl LoadModel {
    /// Returns the model of an idle engine.
    pub fn new(cores: f64, memory_mb: f64) -> Self {
        Self { cores, memory_mb, speed: 1.0, now: Duration::ZERO, running: BTreeMap::new() }
    }

    /// Starts a request if its granted memory is free; returns whether it was started. [`advance_to`](Self::advance_to)
    /// must have been called for `now`.
    pub fn start(&mut self, now: Duration, id: &str, need: ResourceNeed) -> bool {
        let granted_mb: f64 = self.running.values().map(|request| request.need.granted_mb).sum();
        if granted_mb + need.granted_mb > self.memory_mb {
            return false;
        }
        debug_assert!(now >= self.now, "a request is started before the time of the last advance");
        self.running.insert(id.to_owned(), RunningRequest { need, remaining_s: need.work_s });
        true
    }

    /// Ends a request before it has finished.
    pub fn cancel(&mut self, id: &str) {
        self.running.remove(id);
    }

    /// Returns how many seconds of work are done for a request in a second: its share of the cores at their speed,
    /// divided by 1 plus the missing fraction of its memory.
    fn speed_of(&self, request: &RunningRequest) -> f64 {
        let core_share = (self.cores / self.running.len() as f64).min(1.0);
        let granted_fraction = request.need.granted_mb / request.need.memory_mb.max(1.0);
        let missing_fraction = (1.0 - granted_fraction).clamp(0.0, 1.0);
        self.speed * core_share / (1.0 + missing_fraction)
    }

    /// Runs all requests until `now`; returns the finished ones in the order in which they have finished.
    pub fn advance_to(&mut self, now: Duration) -> Vec<FinishedRequest> {
        let mut finished = Vec::new();
        while self.now < now {
            self.advance_to_next_end(now);
            finished.extend(self.remove_finished());
        }
        finished
    }

    /// Runs all requests until the next one finishes, or until `now`.
    fn advance_to_next_end(&mut self, now: Duration) {
        let span_s = now.saturating_sub(self.now).as_secs_f64();
        let seconds_to_end =
            |request: &RunningRequest| request.remaining_s / self.speed_of(request).max(NEGLIGIBLE_WORK_S);
        let step_s = self.running.values().map(seconds_to_end).fold(span_s, f64::min);
        let speeds: Vec<f64> = self.running.values().map(|request| self.speed_of(request)).collect();
        for (request, speed) in self.running.values_mut().zip(speeds) {
            request.remaining_s -= speed * step_s;
        }
        // The step is at least a nanosecond, so that the loop in `advance_to` ends.
        let step = Duration::from_secs_f64(step_s.max(NEGLIGIBLE_WORK_S));
        self.now = if step_s >= span_s { now } else { self.now + step };
    }

    fn remove_finished(&mut self) -> Vec<FinishedRequest> {
        let is_finished = |request: &RunningRequest| request.remaining_s <= NEGLIGIBLE_WORK_S;
        let finished = self.running.extract_if(.., |_, request| is_finished(request));
        finished.map(|(id, request)| FinishedRequest { id, need: request.need }).collect()
    }

    /// Whether no request runs.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
    }
}
