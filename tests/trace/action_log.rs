//! Records the actions of a scheduler as text.

use emberflow::{Actions, EngineId, RequestId, SendLimits};
use std::fmt::Write;
use std::time::Duration;

/// Records each action as one line, which starts with the time of the action in milliseconds.
#[derive(Default)]
pub struct ActionLog {
    /// The lines that were recorded since the text was last taken.
    pub text: String,
    /// The time of the current input in milliseconds.
    pub now_ms: u64,
    /// The wait that the scheduler requested last, counted from the input that requested it.
    pub requested_wait: Duration,
}

impl ActionLog {
    /// Adds a line with the time of the current input.
    fn add(&mut self, line: std::fmt::Arguments<'_>) {
        writeln!(self.text, "{:<5} {line}", self.now_ms).expect("writing to a string does not fail");
    }
}

impl Actions for ActionLog {
    fn send(&mut self, request: RequestId, engine: EngineId, limits: SendLimits) {
        let key_window = limits.key_window_end.map(|end| format!(", written before {}", end.as_millis()));
        let (until, key_window) = (limits.timeout_at.as_millis(), key_window.unwrap_or_default());
        self.add(format_args!("request {request} to engine {engine} until {until}{key_window}"));
    }
    fn set_grant_and_priority(&mut self, request: RequestId, grant_mb: f64, priority: u8) {
        self.add(format_args!("request {request} gets {grant_mb} MB, priority {priority}"));
    }
    fn cancel(&mut self, request: RequestId, attempt: usize) {
        self.add(format_args!("cancel request {request} attempt {attempt}"));
    }
    fn reject(&mut self, request: RequestId, retry_after: Option<Duration>) {
        let after = retry_after.map_or(0, |after| after.as_millis());
        self.add(format_args!("reject request {request}, retry after {after}"));
    }
    fn fail(&mut self, request: RequestId) {
        self.add(format_args!("fail request {request}"));
    }
    fn probe(&mut self, engine: EngineId) {
        self.add(format_args!("probe engine {engine}"));
    }
    fn wake_after(&mut self, wait: Duration) {
        self.requested_wait = wait;
    }
    fn watch_endpoints(&mut self) {
        self.add(format_args!("watch the endpoint list"));
    }
    fn forget(&mut self, engine: EngineId) {
        self.add(format_args!("forget engine {engine}"));
    }
}
