//! The interface through which the scheduler's decisions are carried out.

use crate::{EngineId, RequestId, SendCondition};
use std::time::Duration;

/// The times that limit one attempt. They follow from the state at the time of the decision, and the attempt may wait
/// for a connection after that, so the caller must check them again immediately before it writes the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendLimits {
    /// Time at which the attempt times out.
    pub timeout_at: Duration,
    /// Time from which the attempt must not be written any more, because an engine that has run an earlier attempt of
    /// the request may have forgotten its idempotency key; `None` if there is no such limit. An attempt that is not
    /// written by then ends with [`SendCondition::KeyWindow`](crate::SendCondition::KeyWindow).
    pub key_window_end: Option<Duration>,
}

impl SendLimits {
    /// Returns the condition that no longer holds for an attempt that is written at `at`; `None` if the attempt may be
    /// written then.
    pub fn lapsed_at(&self, at: Duration) -> Option<SendCondition> {
        if at >= self.timeout_at {
            return Some(SendCondition::Deadline);
        }
        self.key_window_end.filter(|end| at >= *end).map(|_| SendCondition::KeyWindow)
    }
}

/// Carries out the scheduler's decisions. The caller implements it. Each call takes effect at the time of the input
/// that caused the call.
pub trait Actions {
    /// Sends the request's next attempt to the engine, within its limits.
    fn send(&mut self, request: RequestId, engine: EngineId, limits: SendLimits);
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
