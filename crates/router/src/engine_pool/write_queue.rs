//! What is written to connections, and when: a call joins a connection's output only once all before it has left, so
//! that a call that waits can still be retracted.

use super::EnginePool;
use super::connection::Connection;
use crate::context::Context;
use crate::slots::Slot;
use crate::timers::Timer;
use std::io::{self, Write};

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
        if connection.accepts_calls() && !connection.waiting.is_empty() {
            self.start_next_call(slot);
            if self.connections.get(slot).is_some_and(|connection| connection.check_due.is_none()) {
                self.schedule_check(slot, context.now() + self.connect_timeout * 2, context);
            }
        }
        let has_output =
            |connection: &Connection| connection.is_established() && !connection.output.is_empty();
        if self.connections.get(slot).is_some_and(has_output) {
            self.pending_writes.push(slot);
        }
    }

    /// Moves the next waiting call into a connection's output, once all before it has been written. Returns whether
    /// it did.
    fn start_next_call(&mut self, slot: Slot) -> bool {
        let Some(connection) = self.connections.get_mut(slot) else { return false };
        if !connection.accepts_calls() || !connection.output.is_empty() || connection.waiting.is_empty() {
            return false;
        }
        let next = connection.waiting.remove(0);
        if let Some(attempt) = self.attempts.get_mut(next) {
            attempt.call_offset = Some(connection.output.end());
            log::debug!(
                "call queued: request={} attempt={} connection={slot:?} engine={}",
                attempt.request,
                attempt.number,
                attempt.engine
            );
            connection.output.push(&attempt.call);
        }
        true
    }

    /// Writes a connection's output and the calls that wait for it, until the socket accepts no more.
    pub fn drain(&mut self, slot: Slot, to: &mut impl Write) -> io::Result<()> {
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
                    attempt.call = Vec::new();
                }
            }
            if !self.start_next_call(slot) {
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
