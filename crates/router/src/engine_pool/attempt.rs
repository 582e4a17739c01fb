//! Attempts: sending, cancelling and ending them.

use super::connection::IDLE_SHARE;
use super::messages::{EngineCommand, RunCommand};
use super::result_pages::ResultPages;
use super::{EnginePool, PoolEvent};
use crate::context::Context;
use crate::slots::Slot;
use crate::timers::Timer;
use emberflow::{AttemptEnded, AttemptOutcome, EngineId, LoadReport, RequestId};
use std::time::Duration;

/// An attempt to be sent. The request's id, class, idempotency key and statement are forwarded unchanged.
pub struct Call<'a> {
    pub request: RequestId,
    /// The attempt's number within its request, from 0.
    pub number: usize,
    pub id: &'a str,
    pub class: &'a str,
    pub idempotency_key: Option<&'a str>,
    pub statement: &'a [u8],
    /// The memory granted to the attempt; below 1 MB none is named.
    pub grant_mb: f64,
    pub priority: u8,
    /// When the attempt is abandoned.
    pub deadline: Duration,
}

/// A call that was not written yet. It is encoded right before, since it names the time that is left.
#[derive(Clone)]
pub(super) struct UnwrittenCall {
    class: String,
    idempotency_key: Option<String>,
    statement: Vec<u8>,
    grant_mb: f64,
    priority: u8,
    /// Encoded messages that follow it.
    followed_by: Vec<u8>,
    /// Bytes of its encoding, once it is part of its connection's output.
    pub encoded_bytes: usize,
}

impl UnwrittenCall {
    fn new(call: &Call<'_>) -> Self {
        Self {
            class: call.class.to_owned(),
            idempotency_key: call.idempotency_key.map(str::to_owned),
            statement: call.statement.to_vec(),
            grant_mb: call.grant_mb,
            priority: call.priority,
            followed_by: Vec::new(),
            encoded_bytes: 0,
        }
    }

    /// Encodes the call and the messages that follow it; `time_left` is the time until the attempt's deadline.
    pub fn encode(&self, id: &str, time_left: Duration) -> Vec<u8> {
        let run = EngineCommand::Run(RunCommand {
            id,
            class: &self.class,
            time_left,
            idempotency_key: self.idempotency_key.as_deref(),
            grant_mb: self.grant_mb,
            priority: self.priority,
            statement: &self.statement,
        });
        let mut bytes = run.encode();
        bytes.extend(&self.followed_by);
        bytes
    }
}

/// An attempt in flight.
#[derive(Clone)]
pub(super) struct Attempt {
    pub request: RequestId,
    pub number: usize,
    pub engine: EngineId,
    pub connection: Option<Slot>,
    /// The id of its request.
    pub id: String,
    /// Its call; `None` once that has been written.
    pub call: Option<UnwrittenCall>,
    pub sent_at: Duration,
    pub deadline: Duration,
    /// Where its call begins in all output of its connection, once it is part of that.
    pub call_offset: Option<u64>,
    /// Connections that may still bring a reply to an earlier attempt of its request.
    pub excluded_connections: Vec<Slot>,
    /// It was moved from a connection that closed before its call was written; it is moved once at most.
    pub reassigned: bool,
    /// Its client may be gone: it is moved to no other connection.
    pub resend_disabled: bool,
    /// When it was cancelled, if its engine has not acknowledged that yet.
    pub cancelled_at: Option<Duration>,
    pub result: Option<ResultPages>,
}

impl Attempt {
    /// Whether it was cancelled and waits for its engine's acknowledgement.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled_at.is_some()
    }
}

impl EnginePool {
    /// Sends an attempt, on a connection that owes no reply to an earlier attempt of the request: replies name
    /// the request alone.
    pub fn send(
        &mut self,
        engine: EngineId,
        call: Call<'_>,
        excluded_connections: &[Slot],
        context: &mut Context,
    ) -> Slot {
        let now = context.now();
        let attempt = self.attempts.insert(Attempt {
            request: call.request,
            number: call.number,
            engine,
            connection: None,
            id: call.id.to_owned(),
            call: Some(UnwrittenCall::new(&call)),
            sent_at: now,
            deadline: call.deadline,
            call_offset: None,
            excluded_connections: excluded_connections.to_vec(),
            reassigned: false,
            resend_disabled: false,
            cancelled_at: None,
            result: None,
        });
        context.timers.set(call.deadline, Timer::Attempt(attempt));
        context.counters.count("attempts_sent");
        self.assign_connection(attempt, context);
        attempt
    }

