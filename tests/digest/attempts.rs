//! The attempts of a run: how the simulated engines run and answer them.

use crate::simulation::{Event, RunningAttempt, Simulation, ms};
use emberflow::{AttemptEnded, AttemptOutcome, EngineId, ProgressUpdate, RequestId, Usage};
use std::time::Duration;

impl Simulation {
    /// Starts an attempt that the scheduler has sent.
    pub(super) fn start_attempt(&mut self, request: RequestId, engine: EngineId, timeout_at: Duration) {
        let client_request = self.client_requests.get_mut(&request).expect("the request has arrived");
        let attempt = client_request.attempts;
        client_request.attempts += 1;
        let (simulated, random) = (&self.simulated_engines[&engine], &mut self.random);
        let (_, threads) = self.classes[client_request.arrival.class];
        let ideal_run =
            client_request.arrival.estimated_work.unwrap_or(ms(80)).div_f64(f64::max(threads, 1.0));
        let estimate_error = random.one_of(&[0.7, 1.0, 1.0, 1.2, 2.0, 10.0]);
        let run = ideal_run.mul_f64(estimate_error * simulated.slowness * random.between(0.9, 1.6)) + ms(1);
        let is_silent = simulated.silent;
        let (wait, outcome) = self.attempt_end(engine, run, timeout_at.saturating_sub(self.now));
        self.running
            .insert((request, attempt), RunningAttempt { engine, sent_at: self.now, timeout_at, run });
        self.schedule(wait, Event::AttemptOutcome(request, attempt, outcome));
        if let Some(interval) = self.environment.progress_interval.filter(|_| !is_silent) {
            self.schedule(interval, Event::Progress(request, attempt));
        }
    }

    /// Draws when and how an attempt ends. An undisturbed attempt takes the time `run`; it times out after `left`.
    fn attempt_end(&mut self, engine: EngineId, run: Duration, left: Duration) -> (Duration, AttemptOutcome) {
        let (simulated, random) = (&self.simulated_engines[&engine], &mut self.random);
        let has_fault = random.percent(self.environment.fault_percent);
        if simulated.silent {
            (left, AttemptOutcome::TimedOut)
        } else if simulated.removed {
            (random.time(1, 30).min(left), AttemptOutcome::Unreachable)
        } else if simulated.fails {
            (random.time(1, 10).min(left), AttemptOutcome::Failed)
        } else if has_fault {
            let outcomes = [
                AttemptOutcome::Failed,
                AttemptOutcome::Overloaded,
                AttemptOutcome::Overloaded,
                AttemptOutcome::TimedOut,
                AttemptOutcome::Unreachable,
                AttemptOutcome::Broken,
                AttemptOutcome::NotSent,
            ];
            (run.mul_f64(random.fraction()).min(left), random.one_of(&outcomes))
        } else if run >= left {
            (left, AttemptOutcome::TimedOut)
        } else {
            (run, AttemptOutcome::Succeeded)
        }
    }

    /// Ends an attempt that the scheduler has cancelled.
    pub(super) fn cancel_attempt(&mut self, request: RequestId, attempt: usize) {
        let outcomes = [
            AttemptOutcome::Cancelled,
            AttemptOutcome::Cancelled,
            AttemptOutcome::Cancelled,
            AttemptOutcome::NotSent,
            AttemptOutcome::Broken,
        ];
        let (wait, outcome) = (self.random.time(0, 10), self.random.one_of(&outcomes));
        self.schedule(wait, Event::AttemptOutcome(request, attempt, outcome));
    }

    /// Reports the end of an attempt to the scheduler, unless the attempt has ended already.
    pub(super) fn end_attempt(&mut self, request: RequestId, attempt: usize, outcome: AttemptOutcome) {
        let Some(running) = self.running.remove(&(request, attempt)) else { return };
        let reports_load = !matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::Unreachable | AttemptOutcome::Broken
        );
        let load_report = if reports_load && self.random.percent(self.environment.load_report_percent) {
            self.load_report(running.engine)
        } else {
            None
        };
        let client_request = self.client_requests.get_mut(&request).expect("the request has arrived");
        let elapsed = self.now - running.sent_at;
        let estimate = client_request.arrival.estimated_memory_mb.unwrap_or(100.0);
        let random = &mut self.random;
        let has_usage =
            outcome == AttemptOutcome::Succeeded && random.percent(self.environment.usage_percent);
        let usage = has_usage.then(|| Usage {
            work: elapsed.mul_f64(random.between(0.5, 1.0)),
            memory_mb: estimate * random.between(0.4, 2.0),
        });
        client_request.answered |= outcome == AttemptOutcome::Succeeded;
        let request_done = client_request.answered;
        let ended = AttemptEnded {
            request,
            attempt,
            engine: running.engine,
            outcome,
            elapsed,
            usage,
            load_report,
            request_done,
        };
        self.scheduler.attempt_ended(self.now, ended, &mut self.log);
    }

    /// Sends a random progress update of an attempt in flight.
    pub(super) fn send_progress(&mut self, request: RequestId, attempt: usize) {
        let Some(RunningAttempt { engine, sent_at, timeout_at, run }) = self.running.get(&(request, attempt))
        else {
            return;
        };
        let (elapsed, random) = (self.now - *sent_at, &mut self.random);
        if self.simulated_engines[engine].silent || *timeout_at <= self.now {
            return;
        }
        let done = elapsed.as_nanos() as f64 / run.as_nanos() as f64;
        let update = match random.below(12) {
            0 | 1 => ProgressUpdate::Running,
            2 => ProgressUpdate::Spilling(random.between(10.0, 900.0)),
            3 => random.one_of(&[
                ProgressUpdate::WaitingForMemory,
                ProgressUpdate::WaitingForBulkLoad,
                ProgressUpdate::Running,
            ]),
            4 => ProgressUpdate::Fraction(0.0),
            _ => ProgressUpdate::Fraction(done.min(1.0)),
        };
        self.scheduler.progress_updated(self.now, request, attempt, update, &mut self.log);
        if let Some(interval) = self.environment.progress_interval
            && self.random.percent(93)
        {
            self.schedule(interval, Event::Progress(request, attempt));
        }
    }
}
