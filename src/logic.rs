//! The decisions. Callers reach them through the methods of [`Scheduler`], one for each kind of input; `lib.rs`
//! has what goes in and the `Actions` that answers come out of. After each input the rules listed in `settle`
//! run in their order until none fires.

use crate::samples::{SampleWindow, add, mean, quantile, seconds, span};
use crate::state::{
    Attempt, ClassEstimates, Engine, EngineView, FleetSnapshot, Gateway, KeyQueue, Out, Request, Tier,
};
use crate::*;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

/// Part of an engine's memory, within this router's share, that the target starts at (the design's 0.5).
const MEMORY_TARGET_PART: f64 = 0.5;
/// F and F3: the parts of the target that small and medium requests may fill together.
const SMALL_PART: f64 = 0.3;
const MEDIUM_PART: f64 = 0.6;
/// The first threshold, as a part of the memory that goes with one core.
const UNBLOCKED_PART: f64 = 1.0 / 64.0;
/// Difference in free room, as a part of the engine, that counts as a tie.
const NEAR: f64 = 1.0 / 8.0;
/// Threads a core that small and medium requests hold under pressure.
const SMALL_THREADS: f64 = 4.0;
const MEDIUM_THREADS: f64 = 1.0;
/// Margin of a grant over the corrected estimate; the engine's own choice adds as much to the told one.
const GRANT: f64 = 1.25;
/// The same where no estimate is told: an engine adds half to what the type usually needs.
const GRANT_UNTOLD: f64 = 1.5;
/// Part of the billed needs of a type that such a grant covers.
const GRANT_COVERS: f64 = 0.9;
/// Time-outs of held requests, by tier, as parts of the way to the target time.
const HOLD: [f64; 4] = [0.25, 0.25, 0.5, 0.75];
/// Latency over the fleet's best from which an engine is under pressure.
const PRESSED: f64 = 2.0;
/// A reported part of cores, disks or memory that counts as all of it.
const FULL: f64 = 0.95;
/// Cores that are busy at the capacity which a warm-up is measured by.
const CAPACITY: f64 = 0.85;
/// Remaining time over a fresh run's from which an attempt has a bad plan; the same without notes of progress.
const BAD_PLAN: f64 = 3.0;
const BAD_PLAN_UNSEEN: f64 = 8.0;
/// Samples kept of each measurement, and of an engine's last outcomes.
const SAMPLES: usize = 32;
const OUTCOMES: usize = 8;

impl Request {
    /// What decides the tier; a request with no told cost has none.
    fn tier_memory(&self) -> Option<f64> {
        self.told_cost.map(|_| self.memory)
    }

    /// The attempt from which a keyed request's window counts and whose engine sets its group.
    fn first_that_may_have_run(&self) -> Option<&Attempt> {
        let never_ran =
            [AttemptOutcome::Overloaded, AttemptOutcome::Unreachable, AttemptOutcome::Void].map(Some);
        self.attempts.iter().find(|attempt| !never_ran.contains(&attempt.end))
    }
}

impl Gateway {
    /// The design's categories: parts of the target over the mean count per engine, the new one included.
    fn tier(&self, memory: Option<f64>) -> Tier {
        let threshold = |part: f64, count: f64| self.memory_target * part * self.engines / (count + 1.0);
        match memory {
            None => Tier::Medium,
            Some(memory) if memory < self.unblocked => Tier::Unblocked,
            Some(memory) if memory < threshold(SMALL_PART, self.small) => Tier::Small,
            Some(memory) if memory < threshold(MEDIUM_PART, self.medium) => Tier::Medium,
            Some(_) => Tier::Largest,
        }
    }
}

impl ClassEstimates {
    /// A request's work and memory as corrected by what others came to.
    fn expected(&self, arrival: &Arrival) -> (f64, f64) {
        let ratio = |ratios: &SampleWindow| ratios.median().unwrap_or(1.0);
        let cost = arrival.cost.map(|told| seconds(told) * ratio(&self.cost_ratios));
        let memory = arrival.memory_mb.map(|told| told * ratio(&self.memory_ratios));
        let mean = |samples: &SampleWindow| samples.mean().unwrap_or(0.0);
        (cost.unwrap_or_else(|| mean(&self.costs)), memory.unwrap_or_else(|| mean(&self.memories)))
    }
}

#[derive(Clone)]
pub struct Scheduler {
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) classes: Arc<[RequestClass]>,
    pub(crate) attempt_limits: Arc<AttemptLimits>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) engines: BTreeMap<EngineId, Engine>,
    pub(crate) key_queues: BTreeMap<KeyId, KeyQueue>,
    pub(crate) estimates: Vec<ClassEstimates>,
    pub(crate) shares: SampleWindow,
    pub(crate) accepted: VecDeque<Duration>,
    pub(crate) further: VecDeque<Duration>,
    pub(crate) wake_due: Duration,
    pub(crate) asked: Duration,
    pub(crate) shutdown_at: Duration,
    pub(crate) watched: bool,
    pub(crate) draws: u64,
}

/// What may be sent at once, tier by tier.
pub struct Capacity<'a> {
    scheduler: &'a Scheduler,
    now: Duration,
    snapshot: FleetSnapshot,
    blocked: BTreeSet<(usize, Tier)>,
}

impl Capacity<'_> {
    /// Whether a request would be sent at once; those after it, in tiers without room for it, would not.
    pub fn admits(&mut self, arrival: &Arrival) -> bool {
        let request = self.scheduler.believed(self.now, arrival);
        let key_queue = request.key.and_then(|key| self.scheduler.key_queues.get(&key));
        let waits = key_queue.is_some_and(|key_queue| {
            !key_queue.requests.is_empty() || key_queue.rest.is_some_and(|(_, at)| at > self.now)
        });
        !waits && self.scheduler.choose(self.now, &request, &self.snapshot, &mut self.blocked).is_some()
    }
}

/// One rule: a condition and an effect; tells whether it fired.
type Rule<O> = fn(&mut Scheduler, Duration, &mut FleetSnapshot, &mut O) -> bool;

impl Scheduler {
    pub fn new(fleet: Fleet, classes: Vec<RequestClass>, attempt_limits: AttemptLimits) -> Self {
        Self {
            estimates: classes.iter().map(|_| ClassEstimates::keeping(SAMPLES)).collect(),
            fleet: fleet.into(),
            classes: classes.into(),
            attempt_limits: attempt_limits.into(),
            requests: BTreeMap::new(),
            engines: BTreeMap::new(),
            key_queues: BTreeMap::new(),
            shares: SampleWindow::keeping(SAMPLES * OUTCOMES),
            accepted: VecDeque::new(),
            further: VecDeque::new(),
            wake_due: Duration::ZERO,
            asked: Duration::ZERO,
            shutdown_at: Duration::MAX,
            watched: false,
            draws: 0,
        }
    }

