//! Tests of the model checker: scenarios of the short set are explored completely, recorded paths are replayed, and the
//! search, the mutants' edits and the command line are checked.

use emberflow_model_checker::former_names::{FORMER_MUTANT_NAMES, FORMER_SCENARIO_NAMES};
use emberflow_model_checker::mutants::{MUTANTS, edited};
use emberflow_model_checker::registry::scenario;
use emberflow_model_checker::search::{Coverage, Model, SearchLimits, explore};
use expect_test::expect;
use std::process::Command;
use std::time::Duration;

const GENEROUS_LIMITS: SearchLimits =
    SearchLimits { time: Duration::from_secs(600), memory_mib: 8000, max_depth: None };

/// Checks that a scenario is explored completely, that all invariants hold in every reachable state, and that some
/// run ends.
fn assert_holds(name: &str) {
    let scenario = scenario(name).unwrap_or_else(|| panic!("scenario `{name}` is not registered"));
    let report = (scenario.check)(GENEROUS_LIMITS.time, GENEROUS_LIMITS.memory_mib);
    assert_eq!((report.violation, report.statistics.coverage), (None, Coverage::Complete), "{name}");
    assert!(
        report.statistics.terminal_states > 0,
        "scenario `{name}` has no state without an enabled transition"
    );
}

/// Checks that every transition of a recorded path is enabled when it is taken and violates no invariant.
fn assert_path_holds(name: &str, path: &str) {
    let scenario = scenario(name).unwrap_or_else(|| panic!("scenario `{name}` is not registered"));
    assert_eq!((scenario.replay)(path), Ok(()), "{name}");
}

#[test]
fn an_engine_drains_at_the_end_of_an_attempt_or_before_the_retry() {
    assert_holds("drain under an attempt");
}

#[test]
fn a_client_disconnects_at_the_time_of_the_answer() {
    assert_holds("late wake-ups");
}

#[test]
fn an_answer_arrives_after_its_attempt_was_cancelled() {
    assert_holds("silent engine");
}

#[test]
fn the_process_ends_while_an_attempt_with_a_key_is_in_flight() {
    assert_holds("shutdown under an attempt");
}

#[test]
fn a_retry_budget_that_suffices_for_one_of_two_requests() {
    assert_holds("retry budget");
}

#[test]
fn a_deadline_falls_on_the_tick_of_a_wake_up() {
    assert_holds("no estimates");
}

#[test]
fn slow_start_share_is_less_than_one_request() {
    assert_holds("warming engine, small part");
}

#[test]
fn engines_of_a_placement_are_removed_and_return() {
    assert_holds("placement");
}

#[test]
fn answers_are_split_repeated_unknown_or_malformed_and_connections_reset() {
    assert_holds("a connection's faults");
}

#[test]
fn answers_are_spoilt_in_their_length_their_fields_or_their_size() {
    assert_holds("a connection's spoilt answers");
}

#[test]
fn calls_are_blocked_on_their_connection_when_the_engine_drains() {
    assert_holds("a narrow connection");
    assert_holds("two on a narrow connection");
}

#[test]
fn key_order_holds_with_a_cooldown_and_no_cancel() {
    assert_holds("one key, non-idempotent");
    assert_holds("one key, two effects");
}

#[test]
fn a_client_cancels_or_disconnects_at_the_time_of_the_answer() {
    assert_holds("one client");
}

#[test]
fn a_client_disconnects_while_its_answer_is_partly_written() {
    assert_holds("a slow reader");
}

#[test]
fn an_engine_restarts_before_the_end_of_its_attempt_is_known() {
    assert_holds("restart under an attempt");
}

#[test]
fn a_client_resets_its_connection_during_anothers_request() {
    assert_holds("two clients");
}

#[test]
fn the_router_shuts_down_during_a_drain_and_a_connection_reset() {
    assert_holds("shutdown of the router");
}

#[test]
fn an_engine_is_replaced_at_its_address() {
    assert_holds("a connection's answers");
}

#[test]
fn the_router_shuts_down_with_an_idempotency_key_in_flight() {
    assert_holds("shutdown, idempotency key");
}

#[test]
fn lines_arrive_in_pieces_with_time_or_a_close_between() {
    assert_holds("lines in pieces");
}

#[test]
fn endpoint_events_are_repeated_omitted_corrupted_or_split() {
    assert_holds("the discovery service");
}