    /// Queues an attempt's call on a connection to its engine; ends the attempt if that is draining or has none.
    pub(super) fn assign_connection(&mut self, slot: Slot, context: &mut Context) {
        let Some(attempt) = self.attempts.get_mut(slot) else { return };
        attempt.call_offset = None;
        let engine = attempt.engine;
        let id = attempt.id.clone();
        let excluded = attempt.excluded_connections.clone();
        if attempt.resend_disabled || !self.engines.get(&engine).is_some_and(|known| known.ready) {
            return self.end(slot, AttemptOutcome::NotSent, None, context);
        }
        match self.select_connection(engine, &id, &excluded, context) {
            Some(connection) => self.enqueue_call(slot, connection, context),
            // The router's own limit says nothing of the engine.
            None => self.end(slot, AttemptOutcome::NotSent, None, context),
        }
    }

    /// For an attempt whose client may be gone: ends it if no byte of its call was written, and otherwise keeps it from
    /// being moved to another connection.
    pub fn disable_resend(&mut self, slot: Slot, context: &mut Context) {
        self.retract_unsent_call(slot);
        let Some(attempt) = self.attempts.get_mut(slot) else { return };
        attempt.resend_disabled = true;
        if attempt.call_offset.is_none() {
            self.end(slot, AttemptOutcome::NotSent, None, context);
        }
    }

    /// Removes a call from the front of its connection's output if no byte of it was written. Returns whether it did.
    pub(super) fn retract_unsent_call(&mut self, slot: Slot) -> bool {
        let Some(attempt) = self.attempts.get_mut(slot) else { return false };
        let connection = attempt.connection.and_then(|connection| self.connections.get_mut(connection));
        let Some(connection) = connection else { return false };
        let Some(call) = &attempt.call else { return false };
        let is_unsent = attempt.call_offset == Some(connection.output.passed());
        if is_unsent {
            connection.output.cut(call.encoded_bytes);
            attempt.call_offset = None;
        }
        is_unsent
    }

    /// Changes an attempt's priority, by a message behind its call.
    pub fn update_priority(&mut self, slot: Slot, priority: u8, context: &mut Context) {
        let Some(attempt) = self.attempts.get_mut(slot).filter(|attempt| !attempt.is_cancelled()) else {
            return;
        };
        let bytes = EngineCommand::Priority { id: &attempt.id, priority }.encode();
        match &mut attempt.call {
            Some(call) if attempt.call_offset.is_none() => call.followed_by.extend(bytes),
            _ => self.write(slot, &bytes, context),
        }
    }

    /// Cancels an attempt whose request gets no further one.
    pub fn cancel(&mut self, attempt: Slot, context: &mut Context) {
        self.abandon(attempt, AttemptOutcome::Cancelled, AttemptOutcome::NotSent, context);
    }

    /// Cancels an attempt whose request may be sent again. Where hedged requests are not allowed, two attempts must
    /// not run at once, but the cancellation and the next call go over different connections and may arrive in either
    /// order. So the attempt ends only once its engine has answered a ping behind the cancellation, or once the
    /// connection is closed.
    pub fn cancel_before_resend(&mut self, slot: Slot, context: &mut Context) {
        self.retract_unsent_call(slot);
        let Some(attempt) = self.attempts.get_mut(slot).filter(|attempt| !attempt.is_cancelled()) else {
            return;
        };
        let needs_acknowledgement =
            attempt.call_offset.is_some() && attempt.result.is_none() && !self.may_duplicate;
        let Some(connection) = attempt.connection.filter(|_| needs_acknowledgement) else {
            return self.cancel(slot, context);
        };
        attempt.cancelled_at = Some(context.now());
        let cancel = EngineCommand::Cancel { id: &attempt.id }.encode();
        let ping = EngineCommand::Ping { id: &attempt.id }.encode();
        context.counters.count("attempts_cancelled_before_retry");
        self.write(slot, &[cancel, ping].concat(), context);
        self.schedule_check(connection, context.now() + self.connect_timeout, context);
    }

