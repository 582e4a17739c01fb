//! Tests of the router's server without sockets or clock: deadlines of requests, and the closing of idle clients.

use emberflow_router::bootstrap::Bootstrap;
use emberflow_router::clients::{ClientInput, Clients, ReadOutcome};
use emberflow_router::context::Context;
use emberflow_router::final_checks::CloseReason;
use emberflow_router::server::Server;
use emberflow_router::slots::Slot;
use emberflow_router::timers::Timer;
use expect_test::expect;
use std::io::{ErrorKind, Read, Result};
use std::time::Duration;

const CONFIGURATION: &str = r#"{"name":"n0","listen":"127.0.0.1:1","seed":"1",
"limits":{"memory_mb":64,"sockets":16},"bulletin":"127.0.0.1:1","known":{"no":0,"items":[]},
"settings":{"caps":{"cancel":true,"connectTimeoutMs":250,"idleCloseMs":15000,"mostTries":3,"retryAfter":false,
"streamsPerConn":32},"categories":[{"deadlineMs":8000,"gain":1,"lateShare":0,"name":"lookup","onTimeMs":2000.0,
"repeat":"repeatable"}],"discovery":"push","domain":{"kindCores":[8],"largestShare":0.4,"lanesCount":true,
"sizeMb":[16384]},"instances":1,"kinds":["std-8"],"myZone":0,"report":{"how":"none"},"rules":{"fallMs":1000,
"overloadFactor":2.5,"startCapacity":0.3,"warmUpMs":9000},"tickMs":5,"zones":["hall-a"]}}"#;

const NOW: Duration = Duration::from_secs(20);

fn server() -> Server {
    let file = serde_json::from_str(CONFIGURATION).expect("the configuration is JSON");
    let bootstrap = Bootstrap::read(&file, None).expect("the configuration is valid");
    Server::new(bootstrap, Context { now: NOW, ..Context::default() })
}

/// A socket that delivers the received bytes and then would block.
struct ReceivedBytes<'a>(&'a [u8]);

impl ClientInput for ReceivedBytes<'_> {}

impl Read for ReceivedBytes<'_> {
    fn read(&mut self, into: &mut [u8]) -> Result<usize> {
        match self.0.read(into)? {
            0 => Err(ErrorKind::WouldBlock.into()),
            count => Ok(count),
        }
    }
}

/// Passes a client's line that arrived `age_ms` ago to the server. Returns the answer if the server sends one at once.
fn read_line(server: &mut Server, slot: Slot, line: &str, age_ms: u64) -> String {
    let received_at = server.dispatcher.context.now() - Duration::from_millis(age_ms);
    server.read_client_line(slot, received_at, &mut ReceivedBytes(line.as_bytes()), || false);
    let mut answer = Vec::new();
    server.dispatcher.clients.flush(slot, &mut answer).expect("writing to memory does not fail");
    if answer.is_empty() {
        return "no answer yet\n".into();
    }
    String::from_utf8(answer).expect("answers are UTF-8")
}

fn request_line(id: u64, deadline_ms: u64) -> String {
    format!(
        r#"{{"jsonrpc":"2.0","id":{id},"method":"lookup","params":{{"req":"{id:016x}","timeout":{deadline_ms},"data":"c2VsZWN0IDE="}}}}"#
    ) + "\n"
}

