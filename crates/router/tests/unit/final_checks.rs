//! Tests of the last checks before a call is written or a client's connection is closed.

use super::{CallRefusal, CallState, CloseReason, may_close, may_send};
use crate::counters::Counters;
use emberflow::{RequestId, SendCondition};

fn sendable_call() -> CallState {
    CallState { is_engine_ready: true, may_client_have_left: false, is_cancelled: false, lapsed: None }
}

fn lapsed(condition: SendCondition) -> CallState {
    CallState { lapsed: Some(condition), ..sendable_call() }
}

#[test]
fn a_call_is_written_only_for_a_waiting_client_to_a_ready_engine_within_its_limits() {
    assert_eq!(may_send(&sendable_call()), Ok(()));
    let refusals = [
        (CallState { is_engine_ready: false, ..sendable_call() }, CallRefusal::EngineNotReady),
        (CallState { may_client_have_left: true, ..sendable_call() }, CallRefusal::ClientMayHaveLeft),
        (CallState { is_cancelled: true, ..sendable_call() }, CallRefusal::Cancelled),
        (lapsed(SendCondition::Deadline), CallRefusal::Lapsed(SendCondition::Deadline)),
        (lapsed(SendCondition::KeyWindow), CallRefusal::Lapsed(SendCondition::KeyWindow)),
    ];
    for (call_state, refusal) in refusals {
        assert_eq!(may_send(&call_state), Err(refusal));
    }
}

#[test]
fn a_connection_with_open_requests_is_closed_only_for_a_fault_of_its_client() {
    for reason in [CloseReason::Idle, CloseReason::ReplacedWhileIdle, CloseReason::Finished] {
        assert!(may_close(reason, 0) && !may_close(reason, 1), "{reason:?}");
    }
    let faults = [
        CloseReason::LineIncomplete,
        CloseReason::SlowReader,
        CloseReason::WriteFailed,
        CloseReason::Disconnected,
    ];
    for reason in faults {
        assert!(may_close(reason, 0) && may_close(reason, 1), "{reason:?}");
    }
}

#[test]
fn a_lapsed_call_is_counted_by_its_condition() {
    let mut counters = Counters::default();
    CallRefusal::Lapsed(SendCondition::Deadline).record(RequestId(1), 0, &mut counters);
    CallRefusal::Lapsed(SendCondition::KeyWindow).record(RequestId(2), 1, &mut counters);
    assert_eq!(counters.to_string(), "calls_past_their_deadline=1 calls_past_their_key_window=1");
}

#[test]
#[cfg_attr(debug_assertions, should_panic(expected = "invariant_violations"))]
fn a_violation_stops_a_debug_build_and_is_counted_in_a_release_build() {
    let mut counters = Counters::default();
    CallRefusal::ClientMayHaveLeft.record(RequestId(1), 0, &mut counters);
    assert_eq!(counters.to_string(), "invariant_violations=1");
}
