use super::*;

fn call() -> CallFacts {
    CallFacts {
        is_engine_ready: true,
        is_client_gone: false,
        is_cancelled: false,
        time_left: Duration::from_millis(1),
    }
}

#[test]
fn a_call_is_written_only_for_a_client_that_waits_to_an_engine_that_is_ready_in_time() {
    assert_eq!(may_send(&call()), Ok(()));
    let refusals = [
        (CallFacts { is_engine_ready: false, ..call() }, CallRefusal::EngineNotReady),
        (CallFacts { is_client_gone: true, ..call() }, CallRefusal::ClientGone),
        (CallFacts { is_cancelled: true, ..call() }, CallRefusal::Cancelled),
        (CallFacts { time_left: Duration::ZERO, ..call() }, CallRefusal::DeadlinePassed),
    ];
    for (facts, refusal) in refusals {
        assert_eq!(may_send(&facts), Err(refusal));
    }
}

#[test]
fn only_a_clients_own_fault_closes_it_under_open_requests() {
    for reason in [CloseReason::Idle, CloseReason::Finished] {
        assert!(may_close(reason, 0) && !may_close(reason, 1), "{reason:?}");
    }
    assert!(may_close(CloseReason::Fault, 1));
}

#[test]
fn a_refusal_is_counted_by_what_it_means() {
    let mut counters = Counters::default();
    CallRefusal::DeadlinePassed.record(RequestId(1), 0, &mut counters);
    assert_eq!(counters.to_string(), "calls_past_their_deadline=1");
}

#[test]
#[cfg_attr(debug_assertions, should_panic(expected = "invariant_violations"))]
fn a_violation_stops_a_debug_build_and_is_counted_in_a_release_build() {
    let mut counters = Counters::default();
    CallRefusal::ClientGone.record(RequestId(1), 0, &mut counters);
    assert_eq!(counters.to_string(), "invariant_violations=1");
}
