//! The state of the module model: the scheduler, and what its environment knows to be true.

use super::ModuleModel;
use super::scenario::EngineSpec;
use emberflow::{AttemptOutcome, Endpoint, EngineId, Fingerprint, KeyId, Lifecycle, RequestId, Scheduler};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// An attempt as its engine knows it.
#[derive(Clone)]
pub struct AttemptRecord {
    /// The engine it was sent to.
    pub engine: EngineId,
    /// When it was sent.
    pub sent: Duration,
    /// When it times out.
    pub until: Duration,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<AttemptOutcome>,
    /// Whether the scheduler cancelled it.
    pub is_cancelled: bool,
    /// How many progress notes the engine has sent.
    pub notes: u8,
}

impl AttemptRecord {
    /// Whether the engine may have executed the request.
    pub fn may_have_run(&self) -> bool {
        !matches!(
            self.outcome,
            Some(AttemptOutcome::Overloaded | AttemptOutcome::Unreachable | AttemptOutcome::NotSent)
        )
    }
}

/// The final answer to a request, or that its client has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalAnswer {
    /// A result was passed on.
    Served,
    /// It was rejected.
    Rejected,
    /// It failed.
    Failed,
    /// Its client left before any answer.
    ClientLeft,
}

/// A request that has arrived, as its client knows it.
#[derive(Clone, Default)]
pub struct RequestRecord {
    /// When it arrived.
    pub arrived: Duration,
    /// By when it must be answered.
    pub deadline: Duration,
    /// Its final answer; `None` while it is open.
    pub answer: Option<FinalAnswer>,
    /// Its attempts, in the order in which they were sent.
    pub attempts: Vec<AttemptRecord>,
}

impl RequestRecord {
    /// The attempt in flight.
    pub fn in_flight(&self) -> Option<&AttemptRecord> {
        self.attempts.last().filter(|attempt| attempt.outcome.is_none())
    }

    /// Whether it has no final answer yet.
    pub fn is_open(&self) -> bool {
        self.answer.is_none()
    }

    /// Whether it is open and waits for an engine.
    pub fn is_queued(&self) -> bool {
        self.is_open() && self.in_flight().is_none()
    }

    /// Whether it is open or still has an attempt in flight.
    pub fn is_unfinished(&self) -> bool {
        self.is_open() || self.in_flight().is_some()
    }

    /// The first attempt that an engine may have executed.
    pub fn first_that_may_have_run(&self) -> Option<&AttemptRecord> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }
}

/// Work sent to an engine.
#[derive(Clone, Copy)]
pub struct SentWork {
    /// When it was sent.
    pub at: Duration,
    /// The estimate of its work in seconds.
    pub seconds: f64,
}

/// An engine as its environment knows it.
#[derive(Clone)]
pub struct EngineRecord {
    /// What the endpoint list last reported.
    pub lifecycle: Lifecycle,
    /// Whether the scheduler has let its number go.
    pub is_forgotten: bool,
    /// When its process was started, if that was while the model ran.
    pub launched: Option<Duration>,
    /// What was sent to it since then.
    pub sent: Vec<SentWork>,
}

/// A time in which no other request of a key may run, since an earlier attempt may still be executed.
#[derive(Clone, Copy)]
pub struct KeyCooldown {
    /// The key.
    pub key: KeyId,
    /// The request whose attempt may still be executed.
    pub request: RequestId,
    /// The end of the cooldown.
    pub until: Duration,
}

/// The scheduler and its environment.
#[derive(Clone)]
pub struct ModuleState {
    /// The clock.
    pub now: Duration,
    /// The system under test.
    pub scheduler: Scheduler,
    /// The requests that have arrived, in that order.
    pub requests: Vec<RequestRecord>,
    /// The engines, by number.
    pub engine_records: Vec<EngineRecord>,
    /// When the scheduler asked to be woken, sorted.
    pub wake_ups: Vec<Duration>,
    /// When further attempts of any request were sent.
    pub retries: Vec<Duration>,
    /// The cooldowns that have not ended.
    pub key_cooldowns: Vec<KeyCooldown>,
    /// How often the endpoint list has changed or failed.
    pub endpoint_changes: u8,
    /// How many clients have left.
    pub departures: u8,
    /// By when the process ends, once it shuts down.
    pub shutdown_at: Option<Duration>,
    /// Whether the scheduler has asked for the endpoint list.
    pub is_watching: bool,
    /// The first invariant that was violated.
    pub violated: Option<&'static str>,
    /// Equal for states with equal futures.
    pub fingerprint: u64,
}

