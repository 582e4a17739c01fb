//! Dials, selects and closes connections to engines.

use super::connection::{Connection, ConnectionState, Reachability};
use super::{EnginePool, PoolCommand};
use crate::context::Context;
use crate::slots::Slot;
use crate::timers::Timer;
use emberflow::{AttemptOutcome, EngineId};
use std::cmp::Reverse;

/// Lower bound of the limit of connections to one engine, which otherwise falls with the number of engines.
const MIN_CONNECTIONS_PER_ENGINE: usize = 4;

impl EnginePool {
    /// Selects a connection for an attempt: an idle one if there is any, otherwise a new one within the connection
    /// limits of the engine and of the router, otherwise the one with the fewest attempts. Attempts are spread over
    /// connections, because the loss of a connection ends all attempts on it. Returns `None` if no connection can carry
    /// the attempt and the router has reached its limit of connections.
    pub(super) fn select_connection(
        &mut self,
        engine_id: EngineId,
        request_name: &str,
        excluded: &[Slot],
        context: &mut Context,
    ) -> Option<Slot> {
        let engine_connection_count = self.engines.get(&engine_id)?.connections.len();
        let max_engine_connections =
            (self.max_connections / self.engines.len()).max(MIN_CONNECTIONS_PER_ENGINE);
        let is_pool_full = self.connections.len() >= self.max_connections;
        if let Some((slot, connection)) = self.least_loaded_connection(engine_id, request_name, excluded)
            && (connection.attempts.is_empty()
                || is_pool_full
                || engine_connection_count >= max_engine_connections)
        {
            return Some(slot);
        }
        if is_pool_full && !self.close_longest_idle(context) {
            context.counters.count("connections_over_the_limit");
            return None;
        }
        self.dial(engine_id, context)
    }

    /// Returns the connection with the fewest attempts among those of an engine that can carry an attempt of the request
    /// `request_name`.
    fn least_loaded_connection(
        &self,
        engine_id: EngineId,
        request_name: &str,
        excluded: &[Slot],
    ) -> Option<(Slot, &Connection)> {
        let slots = &self.engines.get(&engine_id)?.connections;
        let open = slots.iter().filter_map(|slot| Some((*slot, self.connections.get(*slot)?)));
        let usable =
            open.filter(|(slot, connection)| self.can_carry(*slot, connection, request_name, excluded));
        usable.min_by_key(|(_, connection)| {
            // Among equally loaded connections, the most recently active one is the least likely to need a health
            // check, and the others can reach their idle timeout.
            let most_recent = Reverse(connection.last_reply_at);
            (connection.attempts.len(), !connection.is_established(), most_recent)
        })
    }

    /// Whether a connection can carry an attempt of the request `request_name` in addition to its present attempts.
    fn can_carry(&self, slot: Slot, connection: &Connection, request_name: &str, excluded: &[Slot]) -> bool {
        let is_unused_by_request =
            !excluded.contains(&slot) && !connection.attempts.contains_key(request_name);
        is_unused_by_request && connection.attempts.len() < self.attempts_per_connection
    }

    /// Closes the connection that has been idle longest, so that another engine can have a connection within the
    /// router's limit. Returns whether there was an idle connection.
    fn close_longest_idle(&mut self, context: &mut Context) -> bool {
        let idle = self.connections.iter().filter(|(_, connection)| connection.attempts.is_empty());
        let Some((slot, _)) = idle.min_by_key(|(_, connection)| connection.last_reply_at) else {
            return false;
        };
        context.counters.count("connections_closed_for_capacity");
        self.close_connection(
            slot,
            "idle, closed to connect to another engine",
            Reachability::Reachable,
            context,
        );
        true
    }

    fn dial(&mut self, engine_id: EngineId, context: &mut Context) -> Option<Slot> {
        let engine = self.engines.get_mut(&engine_id)?;
        let now = context.now();
        let check_due = now + self.connect_timeout;
        context.counters.count("connections_dialled");
        let slot = self.connections.insert(Connection::new(engine_id, now, check_due));
        context.timers.set(check_due, Timer::ConnectionCheck(slot));
        self.commands.push_back(PoolCommand::Dial(slot, engine.address));
        engine.connections.push(slot);
        Some(slot)
    }

    /// Whether a connection is established; `None` if it has been closed.
    pub fn is_established(&self, slot: Slot) -> Option<bool> {
        self.connections.get(slot).map(Connection::is_established)
    }

    /// Marks a dialled connection as established.
    pub fn connection_established(&mut self, slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        if connection.state == ConnectionState::Connecting {
            connection.state = ConnectionState::Established;
        }
        connection.last_reply_at = context.now();
        log::debug!(
            "connection established: engine={} connection={slot:?} elapsed={:?}",
            connection.engine,
            connection.last_reply_at - connection.dialed_at
        );
        if let Some(due) = connection.check_due.take() {
            context.timers.clear(due, Timer::ConnectionCheck(slot));
        }
        self.schedule_writes(slot, context);
    }

    /// Removes a connection that could not be dialled.
    pub fn dial_failed(
        &mut self,
        slot: Slot,
        reachability: Reachability,
        reason: &str,
        context: &mut Context,
    ) {
        if reachability == Reachability::Unreachable {
            context.counters.count("connections_refused");
        }
        self.close_connection(slot, reason, reachability, context);
    }

    /// Closes a connection if its idle timeout has expired.
    pub fn connection_idle(&mut self, slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get(slot) else { return };
        let is_due = connection.idle_due.is_some_and(|due| due <= context.now());
        if connection.attempts.is_empty() && is_due {
            self.close_connection(slot, "idle timeout expired", Reachability::Reachable, context);
        }
    }

    /// Closes a connection, and ends or moves the attempts on it. A reachable engine may reset a new or an idle
    /// connection without being at fault, so an unwritten call moves to another connection, once.
    pub fn close_connection(
        &mut self,
        slot: Slot,
        reason: &str,
        reachability: Reachability,
        context: &mut Context,
    ) {
        let Some(connection) = self.connections.remove(slot) else { return };
        self.commands.push_back(PoolCommand::Close(slot));
        log::debug!(
            "connection closed: engine={} connection={slot:?} attempts={} reason=\"{reason}\"",
            connection.engine,
            connection.attempts.len()
        );
        if let Some(engine) = self.engines.get_mut(&connection.engine) {
            engine.connections.retain(|other| *other != slot);
        }
        connection.clear_timers(slot, context);
        if reachability == Reachability::Reachable && !connection.attempts.is_empty() {
            context.counters.count("connections_lost");
        }
        let written = connection.output.front_offset();
        for attempt in connection.attempts.into_values() {
            self.reassign_or_end_attempt(attempt, written, reachability, context);
        }
    }

    /// Ends or moves an attempt whose connection was closed after `written` bytes of its output were written.
    fn reassign_or_end_attempt(
        &mut self,
        slot: Slot,
        written: u64,
        reachability: Reachability,
        context: &mut Context,
    ) {
        let Some(attempt) = self.attempts.get_mut(slot) else { return };
        attempt.connection = None;
        if attempt.is_cancellation_pending() {
            return self.end(slot, AttemptOutcome::Cancelled, None, context);
        }
        if attempt.write_has_begun(written) {
            return self.end(slot, AttemptOutcome::Broken, None, context);
        }
        if reachability == Reachability::Unreachable || attempt.reassigned {
            return self.end(slot, AttemptOutcome::Unreachable, None, context);
        }
        attempt.reassigned = true;
        self.assign_connection(slot, context);
    }
}
