//! Outliers: engines that fail fast or give no sign get a trickle, and what may be repeated is taken back.

use super::*;

/// Times that a sign is overdue from which attempts are taken back.
const SILENT: f64 = 1.5;
/// Failures, and their part of recent outcomes, from which an engine is failing.
const FEWEST_FAILURES: f64 = 2.0;
const FAILING_PART: f64 = 0.3;

impl SchedulerState {
    /// Time without a sign from an engine with attempts in flight, over the time that one is due in.
    pub fn silence_ratio(&self, engine: &Engine, now: Duration, slowdowns: &[f64]) -> f64 {
        let Some(oldest) = engine.in_flight.first().map(|attempt| attempt.sent_at) else { return 0.0 };
        let run = |request: &Request| request.ideal_run * slowdowns[request.class] * 3.0;
        let due = match self.fleet.progress_interval {
            Some(every) => seconds(every) * 2.0,
            None => self.in_flight_at(engine).map(run).fold(f64::INFINITY, f64::min),
        };
        let silence = seconds(now.saturating_sub(engine.last_sign_at.max(oldest)));
        silence / due.max(seconds(self.shortest_objective()))
    }

    /// Guards against engines that fail fast or are gone: they look free. What goes on is believed longer,
    /// since the trials of many routers add up.
    pub fn is_failing(&self, engine: &Engine, now: Duration) -> bool {
        let in_a_row = engine.failures.since(Duration::ZERO).take_while(|failure| *failure > 0.0).count();
        let lookback = self.shortest_objective() * 4 * in_a_row.max(2) as u32;
        let recent = || engine.failures.since(now.saturating_sub(lookback));
        recent().sum::<f64>() >= FEWEST_FAILURES && mean(recent()).is_some_and(|part| part >= FAILING_PART)
    }

    /// Takes in what an attempt's outcome tells of its engine.
    pub fn judge_engine(&mut self, now: Duration, ended: &AttemptEnded, attempt: &Attempt, ideal_run: f64) {
        use AttemptOutcome::{
            Broken, Cancelled, Failed, NotSent, Overloaded, Succeeded, TimedOut, Unreachable,
        };
        let tick = self.fleet.tick;
        let engine = self.engines.get_mut(&attempt.engine).expect("an engine that an attempt was sent to");
        if matches!(ended.outcome, Succeeded | Failed | Overloaded) {
            engine.last_sign_at = now;
        }
        let last = engine.failures.last();
        let just_failed = last.is_some_and(|(at, failure)| failure > 0.0 && at + tick >= now);
        let all_broken = just_failed && engine.in_flight.is_empty();
        match ended.outcome {
            Succeeded => {
                // Over an idle engine's run, not the best of late: in lasting overload that drifts up.
                let slowdown = seconds(now - attempt.sent_at) / (ideal_run + seconds(tick));
                self.estimates[self.requests[&ended.request].class].slowdowns.push(now, slowdown);
                engine.slowdowns.push(now, slowdown);
                engine.failures.push(now, 0.0);
            }
            Overloaded => engine.short_at = Some(now),
            Failed | TimedOut => engine.failures.push(now, 1.0),
            // Guards against lost machines and locations, whose connects fail or whose attempts all break at
            // once: two failures, and it warms up when it is back, which the endpoint list tells late.
            outcome if outcome == Unreachable || outcome == Broken && all_broken => {
                (0..2).for_each(|_| engine.failures.push(now, 1.0));
                engine.warming_since = Some(now);
            }
            // Any other break counts once: a cut may mean nothing.
            Broken if !just_failed => engine.failures.push(now, 1.0),
            Broken | Unreachable | Cancelled | NotSent => {}
        }
    }

    /// Whether an outlier may get another attempt: a trickle of one at a time, after a pause.
    pub fn may_trickle(&self, engine: &Engine, snapshot: &FleetSnapshot) -> bool {
        let objective = self.shortest_objective();
        let pause = objective.div_f64(2.0 * snapshot.engine_share).max(objective);
        let last = engine.sent_work.last();
        engine.in_flight.is_empty() && last.is_none_or(|(at, _)| at + pause <= snapshot.now)
    }

    /// Guards against engines, and single answers, of which nothing comes: takes back what may be repeated.
    pub fn cancel_when_silent(&mut self, snapshot: &mut FleetSnapshot, actions: &mut impl Actions) -> bool {
        let (now, mut fired) = (snapshot.now, false);
        for (id, view) in &snapshot.engines {
            let is_silent = view.silence_ratio >= SILENT;
            let attempts = self.engines[id].in_flight.iter();
            let attempts = attempts.filter(|attempt| is_silent || self.is_lost(now, attempt));
            let attempts = attempts.map(|attempt| attempt.id()).collect();
            if self.migrate(now, attempts, actions) {
                // It would look free once its attempts are taken back.
                let engine = self.engines.get_mut(id).expect("an engine of the snapshot");
                (0..2).filter(|_| is_silent).for_each(|_| engine.failures.push(now, 1.0));
                fired = true;
            }
        }
        fired
    }
}
