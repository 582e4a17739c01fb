//! Connections to engines: dialling, selecting and closing them.

use super::attempt::Attempt;
use super::endpoints::Engine;
use super::{EnginePool, PoolCommand};
use crate::context::Context;
use crate::ring::Ring;
use crate::slots::Slot;
use crate::timers::Timer;
use emberflow::{AttemptOutcome, EngineId};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

/// The share of an engine's idle time after which the router closes an idle connection itself.
pub(super) const IDLE_SHARE: f64 = 0.8;

/// Connections that an engine may have however many engines there are: a connection's end is the end of all that it
/// carries.
const FEWEST_CONNECTIONS: usize = 4;

/// Whether an engine was reached over a connection that has ended. If it was, the end says nothing of the engine, and calls
/// not yet written move to another connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    Reachable,
    Unreachable,
}

impl Reachability {
    /// What an error of dialling says: whoever resets a connection has answered.
    pub fn of_dial_error(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionReset => Self::Reachable,
            _ => Self::Unreachable,
        }
    }
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum ConnectionState {
    Connecting,
    Established,
    /// Established; calls wait until its engine has answered a health check.
    HealthCheck,
}

/// A connection to an engine.
#[derive(Clone)]
pub(super) struct Connection {
    pub engine: EngineId,
    pub state: ConnectionState,
    pub input: Ring,
    pub output: Ring,
    /// The attempts that it carries, by their request's id.
    pub attempts: BTreeMap<String, Slot>,
    /// Those of them whose calls are not part of the output yet, in order.
    pub waiting: Vec<Slot>,
    pub dialed_at: Duration,
    pub last_reply_at: Duration,
    /// When it must be established; later, when it is checked next.
    pub check_due: Option<Duration>,
    /// When a reply that has begun to arrive must be complete.
    pub reply_due: Option<Duration>,
    /// When it is closed if it stays idle.
    pub idle_due: Option<Duration>,
}

impl Connection {
    fn new(engine: EngineId, now: Duration, check_due: Duration) -> Self {
        Self {
            engine,
            state: ConnectionState::Connecting,
            input: Ring::default(),
            output: Ring::default(),
            attempts: BTreeMap::new(),
            waiting: Vec::new(),
            dialed_at: now,
            last_reply_at: now,
            check_due: Some(check_due),
            reply_due: None,
            idle_due: None,
        }
    }

    /// Whether it can be written to.
    pub fn is_established(&self) -> bool {
        self.state != ConnectionState::Connecting
    }

    /// Whether an attempt's call may be written to it.
    pub fn accepts_calls(&self) -> bool {
        self.state == ConnectionState::Established
    }

    /// Ends a health check; returns whether one was under way.
    pub fn pass_health_check(&mut self) -> bool {
        let was_checked = self.state == ConnectionState::HealthCheck;
        if was_checked {
            self.state = ConnectionState::Established;
        }
        was_checked
    }
}

impl EnginePool {
    /// A connection for another attempt: an idle one, else a new one within the limits of the engine and of the
    /// router, else the one that carries least. A connection carries few attempts, since its end is the end of all.
    pub(super) fn select_connection(
        &mut self,
        engine: EngineId,
        id: &str,
        excluded: &[Slot],
        context: &mut Context,
    ) -> Option<Slot> {
        let Engine { connections, .. } = self.engines.get(&engine)?;
        let held = connections.iter().filter_map(|slot| Some((*slot, self.connections.get(*slot)?)));
        let usable = held.filter(|(slot, connection)| {
            let is_separate = !excluded.contains(slot) && !connection.attempts.contains_key(id);
            is_separate && connection.attempts.len() < self.attempts_per_connection
        });
        // Of equals the one with the latest reply: it needs no health check, and the others become idle.
        let least_loaded = usable.min_by_key(|(_, connection)| {
            let latest = Reverse(connection.last_reply_at);
            (connection.attempts.len(), !connection.is_established(), latest)
        });
        let engine_share = (self.max_connections / self.engines.len()).max(FEWEST_CONNECTIONS);
        let is_full = self.connections.len() >= self.max_connections;
        if let Some((slot, connection)) = least_loaded
            && (connection.attempts.is_empty() || is_full || connections.len() >= engine_share)
        {
            return Some(slot);
        }
        if is_full && !self.close_longest_idle(context) {
            context.counters.count("connections_over_the_limit");
            return None;
        }
        self.dial(engine, context)
    }

