//! Outlier detection: engines that fail often or are inactive are ejected and get recovery attempts only.
//! Attempts in flight at inactive engines are cancelled and retried at other engines.

use crate::samples::{mean, seconds};
use crate::state::{Attempt, AttemptId, Engine, EngineCondition, FleetSnapshot, Request, SchedulerState};
use crate::{Actions, AttemptEnded, AttemptOutcome};
use std::time::Duration;

/// Inactivity ratio from which an engine is ejected.
pub const INACTIVITY_RATIO_FOR_EJECTION: f64 = 1.0;
/// Inactivity ratio from which an engine's attempts are cancelled and retried.
const INACTIVITY_RATIO_FOR_RETRY: f64 = 1.5;
/// Expected runs after which an engine without an answer counts as inactive, if engines send no progress
/// updates.
const INACTIVE_AFTER_RUNS: f64 = 3.0;
/// Progress intervals without a progress update after which an engine counts as inactive.
const INACTIVE_AFTER_PROGRESS_INTERVALS: f64 = 2.0;
/// Minimum number of failures in the window for an engine to be ejected.
pub const MIN_FAILURES: usize = 2;
/// Minimum fraction of failures among the outcomes in the window for an engine to be ejected.
const MIN_FAILURE_RATE: f64 = 0.3;

impl SchedulerState {
    /// Returns the time since an engine last sent an answer or a progress update, or was sent the oldest attempt in
    /// flight if that is later, as a multiple of the time after which the engine counts as inactive. Returns 0 for an
    /// engine without attempts in flight.
    pub fn inactivity_ratio(&self, engine: &Engine, now: Duration, slowdowns: &[f64]) -> f64 {
        let Some(oldest) = engine.in_flight.first() else { return 0.0 };
        let activity_timeout = match self.fleet.progress_interval {
            Some(interval) => seconds(interval) * INACTIVE_AFTER_PROGRESS_INTERVALS,
            None => {
                let timeout_of = |request: &Request| {
                    request.ideal_run_seconds * slowdowns[request.class] * INACTIVE_AFTER_RUNS
                };
                self.in_flight_at(engine).map(timeout_of).fold(f64::INFINITY, f64::min)
            }
        };
        let inactive = seconds(now.saturating_sub(engine.last_activity_at.max(oldest.sent_at)));
        inactive / activity_timeout.max(seconds(self.shortest_objective()))
    }

    /// Returns whether an engine fails often enough to be ejected. Engines that fail fast or are down must be ejected,
    /// because they appear idle and would attract requests. The window of failures grows with the number of
    /// consecutive failures, because the recovery attempts of many routers add up.
    pub fn is_failing(&self, engine: &Engine, now: Duration) -> bool {
        let newest_first = engine.failures.since(Duration::ZERO);
        let consecutive = newest_first.take_while(|failure| *failure > 0.0).count();
        let window_start = self.failure_window_start(now, consecutive.max(MIN_FAILURES));
        let recent = || engine.failures.since(window_start);
        recent().sum::<f64>() >= MIN_FAILURES as f64
            && mean(recent()).is_some_and(|rate| rate >= MIN_FAILURE_RATE)
    }

    /// Records the outcome of an attempt for its engine: a failure, a success with its slowdown, or a shortage of
    /// memory.
    pub fn update_outlier_detection(
        &mut self,
        now: Duration,
        ended: &AttemptEnded,
        attempt: &Attempt,
        ideal_run_seconds: f64,
    ) {
        use AttemptOutcome::{
            Broken, Cancelled, Failed, Lapsed, NotSent, Overloaded, Succeeded, TimedOut, Unreachable,
        };
        let engine = self
            .engines
            .get_mut(&attempt.engine)
            .expect("an engine with an attempt is in the table of engines");
        if matches!(ended.outcome, Succeeded | Failed | Overloaded) {
            engine.last_activity_at = now;
        }
        let last = engine.failures.last();
        let failed_within_last_tick =
            last.is_some_and(|(at, failure)| failure > 0.0 && at + self.fleet.tick >= now);
        match ended.outcome {
            Succeeded => {
                engine.failures.push(now, 0.0);
                self.record_slowdown(now, ended, attempt, ideal_run_seconds);
            }
            Overloaded => engine.memory_shortage_at = Some(now),
            Failed | TimedOut => engine.failures.push(now, 1.0),
            Unreachable => eject_and_restart_warm_up(engine, now),
            // All attempts of the engine broke at once, as they do when its machine or location is lost.
            Broken if failed_within_last_tick && engine.in_flight.is_empty() => {
                eject_and_restart_warm_up(engine, now)
            }
            // Attempts that break at once, as on one connection, count as one failure: the engine may still be up.
            Broken if !failed_within_last_tick => engine.failures.push(now, 1.0),
            Broken | Cancelled | NotSent | Lapsed(_) => {}
        }
    }

