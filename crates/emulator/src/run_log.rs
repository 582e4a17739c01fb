//! A log of the runs of requests on emulated engines, by which clients learn when their requests ran.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The last run of a request on an engine.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub started_at: Instant,
    /// When the run ended; `None` if it has not ended or was cancelled.
    pub ended_at: Option<Instant>,
}

impl Run {
    /// Returns the duration of the run; `None` if it has not ended.
    pub fn duration(&self) -> Option<Duration> {
        Some(self.ended_at?.saturating_duration_since(self.started_at))
    }
}

/// The last run of each request on any engine, by request id. Clones share the log.
#[derive(Clone, Default)]
pub struct RunLog(Arc<Mutex<BTreeMap<String, Run>>>);

impl RunLog {
    fn runs(&self) -> MutexGuard<'_, BTreeMap<String, Run>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a run of a request starts now. It replaces the request's earlier run.
    pub fn record_start(&self, request_id: &str) {
        self.runs().insert(request_id.to_owned(), Run { started_at: Instant::now(), ended_at: None });
    }

    /// Records that the last run of a request ends now.
    pub fn record_end(&self, request_id: &str) {
        let now = Instant::now();
        if let Some(run) = self.runs().get_mut(request_id) {
            run.ended_at = Some(now);
        }
    }

    /// Returns the last run of a request; `None` if no engine has started it.
    pub fn last_run(&self, request_id: &str) -> Option<Run> {
        self.runs().get(request_id).copied()
    }
}