    /// Abandons an attempt whose deadline has passed. The caller has read its connection before.
    pub fn attempt_overdue(&mut self, slot: Slot, context: &mut Context) {
        if self.attempts.get(slot).is_some_and(|attempt| attempt.deadline <= context.now()) {
            self.abandon(slot, AttemptOutcome::TimedOut, AttemptOutcome::Unreachable, context);
        }
    }

    /// Ends an attempt, at its engine too. Without a byte of its call written it never ran, and ends as `unsent`.
    fn abandon(
        &mut self,
        slot: Slot,
        outcome: AttemptOutcome,
        unsent: AttemptOutcome,
        context: &mut Context,
    ) {
        if self.attempts.get(slot).is_some_and(Attempt::is_cancelled) {
            return self.end(slot, outcome, None, context);
        }
        self.retract_unsent_call(slot);
        let Some(attempt) = self.attempts.get(slot) else { return };
        if attempt.call_offset.is_none() {
            return self.end(slot, unsent, None, context);
        }
        let id = attempt.id.as_str();
        let command = match attempt.result {
            Some(_) => EngineCommand::Discard { id },
            None => EngineCommand::Cancel { id },
        };
        let bytes = command.encode();
        self.write(slot, &bytes, context);
        self.end(slot, outcome, None, context);
    }

    /// Ends an attempt without a result.
    pub(super) fn end(
        &mut self,
        slot: Slot,
        outcome: AttemptOutcome,
        load_report: Option<LoadReport>,
        context: &mut Context,
    ) {
        self.finish(slot, outcome, None, load_report, context);
    }

    /// Ends an attempt and notifies the scheduler.
    pub(super) fn finish(
        &mut self,
        slot: Slot,
        outcome: AttemptOutcome,
        body: Option<Vec<u8>>,
        load_report: Option<LoadReport>,
        context: &mut Context,
    ) {
        let Some(attempt) = self.attempts.take(slot) else { return };
        context.timers.clear(attempt.deadline, Timer::Attempt(slot));
        context.counters.count(counter_of(outcome));
        self.release_connection(slot, &attempt, context);
        let was_cancelled = attempt.is_cancelled();
        let (usage, reported) =
            attempt.result.map_or((None, None), |result| (result.usage, result.load_report));
        let ended = AttemptEnded {
            request: attempt.request,
            attempt: attempt.number,
            engine: attempt.engine,
            outcome,
            elapsed: context.now().saturating_sub(attempt.sent_at),
            usage: usage.filter(|_| outcome == AttemptOutcome::Succeeded),
            load_report: load_report.or(reported),
            request_done: false,
        };
        log::debug!(
            "attempt ended: request={} attempt={} engine={} outcome={outcome:?} elapsed={:?} usage={:?} load={:?}",
            ended.request,
            ended.attempt,
            ended.engine,
            ended.elapsed,
            ended.usage,
            ended.load_report
        );
        let was_abandoned =
            matches!(outcome, AttemptOutcome::Cancelled | AttemptOutcome::TimedOut) && !was_cancelled;
        let late_connection = attempt.connection.filter(|_| was_abandoned);
        self.events.push_back(PoolEvent::Ended { ended, body, late_connection });
    }

    /// Takes an attempt off its connection, which is idle from now on if it carries no other.
    fn release_connection(&mut self, slot: Slot, attempt: &Attempt, context: &mut Context) {
        let Some(connection_slot) = attempt.connection else { return };
        let Some(connection) = self.connections.get_mut(connection_slot) else { return };
        connection.attempts.remove(&attempt.id);
        connection.waiting.retain(|waiting| *waiting != slot);
        if connection.attempts.is_empty() {
            let idle_due = context.now() + self.idle_close.mul_f64(IDLE_SHARE);
            connection.idle_due = Some(idle_due);
            context.timers.set(idle_due, Timer::ConnectionIdle(connection_slot));
        }
    }
}

fn counter_of(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Succeeded => "attempts_succeeded",
        AttemptOutcome::Failed => "attempts_failed",
        AttemptOutcome::Overloaded => "attempts_overloaded",
        AttemptOutcome::TimedOut => "attempts_timed_out",
        AttemptOutcome::Unreachable => "attempts_unreachable",
        AttemptOutcome::Broken => "attempts_broken",
        AttemptOutcome::Cancelled => "attempts_cancelled",
        AttemptOutcome::NotSent => "attempts_not_sent",
    }
}
