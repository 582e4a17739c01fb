//! The cases.

use crate::Verdict;
use crate::peers::{
    Behaviour, Bulletin, Client, Engine, EngineConnection, Order, Place, Record, Request, Router, SIGCONT,
    SIGSTOP, SIGTERM, sleep_ms, sleep_until,
};
use crate::wire::{self, Answer, Member};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

type Played = Result<Verdict, String>;

/// Plays a case.
pub fn play(name: &str, place: &Place, record: &Record) -> Played {
    match name {
        "copy" => copy(place, record),
        "still" => still(place, record),
        "gone" => gone(place, record),
        "window" => window(place, record),
        _ => Err(format!("unknown case {name:?}")),
    }
}

fn text(error: std::io::Error) -> String {
    error.to_string()
}

/// The settings of a deployment, as the wire page shows them, with one hall.
struct Settings {
    /// The objects of the classes, without the keys that all have in common.
    classes: &'static [&'static str],
    tries: u32,
    may_duplicate: bool,
    routers: u32,
    cores: u32,
    memory_mb: u32,
    threads: &'static str,
    is_load: &'static str,
    waits_for_loads: &'static str,
    notes_every_ms: u32,
    has_priorities: bool,
    when_short: &'static str,
    report: &'static str,
    rules: &'static str,
}

const GENT: Settings = Settings {
    classes: &[
        r#""aimStretch":1.5,"deadlineMs":6000.0,"gain":1.0,"lateShare":0.1,"name":"lookup","onTimeMs":1200.0,"repeat":"repeatable","windowMs":5000.0"#,
        r#""aimStretch":2.5,"deadlineMs":25000.0,"gain":4.0,"lateShare":0.3,"name":"report","onTimeMs":2000.0,"repeat":"repeatable","windowMs":5000.0"#,
        r#""aimStretch":2.5,"deadlineMs":20000.0,"gain":5.0,"lateShare":0.5,"name":"batch-load","onTimeMs":4000.0,"repeat":"by_key","windowMs":12000.0"#,
    ],
    tries: 3,
    may_duplicate: true,
    routers: 3,
    cores: 8,
    memory_mb: 16384,
    threads: "1,3,2",
    is_load: "false,false,true",
    waits_for_loads: "true,false,false",
    notes_every_ms: 500,
    has_priorities: true,
    when_short: "line_up",
    report: r#""how":"answers","names":["busy","q","x1","x0"]"#,
    rules: r#""drainGraceMs":2000.0,"fallMs":1000.0,"overloadFactor":2.5,"startCapacity":0.33,"warmUpMs":15000.0"#,
};

const NOTNI: Settings = Settings {
    classes: &[
        r#""aimStretch":1.5,"deadlineMs":6000.0,"gain":1.0,"lateShare":0.1,"name":"pregled","onTimeMs":1200.0,"repeat":"repeatable","windowMs":5000.0"#,
        r#""aimStretch":2.5,"deadlineMs":25000.0,"gain":3.0,"lateShare":0.3,"name":"izvjestaj","onTimeMs":2000.0,"repeat":"repeatable","windowMs":5000.0"#,
        r#""aimStretch":3.0,"deadlineMs":20000.0,"gain":5.0,"lateShare":0.6,"name":"knjizenje","onTimeMs":3000.0,"repeat":"once","windowMs":5000.0"#,
    ],
    tries: 5,
    may_duplicate: false,
    routers: 3,
    cores: 8,
    memory_mb: 16384,
    threads: "1,3,2",
    is_load: "false,false,true",
    waits_for_loads: "false,false,false",
    notes_every_ms: 0,
    has_priorities: false,
    when_short: "overcommit",
    report: r#""how":"none","names":[]"#,
    rules: r#""drainGraceMs":250.0,"fallMs":3000.0,"overloadFactor":4.0,"startCapacity":0.31,"warmUpMs":14000.0,"spareAttempts":3,"extraPerRequest":0.1,"countedOverMs":5000.0"#,
};

const PORTO: Settings = Settings {
    classes: &[
        r#""aimStretch":2.0,"deadlineMs":2500.0,"gain":1.0,"lateShare":0.1,"name":"short","onTimeMs":500.0,"repeat":"repeatable","windowMs":5000.0"#,
        r#""aimStretch":2.5,"deadlineMs":25000.0,"gain":15.0,"lateShare":0.3,"name":"long","onTimeMs":2000.0,"repeat":"repeatable","windowMs":5000.0"#,
    ],
    tries: 5,
    may_duplicate: false,
    routers: 2,
    cores: 12,
    memory_mb: 24576,
    threads: "1,4",
    is_load: "false,false",
    waits_for_loads: "false,false",
    notes_every_ms: 1000,
    has_priorities: true,
    when_short: "overcommit",
    report: r#""how":"answers","names":["busy","x1"]"#,
    rules: r#""drainGraceMs":2000.0,"fallMs":1500.0,"overloadFactor":3.0,"startCapacity":0.32,"warmUpMs":15000.0"#,
};

