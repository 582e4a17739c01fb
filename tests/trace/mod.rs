//! Traces: a scheduler whose decisions are recorded as text, with one short method for each of its inputs.

mod action_log;
mod endpoints;
mod requests;
mod settings;

pub use endpoints::endpoint;
pub use settings::{BULK_LOAD, LONG, SHORT, base, small};

use action_log::ActionLog;
use emberflow::{AttemptLimits, Fleet, Lifecycle, RequestClass, RequestId, Scheduler};
use std::time::Duration;

/// Start time of a small trace in milliseconds. It is later than the longest window over earlier events, so that no
/// window is cut off at time 0.
pub const START_MS: u64 = 20_000;
/// Interval in milliseconds of the wake-ups of [`Trace::wake_until`].
const WAKE_INTERVAL_MS: u64 = 40;

/// Converts milliseconds to a time.
pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A scheduler with a log of its decisions. The log also holds the current time.
pub struct Trace {
    scheduler: Scheduler,
    log: ActionLog,
    /// The id that the next accepted request gets; ids start at 0.
    next_request: RequestId,
    /// Deadlines by request class.
    deadlines: Vec<Duration>,
    /// Location and cell of each engine of a small trace; empty for other traces.
    positions: Vec<(usize, u64)>,
}

impl Trace {
    /// Starts a trace with engines of one kind and the settings of [`base`].
    pub fn with_engines(engines: usize) -> Self {
        Self::new(engines, |_, _, _| ())
    }

    /// Starts a trace with engines of one kind and the settings of [`base`], after `change` has changed them.
    pub fn new(
        engines: usize,
        change: impl FnOnce(&mut Fleet, &mut Vec<RequestClass>, &mut AttemptLimits),
    ) -> Self {
        let (mut fleet, mut classes, mut attempt_limits) = base();
        change(&mut fleet, &mut classes, &mut attempt_limits);
        let mut trace = Self::from_settings(fleet, classes, attempt_limits, Vec::new());
        trace.update_endpoints((0..engines).map(|engine| endpoint(engine, Lifecycle::Ready, None)).collect());
        trace
    }

    /// Starts a small trace: its settings have short times, and its engines are in the given locations and cells.
    pub fn small(
        positions: &[(usize, u64)],
        change: impl FnOnce(&mut Fleet, &mut Vec<RequestClass>, &mut AttemptLimits),
    ) -> Self {
        let (mut fleet, mut classes, mut attempt_limits) = small();
        change(&mut fleet, &mut classes, &mut attempt_limits);
        let mut trace = Self::from_settings(fleet, classes, attempt_limits, positions.to_vec());
        let rows = (0..positions.len()).map(|engine| trace.row(engine, Lifecycle::Ready, None)).collect();
        trace.at(START_MS).update_endpoints(rows);
        trace
    }

    fn from_settings(
        fleet: Fleet,
        classes: Vec<RequestClass>,
        attempt_limits: AttemptLimits,
        positions: Vec<(usize, u64)>,
    ) -> Self {
        let deadlines = classes.iter().map(|class| class.deadline).collect();
        let scheduler = Scheduler::new(fleet, classes, attempt_limits);
        Self { scheduler, log: ActionLog::default(), next_request: RequestId(0), deadlines, positions }
    }

    fn now(&self) -> Duration {
        ms(self.log.now_ms)
    }

    /// Sets the current time in milliseconds.
    pub fn at(&mut self, now_ms: u64) -> &mut Self {
        self.log.now_ms = now_ms;
        self
    }

    /// Wakes the scheduler now.
    pub fn wake_now(&mut self) -> &mut Self {
        self.scheduler.wake(self.now(), &mut self.log);
        self
    }

    /// Wakes the scheduler after the wait that it requested last.
    pub fn wake_when_due(&mut self) -> &mut Self {
        self.log.now_ms += self.log.requested_wait.as_millis() as u64;
        self.wake_now()
    }

    /// Wakes the scheduler at a fixed interval, up to a time in milliseconds.
    pub fn wake_until(&mut self, until_ms: u64) -> &mut Self {
        while self.log.now_ms + WAKE_INTERVAL_MS <= until_ms {
            self.log.now_ms += WAKE_INTERVAL_MS;
            self.wake_now();
        }
        self
    }

    /// Sets the number of the next random draw, on which the choice between engines depends.
    #[allow(dead_code, reason = "called by counterexamples that the model checker prints")]
    pub fn set_random_draws(&mut self, draws: u64) -> &mut Self {
        self.scheduler.set_random_draws(draws);
        self
    }

    /// Starts the graceful shutdown with a deadline in milliseconds.
    pub fn start_shutdown(&mut self, deadline_ms: u64) -> &mut Self {
        self.scheduler.start_shutdown(self.now(), ms(deadline_ms), &mut self.log);
        self
    }

    /// Returns the decisions since the last call, one in each line, each with its time in milliseconds.
    pub fn decisions(&mut self) -> String {
        std::mem::take(&mut self.log.text)
    }
}
