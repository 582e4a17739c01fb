//! Sends, cancels and ends attempts.

use super::attempt::{Attempt, Call};
use super::commands::EngineCommand;
use super::connection::IDLE_TIMEOUT_FRACTION;
use super::result_pages::ResultPages;
use super::{EnginePool, PoolEvent};
use crate::context::Context;
use crate::final_checks::CallRefusal;
use crate::slots::Slot;
use crate::timers::Timer;
use emberflow::{AttemptEnded, AttemptOutcome, EngineId, LoadReport};

impl EnginePool {
    /// Sends an attempt, and returns its slot. The attempt is not sent on any of the `excluded_connections`, because a
    /// reply to an earlier attempt of the same request may still arrive there. A reply carries only the name of the
    /// request, so it would be mistaken for a reply to the new attempt.
    pub fn send(
        &mut self,
        engine_id: EngineId,
        call: Call<'_>,
        excluded_connections: &[Slot],
        context: &mut Context,
    ) -> Slot {
        let attempt_slot =
            self.attempts.insert(Attempt::new(&call, engine_id, excluded_connections, context.now()));
        context.timers.set(call.limits.timeout_at, Timer::AttemptDeadline(attempt_slot));
        if let Some(key_window_end) = call.limits.key_window_end {
            context.timers.set(key_window_end, Timer::CallExpiry(attempt_slot));
        }
        context.counters.count("attempts_sent");
        self.assign_connection(attempt_slot, context);
        attempt_slot
    }

    /// Queues an attempt's call on a connection to its engine. Ends the attempt if the engine is not ready, if the
    /// attempt must not be resent, or if no connection is available.
    pub(super) fn assign_connection(&mut self, attempt_slot: Slot, context: &mut Context) {
        let Some(attempt) = self.attempts.get_mut(attempt_slot) else { return };
        attempt.call_offset = None;
        let engine_id = attempt.engine;
        let request_name = attempt.request_name.clone();
        let excluded = attempt.excluded_connections.clone();
        if attempt.resend_disabled || !self.is_ready(engine_id) {
            return self.end(attempt_slot, AttemptOutcome::NotSent, None, context);
        }
        match self.select_connection(engine_id, &request_name, &excluded, context) {
            Some(connection) => self.enqueue_call(attempt_slot, connection, context),
            // The router has reached its limit of connections. The outcome must not count as a failure of the engine.
            None => self.end(attempt_slot, AttemptOutcome::NotSent, None, context),
        }
    }

    /// Keeps an attempt from being moved to another connection, because its client may have disconnected. Ends the
    /// attempt if no byte of its call was written.
    pub fn disable_resend(&mut self, attempt_slot: Slot, context: &mut Context) {
        self.retract_unsent_call(attempt_slot);
        let Some(attempt) = self.attempts.get_mut(attempt_slot) else { return };
        attempt.resend_disabled = true;
        if attempt.call_offset.is_none() {
            self.end(attempt_slot, AttemptOutcome::NotSent, None, context);
        }
    }

    /// Removes a call from the front of its connection's output if no byte of the call was written. Returns whether
    /// the call was removed.
    pub(super) fn retract_unsent_call(&mut self, attempt_slot: Slot) -> bool {
        let Some(attempt) = self.attempts.get_mut(attempt_slot) else { return false };
        let connection = attempt.connection.and_then(|connection| self.connections.get_mut(connection));
        let Some(connection) = connection else { return false };
        let Some(call) = &attempt.call else { return false };
        let is_unsent = attempt.call_offset == Some(connection.output.front_offset());
        if is_unsent {
            connection.output.remove_unsent(call.encoded_bytes);
            connection.call_in_output = None;
            attempt.call_offset = None;
        }
        is_unsent
    }

    /// Changes the priority of an attempt. The message with the new priority is sent after the attempt's call.
    pub fn update_priority(&mut self, attempt_slot: Slot, priority: u8, context: &mut Context) {
        let Some(attempt) =
            self.attempts.get_mut(attempt_slot).filter(|attempt| !attempt.is_cancellation_pending())
        else {
            return;
        };
        let bytes = EngineCommand::Priority { id: &attempt.request_name, priority }.encode();
        match &mut attempt.call {
            Some(call) if attempt.call_offset.is_none() => call.followed_by.extend(bytes),
            _ => self.append_message(attempt_slot, &bytes, context),
        }
    }

