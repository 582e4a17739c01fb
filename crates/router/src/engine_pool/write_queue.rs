//! Writes calls and other messages to connections. A call becomes part of a connection's output only after all earlier
//! output was written, so that a waiting call can still be retracted.

use super::connection::{CallInOutput, Connection, Reachability};
use super::{EnginePool, PoolEvent};
use crate::context::Context;
use crate::final_checks::{self, CallRefusal, CallState};
use crate::slots::Slot;
use crate::timers::Timer;
use emberflow::RequestId;
use std::io::{self, Write};
use std::time::Duration;

/// Time after an attempt was abandoned within which the rest of its call may still be written. It is shorter than the
/// time of 100 ms after which an attempt must not begin for a client that has left.
const ABANDONED_CALL_GRACE: Duration = Duration::from_millis(50);

impl EnginePool {
    /// Assigns an attempt to a connection, where its call waits until it can be written.
    pub(super) fn enqueue_call(&mut self, attempt_slot: Slot, connection_slot: Slot, context: &mut Context) {
        let Some(attempt) = self.attempts.get_mut(attempt_slot) else { return };
        let Some(connection) = self.connections.get_mut(connection_slot) else { return };
        attempt.connection = Some(connection_slot);
        connection.attempts.insert(attempt.request_name.clone(), attempt_slot);
        if let Some(due) = connection.idle_due.take() {
            context.timers.clear(due, Timer::ConnectionIdleTimeout(connection_slot));
        }
        connection.waiting_attempts.push(attempt_slot);
        // The engine's host may have failed without closing the connection. Therefore the engine must answer a health
        // check before an inactive connection is used.
        let is_inactive = context.now() > connection.last_reply_at + self.connect_timeout;
        if connection.accepts_calls() && is_inactive {
            self.send_ping(connection_slot, context);
        }
        self.schedule_writes(connection_slot, context);
    }

    /// Registers a connection for writing if it has output or a waiting call that can be written. Schedules a check of
    /// a connection on which a call is to be written, unless one is scheduled already.
    pub(super) fn schedule_writes(&mut self, connection_slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get(connection_slot) else { return };
        let is_call_due = connection.accepts_calls() && !connection.waiting_attempts.is_empty();
        let has_writable_output = connection.is_established() && !connection.output.is_empty();
        if is_call_due && connection.check_due.is_none() {
            self.schedule_check(connection_slot, context.now() + self.inactivity_timeout(), context);
        }
        if is_call_due || has_writable_output {
            self.pending_writes.push(connection_slot);
        }
    }

    /// Returns the requests whose calls on a connection have not been written completely.
    pub fn requests_of_unwritten_calls(&self, connection_slot: Slot) -> Vec<RequestId> {
        let Some(connection) = self.connections.get(connection_slot) else { return Vec::new() };
        let attempts = connection.attempts.values().filter_map(|attempt| self.attempts.get(*attempt));
        attempts.filter(|attempt| attempt.call.is_some()).map(|attempt| attempt.request).collect()
    }

    /// Returns the attempts whose calls wait on a connection, in the order in which they are written. A call of which no
    /// byte was written waits too. Empty if no call may be written to the connection at present.
    pub fn waiting_attempts(&mut self, connection_slot: Slot) -> Vec<Slot> {
        self.requeue_unwritten_call(connection_slot);
        let connection =
            self.connections.get(connection_slot).filter(|connection| connection.accepts_calls());
        connection.map_or_else(Vec::new, |connection| connection.waiting_attempts.clone())
    }

    /// Returns the request of an attempt, and the attempt's number within it; `None` if the attempt has ended.
    pub fn request_of(&self, attempt: Slot) -> Option<(RequestId, usize)> {
        self.attempts.get(attempt).map(|attempt| (attempt.request, attempt.number))
    }

    /// Adds the next waiting call that may be written to a connection's output, if all earlier output was written.
    /// Returns whether a call was added.
    fn start_next_call(&mut self, connection_slot: Slot, context: &mut Context) -> bool {
        loop {
            let Some(connection) = self.connections.get_mut(connection_slot) else { return false };
            if !connection.accepts_calls()
                || !connection.output.is_empty()
                || connection.waiting_attempts.is_empty()
            {
                return false;
            }
            let next = connection.waiting_attempts.remove(0);
            match self.may_send(next, context.now()) {
                Ok(()) => {
                    self.encode_call(next, connection_slot, context.now());
                    return true;
                }
                Err(refusal) => self.refuse_call(next, refusal, context),
            }
        }
    }

    /// Checks whether an attempt's call may be written at `now`.
    fn may_send(&self, attempt_slot: Slot, now: Duration) -> Result<(), CallRefusal> {
        let Some(attempt) = self.attempts.get(attempt_slot) else { return Err(CallRefusal::Cancelled) };
        final_checks::may_send(&CallState {
            is_engine_ready: self.is_ready(attempt.engine),
            may_client_have_left: attempt.resend_disabled,
            is_cancelled: attempt.is_cancellation_pending(),
            lapsed: attempt.send_limits().lapsed_at(now),
        })
    }

    /// Ends an attempt whose call may no longer be written. The attempt never ran. Has no effect if the attempt has ended.
    pub fn refuse_call(&mut self, attempt_slot: Slot, refusal: CallRefusal, context: &mut Context) {
        if let Some(attempt) = self.attempts.get(attempt_slot) {
            refusal.record(attempt.request, attempt.number, &mut context.counters);
            self.end(attempt_slot, refusal.outcome(), None, context);
        }
    }

