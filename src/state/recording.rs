//! Records requests, attempts and load reports. This module takes no decisions.

use super::{
    Attempt, AttemptId, Cooldown, ExpectedResources, InFlightAttempt, ReceivedReport, Request, RequestPhase,
    SchedulerState, Tier,
};
use crate::samples::{duration, mean, seconds};
use crate::{Arrival, AttemptEnded, EngineId, LoadReport, ProgressUpdate, RequestId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl SchedulerState {
    /// Records an accepted request, and appends it to the queue of its key.
    pub fn record_accepted(&mut self, now: Duration, id: RequestId, request: Request) {
        if let Some(key) = request.key {
            self.key_queues.entry(key).or_default().requests.push_back(id);
        }
        self.requests.insert(id, request);
        self.accepted_at.push_back(now);
    }

    /// Creates the request of an arrival. `elapsed_before_arrival` is the part of the latency objective that was
    /// used up before the arrival, if the request is a client's retry.
    pub fn new_request(
        &self,
        now: Duration,
        arrival: &Arrival,
        expected: ExpectedResources,
        elapsed_before_arrival: Duration,
    ) -> Request {
        let class = &self.classes[arrival.class];
        let ideal_run_seconds = expected.work / class.threads.max(1.0);
        let arrived_at = now.saturating_sub(arrival.queue_time);
        let deadline = (arrived_at + arrival.deadline).min(self.shutdown_at);
        let objective =
            arrived_at + class.latency_objective + duration(class.objective_stretch * ideal_run_seconds);
        Request {
            class: arrival.class,
            key: arrival.key.filter(|_| class.keeps_order),
            estimated_work: arrival.estimated_work.map(seconds),
            estimated_memory_mb: arrival.estimated_memory_mb,
            ideal_run_seconds,
            memory_mb: expected.memory_mb,
            table_group: arrival.table_group,
            arrived_at,
            objective_at: objective.saturating_sub(elapsed_before_arrival).min(deadline),
            deadline,
            phase: RequestPhase::Open,
            attempts: Vec::new(),
        }
    }

    /// Records the next attempt of a request at the engine `to`, and returns the attempt.
    pub fn record_sent(
        &mut self,
        now: Duration,
        id: RequestId,
        to: EngineId,
        tier: Tier,
        grant_mb: f64,
    ) -> InFlightAttempt {
        let class = self.requests[&id].class;
        let usual_work = self.usual_work(class);
        let request = self.requests.get_mut(&id).expect("a queued request is in the table of requests");
        if !request.attempts.is_empty() {
            self.retried_at.push_back(now);
        }
        let (attempt, threads) = (request.attempts.len(), self.classes[class].threads);
        let is_first_there = !request.was_sent_to(to);
        let sent = InFlightAttempt { request: id, attempt, sent_at: now, tier, grant_mb, threads };
        request.attempts.push(Attempt::new(now, to, grant_mb));
        let engine = self.engines.get_mut(&to).expect("the chosen engine is in the table of engines");
        engine.in_flight.push(sent.clone());
        engine.sent_work.push(now, usual_work);
        engine.record_table_group(request.table_group, self.window_sizes.recent_table_groups);
        engine.request_count += usize::from(is_first_there);
        self.engine_index.update_use(to, engine);
        sent
    }

    /// Records that an attempt is cancelled.
    pub fn record_cancelled(&mut self, id: AttemptId) {
        let request = self
            .requests
            .get_mut(&id.request)
            .expect("the request of a cancelled attempt is in the table of requests");
        request.attempts[id.attempt].cancelled = true;
    }

    /// Records a load report and returns it; `None` for an unknown engine. If the report lacks the core
    /// utilization, it is estimated from the reported requests in flight and the mean threads of this router's
    /// requests in flight.
    pub fn record_load_report(
        &mut self,
        now: Duration,
        id: EngineId,
        mut load: LoadReport,
    ) -> Option<LoadReport> {
        let kind = self.engines.get(&id)?.kind;
        load.in_flight = load.in_flight.filter(|_| load.core_utilization.is_none());
        if let Some(in_flight) = load.in_flight {
            let threads = mean(self.in_flight().map(|(_, request)| self.classes[request.class].threads));
            load.core_utilization = Some(in_flight * threads.unwrap_or(1.0) / self.fleet.kinds[kind].cores);
        }
        self.engines.entry(id).and_modify(|engine| engine.report = Some(ReceivedReport { at: now, load }));
        Some(load)
    }

    /// Records a sample of this router's share of the fleet: the memory granted to its requests in flight, without
    /// the `ended` one, divided by the memory that the fleet has granted if every engine has granted the reported
    /// fraction. A sample from the reporting engine alone would be too high, since most reports come with an
    /// answer to this router.
    pub fn record_fleet_share(&mut self, now: Duration, granted_fraction: f64, ended: Option<RequestId>) {
        let others = self.in_flight().filter(|(request, _)| Some(*request) != ended);
        let local_mb: f64 =
            others.map(|(_, request)| request.attempts[request.attempts.len() - 1].grant_mb).sum();
        let kinds = self.fleet.kinds.iter().enumerate();
        let fleet_mb: f64 =
            kinds.map(|(kind, size)| self.engine_index.accepting(kind) as f64 * size.memory_mb).sum();
        self.fleet_shares.push(now, (local_mb / (granted_fraction * fleet_mb.max(1.0))).min(1.0));
    }

    /// Records the end of an attempt and whether its request is done. Returns the attempt; `None` if it is unknown.
    pub fn record_ended(&mut self, ended: &AttemptEnded) -> Option<Attempt> {
        let request = self.requests.get_mut(&ended.request)?;
        if ended.request_done {
            request.phase = RequestPhase::Done;
        }
        let attempt = request.attempts.get_mut(ended.attempt)?;
        attempt.outcome = Some(ended.outcome);
        let engine = self
            .engines
            .get_mut(&attempt.engine)
            .expect("an engine with an attempt is in the table of engines");
        engine.in_flight.retain(|other| (other.request, other.attempt) != (ended.request, ended.attempt));
        self.engine_index.update_use(attempt.engine, engine);
        Some(attempt.clone())
    }

    /// Starts the cooldown of a request's key, if the request has a key and the limits contain a cooldown.
    pub fn record_cooldown(&mut self, now: Duration, id: RequestId) {
        let key = self.requests.get(&id).and_then(|request| request.key);
        if let (Some(key), Some(cooldown)) = (key, self.attempt_limits.key_cooldown) {
            let until = now + cooldown;
            self.key_queues.entry(key).or_default().cooldown = Some(Cooldown { exempt_request: id, until });
        }
    }

    /// Records a progress update of an attempt, and a shortage of memory if the update shows one. Ignores updates
    /// for unknown attempts.
    pub fn record_progress(
        &mut self,
        now: Duration,
        id: RequestId,
        attempt: usize,
        update: ProgressUpdate,
        has_memory_shortage: bool,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.get_mut(attempt) else { return };
        let Some(engine) = self.engines.get_mut(&attempt.engine) else { return };
        engine.last_activity_at = now;
        attempt.last_activity_at = now;
        match update {
            ProgressUpdate::Fraction(done) if done > 0.0 => attempt.expect_finish(now, done),
            ProgressUpdate::Spilling(missing_mb) => attempt.spilled_mb = attempt.spilled_mb.max(missing_mb),
            ProgressUpdate::WaitingForMemory => attempt.is_stalled = true,
            ProgressUpdate::WaitingForBulkLoad => {
                attempt.is_stalled = true;
                engine.bulk_loads_reported.extend(request.table_group.map(|group| (group, now)));
            }
            ProgressUpdate::Running | ProgressUpdate::Fraction(_) => {}
        }
        if has_memory_shortage {
            engine.memory_shortage_at = Some(now);
        }
    }

    /// Marks cancelled requests as done, and open requests of half-closed clients as half-closed.
    pub fn record_clients_left(&mut self, cancelled: &[RequestId], half_closed: &[RequestId]) {
        for id in cancelled {
            self.record_done(*id);
        }
        for id in half_closed {
            if let Some(request) = self.requests.get_mut(id)
                && request.phase == RequestPhase::Open
            {
                request.phase = RequestPhase::HalfClosed;
            }
        }
    }

    /// Marks a request as done: its client needs no further answer.
    pub fn record_done(&mut self, id: RequestId) {
        self.requests.entry(id).and_modify(|request| request.phase = RequestPhase::Done);
    }

    /// Records the deadline of the graceful shutdown, which also limits the deadlines of all open requests.
    pub fn record_shutdown(&mut self, deadline: Duration) {
        self.shutdown_at = deadline;
        for request in self.requests.values_mut() {
            request.deadline = request.deadline.min(deadline);
            request.objective_at = request.objective_at.min(deadline);
        }
    }

    /// Removes requests that are done and have no attempt in flight. If there were any, also removes key queues that
    /// are empty and not cooling down. Returns whether any request was removed.
    pub fn remove_finished_requests(&mut self, now: Duration) -> bool {
        let finished = self.requests.extract_if(.., |_, request| request.is_finished());
        let finished: BTreeMap<RequestId, Request> = finished.collect();
        if finished.is_empty() {
            return false;
        }
        for request in finished.values() {
            self.release_engines(request);
        }
        for key_queue in self.key_queues.values_mut() {
            key_queue.requests.retain(|id| !finished.contains_key(id));
        }
        self.key_queues
            .retain(|_, key_queue| !key_queue.requests.is_empty() || key_queue.is_cooling_down(now));
        true
    }

    /// Decreases the request count of each engine that a removed request had an attempt at.
    fn release_engines(&mut self, request: &Request) {
        let engines: BTreeSet<EngineId> = request.attempts.iter().map(|attempt| attempt.engine).collect();
        for id in engines {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.request_count -= 1;
                self.engine_index.update_use(id, engine);
            }
        }
    }

    /// Removes the times of requests and retries that are older than the window of the retry budget.
    pub fn prune_retry_budget(&mut self, now: Duration) {
        let window = self.attempt_limits.retry_budget.as_ref().map_or(Duration::ZERO, |budget| budget.window);
        for times in [&mut self.accepted_at, &mut self.retried_at] {
            while times.pop_front_if(|at| *at + window < now).is_some() {}
        }
    }
}
