//! The scheduler: its state, and the ordered list of rules that run after each input.

use crate::policy::WINDOW_SIZES;
use crate::state::{FleetSnapshot, SchedulerState};
use crate::*;
use std::time::Duration;

/// Decides what is sent where and when; see the crate's description.
#[derive(Clone)]
pub struct Scheduler {
    pub(crate) state: SchedulerState,
}

/// One rule: a condition and an effect; tells whether it fired.
type Rule<A> = fn(&mut SchedulerState, &mut FleetSnapshot, &mut A) -> bool;

impl Scheduler {
    /// A scheduler that knows of no engine and no request yet.
    pub fn new(fleet: Fleet, classes: Vec<RequestClass>, attempt_limits: AttemptLimits) -> Self {
        Self { state: SchedulerState::new(fleet, classes, attempt_limits, WINDOW_SIZES) }
    }

    /// How many engines all inputs so far have looked at: their cost in counted work.
    pub fn engines_examined(&self) -> u64 {
        self.state.engines_examined
    }

    /// Runs the rules in their order, from the first again after each that fires, until none does.
    pub(crate) fn settle<A: Actions>(&mut self, now: Duration, actions: &mut A) {
        let rules: [Rule<A>; 9] = [
            SchedulerState::forget_finished,
            SchedulerState::answer_when_due,
            SchedulerState::cancel_when_silent,
            SchedulerState::cancel_slow_attempts,
            SchedulerState::cancel_late_attempts,
            SchedulerState::send_queued,
            SchedulerState::probe_unknown,
            SchedulerState::reject_too_late,
            SchedulerState::schedule_wake,
        ];
        let any_queued = self.state.queued().next().is_some();
        let mut snapshot = self.state.snapshot(now, any_queued);
        while rules.iter().any(|rule| rule(&mut self.state, &mut snapshot, actions)) {}
        self.state.engines_examined += snapshot.engines_examined;
    }
}
