//! One connection to an engine.

use crate::context::Context;
use crate::ring::RingBuffer;
use crate::slots::Slot;
use crate::timers::Timer;
use emberflow::{EngineId, SendLimits};
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

/// Fraction of the engine's idle timeout after which the router closes an idle connection, so that the router closes
/// it before the engine does.
pub(super) const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// Whether an engine was reachable over a connection that was closed. If the engine was reachable, the loss of the
/// connection does not count as its failure, and unwritten calls move to another connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The engine has accepted the connection or reset it.
    Reachable,
    /// The connection could not be established, or the engine has restarted or was removed from the endpoint list.
    Unreachable,
}

impl Reachability {
    /// Classifies an error of dialling. A peer that has reset the connection was reached.
    pub fn of_dial_error(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionReset => Self::Reachable,
            _ => Self::Unreachable,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum ConnectionState {
    Connecting,
    Established,
    /// Established, but no call is written until the engine has answered a health check.
    HealthCheck,
}

/// The call at the end of a connection's output. There is at most one, since a call becomes part of the output only after
/// all earlier output was written.
#[derive(Clone, Copy)]
pub(super) struct CallInOutput {
    pub attempt: Slot,
    /// Offset of the call's first byte in the stream of all output.
    pub start_offset: u64,
    /// Offset behind the call's last byte.
    pub end_offset: u64,
    /// The times within which the call must be written completely. An engine runs a call only once it has all of it.
    pub limits: SendLimits,
    /// Whether its first byte was written.
    pub is_begun: bool,
}

impl CallInOutput {
    /// Whether a part of the call was written, and the rest was not.
    pub fn is_partly_written(&self, output: &RingBuffer) -> bool {
        (self.start_offset + 1..self.end_offset).contains(&output.front_offset())
    }
}

/// A connection to an engine.
#[derive(Clone)]
pub(super) struct Connection {
    pub engine: EngineId,
    pub state: ConnectionState,
    pub input: RingBuffer,
    pub output: RingBuffer,
    /// The last call that became part of the output.
    pub call_in_output: Option<CallInOutput>,
    /// The attempts on the connection, by the names of their requests.
    pub attempts: BTreeMap<String, Slot>,
    /// Those of `attempts` whose calls are not part of the output yet, in the order in which they are sent.
    pub waiting_attempts: Vec<Slot>,
    pub dialed_at: Duration,
    pub last_reply_at: Duration,
    /// Time by which the connection must be established; once it is, the time of its next check.
    pub check_due: Option<Duration>,
    /// Time by which the reply that has begun to arrive must be complete.
    pub reply_due: Option<Duration>,
    /// Time at which the connection is closed if it is still idle.
    pub idle_due: Option<Duration>,
}

impl Connection {
    /// Creates a connection that is dialled at `now` and must be established by `check_due`.
    pub fn new(engine_id: EngineId, now: Duration, check_due: Duration) -> Self {
        Self {
            engine: engine_id,
            state: ConnectionState::Connecting,
            input: RingBuffer::default(),
            output: RingBuffer::default(),
            call_in_output: None,
            attempts: BTreeMap::new(),
            waiting_attempts: Vec::new(),
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

    /// Returns the call of which a part was written and the rest was not; `None` if there is none.
    pub fn partly_written_call(&self) -> Option<CallInOutput> {
        self.call_in_output.filter(|call| call.is_partly_written(&self.output))
    }

    /// Ends the health check in progress after a reply of the engine. Returns whether a health check was in progress.
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
