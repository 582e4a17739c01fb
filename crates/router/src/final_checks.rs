//! The final checks, directly before a call is written or a client's connection is closed. The state may have changed
//! since it was decided to send or to close.

use crate::counters::Counters;
use emberflow::{AttemptOutcome, RequestId, SendCondition};

/// The state on which it depends whether a call may be written.
#[derive(Clone, Copy, Debug)]
pub struct CallState {
    /// Whether the endpoint list has the engine as ready.
    pub is_engine_ready: bool,
    /// Whether the client has ended its input, and may have disconnected.
    pub may_client_have_left: bool,
    /// Whether the attempt was cancelled.
    pub is_cancelled: bool,
    /// The condition of the scheduler's decision that no longer holds; `None` if all hold.
    pub lapsed: Option<SendCondition>,
}

/// Why a call must not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRefusal {
    /// The engine is draining or was removed.
    EngineNotReady,
    /// The client has ended its input and may have disconnected, so that no client may wait for the result.
    ClientMayHaveLeft,
    /// The attempt was cancelled.
    Cancelled,
    /// A condition of the scheduler's decision no longer holds.
    Lapsed(SendCondition),
}

/// Checks whether a call may be written now.
///
/// # Errors
/// Returns the reason why the call must not be written.
pub fn may_send(call: &CallState) -> Result<(), CallRefusal> {
    if !call.is_engine_ready {
        Err(CallRefusal::EngineNotReady)
    } else if call.may_client_have_left {
        Err(CallRefusal::ClientMayHaveLeft)
    } else if call.is_cancelled {
        Err(CallRefusal::Cancelled)
    } else {
        call.lapsed.map_or(Ok(()), |condition| Err(CallRefusal::Lapsed(condition)))
    }
}

impl CallRefusal {
    /// Returns the outcome of an attempt whose call was refused.
    pub fn outcome(self) -> AttemptOutcome {
        match self {
            Self::Lapsed(condition) => AttemptOutcome::Lapsed(condition),
            Self::EngineNotReady | Self::ClientMayHaveLeft | Self::Cancelled => AttemptOutcome::NotSent,
        }
    }

    /// Counts and logs a call that was not written. Only a lapsed condition is expected here. The router detects the
    /// other reasons earlier and then removes the call from the queue, so each of them violates an invariant.
    pub fn record(self, request: RequestId, attempt: usize, counters: &mut Counters) {
        log::info!("call not written: request={request} attempt={attempt} reason={self:?}");
        match self {
            Self::Lapsed(condition) => counters.count(lapse_counter(condition)),
            Self::EngineNotReady | Self::ClientMayHaveLeft | Self::Cancelled => {
                counters.check_invariant(false, "invariant_violations")
            }
        }
    }
}

/// Returns the name of the counter of calls that were not written because a condition lapsed.
fn lapse_counter(condition: SendCondition) -> &'static str {
    match condition {
        SendCondition::Deadline => "calls_past_their_deadline",
        SendCondition::KeyWindow => "calls_past_their_key_window",
        SendCondition::Placement => "calls_outside_their_placement",
        SendCondition::RetryBudget => "calls_over_the_retry_budget",
        SendCondition::SlowStart => "calls_over_the_slow_start_budget",
    }
}

/// Why the router closes a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client was idle until the idle timeout.
    Idle,
    /// The client was idle when another client connected and the limit of connections or descriptors was reached.
    ReplacedWhileIdle,
    /// The client has ended its input, and all answers to it are written.
    Finished,
    /// The client sent the beginning of a line, and not its end in time.
    LineIncomplete,
    /// The unwritten output to all clients exceeded its limit, and this client had the most.
    SlowReader,
    /// Writing to the client failed.
    WriteFailed,
    /// The client has reset or closed the connection.
    Disconnected,
}

impl CloseReason {
    /// Whether the connection has failed, or the client does not send or read as it must.
    fn is_client_fault(self) -> bool {
        match self {
            Self::Idle | Self::ReplacedWhileIdle | Self::Finished => false,
            Self::LineIncomplete | Self::SlowReader | Self::WriteFailed | Self::Disconnected => true,
        }
    }
}

/// Whether the router may close a client's connection with this number of open requests. A connection with open
/// requests may be closed only for a fault of the client.
pub fn may_close(reason: CloseReason, open_requests: usize) -> bool {
    reason.is_client_fault() || open_requests == 0
}

#[cfg(test)]
#[path = "../tests/unit/final_checks.rs"]
mod tests;