/// A deadline counts from the arrival of a request's last byte, even if the router reads it late.
#[test]
fn a_deadline_counts_from_the_arrival_of_the_line() {
    let mut server = server();
    let slot = server.accept_client();
    let answers = [(1, 0), (2, 300), (3, 900)]
        .map(|(id, age_ms)| read_line(&mut server, slot, &request_line(id, 1000), age_ms));
    expect![[r#"
        no answer yet
        no answer yet
        {"error":{"code":-32011,"message":"bounced: a retry is harmless"},"id":3,"jsonrpc":"2.0"}
    "#]]
    .assert_eq(&answers.concat());
}

/// Guards against answers that are sent just before the client's deadline and arrive after it.
#[test]
fn an_answer_is_sent_early_enough_to_arrive_before_the_deadline() {
    let mut server = server();
    let slot = server.accept_client();
    let answers = [(1, 100), (2, 200)]
        .map(|(id, deadline_ms)| read_line(&mut server, slot, &request_line(id, deadline_ms), 0));
    expect![[r#"
        {"error":{"code":-32011,"message":"bounced: a retry is harmless"},"id":1,"jsonrpc":"2.0"}
        no answer yet
    "#]]
    .assert_eq(&answers.concat());
}

#[test]
fn a_client_that_disconnects_as_its_timer_expires_is_not_counted_as_idle() {
    let mut server = server();
    let slots = [server.accept_client(), server.accept_client()];
    server.dispatcher.context.now = NOW + Duration::from_secs(2);
    server.close_client(slots[0], CloseReason::Disconnected);
    slots.into_iter().for_each(|slot| server.timer_expired(Timer::ClientIdleCheck(slot)));
    expect!["clients_admitted=2 clients_idle=1"].assert_eq(&server.dispatcher.context.counters.to_string());
}

/// Returns the index of the client that would be closed for a new one `ms` after the start.
fn replaceable_client_after(server: &mut Server, slots: &[Slot], ms: u64) -> Option<usize> {
    let now = NOW + Duration::from_millis(ms);
    server.dispatcher.context.now = now;
    let longest_idle = server.dispatcher.clients.longest_idle(now)?;
    Some(slots.iter().position(|slot| *slot == longest_idle).expect("one of the admitted clients"))
}

#[test]
fn clients_without_input_and_then_the_longest_idle_are_replaced() {
    let mut server = server();
    let slots: Vec<Slot> = (0..4).map(|_| server.accept_client()).collect();
    let status = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n";
    read_line(&mut server, slots[0], status, 0);
    read_line(&mut server, slots[1], &request_line(1, 8000), 0);
    let mut replaceable = Vec::new();
    for ms in [49, 50] {
        replaceable.push((ms, replaceable_client_after(&mut server, &slots, ms)));
    }
    let part_of_a_line = "{";
    read_line(&mut server, slots[2], part_of_a_line, 0);
    for ms in [51, 99] {
        let index = replaceable_client_after(&mut server, &slots, ms);
        replaceable.push((ms, index));
        if let Some(index) = index {
            server.close_client(slots[index], CloseReason::ReplacedWhileIdle);
        }
    }
    replaceable.push((100, replaceable_client_after(&mut server, &slots, 100)));
    let lines: String = replaceable.iter().map(|(ms, index)| format!("after {ms} ms: {index:?}\n")).collect();
    expect![[r#"
        after 49 ms: None
        after 50 ms: Some(2)
        after 51 ms: Some(3)
        after 99 ms: Some(0)
        after 100 ms: Some(2)
    "#]]
    .assert_eq(&lines);
}

/// A socket whose bytes arrived earlier than the event loop assumes.
struct LateLine<'a> {
    bytes: ReceivedBytes<'a>,
    /// The time of arrival that the kernel reports.
    arrived_at: Duration,
}

impl ClientInput for LateLine<'_> {
    fn earliest_arrival(&self, _: Duration, assumed: Duration) -> Duration {
        assumed.min(self.arrived_at)
    }
}

impl Read for LateLine<'_> {
    fn read(&mut self, into: &mut [u8]) -> Result<usize> {
        self.bytes.read(into)
    }
}

/// Guards against deadlines that count from the time at which the process was scheduled again, after the line arrived.
#[test]
fn a_deadline_counts_from_the_earliest_possible_arrival() {
    let ms = Duration::from_millis;
    let received_at = |arrived_at, assumed| {
        let mut clients = Clients::with_limits(1000, 1000);
        let slot = clients.table.next_slot();
        clients.admit(ms(0));
        let mut input = LateLine { bytes: ReceivedBytes(b"{}\n"), arrived_at };
        match clients.read_line(slot, ms(1000), assumed, &mut input, || false) {
            ReadOutcome::Line { received_at, .. } => received_at,
            _ => panic!("a complete line was received"),
        }
    };
    assert_eq!(received_at(ms(600), ms(990)), ms(600), "the process was not scheduled while it polled");
    assert_eq!(received_at(ms(995), ms(990)), ms(990), "the loop itself was late");
}