    pub fn accept(&mut self, now: Duration, arrival: Arrival, out: &mut impl Actions) {
        let estimates = &mut self.estimates[arrival.class];
        // A client's retry has less deadline than usual: so much of the way to the target is gone. Where
        // clients mark such tries, a first one with less deadline than others is not taken for one.
        if arrival.is_retry != Some(true) {
            estimates.deadlines.push(now, seconds(arrival.deadline));
        }
        let request = self.believed(now, &arrival);
        let estimates = &mut self.estimates[arrival.class];
        let cost = estimates.expected(&arrival).0;
        arrival.cost.inspect(|_| estimates.costs.push(now, cost));
        if let Some(key) = request.key {
            self.key_queues.entry(key).or_default().requests.push_back(arrival.request);
        }
        self.requests.insert(arrival.request, request);
        self.accepted.push_back(now);
        self.settle(now, out);
    }

    /// A request as it is believed to be.
    fn believed(&self, now: Duration, arrival: &Arrival) -> Request {
        let (class, estimates) = (&self.classes[arrival.class], &self.estimates[arrival.class]);
        let usual = span(estimates.deadlines.median().unwrap_or(0.0));
        let spent = usual.saturating_sub(arrival.deadline) * u32::from(arrival.is_retry != Some(false));
        let key = arrival.key.filter(|_| class.keeps_order);
        let (cost, memory) = estimates.expected(arrival);
        let ideal = cost / class.threads.max(1.0);
        let arrived = now.saturating_sub(arrival.waited);
        let latency_objective = arrived + class.latency_objective + span(class.objective_stretch * ideal);
        Request {
            class: arrival.class,
            key,
            told_cost: arrival.cost.map(seconds),
            told_memory: arrival.memory_mb,
            ideal,
            memory,
            group: arrival.group,
            arrived,
            latency_objective: latency_objective
                .saturating_sub(spent)
                .min(arrived + arrival.deadline)
                .min(self.shutdown_at),
            deadline: (arrived + arrival.deadline).min(self.shutdown_at),
            over: false,
            left: false,
            attempts: Vec::new(),
        }
    }

    /// The work that a request is expected to be, as one core's time.
    pub fn expected_work(&self, arrival: &Arrival) -> Duration {
        span(self.estimates[arrival.class].expected(arrival).0)
    }

