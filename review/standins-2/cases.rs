//! The cases.

use crate::Verdict;
use crate::peers::{
    Behaviour, Bulletin, Client, Engine, EngineConnection, Order, Place, Record, Request, Router, sleep_ms,
    sleep_until,
};
use crate::wire::{self, Member};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

type Played = Result<Verdict, String>;

/// Plays a case.
pub fn play(name: &str, place: &Place, record: &Record) -> Played {
    match name {
        "window" => window(place, record),
        _ => Err(format!("unknown case {name:?}")),
    }
}

fn text(error: std::io::Error) -> String {
    error.to_string()
}

/// The settings of the first deployment, as the wire page shows them, with one hall.
const SETTINGS: &str = concat!(
    r#"{"caps":{"cancel":true,"connectTimeoutMs":250.0,"cpuUsPerRequest":0.0,"cpuUsPerS":99263,"#,
    r#""idleCloseMs":15000.0,"maxOpen":24815,"maxRetryAfterMs":2000.0,"mayDuplicate":true,"mayTell":true,"#,
    r#""mostTries":3,"probes":false,"retryAfter":true,"streamsPerConn":32},"categories":["#,
    r#"{"aimStretch":1.5,"deadlineMs":6000.0,"gain":1.0,"keyScope":"all","lateShare":0.1,"name":"lookup","#,
    r#""onTimeMs":1200.0,"repeat":"repeatable","streaming":false,"windowMs":5000.0},"#,
    r#"{"aimStretch":2.5,"deadlineMs":25000.0,"gain":4.0,"keyScope":"all","lateShare":0.3,"name":"report","#,
    r#""onTimeMs":2000.0,"repeat":"repeatable","streaming":false,"windowMs":5000.0},"#,
    r#"{"aimStretch":2.5,"deadlineMs":20000.0,"gain":5.0,"keyScope":"all","lateShare":0.5,"#,
    r#""name":"batch-load","onTimeMs":4000.0,"repeat":"by_key","streaming":false,"windowMs":12000.0}],"#,
    r#""clientHabits":{"marksRetry":true},"discovery":"push","domain":{"bills":true,"#,
    r#""blockedByLoads":[true,false,false],"kindCores":[8],"lanesCount":true,"largestShare":0.4,"#,
    r#""parallelism":[1,3,2],"sizeMb":[16384.0],"takesGrants":true,"tellsEveryMs":500.0,"#,
    r#""whenShort":"line_up","writesTables":[false,false,true]},"goal":{"whole":0.65,"worstClass":0.2,"#,
    r#""worstTenant":0.0,"worstWindow":0.15},"instances":3,"kinds":["std-8"],"myZone":0,"#,
    r#""overShareWorth":0.1,"penalties":{"connection":0.0},"rank":0,"report":{"how":"answers","#,
    r#""names":["busy","q","x1","x0"]},"rules":{"askEveryMs":10000.0,"drainGraceMs":2000.0,"fallMs":1000.0,"#,
    r#""graceToAnswerMs":20.0,"overloadFactor":2.5,"startCapacity":0.33,"warmUpMs":15000.0},"tenants":[],"#,
    r#""tickMs":5.0,"tier":0,"tiers":["ledger-engines"],"weights":"none","workload":"queries","#,
    r#""worthBy":"request","zones":["hall-a"]}"#
);

