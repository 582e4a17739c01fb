//! The interface through which the scheduler's decisions are carried out.

use crate::{EngineId, RequestId};
use std::time::Duration;

/// Carries out the scheduler's decisions. The caller implements it. Each call takes effect at the time of the input
/// that caused the call.
pub trait Actions {
    /// Sends the request's next attempt to the engine. The attempt times out at `timeout_at`.
    fn send(&mut self, request: RequestId, engine: EngineId, timeout_at: Duration);
    /// Sets the memory grant in MB of the request's next attempt, and the priority of the request, which is from 1 to
    /// 3, with 3 served first. Called right before [`Self::send`].
    fn set_grant_and_priority(&mut self, request: RequestId, grant_mb: f64, priority: u8);
    /// Cancels an attempt in flight. `attempt` is its index among the request's attempts, from 0.
    fn cancel(&mut self, request: RequestId, attempt: usize);
    /// Answers the request without a result. The client may safely retry, after `retry_after` if it is given.
    fn reject(&mut self, request: RequestId, retry_after: Option<Duration>);
    /// Answers the request without a result. An attempt may have run, so a client's retry is not known to be safe.
    fn fail(&mut self, request: RequestId);
    /// Requests a load report from the engine.
    fn probe(&mut self, engine: EngineId);
    /// Schedules a call of [`Scheduler::wake`](crate::Scheduler::wake) after `wait`.
    fn wake_after(&mut self, wait: Duration);
    /// Subscribes to changes of the endpoint list. Called only if
    /// [`Fleet::must_watch_endpoints`](crate::Fleet::must_watch_endpoints).
    fn watch_endpoints(&mut self);
    /// Releases the id of a removed engine that no request refers to. The caller may give the id to another engine.
    fn forget(&mut self, engine: EngineId);
}
