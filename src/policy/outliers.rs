//! Outlier detection: engines that fail often or are inactive are ejected, so that they get recovery attempts
//! only. Their attempts are cancelled and retried at other engines.

use crate::samples::{mean, seconds};
use crate::state::{Attempt, AttemptId, Engine, EngineView, FleetSnapshot, Request, SchedulerState};
use crate::{Actions, AttemptEnded, AttemptOutcome};
use std::time::Duration;

/// Inactivity ratio from which an engine is ejected.
pub const INACTIVITY_RATIO_FOR_EJECTION: f64 = 1.0;
/// Inactivity ratio from which an engine's attempts are cancelled and retried.
const INACTIVITY_RATIO_FOR_RETRY: f64 = 1.5;
/// Expected runs within which an engine must answer, if it sends no progress updates.
const INACTIVE_AFTER_RUNS: f64 = 3.0;
/// Progress intervals within which an engine must send a progress update.
const INACTIVE_AFTER_PROGRESS_INTERVALS: f64 = 2.0;
/// Failures in the window from which an engine is ejected.
pub const MIN_FAILURES: usize = 2;
/// Fraction of failures among the outcomes in the window from which an engine is ejected.
const MIN_FAILURE_RATE: f64 = 0.3;

impl SchedulerState {
    /// Returns the time that an engine with attempts in flight has been inactive, as a multiple of the time
    /// within which it should have answered or sent a progress update. It is zero without attempts in flight.
    pub fn inactivity_ratio(&self, engine: &Engine, now: Duration, slowdowns: &[f64]) -> f64 {
        let Some(oldest) = engine.in_flight.first() else { return 0.0 };
        let activity_timeout = match self.fleet.progress_interval {
            Some(interval) => seconds(interval) * INACTIVE_AFTER_PROGRESS_INTERVALS,
            None => {
                let timeout_of =
                    |request: &Request| request.ideal_run_seconds * slowdowns[request.class] * INACTIVE_AFTER_RUNS;
                self.in_flight_at(engine).map(timeout_of).fold(f64::INFINITY, f64::min)
            }
        };
        let inactive = seconds(now.saturating_sub(engine.last_activity_at.max(oldest.sent_at)));
        inactive / activity_timeout.max(seconds(self.shortest_objective()))
    }

    /// Returns whether an engine fails often. Guards against engines that fail fast or are down, and so seem
    /// idle. The window grows with consecutive failures, because the recovery attempts of many routers add
    /// up.
    pub fn is_failing(&self, engine: &Engine, now: Duration) -> bool {
        let newest_first = engine.failures.since(Duration::ZERO);
        let consecutive = newest_first.take_while(|failure| *failure > 0.0).count();
        let window_start = self.failure_window_start(now, consecutive.max(MIN_FAILURES));
        let recent = || engine.failures.since(window_start);
        recent().sum::<f64>() >= MIN_FAILURES as f64
            && mean(recent()).is_some_and(|rate| rate >= MIN_FAILURE_RATE)
    }

    /// Records the outcome of an attempt for its engine: failures, slowdowns and shortages.
    pub fn update_outlier_detection(
        &mut self,
        now: Duration,
        ended: &AttemptEnded,
        attempt: &Attempt,
        ideal_run_seconds: f64,
    ) {
        use AttemptOutcome::{
            Broken, Cancelled, Failed, NotSent, Overloaded, Succeeded, TimedOut, Unreachable,
        };
        let engine = self.engines.get_mut(&attempt.engine).expect("an engine that an attempt was sent to");
        if matches!(ended.outcome, Succeeded | Failed | Overloaded) {
            engine.last_activity_at = now;
        }
        let last = engine.failures.last();
        let failed_within_last_tick = last.is_some_and(|(at, failure)| failure > 0.0 && at + self.fleet.tick >= now);
        match ended.outcome {
            Succeeded => {
                engine.failures.push(now, 0.0);
                self.record_slowdown(now, ended, attempt, ideal_run_seconds);
            }
            Overloaded => engine.memory_shortage_at = Some(now),
            Failed | TimedOut => engine.failures.push(now, 1.0),
            Unreachable => eject_and_restart_warm_up(engine, now),
            // Guards against lost machines and locations, whose connections all break at once.
            Broken if failed_within_last_tick && engine.in_flight.is_empty() => eject_and_restart_warm_up(engine, now),
            // A single broken connection counts as one failure, since the engine may still be up.
            Broken if !failed_within_last_tick => engine.failures.push(now, 1.0),
            Broken | Cancelled | NotSent => {}
        }
    }

    /// Records the elapsed time of a success as a multiple of the run on an idle engine. Recent runs would be
    /// no stable reference, because they get longer in a lasting overload.
    fn record_slowdown(&mut self, now: Duration, ended: &AttemptEnded, attempt: &Attempt, ideal_run_seconds: f64) {
        let slowdown = seconds(now - attempt.sent_at) / (ideal_run_seconds + seconds(self.fleet.tick));
        let class = self.requests[&ended.request].class;
        self.estimates[class].slowdowns.push(now, slowdown);
        let engine = self.engines.get_mut(&attempt.engine).expect("an engine that an attempt was sent to");
        engine.slowdowns.push(now, slowdown);
    }

    /// Returns whether an ejected engine may get a recovery attempt: one at a time, and one in each interval.
    pub fn may_send_recovery_attempt(&self, engine: &Engine, snapshot: &FleetSnapshot) -> bool {
        let interval = self.recovery_interval(snapshot.engine_share);
        let last = engine.sent_work.last();
        engine.in_flight.is_empty() && last.is_none_or(|(at, _)| at + interval <= snapshot.now)
    }

    /// Cancels and retries the attempts of inactive engines, and single attempts that are inactive.
    pub fn cancel_inactive(&mut self, snapshot: &mut FleetSnapshot, actions: &mut impl Actions) -> bool {
        let (now, mut any_cancelled) = (snapshot.now, false);
        for (id, view) in &snapshot.engines {
            let inactive = self.inactive_attempts(&self.engines[id], view, now);
            if !self.cancel_and_retry(now, inactive, actions) {
                continue;
            }
            any_cancelled = true;
            if is_engine_inactive(view) {
                // Without attempts in flight, the engine would count as idle.
                let engine = self.engines.get_mut(id).expect("an engine of the snapshot");
                record_ejection(engine, now);
            }
        }
        any_cancelled
    }

    fn inactive_attempts(&self, engine: &Engine, view: &EngineView, now: Duration) -> Vec<AttemptId> {
        let attempts = engine.in_flight.iter();
        let inactive =
            attempts.filter(|attempt| is_engine_inactive(view) || self.is_attempt_inactive(now, attempt));
        inactive.map(|attempt| attempt.id()).collect()
    }
}

/// Returns whether the engine's attempts are to be retried elsewhere.
fn is_engine_inactive(view: &EngineView) -> bool {
    view.inactivity_ratio >= INACTIVITY_RATIO_FOR_RETRY
}

/// Records as many failures as eject an engine.
fn record_ejection(engine: &mut Engine, now: Duration) {
    for _ in 0..MIN_FAILURES {
        engine.failures.push(now, 1.0);
    }
}

/// Ejects an engine that is down. It will warm up when it is back, and the endpoint list may show that late.
fn eject_and_restart_warm_up(engine: &mut Engine, now: Duration) {
    record_ejection(engine, now);
    engine.warming_since = Some(now);
}
