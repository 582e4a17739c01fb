//! Admission: sends queued requests in their order where there is capacity, and rejects those that wait too
//! long.

use super::placement::Placement;
use crate::samples::{duration, seconds};
use crate::state::{Engine, FleetSnapshot, InFlightAttempt, Request, SchedulerState, Tier};
use crate::{Actions, Arrival, EngineId, RequestId};
use std::collections::BTreeSet;
use std::time::Duration;

/// Longest time in the queue as a fraction of the objective budget, indexed by tier.
const MAX_QUEUE_TIME_FRACTION: [f64; Tier::ALL.len()] = [0.25, 0.25, 0.5, 0.75];
/// Factor by which this router's measured fleet share may be lower than its true share.
const MAX_FLEET_SHARE_ERROR: f64 = 4.0;
/// Number of queued requests, from the earliest on, that are never rejected for the work before them.
const MIN_QUEUE_LENGTH: usize = 32;
/// Number of engines that are probed in one round.
const PROBES_AT_ONCE: usize = 2;

impl SchedulerState {
    /// Returns whether a new request would be sent at once. If its tier has no capacity, the tier is blocked for
    /// later requests in this snapshot.
    pub fn would_be_sent(&self, arrival: &Arrival, snapshot: &mut FleetSnapshot) -> bool {
        let request = self.expected_request(snapshot.now, arrival);
        self.would_be_next_of_its_key(&request, snapshot.now)
            && self.choose_engine(&request, snapshot).is_some()
    }

    /// Sends queued requests, the earliest of each tier first.
    pub fn send_queued(&mut self, snapshot: &mut FleetSnapshot, actions: &mut impl Actions) -> bool {
        let (now, mut any_sent) = (snapshot.now, false);
        let queued: Vec<RequestId> = self.queued().map(|(id, _)| id).collect();
        snapshot.blocked_tiers.clear();
        for id in queued {
            let request = &self.requests[&id];
            if self.may_send_attempt(request, now)
                && self.is_next_of_its_key(id, request, now)
                && let Some(placement) = self.choose_engine(request, snapshot)
            {
                let sent = self.send(now, id, &placement, actions);
                snapshot.count_sent(placement.engine, placement.kind, &sent);
                any_sent = true;
            }
        }
        any_sent
    }

    /// Returns whether the request's next attempt is allowed: any first attempt, and a retry within the retry
    /// budget.
    fn may_send_attempt(&self, request: &Request, now: Duration) -> bool {
        request.attempts.is_empty() || self.may_retry(request, now) && self.retries_left(now) >= 1.0
    }

    /// Sends a request's next attempt.
    fn send(
        &mut self,
        now: Duration,
        id: RequestId,
        to: &Placement,
        actions: &mut impl Actions,
    ) -> InFlightAttempt {
        let request = &self.requests[&id];
        let grant_mb = self.grant_mb(request, to.kind);
        actions.set_grant_and_priority(id, grant_mb.round(), self.priority(request.class));
        actions.send(id, to.engine, self.send_limits(request));
        self.random_draws += 1;
        self.record_sent(now, id, to.engine, to.tier, grant_mb)
    }

    /// Probes engines without a recent load report, if engines report their load only in answer to a probe. Probes
    /// at most once in each probe interval, and only while the order of its key allows a queued request to be sent.
    pub fn probe_unreported_engines(
        &mut self,
        snapshot: &mut FleetSnapshot,
        actions: &mut impl Actions,
    ) -> bool {
        let now = snapshot.now;
        let window_start = now.saturating_sub(self.probe_interval());
        let any_request_ready = self.queued().any(|(id, request)| self.is_next_of_its_key(id, request, now));
        let may_probe = self.fleet.reports_only_on_probe && self.attempt_limits.may_probe;
        if !any_request_ready || !may_probe || self.probed_at > window_start {
            return false;
        }
        let mut unreported = self.engines_without_report_since(window_start, snapshot);
        unreported.sort_by_key(|id| self.pseudo_random(*id, now.as_micros() as u64));
        for id in unreported.into_iter().take(PROBES_AT_ONCE) {
            actions.probe(id);
        }
        self.probed_at = now;
        false
    }

    fn engines_without_report_since(&self, start: Duration, snapshot: &FleetSnapshot) -> Vec<EngineId> {
        let lacks_recent_report = |engine: &Engine| {
            engine.lifecycle.accepts_requests() && engine.report.is_none_or(|report| report.at < start)
        };
        snapshot.engines.keys().copied().filter(|id| lacks_recent_report(&self.engines[id])).collect()
    }