    /// Adds an attempt's call to its connection's output, with the time left at `now`.
    fn encode_call(&mut self, attempt_slot: Slot, connection_slot: Slot, now: Duration) {
        let Some(connection) = self.connections.get_mut(connection_slot) else { return };
        let Some(attempt) = self.attempts.get_mut(attempt_slot) else { return };
        let limits = attempt.send_limits();
        let Some(call) = &mut attempt.call else { return };
        let bytes = call.encode(&attempt.request_name, attempt.deadline.saturating_sub(now));
        call.encoded_bytes = bytes.len();
        let start_offset = connection.output.end_offset();
        attempt.call_offset = Some(start_offset);
        connection.output.push(&bytes);
        connection.call_in_output = Some(CallInOutput {
            attempt: attempt_slot,
            start_offset,
            end_offset: connection.output.end_offset() - call.followed_by.len() as u64,
            limits,
            is_begun: false,
        });
        log::debug!(
            "call added to connection output: request={} attempt={} connection={connection_slot:?} engine={}",
            attempt.request,
            attempt.number,
            attempt.engine
        );
    }

    /// Moves a call back from a connection's output to the waiting calls if no byte of the call was written, so that
    /// the call is encoded again with the time left when it is written. Only the call at the front of the output can be
    /// such a call.
    fn requeue_unwritten_call(&mut self, connection_slot: Slot) {
        let Some(open_connection) = self.connections.get(connection_slot) else { return };
        let attempts: Vec<Slot> = open_connection.attempts.values().copied().collect();
        let retracted = attempts.into_iter().find(|attempt| self.retract_unsent_call(*attempt));
        if let Some(attempt) = retracted
            && let Some(connection) = self.connections.get_mut(connection_slot)
        {
            connection.waiting_attempts.insert(0, attempt);
        }
    }

    /// Writes a connection's output and its waiting calls until the socket accepts no more bytes.
    ///
    /// # Errors
    /// Returns the error of a socket that has failed.
    pub fn flush(
        &mut self,
        connection_slot: Slot,
        socket: &mut impl Write,
        context: &mut Context,
    ) -> io::Result<()> {
        self.requeue_unwritten_call(connection_slot);
        if self.close_if_partial_call_lapsed(connection_slot, context) {
            return Ok(());
        }
        loop {
            let connection = self.connections.get_mut(connection_slot);
            let Some(connection) = connection.filter(|connection| connection.is_established()) else {
                return Ok(());
            };
            connection.output.write_to(socket)?;
            let is_all_written = connection.output.is_empty();
            self.report_begun_call(connection_slot, context.now());
            if !is_all_written {
                return Ok(());
            }
            self.drop_written_calls(connection_slot);
            if !self.start_next_call(connection_slot, context) {
                return Ok(());
            }
        }
    }

    /// Reports the call in a connection's output to the scheduler once its first byte was written.
    fn report_begun_call(&mut self, connection_slot: Slot, now: Duration) {
        let Some(connection) = self.connections.get_mut(connection_slot) else { return };
        let written = connection.output.front_offset();
        let begun = connection.call_in_output.as_mut().filter(|call| !call.is_begun);
        let Some(call) = begun.filter(|call| written > call.start_offset) else { return };
        call.is_begun = true;
        if let Some(attempt) = self.attempts.get(call.attempt) {
            let event = PoolEvent::Written { request: attempt.request, attempt: attempt.number, at: now };
            self.events.push_back(event);
        }
    }

    /// Closes a connection with a call of which only a part was written, if the rest must not be written any more. The
    /// engine then has no complete call, so the attempt never ran. Returns whether the connection was closed.
    pub(super) fn close_if_partial_call_lapsed(
        &mut self,
        connection_slot: Slot,
        context: &mut Context,
    ) -> bool {
        let connection = self.connections.get(connection_slot);
        let Some(call) = connection.and_then(Connection::partly_written_call) else { return false };
        let Some(condition) = call.limits.lapsed_at(context.now()) else { return false };
        context.counters.count("calls_cut_off");
        log::info!("call cut off: connection={connection_slot:?} reason={condition:?}");
        self.refuse_call(call.attempt, CallRefusal::Lapsed(condition), context);
        let reason = "a call was written only in part when its limits ended";
        self.close_connection(connection_slot, reason, Reachability::Reachable, context);
        true
    }

    /// Ends the writing of an abandoned call shortly: an engine must not begin to run a call long after it was
    /// abandoned, even if a part of the call was written before.
    pub(super) fn limit_abandoned_call(&mut self, attempt_slot: Slot, now: Duration) {
        let connection_slot = self.attempts.get(attempt_slot).and_then(|attempt| attempt.connection);
        let Some(connection) = connection_slot.and_then(|slot| self.connections.get_mut(slot)) else {
            return;
        };
        let call = connection.call_in_output.as_mut();
        if let Some(call) = call.filter(|call| call.attempt == attempt_slot) {
            call.limits.timeout_at = now + ABANDONED_CALL_GRACE;
        }
    }

    /// Drops the stored copies of the calls that were written completely on a connection. A written call is never sent
    /// on another connection.
    fn drop_written_calls(&mut self, connection_slot: Slot) {
        let attempts = self
            .connections
            .get(connection_slot)
            .into_iter()
            .flat_map(|connection| connection.attempts.values());
        for attempt_slot in attempts {
            if let Some(attempt) = self.attempts.get_mut(*attempt_slot)
                && attempt.call_offset.is_some()
            {
                attempt.call = None;
            }
        }
    }

    /// Adds a message to the output of an attempt's connection.
    pub(super) fn append_message(&mut self, attempt_slot: Slot, bytes: &[u8], context: &mut Context) {
        let Some(connection_slot) = self.attempts.get(attempt_slot).and_then(|attempt| attempt.connection)
        else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(connection_slot) {
            connection.output.push(bytes);
            self.schedule_writes(connection_slot, context);
        }
    }
}