    /// Records the elapsed time of a successful attempt as a multiple of the run on an idle engine. Recent
    /// runs would be an unstable reference, because they become longer during a lasting overload.
    fn record_slowdown(
        &mut self,
        now: Duration,
        ended: &AttemptEnded,
        attempt: &Attempt,
        ideal_run_seconds: f64,
    ) {
        let slowdown = seconds(now - attempt.sent_at) / (ideal_run_seconds + seconds(self.fleet.tick));
        let class = self.requests[&ended.request].class;
        self.estimates[class].slowdowns.push(now, slowdown);
        let engine = self
            .engines
            .get_mut(&attempt.engine)
            .expect("an engine with an attempt is in the table of engines");
        engine.slowdowns.push(now, slowdown);
    }

    /// Returns whether an ejected engine may get a recovery attempt: one at a time, and at most one in each
    /// recovery interval.
    pub fn may_send_recovery_attempt(&self, engine: &Engine, snapshot: &FleetSnapshot) -> bool {
        let interval = self.recovery_interval(snapshot.engine_share);
        let last = engine.sent_work.last();
        engine.in_flight.is_empty() && last.is_none_or(|(at, _)| at + interval <= snapshot.now)
    }

    /// Cancels the attempts at inactive engines, and single inactive attempts, so that they are retried.
    pub fn cancel_inactive(&mut self, snapshot: &mut FleetSnapshot, actions: &mut impl Actions) -> bool {
        let (now, mut any_cancelled) = (snapshot.now, false);
        for (id, condition) in &snapshot.engines {
            let inactive = self.inactive_attempts(&self.engines[id], condition, now);
            if !self.cancel_and_retry(now, inactive, actions) {
                continue;
            }
            any_cancelled = true;
            if is_engine_inactive(condition) {
                // Once its attempts are cancelled, the engine would no longer count as inactive but as idle.
                let engine =
                    self.engines.get_mut(id).expect("an engine of the snapshot is in the table of engines");
                record_ejection(engine, now);
            }
        }
        any_cancelled
    }

    fn inactive_attempts(
        &self,
        engine: &Engine,
        condition: &EngineCondition,
        now: Duration,
    ) -> Vec<AttemptId> {
        let attempts = engine.in_flight.iter();
        let inactive = attempts
            .filter(|attempt| is_engine_inactive(condition) || self.is_attempt_inactive(now, attempt));
        inactive.map(|attempt| attempt.id()).collect()
    }
}

/// Returns whether the engine has been inactive long enough for its attempts to be cancelled and retried at other
/// engines.
fn is_engine_inactive(condition: &EngineCondition) -> bool {
    condition.inactivity_ratio >= INACTIVITY_RATIO_FOR_RETRY
}

/// Records as many failures as are needed to eject an engine.
fn record_ejection(engine: &mut Engine, now: Duration) {
    for _ in 0..MIN_FAILURES {
        engine.failures.push(now, 1.0);
    }
}

/// Ejects an engine that is down, and starts its warm-up now: the engine will have to warm up after its restart,
/// and the endpoint list may show the restart late.
fn eject_and_restart_warm_up(engine: &mut Engine, now: Duration) {
    record_ejection(engine, now);
    engine.warming_since = Some(now);
}
