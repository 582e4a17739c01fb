//! Health checks of connections: closes connections that are not established in time, and connections to engines that
//! no longer answer.

use super::EnginePool;
use super::attempt::Attempt;
use super::commands::EngineCommand;
use super::connection::{ConnectionState, Reachability};
use crate::context::Context;
use crate::slots::Slot;
use crate::timers::Timer;
use std::time::Duration;

/// The id of a health check's ping. It differs from every request's name, which has 16 hexadecimal digits.
const HEALTH_CHECK_ID: &str = "0";
/// Ratio of the inactivity timeout to the connect timeout.
const INACTIVITY_TIMEOUT_RATIO: u32 = 2;

impl EnginePool {
    /// Returns the time without a reply after which a connection in use gets a health check.
    pub(super) fn inactivity_timeout(&self) -> Duration {
        self.connect_timeout * INACTIVITY_TIMEOUT_RATIO
    }

    /// Starts a health check of a connection: no call is written to it until its engine has answered.
    pub(super) fn send_ping(&mut self, slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        connection.output.push(&EngineCommand::Ping { id: HEALTH_CHECK_ID }.encode());
        connection.state = ConnectionState::HealthCheck;
        context.counters.count("connections_checked");
        self.schedule_check(slot, context.now() + self.connect_timeout, context);
    }

    /// Sets the time of a connection's next check, in place of the one set before.
    pub(super) fn schedule_check(&mut self, slot: Slot, due: Duration, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        if let Some(earlier) = connection.check_due.replace(due) {
            context.timers.clear(earlier, Timer::ConnectionCheck(slot));
        }
        context.timers.set(due, Timer::ConnectionCheck(slot));
    }

    /// Checks a connection whose check is due. Closes the connection if it was not established in time, or if its
    /// engine did not answer a health check or acknowledge a cancellation in time. Otherwise starts a health check if
    /// the connection is in use and inactive, or schedules its next check. The caller reads the connection first, so
    /// that replies that arrived in time count.
    pub fn connection_check_due(&mut self, slot: Slot, now: Duration, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        if connection.check_due.is_none_or(|due| due > now) {
            return;
        }
        connection.check_due = None;
        let state = connection.state;
        let is_idle = connection.attempts.is_empty();
        let last_reply_at = connection.last_reply_at;
        if state == ConnectionState::Connecting {
            context.counters.count("connections_not_up_in_time");
            let reason = "not established within the connect timeout";
            self.close_connection(slot, reason, Reachability::Unreachable, context);
            return;
        }
        let acknowledgement_due = self.acknowledgement_due(slot);
        let is_acknowledgement_overdue = acknowledgement_due.is_some_and(|due| due <= now);
        if state == ConnectionState::HealthCheck || is_acknowledgement_overdue {
            context.counters.count("connections_silent");
            let reason = "no answer to a ping within the connect timeout";
            self.close_connection(slot, reason, Reachability::Reachable, context);
            return;
        }
        if is_idle {
            // The next attempt on the connection schedules the next check.
            return;
        }
        let inactive_at = last_reply_at + self.inactivity_timeout();
        let next_check = acknowledgement_due.map_or(inactive_at, |due| due.min(inactive_at));
        if next_check <= now {
            self.send_ping(slot, context);
            self.schedule_writes(slot, context);
        } else {
            self.schedule_check(slot, next_check, context);
        }
    }

    /// Returns the time by which the engine must acknowledge the first pending cancellation on a connection; `None` if
    /// no cancellation is pending.
    fn acknowledgement_due(&self, slot: Slot) -> Option<Duration> {
        let connection = self.connections.get(slot)?;
        let attempts = connection.attempts.values().filter_map(|attempt| self.attempts.get(*attempt));
        let first_cancelled_at = attempts.filter_map(|attempt: &Attempt| attempt.cancelled_at).min()?;
        Some(first_cancelled_at + self.connect_timeout)
    }
}
