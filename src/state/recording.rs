//! Entering what happened: nothing here chooses.

use super::{
    Attempt, AttemptId, Cooldown, Engine, InFlight, ReceivedReport, Request, RequestPhase, SchedulerState,
    Tier,
};
use crate::samples::{duration, mean, seconds};
use crate::{
    Arrival, AttemptEnded, Endpoint, EndpointUpdate, EngineId, Lifecycle, LoadReport, ProgressUpdate,
    RequestId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl SchedulerState {
    /// Enters a request that was accepted.
    pub fn record_accepted(&mut self, now: Duration, id: RequestId, request: Request) {
        if let Some(key) = request.key {
            self.key_queues.entry(key).or_default().requests.push_back(id);
        }
        self.requests.insert(id, request);
        self.accepted_at.push_back(now);
    }

    /// A request as it arrives, with the work in seconds and the memory in MB that are expected of it;
    /// `spent` of the way to its objective is gone.
    pub fn new_request(
        &self,
        now: Duration,
        arrival: &Arrival,
        (work, memory_mb): (f64, f64),
        spent: Duration,
    ) -> Request {
        let class = &self.classes[arrival.class];
        let ideal_run = work / class.threads.max(1.0);
        let arrived_at = now.saturating_sub(arrival.waited);
        let deadline = (arrived_at + arrival.deadline).min(self.shutdown_at);
        let objective = arrived_at + class.latency_objective + duration(class.objective_stretch * ideal_run);
        Request {
            class: arrival.class,
            key: arrival.key.filter(|_| class.keeps_order),
            estimated_work: arrival.cost.map(seconds),
            estimated_memory_mb: arrival.memory_mb,
            ideal_run,
            memory_mb,
            group: arrival.group,
            arrived_at,
            objective_at: objective.saturating_sub(spent).min(deadline),
            deadline,
            phase: RequestPhase::Open,
            attempts: Vec::new(),
        }
    }

    /// Enters an attempt that is being sent.
    pub fn record_sent(
        &mut self,
        now: Duration,
        id: RequestId,
        to: EngineId,
        tier: Tier,
        grant_mb: f64,
    ) -> InFlight {
        let class = self.requests[&id].class;
        let usual_work = self.usual_work(class);
        let request = self.requests.get_mut(&id).expect("a queued request");
        if !request.attempts.is_empty() {
            self.retried_at.push_back(now);
        }
        let (attempt, threads) = (request.attempts.len(), self.classes[class].threads);
        let is_first_there = !request.was_sent_to(to);
        let sent = InFlight { request: id, attempt, sent_at: now, tier, grant_mb, threads };
        request.attempts.push(Attempt::new(now, to, grant_mb));
        let engine = self.engines.get_mut(&to).expect("a listed engine");
        engine.in_flight.push(sent.clone());
        engine.sent_work.push(now, usual_work);
        engine.note_group(request.group, self.window_sizes.outcomes);
        engine.request_count += usize::from(is_first_there);
        self.engine_index.update_use(to, engine);
        sent
    }

    /// Enters that an attempt is being cancelled.
    pub fn record_cancelled(&mut self, id: AttemptId) {
        let request = self.requests.get_mut(&id.request).expect("a request in flight");
        request.attempts[id.attempt].cancelled = true;
    }

    /// Enters a load report and returns it. Where it does not tell the part of the cores that is busy, the
    /// requests in flight do, by the mean threads of this router's own.
    pub fn record_report(&mut self, now: Duration, id: EngineId, mut load: LoadReport) -> Option<LoadReport> {
        let kind = self.engines.get(&id)?.kind;
        load.in_flight = load.in_flight.filter(|_| load.busy.is_none());
        if let Some(in_flight) = load.in_flight {
            let threads = mean(self.in_flight().map(|(_, request)| self.classes[request.class].threads));
            load.busy = Some(in_flight * threads.unwrap_or(1.0) / self.fleet.kinds[kind].cores);
        }
        self.engines.entry(id).and_modify(|engine| engine.report = Some(ReceivedReport { at: now, load }));
        Some(load)
    }

    /// Enters a sample of this router's share: what its attempts hold, but for the one that ended, over what
    /// the fleet does with as much granted everywhere. At one engine alone, those with an own attempt would
    /// count too often.
    pub fn record_share(&mut self, now: Duration, granted: f64, ended: Option<RequestId>) {
        let others = self.in_flight().filter(|(request, _)| Some(*request) != ended);
        let own: f64 = others.map(|(_, request)| request.attempts[request.attempts.len() - 1].grant_mb).sum();
        let kinds = self.fleet.kinds.iter().enumerate();
        let memory = kinds.map(|(kind, size)| self.engine_index.accepting(kind) as f64 * size.memory_mb);
        let all: f64 = memory.sum();
        self.shares.push(now, (own / (granted * all.max(1.0))).min(1.0));
    }

    /// Enters the end of an attempt and returns the attempt, unless nothing is known of it.
    pub fn record_ended(&mut self, ended: &AttemptEnded) -> Option<Attempt> {
        let request = self.requests.get_mut(&ended.request)?;
        if ended.request_done {
            request.phase = RequestPhase::Done;
        }
        let attempt = request.attempts.get_mut(ended.attempt)?;
        attempt.outcome = Some(ended.outcome);
        let engine = self.engines.get_mut(&attempt.engine).expect("an engine that an attempt was sent to");
        engine.in_flight.retain(|other| (other.request, other.attempt) != (ended.request, ended.attempt));
        self.engine_index.update_use(attempt.engine, engine);
        Some(attempt.clone())
    }

    /// Enters that a key's other requests wait after an attempt of this one.
    pub fn record_cooldown(&mut self, now: Duration, id: RequestId) {
        let key = self.requests.get(&id).and_then(|request| request.key);
        if let (Some(key), Some(cooldown)) = (key, self.attempt_limits.key_cooldown) {
            let until = now + cooldown;
            self.key_queues.entry(key).or_default().cooldown = Some(Cooldown { after: id, until });
        }
    }

    /// Enters what an engine told of an attempt, and whether that shows a shortage of memory.
    pub fn record_progress(
        &mut self,
        now: Duration,
        id: RequestId,
        attempt: usize,
        note: ProgressUpdate,
        is_short: bool,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.get_mut(attempt) else { return };
        let Some(engine) = self.engines.get_mut(&attempt.engine) else { return };
        engine.last_sign_at = now;
        attempt.last_sign_at = now;
        match note {
            ProgressUpdate::Fraction(done) if done > 0.0 => attempt.expect_finish(now, done),
            ProgressUpdate::Spilling(missing_mb) => attempt.spilled_mb = attempt.spilled_mb.max(missing_mb),
            ProgressUpdate::WaitingForMemory => attempt.is_stalled = true,
            ProgressUpdate::WaitingForLoad => {
                attempt.is_stalled = true;
                engine.bulk_loads_seen.extend(request.group.map(|group| (group, now)));
            }
            ProgressUpdate::Running | ProgressUpdate::Fraction(_) => {}
        }
        if is_short {
            engine.short_at = Some(now);
        }
    }

    /// Enters that clients stopped waiting for some requests, and that those of others may be gone.
    pub fn record_clients_left(&mut self, withdrawn: &[RequestId], half_closed: &[RequestId]) {
        for id in withdrawn {
            self.record_done(*id);
        }
        for id in half_closed {
            if let Some(request) = self.requests.get_mut(id)
                && request.phase == RequestPhase::Open
            {
                request.phase = RequestPhase::Abandoned;
            }
        }
    }

    /// Enters that a request needs no answer any more.
    pub fn record_done(&mut self, id: RequestId) {
        self.requests.entry(id).and_modify(|request| request.phase = RequestPhase::Done);
    }

    /// Enters rows of the endpoint list. An engine that started anew keeps what is still in flight there.
    pub fn record_endpoints(&mut self, now: Duration, update: EndpointUpdate, rows: Vec<Endpoint>) {
        if update == EndpointUpdate::FullList {
            self.record_all_removed(&rows);
        }
        for row in rows {
            match self.engines.get(&row.engine) {
                None => self.record_new_engine(now, &row),
                Some(engine) if engine.differs_from(&row) => self.record_changed_engine(now, &row),
                // A complete list repeats thousands of rows: they cost a look each.
                Some(_) => {}
            }
        }
    }

    fn record_new_engine(&mut self, now: Duration, row: &Endpoint) {
        let engine = Engine::new(row, now, self.window_sizes);
        self.engine_index.insert(row.engine, &engine, self.rank(row.engine));
        self.engines.insert(row.engine, engine);
    }

    fn record_changed_engine(&mut self, now: Duration, row: &Endpoint) {
        let rank = self.rank(row.engine);
        let engine = self.engines.get_mut(&row.engine).expect("an engine of the table");
        self.engine_index.remove(row.engine, engine, rank);
        engine.lifecycle = row.lifecycle;
        if engine.has_restarted(row) {
            let new = Engine::new(row, now, self.window_sizes);
            let before = std::mem::replace(engine, new);
            engine.in_flight = before.in_flight;
            engine.request_count = before.request_count;
            engine.sent_work = before.sent_work;
        }
        self.engine_index.insert(row.engine, engine, rank);
    }

    /// Enters that all engines are gone but those of a complete list's rows, which follow.
    fn record_all_removed(&mut self, rows: &[Endpoint]) {
        let listed: BTreeSet<EngineId> = rows.iter().map(|row| row.engine).collect();
        let unlisted = self.engines.keys().copied().filter(|id| !listed.contains(id));
        for id in unlisted.collect::<Vec<_>>() {
            let rank = self.rank(id);
            let engine = self.engines.get_mut(&id).expect("an engine of the table");
            self.engine_index.remove(id, engine, rank);
            engine.lifecycle = Lifecycle::Removed;
            self.engine_index.insert(id, engine, rank);
        }
    }

    /// Removes an engine that nothing refers to any more.
    pub fn remove_engine(&mut self, id: EngineId) {
        let rank = self.rank(id);
        if let Some(engine) = self.engines.remove(&id) {
            self.engine_index.remove(id, &engine, rank);
        }
    }

    /// Enters when the process ends: nobody waits longer than that.
    pub fn record_shutdown(&mut self, by: Duration) {
        self.shutdown_at = by;
        for request in self.requests.values_mut() {
            request.deadline = request.deadline.min(by);
            request.objective_at = request.objective_at.min(by);
        }
    }

    /// Removes requests that are done and have nothing in flight; tells whether there were any.
    pub fn remove_finished_requests(&mut self, now: Duration) -> bool {
        let finished = self.requests.extract_if(.., |_, request| request.is_finished());
        let finished: BTreeMap<RequestId, Request> = finished.collect();
        if finished.is_empty() {
            return false;
        }
        for request in finished.values() {
            self.record_forgotten(request);
        }
        for key_queue in self.key_queues.values_mut() {
            key_queue.requests.retain(|id| !finished.contains_key(id));
        }
        self.key_queues
            .retain(|_, key_queue| !key_queue.requests.is_empty() || key_queue.is_cooling_down(now));
        true
    }

    /// Enters that a request refers to its engines no more.
    fn record_forgotten(&mut self, request: &Request) {
        let engines: BTreeSet<EngineId> = request.attempts.iter().map(|attempt| attempt.engine).collect();
        for id in engines {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.request_count -= 1;
                self.engine_index.update_use(id, engine);
            }
        }
    }

    /// Drops times that the retry budget does not count any more.
    pub fn prune_retry_budget(&mut self, now: Duration) {
        let window = self.attempt_limits.retry_budget.as_ref().map_or(Duration::ZERO, |budget| budget.window);
        for times in [&mut self.accepted_at, &mut self.retried_at] {
            while times.pop_front_if(|at| *at + window < now).is_some() {}
        }
    }
}
