//! Case 2: one engine spoils some answers: the answer claims 256 pages, and the pages that the router asks for keep on
//! coming, each far over the 6,000 bytes of a page. The router must stay within `memory_mb`; over it the platform kills
//! it.

#[path = "../standins/stand.rs"]
mod stand;

use stand::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Each client sends as many requests at once as a connection carries, and again after a second.
const CLIENTS: usize = 3;
const AT_ONCE: usize = 32;
const ROUNDS: usize = 8;
const INTERVAL: Duration = Duration::from_secs(1);
/// The first engine spoils one good answer of this many.
const SPOILT_SHARE: u64 = 4;
/// Time for which an engine runs a request.
const RUN: Duration = Duration::from_millis(30);
/// The pages that a spoilt answer claims.
const CLAIMED_PAGES: u64 = 256;
/// The bytes of each page of a spoilt answer.
const SPOILT_PAGE_BYTES: usize = 60_000;
/// Time for which the last page of a spoilt answer comes later than the others.
const LAST_PAGE_DELAY: Duration = Duration::from_millis(300);
/// The router's memory in MB.
const MEMORY_MB: u32 = 64;

fn rows_of(statement: &str) -> String {
    (1..=3).map(|row| format!("{row}\t{statement}\tpaid\n")).collect()
}

fn engine(name: &str, is_spoiling: bool, record: &Record) -> std::io::Result<Engine> {
    let (own_name, log, served) = (name.to_owned(), record.clone(), Arc::new(AtomicU64::new(0)));
    let unending = "1\tledger\tpaid\n".repeat(SPOILT_PAGE_BYTES / 14);
    Engine::start(name, record, move |connection, command| {
        if command.word == "PAGE" {
            // A page of a spoilt answer: it comes as asked, the last one somewhat later.
            if command.fields.parse::<u64>().is_ok_and(|page| page + 1 == CLAIMED_PAGES) {
                thread::sleep(LAST_PAGE_DELAY);
            }
            let fields = format!("page={}", command.fields);
            connection.write(&answer(&command.id, "PART", &fields, unending.as_bytes()));
            return;
        }
        if command.word != "GET" {
            return;
        }
        let (connection, command, name, log, unending) =
            (connection.clone(), command.clone(), own_name.clone(), log.clone(), unending.clone());
        let number = served.fetch_add(1, Ordering::SeqCst) + 1;
        thread::spawn(move || {
            thread::sleep(RUN);
            let is_spoilt = is_spoiling && has_trouble() && number % SPOILT_SHARE == 0;
            let bytes = if is_spoilt {
                log.log(&format!(
                    "{name}: ran {}, answers SPOILT HIT with pages={CLAIMED_PAGES}",
                    command.id
                ));
                let fields = format!("pages={CLAIMED_PAGES},cost=30.0,need=8.0");
                answer(&command.id, "HIT", &fields, unending.as_bytes())
            } else {
                log.log(&format!("{name}: ran {}, answers HIT", command.id));
                let rows = rows_of(&command.statement);
                answer(&command.id, "HIT", "pages=1,cost=30.0,need=8.0", rows.as_bytes())
            };
            connection.write(&bytes);
        });
    })
}

fn run(stage: &Stage) -> std::io::Result<i32> {
    let record = &stage.record;
    let engines = [
        engine("engine-1", true, record)?,
        engine("engine-2", false, record)?,
        engine("engine-3", false, record)?,
    ];
    let bulletin = Bulletin::start()?;
    let rows = (1..)
        .zip(&engines)
        .map(|(id, engine)| Row { id, address: engine.address, state: 0, up_since_ms: 0 })
        .collect();
    let config = RouterConfig {
        memory_mb: MEMORY_MB,
        sockets: 1024,
        bulletin: bulletin.address,
        rows,
        categories: r#"{"name":"lookup","onTimeMs":1200,"aimStretch":1.5,"deadlineMs":6000,"gain":1,"lateShare":0.1,"repeat":"repeatable","streaming":false,"windowMs":5000,"keyScope":"all"}"#.to_owned(),
        parallelism: "1".to_owned(),
        writes_tables: "false".to_owned(),
        blocked_by_loads: "true".to_owned(),
        may_duplicate: true,
        progress_ms: 0,
        instances: 1,
    };
    let router = stage.start_router("n0", &config)?;
    let address = router.address;
    let router = Arc::new(std::sync::Mutex::new(router));
    let ended = Arc::new(AtomicBool::new(false));
    let killed = Arc::new(AtomicBool::new(false));
    // The platform: kills the router when its memory is over the limit.
    let platform = {
        let (router, ended, killed, log) =
            (Arc::clone(&router), Arc::clone(&ended), Arc::clone(&killed), record.clone());
        thread::spawn(move || {
            let mut reported = Instant::now();
            while !ended.load(Ordering::SeqCst) {
                let Some((now, highest)) = lock(&router).memory_kb() else { break };
                if reported.elapsed() > Duration::from_secs(1) {
                    reported = Instant::now();
                    log.log(&format!("platform: the router has {now} kB, at its highest {highest} kB"));
                }
                if highest > u64::from(MEMORY_MB) * 1024 {
                    log.log(&format!(
                        "BROKEN: the router had {highest} kB, over its memory_mb of {MEMORY_MB}; the platform kills it"
                    ));
                    killed.store(true, Ordering::SeqCst);
                    lock(&router).kill();
                    break;
                }
                thread::sleep(Duration::from_millis(5));
            }
        })
    };
    let mut clients = Vec::new();
    for number in 1..=CLIENTS {
        clients.push(Client::connect(&format!("client-{number}"), address, record)?);
    }
    let names = Names::new();
    let mut sent = Vec::new();
    for round in 0..ROUNDS {
        for number in 0..CLIENTS * AT_ONCE {
            let request = Request {
                class: "lookup".to_owned(),
                name: names.next(),
                timeout_ms: 6000,
                work_ms: 30.0,
                memory_mb: 8.0,
                key: None,
                is_resent: false,
                statement: format!(
                    "select * from books_{}.entries where entry = {number}{round}",
                    number % 7 + 1
                ),
            };
            let client = number / AT_ONCE;
            let Ok(id) = clients[client].send(&request) else { break };
            sent.push((client, id));
        }
        thread::sleep(INTERVAL);
        if killed.load(Ordering::SeqCst) {
            break;
        }
    }
    let (mut answered, mut missing) = (0, 0);
    for (client, id) in sent {
        let longest = if killed.load(Ordering::SeqCst) { Duration::ZERO } else { Duration::from_secs(7) };
        match clients[client].wait(id, longest) {
            Some(_) => answered += 1,
            None => missing += 1,
        }
    }
    ended.store(true, Ordering::SeqCst);
    let _ = platform.join();
    if let Some((now, highest)) = lock(&router).memory_kb() {
        record.log(&format!("platform: the router has {now} kB, at its highest {highest} kB"));
    }
    record.log(&format!("answered {answered}, no answer {missing}"));
    if killed.load(Ordering::SeqCst) {
        return Ok(RULE_BROKEN);
    }
    Ok(if answered > 0 { RULE_HELD } else { NOT_RUN })
}

fn main() {
    let stage = match Stage::from_arguments() {
        Ok(stage) => stage,
        Err(error) => finish(Err(error), None),
    };
    let outcome = run(&stage);
    finish(outcome, Some(&stage.record))
}
