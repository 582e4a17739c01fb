//! The state of the scheduler model: the scheduler, and the records of its environment. Times are those of the model's
//! clock, which begins at [`START_TIME`](crate::search::START_TIME).

use super::SchedulerModel;
use super::scenario::EngineSpec;
use emberflow::{
    AttemptOutcome, Endpoint, EngineId, FingerprintContext, KeyId, Lifecycle, RequestId, Scheduler,
    SendLimits,
};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// An attempt, as known to its engine.
#[derive(Clone)]
pub struct AttemptRecord {
    /// The engine to which the attempt was sent.
    pub engine: EngineId,
    /// The time at which the scheduler sent the attempt.
    pub sent_at: Duration,
    /// The limits within which the scheduler sent the attempt.
    pub limits: SendLimits,
    /// The outcome; `None` while the attempt is in flight.
    pub outcome: Option<AttemptOutcome>,
    /// Whether the scheduler has cancelled the attempt.
    pub is_cancelled: bool,
    /// Number of progress updates that the engine has sent for the attempt.
    pub progress_updates: u8,
}

impl AttemptRecord {
    /// Whether the engine may have executed the request.
    pub fn may_have_run(&self) -> bool {
        !matches!(
            self.outcome,
            Some(
                AttemptOutcome::Overloaded
                    | AttemptOutcome::Unreachable
                    | AttemptOutcome::NotSent
                    | AttemptOutcome::Lapsed(_)
            )
        )
    }
}

/// The final answer to a request, or the client's disconnect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalAnswer {
    /// The client received a result.
    Served,
    /// The request was rejected; the client may safely retry it.
    Rejected,
    /// The request failed; it may have run.
    Failed,
    /// The client disconnected before any answer.
    ClientLeft,
}

/// A request that has arrived, as known to its client.
#[derive(Clone, Default)]
pub struct RequestRecord {
    /// The time at which the request arrived.
    pub arrived_at: Duration,
    /// The time by which the request must be answered.
    pub deadline: Duration,
    /// The final answer; `None` while the request is open.
    pub answer: Option<FinalAnswer>,
    /// The attempts in the order of sending.
    pub attempts: Vec<AttemptRecord>,
}

impl RequestRecord {
    /// Returns the attempt in flight; `None` before the first attempt and after the end of each attempt.
    pub fn in_flight(&self) -> Option<&AttemptRecord> {
        self.attempts.last().filter(|attempt| attempt.outcome.is_none())
    }

    /// Whether the request has no final answer yet.
    pub fn is_open(&self) -> bool {
        self.answer.is_none()
    }

    /// Whether the request is open without an attempt in flight.
    pub fn is_queued(&self) -> bool {
        self.is_open() && self.in_flight().is_none()
    }

    /// Whether the request is open or has an attempt in flight.
    pub fn is_unfinished(&self) -> bool {
        self.is_open() || self.in_flight().is_some()
    }

    /// Returns the first attempt that an engine may have executed.
    pub fn first_that_may_have_run(&self) -> Option<&AttemptRecord> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }
}

/// Work sent to an engine.
#[derive(Clone, Copy)]
pub struct SentWork {
    /// The time at which the work was sent.
    pub at: Duration,
    /// The estimated work, in seconds on one core.
    pub seconds: f64,
}

/// An engine, as known to its environment.
#[derive(Clone)]
pub struct EngineRecord {
    /// The lifecycle that the endpoint list reported last.
    pub lifecycle: Lifecycle,
    /// Whether the scheduler has released the engine's id.
    pub is_forgotten: bool,
    /// The time of the last restart; `None` without a restart.
    pub launched_at: Option<Duration>,
    /// The work sent since the last restart, or since the start of the run.
    pub sent_work: Vec<SentWork>,
}

/// A period in which no other request of a key may be sent, because an engine may still execute an earlier attempt.
#[derive(Clone, Copy)]
pub struct KeyCooldown {
    /// The key whose other requests must wait.
    pub key: KeyId,
    /// The request whose attempt may still be executed. It may be sent again during the cooldown.
    pub request: RequestId,
    /// The time at which the cooldown ends.
    pub until: Duration,
}

