//! A fingerprint of the scheduler's state, by which a search over states recognizes equivalent ones. The fingerprint
//! leaves out everything that can't influence a later action: times are relative to now, the number of random draws
//! is left out because the caller sets it, and engines are identified by the attempts sent to them and not by their
//! ids.

use crate::policy::MIN_FAILURES;
use crate::samples::SampleWindow;
use crate::state::{Attempt, Engine, InFlightAttempt, Request, SchedulerState};
use crate::{EngineId, Idempotency, RequestId, Scheduler};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Numbers of requests, engines and keys that a scheduler holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldCounts {
    /// Requests that are not finished.
    pub requests: usize,
    /// Engines that are not forgotten.
    pub engines: usize,
    /// Keys with queued requests or a cooldown.
    pub keys: usize,
}

/// The facts that the caller knows and that a fingerprint depends on.
pub struct FingerprintContext<'a> {
    /// The time to which all times are relative.
    pub now: Duration,
    /// Whether requests may still arrive. If not, the recorded deadlines of their classes have no further influence.
    pub expects_arrivals: bool,
    /// Whether engines in the same state are equivalent, so that their ids are left out of the fingerprint.
    pub engines_interchangeable: bool,
    /// Returns a hash of the state that the caller holds for an engine.
    pub engine_state_hash: &'a dyn Fn(EngineId) -> u64,
}

/// Positions of the unfinished requests in the order of arrival, which are hashed in place of their ids.
type Positions = BTreeMap<RequestId, usize>;

impl Scheduler {
    /// Returns the numbers of requests, engines and keys that the scheduler holds.
    pub fn held_counts(&self) -> HeldCounts {
        HeldCounts {
            requests: self.state.requests.len(),
            engines: self.state.engines.len(),
            keys: self.state.key_queues.len(),
        }
    }

    /// Sets the number of the next random draw, on which the choice between engines depends. Each attempt that is sent
    /// increments it.
    pub fn set_random_draws(&mut self, draws: u64) {
        self.state.random_draws = draws;
    }

    /// Hashes the state. Two states with the same fingerprint lead to the same actions after the same inputs, except
    /// for random choices and, if engines are interchangeable, the ids of the engines.
    pub fn fingerprint(&self, context: &FingerprintContext<'_>, hasher: &mut impl Hasher) {
        self.state.fingerprint(context, hasher);
    }
}

impl SchedulerState {
    fn fingerprint(&self, context: &FingerprintContext<'_>, hasher: &mut impl Hasher) {
        let now = context.now;
        // If no request is held or will arrive, only the engines and keys that are still to be forgotten matter.
        if self.requests.is_empty() && !context.expects_arrivals {
            (self.engines.len(), self.key_queues.len(), self.shutdown_at == Duration::MAX).hash(hasher);
            return relative_micros(now, self.wake_due.max(now)).hash(hasher);
        }
        let positions: Positions = self.requests.keys().copied().zip(0..).collect();
        self.hash_engines(&positions, context, hasher);
        for request in self.requests.values() {
            self.hash_request(request, context, hasher);
        }
        self.hash_key_queues(now, &positions, hasher);
        relative_micros(now, self.wake_due.max(now)).hash(hasher);
        (self.shutdown_at != Duration::MAX).then(|| relative_micros(now, self.shutdown_at)).hash(hasher);
        self.is_watching_endpoints.hash(hasher);
        let probed_at = self.probed_at.max(now.saturating_sub(self.shortest_objective()));
        self.fleet.reports_only_on_probe.then(|| relative_micros(now, probed_at)).hash(hasher);
        self.hash_retry_budget(now, hasher);
        self.hash_estimates(context, hasher);
    }

    fn hash_engines(
        &self,
        positions: &Positions,
        context: &FingerprintContext<'_>,
        hasher: &mut impl Hasher,
    ) {
        let engines = self.engines.iter();
        let mut hashes: Vec<u64> =
            engines.map(|(id, engine)| self.engine_hash(*id, engine, positions, context)).collect();
        if context.engines_interchangeable {
            hashes.sort_unstable();
        }
        hashes.hash(hasher);
    }

