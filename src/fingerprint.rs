//! A router's state as a number, for those who walk through many states and must know one again. It leaves out
//! what can't influence a later action: times are told relative to now, chance is left to the caller, and
//! engines are told apart by what stands there and not by their numbers.

use crate::samples::SampleWindow;
use crate::state::{Attempt, Engine, Request};
use crate::*;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// How much a router keeps of what comes and goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldCounts {
    pub requests: usize,
    pub engines: usize,
    pub keys: usize,
}

/// What the caller knows beside the router's own state.
pub struct Fingerprint<'a> {
    pub now: Duration,
    /// Whether requests may still arrive: else what was learned of their types can be of no more use.
    pub more: bool,
    /// Whether engines may change places with their like.
    pub alike: bool,
    /// What the caller holds of an engine.
    pub beside: &'a dyn Fn(EngineId) -> u64,
}

type Digest = DefaultHasher;

impl Scheduler {
    pub fn held_counts(&self) -> HeldCounts {
        HeldCounts { requests: self.requests.len(), engines: self.engines.len(), keys: self.key_queues.len() }
    }

    /// Sets where chance goes on from: with it left open, a caller sets each draw.
    pub fn draw_from(&mut self, draws: u64) {
        self.draws = draws;
    }

    /// Feeds the state to `into`; two states that print alike act alike from here on, whatever comes, but for
    /// chance and, if engines may change places, their numbers.
    pub fn fingerprint(&self, with: &Fingerprint, into: &mut impl Hasher) {
        let now = with.now;
        let places: BTreeMap<RequestId, usize> = self.requests.keys().copied().zip(0..).collect();
        // Where nothing is open and nothing will come, only what is left to be let go counts.
        if self.requests.is_empty() && !with.more {
            (self.engines.len(), self.key_queues.len(), self.shutdown_at == Duration::MAX).hash(into);
            return since(now, self.wake_due.max(now)).hash(into);
        }
        let mut engines: Vec<u64> =
            self.engines.iter().map(|(id, e)| self.engine(*id, e, &places, with)).collect();
        if with.alike {
            engines.sort_unstable();
        }
        engines.hash(into);
        self.requests.values().for_each(|request| self.request(request, with, into));
        for key_queue in self.key_queues.values() {
            key_queue.requests.iter().map(|id| places.get(id).copied()).for_each(|place| place.hash(into));
            key_queue
                .rest
                .filter(|(_, until)| *until > now)
                .map(|(id, at)| (places.get(&id), since(now, at)))
                .hash(into);
        }
        since(now, self.wake_due.max(now)).hash(into);
        (self.shutdown_at != Duration::MAX).then(|| since(now, self.shutdown_at)).hash(into);
        self.watched.hash(into);
        let asked = self.asked.max(now.saturating_sub(self.shortest_objective()));
        self.fleet.reports_only_on_probe.then(|| since(now, asked)).hash(into);
        if self.attempt_limits.retry_budget.is_some() {
            self.accepted.iter().chain(&self.further).for_each(|at| since(now, *at).hash(into));
            self.further.len().hash(into);
        }
        let lately = now.saturating_sub(self.shortest_objective() * 4);
        samples(&self.shares, now, Duration::ZERO, into);
        for estimates in &self.estimates {
            let lasting =
                [&estimates.costs, &estimates.memories, &estimates.cost_ratios, &estimates.memory_ratios];
            // Only their values count, in the order in which they will be let go.
            lasting.iter().for_each(|recent| values(recent, into));
            if with.more {
                values(&estimates.deadlines, into);
            }
            samples(&estimates.stretches, now, lately, into);
        }
    }