    /// Cancels an attempt whose request is not sent again.
    pub fn cancel(&mut self, attempt_slot: Slot, context: &mut Context) {
        self.abandon(attempt_slot, AttemptOutcome::Cancelled, AttemptOutcome::NotSent, context);
    }

    /// Cancels an attempt whose request may be sent again.
    ///
    /// If hedged requests are not allowed, two attempts must not run at once. The cancellation and the next call may be
    /// sent on different connections, and may arrive in either order. Therefore an attempt without a result, whose call
    /// was written at least in part, stays in flight until the engine has answered a ping that was sent after the
    /// cancellation. It also ends with a final reply, when the connection is closed, or at the attempt's deadline.
    pub fn cancel_before_resend(&mut self, attempt_slot: Slot, context: &mut Context) {
        self.retract_unsent_call(attempt_slot);
        let Some(attempt) =
            self.attempts.get_mut(attempt_slot).filter(|attempt| !attempt.is_cancellation_pending())
        else {
            return;
        };
        let needs_acknowledgement =
            attempt.call_offset.is_some() && attempt.result.is_none() && !self.allows_concurrent_attempts;
        let Some(connection) = attempt.connection.filter(|_| needs_acknowledgement) else {
            return self.cancel(attempt_slot, context);
        };
        attempt.cancelled_at = Some(context.now());
        let cancel = EngineCommand::Cancel { id: &attempt.request_name }.encode();
        let ping = EngineCommand::Ping { id: &attempt.request_name }.encode();
        context.counters.count("attempts_cancelled_before_retry");
        self.append_message(attempt_slot, &[cancel, ping].concat(), context);
        self.schedule_check(connection, context.now() + self.connect_timeout, context);
    }

    /// Ends an attempt whose call was not written completely before a condition of the scheduler's decision lapsed. The
    /// client thus gets its answer at once, and not only when the connection accepts the call or is given up.
    pub fn call_expired(&mut self, attempt_slot: Slot, context: &mut Context) {
        let limits = self.attempts.get(attempt_slot).map(Attempt::send_limits);
        let Some(condition) = limits.and_then(|limits| limits.lapsed_at(context.now())) else { return };
        self.retract_unsent_call(attempt_slot);
        let Some(attempt) = self.attempts.get(attempt_slot) else { return };
        match attempt.connection {
            Some(connection) if !attempt.is_unsent() => {
                self.close_if_partial_call_lapsed(connection, context);
            }
            _ => self.refuse_call(attempt_slot, CallRefusal::Lapsed(condition), context),
        }
    }

    /// Times out an attempt whose deadline has passed. The caller reads the attempt's connection first, so that a
    /// result that arrived in time counts.
    pub fn attempt_overdue(&mut self, attempt_slot: Slot, context: &mut Context) {
        if self.attempts.get(attempt_slot).is_some_and(|attempt| attempt.deadline <= context.now()) {
            self.abandon(attempt_slot, AttemptOutcome::TimedOut, AttemptOutcome::Unreachable, context);
        }
    }

    /// Ends an attempt with `outcome`, and cancels it at its engine. If no byte of the call was written, the attempt
    /// never ran, and ends with `unsent_outcome`.
    fn abandon(
        &mut self,
        attempt_slot: Slot,
        outcome: AttemptOutcome,
        unsent_outcome: AttemptOutcome,
        context: &mut Context,
    ) {
        self.limit_abandoned_call(attempt_slot, context.now());
        if self.attempts.get(attempt_slot).is_some_and(Attempt::is_cancellation_pending) {
            return self.end(attempt_slot, outcome, None, context);
        }
        self.retract_unsent_call(attempt_slot);
        let Some(attempt) = self.attempts.get(attempt_slot) else { return };
        if attempt.call_offset.is_none() {
            return self.end(attempt_slot, unsent_outcome, None, context);
        }
        let id = attempt.request_name.as_str();
        let command = match attempt.result {
            Some(_) => EngineCommand::Discard { id },
            None => EngineCommand::Cancel { id },
        };
        let bytes = command.encode();
        self.append_message(attempt_slot, &bytes, context);
        self.end(attempt_slot, outcome, None, context);
    }