    fn hash_retry_budget(&self, now: Duration, hasher: &mut impl Hasher) {
        if self.attempt_limits.retry_budget.is_none() {
            return;
        }
        for at in self.accepted_at.iter().chain(&self.retried_at) {
            relative_micros(now, *at).hash(hasher);
        }
        self.retried_at.len().hash(hasher);
    }

    fn hash_key_queues(&self, now: Duration, positions: &Positions, hasher: &mut impl Hasher) {
        for key_queue in self.key_queues.values() {
            for id in &key_queue.requests {
                positions.get(id).hash(hasher);
            }
            let cooldown = key_queue.cooldown.filter(|cooldown| cooldown.until > now);
            let cooldown = cooldown.map(|cooldown| {
                (positions.get(&cooldown.exempt_request), relative_micros(now, cooldown.until))
            });
            cooldown.hash(hasher);
        }
    }

    fn hash_estimates(&self, context: &FingerprintContext<'_>, hasher: &mut impl Hasher) {
        let window_start = self.slowdown_window_start(context.now);
        hash_samples(&self.fleet_shares, context.now, Duration::ZERO, hasher);
        for estimates in &self.estimates {
            // The times of these samples have no influence, only their values and order.
            hash_values(&estimates.work, hasher);
            hash_values(&estimates.memory_mb, hasher);
            hash_values(&estimates.work_ratios, hasher);
            hash_values(&estimates.memory_ratios, hasher);
            if context.expects_arrivals {
                hash_values(&estimates.deadlines, hasher);
            }
            hash_samples(&estimates.slowdowns, context.now, window_start, hasher);
        }
    }

    fn hash_request(&self, request: &Request, context: &FingerprintContext<'_>, hasher: &mut impl Hasher) {
        let now = context.now;
        (request.class, request.table_group, request.phase, request.key).hash(hasher);
        let estimates =
            [request.estimated_work, request.estimated_memory_mb].map(|estimate| estimate.unwrap_or(-1.0));
        for value in [request.ideal_run_seconds, request.memory_mb].iter().chain(&estimates) {
            value.to_bits().hash(hasher);
        }
        for at in [request.arrived_at, request.objective_at, request.deadline] {
            relative_micros(now, at).hash(hasher);
        }
        // The window of an idempotency key counts from the first attempt that may have run.
        let has_window =
            matches!(self.classes[request.class].idempotency, Idempotency::IdempotentWithKey { .. });
        let first = request.first_that_may_have_run().filter(|_| has_window);
        first.map(|attempt| relative_micros(now, attempt.key_window_start())).hash(hasher);
        for attempt in &request.attempts {
            hash_attempt(attempt, now, hasher);
            if !context.engines_interchangeable {
                attempt.engine.hash(hasher);
            }
        }
    }

    fn engine_hash(
        &self,
        id: EngineId,
        engine: &Engine,
        positions: &Positions,
        context: &FingerprintContext<'_>,
    ) -> u64 {
        let mut engine_hasher = DefaultHasher::new();
        let (hasher, now) = (&mut engine_hasher, context.now);
        (engine.location, engine.kind, engine.cell, engine.lifecycle).hash(hasher);
        engine.launched_at.map(|at| relative_micros(now, at)).hash(hasher);
        self.hash_slow_start(id, engine, now, hasher);
        for attempt in &engine.in_flight {
            hash_in_flight(attempt, positions, now, hasher);
        }
        self.hash_attempts_at(id, hasher);
        self.hash_health(engine, now, hasher);
        engine.recent_table_groups.hash(hasher);
        for (group, at) in &engine.bulk_loads_reported {
            (group, relative_micros(now, *at)).hash(hasher);
        }
        (context.engine_state_hash)(id).hash(hasher);
        engine_hasher.finish()
    }

    /// Hashes the attempts that were sent to an engine, in flight or ended.
    fn hash_attempts_at(&self, id: EngineId, hasher: &mut impl Hasher) {
        for (position, request) in self.requests.values().enumerate() {
            for (index, attempt) in request.attempts.iter().enumerate() {
                if attempt.engine == id {
                    (position, index).hash(hasher);
                }
            }
        }
    }