    /// Rejects queued requests that will miss their latency objective, have been queued for too long, or have too
    /// much work before them.
    pub fn reject_too_late(&mut self, snapshot: &mut FleetSnapshot, actions: &mut impl Actions) -> bool {
        let beyond_capacity = self.requests_beyond_capacity(snapshot);
        let shortest_budget = self.shortest_objective_budget();
        let mut too_late = Vec::new();
        for (id, request) in self.queued() {
            let is_too_late = if self.is_next_of_its_key(id, request, snapshot.now) {
                beyond_capacity.contains(&id) || self.will_miss_objective(request, snapshot, shortest_budget)
            } else {
                self.will_be_answered_too_late(request, snapshot)
            };
            if is_too_late {
                too_late.push(id);
            }
        }
        self.answer_without_result(snapshot.now, too_late, actions)
    }

    /// Returns the shortest objective budget of a usual request, over all classes. It limits the queue time of
    /// all requests without a key and without an estimate of their work. They share the medium tier, where a request
    /// with a longer budget would block the others.
    fn shortest_objective_budget(&self) -> Duration {
        let budgets = self.classes.iter().enumerate().map(|(index, class)| {
            let variable = class.objective_stretch * self.usual_work(index) / class.threads.max(1.0);
            class.latency_objective + duration(variable)
        });
        budgets.min().unwrap_or(Duration::MAX)
    }

    /// Returns the queued requests that have no attempt and cannot meet their latency objective: this router's share of
    /// all cores cannot do their work and the work queued before them within their objective budget. Guards against
    /// floods of requests, which would let the queue, and the time that each input takes, grow without bound.
    fn requests_beyond_capacity(&self, snapshot: &FleetSnapshot) -> BTreeSet<RequestId> {
        let kinds = self.fleet.kinds.iter().enumerate();
        let fleet_cores: f64 =
            kinds.map(|(kind, size)| self.engine_index.registered(kind) as f64 * size.cores).sum();
        let max_cores = MAX_FLEET_SHARE_ERROR * snapshot.fleet_share * fleet_cores;
        let (mut work_before, mut beyond_capacity) = (0.0, BTreeSet::new());
        for (position, (id, request)) in self.queued().enumerate() {
            let work = work_before + request.ideal_run_seconds * self.classes[request.class].threads;
            if position < MIN_QUEUE_LENGTH || work <= max_cores * seconds(request.objective_budget()) {
                work_before = work;
            } else if request.attempts.is_empty() {
                beyond_capacity.insert(id);
            }
        }
        beyond_capacity
    }

    /// Returns the expected elapsed time of the request's next attempt. If neither the client nor a recent success
    /// of the class provides an estimate, the expected time is zero, so that the request is sent and measured.
    fn expected_run(&self, request: &Request, snapshot: &FleetSnapshot) -> Duration {
        let window_start = self.slowdown_window_start(snapshot.now);
        let slowdowns = &self.estimates[request.class].slowdowns;
        let is_known = request.estimated_work.is_some() || slowdowns.since(window_start).next().is_some();
        duration(if is_known { request.ideal_run_seconds * snapshot.slowdowns[request.class] } else { 0.0 })
    }

    /// Returns whether a request that waits for others of its key would be answered too late even if it were sent
    /// now: after its deadline or, if the class gives late answers no value, after its latency objective.
    fn will_be_answered_too_late(&self, request: &Request, snapshot: &FleetSnapshot) -> bool {
        let has_late_value = self.classes[request.class].late_weight_fraction > 0.0;
        let answer_by = if has_late_value { request.deadline } else { request.objective_at };
        snapshot.now + self.expected_run(request, snapshot) > answer_by
    }

    /// Returns whether a queued request can no longer meet its latency objective, or has been queued for too long.
    fn will_miss_objective(
        &self,
        request: &Request,
        snapshot: &FleetSnapshot,
        shortest_budget: Duration,
    ) -> bool {
        let tier = snapshot.gateways.iter().map(|gateway| gateway.tier(request)).min();
        let max_fraction = MAX_QUEUE_TIME_FRACTION[tier.unwrap_or(Tier::Largest) as usize];
        let may_block_tier = request.estimated_work.is_none() && request.key.is_none();
        let budget = if may_block_tier {
            request.objective_budget().min(shortest_budget)
        } else {
            request.objective_budget()
        };
        snapshot.now + self.expected_run(request, snapshot) > request.objective_at
            || snapshot.now > request.arrived_at + budget.mul_f64(max_fraction)
    }
}
