//! Tests of the endpoint list: draining and restarted engines, malformed frames, and a lost or inactive discovery
//! service.

use crate::harness::*;
use expect_test::expect;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Number of bytes of a frame that is sent only in part.
const INCOMPLETE_FRAME_BYTES: usize = 20;
/// Longer than the 2.5 s without a frame after which the router dials the discovery service again.
const LONGER_THAN_DISCOVERY_TIMEOUT: Duration = Duration::from_millis(2600);

#[test]
fn a_removed_engine_still_answers_after_another_engine_got_its_address() {
    let (mut router, mut client, mut engine) = start_with_one_engine("removed", &ordinary_settings());
    let mut discovery = router.accept_discovery();
    let address = router.engine_address(0);
    router.record_forwarded(&mut client, &mut engine, 1, "lookup");
    let frame = change_frame(2, &[removed_engine(0, address), ready_engine(7, address)]);
    let (first, second) = frame.split_at(11);
    discovery.send(first);
    discovery.send(second);
    router.wait_for_log(&log_lines::discovery_event(2));
    router.record_forwarded(&mut client, &mut engine, 2, "lookup");
    router.record_result(&mut client, &mut engine, 1, "from the removed engine\t\t\n");
    drop(discovery);
    let _discovery = router.accept_discovery();
    expect![[r#"
        discovery dialled after event 1
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        GET 0000000000000002 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"ZnJvbSB0aGUgcmVtb3ZlZCBlbmdpbmUJCQo="}}
        discovery dialled after event 2
        exit status Some(0): connections_dialled=2 discovery_lost=1
    "#]]
    .assert_eq(&router.finish(&["connections_dialled", "discovery_lost"]));
}