    fn hash_slow_start(&self, id: EngineId, engine: &Engine, now: Duration, hasher: &mut impl Hasher) {
        let warming = engine.warming_since.filter(|at| *at + self.attempt_limits.warm_up > now);
        warming.map(|at| relative_micros(now, at)).hash(hasher);
        let Some(budget) = self.slow_start_budget(engine, now, self.fleet_share()) else { return };
        // If the budget is smaller than one request, `fits_slow_start` uses a longer window with a random offset.
        let has_longer_window = (0..self.classes.len()).any(|class| self.slow_start_work(class) > budget);
        let offset = || (relative_micros(now, engine.listed_at), self.slow_start_draw(id, engine));
        has_longer_window.then(offset).hash(hasher);
        let window = self.attempt_limits.overload_window;
        let start = if has_longer_window { Duration::ZERO } else { now.saturating_sub(window) };
        hash_samples(&engine.sent_work, now, start, hasher);
    }

    fn hash_health(&self, engine: &Engine, now: Duration, hasher: &mut impl Hasher) {
        let oldest = engine.in_flight.first().map(|attempt| attempt.sent_at);
        oldest.map(|at| relative_micros(now, engine.last_activity_at.max(at))).hash(hasher);
        let recovery_interval = self.recovery_interval(self.fleet_share());
        let last_sent = engine.sent_work.last().filter(|(at, _)| *at + recovery_interval > now);
        last_sent.map(|(at, _)| relative_micros(now, at)).hash(hasher);
        hash_samples(&engine.slowdowns, now, self.slowdown_window_start(now), hasher);
        // All times before the longest possible window of failures are equivalent.
        let failures = engine.failures.samples().count().max(MIN_FAILURES);
        let longest_window_start = self.failure_window_start(now, failures);
        for (at, failure) in engine.failures.samples() {
            (relative_micros(now, at.max(longest_window_start)), failure.to_bits()).hash(hasher);
        }
        let has_shortage = engine.had_memory_shortage_since(self.pressure_window_start(now));
        let memory_shortage_at = engine.memory_shortage_at.filter(|_| has_shortage);
        memory_shortage_at.map(|at| relative_micros(now, at)).hash(hasher);
        if let Some(report) = &engine.report {
            let load = report.load;
            let values = [
                load.core_utilization,
                load.waiting_for_memory,
                load.memory_utilization,
                load.disk_utilization,
            ];
            (relative_micros(now, report.at), values.map(|value| value.map(f64::to_bits))).hash(hasher);
        }
    }
}

fn hash_attempt(attempt: &Attempt, now: Duration, hasher: &mut impl Hasher) {
    (attempt.outcome.is_none(), attempt.may_have_run()).hash(hasher);
    if attempt.outcome.is_some() {
        return;
    }
    let times = (relative_micros(now, attempt.sent_at), relative_micros(now, attempt.last_activity_at));
    (attempt.is_stalled, attempt.cancelled, times).hash(hasher);
    let finish = attempt.expected_finish.map(|at| relative_micros(now, at));
    (finish, attempt.grant_mb.to_bits(), attempt.spilled_mb.to_bits()).hash(hasher);
}

fn hash_in_flight(attempt: &InFlightAttempt, positions: &Positions, now: Duration, hasher: &mut impl Hasher) {
    let sent = relative_micros(now, attempt.sent_at);
    (positions.get(&attempt.request), attempt.attempt, sent, attempt.tier as u8).hash(hasher);
    (attempt.grant_mb.to_bits(), attempt.threads.to_bits()).hash(hasher);
}

/// Returns the microseconds from `now` to `at`, which are negative if `at` has passed.
fn relative_micros(now: Duration, at: Duration) -> i64 {
    at.as_micros() as i64 - now.as_micros() as i64
}

fn hash_values(window: &SampleWindow, hasher: &mut impl Hasher) {
    for value in window.values() {
        value.to_bits().hash(hasher);
    }
}

/// Hashes the samples that were taken at or after `start`.
fn hash_samples(window: &SampleWindow, now: Duration, start: Duration, hasher: &mut impl Hasher) {
    for (at, value) in window.samples().filter(|(at, _)| *at >= start) {
        (relative_micros(now, at), value.to_bits()).hash(hasher);
    }
}
