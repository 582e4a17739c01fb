//! One connection to an engine.

use crate::context::Context;
use crate::ring::Ring;
use crate::slots::Slot;
use crate::timers::Timer;
use emberflow::EngineId;
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

/// Fraction of the engine's idle timeout after which the router closes an idle connection, so that the router closes
/// it before the engine does.
pub(super) const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// Whether an engine was reachable over a connection that has ended. The loss of a connection to a reachable engine is
/// no fault of the engine, and unwritten calls move to another connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The engine has accepted the connection or reset it.
    Reachable,
    /// The connection could not be established, or the engine has restarted or was removed from the list.
    Unreachable,
}

impl Reachability {
    /// Classifies an error of dialling. A peer that resets the connection was reached.
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
    /// Established; no call is written until the engine has answered a health check.
    HealthCheck,
}

/// A connection to an engine.
#[derive(Clone)]
pub(super) struct Connection {
    pub engine: EngineId,
    pub state: ConnectionState,
    pub input: Ring,
    pub output: Ring,
    /// The attempts on the connection, by their request's id on the wire.
    pub attempts: BTreeMap<String, Slot>,
    /// The attempts among them whose calls are not part of the output yet, in order.
    pub waiting: Vec<Slot>,
    pub dialed_at: Duration,
    pub last_reply_at: Duration,
    /// Time at which the connection must be established; afterwards, time of its next check.
    pub check_due: Option<Duration>,
    /// Time at which a reply that has begun to arrive must be complete.
    pub reply_due: Option<Duration>,
    /// Time at which the connection is closed if it is still idle.
    pub idle_due: Option<Duration>,
}

impl Connection {
    /// Creates a connection that is dialled at `now` and must be established by `check_due`.
    pub fn new(engine: EngineId, now: Duration, check_due: Duration) -> Self {
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

    /// Whether the connection can be written to.
    pub fn is_established(&self) -> bool {
        self.state != ConnectionState::Connecting
    }

    /// Whether calls may be written to the connection.
    pub fn accepts_calls(&self) -> bool {
        self.state == ConnectionState::Established
    }

    /// Ends a health check. Returns whether one was in progress.
    pub fn pass_health_check(&mut self) -> bool {
        let was_checked = self.state == ConnectionState::HealthCheck;
        if was_checked {
            self.state = ConnectionState::Established;
        }
        was_checked
    }

    /// Clears all pending timers of the connection, which is registered under `slot`.
    pub fn clear_timers(&self, slot: Slot, context: &mut Context) {
        let timers = [
            (self.check_due, Timer::ConnectionCheck(slot)),
            (self.reply_due, Timer::ReplyTimeout(slot)),
            (self.idle_due, Timer::ConnectionIdleTimeout(slot)),
        ];
        for (due, timer) in timers {
            if let Some(due) = due {
                context.timers.clear(due, timer);
            }
        }
    }
}
