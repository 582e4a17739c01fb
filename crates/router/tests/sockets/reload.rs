//! Tests of reading the configuration and the operator's file, at start and at SIGHUP. The files are complete,
//! malformed or incomplete.

use crate::harness::*;
use expect_test::expect;
use std::path::Path;
use std::process::Command;

#[test]
fn a_reloaded_operator_file_moves_queued_requests_or_changes_nothing() {
    let (mut router, mut client, mut engine) =
        start_one_engine_with_operator_file("operator-reload", &long_deadline_settings(), TWO_TEAMS);
    for id in 1..=3 {
        client.send(&large_request("posting", id, LONG_REQUEST_TIMEOUT));
    }
    client.send(&large_request("audit", 4, LONG_REQUEST_TIMEOUT));
    let mut id = router.record_next_call(&mut engine);
    let operator_files = [
        (log_lines::RELOAD_FAILED, "{teams: {list: [{name: 'audit', share: -1}]}}"),
        (log_lines::TEAM_REMOVED, "{teams: {list: [{name: 'audit', share: 5}]}}"),
    ];
    for (awaited, text) in operator_files {
        router.reload_operator_file(text);
        router.wait_for_log(awaited);
    }
    for _ in 0..2 {
        router.record_result(&mut client, &mut engine, id, "1\t2\t3\n");
        id = router.record_next_call(&mut engine);
    }
    // Without teams, the last queued request moves to the scheduler, which rejects it after a short time in its queue.
    router.reload_operator_file("{}");
    router.wait_for_log(log_lines::TEAMS_REMOVED);
    router.record_answer(&mut client);
    router.record_result(&mut client, &mut engine, id, "1\t2\t3\n");
    expect![[r#"
        GET 0000000000000001 queue=lookup,mem=6554,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"MQkyCTMK"}}
        GET 0000000000000002 queue=lookup,mem=6554,prio=2 select 1
        {"jsonrpc":"2.0","id":2,"result":{"data":"MQkyCTMK"}}
        GET 0000000000000004 queue=lookup,mem=6554,prio=2 select 1
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":3,"jsonrpc":"2.0"}
        {"jsonrpc":"2.0","id":4,"result":{"data":"MQkyCTMK"}}
        exit status Some(0): reloads=2 reloads_refused=1 requests_succeeded=3
    "#]].assert_eq(&router.finish(&["requests_succeeded", "reloads", "reloads_refused"]));
}

#[test]
fn a_reloaded_configuration_moves_discovery_and_a_malformed_one_changes_nothing() {
    let (mut router, mut client, mut engine) = start_with_one_engine("reload", &ordinary_settings());
    let address = router.engine_address(0);
    let mut previous_discovery = router.accept_discovery();
    router.record_forwarded(&mut client, &mut engine, 1, "lookup");
    router.reload_configuration("{\"name\":");
    router.wait_for_log(log_lines::RELOAD_FAILED);
    // A repeated event is ignored, and the connection stays.
    previous_discovery.send(&change_frame(2, &[ready_engine(7, address)]).repeat(2));
    let moved_configuration = router.move_discovery();
    let mut other_client = router.connect_client();
    router.record(other_client.status(1));
    router.reload_configuration(&moved_configuration);
    let _moved_discovery = router.accept_discovery();
    router.record_result(&mut client, &mut engine, 1, "x\t\t\n");
    router.record(format!("the previous discovery reads {:?} bytes", previous_discovery.read_more().ok()));
    // The graceful shutdown takes 0.7 s, within which the reload must arrive.
    router.signal_in_turn(&["-TERM", "-HUP"]);
    expect![[r#"
        discovery dialled after event 1
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        {"id":1,"jsonrpc":"2.0","result":{"serving":true}}
        discovery dialled after event 2
        {"jsonrpc":"2.0","id":1,"result":{"data":"eAkJCg=="}}
        the previous discovery reads Some(0) bytes
        exit status Some(0): discovery_events_repeated=1 reloads=2 reloads_refused=1
    "#]]
    .assert_eq(&router.finish(&[
        "reloads",
        "reloads_refused",
        "discovery_lost",
        "discovery_events_repeated",
    ]));
}

/// At SIGHUP the file may be incomplete, or may configure another router. Changed settings take effect only at a
/// restart.
#[test]
fn an_incomplete_configuration_is_retried_and_that_of_another_router_rejected() {
    let mut router = RouterHarness::start("incomplete-file", 1, &ordinary_settings());
    let _previous_discovery = router.accept_discovery();
    let complete = router.move_discovery().replace("\"lookup\"", "\"view\"");
    router.reload_configuration(&complete.replace("\"n0\"", "\"n1\""));
    router.wait_for_log(log_lines::CONFIGURATION_OF_ANOTHER);
    router.write_configuration(&complete[..complete.len() / 2]);
    router.write_configuration(&complete);
    router.wait_for_log(log_lines::SETTINGS_NEED_RESTART);
    let _moved_discovery = router.accept_discovery();
    // The request classes are still those that the router read at its start.
    let (mut router, mut client, mut engine) = with_client_and_engine(router);
    client.send_request(1, "lookup");
    router.record_further_calls(&mut engine, 1).record_answer(&mut client);
    expect![[r#"
        discovery dialled after event 1
        discovery dialled after event 1
        further calls: [1]
        {"jsonrpc":"2.0","id":1,"result":{"data":"YQliCWMK"}}
        exit status Some(0): reloads=1 reloads_refused=1
    "#]]
    .assert_eq(&router.finish(&["reloads", "reloads_refused"]));
}

/// Returns the exit code of a command and the first line of its standard error, without the directory of the tests.
fn failure_of(mut command: Command) -> String {
    let output = command.output().expect("the router's binary starts");
    let errors = String::from_utf8_lossy(&output.stderr).replace(env!("CARGO_TARGET_TMPDIR"), "");
    format!("{:?} {}", output.status.code(), errors.lines().next().unwrap_or_default())
}

fn command_with(arguments: &[&str]) -> Command {
    let mut command = router_command();
    command.args(arguments);
    command
}

fn serve(configuration: impl AsRef<Path>) -> Command {
    let mut command = command_with(&["serve", "--config"]);
    command.arg(configuration.as_ref());
    command
}

fn serve_text(name: &str, text: &str) -> Command {
    serve(write_configuration_file(name, text))
}

#[test]
fn a_failed_start_prints_one_line_with_its_cause() {
    let running = RouterHarness::start("address-in-use", 0, &ordinary_settings());
    let address_in_use = serve_text("same-address", &minimal_configuration(running.address));
    let failures = [
        failure_of(command_with(&["serve"])),
        failure_of(serve("/nowhere/at/all")),
        failure_of(serve_text("empty", "{}")),
        failure_of(serve_text("broken", "{\"name\":")),
        failure_of(command_with(&["dance"])),
        failure_of(address_in_use).replace(&running.address.to_string(), "the address"),
        failure_of(router_command()),
    ];
    expect![[r#"
        Some(1) emberflow: no configuration file: neither `--config` nor EDGE_CONFIG is set
        Some(1) emberflow: /nowhere/at/all: the file cannot be read: No such file or directory (os error 2)
        Some(1) emberflow: /empty.json: `limits` is missing
        Some(1) emberflow: /broken.json: the file is not JSON: EOF while parsing a value at line 1 column 8
        Some(2) emberflow: unknown command: dance
        Some(1) emberflow: the router cannot listen on the address: Address already in use (os error 98)
        Some(2) emberflow: the command is missing: `serve`, `check`, `version` or `help`"#]]
    .assert_eq(&failures.join("\n"));
}
