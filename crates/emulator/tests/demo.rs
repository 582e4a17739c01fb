//! A short demo, in which every request must be answered although an engine is stopped, and the faults of engines.

use emberflow_emulator::demo::{Demo, mixed_clients};
use emberflow_emulator::engine::{Engine, EngineFault};
use emberflow_emulator::outcome::OutcomeKind;
use emberflow_emulator::run_log::RunLog;
use emberflow_emulator::table::table;
use emberflow_peer_protocol::resp::{decode_array, encode_array};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

const OPERATOR_TEXT: &str = "{teams: {list: [{name: 'audit'}, {name: 'posting'}]}}";

#[test]
fn every_request_is_answered_although_an_engine_is_lost() {
    for operator_text in [None, Some(OPERATOR_TEXT.to_owned())] {
        let demo = Demo {
            duration: Duration::from_secs(2),
            seed: 1,
            engine_count: 2,
            operator_text,
            clients: mixed_clients,
            loses_engine: true,
        };
        let outcomes = demo.run(std::io::sink()).expect("the demo runs on loopback");
        let count = |kind| outcomes.iter().filter(|outcome| outcome.kind == kind).count();
        let without_answer = (count(OutcomeKind::Unanswered), count(OutcomeKind::Invalid));
        assert_eq!(without_answer, (0, 0), "{}", table(&outcomes));
        assert!(count(OutcomeKind::Succeeded) > 20, "{}", table(&outcomes));
    }
}

/// Sends a call to an engine; returns the parts of its reply, or `nothing` after a timeout.
fn call(engine: &Engine, id: &str, timeout_ms: u64) -> String {
    let mut socket = TcpStream::connect(engine.address).expect("the engine listens");
    let timeout = Duration::from_millis(timeout_ms);
    socket.set_read_timeout(Some(timeout)).expect("a socket takes a read timeout");
    let statement = "select work_ms=20 need_mb=50";
    let parts = [b"GET", id.as_bytes(), b"queue=lookup,mem=50", statement.as_bytes()];
    socket.write_all(&encode_array(&parts)).expect("the engine accepts the bytes of the call");
    let mut bytes = [0; 4096];
    match socket.read(&mut bytes) {
        Ok(0) => "closed".to_owned(),
        Ok(count) => parts_of(&bytes[..count]),
        Err(_) => "nothing".to_owned(),
    }
}

fn parts_of(message: &[u8]) -> String {
    let array = decode_array(message).expect("a well-formed message").expect("a complete message");
    let parts = array.parts.iter().map(|part| part.trim().replace('\t', " "));
    parts.collect::<Vec<_>>().join(", ")
}

#[test]
fn replies_follow_the_fault_of_the_engine() {
    let engine = Engine::start(4.0, 100.0, RunLog::default()).expect("a loopback port is free");
    let mut answers = vec![call(&engine, "a", 2000)];
    engine.set_fault(EngineFault { truncates_every: Some(1), ..EngineFault::default() });
    answers.push(call(&engine, "b", 2000));
    engine.set_fault(EngineFault { is_silent: true, ..EngineFault::default() });
    answers.push(call(&engine, "c", 200));
    engine.set_fault(EngineFault { speed: Some(0.01), ..EngineFault::default() });
    answers.push(call(&engine, "d", 200));
    expect_test::expect![["a, HIT, pages=1,cost=20.0,need=50.0, 1 2 3 | b, HIT, pages=1,cost=20.0,need=50.0, 1 2 | nothing | nothing"]]
        .assert_eq(&answers.join(" | "));
}
