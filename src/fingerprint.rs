//! The scheduler's state as a number, for those who walk through many states and must know one again. It
//! leaves out what can't influence a later action: times are relative to now, chance is left to the caller,
//! and engines are known by what is in flight there and not by their numbers.

use crate::samples::SampleWindow;
use crate::state::{Attempt, Engine, InFlight, Request, SchedulerState};
use crate::{Effect, EngineId, RequestId, Scheduler};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// How much a scheduler holds of what comes and goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldCounts {
    /// Requests that are not finished.
    pub requests: usize,
    /// Engines that are not forgotten.
    pub engines: usize,
    /// Keys with requests or a cooldown.
    pub keys: usize,
}

/// What the caller knows beside the scheduler's own state.
pub struct Fingerprint<'a> {
    /// The time that others are told from.
    pub now: Duration,
    /// Whether requests may still arrive: else what was learned of their classes can be of no more use.
    pub more_arrivals: bool,
    /// Whether engines may change places with their like.
    pub engines_interchangeable: bool,
    /// What the caller holds of an engine.
    pub engine_state: &'a dyn Fn(EngineId) -> u64,
}

/// Places of the open requests in the order of arrival, which stand for their numbers.
type Positions = BTreeMap<RequestId, usize>;

impl Scheduler {
    /// Counts what it holds.
    pub fn held_counts(&self) -> HeldCounts {
        HeldCounts {
            requests: self.state.requests.len(),
            engines: self.state.engines.len(),
            keys: self.state.key_queues.len(),
        }
    }

    /// Sets where chance goes on from: with it left open, a caller sets each draw.
    pub fn set_random_draws(&mut self, draws: u64) {
        self.state.draws = draws;
    }

    /// Feeds the state to `into`; two states with the same fingerprint act alike from here on, whatever
    /// comes, but for chance and, if engines may change places, their numbers.
    pub fn fingerprint(&self, with: &Fingerprint<'_>, into: &mut impl Hasher) {
        self.state.fingerprint(with, into);
    }
}

impl SchedulerState {
    fn fingerprint(&self, with: &Fingerprint<'_>, into: &mut impl Hasher) {
        let now = with.now;
        let positions: Positions = self.requests.keys().copied().zip(0..).collect();
        // Where nothing is open and nothing will come, only what is left to be let go counts.
        if self.requests.is_empty() && !with.more_arrivals {
            (self.engines.len(), self.key_queues.len(), self.shutdown_at == Duration::MAX).hash(into);
            return since(now, self.wake_due.max(now)).hash(into);
        }
        let engines = self.engines.iter();
        let mut engines: Vec<u64> =
            engines.map(|(id, engine)| self.engine_digest(*id, engine, &positions, with)).collect();
        if with.engines_interchangeable {
            engines.sort_unstable();
        }
        engines.hash(into);
        self.requests.values().for_each(|request| self.hash_request(request, with, into));
        self.hash_key_queues(now, &positions, into);
        since(now, self.wake_due.max(now)).hash(into);
        (self.shutdown_at != Duration::MAX).then(|| since(now, self.shutdown_at)).hash(into);
        self.watching.hash(into);
        let probed_at = self.probed_at.max(now.saturating_sub(self.shortest_objective()));
        self.fleet.reports_only_on_probe.then(|| since(now, probed_at)).hash(into);
        if self.attempt_limits.retry_budget.is_some() {
            self.accepted_at.iter().chain(&self.retried_at).for_each(|at| since(now, *at).hash(into));
            self.retried_at.len().hash(into);
        }
        self.hash_estimates(with, into);
    }

    fn hash_key_queues(&self, now: Duration, positions: &Positions, into: &mut impl Hasher) {
        for key_queue in self.key_queues.values() {
            key_queue.requests.iter().map(|id| positions.get(id).copied()).for_each(|place| place.hash(into));
            let cooldown = key_queue.cooldown.filter(|cooldown| cooldown.until > now);
            let cooldown =
                cooldown.map(|cooldown| (positions.get(&cooldown.after), since(now, cooldown.until)));
            cooldown.hash(into);
        }
    }

    fn hash_estimates(&self, with: &Fingerprint<'_>, into: &mut impl Hasher) {
        let from = with.now.saturating_sub(self.shortest_objective() * 4);
        hash_samples(&self.shares, with.now, Duration::ZERO, into);
        for estimates in &self.estimates {
            let lasting =
                [&estimates.work, &estimates.memory_mb, &estimates.work_ratios, &estimates.memory_ratios];
            // Only their values count, in the order in which they will be let go.
            lasting.iter().for_each(|window| hash_values(window, into));
            if with.more_arrivals {
                hash_values(&estimates.deadlines, into);
            }
            hash_samples(&estimates.slowdowns, with.now, from, into);
        }
    }

    fn hash_request(&self, request: &Request, with: &Fingerprint<'_>, into: &mut impl Hasher) {
        let now = with.now;
        (request.class, request.group, request.phase, request.key).hash(into);
        let estimates =
            [request.estimated_work, request.estimated_memory_mb].map(|estimate| estimate.unwrap_or(-1.0));
        for figure in [request.ideal_run, request.memory_mb].iter().chain(&estimates) {
            figure.to_bits().hash(into);
        }
        for at in [request.arrived_at, request.objective_at, request.deadline] {
            since(now, at).hash(into);
        }
        // Of an attempt that has ended it counts whether it may have run, and when the first such one was sent.
        let has_window = matches!(self.classes[request.class].effect, Effect::IdempotentWithKey { .. });
        let first = request.first_that_may_have_run().filter(|_| has_window);
        first.map(|attempt| since(now, attempt.sent_at)).hash(into);
        for attempt in &request.attempts {
            hash_attempt(attempt, now, into);
            if !with.engines_interchangeable {
                attempt.engine.hash(into);
            }
        }
    }