impl ModuleState {
    /// The endpoint list's row of an engine.
    pub fn endpoint(&self, model: &ModuleModel, engine: EngineId) -> Endpoint {
        let EngineSpec { location, cell } = model.engines[engine.index()];
        let EngineRecord { lifecycle, launched, .. } = self.engine_records[engine.index()];
        Endpoint { engine, location, kind: model.kind(engine), cell, lifecycle, launched }
    }

    /// Whether an open request waits for an engine, so that any input may lead to an attempt.
    pub fn has_queued_request(&self) -> bool {
        self.requests.iter().any(RequestRecord::is_queued)
    }

    /// Whether another request may still arrive.
    pub fn expects_arrival(&self, model: &ModuleModel) -> bool {
        self.requests.len() < model.requests.len()
    }

    /// Computes the fingerprint anew. Times count relative to now, and only as far as they matter for the future.
    pub fn update_fingerprint(&mut self, model: &ModuleModel) {
        let mut hasher = DefaultHasher::new();
        let engine_fingerprint = |engine| self.engine_fingerprint(model, engine);
        let context = Fingerprint {
            now: self.now,
            more_arrivals: self.expects_arrival(model),
            engines_interchangeable: model.interchangeable_engines,
            engine_state: &engine_fingerprint,
        };
        self.scheduler.fingerprint(&context, &mut hasher);
        for engine in self.engine_records.iter().filter(|engine| engine.is_forgotten) {
            engine.lifecycle.hash(&mut hasher);
        }
        self.hash_requests(&mut hasher);
        self.hash_timers(model, &mut hasher);
        (self.requests.len(), self.endpoint_changes, self.departures, self.is_watching).hash(&mut hasher);
        self.violated.hash(&mut hasher);
        self.fingerprint = hasher.finish();
    }

    /// What the environment knows of an engine.
    fn engine_fingerprint(&self, model: &ModuleModel, engine: EngineId) -> u64 {
        let engine = &self.engine_records[engine.index()];
        let mut hasher = DefaultHasher::new();
        (engine.is_forgotten, engine.lifecycle == Lifecycle::Removed).hash(&mut hasher);
        let is_warming_up =
            engine.launched.is_some_and(|launched| launched + model.attempt_limits.warm_up > self.now);
        let recent_work = is_warming_up.then(|| {
            let age_and_work = |work: &SentWork| (self.now - work.at, work.seconds.to_bits());
            engine.sent.iter().map(age_and_work).collect::<Vec<_>>()
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
            let last = request.attempts.last().map(|attempt| (attempt.notes, attempt.is_cancelled));
            let times_out_in = request.in_flight().map(|attempt| attempt.until.saturating_sub(self.now));
            (last, times_out_in, request.attempts.len()).hash(hasher);
            (request.deadline.saturating_sub(self.now), self.now - request.arrived).hash(hasher);
        }
    }

    fn hash_timers(&self, model: &ModuleModel, hasher: &mut DefaultHasher) {
        for wake_up in &self.wake_ups {
            wake_up.saturating_sub(self.now).hash(hasher);
            self.now.saturating_sub(*wake_up).hash(hasher);
        }
        for cooldown in &self.key_cooldowns {
            (cooldown.key, cooldown.request, cooldown.until.saturating_sub(self.now)).hash(hasher);
        }
        if model.attempt_limits.retry_budget.is_some() {
            self.retries.iter().for_each(|at| (self.now - *at).hash(hasher));
        }
        self.shutdown_at.map(|by| by.saturating_sub(self.now)).hash(hasher);
    }
}
