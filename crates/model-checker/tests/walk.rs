//! The complete exploration of scenarios of the short set, and the search itself: finding, stopping and reporting.

use emberflow_model_checker::former_names::{FORMER_MUTANT_NAMES, FORMER_SCENARIO_NAMES};
use emberflow_model_checker::mutants::{MUTANTS, edited};
use emberflow_model_checker::registry::scenario;
use emberflow_model_checker::search::{Coverage, Model, SearchLimits, explore};
use expect_test::expect;
use std::process::Command;
use std::time::Duration;

const GENEROUS_LIMITS: SearchLimits =
    SearchLimits { time: Duration::from_secs(600), memory_mib: 8000, max_depth: None };

/// Checks that all invariants hold in every reachable state of a scenario.
fn assert_holds(name: &str) {
    let scenario = scenario(name).expect("the scenario is registered");
    let report = (scenario.check)(GENEROUS_LIMITS.time, GENEROUS_LIMITS.memory_mib);
    assert_eq!((report.violation, report.statistics.coverage), (None, Coverage::Complete), "{name}");
    assert!(report.statistics.terminal_states > 0, "{name} never ends");
}

/// Checks that a recorded path can be replayed and violates no invariant.
fn assert_path_holds(name: &str, path: &str) {
    let scenario = scenario(name).expect("the scenario is registered");
    assert_eq!((scenario.replay)(path), Ok(()), "{name}");
}

#[test]
fn a_drain_in_the_instant_of_an_attempts_end_or_before_the_next_attempt() {
    assert_holds("drain under an attempt");
}

#[test]
fn a_client_that_gives_up_in_the_instant_of_the_answer() {
    assert_holds("late wake-ups");
}

#[test]
fn a_late_first_answer_after_its_attempt_was_cancelled() {
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
fn a_deadline_that_ends_at_the_tick_of_a_wake_up() {
    assert_holds("no estimates");
}

#[test]
fn a_part_of_a_warming_engine_that_is_under_one_request() {
    assert_holds("warming engine, small part");
}

#[test]
fn a_placement_whose_engines_leave_and_return() {
    assert_holds("placement");
}

#[test]
fn answers_split_repeated_unknown_or_malformed_and_connections_reset() {
    assert_holds("a connection's faults");
}

#[test]
fn calls_blocked_on_their_connection_when_the_engine_drains() {
    assert_holds("a narrow connection");
    assert_holds("two on a narrow connection");
}

#[test]
fn a_key_whose_requests_run_once_or_again_in_order_with_a_cooldown_and_no_cancel() {
    assert_holds("one key, non-idempotent");
    assert_holds("one key, two effects");
}

#[test]
fn a_client_that_withdraws_or_leaves_in_the_instant_of_the_answer() {
    assert_holds("one client");
}

#[test]
fn a_client_that_leaves_with_the_answer_half_written() {
    assert_holds("a slow reader");
}

#[test]
fn an_engine_that_restarts_under_an_attempt_before_its_end_is_known() {
    assert_holds("restart under an attempt");
}

#[test]
fn a_client_that_resets_its_connection_beside_one_that_posts() {
    assert_holds("two clients");
}

#[test]
fn the_process_ends_under_a_drain_a_reset_and_a_non_idempotent_request() {
    assert_holds("shutdown of the router");
}

#[test]
fn an_engine_replaced_under_a_new_id_at_its_address() {
    assert_holds("a connection's answers");
}

#[test]
fn the_process_ends_while_a_request_with_a_key_is_with_an_engine() {
    assert_holds("shutdown, idempotency key");
}

#[test]
fn lines_in_pieces_with_time_or_an_end_between() {
    assert_holds("lines in pieces");
}

#[test]
fn a_list_sent_twice_with_gaps_corrupted_in_pieces_and_again() {
    assert_holds("the discovery service");
}

#[test]
fn a_blocked_call_is_not_begun_after_the_drain() {
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
fn a_blocked_call_that_was_cancelled_is_not_begun_after_the_drain() {
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
fn a_path_that_is_not_there_is_reported_with_what_is_enabled() {
    let scenario = scenario("the discovery service").expect("the scenario is registered");
    let error = (scenario.replay)("SendRest").expect_err("nothing was sent in part");
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
    fn violated(&self, state: &u64, _: bool) -> Option<&'static str> {
        (*state == 77).then_some("odd")
    }
}

#[test]
fn the_first_violation_is_reported_with_a_shortest_path() {
    let violation = explore(&Numbers, GENEROUS_LIMITS).violation.expect("it is violated at 77");
    let path: Vec<u64> = violation.path.iter().map(|step| step.transition).collect();
    expect![["odd by [2, 4, 8, 9, 18, 19, 38, 76, 77]"]]
        .assert_eq(&format!("{} by {path:?}", violation.invariant));
}

#[test]
fn a_search_that_runs_out_never_says_that_it_was_complete() {
    let coverage = |limits| format!("{:?}", explore(&Numbers, limits).statistics.coverage);
    let deep = coverage(SearchLimits { max_depth: Some(3), ..GENEROUS_LIMITS });
    let late = coverage(SearchLimits { time: Duration::ZERO, ..GENEROUS_LIMITS });
    let full = coverage(SearchLimits { memory_mib: 0, ..GENEROUS_LIMITS });
    expect![["ToDepth OutOfTime OutOfMemory"]].assert_eq(&format!("{deep} {late} {full}"));
}

#[test]
fn every_mutant_still_applies() {
    for mutant in MUTANTS {
        let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(mutant.file);
        let text = std::fs::read_to_string(path).expect("a file of the repository");
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
    let run = |words: &[&str]| {
        let done = Command::new(env!("CARGO_BIN_EXE_emberflow-model-checker"))
            .args(words)
            .output()
            .expect("it runs");
        done.status.code().unwrap_or(-1)
    };
    let codes = [
        run(&["no such scenario"]),
        run(&["--fast"]),
        run(&["--time", "soon"]),
        run(&["--time", "0", "silent engine"]),
        run(&["late wake-ups"]),
        run(&["a planned restart"]),
    ];
    expect![["[2, 2, 2, 3, 0, 0]"]].assert_eq(&format!("{codes:?}"));
}