    /// Ends an attempt without a complete result.
    pub(super) fn end(
        &mut self,
        attempt_slot: Slot,
        outcome: AttemptOutcome,
        load_report: Option<LoadReport>,
        context: &mut Context,
    ) {
        self.end_with_body(attempt_slot, outcome, None, load_report, context);
    }

    /// Ends an attempt and queues the event for the scheduler. `body` is the complete result of a successful attempt.
    pub(super) fn end_with_body(
        &mut self,
        attempt_slot: Slot,
        outcome: AttemptOutcome,
        body: Option<Vec<u8>>,
        load_report: Option<LoadReport>,
        context: &mut Context,
    ) {
        let Some(attempt) = self.attempts.remove(attempt_slot) else { return };
        context.timers.clear(attempt.deadline, Timer::AttemptDeadline(attempt_slot));
        if let Some(key_window_end) = attempt.key_window_end {
            context.timers.clear(key_window_end, Timer::CallExpiry(attempt_slot));
        }
        context.counters.count(outcome_counter(outcome));
        self.release_connection(attempt_slot, &attempt, context);
        let late_connection = late_connection(&attempt, outcome);
        let pages = attempt.result.as_ref().map_or(0, ResultPages::page_count);
        self.result_bytes.release(attempt.result.as_ref().map_or(0, ResultPages::bytes));
        let (usage, reported_with_result) =
            attempt.result.map_or((None, None), |result| (result.usage, result.load_report));
        let ended = AttemptEnded {
            request: attempt.request,
            attempt: attempt.number,
            engine: attempt.engine,
            outcome,
            elapsed: context.now().saturating_sub(attempt.sent_at),
            usage: usage.filter(|_| outcome == AttemptOutcome::Succeeded),
            load_report: load_report.or(reported_with_result),
            request_done: false,
        };
        log_end(&ended, pages, body.as_ref().map_or(0, Vec::len));
        self.events.push_back(PoolEvent::Ended { ended, body, late_connection });
    }

    /// Removes an attempt from its connection. Starts the idle timeout of a connection without further attempts.
    fn release_connection(&mut self, attempt_slot: Slot, attempt: &Attempt, context: &mut Context) {
        let Some(connection_slot) = attempt.connection else { return };
        let Some(connection) = self.connections.get_mut(connection_slot) else { return };
        connection.attempts.remove(&attempt.request_name);
        connection.waiting_attempts.retain(|waiting| *waiting != attempt_slot);
        if connection.attempts.is_empty() {
            let idle_due = context.now() + self.idle_close.mul_f64(IDLE_TIMEOUT_FRACTION);
            connection.idle_due = Some(idle_due);
            context.timers.set(idle_due, Timer::ConnectionIdleTimeout(connection_slot));
        }
    }
}

/// Returns the connection on which the engine may still reply to an attempt that has ended with `outcome`.
fn late_connection(attempt: &Attempt, outcome: AttemptOutcome) -> Option<Slot> {
    let was_abandoned = matches!(outcome, AttemptOutcome::Cancelled | AttemptOutcome::TimedOut);
    // An attempt with a pending cancellation usually ends when its engine acknowledges the cancellation. The engine
    // sends no further reply after that.
    attempt.connection.filter(|_| was_abandoned && !attempt.is_cancellation_pending())
}

/// Logs the end of an attempt, with the pages that its engine announced and the bytes of its complete result.
fn log_end(ended: &AttemptEnded, pages: usize, result_bytes: usize) {
    log::debug!(
        "attempt ended: request={} attempt={} engine={} outcome={:?} elapsed={:?} usage={:?} load={:?} \
         pages={pages} result_bytes={result_bytes}",
        ended.request,
        ended.attempt,
        ended.engine,
        ended.outcome,
        ended.elapsed,
        ended.usage,
        ended.load_report
    );
}

/// Returns the name of the counter of attempts that ended with `outcome`.
fn outcome_counter(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Succeeded => "attempts_succeeded",
        AttemptOutcome::Failed => "attempts_failed",
        AttemptOutcome::Overloaded => "attempts_overloaded",
        AttemptOutcome::TimedOut => "attempts_timed_out",
        AttemptOutcome::Unreachable => "attempts_unreachable",
        AttemptOutcome::Broken => "attempts_broken",
        AttemptOutcome::Cancelled => "attempts_cancelled",
        AttemptOutcome::NotSent => "attempts_not_sent",
        AttemptOutcome::Lapsed(_) => "attempts_lapsed",
    }
}