    /// Makes room for another connection: closes the one that was idle longest; returns whether there was one.
    fn close_longest_idle(&mut self, context: &mut Context) -> bool {
        let idle = self.connections.iter().filter(|(_, connection)| connection.attempts.is_empty());
        let Some((slot, _)) = idle.min_by_key(|(_, connection)| connection.last_reply_at) else {
            return false;
        };
        context.counters.count("connections_closed_for_capacity");
        self.close_connection(slot, "idle, closed for another engine", Reachability::Reachable, context);
        true
    }

    fn dial(&mut self, engine: EngineId, context: &mut Context) -> Option<Slot> {
        let known = self.engines.get_mut(&engine)?;
        let now = context.now();
        let check_due = now + self.connect_timeout;
        context.counters.count("connections_dialled");
        let slot = self.connections.insert(Connection::new(engine, now, check_due));
        context.timers.set(check_due, Timer::Connection(slot));
        self.commands.push_back(PoolCommand::Dial(slot, known.address));
        known.connections.push(slot);
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
            context.timers.clear(due, Timer::Connection(slot));
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

    /// Closes a connection that has been idle until its time is up.
    pub fn connection_idle(&mut self, slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get(slot) else { return };
        let is_due = connection.idle_due.is_some_and(|due| due <= context.now());
        if connection.attempts.is_empty() && is_due {
            self.close_connection(slot, "idle", Reachability::Reachable, context);
        }
    }

    /// Closes a connection and ends or moves the attempts that it carried. Resets of new and of idle connections say
    /// nothing of a reachable engine: a call of which no byte was written moves to another connection, once.
    pub fn close_connection(
        &mut self,
        slot: Slot,
        reason: &str,
        reachability: Reachability,
        context: &mut Context,
    ) {
        let Some(connection) = self.connections.take(slot) else { return };
        self.commands.push_back(PoolCommand::Close(slot));
        log::debug!(
            "connection closed: engine={} connection={slot:?} attempts={} reason=\"{reason}\"",
            connection.engine,
            connection.attempts.len()
        );
        self.engines
            .entry(connection.engine)
            .and_modify(|known| known.connections.retain(|other| *other != slot));
        clear_timers(slot, &connection, context);
        if reachability == Reachability::Reachable && !connection.attempts.is_empty() {
            context.counters.count("connections_lost");
        }
        let written = connection.output.passed();
        for attempt in connection.attempts.into_values() {
            self.connection_lost(attempt, written, reachability, context);
        }
    }

    /// Ends or moves an attempt whose connection was closed after `written` bytes of output.
    fn connection_lost(
        &mut self,
        slot: Slot,
        written: u64,
        reachability: Reachability,
        context: &mut Context,
    ) {
        let Some(attempt) = self.attempts.get_mut(slot) else { return };
        attempt.connection = None;
        if attempt.is_cancelled() {
            return self.end(slot, AttemptOutcome::Cancelled, None, context);
        }
        if attempt.has_begun(written) {
            return self.end(slot, AttemptOutcome::Broken, None, context);
        }
        if reachability == Reachability::Unreachable || attempt.reassigned {
            return self.end(slot, AttemptOutcome::Unreachable, None, context);
        }
        attempt.reassigned = true;
        self.assign_connection(slot, context);
    }
}

impl Attempt {
    /// Whether a byte of its call is among the `written` bytes of its connection's output.
    pub fn has_begun(&self, written: u64) -> bool {
        self.call_offset.is_some_and(|offset| written > offset)
    }
}

fn clear_timers(slot: Slot, connection: &Connection, context: &mut Context) {
    if let Some(due) = connection.check_due {
        context.timers.clear(due, Timer::Connection(slot));
    }
    if let Some(due) = connection.reply_due {
        context.timers.clear(due, Timer::AnswerComplete(slot));
    }
    if let Some(due) = connection.idle_due {
        context.timers.clear(due, Timer::ConnectionIdle(slot));
    }
}
