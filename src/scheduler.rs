//! The scheduler: its state, and the ordered list of rules that is applied after each input.

use crate::policy::WINDOW_SIZES;
use crate::state::{FleetSnapshot, SchedulerState};
use crate::{Actions, AttemptLimits, Fleet, RequestClass};
use std::time::Duration;

/// Decides which request is sent to which engine and when. The documentation of the crate describes its use.
#[derive(Clone)]
pub struct Scheduler {
    pub(crate) state: SchedulerState,
}

/// A rule takes one kind of decision. It returns whether the rules must be applied again from the first one.
type Rule<A> = fn(&mut SchedulerState, &mut FleetSnapshot, &mut A) -> bool;

impl Scheduler {
    /// Creates a scheduler without engines and requests.
    pub fn new(fleet: Fleet, classes: Vec<RequestClass>, attempt_limits: AttemptLimits) -> Self {
        Self { state: SchedulerState::new(fleet, classes, attempt_limits, WINDOW_SIZES) }
    }

    /// Returns the number of engines examined, added up over all inputs. It measures the cost of inputs without a
    /// clock. An engine counts each time that it is examined.
    pub fn engines_examined(&self) -> u64 {
        self.state.engines_examined
    }

    /// Applies the rules in order, and starts again at the first one after each rule that returns true.
    pub(crate) fn apply_rules<A: Actions>(&mut self, now: Duration, actions: &mut A) {
        let rules: [Rule<A>; 9] = [
            SchedulerState::forget_finished,
            SchedulerState::answer_when_due,
            SchedulerState::cancel_inactive,
            SchedulerState::cancel_slow_attempts,
            SchedulerState::cancel_late_attempts,
            SchedulerState::send_queued,
            SchedulerState::probe_unreported_engines,
            SchedulerState::reject_too_late,
            SchedulerState::schedule_wake,
        ];
        let any_queued = self.state.queued().next().is_some();
        let mut snapshot = self.state.snapshot(now, any_queued);
        while rules.iter().any(|rule| rule(&mut self.state, &mut snapshot, actions)) {}
        self.state.engines_examined += snapshot.engines_examined;
    }
}