/// The events of the start, as the configuration holds them: one whole list.
fn known(members: &[Member]) -> String {
    let row = |member: &Member| {
        format!(
            r#"{{"id":"s-{:08x}","host_port":"{}","locality":"hall-a","flavor":"std-8","cell":{},"phase":"ready","size":1,"up_since_ms":{}}}"#,
            member.id, member.address, member.cell, member.started_ms
        )
    };
    let rows: Vec<String> = members.iter().map(row).collect();
    let list = format!(r#"{{"revision":1,"complete":true,"members":[{}]}}"#, rows.join(","));
    format!(r#"{{"no":1,"items":[{{"no":1,"roster":{list}}}]}}"#)
}

fn request(class: &'static str, number: u64, timeout_ms: u64, work_ms: f64) -> Request {
    Request {
        class,
        req: format!("{number:016x}"),
        timeout_ms,
        work_ms,
        memory_mb: 96.0,
        more: String::new(),
        statement: format!("select a, b, c from sales_{}.orders where n = {number}", number % 40),
    }
}

const USE: &str = "use=util:0.20;queue:0;x1:0.10;x0:0.10";
const ROWS: &[u8] = b"a\tb\tc\n";

/// Serves a call: one page with one row.
fn serve(connection: &EngineConnection, id: &str) {
    connection.send(id, "HIT", &format!("pages=1,cost=5,need=4,{USE}"), ROWS);
}

/// Sends a note of a running call every 400 ms until the call is over.
fn keep_noting(connection: &Arc<EngineConnection>, id: &str, over: &Arc<AtomicBool>) {
    let (connection, id, over) = (connection.clone(), id.to_owned(), over.clone());
    thread::spawn(move || {
        loop {
            sleep_ms(400);
            if over.load(Ordering::SeqCst) {
                return;
            }
            connection.send(&id, "INFO", "-", b"");
        }
    });
}

/// The calls of keyed requests at all engines, which remember a key from the first call on for a stated time.
struct Keys {
    remembered: Duration,
    /// When each call had come whole, its engine and its key.
    calls: Mutex<Vec<(Duration, &'static str, String)>>,
    record: Record,
}

impl Keys {
    /// Records a call. Runs its effect unless the key is remembered.
    fn call(&self, engine: &'static str, key: &str) {
        let now = self.record.now();
        let mut calls = self.calls.lock().unwrap();
        let first = calls.iter().find(|(_, _, known)| known == key).map(|(at, _, _)| *at);
        let is_remembered = first.is_some_and(|first| now - first <= self.remembered);
        let what = if is_remembered { "drops the repeat of" } else { "RUNS THE EFFECT OF" };
        self.record.log(format!("engine {engine} {what} {key}"));
        calls.push((now, engine, key.to_owned()));
    }
}

/// Case 6: a referenced request is sent again after the time for which its key is remembered. The first engine answers
/// the call with an error shortly before that time is over. The second engine has forgotten its resting connections,
/// if the disruption takes place.
fn window(place: &Place, record: &Record) -> Played {
    const WINDOW: Duration = Duration::from_millis(12_000);
    /// By the protocol page, each time limit is 50 ms longer on sockets.
    const SLACK: Duration = Duration::from_millis(50);
    /// Time before the end of the window at which the first engine answers with an error.
    const BEFORE_END: Duration = Duration::from_millis(125);
    let keys = Arc::new(Keys { remembered: WINDOW, calls: Mutex::default(), record: record.clone() });
    let has_forgotten = Arc::new(AtomicBool::new(false));

    let (first_keys, first_record) = (keys.clone(), record.clone());
    let first_engine: Behaviour = Arc::new(move |connection, order| match order {
        Order::Get { id, fields } => {
            let Some(key) = wire::field(&fields, "uniq") else { return serve(connection, &id) };
            let came_at = first_record.now();
            first_keys.call("e1", key);
            let over = Arc::new(AtomicBool::new(false));
            keep_noting(connection, &id, &over);
            let (connection, record) = (connection.clone(), first_record.clone());
            thread::spawn(move || {
                sleep_until(&record, came_at + WINDOW - BEFORE_END);
                over.store(true, Ordering::SeqCst);
                connection.send(&id, "FAULT", USE, b"");
            });
        }
        Order::Ping { tag } => connection.send(&tag, "PONG", "-", b""),
        _ => {}
    });
    let (second_keys, forgets) = (keys.clone(), has_forgotten.clone());
    let forgettable: Mutex<BTreeSet<u64>> = Mutex::default();
    let second_engine: Behaviour = Arc::new(move |connection, order| {
        let has_forgotten = forgets.load(Ordering::SeqCst);
        if matches!(order, Order::Opened) && !has_forgotten {
            forgettable.lock().unwrap().insert(connection.number);
        }
        if has_forgotten && forgettable.lock().unwrap().contains(&connection.number) {
            return;
        }
        match order {
            Order::Get { id, fields } => {
                if let Some(key) = wire::field(&fields, "uniq") {
                    second_keys.call("e2", key);
                }
                serve(connection, &id);
            }
            Order::Ping { tag } => connection.send(&tag, "PONG", "-", b""),
            _ => {}
        }
    });
    let first_engine = Engine::start("e1", record, first_engine).map_err(text)?;
    let second_engine = Engine::start("e2", record, second_engine).map_err(text)?;
    let bulletin = Bulletin::start(record).map_err(text)?;
    bulletin.tell(1, vec![first_engine.member(1)]);
    let list = known(&[first_engine.member(1)]);
    let router = Router::start(place, record, bulletin.address, &list, SETTINGS)?;
    let mut client = Client::connect("a", router.address, record).map_err(text)?;
    let load = Request {
        more: ",\"opkey\":\"5c0f6e1a2b3d4c59a8b7c6d5e4f30211\"".to_owned(),
        statement: "insert into sales_17.orders select * from staging.orders".to_owned(),
        ..request("batch-load", 1, 18_000, 22_000.0)
    };
    let load_id = client.send(&load).map_err(text)?;
    sleep_ms(500);
    bulletin.tell(2, vec![second_engine.member(2)]);
    sleep_ms(500);
    // The lookups leave a connection to the second engine, which then rests.
    for number in 0..12 {
        let id = client.send(&request("lookup", 100 + number, 5000, 50.0)).map_err(text)?;
        client.wait(id, record.now() + Duration::from_secs(2));
        sleep_ms(60);
    }
    sleep_ms(2500);
    if place.trouble {
        record.log("disruption: the second engine has forgotten its resting connections");
        has_forgotten.store(true, Ordering::SeqCst);
    }
    let answer = client.wait(load_id, record.now() + Duration::from_secs(20));
    record.log(format!("the load ended with {answer:?}"));
    sleep_ms(1000);

    let calls = keys.calls.lock().unwrap();
    match calls.as_slice() {
        [] => Err("the load was not sent".to_owned()),
        [_] => Ok(Verdict::Held("the load was sent once".to_owned())),
        [(first, _, _), .., (last, engine, _)] => {
            let after = *last - *first;
            let shown = format!(
                "the load was sent again to {engine} {} ms after it was first sent; its key is remembered for {} ms",
                after.as_millis(),
                WINDOW.as_millis()
            );
            Ok(if after > WINDOW + SLACK { Verdict::Broken(shown) } else { Verdict::Held(shown) })
        }
    }
}
