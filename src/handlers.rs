//! The scheduler's inputs: each enters what happened and runs the rules; and what callers may look up.

use crate::samples::duration;
use crate::state::{FleetSnapshot, SchedulerState};
use crate::*;
use std::time::Duration;

impl Scheduler {
    /// A request has arrived.
    pub fn accept(&mut self, now: Duration, arrival: Arrival, actions: &mut impl Actions) {
        let request = self.state.learn_from_arrival(now, &arrival);
        self.state.record_accepted(now, arrival.request, request);
        self.settle(now, actions);
    }

    /// An attempt has ended.
    pub fn attempt_ended(&mut self, now: Duration, ended: AttemptEnded, actions: &mut impl Actions) {
        if let Some(load) = ended.load_report {
            self.state.take_report(now, ended.engine, load, Some(ended.request));
        }
        if let Some(attempt) = self.state.record_ended(&ended) {
            self.state.cool_down_key(now, &ended);
            let ideal_run = self.state.learn_from_outcome(now, &ended, &attempt);
            self.state.judge_engine(now, &ended, &attempt, ideal_run);
        }
        self.settle(now, actions);
    }

    /// An engine's answer to a probe, or that none came.
    pub fn probed(
        &mut self,
        now: Duration,
        engine: EngineId,
        load_report: Option<LoadReport>,
        actions: &mut impl Actions,
    ) {
        if let Some(load) = load_report {
            self.state.take_report(now, engine, load, None);
        }
        self.settle(now, actions);
    }

    /// An engine has told of an attempt that it has not answered yet.
    pub fn progress_updated(
        &mut self,
        now: Duration,
        request: RequestId,
        attempt: usize,
        note: ProgressUpdate,
        actions: &mut impl Actions,
    ) {
        let is_short = self.state.shows_shortage(request, note);
        self.state.record_progress(now, request, attempt, note, is_short);
        self.settle(now, actions);
    }

    /// Clients have withdrawn some requests, which need no answer any more. Those of `half_closed` ones have
    /// ended their side and may be gone: their requests are not sent again, and what is in flight is awaited.
    pub fn clients_left(
        &mut self,
        now: Duration,
        withdrawn: &[RequestId],
        half_closed: &[RequestId],
        actions: &mut impl Actions,
    ) {
        self.state.record_clients_left(withdrawn, half_closed);
        self.settle(now, actions);
    }

    /// The endpoint list has changed.
    pub fn endpoints_changed(
        &mut self,
        now: Duration,
        update: EndpointUpdate,
        rows: Vec<Endpoint>,
        actions: &mut impl Actions,
    ) {
        self.state.record_endpoints(now, update, rows);
        self.state.choose_subset();
        self.settle(now, actions);
    }

    /// The endpoint list can't be had for now: its changes are watched anew.
    pub fn endpoint_list_failed(&mut self, now: Duration, actions: &mut impl Actions) {
        self.state.watching = false;
        self.settle(now, actions);
    }

    /// The process ends at `by`: nobody waits longer than that.
    pub fn shutting_down(&mut self, now: Duration, by: Duration, actions: &mut impl Actions) {
        self.state.record_shutdown(by);
        actions.wake_after(by.saturating_sub(now + self.state.final_answer_lead()));
        self.settle(now, actions);
    }

    /// The wait of an [`Actions::wake_after`] is over.
    pub fn wake(&mut self, now: Duration, actions: &mut impl Actions) {
        self.settle(now, actions);
    }

    /// The work that a request is expected to be, as one core's time.
    pub fn expected_work(&self, arrival: &Arrival) -> Duration {
        duration(self.state.expected(arrival).0)
    }

    /// Time before a deadline by which a final answer must be on its way.
    pub fn margin(&self) -> Duration {
        self.state.margin()
    }

    /// What may be sent at once, for an admission queue before this.
    pub fn capacity(&self, now: Duration) -> Capacity<'_> {
        Capacity { state: &self.state, snapshot: self.state.snapshot(now, true) }
    }
}

/// What may be sent at once, tier by tier.
pub struct Capacity<'a> {
    state: &'a SchedulerState,
    snapshot: FleetSnapshot,
}

impl Capacity<'_> {
    /// Whether a request would be sent at once; those after it, in tiers without room for it, would not.
    pub fn admits(&mut self, arrival: &Arrival) -> bool {
        self.state.would_be_sent(arrival, &mut self.snapshot)
    }
}