    /// What may be sent at once, for a queue before this: what can't be waits where its order counts.
    pub fn capacity(&self, now: Duration) -> Capacity<'_> {
        Capacity { scheduler: self, now, snapshot: self.snapshot(now, true), blocked: BTreeSet::new() }
    }

    pub fn attempt_ended(&mut self, now: Duration, attempt: AttemptEnded, out: &mut impl Actions) {
        let AttemptEnded {
            request: id,
            attempt,
            engine,
            outcome: end,
            elapsed,
            usage,
            load_report,
            request_done,
        } = attempt;
        self.report(now, engine, load_report, id);
        let Some(request) = self.requests.get_mut(&id) else { return self.settle(now, out) };
        request.over |= request_done;
        let (class, told_cost, told_memory) = (request.class, request.told_cost, request.told_memory);
        let Some(ended) = request.attempts.get_mut(attempt) else { return self.settle(now, out) };
        ended.end = Some(end);
        let Attempt { sent, engine, grant, missing, .. } = *ended;
        let may_still_run =
            matches!(end, AttemptOutcome::TimedOut | AttemptOutcome::Broken | AttemptOutcome::Withdrawn);
        if let (Some(key), Some(rest), true) = (request.key, self.attempt_limits.key_cooldown, may_still_run)
        {
            self.key_queues.entry(key).or_default().rest = Some((id, now + rest));
        }
        let estimates = &mut self.estimates[class];
        if let Some(usage) = usage {
            estimates.memories.push(now, usage.memory_mb);
            told_memory.inspect(|told| estimates.memory_ratios.push(now, usage.memory_mb / told));
            told_cost.inspect(|told| estimates.cost_ratios.push(now, seconds(usage.cost) / told));
        }
        // Unbilled, a spill tells the most that was needed, unless a cut grant may be its cause.
        if let (None, AttemptOutcome::Succeeded, Some(told), false) =
            (usage, end, told_memory, self.fleet.shrinks_grants)
        {
            estimates.memory_ratios.push(now, if missing > 0.0 { (grant + missing) / told } else { 1.0 });
        }
        // Of untold cost, a request is what it came to, not what such requests come to.
        let mut ideal = request.ideal;
        if told_cost.is_none() && end == AttemptOutcome::Succeeded {
            // Unbilled, its share of the cores is what it ran on: else a crowd would look like its own work.
            let threads = self.classes[class].threads;
            let crowd =
                load_report.and_then(|_| self.engines[&engine].report).and_then(|(_, told)| told.busy);
            let alone = seconds(elapsed) * threads / crowd.unwrap_or(1.0).max(1.0);
            let cost = usage.map_or(alone, |usage| seconds(usage.cost));
            estimates.costs.push(now, cost);
            ideal = cost / threads.max(1.0);
        }
        let engine = self.engines.get_mut(&engine).expect("an engine that a hop went to");
        engine.out.retain(|out| (out.request, out.attempt) != (id, attempt));
        if matches!(end, AttemptOutcome::Succeeded | AttemptOutcome::Failed | AttemptOutcome::Overloaded) {
            engine.heard = now;
        }
        let again = engine.bad.last().is_some_and(|(at, bad)| bad > 0.0 && at + self.fleet.tick >= now);
        match end {
            AttemptOutcome::Succeeded => {
                let stretch = seconds(now - sent) / (ideal + seconds(self.fleet.tick));
                estimates.stretches.push(now, stretch);
                // Over an idle engine's run, not the best of late: in lasting overload that drifts up.
                engine.stretches.push(now, stretch);
                engine.bad.push(now, 0.0);
            }
            AttemptOutcome::Overloaded => engine.refused = Some(now),
            AttemptOutcome::Failed | AttemptOutcome::TimedOut => engine.bad.push(now, 1.0),
            // Guards against lost machines and halls, whose connects fail or whose attempts all break at once:
            // two marks, and cold, as the list tells late. Any other break is one: a cut may mean nothing.
            AttemptOutcome::Unreachable | AttemptOutcome::Broken
                if end != AttemptOutcome::Broken || again && engine.out.is_empty() =>
            {
                (0..2).for_each(|_| engine.bad.push(now, 1.0));
                engine.cold_since = Some(now);
            }
            AttemptOutcome::Broken if !again => engine.bad.push(now, 1.0),
            _ => {}
        }
        self.settle(now, out);
    }

    /// An engine's answer to a probe, or that none came.
    pub fn probed(
        &mut self,
        now: Duration,
        id: EngineId,
        load_report: Option<LoadReport>,
        out: &mut impl Actions,
    ) {
        self.report(now, id, load_report, RequestId::MAX);
        self.settle(now, out);
    }

    pub fn progress_noted(
        &mut self,
        now: Duration,
        id: RequestId,
        attempt: usize,
        notice: ProgressNote,
        out: &mut impl Actions,
    ) {
        if let Some(request) = self.requests.get_mut(&id)
            && let Some(attempt_out) = request.attempts.get_mut(attempt)
            && let Some(engine) = self.engines.get_mut(&attempt_out.engine)
        {
            (engine.heard, attempt_out.heard) = (now, now);
            attempt_out.stands |=
                matches!(notice, ProgressNote::WaitingForMemory | ProgressNote::WaitingForLoad);
            match notice {
                ProgressNote::Fraction(done) if done > 0.0 => {
                    let left = seconds(now - attempt_out.sent) * (1.0 - done).max(0.0) / done;
                    attempt_out.finish = Some(now + span(left));
                }
                ProgressNote::Spilling(missing_mb) => {
                    attempt_out.missing = attempt_out.missing.max(missing_mb)
                }
                ProgressNote::WaitingForLoad => engine.held.extend(request.group.map(|group| (group, now))),
                _ => {}
            }
            let cut = self.fleet.shrinks_grants && request.told_memory.is_some();
            let short = cut && matches!(notice, ProgressNote::Spilling(_))
                || notice == ProgressNote::WaitingForMemory;
            engine.refused = short.then_some(now).or(engine.refused);
        }
        self.settle(now, out);
    }

    /// Clients have stopped waiting for some requests, which are over. Those of others have ended their side and
    /// may be gone: what they asked for is not sent on any more, and what is out has its end waited for.
    pub fn clients_left(
        &mut self,
        now: Duration,
        over: &[RequestId],
        ended: &[RequestId],
        out: &mut impl Actions,
    ) {
        for (ids, over) in [(over, true), (ended, false)] {
            for id in ids {
                let mark =
                    |request: &mut Request| if over { request.over = true } else { request.left = true };
                self.requests.entry(*id).and_modify(mark);
            }
        }
        self.settle(now, out);
    }

    pub fn endpoints_changed(
        &mut self,
        now: Duration,
        update: EndpointUpdate,
        rows: Vec<Endpoint>,
        out: &mut impl Actions,
    ) {
        if update == EndpointUpdate::FullList {
            self.engines.values_mut().for_each(|engine| engine.lifecycle = Lifecycle::Gone);
        }
        for row in rows {
            let new = || Engine::listed(&row, now, SAMPLES, OUTCOMES);
            let engine = self.engines.entry(row.engine).or_insert_with(new);
            engine.lifecycle = row.lifecycle;
            if row.launched.is_some() && row.launched != engine.launched {
                let before = std::mem::replace(engine, new());
                (engine.out, engine.sent) = (before.out, before.sent);
            }
        }
        self.settle(now, out);
    }

    /// The process ends at `by`: nobody waits longer than that.
    pub fn shutting_down(&mut self, now: Duration, by: Duration, out: &mut impl Actions) {
        self.shutdown_at = by;
        let cut = |request: &mut Request| {
            (request.deadline, request.latency_objective) =
                (request.deadline.min(by), request.latency_objective.min(by))
        };
        self.requests.values_mut().for_each(cut);
        out.wake_after(by.saturating_sub(now + self.margin() * 3));
        self.settle(now, out);
    }

    pub fn endpoint_list_failed(&mut self, now: Duration, out: &mut impl Actions) {
        self.watched = false;
        self.settle(now, out);
    }

    pub fn wake(&mut self, now: Duration, out: &mut impl Actions) {
        self.settle(now, out);
    }

    /// Takes a report in. What this router's other attempts hold, over what the fleet does with as much granted
    /// everywhere, samples the share: at one engine alone, those with an own attempt would count too often.
    fn report(&mut self, now: Duration, id: EngineId, load_report: Option<LoadReport>, ended: RequestId) {
        let Some((mut load_report, engine)) = load_report.zip(self.engines.get_mut(&id)) else { return };
        // Where cores are not told, the requests in flight tell how many threads stand for them.
        load_report.in_flight = load_report.in_flight.filter(|_| load_report.busy.is_none());
        let out = self.requests.values().filter(|request| request.out());
        let threads = mean(out.map(|request| self.classes[request.class].threads)).unwrap_or(1.0);
        let crowd =
            load_report.in_flight.map(|requests| requests * threads / self.fleet.kinds[engine.kind].cores);
        load_report.busy = load_report.busy.or(crowd);
        engine.report = Some((now, load_report));
        // Reports that are asked for when requests are held would make the share look large.
        if let Some(memory) = load_report.memory.filter(|m| *m > 0.0 && !self.fleet.reports_only_on_probe) {
            let out = self.requests.iter().filter(|(id, request)| **id != ended && request.out());
            let own: f64 = out.map(|(_, request)| request.attempts[request.attempts.len() - 1].grant).sum();
            let ready = self.engines.values().filter(|engine| engine.lifecycle.accepts_requests());
            let all: f64 = ready.map(|engine| self.fleet.kinds[engine.kind].memory_mb).sum();
            self.shares.push(now, (own / (memory * all.max(1.0))).min(1.0));
        }
    }

    /// The shortest target time: the module's measure for what is soon and what is long.
    pub(crate) fn shortest_objective(&self) -> Duration {
        self.classes.iter().map(|t| t.latency_objective).min().unwrap_or(self.fleet.tick)
    }

    /// Before which a final answer must be on its way.
    pub fn margin(&self) -> Duration {
        self.fleet.tick * 4
    }

    fn grant(&self, request: &Request, kind: usize) -> f64 {
        let most = self.fleet.max_grant_share * self.fleet.kinds[kind].memory_mb;
        let billed =
            || quantile(self.estimates[request.class].memories.values(), GRANT_COVERS).unwrap_or(0.0);
        let untold = || billed().max(request.memory * GRANT_UNTOLD);
        request.told_memory.map_or_else(untold, |told| request.memory.max(told) * GRANT).min(most)
    }

    /// This router's part of the fleet's class: its part of the memory that engines report granted, else an
    /// equal one.
    pub(crate) fn share(&self) -> f64 {
        let equal = 1.0 / self.fleet.router_count.max(1) as f64;
        self.shares.mean().map_or(equal, |seen| seen.clamp(equal / 4.0, 1.0))
    }

    /// Whether notes of an attempt have stopped: it is over and its answer lost, or it stands at a silent engine.
    fn lost(&self, now: Duration, out: &Out) -> bool {
        let from = self.fleet.progress_interval.map(|every| now.saturating_sub(every * 4));
        from.is_some_and(|from| self.requests[&out.request].attempts[out.attempt].heard < from)
    }

    /// MB and threads that this router has out at an engine, of attempts sent since `from`.
    fn own(&self, now: Duration, id: EngineId, from: Duration) -> (f64, f64) {
        let attempts = self.engines[&id].out.iter().filter(|out| out.sent >= from && !self.lost(now, out));
        attempts.map(|out| (out.grant, out.threads)).fold((0.0, 0.0), add)
    }

    fn requests_out(&self, engine: &Engine) -> impl Iterator<Item = &Request> {
        engine.out.iter().map(|out| &self.requests[&out.request])
    }

    /// Where nothing waits to be sent, only the engines that hold something matter.
    fn snapshot(&self, now: Duration, held: bool) -> FleetSnapshot {
        let from = now.saturating_sub(self.shortest_objective() * 4);
        let recent = self.estimates.iter().flat_map(|l| l.stretches.since(from));
        let stretch = quantile(recent, 0.5).unwrap_or(1.0).max(1.0);
        let run = |l: &ClassEstimates| quantile(l.stretches.since(from), 0.5).unwrap_or(1.0).max(1.0);
        let runs: Vec<f64> = self.estimates.iter().map(run).collect();
        let see = |engine: &Engine| {
            let own = quantile(engine.stretches.since(from), 0.5);
            let silence = self.silence(engine, now, &runs);
            EngineView {
                pressed: self.pressed(engine, now, own.map(|own| own > PRESSED)),
                silence,
                sick: silence >= 1.0 || self.failing(engine, now),
                ease: (PRESSED / own.unwrap_or(stretch)).min(1.0),
                slow: own.map_or(1.0, |own| (own / stretch).clamp(0.5, 4.0)),
            }
        };
        let engines = self.engines.iter().filter(|(_, e)| held || !e.out.is_empty());
        let mut engines: BTreeMap<EngineId, EngineView> = engines.map(|(id, e)| (*id, see(e))).collect();
        // Where nothing recent tells of an engine, as for most when routers are many, the others tell.
        let told = |p| engines.values().filter(|seen| seen.pressed == Some(p)).count();
        if told(true) > told(false) {
            engines.values_mut().for_each(|seen| seen.pressed = seen.pressed.or(Some(true)));
        }
        let (share, kinds) = (self.share(), 0..if held { self.fleet.kinds.len() } else { 0 });
        let gateways = kinds.map(|kind| self.gateway(now, kind, share, &engines)).collect();
        FleetSnapshot { runs, share, engines, gateways }
    }

    /// The target moves with the pressure that the kind's engines show, from half to 1.5 of its start.
    fn gateway(
        &self,
        now: Duration,
        kind: usize,
        share: f64,
        seen: &BTreeMap<EngineId, EngineView>,
    ) -> Gateway {
        let EngineKind { cores, memory_mb } = self.fleet.kinds[kind];
        let engines = || {
            self.engines
                .iter()
                .filter(|(_, engine)| engine.kind == kind && engine.lifecycle.accepts_requests())
        };
        let mood = |id| match seen[id].pressed {
            Some(true) => -1.0,
            Some(false) => 1.0,
            None => 0.0,
        };
        let swing = 1.0 + mean(engines().map(|(id, _)| mood(id))).unwrap_or(0.0) / 2.0;
        let count = |tier| engines().flat_map(|(_, e)| &e.out).filter(|out| out.tier == tier).count() as f64;
        let own = engines().map(|(id, _)| self.own(now, *id, Duration::ZERO)).fold((0.0, 0.0), add);
        let pressed = || engines().filter(|(id, _)| seen[id].pressed == Some(true));
        // What stands at a jammed engine takes no more than its part, or one request, from the others.
        let one = self.classes.iter().map(|t| t.threads).fold(1.0, f64::max).max(cores * share);
        let held = |tier| pressed().map(|(_, engine)| self.threads_out(engine, tier).min(one)).sum();
        // The few that were asked tell nothing of the others.
        let reports =
            || engines().filter(|_| !self.fleet.reports_only_on_probe).filter_map(|(_, e)| e.report.as_ref());
        let told = |part: fn(&LoadReport) -> Option<f64>| mean(reports().filter_map(|(_, s)| part(s)));
        Gateway {
            // What is in flight comes and goes too fast for a mean of old reports.
            told: (told(|s| s.memory), told(|s| s.busy.filter(|_| s.in_flight.is_none()))),
            counted: reports().any(|(_, s)| s.in_flight.is_some()),
            memory: own.0,
            threads: own.1,
            pool: pressed().map(|(id, _)| seen[id].ease * cores).sum(),
            held: [Tier::Unblocked, Tier::Small, Tier::Medium, Tier::Largest].map(held),
            unblocked: memory_mb / cores * UNBLOCKED_PART,
            memory_target: memory_mb * share * MEMORY_TARGET_PART * swing,
            untold: (1.0 + MEMORY_TARGET_PART) / 2.0 * swing.min(1.0),
            engines: engines().count().max(1) as f64,
            small: count(Tier::Small),
            medium: count(Tier::Medium),
        }
    }

    /// Whether an engine shows pressure; `None` where nothing recent tells.
    fn pressed(&self, engine: &Engine, now: Duration, slow: Option<bool>) -> Option<bool> {
        let from = now.saturating_sub(self.shortest_objective() * 2);
        let refused = engine.refused.is_some_and(|at| at >= from);
        let reported = engine.report.as_ref().filter(|(at, _)| *at >= from).map(|(_, s)| {
            let cores = s.busy.map(|busy| busy / if s.in_flight.is_some() { PRESSED } else { 1.0 });
            let full = [cores, s.memory, s.disks].iter().any(|part| part.is_some_and(|p| p >= FULL));
            full || s.waiting.is_some_and(|w| w >= 1.0)
        });
        if refused { Some(true) } else { [reported, slow].into_iter().flatten().reduce(|a, b| a || b) }
    }

    /// No sign from an engine that has attempts out, for this many times as long as one should be due in.
    fn silence(&self, engine: &Engine, now: Duration, runs: &[f64]) -> f64 {
        let Some(oldest) = engine.out.first().map(|out| out.sent) else { return 0.0 };
        let run = |request: &Request| request.ideal * runs[request.class] * 3.0;
        let due = match self.fleet.progress_interval {
            Some(every) => seconds(every) * 2.0,
            None => self.requests_out(engine).map(run).fold(f64::INFINITY, f64::min),
        };
        seconds(now.saturating_sub(engine.heard.max(oldest))) / due.max(seconds(self.shortest_objective()))
    }

    /// Guards against engines that fail fast or are gone: they look free. What goes on is believed longer,
    /// since the trials of many routers add up.
    fn failing(&self, engine: &Engine, now: Duration) -> bool {
        let in_a_row = engine.bad.since(Duration::ZERO).take_while(|bad| *bad > 0.0).count();
        let bad =
            || engine.bad.since(now.saturating_sub(self.shortest_objective() * 4 * in_a_row.max(2) as u32));
        bad().sum::<f64>() >= 2.0 && mean(bad()).is_some_and(|part| part >= 0.3)
    }

    /// What a request's request class may be sent to, by placement and by the group that drops its repeats.
    fn allowed(&self, request: &Request, engine: &Engine) -> bool {
        let class = &self.classes[request.class];
        let placed = class.kinds.as_ref().is_none_or(|kinds| kinds.contains(&engine.kind))
            && class.locations.as_ref().is_none_or(|places| places.contains(&engine.location));
        let same_group = match (&class.effect, request.first_that_may_have_run()) {
            (Effect::IdempotentWithKey { scope, .. }, Some(attempt)) => {
                let first = &self.engines[&attempt.engine];
                match scope {
                    KeyScope::All => true,
                    KeyScope::Location => first.location == engine.location,
                    KeyScope::Cell => first.cell == engine.cell,
                }
            }
            _ => true,
        };
        engine.lifecycle.accepts_requests() && placed && same_group
    }

    /// Whether neither placement nor an earlier attempt keeps it from engines that others may be sent to.
    fn may_go_anywhere(&self, request: &Request) -> bool {
        let class = &self.classes[request.class];
        let bound =
            matches!(&class.effect, Effect::IdempotentWithKey { scope, .. } if *scope != KeyScope::All);
        class.locations.is_none() && (!bound || request.first_that_may_have_run().is_none())
    }

    /// Whether effects allow another attempt: never while one is out.
    fn may_run_again(&self, request: &Request, now: Duration) -> bool {
        let harmless = match (&self.classes[request.class].effect, request.first_that_may_have_run()) {
            (Effect::Idempotent, _) | (_, None) => true,
            (Effect::NonIdempotent, Some(_)) => false,
            (Effect::IdempotentWithKey { window, .. }, Some(attempt)) => {
                now + self.margin() < attempt.sent + *window
            }
        };
        harmless && request.attempts.len() < self.attempt_limits.max_attempts
    }

    fn may_reject(&self, request: &Request) -> bool {
        match &self.classes[request.class].effect {
            Effect::Idempotent | Effect::IdempotentWithKey { scope: KeyScope::All, .. } => true,
            _ => request.first_that_may_have_run().is_none(),
        }
    }

    /// Further attempts that the budget still holds.
    fn attempts_left(&self, now: Duration) -> f64 {
        let Some(budget) = &self.attempt_limits.retry_budget else { return f64::INFINITY };
        let taken = self.accepted.iter().filter(|at| **at + budget.window > now).count() as f64;
        let made = self.further.iter().filter(|at| **at + budget.window >= now).count() as f64;
        budget.spare + budget.per_request * taken - made
    }

    /// Whether it is this request's turn among those of its key.
    fn has_turn(&self, id: RequestId, request: &Request, now: Duration) -> bool {
        let Some(key_queue) = request.key.and_then(|key| self.key_queues.get(&key)) else { return true };
        key_queue.requests.front() == Some(&id)
            && key_queue.rest.is_none_or(|(by, until)| by == id || until <= now)
    }

    /// Guards cold engines: this router's part of what a starting engine takes in any window, by the usual
    /// work of the request class. With many routers that is under one request: then one in a longer window,
    /// from a point in it that chance sets, so that the parts still add up, to half of the whole at most.
    fn fits_cold(&self, id: EngineId, engine: &Engine, request: &Request, now: Duration, share: f64) -> bool {
        let Some(budget) = self.cold_part(engine, now, share) else { return true };
        let usual = self.cold_usual(request.class);
        let times = if usual > budget { 2.0 * usual / budget } else { 1.0 };
        let window = self.attempt_limits.overload_window.mul_f64(times.min(1e6));
        let sent: f64 = engine.sent.since(now.saturating_sub(window)).sum();
        let part = self.chance(id, engine.listed.as_micros() as u64) as f64 / u64::MAX as f64;
        sent + usual <= budget.max(usual) && (times == 1.0 || now >= engine.listed + window.mul_f64(part))
    }

    /// Usual work in seconds that this router may send an engine in any window; `None` once it is warm.
    pub(crate) fn cold_part(&self, engine: &Engine, now: Duration, share: f64) -> Option<f64> {
        let age = engine
            .cold_since
            .map(|at| seconds(now.saturating_sub(at)) / seconds(self.attempt_limits.warm_up));
        let warmth = age.filter(|age| *age < 1.0)?;
        let start = self.attempt_limits.start_capacity;
        let capacity = self.fleet.kinds[engine.kind].cores * CAPACITY * (start + (1.0 - start) * warmth);
        Some(
            self.attempt_limits.overload_factor
                * capacity
                * seconds(self.attempt_limits.overload_window)
                * share,
        )
    }

    pub(crate) fn cold_usual(&self, class: usize) -> f64 {
        self.usual_cost(class).max(seconds(self.fleet.tick))
    }

    fn threads_out(&self, engine: &Engine, tier: Tier) -> f64 {
        engine.out.iter().filter(|out| out.tier == tier).map(|out| out.threads).sum()
    }

    /// Whether the tier has a slot open at an engine: largest one at a time, the others bound under pressure.
    /// Guards against surges and slow fleets: limits shrink as latency rises. Guards against many routers,
    /// whose one query at each engine adds up: parts under one are pooled over the engines under pressure.
    fn slot_open(
        &self,
        engine: &Engine,
        tier: Tier,
        threads: f64,
        snapshot: (&EngineView, &Gateway, f64),
    ) -> bool {
        let (seen, gateway, share) = snapshot;
        let part = if tier == Tier::Small { SMALL_THREADS } else { MEDIUM_THREADS };
        let most = self.fleet.kinds[engine.kind].cores * share * part;
        let held = self.threads_out(engine, tier);
        let pooled = gateway.held[tier as usize];
        match tier {
            Tier::Unblocked => true,
            Tier::Largest if held > 0.0 => false,
            _ if seen.pressed != Some(true) => true,
            _ if most < threads => pooled == 0.0 || pooled + threads <= gateway.pool * share * part,
            _ => held == 0.0 || tier != Tier::Largest && held + threads <= most * seen.ease,
        }
    }

    /// Part of memory, and its sum with that of cores, in use at an engine once it has the request: as told,
    /// with own attempts not shown yet; a report fades into the mean of all. With no reports at all, own attempts
    /// there and other routers' ones, as many as the share tells, spread evenly.
    fn load(&self, id: EngineId, request: &Request, now: Duration, share: f64, kind: &Gateway) -> (f64, f64) {
        let engine = &self.engines[&id];
        let EngineKind { cores, memory_mb } = self.fleet.kinds[engine.kind];
        let (grant, threads) = (self.grant(request, engine.kind), self.classes[request.class].threads);
        let parts = |(own, own_threads)| ((own + grant) / memory_mb, (own_threads + threads) / cores);
        let others = (1.0 / share - 1.0) / kind.engines;
        let own = || self.own(now, id, Duration::ZERO);
        let alone = parts(add(own(), (kind.memory * others, kind.threads * others)));
        let fresh = parts(self.own(now, id, now.saturating_sub(self.shortest_objective())));
        let guess = |told: Option<f64>, fresh, alone| told.map_or(alone, |told| told + fresh);
        let guess = (guess(kind.told.0, fresh.0, alone.0), guess(kind.told.1, fresh.1, alone.1));
        let tells = |s: &LoadReport| s.memory.is_some() || kind.counted;
        let Some((at, load_report)) = engine.report.as_ref().filter(|(_, s)| tells(s)) else {
            // Nothing tells them apart but own attempts: others like what this router likes, or the mean of those
            // that tell. Free cores tell little of an engine's memory, and draw all routers there at once.
            let (own, new) = (own(), parts((0.0, 0.0)));
            let alike = (own.0 / memory_mb + own.1 / cores) / share;
            let new = (new.0 + new.1) / if kind.counted { 1.0 } else { share };
            return (guess.0, kind.told.0.map_or(alike + new, |_| guess.0 + guess.1));
        };
        let (unseen, unseen_busy) = parts(self.own(now, id, at.saturating_sub(self.shortest_objective())));
        let age = seconds(now - *at) / seconds(self.shortest_objective() * 4);
        // Guards against engines that have gone quiet under a crowd: whatever was told, own attempts are there.
        let there = parts(own());
        let fade = |told: Option<f64>, unseen: f64, guess: f64, there: f64| match told {
            Some(told) => ((told + unseen + guess * age) / (1.0 + age)).max(there),
            None => guess,
        };
        let memory = fade(load_report.memory, unseen, guess.0, there.0);
        // A probe tells late, and others ask too: half as far as the guess, it lets requests go as well.
        let in_use =
            if self.fleet.reports_only_on_probe { guess.0.min(memory / MEMORY_TARGET_PART) } else { memory };
        (in_use, memory + fade(load_report.busy, unseen_busy, guess.1, there.1))
    }

    /// Priority weight for a second of the usual work.
    fn density(&self, class: usize) -> f64 {
        self.classes[class].priority_weight / self.estimates[class].costs.mean().unwrap_or(f64::INFINITY)
    }

    fn earns_little_late(&self, request: &Request, now: Duration) -> bool {
        let usual = || mean((0..self.classes.len()).map(|class| self.density(class))).unwrap_or(0.0);
        let class = &self.classes[request.class];
        // What an earlier note promised and has not come does not count.
        let due = request.attempts.last().and_then(|attempt| attempt.finish).filter(|at| *at > now);
        let left = || due.map_or(self.usual_cost(request.class), |at| seconds(at - now) * class.threads);
        now > request.latency_objective && class.late_share * class.priority_weight < usual() / 4.0 * left()
    }

    fn usual_cost(&self, class: usize) -> f64 {
        self.estimates[class].costs.mean().unwrap_or(0.0)
    }

    /// Where priorities are heeded: what others may stand still behind first, then by priority weight for the work.
    fn priority(&self, class: usize) -> u8 {
        let most = (0..self.classes.len()).map(|class| self.density(class)).fold(0.0, f64::max);
        match &self.classes[class] {
            _ if !self.fleet.honors_priorities => 1,
            RequestClass { holds_group: true, .. } => 3,
            _ if self.density(class) >= most / 2.0 => 2,
            _ => 1,
        }
    }

    /// Whether an attempt may be taken back to send the request again: allowed and in time; callers keep the budget.
    fn may_move(&self, request: &Request, now: Duration) -> bool {
        let time = seconds(request.deadline.saturating_sub(now)) > 2.0 * request.ideal;
        !request.over && !request.left && time && self.may_run_again(request, now)
    }

    pub(crate) fn chance(&self, engine: EngineId, draw: u64) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.fleet.seed, draw, engine).hash(&mut hasher);
        hasher.finish()
    }

    /// Answers the open requests that `hopeless` names.
    fn refuse(
        &mut self,
        hopeless: impl Fn(&Self, RequestId, &Request) -> bool,
        out: &mut impl Actions,
    ) -> bool {
        let retry_after =
            self.attempt_limits.max_retry_after.map(|longest| self.shortest_objective().min(longest));
        let open =
            self.requests.iter().filter(|(id, request)| !request.over && hopeless(self, **id, request));
        let open: Vec<RequestId> = open.map(|(id, _)| *id).collect();
        for id in &open {
            match self.may_reject(&self.requests[id]) {
                true => out.reject(*id, retry_after),
                false => out.fail(*id),
            }
            self.requests.entry(*id).and_modify(|request| request.over = true);
        }
        !open.is_empty()
    }

    fn take_back(&mut self, mut attempts: Vec<(RequestId, usize)>, out: &mut impl Actions) -> bool {
        attempts.retain(|(id, attempt)| {
            self.attempt_limits.may_cancel && !self.requests[id].attempts[*attempt].cancelled
        });
        for (id, attempt) in &attempts {
            self.requests.get_mut(id).expect("a task out").attempts[*attempt].cancelled = true;
            out.cancel(*id, *attempt);
        }
        !attempts.is_empty()
    }

    fn send(&mut self, now: Duration, id: RequestId, to: EngineId, tier: Tier, out: &mut impl Actions) {
        let request = &self.requests[&id];
        let grant = self.grant(request, self.engines[&to].kind);
        let usual = self.usual_cost(request.class);
        out.set_terms(id, grant.round(), self.priority(request.class));
        out.send(id, to, request.deadline.saturating_sub(self.margin()));
        self.further.extend((!request.attempts.is_empty()).then_some(now));
        let (group, threads) = (request.group, self.classes[request.class].threads);
        let attempts = &mut self.requests.get_mut(&id).expect("a held task").attempts;
        let engine = self.engines.get_mut(&to).expect("a listed engine");
        engine.out.push(Out { request: id, attempt: attempts.len(), sent: now, tier, grant, threads });
        attempts.push(Attempt::sent(now, to, grant));
        engine.sent.push(now, usual);
        engine.reads(group, OUTCOMES);
    }

    // ---- rules ----

    fn settle<O: Actions>(&mut self, now: Duration, out: &mut O) {
        let rules: [Rule<O>; 9] = [
            Self::forget_what_is_over,
            Self::answer_in_time,
            Self::cancel_on_silent_engines,
            Self::cancel_bad_plans,
            Self::drop_what_is_late,
            Self::release,
            Self::ask_what_is_free,
            Self::refuse_what_waits_in_vain,
            Self::stay_awake,
        ];
        let mut snapshot = self.snapshot(now, self.requests.values().any(Request::held));
        while rules.iter().any(|rule| rule(self, now, &mut snapshot, out)) {}
    }

    fn forget_what_is_over(
        &mut self,
        now: Duration,
        snapshot: &mut FleetSnapshot,
        out: &mut impl Actions,
    ) -> bool {
        let over =
            |request: &Request| request.over && request.attempts.iter().all(|attempt| attempt.end.is_some());
        let gone: BTreeSet<RequestId> =
            self.requests.extract_if(.., |_, t| over(t)).map(|(id, _)| id).collect();
        if !gone.is_empty() {
            self.key_queues
                .values_mut()
                .for_each(|key_queue| key_queue.requests.retain(|id| !gone.contains(id)));
            let resting = |key_queue: &KeyQueue| key_queue.rest.is_some_and(|(_, until)| until > now);
            self.key_queues.retain(|_, key_queue| !key_queue.requests.is_empty() || resting(key_queue));
        }
        let window = self.attempt_limits.retry_budget.as_ref().map_or(Duration::ZERO, |budget| budget.window);
        for times in [&mut self.accepted, &mut self.further] {
            while times.pop_front_if(|at| *at + window < now).is_some() {}
        }
        // Guards against fleets that are replaced all day: an engine ends with the last request it has seen.
        let seen = |id| {
            self.requests.values().any(|request| request.attempts.iter().any(|attempt| attempt.engine == id))
        };
        let left = self
            .engines
            .iter()
            .find(|(id, engine)| engine.lifecycle.is_deregistered() && !seen(**id))
            .map(|(id, _)| *id);
        left.inspect(|id| out.forget(*id));
        snapshot.engines.retain(|id, _| Some(*id) != left);
        left.and_then(|id| self.engines.remove(&id)).is_some() || !gone.is_empty()
    }

    /// One final answer before deadline ends, or the process, and at once where no further attempt is allowed, or
    /// is for nobody any more.
    fn answer_in_time(&mut self, now: Duration, _: &mut FleetSnapshot, out: &mut impl Actions) -> bool {
        let hopeless = |scheduler: &Self, _: RequestId, request: &Request| {
            let soon = now + scheduler.margin() * 3;
            let again =
                || scheduler.may_run_again(request, now) && !scheduler.earns_little_late(request, now);
            let hopeless =
                || request.left || soon >= request.deadline || !request.attempts.is_empty() && !again();
            soon >= scheduler.shutdown_at || request.held() && hopeless()
        };
        self.refuse(hopeless, out)
    }

    /// Guards against engines, and single answers, of which nothing comes: takes back what may be repeated.
    fn cancel_on_silent_engines(
        &mut self,
        now: Duration,
        snapshot: &mut FleetSnapshot,
        out: &mut impl Actions,
    ) -> bool {
        let mut fired = false;
        for (id, seen) in &snapshot.engines {
            let silent = seen.silence >= 1.5;
            let lost = |o: &&Out| silent || self.lost(now, o);
            let attempts = self.engines[id].out.iter().filter(lost).map(|o| (o.request, o.attempt));
            let attempts = attempts.filter(|(request, _)| self.may_move(&self.requests[request], now));
            let attempts = attempts.take(self.attempts_left(now) as usize).collect();
            if self.take_back(attempts, out) {
                // It would look free once its attempts are taken back.
                let engine = self.engines.get_mut(id).expect("a seen engine");
                (0..2).filter(|_| silent).for_each(|_| engine.bad.push(now, 1.0));
                fired = true;
            }
        }
        fired
    }

    /// Guards against attempts that take many times their expected run while the estimate gives no cause: only a
    /// request's first attempt, since a second one as slow shows a costly request.
    fn cancel_bad_plans(
        &mut self,
        now: Duration,
        snapshot: &mut FleetSnapshot,
        out: &mut impl Actions,
    ) -> bool {
        let slack = seconds(self.shortest_objective());
        let bad = |request: &Request| {
            let (attempt, run) = (&request.attempts[0], snapshot.runs[request.class] * request.ideal);
            let left = attempt.finish.map(|finish| seconds(finish.saturating_sub(now)));
            let unseen = self.fleet.progress_interval.is_none();
            attempt.stands
                || left.is_some_and(|left| left > BAD_PLAN * run + seconds(self.fleet.tick))
                || unseen && seconds(now - attempt.sent) > BAD_PLAN_UNSEEN * run + slack
        };
        let first = self.requests.iter().filter(|(_, request)| request.attempts.len() == 1 && request.out());
        let attempts =
            first.filter(|(_, request)| bad(request) && self.may_move(request, now)).map(|(id, _)| (*id, 0));
        self.take_back(attempts.take(self.attempts_left(now) as usize).collect(), out)
    }

    /// Under pressure, attempts past their target whose type earns little when late make room for those in time.
    fn drop_what_is_late(
        &mut self,
        now: Duration,
        snapshot: &mut FleetSnapshot,
        out: &mut impl Actions,
    ) -> bool {
        let pressed = |attempt: &Attempt| snapshot.engines[&attempt.engine].pressed == Some(true);
        let late = |request: &Request| {
            request.attempts.last().is_some_and(pressed) && self.earns_little_late(request, now)
        };
        let attempts =
            self.requests.iter().filter(|(_, request)| !request.over && request.out() && late(request));
        self.take_back(attempts.map(|(id, request)| (*id, request.attempts.len() - 1)).collect(), out)
    }

    /// The engine with most free room, if any has some, for a request that is to go now, and its tier there;
    /// later ones of a tier stand behind the first that has none.
    fn choose(
        &self,
        now: Duration,
        request: &Request,
        snapshot: &FleetSnapshot,
        blocked: &mut BTreeSet<(usize, Tier)>,
    ) -> Option<(EngineId, Tier)> {
        let (gateways, lately) = (&snapshot.gateways, now.saturating_sub(self.shortest_objective() * 2));
        let (threads, memory) = (self.classes[request.class].threads, request.tier_memory());
        let mut tiers = gateways.iter().map(|gateway| gateway.tier(memory)).enumerate();
        if tiers.all(|slot| blocked.contains(&slot)) {
            return None;
        }
        let open =
            |id, e: &Engine| self.allowed(request, e) && self.fits_cold(id, e, request, now, snapshot.share);
        let tried = |id: EngineId| request.attempts.iter().any(|attempt| attempt.engine == id);
        let healthy = |e: EngineId| !snapshot.engines[&e].sick;
        let pause = self.shortest_objective().div_f64(2.0 * snapshot.share).max(self.shortest_objective());
        let trickled = |e: &Engine| e.out.is_empty() && e.sent.last().is_none_or(|(at, _)| at + pause <= now);
        let ready = self.engines.iter().map(|(id, e)| (*id, e)).filter(|(id, e)| open(*id, e));
        let mut ready: Vec<(EngineId, &Engine)> = ready.collect();
        // When all look bad, serving goes on; else a sick engine gets a trickle.
        if ready.iter().any(|(id, _)| healthy(*id)) {
            ready.retain(|(id, e)| healthy(*id) || trickled(e));
        }
        let mut free: Vec<(f64, EngineId, Tier)> = Vec::new();
        let mut full = Vec::new();
        for (to, engine) in ready {
            let (tier, seen) = (gateways[engine.kind].tier(memory), &snapshot.engines[&to]);
            if blocked.contains(&(engine.kind, tier)) {
                continue;
            }
            let gateway = &gateways[engine.kind];
            let (memory_in_use, crowd) = self.load(to, request, now, snapshot.share, gateway);
            let most = if engine.report.is_none() || self.fleet.reports_only_on_probe {
                gateway.untold
            } else {
                1.0
            };
            // A shortage noted since the last report, as for most engines when routers are many.
            let told = engine.report.map_or(Duration::ZERO, |(at, _)| at).max(lately);
            let short = engine.refused.is_some_and(|at| at > told);
            // Requests in flight tell of more than all cores; where cores are told themselves, pressure does.
            let crowded = gateway.counted && crowd - memory_in_use > PRESSED * FULL;
            let fits =
                memory_in_use <= most && !short && !crowded || gateway.threads == 0.0 || tier <= Tier::Small;
            if fits && self.slot_open(engine, tier, threads, (seen, gateway, snapshot.share)) {
                free.push((1.0 - crowd / 2.0 * seen.slow, to, tier));
            } else {
                full.push((engine.kind, tier));
            }
        }
        // Whoever had the choice of all engines keeps later ones of the tier behind it.
        if self.may_go_anywhere(request) {
            full.retain(|slot| !free.iter().any(|(_, to, tier)| (self.engines[to].kind, *tier) == *slot));
            blocked.extend(full);
        }
        // Guards against standing still behind loads: an own one, or one that an attempt lately stood behind.
        let held = |to: EngineId| {
            let engine = &self.engines[&to];
            let mut loads = self.requests_out(engine).filter(|t| self.classes[t.class].holds_group);
            let noted = request.group.and_then(|g| engine.held.get(&g)).is_some_and(|at| *at >= lately);
            self.classes[request.class].waits_for_loads && (noted || loads.any(|t| t.group == request.group))
        };
        for avoided in [&tried as &dyn Fn(EngineId) -> bool, &held] {
            let elsewhere = free.iter().any(|f| !avoided(f.1));
            free.retain(|f| !elsewhere || !avoided(f.1));
        }
        let most = free.iter().map(|f| f.0).fold(f64::NEG_INFINITY, f64::max);
        free.retain(|f| f.0 >= most - NEAR);
        // Near ties only: to where the group was read, to the home location.
        let liking = |to: EngineId| {
            let engine = &self.engines[&to];
            let warm = request.group.is_some_and(|group| engine.groups.contains(&group));
            (warm, engine.location == self.fleet.home_location)
        };
        let liked = free.iter().max_by_key(|(_, to, _)| (liking(*to), self.chance(*to, self.draws)));
        liked.map(|(_, to, tier)| (*to, *tier))
    }

    /// The ordinary path: held requests leave earliest first per tier.
    fn release(&mut self, now: Duration, snapshot: &mut FleetSnapshot, out: &mut impl Actions) -> bool {
        let held =
            self.requests.iter().filter(|(_, request)| request.held()).map(|(id, _)| *id).collect::<Vec<_>>();
        let mut blocked: BTreeSet<(usize, Tier)> = BTreeSet::new();
        let mut fired = false;
        for id in held {
            let request = &self.requests[&id];
            let again = request.attempts.is_empty()
                || self.may_run_again(request, now) && self.attempts_left(now) >= 1.0;
            if !again || !self.has_turn(id, request, now) {
                continue;
            }
            let Some((to, tier)) = self.choose(now, request, snapshot, &mut blocked) else { continue };
            let (kind, threads) = (self.engines[&to].kind, self.classes[request.class].threads);
            let (gateway, grant) = (&mut snapshot.gateways[kind], self.grant(request, kind));
            (gateway.memory, gateway.threads) = (gateway.memory + grant, gateway.threads + threads);
            gateway.held[tier as usize] += threads * f64::from(snapshot.engines[&to].pressed == Some(true));
            self.send(now, id, to, tier, out);
            self.draws += 1;
            gateway.small += f64::from(tier == Tier::Small);
            gateway.medium += f64::from(tier == Tier::Medium);
            fired = true;
        }
        fired
    }

    /// Where only probes tell: two engines of which nothing is known are asked, once in half a beat.
    fn ask_what_is_free(&mut self, now: Duration, _: &mut FleetSnapshot, out: &mut impl Actions) -> bool {
        let lately = now.saturating_sub(self.shortest_objective() / 2);
        let held =
            self.requests.iter().any(|(id, request)| request.held() && self.has_turn(*id, request, now));
        if !held || !self.fleet.reports_only_on_probe || !self.attempt_limits.may_probe || self.asked > lately
        {
            return false;
        }
        let mut asked: Vec<EngineId> = self.engines.keys().copied().collect();
        let unknown =
            |e: &Engine| e.lifecycle.accepts_requests() && e.report.is_none_or(|(at, _)| at < lately);
        asked.retain(|id| unknown(&self.engines[id]));
        asked.sort_by_key(|id| self.chance(*id, now.as_micros() as u64));
        asked.into_iter().take(2).for_each(|id| out.probe(id));
        self.asked = now;
        false
    }

    /// Refuses when the time left cannot cover a run, or after a time-out that grows by tier.
    fn refuse_what_waits_in_vain(
        &mut self,
        now: Duration,
        snapshot: &mut FleetSnapshot,
        out: &mut impl Actions,
    ) -> bool {
        let from = now.saturating_sub(self.shortest_objective() * 4);
        // Those of untold cost stand in one line, which has one time-out: else patient ones keep others out.
        let way =
            |(at, t): (usize, &RequestClass)| t.objective_stretch * self.usual_cost(at) / t.threads.max(1.0);
        let ways = self.classes.iter().enumerate().map(|t| t.1.latency_objective + span(way(t)));
        let shortest = ways.min().unwrap_or(Duration::MAX);
        // Guards against crowds that no fleet could serve, which each input would go through: more work than
        // four times (so far off may the part be) what this router's part of all cores does until its latency_objective.
        let cores = self
            .engines
            .values()
            .filter(|e| !e.lifecycle.is_deregistered())
            .map(|e| self.fleet.kinds[e.kind].cores);
        let (most, mut before) = (4.0 * snapshot.share * cores.sum::<f64>(), 0.0);
        let behind = |(at, (id, request)): (usize, (&RequestId, &Request))| {
            let work = before + request.ideal * self.classes[request.class].threads;
            let fits = at < SAMPLES
                || work <= most * seconds(request.latency_objective.saturating_sub(request.arrived));
            before = if fits { work } else { before };
            (!fits && request.attempts.is_empty()).then_some(*id)
        };
        let held = self.requests.iter().filter(|(_, request)| request.held()).enumerate();
        let crowd: BTreeSet<RequestId> = held.filter_map(behind).collect();
        let in_vain = |scheduler: &Self, id: RequestId, request: &Request| {
            let (run, memory) = (request.ideal * snapshot.runs[request.class], request.tier_memory());
            // What is learned from those sent judges no type of which none came back lately.
            let back = || scheduler.estimates[request.class].stretches.since(from).next().is_some();
            let run = span(if request.told_cost.is_some() || back() { run } else { 0.0 });
            if !scheduler.has_turn(id, request, now) {
                let earns_late = scheduler.classes[request.class].late_share > 0.0;
                return now + run > if earns_late { request.deadline } else { request.latency_objective };
            }
            let tiers = snapshot.gateways.iter().map(|gateway| gateway.tier(memory));
            let hold = HOLD[tiers.min().unwrap_or(Tier::Largest) as usize];
            let alone = request.told_cost.is_some() || request.key.is_some();
            let way = request.latency_objective.saturating_sub(request.arrived);
            let time_out = request.arrived + if alone { way } else { way.min(shortest) }.mul_f64(hold);
            now + run > request.latency_objective || now > time_out || crowd.contains(&id)
        };
        self.refuse(|scheduler, id, request| request.held() && in_vain(scheduler, id, request), out)
    }

    fn stay_awake(&mut self, now: Duration, _: &mut FleetSnapshot, out: &mut impl Actions) -> bool {
        if self.fleet.polls_endpoint_list && !self.watched {
            self.watched = true;
            out.watch();
        }
        // What waits to be sent is looked at more often than what is out.
        let held = self.requests.values().any(Request::held);
        let wait = if held { Duration::ZERO } else { self.shortest_objective() / 8 }.max(self.fleet.tick * 8);
        if !self.requests.is_empty() && (self.wake_due <= now || self.wake_due > now + wait) {
            self.wake_due = now + wait;
            out.wake_after(wait);
        }
        false
    }
}
