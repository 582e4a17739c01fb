//! The first try, shortened: whatever is lost, everything that was asked has its one answer.

use emberflow_emulator::clients::How;
use emberflow_emulator::demo::{Demo, mixed, table};
use emberflow_emulator::engine::{Engine, Fault, Runs};
use emberflow_router::resp;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

#[test]
fn everything_asked_is_answered_though_an_engine_is_lost() {
    for orders in [None, Some("{teams: {list: [{name: 'audit'}, {name: 'posting'}]}}".to_owned())] {
        let demo =
            Demo { lasts: Duration::from_secs(2), seed: 1, engines: 2, orders, clients: mixed, loses: true };
        let fates = demo.run(std::io::sink()).expect("it runs");
        let count = |how| fates.iter().filter(|fate| fate.how == how).count();
        assert_eq!((count(How::Unanswered), count(How::Refused)), (0, 0), "{}", table(&fates));
        assert!(count(How::Succeeded) > 20, "{}", table(&fates));
    }
}

/// What an engine says to a call within the time, as words.
fn call(engine: &Engine, id: &str, time: u64) -> String {
    let mut socket = TcpStream::connect(engine.address).expect("it listens");
    socket.set_read_timeout(Some(Duration::from_millis(time))).expect("a time-out");
    let statement = "select work_ms=20 need_mb=50";
    let words = [b"GET", id.as_bytes(), b"queue=lookup,mem=50", statement.as_bytes()];
    socket.write_all(&resp::encode_array(&words)).expect("it reads");
    let mut bytes = [0; 4096];
    match socket.read(&mut bytes) {
        Ok(0) => "closed".to_owned(),
        Ok(count) => {
            let (parts, _) = resp::parse_array(&bytes[..count]).expect("well formed").expect("whole");
            parts
                .iter()
                .map(|part| String::from_utf8_lossy(part).trim().replace('\t', " "))
                .collect::<Vec<_>>()
                .join(", ")
        }
        Err(_) => "nothing".to_owned(),
    }
}

#[test]
fn an_engine_answers_and_fails_as_told() {
    let engine = Engine::start(4.0, 100.0, Runs::default()).expect("a port");
    let mut seen = vec![call(&engine, "a", 2000)];
    engine.fails(Fault { spoils: 1, ..Fault::default() });
    seen.push(call(&engine, "b", 2000));
    engine.fails(Fault { silent: true, ..Fault::default() });
    seen.push(call(&engine, "c", 200));
    engine.fails(Fault { pace: 0.01, ..Fault::default() });
    seen.push(call(&engine, "d", 200));
    expect_test::expect![["a, HIT, pages=1,cost=20.0,need=50.0, 1 2 3 | b, HIT, pages=1,cost=20.0,need=50.0, 1 2 | nothing | nothing"]]
        .assert_eq(&seen.join(" | "));
}
