//! The machine that owns the decisions, without sockets or clock.

use emberflow_router::bootstrap::Bootstrap;
use emberflow_router::context::Context;
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
    let file = serde_json::from_str(CONFIGURATION).expect("JSON");
    let bootstrap = Bootstrap::read(&file, None).expect("it makes sense");
    Server::new(bootstrap, Context { now: NOW, ..Context::default() })
}

/// What has come, and nothing more for now.
struct Came<'a>(&'a [u8]);

impl Read for Came<'_> {
    fn read(&mut self, into: &mut [u8]) -> Result<usize> {
        match self.0.read(into)? {
            0 => Err(ErrorKind::WouldBlock.into()),
            count => Ok(count),
        }
    }
}

/// Says a line that came so long ago; what is answered at once.
fn says(server: &mut Server, slot: Slot, line: &str, ago: u64) -> String {
    let since = server.dispatcher.context.now() - Duration::from_millis(ago);
    server.hear(slot, since, &mut Came(line.as_bytes()), || false);
    let mut said = Vec::new();
    server.dispatcher.clients.drain(slot, &mut said).expect("it is written");
    if said.is_empty() { "no answer yet\n".into() } else { String::from_utf8(said).expect("text") }
}

fn ask(id: u64, deadline: u64) -> String {
    format!(
        r#"{{"jsonrpc":"2.0","id":{id},"method":"lookup","params":{{"req":"{id:016x}","timeout":{deadline},"data":"c2VsZWN0IDE="}}}}"#
    ) + "\n"
}

/// The rule counts from a request's last byte, however late the router is to read it.
#[test]
fn deadline_counts_from_when_a_line_came() {
    let mut server = server();
    let slot = server.admit();
    let told = [(1, 0), (2, 300), (3, 900)].map(|(id, ago)| says(&mut server, slot, &ask(id, 1000), ago));
    expect![[r#"
        no answer yet
        no answer yet
        {"error":{"code":-32011,"message":"bounced: a retry is harmless"},"id":3,"jsonrpc":"2.0"}
    "#]]
    .assert_eq(&told.concat());
}

/// Seen on days with bad clients: answers left 4 ms before their clients gave up, and came after.
#[test]
fn an_answer_leaves_sooner_by_what_its_way_may_take() {
    let mut server = server();
    let slot = server.admit();
    let told = [(1, 100), (2, 200)].map(|(id, deadline)| says(&mut server, slot, &ask(id, deadline), 0));
    expect![[r#"
        {"error":{"code":-32011,"message":"bounced: a retry is harmless"},"id":1,"jsonrpc":"2.0"}
        no answer yet
    "#]]
    .assert_eq(&told.concat());
}

#[test]
fn a_client_that_ended_as_its_time_came_is_not_counted_as_idle() {
    let mut server = server();
    let slots = [server.admit(), server.admit()];
    server.dispatcher.context.now = NOW + Duration::from_secs(2);
    server.client_gone(slots[0], "closed by the client");
    slots.into_iter().for_each(|slot| server.due(Timer::Client(slot)));
    expect!["clients_admitted=2 clients_idle=1"].assert_eq(&server.dispatcher.context.counters.to_string());
}

#[test]
fn room_is_made_by_who_was_quiet_and_first_by_who_never_spoke() {
    let mut server = server();
    let slots: Vec<Slot> = (0..4).map(|_| server.admit()).collect();
    let status = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n";
    says(&mut server, slots[0], status, 0);
    says(&mut server, slots[1], &ask(1, 8000), 0);
    let mut told = String::new();
    let mut look = |server: &mut Server, ms: u64| {
        let now = NOW + Duration::from_millis(ms);
        server.dispatcher.context.now = now;
        let idle = server
            .dispatcher
            .clients
            .longest_idle(now)
            .map(|slot| slots.iter().position(|other| *other == slot));
        told += &format!("after {ms} ms: {idle:?}\n");
        idle.flatten()
    };
    look(&mut server, 49);
    look(&mut server, 50);
    // A part of a line has come.
    says(&mut server, slots[2], "{", 0);
    for ms in [51, 99] {
        if let Some(idle) = look(&mut server, ms) {
            server.client_gone(slots[idle], "for room");
        }
    }
    look(&mut server, 100);
    expect![[r#"
        after 49 ms: None
        after 50 ms: Some(Some(2))
        after 51 ms: Some(Some(3))
        after 99 ms: Some(Some(0))
        after 100 ms: Some(Some(2))
    "#]]
    .assert_eq(&told);
}
