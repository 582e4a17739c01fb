//! The load model of an engine: all requests run at once and share the cores evenly, and a request with less memory than
//! it needs runs slower. The model has no sockets and no clock.

use std::collections::BTreeMap;
use std::time::Duration;

/// Work, in seconds of one core, below which a request is done.
const NEGLIGIBLE_WORK_S: f64 = 1e-9;

/// The resources that a request needs of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceNeed {
    /// Work in seconds of one core.
    pub work_s: f64,
    /// The memory with which it runs at full speed.
    pub memory_mb: f64,
    /// The memory that the request may use.
    pub granted_mb: f64,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    need: ResourceNeed,
    remaining_s: f64,
}

/// The requests that run on one engine.
#[derive(Clone, Debug)]
pub struct LoadModel {
    cores: f64,
    memory_mb: f64,
    /// The speed of each core; 1 for the normal one.
    pub speed: f64,
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
    /// Returns an idle engine with some cores and memory.
    pub fn new(cores: f64, memory_mb: f64) -> Self {
        Self { cores, memory_mb, speed: 1.0, now: Duration::ZERO, running: BTreeMap::new() }
    }

    /// Starts a request if its granted memory is free; returns whether it runs. `now` is the time of the last
    /// [`advance_to`](Self::advance_to).
    pub fn start(&mut self, now: Duration, id: &str, need: ResourceNeed) -> bool {
        let granted_mb: f64 = self.running.values().map(|request| request.need.granted_mb).sum();
        if granted_mb + need.granted_mb > self.memory_mb {
            return false;
        }
        debug_assert!(now >= self.now, "time has advanced before");
        self.running.insert(id.to_owned(), RunningRequest { need, remaining_s: need.work_s });
        true
    }

    /// Ends a request without a result.
    pub fn cancel(&mut self, id: &str) {
        self.running.remove(id);
    }

    /// Returns the seconds of work that a request does in a second: its share of the cores, divided by 1 plus the missing
    /// fraction of its memory.
    fn speed_of(&self, request: &RunningRequest) -> f64 {
        let share = (self.cores / self.running.len() as f64).min(1.0);
        let granted = request.need.granted_mb / request.need.memory_mb.max(1.0);
        let missing = (1.0 - granted).clamp(0.0, 1.0);
        self.speed * share / (1.0 + missing)
    }

    /// Runs all requests until `now`; returns those that have finished, in that order.
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
        let ends_in =
            |request: &RunningRequest| request.remaining_s / self.speed_of(request).max(NEGLIGIBLE_WORK_S);
        let step_s = self.running.values().map(ends_in).fold(span_s, f64::min);
        let speeds: Vec<f64> = self.running.values().map(|request| self.speed_of(request)).collect();
        for (request, speed) in self.running.values_mut().zip(speeds) {
            request.remaining_s -= speed * step_s;
        }
        // A step of at least a nanosecond, so that the loop in `advance_to` ends.
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