#[test]
fn a_blocked_call_is_not_started_after_a_drain() {
    assert_path_holds(
        "two on a narrow connection",
        "
        SendCall { request: 0 }
        Connect { connection: 0.0 }
        ChangeEndpoint { change: Drains }
        Unblock { connection: 0.0 }
    ",
    );
}

#[test]
fn a_cancelled_blocked_call_is_not_started_after_a_drain() {
    assert_path_holds(
        "two on a narrow connection",
        "
        SendCall { request: 0 }
        Connect { connection: 0.0 }
        Cancel { attempt: 0 }
        ChangeEndpoint { change: Drains }
        Unblock { connection: 0.0 }
    ",
    );
}

#[test]
fn a_disabled_transition_is_reported_with_the_enabled_ones() {
    let scenario = scenario("the discovery service").expect("the scenario is registered");
    let error = (scenario.replay)("SendRest")
        .expect_err("SendRest is not enabled, because no frame was sent in part");
    expect![[r#"SendRest is not among the enabled transitions [ChangeList, Reconnect, SendFault { fault: UnknownKind }, SendFault { fault: BadLength }, SendFault { fault: HeartbeatAhead }]"#]]
        .assert_eq(&error.to_string());
}

/// A model of numbers up to 100 with transitions from n to n + 1 and 2 n. The invariant `odd` is violated at 77.
struct Numbers;

impl Model for Numbers {
    type State = u64;
    type Transition = u64;

    fn initial_state(&self) -> u64 {
        1
    }
    fn transitions(&self, state: &u64, transitions: &mut Vec<u64>) {
        transitions.extend([state + 1, state * 2].into_iter().filter(|n| *n <= 100));
    }
    fn apply(&self, _: &u64, transition: &u64) -> u64 {
        *transition
    }
    fn fingerprint(&self, state: &u64) -> u64 {
        *state
    }
    fn violated_invariant(&self, state: &u64, _: bool) -> Option<&'static str> {
        (*state == 77).then_some("odd")
    }
}

#[test]
fn the_first_violation_is_reported_with_a_shortest_path() {
    let violation =
        explore(&Numbers, GENEROUS_LIMITS).violation.expect("the invariant `odd` is violated at 77");
    let path: Vec<u64> = violation.path.iter().map(|step| step.transition).collect();
    expect![["odd by [2, 4, 8, 9, 18, 19, 38, 76, 77]"]]
        .assert_eq(&format!("{} by {path:?}", violation.invariant));
}

#[test]
fn a_search_stopped_by_a_limit_is_not_complete() {
    let coverage = |limits| format!("{:?}", explore(&Numbers, limits).statistics.coverage);
    let depth_limited = coverage(SearchLimits { max_depth: Some(3), ..GENEROUS_LIMITS });
    let time_limited = coverage(SearchLimits { time: Duration::ZERO, ..GENEROUS_LIMITS });
    let memory_limited = coverage(SearchLimits { memory_mib: 0, ..GENEROUS_LIMITS });
    expect![["ToDepth OutOfTime OutOfMemory"]]
        .assert_eq(&format!("{depth_limited} {time_limited} {memory_limited}"));
}

#[test]
fn every_mutant_applies_exactly_once() {
    for mutant in MUTANTS {
        let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(mutant.file);
        let text = std::fs::read_to_string(path).expect("the edited file can be read");
        if let Err(error) = edited(&text, mutant) {
            panic!("{}: {error}", mutant.name);
        }
    }
}

#[test]
fn former_names_are_those_of_existing_scenarios_and_mutants() {
    for (former, current) in FORMER_SCENARIO_NAMES {
        let entry = scenario(former).unwrap_or_else(|| panic!("{former} names no scenario"));
        assert_eq!(entry.name, *current);
    }
    for (former, current) in FORMER_MUTANT_NAMES {
        assert!(MUTANTS.iter().any(|mutant| mutant.name == *current), "{former} names no mutant");
    }
}

#[test]
fn bad_arguments_exit_with_2_and_an_incomplete_exploration_with_3() {
    let exit_status = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_emberflow-model-checker"))
            .args(arguments)
            .output()
            .expect("the model checker can be started");
        output.status.code().unwrap_or(-1)
    };
    let exit_statuses = [
        exit_status(&["no such scenario"]),
        exit_status(&["--fast"]),
        exit_status(&["--time", "soon"]),
        exit_status(&["--time", "0", "silent engine"]),
        exit_status(&["late wake-ups"]),
        exit_status(&["a planned restart"]),
    ];
    expect![["[2, 2, 2, 3, 0, 0]"]].assert_eq(&format!("{exit_statuses:?}"));
}
