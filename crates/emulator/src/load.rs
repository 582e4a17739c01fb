//! The load model of an engine: whatever it is sent runs at once, cores are shared evenly, and memory that is not
//! there makes everything slower. It holds no socket and no clock.

use std::collections::BTreeMap;
use std::time::Duration;

/// A request that runs: its work in seconds of one core, what is left of it, and its memory.
#[derive(Clone, Debug)]
struct Running {
    work: f64,
    left: f64,
    need_mb: f64,
    granted_mb: f64,
}

#[derive(Clone, Debug)]
pub struct Load {
    cores: f64,
    memory_mb: f64,
    /// Of its usual pace.
    pub pace: f64,
    at: Duration,
    running: BTreeMap<String, Running>,
}

/// A request that has run to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct Done {
    pub id: String,
    pub work: f64,
    pub need_mb: f64,
}

impl Load {
    pub fn of(cores: f64, memory_mb: f64) -> Self {
        Self { cores, memory_mb, pace: 1.0, at: Duration::ZERO, running: BTreeMap::new() }
    }

    /// Takes a request that needs so much work and memory and was granted some; tells whether there was room.
    pub fn take(&mut self, now: Duration, id: &str, work: f64, need_mb: f64, granted_mb: f64) -> bool {
        let granted: f64 = self.running.values().map(|request| request.granted_mb).sum();
        if granted + granted_mb > self.memory_mb {
            return false;
        }
        debug_assert!(now >= self.at, "time has been passed before");
        self.running.insert(id.to_owned(), Running { work, left: work, need_mb, granted_mb });
        true
    }

    pub fn drop_request(&mut self, id: &str) {
        self.running.remove(id);
    }

    /// Cores that one request has, and how much slower it runs for want of memory: once more for each part of its
    /// need that was not granted.
    fn speed(&self, request: &Running) -> f64 {
        let share = (self.cores / self.running.len() as f64).min(1.0);
        let missing = (1.0 - request.granted_mb / request.need_mb.max(1.0)).clamp(0.0, 1.0);
        self.pace * share / (1.0 + missing)
    }

    /// Runs until `now`; what has come to its end, in the order of it.
    pub fn pass(&mut self, now: Duration) -> Vec<Done> {
        let mut done = Vec::new();
        while self.at < now {
            let span = now.saturating_sub(self.at).as_secs_f64();
            let ends = |request: &Running| request.left / self.speed(request).max(1e-9);
            let first = self.running.values().map(ends).fold(span, f64::min);
            let speeds: Vec<f64> = self.running.values().map(|request| self.speed(request)).collect();
            for (request, speed) in self.running.values_mut().zip(speeds) {
                request.left -= speed * first;
            }
            // At least a nanosecond, so that it comes to an end.
            self.at = if first >= span { now } else { self.at + Duration::from_secs_f64(first.max(1e-9)) };
            let over: Vec<String> = self
                .running
                .iter()
                .filter(|(_, request)| request.left <= 1e-9)
                .map(|(id, _)| id.clone())
                .collect();
            for id in over {
                let Some(request) = self.running.remove(&id) else { continue };
                done.push(Done { id, work: request.work, need_mb: request.need_mb });
            }
        }
        done
    }

    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
    }
}