    fn engine_digest(
        &self,
        id: EngineId,
        engine: &Engine,
        positions: &Positions,
        with: &Fingerprint<'_>,
    ) -> u64 {
        let mut digest = DefaultHasher::new();
        let (into, now) = (&mut digest, with.now);
        (engine.location, engine.kind, engine.cell, engine.lifecycle).hash(into);
        engine.launched.map(|at| since(now, at)).hash(into);
        self.hash_slow_start(id, engine, now, into);
        for attempt in &engine.in_flight {
            hash_in_flight(attempt, positions, now, into);
        }
        // Which attempts of which requests were here, ended or not.
        for (place, request) in self.requests.values().enumerate() {
            let here = request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.engine == id);
            here.for_each(|(attempt, _)| (place, attempt).hash(into));
        }
        self.hash_health(engine, now, into);
        engine.recent_groups.hash(into);
        engine.bulk_loads_seen.iter().for_each(|(group, at)| (group, since(now, *at)).hash(into));
        (with.engine_state)(id).hash(into);
        digest.finish()
    }

    fn hash_slow_start(&self, id: EngineId, engine: &Engine, now: Duration, into: &mut impl Hasher) {
        let warming = engine.warming_since.filter(|at| *at + self.attempt_limits.warm_up > now);
        warming.map(|at| since(now, at)).hash(into);
        // Where this router's part is under one request, chance sets its window, by number and time.
        let Some(budget) = self.slow_start_budget(engine, now, self.share()) else { return };
        let is_small = (0..self.classes.len()).any(|class| self.slow_start_work(class) > budget);
        let chance = || self.chance(id, engine.listed_at.as_micros() as u64);
        is_small.then(|| (since(now, engine.listed_at), chance())).hash(into);
        let window = self.attempt_limits.overload_window;
        let from = if is_small { Duration::ZERO } else { now.saturating_sub(window) };
        hash_samples(&engine.sent_work, now, from, into);
    }

    fn hash_health(&self, engine: &Engine, now: Duration, into: &mut impl Hasher) {
        let objective = self.shortest_objective();
        let oldest = engine.in_flight.first().map(|attempt| attempt.sent_at);
        oldest.map(|at| since(now, engine.last_sign_at.max(at))).hash(into);
        let pause = objective.div_f64(2.0 * self.share()).max(objective);
        let latest = engine.sent_work.last().filter(|(at, _)| *at + pause > now);
        latest.map(|(at, _)| since(now, at)).hash(into);
        hash_samples(&engine.slowdowns, now, now.saturating_sub(objective * 4), into);
        // Failures are looked back on for four objectives each in a row: those past all that are of one age.
        let failures = engine.failures.samples().count().max(2) as u32;
        let oldest = now.saturating_sub(objective * 4 * failures);
        for (at, failure) in engine.failures.samples() {
            (since(now, at.max(oldest)), failure.to_bits()).hash(into);
        }
        let short_at = engine.short_at.filter(|at| *at + objective * 2 >= now);
        short_at.map(|at| since(now, at)).hash(into);
        if let Some(report) = &engine.report {
            let load = report.load;
            let parts = [load.busy, load.waiting, load.memory, load.disks];
            (since(now, report.at), parts.map(|part| part.map(f64::to_bits))).hash(into);
        }
    }
}

fn hash_attempt(attempt: &Attempt, now: Duration, into: &mut impl Hasher) {
    (attempt.outcome.is_none(), attempt.may_have_run()).hash(into);
    if attempt.outcome.is_some() {
        return;
    }
    let times = (since(now, attempt.sent_at), since(now, attempt.last_sign_at));
    (attempt.is_stalled, attempt.cancelled, times).hash(into);
    let finish = attempt.expected_finish.map(|at| since(now, at));
    (finish, attempt.grant_mb.to_bits(), attempt.spilled_mb.to_bits()).hash(into);
}

fn hash_in_flight(attempt: &InFlight, positions: &Positions, now: Duration, into: &mut impl Hasher) {
    let sent = since(now, attempt.sent_at);
    (positions.get(&attempt.request), attempt.attempt, sent, attempt.tier as u8).hash(into);
    (attempt.grant_mb.to_bits(), attempt.threads.to_bits()).hash(into);
}

/// Microseconds from `now` to `at`, below 0 where it has passed.
fn since(now: Duration, at: Duration) -> i64 {
    at.as_micros() as i64 - now.as_micros() as i64
}

fn hash_values(window: &SampleWindow, into: &mut impl Hasher) {
    window.values().for_each(|value| value.to_bits().hash(into));
}

fn hash_samples(window: &SampleWindow, now: Duration, from: Duration, into: &mut impl Hasher) {
    let samples = window.samples().filter(|(at, _)| *at >= from);
    samples.for_each(|(at, value)| (since(now, at), value.to_bits()).hash(into));
}
