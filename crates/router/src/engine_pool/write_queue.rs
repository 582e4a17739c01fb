//! What is written to connections, and when: a call joins a connection's output only once all before it has left, so
//! that a call that waits can still be retracted.

use super::EnginePool;
use super::connection::Connection;
use crate::context::Context;
use crate::gate::{self, CallFacts, CallRefusal};
use crate::slots::Slot;
use crate::timers::Timer;
use emberflow::{AttemptOutcome, RequestId};
use std::io::{self, Write};
use std::time::Duration;

impl EnginePool {
    /// Adds an attempt to a connection; its call waits there until it can be written.
    pub(super) fn enqueue_call(&mut self, attempt_slot: Slot, slot: Slot, context: &mut Context) {
        let Some(attempt) = self.attempts.get_mut(attempt_slot) else { return };
        let Some(connection) = self.connections.get_mut(slot) else { return };
        attempt.connection = Some(slot);
        connection.attempts.insert(attempt.id.clone(), attempt_slot);
        if let Some(due) = connection.idle_due.take() {
            context.timers.clear(due, Timer::ConnectionIdle(slot));
        }
        connection.waiting.push(attempt_slot);
        // The machine behind a silent connection may be gone: it has to answer before the connection is used.
        let is_silent = context.now() > connection.last_reply_at + self.connect_timeout;
        if connection.accepts_calls() && is_silent {
            self.send_ping(slot, context);
        }
        self.schedule_writes(slot, context);
    }

    /// Starts the next waiting call, if the connection accepts one, and has the connection's output written.
    pub(super) fn schedule_writes(&mut self, slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let is_call_due = connection.accepts_calls() && !connection.waiting.is_empty();
        if is_call_due && connection.check_due.is_none() {
            self.schedule_check(slot, context.now() + self.connect_timeout * 2, context);
        }
        let has_output = |connection: &Connection| {
            is_call_due || connection.is_established() && !connection.output.is_empty()
        };
        if self.connections.get(slot).is_some_and(has_output) {
            self.pending_writes.push(slot);
        }
    }

    /// Requests whose calls are written next on a connection.
    pub fn requests_of_unwritten_calls(&self, slot: Slot) -> Vec<RequestId> {
        let Some(connection) = self.connections.get(slot) else { return Vec::new() };
        let attempts = connection.attempts.values().filter_map(|attempt| self.attempts.get(*attempt));
        attempts.filter(|attempt| attempt.call.is_some()).map(|attempt| attempt.request).collect()
    }

    /// Moves the next waiting call that may be written into a connection's output, once all before it has been
    /// written. Returns whether it did.
    fn start_next_call(&mut self, slot: Slot, context: &mut Context) -> bool {
        loop {
            let Some(connection) = self.connections.get_mut(slot) else { return false };
            if !connection.accepts_calls() || !connection.output.is_empty() || connection.waiting.is_empty() {
                return false;
            }
            let next = connection.waiting.remove(0);
            match self.may_send(next, context.now()) {
                Ok(()) => {
                    self.encode_call(next, slot, context.now());
                    return true;
                }
                Err(refusal) => self.refuse_call(next, refusal, context),
            }
        }
    }

    /// Asks the gate about an attempt's call.
    fn may_send(&self, slot: Slot, now: Duration) -> Result<(), CallRefusal> {
        let Some(attempt) = self.attempts.get(slot) else { return Err(CallRefusal::Cancelled) };
        gate::may_send(&CallFacts {
            is_engine_ready: self.engines.get(&attempt.engine).is_some_and(|engine| engine.ready),
            may_client_have_left: attempt.resend_disabled,
            is_cancelled: attempt.is_cancelled(),
            time_left: attempt.deadline.saturating_sub(now),
        })
    }

    /// Ends an attempt whose call may not be written any more: it never ran.
    fn refuse_call(&mut self, slot: Slot, refusal: CallRefusal, context: &mut Context) {
        if let Some(attempt) = self.attempts.get(slot) {
            refusal.record(attempt.request, attempt.number, &mut context.counters);
            self.end(slot, AttemptOutcome::NotSent, None, context);
        }
    }

    /// Adds an attempt's call to its connection's output, with the time that is left now.
    fn encode_call(&mut self, attempt_slot: Slot, slot: Slot, now: Duration) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let Some(attempt) = self.attempts.get_mut(attempt_slot) else { return };
        let Some(call) = &mut attempt.call else { return };
        let bytes = call.encode(&attempt.id, attempt.deadline.saturating_sub(now));
        call.encoded_bytes = bytes.len();
        attempt.call_offset = Some(connection.output.end());
        connection.output.push(&bytes);
        log::debug!(
            "call queued: request={} attempt={} connection={slot:?} engine={}",
            attempt.request,
            attempt.number,
            attempt.engine
        );
    }

    /// Takes a call of which no byte was written out of a connection's output, to be encoded anew. Only the front
    /// of the output can be one.
    fn requeue_unwritten_call(&mut self, slot: Slot) {
        let Some(connection) = self.connections.get(slot) else { return };
        let mut carried = connection.attempts.values().copied().collect::<Vec<_>>().into_iter();
        if let Some(attempt) = carried.find(|attempt| self.retract_unsent_call(*attempt))
            && let Some(connection) = self.connections.get_mut(slot)
        {
            connection.waiting.insert(0, attempt);
        }
    }

    /// Writes a connection's output and the calls that wait for it, until the socket accepts no more.
    pub fn drain(&mut self, slot: Slot, to: &mut impl Write, context: &mut Context) -> io::Result<()> {
        self.requeue_unwritten_call(slot);
        loop {
            let connection = self.connections.get_mut(slot);
            let Some(connection) = connection.filter(|connection| connection.is_established()) else {
                return Ok(());
            };
            connection.output.drain(to)?;
            if !connection.output.is_empty() {
                return Ok(());
            }
            // A call that was written is sent on no other connection.
            for slot in connection.attempts.values() {
                let attempt = self.attempts.get_mut(*slot);
                if let Some(attempt) = attempt.filter(|attempt| attempt.call_offset.is_some()) {
                    attempt.call = None;
                }
            }
            if !self.start_next_call(slot, context) {
                return Ok(());
            }
        }
    }

    /// Adds a message to the output of an attempt's connection.
    pub(super) fn write(&mut self, attempt: Slot, bytes: &[u8], context: &mut Context) {
        let Some(slot) = self.attempts.get(attempt).and_then(|attempt| attempt.connection) else { return };
        if let Some(connection) = self.connections.get_mut(slot) {
            connection.output.push(bytes);
            self.schedule_writes(slot, context);
        }
    }
}
