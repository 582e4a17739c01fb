//! The last check before a call is written or a client's connection is closed. It uses the state known at that time,
//! since the state may have changed after the decision to send or to close.

use crate::counters::Counters;
use emberflow::RequestId;
use std::time::Duration;

/// The state of a call that is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct CallFacts {
    /// Whether the engine is ready by the endpoint list.
    pub is_engine_ready: bool,
    /// Whether the client has ended its input, and may have disconnected.
    pub may_client_have_left: bool,
    /// Whether the attempt was cancelled.
    pub is_cancelled: bool,
    /// Time until the attempt's deadline.
    pub time_left: Duration,
}

/// Why a call must not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRefusal {
    /// The engine is draining or was removed.
    EngineNotReady,
    /// The client may have disconnected, so that the call may serve no client.
    ClientMayHaveLeft,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt's deadline has passed.
    DeadlinePassed,
}

/// Whether a call may be written now.
///
/// # Errors
/// Returns the reason why the call must not be written.
pub fn may_send(call: &CallFacts) -> Result<(), CallRefusal> {
    if !call.is_engine_ready {
        Err(CallRefusal::EngineNotReady)
    } else if call.may_client_have_left {
        Err(CallRefusal::ClientMayHaveLeft)
    } else if call.is_cancelled {
        Err(CallRefusal::Cancelled)
    } else if call.time_left.is_zero() {
        Err(CallRefusal::DeadlinePassed)
    } else {
        Ok(())
    }
}

impl CallRefusal {
    /// Counts and logs a call that was not written. Only a passed deadline is expected here. The other reasons are
    /// detected before a call is queued for writing, so that they violate an invariant.
    pub fn record(self, request: RequestId, attempt: usize, counters: &mut Counters) {
        log::info!("call not written: request={request} attempt={attempt} reason={self:?}");
        match self {
            Self::DeadlinePassed => counters.count("calls_past_their_deadline"),
            Self::EngineNotReady | Self::ClientMayHaveLeft | Self::Cancelled => {
                counters.check_invariant(false, "invariant_violations")
            }
        }
    }
}

/// Why the router closes a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client was idle until the idle timeout.
    Idle,
    /// The client was idle when a new client connected at the limit of connections.
    ReplacedWhileIdle,
    /// The client has ended its input, and all its answers are written.
    Finished,
    /// The client stopped sending within a line.
    LineIncomplete,
    /// The client reads its answers too slowly.
    SlowReader,
    /// Writing to the client failed.
    WriteFailed,
    /// The client has reset or closed the connection.
    Disconnected,
}

impl CloseReason {
    /// Whether the connection has failed or the client violates the protocol.
    fn is_client_fault(self) -> bool {
        match self {
            Self::Idle | Self::ReplacedWhileIdle | Self::Finished => false,
            Self::LineIncomplete | Self::SlowReader | Self::WriteFailed | Self::Disconnected => true,
        }
    }
}

/// Whether the router may close a client's connection. A connection with open requests may be closed only for a fault
/// of the client.
pub fn may_close(reason: CloseReason, open_requests: usize) -> bool {
    reason.is_client_fault() || open_requests == 0
}

#[cfg(test)]
#[path = "../tests/unit/gate.rs"]
mod tests;
