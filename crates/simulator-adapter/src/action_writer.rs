//! Encodes the scheduler's actions as JSON lines for the simulator.

use crate::names::Names;
use emberflow::{Actions, EngineId, RequestId, SendLimits};
use emberflow_settings::to_ms;
use serde_json::{Value, json};
use std::io::Write;
use std::time::Duration;

/// Writes the actions of one instance, each as one line.
pub struct ActionWriter<'a> {
    /// The simulator's number of the instance.
    pub instance: u64,
    /// The time of the message to which the scheduler reacts.
    pub now: Duration,
    /// The simulator's names of requests and engines, by the scheduler's numbers.
    pub names: &'a Names,
    /// The reply to the batch, to which the lines are appended.
    pub reply: &'a mut Vec<u8>,
}

impl ActionWriter<'_> {
    fn write(&mut self, mut action: Value) {
        action["who"] = self.instance.into();
        writeln!(self.reply, "{action}").expect("writing to memory does not fail");
    }

    fn request_name(&self, request: RequestId) -> &str {
        self.names.requests.name(request.index())
    }

    fn engine_name(&self, engine: EngineId) -> &str {
        self.names.engines.name(engine.index())
    }
}

impl Actions for ActionWriter<'_> {
    fn send(&mut self, request: RequestId, engine: EngineId, limits: SendLimits) {
        // The simulator sends the attempt at the time of the decision, so that no other limit can be exceeded.
        let abandon_at = to_ms(limits.timeout_at.max(self.now));
        self.write(json!({
            "op": "PASS_ON",
            "ref": self.request_name(request),
            "engine": self.engine_name(engine),
            "abandonAtMs": abandon_at,
        }));
    }

    fn set_grant_and_priority(&mut self, request: RequestId, grant_mb: f64, priority: u8) {
        self.write(json!({
            "op": "PROVIDE",
            "ref": self.request_name(request),
            "memoryGrant": grant_mb,
            "importance": priority,
        }));
    }

    fn cancel(&mut self, request: RequestId, attempt: usize) {
        self.write(json!({"op": "ABORT_ATTEMPT", "ref": self.request_name(request), "hop": attempt}));
    }

    fn reject(&mut self, request: RequestId, retry_after: Option<Duration>) {
        let retry_after_ms = retry_after.map_or(0.0, to_ms);
        self.write(
            json!({"op": "TURN_AWAY", "ref": self.request_name(request), "retryAfterMs": retry_after_ms}),
        );
    }

    fn fail(&mut self, request: RequestId) {
        self.write(json!({"op": "ABORT", "ref": self.request_name(request)}));
    }

    fn probe(&mut self, engine: EngineId) {
        self.write(json!({"op": "TOUCH", "engine": self.engine_name(engine)}));
    }

    fn wake_after(&mut self, wait: Duration) {
        self.write(json!({"op": "AFTER", "offsetMs": to_ms(wait), "keyBack": 0}));
    }

    fn watch_endpoints(&mut self) {
        self.write(json!({"op": "SUBSCRIBE", "on": true}));
    }

    /// Has no effect: an engine's name keeps its number as long as the instance runs.
    fn forget(&mut self, _: EngineId) {}
}
