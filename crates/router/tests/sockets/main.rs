//! The program, started, between small stand-ins for a client, engines and the discovery service: what it takes and serves.

mod ending;
mod house;

use expect_test::expect;
use house::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[test]
fn a_request_is_served_page_by_page_and_the_end_is_planned() {
    let mut house = House::open("serve", 1, &settings(5000, 8000));
    let mut client = house.client();
    client.say(r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#);
    let status = client.hear();
    client.ask(2, "lookup", 8000);
    let mut engine = house.engine(0);
    house.note(status).note(engine.hear());
    engine.say(2, "INFO", "detail=advance,v=0.5", "");
    engine.say(9, "HIT", "pages=1", "of another");
    engine.say(2, "HIT", "pages=3,cost=48.0,need=90", "a\tb\tc\n");
    house.note(engine.hear()).note(engine.hear());
    engine.say(2, "PART", "page=2", "g\th\ti\n");
    engine.say(2, "PART", "page=1", "d\te\tf\n");
    house.note(client.hear());
    let counters =
        ["requests_taken", "requests_succeeded", "attempts_sent", "notes", "engine_answers_for_nothing"];
    expect![[r#"
        {"id":1,"jsonrpc":"2.0","result":{"serving":true}}
        GET 0000000000000002 queue=lookup,mem=120,prio=2 select 1
        PAGE 0000000000000002 1
        PAGE 0000000000000002 2
        {"jsonrpc":"2.0","id":2,"result":{"data":"YQliCWMKZAllCWYKZwloCWkK"}}
        ended with Some(0): attempts_sent=1 engine_answers_for_nothing=1 notes=1 requests_succeeded=1 requests_taken=1
    "#]]
    .assert_eq(&house.end(&counters));
}

#[test]
fn full_engines_are_left_for_others_and_the_last_refusal_rejects() {
    let mut house = House::open("full", 2, &settings(5000, 8000));
    let mut client = house.client();
    client.ask(1, "post", 8000);
    let mut engines = house.any_engine();
    house.note(engines[0].hear());
    engines[0].say(1, "SHED", "-", "");
    house.note(engines[1].hear());
    engines[1].say(1, "FAULT", "-", "");
    house.note(client.hear());
    expect![[r#"
        GET 0000000000000001 queue=post,mem=120,prio=2 select 1
        GET 0000000000000001 queue=post,mem=120,prio=2 select 1
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":1,"jsonrpc":"2.0"}
        ended with Some(0): attempts_failed=1 attempts_overloaded=1 requests_failed=1
    "#]]
    .assert_eq(&house.end(&["attempts_overloaded", "attempts_failed", "requests_failed"]));
}

#[test]
fn an_overdue_attempt_is_dropped_and_its_late_answer_is_nobodys() {
    let mut house = House::open("overdue", 1, &settings(5000, 8000));
    let mut client = house.client();
    client.ask(1, "lookup", 1500);
    let mut engine = house.engine(0);
    house.note(engine.hear()).note(engine.hear()).note(client.hear());
    engine.say(1, "HIT", "pages=1", "late\t\t\n");
    client.ask(2, "lookup", 8000);
    house.note(engine.hear());
    engine.say(2, "HIT", "pages=1", "in time\t\t\n");
    house.note(client.hear());
    expect![[r#"
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        DROP 0000000000000001
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":1,"jsonrpc":"2.0"}
        GET 0000000000000002 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":2,"result":{"data":"aW4gdGltZQkJCg=="}}
        ended with Some(0): attempts_timed_out=1 engine_answers_for_nothing=1 requests_rejected=1
    "#]].assert_eq(&house.end(&[
        "attempts_timed_out",
        "requests_rejected",
        "engine_answers_for_nothing",
    ]));
}

#[test]
fn a_later_attempt_avoids_the_connection_that_may_still_answer_an_earlier_one() {
    let mut house = House::open("owing", 1, &settings(5000, 8000));
    let mut client = house.client();
    client.ask(1, "lookup", 8000);
    let mut engine = house.engine(0);
    house.note(engine.hear());
    engine.say(1, "SHED", "-", "");
    house.note(engine.hear());
    // A first attempt that stands is moved; there is no other engine.
    client.ask(2, "lookup", 8000);
    house.note(engine.hear());
    let first = engine.of(2);
    engine.say(2, "INFO", "detail=stall,v=1", "");
    house.note(engine.hear());
    engine.say_on(first, 2, "SHED", "-", "");
    house.note(engine.hear());
    engine.say(2, "HIT", "pages=1", "from the second hop\t\t\n");
    house.note(client.hear());
    expect![[r#"
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        GET 0000000000000002 queue=lookup,mem=120,prio=2 select 1
        DROP 0000000000000002
        GET 0000000000000002 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":2,"result":{"data":"ZnJvbSB0aGUgc2Vjb25kIGhvcAkJCg=="}}
        ended with Some(0): attempts_withdrawn=2 connections_dialled=3 engine_answers_for_nothing=1
    "#]]
    .assert_eq(&house.end(&["attempts_withdrawn", "engine_answers_for_nothing", "connections_dialled"]));
}

#[test]
fn a_reset_after_the_call_may_have_run_and_a_refused_connection_has_not() {
    let mut house = House::open("reset", 1, &settings(5000, 8000));
    let mut client = house.client();
    client.ask(1, "post", 8000);
    let mut engine = house.engine(0);
    house.note(engine.hear());
    drop(engine);
    house.note(client.hear());
    expect![[r#"
        GET 0000000000000001 queue=post,mem=120,prio=2 select 1
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":1,"jsonrpc":"2.0"}
        ended with Some(0): attempts_broken=1
    "#]]
    .assert_eq(&house.end(&["attempts_broken", "attempts_unreachable"]));
    let mut house = House::open("refused", 0, &settings(5000, 8000));
    let mut client = house.client();
    client.ask(1, "post", 8000);
    house.note(client.hear());
    expect![[r#"
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":1,"jsonrpc":"2.0"}
        ended with Some(0): attempts_unreachable=3
    "#]].assert_eq(&house.end(&["attempts_broken", "attempts_unreachable"]));
}

#[test]
fn a_connection_silent_for_long_must_answer_before_it_is_used() {
    let mut house = House::open("silent", 1, &settings(1000, 8000));
    let mut client = house.client();
    client.ask(1, "lookup", 8000);
    let mut engine = house.engine(0);
    house.note(engine.hear());
    engine.say(1, "HIT", "pages=1", "x\t\t\n");
    house.note(client.hear());
    std::thread::sleep(Duration::from_millis(1100));
    client.ask(2, "lookup", 8000);
    house.note(engine.hear()).note(engine.hear()).note(engine.hear());
    engine.say(2, "HIT", "pages=1", "y\t\t\n");
    house.note(client.hear());
    expect![[r#"
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"eAkJCg=="}}
        PING 0
        closed
        GET 0000000000000002 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":2,"result":{"data":"eQkJCg=="}}
        ended with Some(0): connections_dialled=2 connections_silent=1
    "#]]
    .assert_eq(&house.end(&["connections_silent", "attempts_unreachable", "connections_dialled"]));
}

#[test]
fn what_waits_for_a_connection_is_never_written_once_its_engine_drains() {
    let mut house = House::open("waiting", 1, &settings(2000, 8000));
    let mut discovery = house.discovery();
    let address = house.engines[0].local_addr().expect("an address");
    let mut client = house.client();
    client.ask(1, "lookup", 8000);
    let mut engine = house.engine(0);
    house.note(engine.hear());
    engine.say(1, "HIT", "pages=1", "x\t\t\n");
    house.note(client.hear());
    std::thread::sleep(Duration::from_millis(2100));
    client.ask(2, "post", 8000);
    house.note(engine.hear());
    discovery.write_all(&changes(2, &[(0, address, 1, 0)])).expect("it reads");
    house.note(client.hear());
    engine.say(0, "PONG", "-", "");
    let counters = house.end(&["attempts_void", "connections_silent"]);
    expect![[r#"
        bulletin after 1
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"eAkJCg=="}}
        PING 0
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":2,"jsonrpc":"2.0"}
        ended with Some(0): attempts_void=1
        closed
    "#]].assert_eq(&format!("{counters}{}\n", engine.hear()));
}

#[test]
fn drains_are_kept_and_a_new_engine_at_an_old_address_is_another() {
    let mut house = House::open("drain", 1, &settings(5000, 8000));
    let mut discovery = house.discovery();
    let address = house.engines[0].local_addr().expect("an address");
    let mut client = house.client();
    client.ask(1, "lookup", 8000);
    let mut old = house.engine(0);
    house.note(old.hear());
    let frame = changes(2, &[(0, address, 2, 0), (7, address, 0, 0)]);
    let (first, second) = frame.split_at(11);
    discovery.write_all(first).expect("it reads");
    discovery.write_all(second).expect("it reads");
    house.logs("event 2");
    client.ask(2, "lookup", 8000);
    house.note(old.hear());
    old.say(1, "HIT", "pages=1", "from the old one\t\t\n");
    house.note(client.hear());
    drop(discovery);
    let _discovery = house.discovery();
    expect![[r#"
        bulletin after 1
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        GET 0000000000000002 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"ZnJvbSB0aGUgb2xkIG9uZQkJCg=="}}
        bulletin after 2
        ended with Some(0): connections_dialled=2 discovery_lost=1
    "#]]
    .assert_eq(&house.end(&["connections_dialled", "discovery_lost"]));
}

#[test]
fn a_bad_frame_changes_nothing_and_the_discovery_is_dialled_again() {
    let mut house = House::open("frame", 1, &settings(5000, 8000));
    let address = house.engines[0].local_addr().expect("an address");
    let mut no_such_kind = changes(2, &[(0, address, 0, 0)]);
    no_such_kind[25] = 9;
    let gap = changes(5, &[(0, address, 2, 0)]);
    for frame in [gap, no_such_kind, vec![255; 16]] {
        let mut discovery = house.discovery();
        discovery.write_all(&frame).expect("it reads");
        assert_eq!(discovery.read(&mut [0; 1]).unwrap_or(0), 0, "closed by the router");
    }
    let mut client = house.client();
    client.ask(1, "lookup", 8000);
    let call = house.engine(0).hear();
    house.note(call);
    expect![[r#"
        bulletin after 1
        bulletin after 1
        bulletin after 1
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        ended with Some(0): discovery_lost=3 list_events=1
    "#]]
    .assert_eq(&house.end(&["discovery_lost", "list_events"]));
}

#[test]
fn at_a_planned_restart_all_is_answered_by_what_its_effect_allows() {
    let mut house = House::open("restart", 1, &settings(5000, 600));
    let mut client = house.client();
    let mut engine = house.engine(0);
    client.ask(1, "lookup", 600_000);
    house.note(engine.hear());
    client.ask(2, "post", 600_000);
    house.note(engine.hear());
    house.signal("-TERM");
    let mut other = house.client();
    let leaving = loop {
        other.say(r#"{"jsonrpc":"2.0","id":3,"method":"status"}"#);
        let status = other.hear();
        if status.contains("false") {
            break status;
        }
    };
    house.note(leaving).note(client.hear()).note(client.hear());
    let mut dropped = [engine.hear(), engine.hear()];
    dropped.sort();
    house.note(dropped.join(", "));
    expect![[r#"
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        GET 0000000000000002 queue=post,mem=120,prio=2 select 1
        {"id":3,"jsonrpc":"2.0","result":{"serving":false}}
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":1,"jsonrpc":"2.0"}
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":2,"jsonrpc":"2.0"}
        DROP 0000000000000001, DROP 0000000000000002
        ended with Some(0): attempts_withdrawn=2 requests_failed=1 requests_rejected=1
    "#]].assert_eq(&house.end(&["requests_rejected", "requests_failed", "attempts_withdrawn"]));
}

const TEAMS: &str = r#"{
    teams: {list: [{name: "audit"}, {name: "posting", most_waiting: 3}], waits: {field: "tell", every_s: 3600}},
}"#;

#[test]
fn teams_take_turns_and_urgent_work_passes_what_was_not_sent() {
    let mut house = House::open_ordered("teams", 1, &settings(5000, 60_000), TEAMS);
    let mut client = house.client();
    let mut engine = house.engine(0);
    for id in 1..=4 {
        client.ask_much("posting", id, 60_000, "");
    }
    client.ask_much("audit", 5, 60_000, "");
    client.ask_much("audit", 6, 60_000, r#""urgency":3,"#);
    client.ask_much("posting", 7, 60_000, "");
    house.note(client.hear());
    for _ in 0..6 {
        let id = engine.takes(&mut house);
        engine.say(id, "HIT", "pages=1", "1\t2\t3\n");
        house.note(client.hear());
    }
    expect![[r#"
        {"error":{"code":-32011,"message":"bounced: a retry is harmless"},"id":7,"jsonrpc":"2.0"}
        GET 0000000000000001 queue=lookup,mem=6554,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"MQkyCTMK"}}
        GET 0000000000000006 queue=lookup,mem=6554,prio=2 select 1
        {"jsonrpc":"2.0","id":6,"result":{"data":"MQkyCTMK"}}
        GET 0000000000000005 queue=lookup,mem=6554,prio=2 select 1
        {"jsonrpc":"2.0","id":5,"result":{"data":"MQkyCTMK"}}
        GET 0000000000000002 queue=lookup,mem=6554,prio=2 select 1
        {"jsonrpc":"2.0","id":2,"result":{"data":"MQkyCTMK"}}
        GET 0000000000000003 queue=lookup,mem=6554,prio=2 select 1
        {"jsonrpc":"2.0","id":3,"result":{"data":"MQkyCTMK"}}
        GET 0000000000000004 queue=lookup,mem=6554,prio=2 select 1
        {"jsonrpc":"2.0","id":4,"result":{"data":"MQkyCTMK"}}
        ended with Some(0): requests_refused_at_the_door=1 requests_rejected=1 requests_succeeded=6
    "#]]
    .assert_eq(&house.end(&["requests_succeeded", "requests_rejected", "requests_refused_at_the_door"]));
}

#[test]
fn requests_that_wait_for_their_team_are_answered_in_time_withdrawn_and_told() {
    let mut house = House::open_ordered("wait", 1, &settings(5000, 60_000), TEAMS);
    let mut client = house.client();
    let mut engine = house.engine(0);
    client.ask_much("audit", 1, 60_000, "");
    house.note(engine.call());
    // One waits with the decisions, the rest at the door.
    client.ask_much("audit", 2, 60_000, "");
    client.ask_much("audit", 3, 500, "");
    client.ask_much("audit", 4, 60_000, "");
    client.say(r#"{"jsonrpc":"2.0","method":"withdraw","params":{"req":"0000000000000004"}}"#);
    let begun = Instant::now();
    house.note(client.hear());
    assert!(begun.elapsed() < Duration::from_millis(500), "before its patience ended");
    for (team, urgency) in [("7", "0"), ("\"a\"", "4"), ("\"a\"", "-1"), ("\"a\"", "\"x\"")] {
        client.ask_about(&format!(r#""team":{team},"urgency":{urgency},"#), 8, "lookup", 8000);
        house.note(client.hear());
    }
    client.ask_about(&format!(r#""team":"{}","#, "x".repeat(129)), 8, "lookup", 8000);
    house.note(client.hear());
    // A planned restart answers what waits at the door as what waits with the decisions.
    client.ask_much("nobody", 5, 60_000, "");
    house.signal("-TERM");
    let mut answers = [client.hear(), client.hear(), client.hear()];
    answers.sort();
    house.note(answers.join("\n"));
    expect![[r#"
        GET 0000000000000001 queue=lookup,mem=6554,prio=2 select 1
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":3,"jsonrpc":"2.0"}
        {"error":{"code":-32602,"message":"`team` is not text"},"id":8,"jsonrpc":"2.0"}
        {"error":{"code":-32602,"message":"`urgency` is not 0, 1, 2 or 3"},"id":8,"jsonrpc":"2.0"}
        {"error":{"code":-32602,"message":"`urgency` is not 0, 1, 2 or 3"},"id":8,"jsonrpc":"2.0"}
        {"error":{"code":-32602,"message":"`urgency` is not 0, 1, 2 or 3"},"id":8,"jsonrpc":"2.0"}
        {"error":{"code":-32602,"message":"`team` is over 128 bytes"},"id":8,"jsonrpc":"2.0"}
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":1,"jsonrpc":"2.0"}
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":2,"jsonrpc":"2.0"}
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":5,"jsonrpc":"2.0"}
        ended with Some(0): requests_rejected=4 requests_withdrawn=1 held_requests=0
    "#]].assert_eq(&house.end(&["requests_rejected", "requests_withdrawn", "held_requests"]));
}

#[test]
fn the_operators_file_read_anew_moves_what_waits_or_changes_nothing() {
    let mut house = House::open_ordered("anew", 1, &settings(5000, 60_000), TEAMS);
    let mut client = house.client();
    let mut engine = house.engine(0);
    for id in 1..=3 {
        client.ask_much("posting", id, 60_000, "");
    }
    client.ask_much("audit", 4, 60_000, "");
    let mut id = engine.takes(&mut house);
    let orders = [
        ("configuration not reloaded", "{teams: {list: [{name: 'audit', share: -1}]}}"),
        ("posting is gone", "{teams: {list: [{name: 'audit', share: 5}]}}"),
    ];
    for (told, orders) in orders {
        House::order("anew", orders);
        house.signal("-HUP");
        house.logs(told);
    }
    for _ in 0..2 {
        engine.say(id, "HIT", "pages=1", "1\t2\t3\n");
        house.note(client.hear());
        id = engine.takes(&mut house);
    }
    // The last one is handed on to the decisions, which do not hold it for long.
    House::order("anew", "{}");
    house.signal("-HUP");
    house.logs("no teams any more");
    house.note(client.hear());
    engine.say(id, "HIT", "pages=1", "1\t2\t3\n");
    house.note(client.hear());
    std::fs::remove_file(house.file.0.with_extension("json5")).expect("its file");
    expect![[r#"
        GET 0000000000000001 queue=lookup,mem=6554,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"MQkyCTMK"}}
        GET 0000000000000002 queue=lookup,mem=6554,prio=2 select 1
        {"jsonrpc":"2.0","id":2,"result":{"data":"MQkyCTMK"}}
        GET 0000000000000004 queue=lookup,mem=6554,prio=2 select 1
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":3,"jsonrpc":"2.0"}
        {"jsonrpc":"2.0","id":4,"result":{"data":"MQkyCTMK"}}
        ended with Some(0): reloads=2 reloads_refused=1 requests_succeeded=3
    "#]].assert_eq(&house.end(&["requests_succeeded", "reloads", "reloads_refused"]));
}

#[test]
fn a_restart_told_again_and_again_ends_it_as_planned() {
    let mut house = House::open("again", 1, &settings(5000, 600));
    let again = format!("while kill -TERM {} 2>/dev/null; do :; done", house.program.id());
    let mut signals = Command::new("sh").arg("-c").arg(again).spawn().expect("a shell");
    house.log.read_to_string(&mut String::new()).expect("its log");
    let status = house.program.wait().expect("it ends");
    signals.wait().expect("the shell ends");
    expect![[r#"Some(0)"#]].assert_eq(&format!("{:?}", status.code()));
}

#[test]
fn bad_input_of_a_client_gets_the_standard_errors_and_reaches_no_engine() {
    let mut house = House::open("client", 1, &settings(5000, 8000));
    let mut client = house.client();
    let lines = [
        "{oops",
        r#"[{"jsonrpc":"2.0","id":1,"method":"status"}]"#,
        r#"{"jsonrpc":"2.0","id":2,"method":"dance"}"#,
        r#"{"jsonrpc":"2.0","method":"lookup","params":{}}"#,
        r#"{"jsonrpc":"2.0","id":4,"method":"lookup"}"#,
        r#"{"jsonrpc":"2.0","id":5,"method":"lookup","params":{"req":"xyz","timeout":5,"data":""}}"#,
        r#"{"jsonrpc":"2.0","id":6,"method":"lookup","params":{"req":"9b1f03aa5c7e2d41","timeout":-5,"data":""}}"#,
        r#"{"jsonrpc":"2.0","id":7,"method":"lookup","params":{"req":"9b1f03aa5c7e2d41","timeout":50,"data":"?"}}"#,
        r#"{"jsonrpc":"2.0","id":8,"method":"lookup","params":{"req":"9b1f03aa5c7e2d41","timeout":50,"ms":"x","data":""}}"#,
        r#"{"jsonrpc":"2.0","id":9,"method":"lookup","params":{"req":"9b1f03aa5c7e2d41","timeout":50,"ms":-1,"data":""}}"#,
        r#"{"jsonrpc":"2.0","id":10,"method":"lookup","params":{"req":"9b1f03aa5c7e2d41","timeout":50,"memory":1e300,"data":""}}"#,
        r#"{"jsonrpc":"2.0","id":11,"method":"lookup","params":{"req":"9b1f03aa5c7e2d41","timeout":50,"resent":"no","data":""}}"#,
        r#"{"jsonrpc":"2.0","id":12,"method":"lookup","params":{"req":"9b1f03aa5c7e2d41","timeout":50,"data":"//4="}}"#,
    ];
    for line in lines {
        client.say(line);
        house.note(client.hear());
    }
    for id in (1..=32).chain([1, 33]) {
        client.ask(id, "lookup", 8000);
    }
    house.note(client.hear()).note(client.hear());
    let mut twin = house.client();
    twin.ask(2, "lookup", 8000);
    house.note(twin.hear());
    let mut endless = house.client();
    let _ = endless.0.get_ref().write_all(&vec![b'x'; 1 << 20]);
    house.note(endless.hear());
    let mut other = house.client();
    other.say(r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#);
    house.note(other.hear());
    expect![[r#"
        {"error":{"code":-32700,"message":"malformed JSON: key must be a string at line 1 column 2"},"id":null,"jsonrpc":"2.0"}
        {"error":{"code":-32600,"message":"a request is one object"},"id":null,"jsonrpc":"2.0"}
        {"error":{"code":-32601,"message":"no method `dance`"},"id":2,"jsonrpc":"2.0"}
        {"error":{"code":-32600,"message":"a task without an id"},"id":null,"jsonrpc":"2.0"}
        {"error":{"code":-32602,"message":"`req` is missing"},"id":4,"jsonrpc":"2.0"}
        {"error":{"code":-32602,"message":"`req` is not 16 hex digits"},"id":5,"jsonrpc":"2.0"}
        {"error":{"code":-32602,"message":"`timeout` is out of range"},"id":6,"jsonrpc":"2.0"}
        {"error":{"code":-32602,"message":"`data` is not base64"},"id":7,"jsonrpc":"2.0"}
        {"error":{"code":-32602,"message":"`ms` is not a number"},"id":8,"jsonrpc":"2.0"}
        {"error":{"code":-32602,"message":"`ms` is out of range"},"id":9,"jsonrpc":"2.0"}
        {"error":{"code":-32602,"message":"`memory` is out of range"},"id":10,"jsonrpc":"2.0"}
        {"error":{"code":-32602,"message":"`resent` is not 0 or 1"},"id":11,"jsonrpc":"2.0"}
        {"error":{"code":-32602,"message":"`data` is no text"},"id":12,"jsonrpc":"2.0"}
        {"error":{"code":-32600,"message":"`id` is open already"},"id":null,"jsonrpc":"2.0"}
        {"error":{"code":-32600,"message":"too many open requests"},"id":33,"jsonrpc":"2.0"}
        {"error":{"code":-32600,"message":"`req` is open already"},"id":2,"jsonrpc":"2.0"}
        {"error":{"code":-32700,"message":"a line without end"},"id":null,"jsonrpc":"2.0"}
        {"id":1,"jsonrpc":"2.0","result":{"serving":true}}
        ended with Some(0): client_input_refused=17 requests_taken=32
    "#]].assert_eq(&house.end(&["client_input_refused", "requests_taken"]));
}

#[test]
fn bad_input_of_an_engine_ends_its_connection_and_what_it_carried() {
    let mut house = House::open("engine", 1, &settings(5000, 8000));
    let mut client = house.client();
    let bad: [(&str, &str); 6] = [
        ("DANCE", "-"),
        ("HIT", "pages=0"),
        ("HIT", "pages=x"),
        ("HIT", "pages=100000"),
        ("INFO", "detail=advance,v=much"),
        ("FAULT", "use=util:high"),
    ];
    client.ask(1, "lookup", 8000);
    let mut engine = house.engine(0);
    engine.call();
    engine.say(1, "HIT", "pages=1", "");
    client.hear();
    for (id, (word, fields)) in (100..).step_by(10).zip(bad) {
        client.ask(id, "post", 8000);
        engine.call();
        engine.say(id, word, fields, "");
        let answer = client.hear();
        house.note(answer);
        // Good answers in between, so that the engine is not taken for one that fails.
        for good in id + 1..id + 5 {
            client.ask(good, "lookup", 8000);
            engine.call();
            engine.say(good, "HIT", "pages=1", "");
            client.hear();
        }
    }
    expect![[r#"
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":100,"jsonrpc":"2.0"}
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":110,"jsonrpc":"2.0"}
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":120,"jsonrpc":"2.0"}
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":130,"jsonrpc":"2.0"}
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":140,"jsonrpc":"2.0"}
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":150,"jsonrpc":"2.0"}
        ended with Some(0): attempts_broken=6 engine_input_malformed=6 requests_failed=6
    "#]]
    .assert_eq(&house.end(&["engine_input_malformed", "attempts_broken", "requests_failed"]));
}

#[test]
fn answers_told_twice_or_unasked_cost_nothing_else_on_their_connection() {
    let mut house = House::open_within((64, 4), "twice", 1, &settings(5000, 8000));
    let mut client = house.client();
    client.ask(1, "post", 8000);
    client.ask(2, "post", 8000);
    let mut engine = house.engine(0);
    house.note(engine.hear()).note(engine.hear());
    engine.say(9, "HIT", "pages=1", "unknown\n");
    engine.say(1, "PART", "page=1", "unasked\n");
    engine.say(1, "HIT", "pages=2", "a\t\t\n");
    engine.say(1, "HIT", "pages=2", "a\t\t\n");
    engine.say(1, "PART", "page=7", "beyond\n");
    engine.say(1, "PART", "page=1", "b\t\t\n");
    engine.say(1, "PART", "page=1", "b\t\t\n");
    engine.say(2, "HIT", "pages=1", "c\t\t\n");
    house.note(client.hear()).note(client.hear());
    expect![[r#"
        GET 0000000000000001 queue=post,mem=120,prio=2 select 1
        GET 0000000000000002 queue=post,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"YQkJCmIJCQo="}}
        {"jsonrpc":"2.0","id":2,"result":{"data":"YwkJCg=="}}
        ended with Some(0): connections_dialled=1 engine_answers_for_nothing=2 engine_answers_repeated=3
    "#]]
    .assert_eq(&house.end(&[
        "engine_answers_repeated",
        "engine_answers_for_nothing",
        "connections_dialled",
        "connections_lost",
    ]));
}

#[test]
fn spoilt_results_are_passed_on_to_nobody_and_run_again_where_effects_allow() {
    let mut house = House::open("spoilt", 1, &settings(5000, 8000));
    let mut client = house.client();
    let mut engine = house.engine(0);
    for (id, body) in [(1, "noise"), (2, "two\tcolumns\n"), (3, "a\tb\tc\nand a half")] {
        client.ask(id, "lookup", 8000);
        engine.hear();
        engine.say(id, "HIT", "pages=1", body);
        house.note(engine.hear()).note(engine.hear());
        engine.say(id, "HIT", "pages=1", "a\tb\tc\n");
        house.note(client.hear());
    }
    client.ask(4, "post", 8000);
    engine.hear();
    engine.say(4, "HIT", "pages=1", "noise");
    house.note(client.hear());
    expect![[r#"
        closed
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"YQliCWMK"}}
        closed
        GET 0000000000000002 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":2,"result":{"data":"YQliCWMK"}}
        closed
        GET 0000000000000003 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":3,"result":{"data":"YQliCWMK"}}
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":4,"jsonrpc":"2.0"}
        ended with Some(0): attempts_broken=4 engine_input_malformed=4 requests_failed=1
    "#]]
    .assert_eq(&house.end(&["engine_input_malformed", "attempts_broken", "requests_failed"]));
}

#[test]
fn what_stops_short_or_falls_silent_is_told_by_its_connection_and_runs_again() {
    let mut house = House::open("short", 1, &settings(300, 8000));
    let mut client = house.client();
    let mut engine = house.engine(0);
    client.ask(1, "lookup", 8000);
    engine.call();
    engine.write(engine.of(1), b"*4\r\n$16\r\n00000");
    engine.call();
    engine.say(1, "HIT", "pages=1", "a\tb\tc\n");
    house.note(client.hear());
    client.ask(2, "lookup", 8000);
    engine.call();
    engine.say(2, "HIT", "pages=2", "a\tb\tc\n");
    engine.call();
    engine.say(2, "HIT", "pages=1", "d\te\tf\n");
    house.note(client.hear());
    client.ask(3, "lookup", 8000);
    engine.call();
    engine.call();
    engine.say(3, "HIT", "pages=1", "g\th\ti\n");
    house.note(client.hear());
    expect![[r#"
        {"jsonrpc":"2.0","id":1,"result":{"data":"YQliCWMK"}}
        {"jsonrpc":"2.0","id":2,"result":{"data":"ZAllCWYK"}}
        {"jsonrpc":"2.0","id":3,"result":{"data":"ZwloCWkK"}}
        ended with Some(0): attempts_broken=2 attempts_timed_out=1 engine_input_cut_short=1
    "#]]
    .assert_eq(&house.end(&["engine_input_cut_short", "attempts_timed_out", "attempts_broken"]));
}

#[test]
fn what_was_not_written_before_a_reset_goes_on_to_another_connection() {
    let mut house = House::open("moved", 1, &settings(1000, 8000));
    let mut client = house.client();
    client.ask(1, "post", 8000);
    let mut engine = house.engine(0);
    engine.hear();
    engine.say(1, "HIT", "pages=1", "x\t\t\n");
    client.hear();
    std::thread::sleep(Duration::from_millis(1100));
    client.ask(2, "post", 8000);
    house.note(engine.hear());
    engine.cut(1);
    house.note(engine.hear());
    engine.say(2, "HIT", "pages=1", "y\t\t\n");
    house.note(client.hear());
    expect![[r#"
        PING 0
        GET 0000000000000002 queue=post,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":2,"result":{"data":"eQkJCg=="}}
        ended with Some(0): attempts_succeeded=2 connections_lost=1
    "#]]
    .assert_eq(&house.end(&["connections_lost", "attempts_unreachable", "attempts_succeeded"]));
}

#[test]
fn a_client_that_shut_its_side_or_withdrew_is_told_apart_from_one_that_waits() {
    let mut house = House::open("shut", 1, &settings(5000, 8000));
    let (mut client, mut other) = (house.client(), house.client());
    client.ask(1, "lookup", 8000);
    let mut engine = house.engine(0);
    house.note(engine.hear());
    client.0.get_ref().shutdown(Shutdown::Write).expect("one side shut");
    other.ask(2, "lookup", 8000);
    house.note(engine.hear());
    other.say(r#"{"jsonrpc":"2.0","method":"withdraw","params":{"req":"0000000000000002"}}"#);
    house.note(engine.hear());
    other.ask(3, "lookup", 8000);
    house.note(engine.hear());
    other.say(r#"{"jsonrpc":"2.0","id":4,"method":"withdraw","params":{"id":3}}"#);
    house.note(engine.hear());
    engine.say(2, "HIT", "pages=1", "for nobody\t\t\n");
    engine.say(1, "HIT", "pages=1", "for the one that waits\t\t\n");
    house.note(client.hear()).note(client.hear());
    expect![[r#"
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        GET 0000000000000002 queue=lookup,mem=120,prio=2 select 1
        DROP 0000000000000002
        GET 0000000000000003 queue=lookup,mem=120,prio=2 select 1
        DROP 0000000000000003
        {"jsonrpc":"2.0","id":1,"result":{"data":"Zm9yIHRoZSBvbmUgdGhhdCB3YWl0cwkJCg=="}}
        closed
        ended with Some(0): attempts_withdrawn=2 requests_succeeded=1 requests_withdrawn=2
    "#]]
    .assert_eq(&house.end(&["requests_succeeded", "requests_withdrawn", "attempts_withdrawn"]));
}

#[test]
fn what_an_engine_answered_before_it_closed_counts() {
    let mut house = House::open("closed", 1, &settings(5000, 8000));
    let mut client = house.client();
    let mut engine = house.engine(0);
    client.ask(1, "post", 8000);
    house.note(engine.hear());
    client.ask(2, "post", 8000);
    house.note(engine.hear());
    engine.say(1, "HIT", "pages=1", "done\t\t\n");
    drop(engine);
    house.note(client.hear()).note(client.hear());
    expect![[r#"
        GET 0000000000000001 queue=post,mem=120,prio=2 select 1
        GET 0000000000000002 queue=post,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQkJCg=="}}
        {"error":{"code":-32000,"message":"given up: it may have run"},"id":2,"jsonrpc":"2.0"}
        ended with Some(0): attempts_broken=1 attempts_succeeded=1
    "#]]
    .assert_eq(&house.end(&["attempts_succeeded", "attempts_broken"]));
}

#[test]
fn requests_of_one_subject_run_one_at_a_time_in_the_order_taken() {
    let ordered = settings(5000, 8000).replace(r#""name":"post""#, r#""keepOrder":true,"name":"post""#);
    let mut house = House::open("order", 1, &ordered);
    let mut client = house.client();
    let mut engine = house.engine(0);
    for (id, subject) in [(1, "a"), (2, "a"), (3, "b")] {
        client.ask_about(&format!(r#""subject":"{subject}","#), id, "post", 8000);
        if id != 2 {
            house.note(engine.hear());
        }
    }
    engine.say(1, "HIT", "pages=1", "x\t\t\n");
    house.note(client.hear()).note(engine.hear());
    expect![[r#"
        GET 0000000000000001 queue=post,mem=120,prio=2 select 1
        GET 0000000000000003 queue=post,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"eAkJCg=="}}
        GET 0000000000000002 queue=post,mem=120,prio=2 select 1
        ended with Some(0): requests_failed=2 requests_succeeded=1
    "#]]
    .assert_eq(&house.end(&["requests_succeeded", "requests_failed"]));
}

#[test]
fn what_an_engine_carried_ends_when_the_list_tells_of_its_new_start() {
    let mut house = House::open("anew", 1, &settings(5000, 8000));
    let mut discovery = house.discovery();
    let address = house.engines[0].local_addr().expect("an address");
    let mut client = house.client();
    client.ask(1, "lookup", 8000);
    let mut engine = house.engine(0);
    house.note(engine.hear());
    let soon = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time") + Duration::from_secs(1);
    discovery.write_all(&changes(2, &[(0, address, 0, soon.as_millis() as u64)])).expect("it reads");
    house.note(engine.hear());
    house.note(engine.hear());
    engine.say(1, "HIT", "pages=1", "x\t\t\n");
    house.note(client.hear());
    expect![[r#"
        bulletin after 1
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        closed
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        {"jsonrpc":"2.0","id":1,"result":{"data":"eAkJCg=="}}
        ended with Some(0): attempts_broken=1 attempts_succeeded=1
    "#]]
    .assert_eq(&house.end(&["attempts_broken", "attempts_succeeded"]));
}

#[test]
fn a_full_house_closes_the_silent_first_then_whoever_is_idle_for_longest() {
    let mut house = House::open_within((64, 12), "crowd", 1, &settings(5000, 8000));
    let status = r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#;
    let mut clients = Vec::new();
    for speaks in [true, true, true, false, true, true, true, true] {
        let mut client = house.client();
        if speaks {
            client.say(status);
            client.hear();
        }
        clients.push(client);
    }
    house.note(clients[3].hear()).note(clients[0].hear());
    clients[1].say(status);
    house.note(clients[1].hear());
    expect![[r#"
        closed
        closed
        {"id":1,"jsonrpc":"2.0","result":{"serving":true}}
        ended with Some(0): clients_admitted=8 clients_closed_for_room=2
    "#]]
    .assert_eq(&house.end(&["clients_admitted", "clients_closed_for_room"]));
}

#[test]
fn a_client_that_reads_nothing_is_not_read_from_until_it_does() {
    let mut house = House::open_within((4, 64), "slow", 1, &settings(5000, 60_000));
    let mut client = house.client();
    let body = "x\ty\tz\n".repeat(1000);
    client.ask(1, "lookup", 60_000);
    let mut engine = house.engine(0);
    let mut asked = 1;
    // Far more than the kernel holds for a connection.
    while asked < 2000 && engine.has_within(Duration::from_secs(2)) {
        engine.hear();
        engine.say(asked, "HIT", "pages=8", &body);
        for page in 1..8 {
            engine.hear();
            engine.say(asked, "PART", &format!("page={page}"), &body);
        }
        asked += 1;
        client.ask(asked, "lookup", 60_000);
    }
    house.note(format!("waits for its reader: {}", asked < 2000));
    let whole =
        (1..asked).all(|id| client.hear().starts_with(&format!(r#"{{"jsonrpc":"2.0","id":{id},"result""#)));
    house.note(format!("all answers whole and in turn: {whole}"));
    let next = engine.hear().replace(&format!("{asked:016x}"), "the next task");
    house.note(next);
    expect![[r#"
        waits for its reader: true
        all answers whole and in turn: true
        GET the next task queue=lookup,mem=120,prio=2 select 1
        ended with Some(0): attempts_sent=69 requests_rejected=1 requests_succeeded=68 requests_taken=69
    "#]]
    .assert_eq(&house.end(&[
        "clients_too_slow",
        "requests_taken",
        "requests_succeeded",
        "requests_withdrawn",
        "requests_rejected",
        "requests_failed",
        "attempts_sent",
        "engine_input_malformed",
    ]));
}

#[test]
fn a_start_that_fails_says_why_in_one_line() {
    let told = |mut program: Command| {
        let done = program.output().expect("it ends");
        let text = String::from_utf8_lossy(&done.stderr).replace(env!("CARGO_TARGET_TMPDIR"), "");
        format!("{:?} {}", done.status.code(), text.lines().next().unwrap_or_default())
    };
    let serve = |path: std::path::PathBuf| {
        let mut program = program();
        program.arg("serve").arg("--config").arg(path);
        program
    };
    let mut lines = Vec::new();
    let mut bare = program();
    bare.arg("serve");
    lines.push(told(bare));
    lines.push(told(serve("/nowhere/at/all".into())));
    lines.push(told(serve(file("empty", "{}"))));
    lines.push(told(serve(file("broken", "{\"name\":"))));
    let mut strange = program();
    strange.arg("dance");
    lines.push(told(strange));
    let house = House::open("taken", 0, &settings(5000, 8000));
    let mut taken = program();
    taken
        .arg("serve")
        .arg("--config")
        .arg(file("taken-too", &TAKEN.replace("LISTEN", &house.at.to_string())));
    lines.push(told(taken).replace(&house.at.to_string(), "the address"));
    lines.push(told(program()));
    expect![[r#"
        Some(1) emberflow: EDGE_CONFIG is not set
        Some(1) emberflow: /nowhere/at/all: No such file or directory (os error 2)
        Some(1) emberflow: /empty.json: `limits` is missing
        Some(1) emberflow: /broken.json: EOF while parsing a value at line 1 column 8
        Some(2) emberflow: no such command: dance
        Some(1) emberflow: listening on the address: Address already in use (os error 98)
        Some(2) emberflow: a command is missing"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_new_configuration_moves_the_discovery_and_a_bad_one_changes_nothing() {
    let mut house = House::open("reload", 1, &settings(5000, 8000));
    let address = house.engines[0].local_addr().expect("an address");
    let mut before = house.discovery();
    let mut client = house.client();
    client.ask(1, "lookup", 8000);
    let mut engine = house.engine(0);
    house.note(engine.hear());
    std::fs::write(&house.file.0, "{\"name\":").expect("a file");
    house.signal("-HUP");
    house.logs("configuration not reloaded");
    // Events told twice are passed over, and the connection stays.
    before.write_all(&changes(2, &[(7, address, 0, 0)]).repeat(2)).expect("it reads");
    let moved = TcpListener::bind((address.ip(), 0)).expect("a port");
    let old = std::mem::replace(&mut house.discovery, moved);
    let anew = house.file.1.replace(
        &old.local_addr().expect("an address").to_string(),
        &house.discovery.local_addr().expect("an address").to_string(),
    );
    let told = |house: &mut House| {
        let mut client = house.client();
        client.say(r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#);
        house.note(client.hear());
    };
    told(&mut house);
    std::fs::write(&house.file.0, anew).expect("a file");
    house.signal("-HUP");
    let _after = house.discovery();
    engine.say(1, "HIT", "pages=1", "x\t\t\n");
    house.note(client.hear());
    house.note(format!("the old bulletin reads {:?} more bytes", before.read(&mut [0; 9]).ok()));
    house.signal("-TERM");
    house.signal("-HUP");
    expect![[r#"
        bulletin after 1
        GET 0000000000000001 queue=lookup,mem=120,prio=2 select 1
        {"id":1,"jsonrpc":"2.0","result":{"serving":true}}
        bulletin after 2
        {"jsonrpc":"2.0","id":1,"result":{"data":"eAkJCg=="}}
        the old bulletin reads Some(0) more bytes
        ended with Some(0): discovery_events_repeated=1 reloads=2 reloads_refused=1
    "#]]
    .assert_eq(&house.end(&["reloads", "reloads_refused", "discovery_lost", "discovery_events_repeated"]));
}

#[test]
fn clients_that_say_nothing_or_stop_short_are_closed_in_time() {
    let mut house = House::open("stalled", 1, &settings(5000, 8000));
    let began = Instant::now();
    let (mut silent, mut half, mut once, mut busy) =
        (house.client(), house.client(), house.client(), house.client());
    half.0.get_ref().write_all(b"{\"jsonrpc\"").expect("it reads");
    once.say(r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#);
    once.hear();
    busy.ask(1, "lookup", 8000);
    let mut engine = house.engine(0);
    engine.call();
    house.note(silent.hear()).note(half.hear()).note(half.hear());
    let early = began.elapsed();
    house.note(once.hear());
    house.note(format!(
        "within 3 s: {}, kept for more than 4 s: {}",
        early.as_secs() < 3,
        began.elapsed().as_secs() >= 4
    ));
    // One that waits for an answer is kept until it has it.
    house.note(busy.hear());
    expect![[r#"
        closed
        {"error":{"code":-32700,"message":"a line that stopped short"},"id":null,"jsonrpc":"2.0"}
        closed
        closed
        within 3 s: true, kept for more than 4 s: true
        {"error":{"code":-32011,"data":{"holdoff":400},"message":"bounced: a retry is harmless"},"id":1,"jsonrpc":"2.0"}
        ended with Some(0): clients_idle=2 clients_stalled=1
    "#]].assert_eq(&house.end(&["clients_idle", "clients_stalled"]));
}

#[test]
fn nothing_is_held_of_engines_clients_and_requests_that_have_gone() {
    let mut house = House::open("churn", 1, &settings(5000, 8000));
    let mut discovery = house.discovery();
    let address = house.engines[0].local_addr().expect("an address");
    let mut engine = house.engine(0);
    for round in 0..10 {
        let first = 2 + round * 300;
        let frames = (first..first + 300).flat_map(|number| {
            changes(number, &[(number as u32 - 2, address, 2, 0), (number as u32 - 1, address, 0, 0)])
        });
        discovery.write_all(&frames.collect::<Vec<_>>()).expect("it reads");
        house.logs(&format!("event {} ", first + 299));
        for id in 1..=200 {
            let mut client = house.client();
            if id % 10 == 0 {
                client.ask(id, "lookup", 8000);
                engine.call();
                engine.say(id, "HIT", "pages=1", "a\tb\tc\n");
            } else {
                client.say(r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#);
            }
            client.hear();
        }
    }
    let counters = ["requests_succeeded", "clients_admitted", "engines_forgotten"];
    let held =
        ["held_clients", "held_requests", "held_attempts", "held_engines", "held_connections", "held_timers"];
    let told = house.end(&[&counters[..], &held].concat());
    let (told, timers) = told.trim().rsplit_once("held_timers=").expect("the last");
    let few = timers.parse::<u64>().is_ok_and(|count| count < 20);
    expect![[r#"
        bulletin after 1
        ended with Some(0): clients_admitted=2000 engines_forgotten=3000 requests_succeeded=200 held_clients=0 held_requests=0 held_engines=1 held_connections=1 held_attempts=0 few deadlines: true"#]].assert_eq(&format!("{told}few deadlines: {few}"));
}

#[test]
fn a_discovery_that_breaks_off_or_falls_silent_is_asked_again_in_time() {
    let mut house = House::open("quiet", 1, &settings(5000, 8000));
    let address = house.engines[0].local_addr().expect("an address");
    let frame = changes(2, &[(0, address, 0, 0)]);
    let mut broken = house.discovery();
    broken.write_all(&frame[..20]).expect("it reads");
    drop(broken);
    let began = Instant::now();
    let mut silent = house.discovery();
    let after_a_break = began.elapsed().as_secs() < 2;
    silent.write_all(&frame).expect("it reads");
    silent.write_all(&frame[..20]).expect("it reads");
    let began = Instant::now();
    let _again = house.discovery();
    let after_a_stop = began.elapsed().as_secs() < 4;
    house.note(format!("within 2 s after a break: {after_a_break}, 4 s after a stop: {after_a_stop}"));
    expect![[r#"
        bulletin after 1
        bulletin after 1
        bulletin after 2
        within 2 s after a break: true, 4 s after a stop: true
        ended with Some(0): discovery_dialled=3 list_events=2
    "#]]
    .assert_eq(&house.end(&["list_events", "discovery_dialled"]));
}

/// Seen on days with bad clients: a connection that had just come was closed to make room for those behind it, and
/// the request that stood there unread was lost.
#[test]
fn a_connection_with_something_unread_makes_no_room_for_others() {
    let mut house = House::open_within((64, 24), "unread", 1, &settings(5000, 8000));
    let mut known = house.client();
    known.say(r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#);
    known.hear();
    std::thread::sleep(Duration::from_millis(60));
    let (mut new, _silent) = house.meanwhile(|house| {
        known.ask(1, "lookup", 8000);
        let mut new = house.client();
        new.ask(2, "lookup", 8000);
        (new, (0..20).map(|_| house.client()).collect::<Vec<_>>())
    });
    let mut engine = house.engine(0);
    for _ in 0..2 {
        let call = engine.call();
        let id = u64::from_str_radix(&call[4..20], 16).expect("its name");
        engine.say(id, "HIT", "pages=1", "a\tb\tc\n");
    }
    house.note(known.hear()).note(new.hear());
    expect![[r#"
        {"jsonrpc":"2.0","id":1,"result":{"data":"YQliCWMK"}}
        {"jsonrpc":"2.0","id":2,"result":{"data":"YQliCWMK"}}
        ended with Some(0): requests_succeeded=2
    "#]]
    .assert_eq(&house.end(&["requests_succeeded", "requests_withdrawn"]));
}

#[test]
fn the_lines_of_a_flood_are_taken_in_turn_with_those_of_others() {
    let mut house = House::open_logged("debug", (64, 256), "flood", 1, &settings(5000, 8000));
    let (mut flood, mut client): (Vec<_>, _) = ((0..3).map(|_| house.client()).collect(), house.client());
    for client in flood.iter_mut().chain([&mut client]) {
        client.say(r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#);
        client.hear();
    }
    house.meanwhile(|_| {
        for bad in &mut flood {
            bad.say(&vec!["nonsense"; 100].join("\n"));
        }
        client.ask(2, "lookup", 8000);
    });
    let before = house.logs_after("request=0 ", "client line refused");
    house.note(format!("one line of each of the flood at most before the task: {}", before <= flood.len()));
    house.engine(0).call();
    expect![[r#"
        one line of each of the flood at most before the task: true
        ended with Some(0): client_input_refused=300
    "#]]
    .assert_eq(&house.end(&["client_input_refused"]));
}

/// Says `lines` on a connection of its own, as far as the router takes them, and reads what it is told.
fn floods(at: SocketAddr, lines: Vec<u8>) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        let Ok(mut socket) = TcpStream::connect(at) else { return };
        let mut reads = socket.try_clone().expect("a second handle");
        let listener = std::thread::spawn(move || while reads.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {});
        // A router that has closed the connection takes no more.
        let _ = socket.write_all(&lines);
        let _ = socket.shutdown(Shutdown::Write);
        listener.join().expect("it reads to the end");
    })
}

#[test]
fn an_ordinary_client_is_answered_in_the_midst_of_floods() {
    let mut house = House::open("midst", 1, &settings(5000, 8000));
    let noise = (0u32..200_000).map(|at| (at.wrapping_mul(2_654_435_761) >> 24) as u8).collect();
    let withdrawn = (1000..1200).flat_map(|id| {
        let withdraw = format!(r#"{{"jsonrpc":"2.0","method":"withdraw","params":{{"req":"{id:016x}"}}}}"#);
        (Client::line("", id, "lookup", 8000) + &withdraw + "\n").into_bytes()
    });
    let at_once = (2000..2300).flat_map(|id| Client::line("", id, "lookup", 500).into_bytes());
    let lines: [Vec<u8>; 5] =
        [noise, vec![b'['; 3_000_000], vec![b'\n'; 20_000], withdrawn.collect(), at_once.collect()];
    let floods: Vec<_> = lines.into_iter().map(|lines| floods(house.at, lines)).collect();
    let silent: Vec<_> = (0..60).map(|_| house.client()).collect();
    let (mut client, mut engine) = (house.client(), house.engine(0));
    let mut whole = 0;
    for id in 1..=20 {
        client.ask(id, "lookup", 8000);
        while !engine.call().contains(&format!("{id:016x}")) {}
        engine.say(id, "HIT", "pages=1", "a\tb\tc\n");
        let answer = format!(r#"{{"jsonrpc":"2.0","id":{id},"result":{{"data":"YQliCWMK"}}}}"#);
        whole += usize::from(client.hear() == answer);
    }
    floods.into_iter().for_each(|flood| flood.join().expect("it ends"));
    drop(silent);
    house.note(format!("{whole} whole answers in turn"));
    expect![[r#"
        20 whole answers in turn
        ended with Some(0): requests_succeeded=20
    "#]]
    .assert_eq(&house.end(&["requests_succeeded", "a_second_answer"]));
}
