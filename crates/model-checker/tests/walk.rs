//! The short set of worlds, walked whole, and what the walk itself must do: find, stop and tell.

use emberflow_model_checker::mutants::{MUTANTS, edited};
use emberflow_model_checker::search::{Bounds, Covered, Walk, walk};
use emberflow_model_checker::walks::entries;
use expect_test::expect;
use std::process::Command;
use std::time::Duration;

const WIDE: Bounds = Bounds { time: Duration::from_secs(600), memory_mb: 8000, depth: None };

/// The world of that name holds all laws, to its fixed point.
fn holds(name: &str) {
    let world = entries().into_iter().find(|world| world.name == name).expect("a world");
    let told = (world.walk)(WIDE.time, WIDE.memory_mb);
    assert_eq!((told.broken, told.extent.covered), (None, Covered::Whole), "{name}");
    assert!(told.extent.ends > 0, "{name} never ends");
}

/// A path that was told once, taken again: it is still there, and breaks nothing.
fn follow(name: &str, steps: &str) {
    let world = entries().into_iter().find(|world| world.name == name).expect("a world");
    assert_eq!((world.follow)(steps), Ok(()), "{name}");
}

#[test]
fn a_drain_told_in_the_instant_of_an_attempts_end_or_before_the_next_attempt() {
    holds("drain under an attempt");
}

#[test]
fn a_client_that_gives_up_in_the_instant_of_the_answer() {
    holds("late wake-ups");
}

#[test]
fn a_late_first_answer_after_its_attempt_was_taken_back() {
    holds("silent engine");
}

#[test]
fn the_process_ends_while_a_referenced_attempt_is_out() {
    holds("closing");
}

#[test]
fn a_attempt_budget_with_room_for_one_of_two_requests() {
    holds("attempt budget");
}

#[test]
fn a_deadline_that_ends_at_the_tick_of_a_wake_up() {
    holds("no estimates");
}

#[test]
fn a_part_of_a_cold_engine_that_is_under_one_request() {
    holds("cold engine, small part");
}

#[test]
fn a_placement_whose_engines_go_and_come() {
    holds("placed");
}

#[test]
fn answers_split_repeated_strayed_or_spoilt_and_connections_reset() {
    holds("a connection's faults");
}

#[test]
fn calls_that_have_no_room_on_their_connection_when_a_drain_is_told() {
    holds("a narrow connection");
    holds("two on a narrow connection");
}

#[test]
fn a_key_whose_requests_run_once_or_again_in_turn_with_a_rest_and_no_cancel() {
    holds("one key, non-idempotent");
    holds("one key, two effects");
}

#[test]
fn a_client_that_withdraws_or_leaves_in_the_instant_of_the_answer() {
    holds("one client");
}

#[test]
fn a_client_that_leaves_with_the_answer_half_written() {
    holds("a slow reader");
}

#[test]
fn an_engine_that_restarts_under_an_attempt_before_its_end_is_known() {
    holds("restart under an attempt");
}

#[test]
fn a_client_that_breaks_off_beside_one_that_posts() {
    holds("two clients");
}

#[test]
fn the_process_ends_under_a_drain_a_reset_and_a_single_use_request() {
    holds("a planned restart");
}

#[test]
fn an_engine_replaced_under_a_new_id_at_its_address() {
    holds("a connection's answers");
}

#[test]
fn the_process_ends_while_a_referenced_request_is_with_an_engine() {
    holds("a restart under a booking");
}

#[test]
fn lines_in_pieces_with_time_or_an_end_between() {
    holds("lines in pieces");
}

#[test]
fn a_list_told_twice_with_gaps_spoilt_in_pieces_and_anew() {
    holds("the discovery service");
}

#[test]
fn a_call_without_room_does_not_leave_after_the_drain() {
    follow(
        "two on a narrow connection",
        "
        Call { request: 0 }
        Up { connection: 0.0 }
        List { what: Drains }
        Flows { connection: 0.0 }
    ",
    );
}

#[test]
fn a_call_given_up_without_room_does_not_leave_after_the_drain() {
    follow(
        "two on a narrow connection",
        "
        Call { request: 0 }
        Up { connection: 0.0 }
        Cancel { call: 0 }
        List { what: Drains }
        Flows { connection: 0.0 }
    ",
    );
}

#[test]
fn a_path_that_is_not_there_is_told_with_what_is() {
    let world = entries().into_iter().find(|world| world.name == "the discovery service").expect("a world");
    expect![[r#"Err("Rest is not among [Event, Break, Spoil { wrong: Unknown }, Spoil { wrong: Length }, Spoil { wrong: Ahead }]")"#]]
        .assert_eq(&format!("{:?}", (world.follow)("Rest")));
}

/// A walk of numbers: from n to n + 1 and 2 n, up to a hundred; `odd` is broken at 77.
struct Numbers;

impl Walk for Numbers {
    type State = u64;
    type Move = u64;

    fn start(&self) -> u64 {
        1
    }
    fn moves(&self, state: &u64, moves: &mut Vec<u64>) {
        moves.extend([state + 1, state * 2].into_iter().filter(|n| *n <= 100));
    }
    fn step(&self, _: &u64, step: &u64) -> u64 {
        *step
    }
    fn fingerprint(&self, state: &u64) -> u64 {
        *state
    }
    fn broken(&self, state: &u64, _: bool) -> Option<&'static str> {
        (*state == 77).then_some("odd")
    }
}

#[test]
fn the_first_broken_law_is_told_with_a_shortest_path() {
    let found = walk(&Numbers, WIDE).found.expect("it is broken");
    let path: Vec<u64> = found.path.iter().map(|(_, step)| *step).collect();
    expect![["odd by [2, 4, 8, 9, 18, 19, 38, 76, 77]"]].assert_eq(&format!("{} by {path:?}", found.law));
}

#[test]
fn a_walk_that_runs_out_never_says_that_it_was_whole() {
    let covered = |bounds| format!("{:?}", walk(&Numbers, bounds).extent.covered);
    let deep = covered(Bounds { depth: Some(3), ..WIDE });
    let late = covered(Bounds { time: Duration::ZERO, ..WIDE });
    let full = covered(Bounds { memory_mb: 0, ..WIDE });
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
fn bad_words_end_with_2_and_an_unfinished_walk_with_3() {
    let run = |words: &[&str]| {
        let done = Command::new(env!("CARGO_BIN_EXE_emberflow-model-checker"))
            .args(words)
            .output()
            .expect("it runs");
        done.status.code().unwrap_or(-1)
    };
    let codes = [
        run(&["no such world"]),
        run(&["--fast"]),
        run(&["--time", "soon"]),
        run(&["--time", "0", "silent engine"]),
        run(&["late wake-ups"]),
    ];
    expect![["[2, 2, 2, 3, 0]"]].assert_eq(&format!("{codes:?}"));
}