impl Settings {
    fn json(&self) -> String {
        let Self { tries, may_duplicate, routers, cores, memory_mb, threads, is_load, .. } = self;
        let Self { waits_for_loads, notes_every_ms, has_priorities, when_short, report, rules, .. } = self;
        let class = |class: &&str| format!(r#"{{"keyScope":"all","streaming":false,{class}}}"#);
        let classes: Vec<String> = self.classes.iter().map(class).collect();
        let classes = classes.join(",");
        let caps = format!(
            r#"{{"cancel":true,"connectTimeoutMs":250.0,"idleCloseMs":15000.0,"maxOpen":24815,"maxRetryAfterMs":2000.0,"mayDuplicate":{may_duplicate},"mostTries":{tries},"probes":false,"retryAfter":true,"streamsPerConn":32}}"#
        );
        let domain = format!(
            r#"{{"blockedByLoads":[{waits_for_loads}],"kindCores":[{cores}],"lanesCount":{has_priorities},"largestShare":0.4,"parallelism":[{threads}],"sizeMb":[{memory_mb}.0],"takesGrants":true,"tellsEveryMs":{notes_every_ms}.0,"whenShort":"{when_short}","writesTables":[{is_load}]}}"#
        );
        format!(
            r#"{{"caps":{caps},"categories":[{classes}],"clientHabits":{{"marksRetry":true}},"discovery":"push","domain":{domain},"instances":{routers},"kinds":["std"],"myZone":0,"rank":0,"report":{{{report}}},"rules":{{"askEveryMs":10000.0,"graceToAnswerMs":20.0,{rules}}},"tenants":[],"tickMs":5.0,"tier":0,"tiers":["engines"],"weights":"none","workload":"queries","worthBy":"request","zones":["hall-a"]}}"#
        )
    }
}

/// The events of the start, as the configuration holds them: one whole list.
fn known(members: &[Member]) -> String {
    let row = |member: &Member| {
        format!(
            r#"{{"id":"s-{:08x}","host_port":"{}","locality":"hall-a","flavor":"std","cell":{},"phase":"ready","size":1,"up_since_ms":{}}}"#,
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

/// Case 6: a single-use request runs twice. Each of two engines is full when the request first comes to it, and so refuses it. If
/// the disruption takes place, a second copy of this answer follows some milliseconds later.
fn copy(place: &Place, record: &Record) -> Played {
    /// How late the second copy comes.
    const LATE_BY: Duration = Duration::from_millis(5);
    /// How long a load runs.
    const RUN: Duration = Duration::from_millis(1500);
    let trouble = place.trouble;
    // How often each load ran.
    let runs: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let behaviour = |name: &'static str| -> Behaviour {
        let (runs, record) = (runs.clone(), record.clone());
        let refused: Mutex<BTreeSet<String>> = Mutex::default();
        Arc::new(move |connection, order| match order {
            Order::Get { id, fields } => {
                if wire::field(&fields, "queue") != Some("knjizenje") {
                    return serve(connection, &id);
                }
                if refused.lock().unwrap().insert(id.clone()) {
                    connection.send(&id, "SHED", "-", b"");
                    if trouble {
                        let connection = connection.clone();
                        thread::spawn(move || {
                            thread::sleep(LATE_BY);
                            connection.send(&id, "SHED", "-", b"");
                        });
                    }
                    return;
                }
                let count = {
                    let mut runs = runs.lock().unwrap();
                    let count = runs.entry(id.clone()).or_default();
                    *count += 1;
                    *count
                };
                record.log(format!("engine {name} RUNS THE EFFECT OF {id}, for the {count}. time"));
                let connection = connection.clone();
                thread::spawn(move || {
                    thread::sleep(RUN);
                    connection.send(&id, "HIT", "pages=1", ROWS);
                });
            }
            Order::Ping { tag } => connection.send(&tag, "PONG", "-", b""),
            _ => {}
        })
    };
    let one = Engine::start("e1", record, behaviour("e1")).map_err(text)?;
    let two = Engine::start("e2", record, behaviour("e2")).map_err(text)?;
    let members = [one.member(1), two.member(2)];
    let bulletin = Bulletin::start(record).map_err(text)?;
    bulletin.tell(1, members.to_vec());
    let router = Router::start(place, record, bulletin.address, &known(&members), &NOTNI.json())?;
    let mut client = Client::connect("a", router.address, record).map_err(text)?;
    for number in 0..20 {
        let id = client.send(&request("pregled", 100 + number, 5000, 50.0)).map_err(text)?;
        client.wait(id, record.now() + Duration::from_secs(2));
        sleep_ms(20);
    }
    let mut broken = Vec::new();
    let mut any_run = false;
    for number in 0..4 {
        let load = Request {
            statement: format!("insert into sales_{number}.orders select * from staging.orders"),
            ..request("knjizenje", 1 + number, 18_000, 3_000.0)
        };
        let id = client.send(&load).map_err(text)?;
        let answer = client.wait(id, record.now() + Duration::from_secs(8));
        sleep_ms(1600);
        let count = runs.lock().unwrap().get(&load.req).copied().unwrap_or(0);
        any_run |= count > 0;
        let was_refused = matches!(answer, Some((_, Answer::Refused)));
        record.log(format!("load {} ran {count} times, refused: {was_refused}", load.req));
        if count > 1 {
            broken.push(format!("{} ran {count} times", load.req));
        }
        if count > 0 && was_refused {
            broken.push(format!("{} ran and was refused, as if trying again were harmless", load.req));
        }
    }
    if !any_run {
        return Err("no load ran".to_owned());
    }
    Ok(match broken.is_empty() {
        true => Verdict::Held("each load ran once at most, and none that ran was refused".to_owned()),
        false => Verdict::Broken(broken.join("; ")),
    })
}

/// Case 7: requests without an answer at a planned restart. The router stands still for a moment while SIGTERM comes, if the
/// disruption takes place.
fn still(place: &Place, record: &Record) -> Played {
    /// How long the router stands still, and how long it does so before SIGTERM comes.
    const STILL: Duration = Duration::from_millis(1500);
    const STILL_BEFORE: Duration = Duration::from_millis(100);
    /// SIGKILL comes so long after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s more.
    const KILL_AFTER: Duration = Duration::from_millis(3700);
    /// Requests that come later than this after SIGTERM are lost if SIGKILL finds them without an answer.
    const PROTECTED_AFTER: Duration = Duration::from_millis(700);
    let behaviour: Behaviour = Arc::new(move |connection, order| match order {
        Order::Get { id, fields } => {
            if wire::field(&fields, "queue") != Some("long") {
                return serve(connection, &id);
            }
            let over = Arc::new(AtomicBool::new(false));
            keep_noting(connection, &id, &over);
            let connection = connection.clone();
            thread::spawn(move || {
                sleep_ms(6000);
                over.store(true, Ordering::SeqCst);
                serve(&connection, &id);
            });
        }
        Order::Ping { tag } => connection.send(&tag, "PONG", "-", b""),
        _ => {}
    });
    let one = Engine::start("e1", record, behaviour.clone()).map_err(text)?;
    let two = Engine::start("e2", record, behaviour).map_err(text)?;
    let members = [one.member(1), two.member(2)];
    let bulletin = Bulletin::start(record).map_err(text)?;
    bulletin.tell(1, members.to_vec());
    let mut router = Router::start(place, record, bulletin.address, &known(&members), &PORTO.json())?;
    let connect = |at: usize| Client::connect(&format!("c{at}"), router.address, record).map_err(text);
    let mut clients = (0..4).map(connect).collect::<Result<Vec<_>, _>>()?;
    let mut number = 0;
    let mut send = |client: &mut Client, class: &'static str, timeout_ms: u64, work_ms: f64| {
        number += 1;
        client.send(&request(class, number, timeout_ms, work_ms)).map_err(text)
    };
    for client in &mut clients {
        let id = send(client, "short", 2400, 100.0)?;
        client.wait(id, record.now() + Duration::from_secs(2));
    }
    // Each client has a request that runs for longer than the restart takes.
    let mut before = Vec::new();
    for (at, client) in clients.iter_mut().enumerate() {
        before.push((at, send(client, "long", 20_000, 20_000.0)?));
    }
    sleep_ms(500);
    if place.trouble {
        router.signal(SIGSTOP, "SIGSTOP: it stands still");
    }
    let still_since = record.now();
    sleep_until(record, still_since + STILL_BEFORE);
    router.signal(SIGTERM, "SIGTERM");
    let told_at = record.now();
    let mut after = Vec::new();
    for round in 0..8 {
        sleep_until(record, told_at + PROTECTED_AFTER + Duration::from_millis(50 + 60 * round));
        let at = round as usize % clients.len();
        after.push((at, send(&mut clients[at], "long", 20_000, 20_000.0)?));
    }
    sleep_until(record, still_since + STILL);
    if place.trouble {
        router.signal(SIGCONT, "SIGCONT: it goes on");
    }
    sleep_until(record, told_at + KILL_AFTER);
    let unanswered = |sent: &[(usize, u64)]| {
        sent.iter().filter(|(at, id)| clients[*at].wait(*id, Duration::ZERO).is_none()).count()
    };
    let (late, early) = (unanswered(&after), unanswered(&before));
    record.log("the router gets SIGKILL");
    router.end();
    let shown = format!(
        "SIGKILL found {late} of {} requests without an answer that came more than 0.7 s after SIGTERM, and {early} of {} earlier ones",
        after.len(),
        before.len()
    );
    Ok(if late > 0 { Verdict::Broken(shown) } else { Verdict::Held(shown) })
}

/// Case 8: a referenced request is sent again after the time for which its key is remembered. The first engine answers
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
    let router = Router::start(place, record, bulletin.address, &list, &GENT.json())?;
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

/// Case 9: requests are begun after their client has withdrawn them. The router stands still for a moment, if the
/// disruption takes place. Meanwhile a client sends as many requests as a connection carries, gives them up early and
/// withdraws them.
fn gone(place: &Place, record: &Record) -> Played {
    const STILL: Duration = Duration::from_millis(1500);
    const GIVEN_UP_AFTER: Duration = Duration::from_millis(1000);
    /// An attempt may begin so long after its request was withdrawn.
    const GRACE: Duration = Duration::from_millis(100);
    const REQUESTS: u64 = 32;
    /// The bytes of each statement.
    const STATEMENT: usize = 4_000;
    let begun: Arc<Mutex<BTreeMap<String, Duration>>> = Arc::default();
    let behaviour: Behaviour = {
        let (begun, record) = (begun.clone(), record.clone());
        Arc::new(move |connection, order| match order {
            Order::Get { id, fields } => {
                begun.lock().unwrap().insert(id.clone(), record.now());
                if wire::field(&fields, "queue") == Some("short") {
                    let connection = connection.clone();
                    thread::spawn(move || {
                        sleep_ms(600);
                        serve(&connection, &id);
                    });
                }
            }
            Order::Ping { tag } => connection.send(&tag, "PONG", "-", b""),
            _ => {}
        })
    };
    let one = Engine::start("e1", record, behaviour.clone()).map_err(text)?;
    let two = Engine::start("e2", record, behaviour).map_err(text)?;
    let members = [one.member(1), two.member(2)];
    let bulletin = Bulletin::start(record).map_err(text)?;
    bulletin.tell(1, members.to_vec());
    let router = Router::start(place, record, bulletin.address, &known(&members), &PORTO.json())?;
    let mut client = Client::connect("a", router.address, record).map_err(text)?;
    // Requests of another client end while the router stands still.
    let mut other = Client::connect("b", router.address, record).map_err(text)?;
    for number in 0..24 {
        other.send(&request("short", 1 + number, 2400, 100.0)).map_err(text)?;
    }
    sleep_ms(200);
    if place.trouble {
        router.signal(SIGSTOP, "SIGSTOP: it stands still");
    }
    let still_since = record.now();
    sleep_ms(50);
    let mut names = Vec::new();
    for number in 0..REQUESTS {
        let mut long = Request { memory_mb: 24.0, ..request("long", 100 + number, 20_000, 6_000.0) };
        while long.statement.len() < STATEMENT {
            long.statement.push_str(&format!(" or (region = {} and n = {number})", long.statement.len()));
        }
        client.send(&long).map_err(text)?;
        names.push(long.req);
    }
    sleep_until(record, still_since + GIVEN_UP_AFTER);
    let withdrawn_from = record.now();
    for name in &names {
        client.withdraw(name).map_err(text)?;
    }
    let withdrawn_at = record.now();
    sleep_until(record, still_since + STILL);
    if place.trouble {
        router.signal(SIGCONT, "SIGCONT: it goes on");
    }
    sleep_ms(2000);
    let begun = begun.lock().unwrap();
    let late: Vec<_> =
        names.iter().filter_map(|name| begun.get(name)).filter(|at| **at > withdrawn_at + GRACE).collect();
    let shown = format!(
        "{} of {REQUESTS} requests were begun more than 100 ms after they were withdrawn, the last one {:?} after; {} were begun at all; the withdrawals took {:?}",
        late.len(),
        late.iter().max().map(|at| **at - withdrawn_at),
        names.iter().filter(|name| begun.contains_key(*name)).count(),
        withdrawn_at - withdrawn_from
    );
    Ok(if late.is_empty() { Verdict::Held(shown) } else { Verdict::Broken(shown) })
}
