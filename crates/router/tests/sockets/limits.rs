//! Tests of the limits of descriptors, memory and time, and of fairness under floods of clients.

use crate::harness::*;
use expect_test::expect;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Longer than the time for which bytes of a client may be in transit. A client that was inactive for this time counts
/// as idle.
const LONGER_THAN_TRANSIT_TIME: Duration = Duration::from_millis(60);

/// A timeout that expires during a flood.
const SHORT_TIMEOUT: Duration = Duration::from_millis(500);

#[test]
fn at_the_client_limit_unused_and_then_longest_idle_connections_are_closed() {
    let limits = ResourceLimits::with_descriptors(12);
    let mut router = RouterHarness::start_with_limits(limits, "client-limit", 1, &ordinary_settings());
    let silent_client = 3;
    let mut clients = Vec::new();
    for index in 0..8 {
        let mut client = router.connect_client();
        if index != silent_client {
            client.status(1);
        }
        clients.push(client);
    }
    router.record_answer(&mut clients[silent_client]).record_answer(&mut clients[0]);
    router.record(clients[1].status(1));
    expect![[r#"
        closed
        closed
        {"id":1,"jsonrpc":"2.0","result":{"serving":true}}
        exit status Some(0): clients_admitted=8 clients_closed_for_capacity=2
    "#]]
    .assert_eq(&router.finish(&["clients_admitted", "clients_closed_for_capacity"]));
}

#[test]
fn the_router_does_not_read_from_a_client_that_does_not_read() {
    /// Number of requests whose answers exceed the buffers of the kernel.
    const MORE_THAN_THE_KERNEL_BUFFERS: u64 = 2000;
    /// Number of pages of each answer.
    const PAGES: u32 = 8;
    let limits = ResourceLimits { memory_mb: 4, descriptors: 64 };
    let (mut router, mut client, mut engine) =
        start_one_engine_with_limits(limits, "slow", &long_deadline_settings());
    let page = "x\ty\tz\n".repeat(1000);
    let mut id = 1;
    client.send_request_within(LONG_REQUEST_TIMEOUT, id, "lookup");
    while id < MORE_THAN_THE_KERNEL_BUFFERS && router.forwards_from(&client, &mut engine) {
        engine.next_command();
        engine.send_pages(id, PAGES, &page);
        id += 1;
        client.send_request_within(LONG_REQUEST_TIMEOUT, id, "lookup");
    }
    let unread = id;
    router.record(format!("stops reading: {}", unread < MORE_THAN_THE_KERNEL_BUFFERS));
    let is_answer_to = |line: &str, answered: u64| {
        line.starts_with(&format!(r#"{{"jsonrpc":"2.0","id":{answered},"result""#))
    };
    let all_in_order = (1..unread).all(|answered| is_answer_to(&client.read_line(), answered));
    router.record(format!("all answers complete and in order: {all_in_order}"));
    let next_call = engine.next_command().replace(&format!("{unread:016x}"), "the unread request");
    router.record(next_call);
    let transcript = router.finish(&[
        "clients_too_slow",
        "requests_accepted",
        "requests_succeeded",
        "requests_cancelled",
        "requests_rejected",
        "requests_failed",
        "attempts_sent",
        "engine_input_malformed",
    ]);
    // The number of requests that fit depends on the buffers of the kernel.
    let transcript =
        transcript.replace(&format!("={unread}"), "=SENT").replace(&format!("={}", unread - 1), "=SENT-1");
    expect![[r#"
        stops reading: true
        all answers complete and in order: true
        GET the unread request queue=lookup,mem=120,prio=2 select 1
        exit status Some(0): attempts_sent=SENT requests_accepted=SENT requests_rejected=1 requests_succeeded=SENT-1
    "#]]
    .assert_eq(&transcript);
}

#[test]
fn inactive_clients_and_those_with_an_incomplete_line_are_closed_in_time() {
    let mut router = RouterHarness::start("stalled", 1, &ordinary_settings());
    let started_at = Instant::now();
    let mut silent = router.connect_client();
    let mut stalled = router.connect_client();
    let mut idle = router.connect_client();
    let mut waiting = router.connect_client();
    stalled.send_bytes(b"{\"jsonrpc\"");
    idle.status(1);
    waiting.send_request(1, "lookup");
    let mut engine = router.engine(0);
    engine.next_call();
    router.record_answer(&mut silent).record_answers(&mut stalled, 2);
    router.record(format!("within 3 s: {}", started_at.elapsed().as_secs() < 3));
    router.record_answer(&mut idle);
    router.record(format!("idle for more than 4 s: {}", started_at.elapsed().as_secs() >= 4));
    // A client with an open request stays connected until it is answered.
    router.record_answer(&mut waiting);
    expect![[r#"
        closed
        {"error":{"code":-32700,"message":"a line that stopped short"},"id":null,"jsonrpc":"2.0"}
        closed
        within 3 s: true
        closed
        idle for more than 4 s: true
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":1,"jsonrpc":"2.0"}
        exit status Some(0): clients_idle=2 clients_stalled=1
    "#]].assert_eq(&router.finish(&["clients_idle", "clients_stalled"]));
}

/// Returns a frame that removes the engine of the previous event and announces another at the same address.
fn replace_engine(event: u64, address: SocketAddr) -> Vec<u8> {
    let removed = event as u32 - 2;
    change_frame(event, &[removed_engine(removed, address), ready_engine(removed + 1, address)])
}

#[test]
fn no_state_is_retained_of_removed_engines_closed_clients_and_answered_requests() {
    const ENGINES_PER_ROUND: u64 = 300;
    const CLIENTS_PER_ROUND: u64 = 200;
    const FIRST_EVENT: u64 = 2;
    const MAX_TIMERS: u64 = 20;
    let mut router = RouterHarness::start("churn", 1, &ordinary_settings());
    let mut discovery = router.accept_discovery();
    let address = router.engine_address(0);
    let mut engine = router.engine(0);
    for round in 0..10 {
        let first = FIRST_EVENT + round * ENGINES_PER_ROUND;
        let events = first..first + ENGINES_PER_ROUND;
        let frames: Vec<u8> = events.clone().flat_map(|event| replace_engine(event, address)).collect();
        discovery.send(&frames);
        router.wait_for_log(&log_lines::discovery_event(events.end - 1));
        for id in 1..=CLIENTS_PER_ROUND {
            let mut client = router.connect_client();
            if id % 10 == 0 {
                discovery.send_heartbeat(events.end - 1);
                serve_request(&mut client, &mut engine, id, "lookup", ROWS);
            } else {
                client.status(1);
            }
        }
    }
    let transcript = router.finish(&[
        "requests_succeeded",
        "clients_admitted",
        "engines_forgotten",
        "held_clients",
        "held_requests",
        "held_attempts",
        "held_engines",
        "held_connections",
        "held_timers",
    ]);
    let (transcript, timers) = transcript.trim().rsplit_once("held_timers=").expect("the last counter");
    let few_timers = timers.parse::<u64>().is_ok_and(|count| count < MAX_TIMERS);
    expect![[r#"
        discovery dialled after event 1
        exit status Some(0): clients_admitted=2000 engines_forgotten=3000 requests_succeeded=200 held_clients=0 held_requests=0 held_engines=1 held_connections=1 held_attempts=0 few timers: true"#]]
    .assert_eq(&format!("{transcript}few timers: {few_timers}"));
}

/// Guards against closing a new connection, whose request is not read yet, in order to admit later connections.
#[test]
fn a_connection_with_unread_input_is_not_closed_to_admit_others() {
    let limits = ResourceLimits::with_descriptors(24);
    let (mut router, mut known_client, mut engine) =
        start_one_engine_with_limits(limits, "unread", &ordinary_settings());
    known_client.status(1);
    std::thread::sleep(LONGER_THAN_TRANSIT_TIME);
    let (mut new_client, _silent_clients) = router.while_stopped(|router| {
        known_client.send_request(1, "lookup");
        let mut new_client = router.connect_client();
        new_client.send_request(2, "lookup");
        (new_client, router.connect_clients(20))
    });
    for _ in 0..2 {
        let request = engine.next_request();
        engine.send_result(request, ROWS);
    }
    router.record_answer(&mut known_client).record_answer(&mut new_client);
    expect![[r#"
        {"jsonrpc":"2.0","id":1,"result":{"data":"YQliCWMK"}}
        {"jsonrpc":"2.0","id":2,"result":{"data":"YQliCWMK"}}
        exit status Some(0): requests_succeeded=2
    "#]]
    .assert_eq(&router.finish(&["requests_succeeded", "requests_cancelled"]));
}

#[test]
fn lines_of_a_flood_are_interleaved_with_those_of_other_clients() {
    let mut router = RouterHarness::start_with_debug_log("flood", 1, &ordinary_settings());
    let mut flooding_clients = router.connect_clients(3);
    let mut client = router.connect_client();
    for connected in flooding_clients.iter_mut().chain([&mut client]) {
        connected.status(1);
    }
    router.while_stopped(|_| {
        for flooding_client in &mut flooding_clients {
            flooding_client.send_line(&vec!["nonsense"; 100].join("\n"));
        }
        client.send_request(2, "lookup");
    });
    let lines_before =
        router.count_log_lines_before(log_lines::FIRST_REQUEST, log_lines::CLIENT_LINE_REJECTED);
    let is_interleaved = lines_before <= flooding_clients.len();
    router.record(format!("at most one line of each flooding client before the request: {is_interleaved}"));
    router.engine(0).next_call();
    expect![[r#"
        at most one line of each flooding client before the request: true
        exit status Some(0): client_input_refused=300
    "#]]
    .assert_eq(&router.finish(&["client_input_refused"]));
}

/// Opens a connection, sends as many of the bytes as the router reads, and discards all answers.
fn flood(router: SocketAddr, bytes: Vec<u8>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let Ok(mut socket) = TcpStream::connect(router) else { return };
        let mut reading_side = socket.try_clone().expect("a socket can be cloned");
        let reader = std::thread::spawn(move || {
            let mut chunk = [0; 4096];
            while reading_side.read(&mut chunk).is_ok_and(|count| count > 0) {}
        });
        // The router may close the connection before it has read all bytes.
        let _ = socket.write_all(&bytes);
        let _ = socket.shutdown(Shutdown::Write);
        reader.join().expect("the reading thread does not panic");
    })
}

/// Starts floods of noise, of a line without end, of empty lines, of cancelled requests and of requests with a short
/// timeout.
fn start_floods(router: SocketAddr) -> Vec<JoinHandle<()>> {
    let noise = (0u32..200_000).map(|index| (index.wrapping_mul(2_654_435_761) >> 24) as u8).collect();
    let without_line_end = vec![b'['; 3_000_000];
    let empty_lines = vec![b'\n'; 20_000];
    let cancelled = (1000..1200)
        .flat_map(|id| [request(id, "lookup", REQUEST_TIMEOUT).encode(), cancellation_line(id)].concat());
    let short_timeouts = (2000..2300).flat_map(|id| request(id, "lookup", SHORT_TIMEOUT).encode());
    let inputs: [Vec<u8>; 5] =
        [noise, without_line_end, empty_lines, cancelled.collect(), short_timeouts.collect()];
    inputs.into_iter().map(|bytes| flood(router, bytes)).collect()
}

#[test]
fn a_well_behaved_client_is_answered_during_floods() {
    let router = RouterHarness::start("floods", 1, &ordinary_settings());
    let floods = start_floods(router.address);
    let silent_clients = router.connect_clients(60);
    let (mut router, mut client, mut engine) = with_client_and_engine(router);
    let mut complete_answers = 0;
    for id in 1..=20 {
        client.send_request(id, "lookup");
        while engine.next_request() != id {}
        engine.send_result(id, ROWS);
        let answer = format!(r#"{{"jsonrpc":"2.0","id":{id},"result":{{"data":"YQliCWMK"}}}}"#);
        complete_answers += usize::from(client.read_line() == answer);
    }
    for flood in floods {
        flood.join().expect("the thread of a flood does not panic");
    }
    drop(silent_clients);
    router.record(format!("{complete_answers} complete answers in order"));
    expect![[r#"
        20 complete answers in order
        exit status Some(0): requests_succeeded=20
    "#]]
    .assert_eq(&router.finish(&["requests_succeeded", "a_second_answer"]));
}