/// The scheduler and its environment.
#[derive(Clone)]
pub struct SchedulerModelState {
    /// The current time.
    pub now: Duration,
    /// The system under test.
    pub scheduler: Scheduler,
    /// The requests that have arrived, in the order of arrival.
    pub requests: Vec<RequestRecord>,
    /// The engines, indexed by their ids.
    pub engine_records: Vec<EngineRecord>,
    /// The times of the requested wake-ups that have not happened, sorted and without duplicates.
    pub wake_ups: Vec<Duration>,
    /// The times at which retries of any request were sent.
    pub retry_times: Vec<Duration>,
    /// The cooldowns that have not ended.
    pub key_cooldowns: Vec<KeyCooldown>,
    /// Number of changes and failures that the endpoint list has reported.
    pub endpoint_changes: u8,
    /// Number of clients that have disconnected before an answer.
    pub departures: u8,
    /// The time at which the process ends; `None` before the graceful shutdown begins.
    pub shutdown_deadline: Option<Duration>,
    /// Whether the scheduler has subscribed to the endpoint list since the list last failed.
    pub is_subscribed_to_list: bool,
    /// The name of the first violated invariant; `None` if all hold.
    pub violated_invariant: Option<&'static str>,
    /// A hash of everything that influences later transitions and violations, as of the last update.
    pub fingerprint: u64,
}

impl SchedulerModelState {
    /// Returns the row of an engine in the endpoint list.
    pub fn endpoint(&self, model: &SchedulerModel, engine: EngineId) -> Endpoint {
        let EngineSpec { location, cell } = model.engines[engine.index()];
        let EngineRecord { lifecycle, launched_at, .. } = self.engine_records[engine.index()];
        Endpoint { engine, location, kind: model.kind(engine), cell, lifecycle, launched_at }
    }

    /// Whether an open request has no attempt in flight, so that the scheduler may send one after any input.
    pub fn has_queued_request(&self) -> bool {
        self.requests.iter().any(RequestRecord::is_queued)
    }

    /// Whether another request may arrive.
    pub fn expects_arrival(&self, model: &SchedulerModel) -> bool {
        self.requests.len() < model.requests.len()
    }

    /// Recomputes the fingerprint. Times are hashed relative to now, and only where they influence a later state, so
    /// that states that differ only in their absolute times are equal.
    pub fn update_fingerprint(&mut self, model: &SchedulerModel) {
        let mut hasher = DefaultHasher::new();
        let engine_fingerprint = |engine| self.engine_fingerprint(model, engine);
        let context = FingerprintContext {
            now: self.now,
            expects_arrivals: self.expects_arrival(model),
            engines_interchangeable: model.interchangeable_engines,
            engine_state_hash: &engine_fingerprint,
        };
        self.scheduler.fingerprint(&context, &mut hasher);
        for engine in self.engine_records.iter().filter(|engine| engine.is_forgotten) {
            engine.lifecycle.hash(&mut hasher);
        }
        self.hash_requests(&mut hasher);
        self.hash_timers(model, &mut hasher);
        (self.requests.len(), self.endpoint_changes, self.departures, self.is_subscribed_to_list)
            .hash(&mut hasher);
        self.violated_invariant.hash(&mut hasher);
        self.fingerprint = hasher.finish();
    }

    /// Returns the fingerprint of the environment's record of an engine.
    fn engine_fingerprint(&self, model: &SchedulerModel, engine: EngineId) -> u64 {
        let engine = &self.engine_records[engine.index()];
        let mut hasher = DefaultHasher::new();
        (engine.is_forgotten, engine.lifecycle == Lifecycle::Removed).hash(&mut hasher);
        let is_warming_up = engine
            .launched_at
            .is_some_and(|launched_at| launched_at + model.attempt_limits.warm_up > self.now);
        let recent_work = is_warming_up.then(|| {
            let age_and_work = |work: &SentWork| (self.now - work.at, work.seconds.to_bits());
            engine.sent_work.iter().map(age_and_work).collect::<Vec<_>>()
        });
        recent_work.hash(&mut hasher);
        hasher.finish()
    }

    fn hash_requests(&self, hasher: &mut DefaultHasher) {
        for request in &self.requests {
            (request.answer.is_some(), request.in_flight().is_some()).hash(hasher);
            if !request.is_unfinished() {
                continue;
            }
            let last =
                request.attempts.last().map(|attempt| (attempt.progress_updates, attempt.is_cancelled));
            let times_out_in =
                request.in_flight().map(|attempt| attempt.limits.timeout_at.saturating_sub(self.now));
            (last, times_out_in, request.attempts.len()).hash(hasher);
            (request.deadline.saturating_sub(self.now), self.now - request.arrived_at).hash(hasher);
        }
    }

    fn hash_timers(&self, model: &SchedulerModel, hasher: &mut DefaultHasher) {
        for wake_up in &self.wake_ups {
            wake_up.saturating_sub(self.now).hash(hasher);
            self.now.saturating_sub(*wake_up).hash(hasher);
        }
        for cooldown in &self.key_cooldowns {
            (cooldown.key, cooldown.request, cooldown.until.saturating_sub(self.now)).hash(hasher);
        }
        if model.attempt_limits.retry_budget.is_some() {
            self.retry_times.iter().for_each(|at| (self.now - *at).hash(hasher));
        }
        self.shutdown_deadline.map(|deadline| deadline.saturating_sub(self.now)).hash(hasher);
    }
}
