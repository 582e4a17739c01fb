//! Health checks of connections: whether they are established in time, and whether their engines still answer.

use super::EnginePool;
use super::attempt::Attempt;
use super::connection::{Connection, ConnectionState, Reachability};
use super::messages::EngineCommand;
use crate::context::Context;
use crate::slots::Slot;
use crate::timers::Timer;
use std::time::Duration;

/// The id of a health check's ping, which is no request's.
const HEALTH_CHECK_ID: &str = "0";

impl EnginePool {
    /// Starts a health check: no call is written until the connection's engine has answered.
    pub(super) fn send_ping(&mut self, slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        connection.output.push(&EngineCommand::Ping { id: HEALTH_CHECK_ID }.encode());
        connection.state = ConnectionState::HealthCheck;
        context.counters.count("connections_checked");
        self.schedule_check(slot, context.now() + self.connect_timeout, context);
    }

    /// Sets when a connection is checked next.
    pub(super) fn schedule_check(&mut self, slot: Slot, due: Duration, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        if let Some(earlier) = connection.check_due.replace(due) {
            context.timers.clear(earlier, Timer::Connection(slot));
        }
        context.timers.set(due, Timer::Connection(slot));
    }

    /// Checks a connection whose check is due: closes it if it was not established in time, or if its engine has not
    /// answered a health check or acknowledged a cancellation in time. The caller has read it before.
    pub fn connection_check_due(&mut self, slot: Slot, now: Duration, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        if connection.check_due.is_none_or(|due| due > now) {
            return;
        }
        connection.check_due = None;
        let state = connection.state;
        let is_idle = connection.attempts.is_empty();
        let silence_due = connection.last_reply_at + self.connect_timeout * 2;
        let acknowledgement_due = self.acknowledgement_due(slot);
        let is_silent =
            state == ConnectionState::HealthCheck || acknowledgement_due.is_some_and(|due| due <= now);
        let next_check = acknowledgement_due.map_or(silence_due, |due| due.min(silence_due));
        if state == ConnectionState::Connecting {
            context.counters.count("connections_not_up_in_time");
            self.close_connection(slot, "not established in time", Reachability::Unreachable, context);
        } else if is_silent {
            // Nothing that it carries can be answered any more.
            context.counters.count("connections_silent");
            self.close_connection(slot, "silent", Reachability::Reachable, context);
        } else if is_idle {
            // Its next attempt schedules the next check.
        } else if next_check <= now {
            self.send_ping(slot, context);
            self.schedule_writes(slot, context);
        } else {
            self.schedule_check(slot, next_check, context);
        }
    }

    /// When the first of a connection's cancelled attempts must be acknowledged.
    fn acknowledgement_due(&self, slot: Slot) -> Option<Duration> {
        let connection: &Connection = self.connections.get(slot)?;
        let attempts = connection.attempts.values().filter_map(|attempt| self.attempts.get(*attempt));
        let cancelled_at = attempts.filter_map(|attempt: &Attempt| attempt.cancelled_at).min()?;
        Some(cancelled_at + self.connect_timeout)
    }
}