    fn request(&self, request: &Request, with: &Fingerprint, into: &mut impl Hasher) {
        let now = with.now;
        (request.class, request.group, request.over, request.left && !request.over, request.key).hash(into);
        [
            request.ideal,
            request.memory,
            request.told_cost.unwrap_or(-1.0),
            request.told_memory.unwrap_or(-1.0),
        ]
        .iter()
        .for_each(|figure| figure.to_bits().hash(into));
        [request.arrived, request.latency_objective, request.deadline]
            .iter()
            .for_each(|at| since(now, *at).hash(into));
        // Of an attempt that is over only whether it may have run counts, and of the first of these when it left.
        let ran = |attempt: &&Attempt| {
            !matches!(
                attempt.end,
                Some(AttemptOutcome::Overloaded | AttemptOutcome::Unreachable | AttemptOutcome::Void)
            )
        };
        let windowed = matches!(self.classes[request.class].effect, Effect::IdempotentWithKey { .. });
        request
            .attempts
            .iter()
            .find(ran)
            .filter(|_| windowed)
            .map(|attempt| since(now, attempt.sent))
            .hash(into);
        for attempt in &request.attempts {
            (attempt.end.is_none(), ran(&attempt)).hash(into);
            if attempt.end.is_none() {
                (attempt.stands, attempt.cancelled, since(now, attempt.sent), since(now, attempt.heard))
                    .hash(into);
                (attempt.finish.map(|at| since(now, at)), attempt.grant.to_bits(), attempt.missing.to_bits())
                    .hash(into);
            }
            if !with.alike {
                attempt.engine.hash(into);
            }
        }
    }

    fn engine(
        &self,
        id: EngineId,
        engine: &Engine,
        places: &BTreeMap<RequestId, usize>,
        with: &Fingerprint,
    ) -> u64 {
        let mut digest = Digest::new();
        let (into, now, shortest_objective) = (&mut digest, with.now, self.shortest_objective());
        (engine.location, engine.kind, engine.cell, engine.lifecycle).hash(into);
        engine.launched.map(|at| since(now, at)).hash(into);
        let cold = engine.cold_since.filter(|at| *at + self.attempt_limits.warm_up > now);
        cold.map(|at| since(now, at)).hash(into);
        // Where this router's part is under one request, chance sets its window, by number and time.
        let share = self.share();
        if let Some(part) = self.cold_part(engine, now, share) {
            let dear = (0..self.classes.len()).any(|class| self.cold_usual(class) > part);
            dear.then(|| (since(now, engine.listed), self.chance(id, engine.listed.as_micros() as u64)))
                .hash(into);
            let from =
                if dear { Duration::ZERO } else { now.saturating_sub(self.attempt_limits.overload_window) };
            samples(&engine.sent, now, from, into);
        }
        for out in &engine.out {
            (places.get(&out.request), out.attempt, since(now, out.sent), out.tier as u8).hash(into);
            (out.grant.to_bits(), out.threads.to_bits()).hash(into);
        }
        // Which attempts of which requests were here, over or not.
        for (place, request) in self.requests.values().enumerate() {
            let here = request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.engine == id);
            here.for_each(|(attempt, _)| (place, attempt).hash(into));
        }
        let oldest = engine.out.first().map(|out| out.sent);
        oldest.map(|at| since(now, engine.heard.max(at))).hash(into);
        let pause = shortest_objective.div_f64(2.0 * share).max(shortest_objective);
        let latest = engine.sent.last().filter(|(at, _)| *at + pause > now);
        latest.map(|(at, _)| since(now, at)).hash(into);
        samples(&engine.stretches, now, now.saturating_sub(shortest_objective * 4), into);
        // Outcomes are looked back on for four beats each in a row: those past all that are of one age.
        let oldest = now.saturating_sub(shortest_objective * 4 * engine.bad.samples().count().max(2) as u32);
        engine.bad.samples().for_each(|(at, bad)| (since(now, at.max(oldest)), bad.to_bits()).hash(into));
        engine.refused.filter(|at| *at + shortest_objective * 2 >= now).map(|at| since(now, at)).hash(into);
        if let Some((at, told)) = &engine.report {
            let parts = [told.busy, told.waiting, told.memory, told.disks];
            (since(now, *at), parts.map(|part| part.map(f64::to_bits))).hash(into);
        }
        engine.groups.hash(into);
        engine.held.iter().for_each(|(group, at)| (group, since(now, *at)).hash(into));
        (with.beside)(id).hash(into);
        digest.finish()
    }
}

/// Microseconds from `now` to `at`, below 0 where it has passed.
fn since(now: Duration, at: Duration) -> i64 {
    at.as_micros() as i64 - now.as_micros() as i64
}

fn values(recent: &SampleWindow, into: &mut impl Hasher) {
    recent.values().for_each(|value| value.to_bits().hash(into));
}

fn samples(recent: &SampleWindow, now: Duration, from: Duration, into: &mut impl Hasher) {
    let held_counts = recent.samples().filter(|(at, _)| *at >= from);
    held_counts.for_each(|(at, value)| (since(now, at), value.to_bits()).hash(into));
}
