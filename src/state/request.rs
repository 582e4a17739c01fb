//! A request and its attempts.

use crate::samples::{duration, seconds};
use crate::{AttemptOutcome, EngineId, KeyId, RequestId};
use std::time::Duration;

/// Whether the client of a request still needs an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestPhase {
    /// The client waits for an answer.
    Open,
    /// The client has closed its sending side and may have left. The request still needs an answer, but no further
    /// attempt is sent.
    HalfClosed,
    /// The request was answered or cancelled.
    Done,
}

/// The resources that a request is expected to need.
#[derive(Clone, Copy)]
pub struct ExpectedResources {
    /// Work in core-seconds; 0 if there is neither an estimate nor an earlier measurement.
    pub work: f64,
    /// Memory in MB; 0 if there is neither an estimate nor an earlier measurement.
    pub memory_mb: f64,
}

/// An accepted request.
#[derive(Clone)]
pub struct Request {
    /// Index into the request classes.
    pub class: usize,
    /// The ordering key; `None` without a key or if the class does not keep order.
    pub key: Option<KeyId>,
    /// The client's estimate of the work, in core-seconds.
    pub estimated_work: Option<f64>,
    /// The client's estimate of the memory in MB.
    pub estimated_memory_mb: Option<f64>,
    /// Expected elapsed time on an idle engine, from the expected work of the request.
    pub ideal_run_seconds: f64,
    /// Expected memory in MB: the client's estimate corrected by earlier usage, or the usual memory of the class.
    pub memory_mb: f64,
    pub table_group: Option<u64>,
    pub arrived_at: Duration,
    /// Time at which the latency objective ends, at the latest the deadline.
    pub objective_at: Duration,
    /// Time by which the client must be answered.
    pub deadline: Duration,
    pub phase: RequestPhase,
    /// All attempts, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// Returns the time from the arrival to the end of the latency objective.
    pub fn objective_budget(&self) -> Duration {
        self.objective_at.saturating_sub(self.arrived_at)
    }

    /// Returns whether the request needs no further answer.
    pub fn is_done(&self) -> bool {
        self.phase == RequestPhase::Done
    }

    /// Returns whether the client waits for an answer.
    pub fn is_open(&self) -> bool {
        self.phase == RequestPhase::Open
    }

    /// Returns whether an attempt was sent to the engine.
    pub fn was_sent_to(&self, engine: EngineId) -> bool {
        self.attempts.iter().any(|attempt| attempt.engine == engine)
    }

    /// Returns whether an attempt is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.last().is_some_and(|attempt| attempt.outcome.is_none())
    }

    /// Returns the id of the last attempt; at least one must have been sent. `request` is the id of this request.
    pub fn last_attempt(&self, request: RequestId) -> AttemptId {
        AttemptId { request, attempt: self.attempts.len() - 1 }
    }

    /// Returns whether the request waits to be sent, for the first time or again.
    pub fn is_queued(&self) -> bool {
        !self.is_done() && !self.is_in_flight()
    }

    /// Returns whether the request is done and has no attempt in flight.
    pub fn is_finished(&self) -> bool {
        self.is_done() && self.attempts.iter().all(|attempt| attempt.outcome.is_some())
    }

    /// Returns the first attempt that may have run. The window of an idempotency key starts when that attempt is
    /// sent, and the key is valid in the cell or location of that attempt's engine, if its scope is limited.
    pub fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }
}

/// Identifies an attempt by its request and its index among the request's attempts.
#[derive(Clone, Copy)]
pub struct AttemptId {
    pub request: RequestId,
    pub attempt: usize,
}

/// One attempt of a request.
#[derive(Clone)]
pub struct Attempt {
    pub engine: EngineId,
    /// Time at which the scheduler decided on the attempt.
    pub sent_at: Duration,
    /// Time at which the first byte of the attempt was written; `None` if it is not known.
    pub written_at: Option<Duration>,
    /// Time of the last progress update, or of sending if there was none.
    pub last_activity_at: Duration,
    /// Memory grant in MB.
    pub grant_mb: f64,
    /// `None` while the attempt is in flight.
    pub outcome: Option<AttemptOutcome>,
    /// Whether the scheduler has cancelled the attempt, which may not have ended yet.
    pub cancelled: bool,
    /// Whether the engine reported that the attempt waits for memory or for a bulk load.
    pub is_stalled: bool,
    /// Largest amount of memory in MB that the engine reported as missing when the attempt spilled to disk.
    pub spilled_mb: f64,
    /// Expected end; `None` before the first progress update with a fraction above 0.
    pub expected_finish: Option<Duration>,
}

impl Attempt {
    /// Creates an attempt that is sent now.
    pub fn new(now: Duration, engine: EngineId, grant_mb: f64) -> Self {
        Self {
            engine,
            sent_at: now,
            written_at: None,
            last_activity_at: now,
            grant_mb,
            outcome: None,
            cancelled: false,
            is_stalled: false,
            spilled_mb: 0.0,
            expected_finish: None,
        }
    }

    /// Returns the time from which engines remember the idempotency key of the attempt, at the earliest.
    pub fn key_window_start(&self) -> Duration {
        self.written_at.unwrap_or(self.sent_at)
    }

    /// Returns whether the engine may have run the attempt, at least in part. Always true for an attempt in flight.
    pub fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(AttemptOutcome::may_have_run)
    }

    /// Updates the expected end, assuming that the attempt continues at the pace at which the fraction `done` was
    /// done.
    pub fn expect_finish(&mut self, now: Duration, done: f64) {
        let left = seconds(now - self.sent_at) * (1.0 - done).max(0.0) / done;
        self.expected_finish = Some(now + duration(left));
    }
}
