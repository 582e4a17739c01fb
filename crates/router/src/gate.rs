//! The one place that says whether something may be sent or closed now. It is asked last, right before the bytes
//! leave or the socket closes, with what was read by then, however long ago the decision was taken.

use crate::counters::Counters;
use emberflow::RequestId;
use std::time::Duration;

/// What is known of a call that is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct CallFacts {
    /// Whether the endpoint list lets its engine take requests.
    pub is_engine_ready: bool,
    /// Whether its client may be gone, so that nothing more is sent for it.
    pub is_client_gone: bool,
    /// Whether it was taken back.
    pub is_cancelled: bool,
    /// What is left of the time that the attempt has.
    pub time_left: Duration,
}

/// Why a call may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRefusal {
    EngineNotReady,
    ClientGone,
    Cancelled,
    DeadlinePassed,
}

/// Whether a call may be written now.
pub fn may_send(call: &CallFacts) -> Result<(), CallRefusal> {
    if !call.is_engine_ready {
        Err(CallRefusal::EngineNotReady)
    } else if call.is_client_gone {
        Err(CallRefusal::ClientGone)
    } else if call.is_cancelled {
        Err(CallRefusal::Cancelled)
    } else if call.time_left.is_zero() {
        Err(CallRefusal::DeadlinePassed)
    } else {
        Ok(())
    }
}

impl CallRefusal {
    /// Counts a refusal and logs it with its request. All but a passed deadline are noticed before a call gets here:
    /// they violate an invariant.
    pub fn record(self, request: RequestId, attempt: usize, counters: &mut Counters) {
        log::info!("call not written: request={request} attempt={attempt} reason={self:?}");
        match self {
            Self::DeadlinePassed => counters.count("calls_past_their_deadline"),
            _ => counters.must(false, "invariant_violations"),
        }
    }
}

/// Why the router closes a client's connection of its own accord.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It was idle for too long, or makes room for another.
    Idle,
    /// Its input has ended, and nothing more is owed.
    Finished,
    /// It stopped within a line, reads too slowly, or its socket has failed.
    Fault,
}

/// Whether the router may close a client's connection: never under requests that are open, but for a client's own
/// fault.
pub fn may_close(reason: CloseReason, open_requests: usize) -> bool {
    reason == CloseReason::Fault || open_requests == 0
}

#[cfg(test)]
#[path = "../tests/unit/gate.rs"]
mod tests;
