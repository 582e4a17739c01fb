//! The scheduler's inputs and queries. An input records an event and then applies the rules; a query changes
//! nothing.

use crate::samples::duration;
use crate::state::{FleetSnapshot, SchedulerState};
use crate::{
    Actions, Arrival, AttemptEnded, AttemptOutcome, Endpoint, EndpointUpdate, EngineId, LoadReport,
    ProgressUpdate, RequestId, Scheduler, SendCondition,
};
use std::time::Duration;

impl Scheduler {
    /// Accepts a request that has arrived. It is sent, queued or answered without a result.
    pub fn accept(&mut self, now: Duration, arrival: Arrival, actions: &mut impl Actions) {
        let request = self.state.update_estimates_from_arrival(now, &arrival);
        self.state.record_accepted(now, arrival.request, request);
        self.apply_rules(now, actions);
    }

    /// Handles the end of an attempt. Its load report counts even if the request is no longer known.
    pub fn attempt_ended(&mut self, now: Duration, ended: AttemptEnded, actions: &mut impl Actions) {
        if let Some(load) = ended.load_report {
            self.state.update_from_load_report(now, ended.engine, load, Some(ended.request));
        }
        if let Some(attempt) = self.state.record_ended(&ended) {
            if matches!(ended.outcome, AttemptOutcome::Lapsed(_)) {
                self.state.forget_unwritten(&attempt, ended.attempt > 0);
            }
            self.state.cool_down_key(now, &ended);
            let ideal_run_seconds = self.state.update_estimates_from_outcome(now, &ended, &attempt);
            self.state.update_outlier_detection(now, &ended, &attempt, ideal_run_seconds);
        }
        self.apply_rules(now, actions);
    }

    /// Records that the first byte of an attempt was written at `now`, which may be later than the decision.
    pub fn attempt_written(&mut self, now: Duration, request: RequestId, attempt: usize) {
        self.state.record_written(now, request, attempt);
    }

    /// Checks an attempt in flight directly before it is written. Returns the condition of the decision that no longer
    /// holds; the caller must then not write the attempt, and must report it as
    /// [`AttemptOutcome::Lapsed`](crate::AttemptOutcome::Lapsed). The caller checks the times in
    /// [`SendLimits`](crate::SendLimits) itself.
    pub fn lapsed_condition(
        &self,
        now: Duration,
        request: RequestId,
        attempt: usize,
    ) -> Option<SendCondition> {
        self.state.lapsed_condition(now, request, attempt)
    }

    /// Handles the end of a probe; `load_report` is `None` if the engine did not answer.
    pub fn probe_ended(
        &mut self,
        now: Duration,
        engine: EngineId,
        load_report: Option<LoadReport>,
        actions: &mut impl Actions,
    ) {
        if let Some(load) = load_report {
            self.state.update_from_load_report(now, engine, load, None);
        }
        self.apply_rules(now, actions);
    }

    /// Handles an engine's progress update for an attempt in flight.
    pub fn progress_updated(
        &mut self,
        now: Duration,
        request: RequestId,
        attempt: usize,
        update: ProgressUpdate,
        actions: &mut impl Actions,
    ) {
        let has_memory_shortage = self.state.has_memory_shortage(request, update);
        self.state.record_progress(now, request, attempt, update, has_memory_shortage);
        self.apply_rules(now, actions);
    }

    /// Handles the departure of clients. The requests in `cancelled` need no answer. The clients of the requests in
    /// `half_closed` have closed their sending side and may have left: attempts in flight continue, but no further
    /// attempt is sent.
    pub fn clients_left(
        &mut self,
        now: Duration,
        cancelled: &[RequestId],
        half_closed: &[RequestId],
        actions: &mut impl Actions,
    ) {
        self.state.record_clients_left(cancelled, half_closed);
        self.apply_rules(now, actions);
    }

    /// Handles an update of the endpoint list, and chooses the subset of engines that this router uses.
    pub fn endpoints_changed(
        &mut self,
        now: Duration,
        update: EndpointUpdate,
        rows: Vec<Endpoint>,
        actions: &mut impl Actions,
    ) {
        self.state.record_endpoints(now, update, rows);
        self.state.choose_subset();
        self.apply_rules(now, actions);
    }

    /// Handles a failure to read the endpoint list. The scheduler subscribes to its changes again, if changes arrive
    /// only after a subscription.
    pub fn endpoint_list_failed(&mut self, now: Duration, actions: &mut impl Actions) {
        self.state.is_watching_endpoints = false;
        self.apply_rules(now, actions);
    }

    /// Starts the graceful shutdown. Every request, also one that arrives later, is answered before `deadline`.
    pub fn start_shutdown(&mut self, now: Duration, deadline: Duration, actions: &mut impl Actions) {
        self.state.record_shutdown(deadline);
        actions.wake_after(deadline.saturating_sub(now + self.state.final_answer_lead()));
        self.apply_rules(now, actions);
    }

    /// Handles the end of the wait that [`Actions::wake_after`] requested.
    pub fn wake(&mut self, now: Duration, actions: &mut impl Actions) {
        self.apply_rules(now, actions);
    }

    /// Returns the expected work of a request, as time on one core; zero if the client gave no estimate and no work of
    /// its class is recorded.
    pub fn expected_work(&self, arrival: &Arrival) -> Duration {
        duration(self.state.expected_resources(arrival).work)
    }

    /// Returns the time before a deadline by which the final answer must have been sent.
    pub fn answer_margin(&self) -> Duration {
        self.state.answer_margin()
    }

    /// Returns the free capacity at this time, for an admission queue in front of the scheduler.
    pub fn capacity(&self, now: Duration) -> Capacity<'_> {
        Capacity { state: &self.state, snapshot: self.state.snapshot(now, true) }
    }
}

/// The free capacity of the fleet at one time. It keeps track of the tiers that were found to be full.
pub struct Capacity<'a> {
    state: &'a SchedulerState,
    snapshot: FleetSnapshot,
}

impl Capacity<'_> {
    /// Returns whether the request would be sent at once. If its tier has no capacity, later requests of that tier
    /// are not admitted either, since they would have to wait behind the first one.
    pub fn admits(&mut self, arrival: &Arrival) -> bool {
        self.state.would_be_sent(arrival, &mut self.snapshot)
    }
}