#[test]
fn a_malformed_frame_changes_nothing_and_discovery_is_dialled_again() {
    let mut router = RouterHarness::start("frame", 1, &ordinary_settings());
    let address = router.engine_address(0);
    let gap = change_frame(5, &[removed_engine(0, address)]);
    let unknown_kind = change_frame(2, &[engine_of_unknown_kind(0, address)]);
    let too_long = vec![255; 16];
    for frame in [gap, unknown_kind, too_long] {
        let mut discovery = router.accept_discovery();
        discovery.send(&frame);
        assert_eq!(discovery.read_more().unwrap_or(0), 0, "the router closes the connection");
    }
    let (mut router, mut client, mut engine) = with_client_and_engine(router);
    router.record_forwarded(&mut client, &mut engine, 1, "lookup");
    expect![[r#"
        discovery dialled after event 1
        discovery dialled after event 1
        discovery dialled after event 1
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        exit status Some(0): discovery_lost=3 list_events=1
    "#]]
    .assert_eq(&router.finish(&["discovery_lost", "list_events"]));
}

#[test]
fn attempts_end_when_the_endpoint_list_announces_a_restart_of_their_engine() {
    let (mut router, mut client, mut engine) = start_with_one_engine("restarted", &ordinary_settings());
    let mut discovery = router.accept_discovery();
    let address = router.engine_address(0);
    router.record_forwarded(&mut client, &mut engine, 1, "lookup");
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is past 1970");
    let after_the_connection = now + Duration::from_secs(1);
    let restart = restarted_engine(0, address, after_the_connection.as_millis() as u64);
    discovery.send_changes(2, &[restart]);
    router.record_commands(&mut engine, 2);
    router.record_result(&mut client, &mut engine, 1, "x\t\t\n");
    expect![[r#"
        discovery dialled after event 1
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        closed
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"eAkJCg=="}}
        exit status Some(0): attempts_broken=1 attempts_succeeded=1
    "#]]
    .assert_eq(&router.finish(&["attempts_broken", "attempts_succeeded"]));
}

#[test]
fn discovery_is_dialled_again_in_time_after_a_close_or_inactivity() {
    let mut router = RouterHarness::start("inactive", 1, &ordinary_settings());
    let address = router.engine_address(0);
    let frame = change_frame(2, &[ready_engine(0, address)]);
    let mut closed = router.accept_discovery();
    closed.send(&frame[..INCOMPLETE_FRAME_BYTES]);
    drop(closed);
    let closed_at = Instant::now();
    let mut inactive = router.accept_discovery();
    let in_time_after_close = closed_at.elapsed() < Duration::from_secs(2);
    inactive.send(&frame);
    inactive.send(&frame[..INCOMPLETE_FRAME_BYTES]);
    let inactive_since = Instant::now();
    let _redialled = router.accept_discovery();
    let in_time_after_inactivity = inactive_since.elapsed() < Duration::from_secs(4);
    router.record(format!("within 2 s after a close: {in_time_after_close}"));
    router.record(format!("within 4 s without a frame: {in_time_after_inactivity}"));
    expect![[r#"
        discovery dialled after event 1
        discovery dialled after event 1
        discovery dialled after event 2
        within 2 s after a close: true
        within 4 s without a frame: true
        exit status Some(0): discovery_dialled=3 list_events=2
    "#]]
    .assert_eq(&router.finish(&["list_events", "discovery_dialled"]));
}

/// An engine drains at the same moment as its result frees capacity for the queued request.
#[test]
fn a_queued_request_is_not_sent_to_an_engine_that_drains_as_it_gains_capacity() {
    let (mut router, mut client, mut engine) = start_with_one_engine("drains", &long_queueing_settings());
    let mut discovery = router.accept_discovery();
    let address = router.engine_address(0);
    client.send(&filling_request(1));
    router.record_next_call(&mut engine);
    client.send(&filling_request(2));
    client.status(99);
    router.while_stopped(|_| {
        engine.send_result(1, ROWS);
        discovery.send_changes(2, &[draining_engine(0, address)]);
    });
    router.record_answer(&mut client).record_further_calls(&mut engine, 0);
    expect![[r#"
        discovery dialled after event 1
        GET 0000000000000001 queue=lookup,mem=6554,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"YQliCWMK"}}
        further calls: []
        exit status Some(0): requests_rejected=1
    "#]]
    .assert_eq(&router.finish(&["requests_rejected"]));
}

/// Discovery sends an event while the process is stopped for longer than the discovery timeout.
#[test]
fn unread_events_are_applied_before_discovery_times_out_or_moves() {
    let mut router = RouterHarness::start("unread-event", 1, &ordinary_settings());
    let mut previous = router.accept_discovery();
    let address = router.engine_address(0);
    router.while_stopped(|_| {
        previous.send_changes(2, &[ready_engine(0, address)]);
        std::thread::sleep(LONGER_THAN_DISCOVERY_TIMEOUT);
    });
    router.wait_for_log(&log_lines::discovery_event(2));
    let moved_configuration = router.move_discovery();
    // An event with a draining engine is unread when the configuration moves discovery. The new service sends nothing.
    router.while_stopped(|router| {
        router.reload_configuration(&moved_configuration);
        previous.send_changes(3, &[draining_engine(0, address)]);
    });
    let _inactive = router.accept_discovery();
    let mut client = router.connect_client();
    client.send_request(1, "lookup");
    router.record_answer(&mut client);
    expect![[r#"
        discovery dialled after event 1
        discovery dialled after event 3
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":1,"jsonrpc":"2.0"}
        exit status Some(0): discovery_dialled=2 reloads=1
    "#]].assert_eq(&router.finish(&["discovery_dialled", "attempts_sent", "reloads"]));
}

/// Idle clients use all descriptors while the discovery service is unavailable. The router still dials the service once
/// it is available, answers the open request, and serves a new client by the engine that is not draining.
#[test]
fn idle_clients_do_not_block_the_reconnection_to_discovery() {
    let limits = ResourceLimits::with_descriptors(24);
    let mut router = RouterHarness::start_with_limits(limits, "returns", 2, &long_queueing_settings());
    let lost_discovery = router.accept_discovery();
    let mut waiting_client = router.connect_client();
    waiting_client.send_request_within(LONG_REQUEST_TIMEOUT, 1, "lookup");
    let mut engines = router.two_engines_by_first_command();
    engines[0].next_call();
    let drain = draining_engine(router.endpoint_id_of(&engines[0]), engines[0].address());
    let discovery_address = router.close_discovery_listener();
    drop(lost_discovery);
    router.wait_for_log(log_lines::DISCOVERY_LOST);
    let idle_clients = router.while_stopped(|router| {
        let mut idle_clients = router.connect_clients(22);
        for client in &mut idle_clients {
            client.send_bytes(&status_line(1));
        }
        idle_clients
    });
    router.listen_for_discovery(discovery_address);
    let mut discovery = router.accept_discovery();
    discovery.send_changes(2, &[drain]);
    router.wait_for_log(&log_lines::discovery_event(2));
    let mut new_client = router.connect_client();
    new_client.send_request_within(LONG_REQUEST_TIMEOUT, 2, "lookup");
    router.record(engines[1].next_call());
    engines[1].send_result(2, ROWS);
    engines[0].send_result(1, ROWS);
    router.record_answer(&mut new_client).record_answer(&mut waiting_client);
    drop(idle_clients);
    expect![[r#"
        discovery dialled after event 1
        discovery dialled after event 1
        GET 0000000000000002 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":2,"result":{"data":"YQliCWMK"}}
        {"jsonrpc":"2.0","id":1,"result":{"data":"YQliCWMK"}}
        exit status Some(0): clients_closed_for_capacity=12 requests_succeeded=2
    "#]]
    .assert_eq(&router.finish(&[
        "requests_succeeded",
        "requests_cancelled",
        "accepts_failed",
        "clients_closed_for_capacity",
    ]));
}
