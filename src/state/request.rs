//! A request and its attempts.

use crate::samples::{duration, seconds};
use crate::{AttemptOutcome, EngineId, KeyId, RequestId};
use std::time::Duration;

/// What is still owed to a request's client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestPhase {
    /// An answer.
    Open,
    /// An answer, but the client may be gone: nothing more is sent.
    Abandoned,
    /// Nothing: it was answered or withdrawn.
    Done,
}

/// A request that was accepted.
#[derive(Clone)]
pub struct Request {
    pub class: usize,
    pub key: Option<KeyId>,
    /// The client's own estimates: seconds of one core, and MB.
    pub estimated_work: Option<f64>,
    pub estimated_memory_mb: Option<f64>,
    /// Seconds that it runs for on an idle engine, and MB, as corrected by what such requests were billed.
    pub ideal_run: f64,
    pub memory_mb: f64,
    pub group: Option<u64>,
    pub arrived_at: Duration,
    /// An answer until then is on time.
    pub objective_at: Duration,
    pub deadline: Duration,
    pub phase: RequestPhase,
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// The time in which it would be answered on time.
    pub fn way(&self) -> Duration {
        self.objective_at.saturating_sub(self.arrived_at)
    }

    /// Whether nothing is owed to its client any more.
    pub fn is_done(&self) -> bool {
        self.phase == RequestPhase::Done
    }

    /// Whether an answer is owed to a client that waits.
    pub fn is_open(&self) -> bool {
        self.phase == RequestPhase::Open
    }

    /// Whether one of its attempts was sent to an engine.
    pub fn was_sent_to(&self, engine: EngineId) -> bool {
        self.attempts.iter().any(|attempt| attempt.engine == engine)
    }

    /// Whether an attempt has not ended yet.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.last().is_some_and(|attempt| attempt.outcome.is_none())
    }

    /// Its last attempt; it has this number and was sent.
    pub fn last_attempt(&self, request: RequestId) -> AttemptId {
        AttemptId { request, attempt: self.attempts.len() - 1 }
    }

    /// Whether it waits to be sent, for the first time or again.
    pub fn is_queued(&self) -> bool {
        !self.is_done() && !self.is_in_flight()
    }

    /// Whether nothing of it is owed or in flight.
    pub fn is_finished(&self) -> bool {
        self.is_done() && self.attempts.iter().all(|attempt| attempt.outcome.is_some())
    }

    /// The first attempt that may have run: the window of a request with a key counts from it, and its engine
    /// sets where repeats are dropped.
    pub fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }
}

/// Names an attempt: its request and its place among the request's attempts.
#[derive(Clone, Copy)]
pub struct AttemptId {
    pub request: RequestId,
    pub attempt: usize,
}

/// One sending of a request.
#[derive(Clone)]
pub struct Attempt {
    pub engine: EngineId,
    pub sent_at: Duration,
    /// When it was sent or a progress note of it came.
    pub last_sign_at: Duration,
    pub grant_mb: f64,
    /// `None` while it is in flight.
    pub outcome: Option<AttemptOutcome>,
    pub cancelled: bool,
    /// Whether it was noted as waiting for memory or for a load.
    pub is_stalled: bool,
    /// Most MB that were noted as missing.
    pub spilled_mb: f64,
    /// When it should finish, by the last note of how much was done.
    pub expected_finish: Option<Duration>,
}

impl Attempt {
    /// An attempt that is sent now.
    pub fn new(now: Duration, engine: EngineId, grant_mb: f64) -> Self {
        Self {
            engine,
            sent_at: now,
            last_sign_at: now,
            grant_mb,
            outcome: None,
            cancelled: false,
            is_stalled: false,
            spilled_mb: 0.0,
            expected_finish: None,
        }
    }

    /// Whether the engine may have run it; so far as is known, one in flight may.
    pub fn may_have_run(&self) -> bool {
        let never_ran = [AttemptOutcome::Overloaded, AttemptOutcome::Unreachable, AttemptOutcome::NotSent];
        self.outcome.is_none_or(|outcome| !never_ran.contains(&outcome))
    }

    /// Expects the rest to take as long for its size as the part that is done.
    pub fn expect_finish(&mut self, now: Duration, done: f64) {
        let left = seconds(now - self.sent_at) * (1.0 - done).max(0.0) / done;
        self.expected_finish = Some(now + duration(left));
    }
}
