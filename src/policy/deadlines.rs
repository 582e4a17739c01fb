//! Deadlines: every request gets one final answer in time, and what is late makes room under pressure.

use super::*;

impl SchedulerState {
    /// The shortest latency objective: the measure for what is soon and what is long.
    pub fn shortest_objective(&self) -> Duration {
        self.classes.iter().map(|class| class.latency_objective).min().unwrap_or(self.fleet.tick)
    }

    /// Time before a deadline by which a final answer must be on its way.
    pub fn margin(&self) -> Duration {
        self.fleet.tick * 4
    }

    /// Time before a deadline at which a final answer is given.
    pub fn final_answer_lead(&self) -> Duration {
        self.margin() * 3
    }

    /// One final answer before the deadline ends, or the process, and at once where no further attempt is
    /// allowed, or is for nobody any more.
    pub fn answer_when_due(&mut self, snapshot: &mut FleetSnapshot, actions: &mut impl Actions) -> bool {
        let now = snapshot.now;
        let soon = now + self.final_answer_lead();
        let is_too_late = |request: &Request| {
            let gives_up = || !self.may_retry(request, now) || self.earns_little_late(request, now);
            !request.is_open() || soon >= request.deadline || !request.attempts.is_empty() && gives_up()
        };
        let is_due = |r: &Request| soon >= self.shutdown_at || r.is_queued() && is_too_late(r);
        let unanswered = self.requests.iter().filter(|(_, request)| !request.is_done());
        let due = unanswered.filter(|(_, request)| is_due(request)).map(|(id, _)| *id).collect();
        self.answer_without_result(due, actions)
    }

    /// Whether a late answer earns little for the work that is left.
    fn earns_little_late(&self, request: &Request, now: Duration) -> bool {
        let class = &self.classes[request.class];
        // What an earlier note promised and has not come does not count.
        let finish =
            request.attempts.last().and_then(|attempt| attempt.expected_finish).filter(|at| *at > now);
        let usual = || self.usual_work(request.class);
        let work_left = || finish.map_or_else(usual, |finish| seconds(finish - now) * class.threads);
        let fair_weight = || mean(self.weights_per_second()).unwrap_or(0.0) / 4.0 * work_left();
        now > request.objective_at && class.late_share * class.priority_weight < fair_weight()
    }

    /// Under pressure, attempts past their objective that earn little late make room for those in time.
    pub fn cancel_late_attempts(&mut self, snapshot: &mut FleetSnapshot, actions: &mut impl Actions) -> bool {
        let pressed = |attempt: &Attempt| snapshot.engines[&attempt.engine].under_pressure == Some(true);
        let is_late = |request: &Request| {
            request.attempts.last().is_some_and(pressed) && self.earns_little_late(request, snapshot.now)
        };
        let late = self.in_flight().filter(|(_, request)| !request.is_done() && is_late(request));
        let ids = late.map(|(id, request)| request.last_attempt(id)).collect();
        self.cancel(ids, actions)
    }

    /// Gives requests their final answer; tells whether there were any.
    pub fn answer_without_result(&mut self, ids: Vec<RequestId>, actions: &mut impl Actions) -> bool {
        let longest = self.attempt_limits.max_retry_after;
        let retry_after = longest.map(|longest| self.shortest_objective().min(longest));
        for id in &ids {
            match self.may_reject(&self.requests[id]) {
                true => actions.reject(*id, retry_after),
                false => actions.fail(*id),
            }
            self.record_done(*id);
        }
        !ids.is_empty()
    }

    /// Forgets requests that are done, and one engine that has left.
    pub fn forget_finished(&mut self, snapshot: &mut FleetSnapshot, actions: &mut impl Actions) -> bool {
        let any_finished = self.remove_finished_requests(snapshot.now);
        self.prune_retry_budget(snapshot.now);
        // Guards against fleets that are replaced all day: an engine ends with the last request sent there.
        let Some(left) = self.engine_index.first_forgettable() else { return any_finished };
        actions.forget(left);
        snapshot.engines.remove(&left);
        self.remove_engine(left);
        true
    }

    /// Asks to be woken, and watches the endpoint list.
    pub fn schedule_wake(&mut self, snapshot: &mut FleetSnapshot, actions: &mut impl Actions) -> bool {
        let now = snapshot.now;
        if self.fleet.polls_endpoint_list && !self.watching {
            self.watching = true;
            actions.watch();
        }
        // What waits to be sent is looked at more often than what is in flight.
        let any_queued = self.queued().next().is_some();
        let wait = if any_queued { Duration::ZERO } else { self.shortest_objective() / 8 };
        let wait = wait.max(self.fleet.tick * 8);
        if !self.requests.is_empty() && (self.wake_due <= now || self.wake_due > now + wait) {
            self.wake_due = now + wait;
            actions.wake_after(wait);
        }
        false
    }
}
