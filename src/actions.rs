//! What the scheduler answers with.

use crate::{EngineId, RequestId};
use std::time::Duration;

/// Receives what the scheduler decides; every call takes effect at the time of the input being answered.
pub trait Actions {
    /// Sends the request's next attempt; it is abandoned at `until`.
    fn send(&mut self, request: RequestId, engine: EngineId, until: Duration);
    /// Sets the grant of the request's next attempt and the priority of all its attempts.
    fn set_terms(&mut self, request: RequestId, grant_mb: f64, priority: u8);
    /// Stops waiting for one attempt.
    fn cancel(&mut self, request: RequestId, attempt: usize);
    /// Answers the request: not done, a retry is harmless.
    fn reject(&mut self, request: RequestId, retry_after: Option<Duration>);
    /// Answers the request: not done, nothing promised.
    fn fail(&mut self, request: RequestId);
    /// Requests an engine's load report, where that is allowed.
    fn probe(&mut self, engine: EngineId);
    /// Requests a [`Scheduler::wake`](crate::Scheduler::wake) after `wait`.
    fn wake_after(&mut self, wait: Duration);
    /// Requests the changes of the endpoint list from now on.
    fn watch(&mut self);
    /// Drops an engine that is gone and has no attempt in flight: its number is free.
    fn forget(&mut self, engine: EngineId);
}
