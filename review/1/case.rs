//! Case 1: one engine spoils some of its good answers and pages: an array's length is 3, and four strings follow; or noise
//! stands in the fields. Each answer that is served must be all rows that an engine made for the request.

#[path = "../standins/stand.rs"]
mod stand;

use stand::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Requests, and the time between two of them.
const REQUESTS: u32 = 400;
const INTERVAL: Duration = Duration::from_millis(25);
/// The first engine spoils one good answer of this many.
const SPOILT_SHARE: u64 = 10;
/// Time for which an engine runs a request.
const RUN: Duration = Duration::from_millis(30);

/// The pages that every engine makes for a statement: one or two, with three rows each.
fn pages_of(statement: &str) -> Vec<String> {
    let page =
        |number: usize| (1..=3).map(|row| format!("{number}.{row}\t{statement}\tpaid\n")).collect::<String>();
    let count = if statement.ends_with(['0', '2', '4', '6', '8']) { 2 } else { 1 };
    (0..count).map(page).collect()
}

/// How an answer is spoilt.
#[derive(Clone, Copy, Debug)]
enum Spoilt {
    /// The length of the array of the first page is 3 instead of 4.
    FirstPageLength,
    /// The length of the array of a further page is 3 instead of 4.
    FurtherPageLength,
    /// Noise stands in the fields of the first page, in place of the name `pages`.
    FieldNoise,
}

/// The answer, in which the length of the array is 3 instead of 4.
fn with_wrong_length(good: &[u8]) -> Vec<u8> {
    let mut spoilt = good.to_vec();
    spoilt[1] = b'3';
    spoilt
}

/// The first page of a result, spoilt or good.
fn first_page(id: &str, pages: &[String], spoilt: Option<Spoilt>) -> Vec<u8> {
    let count = pages.len();
    let fields = match spoilt {
        Some(Spoilt::FieldNoise) => format!("p#\u{1}z~={count},cost=30.0,need=8.0"),
        _ => format!("pages={count},cost=30.0,need=8.0"),
    };
    let good = answer(id, "HIT", &fields, pages[0].as_bytes());
    if matches!(spoilt, Some(Spoilt::FirstPageLength)) { with_wrong_length(&good) } else { good }
}

/// What an engine holds of the results that it has made, by the ids of their requests.
type Results = Arc<Mutex<BTreeMap<String, (Vec<String>, Option<Spoilt>)>>>;

fn engine(name: &str, is_spoiling: bool, record: &Record) -> std::io::Result<Engine> {
    let (own_name, log, served) = (name.to_owned(), record.clone(), Arc::new(AtomicU64::new(0)));
    let results = Results::default();
    Engine::start(name, record, move |connection, command| {
        if command.word == "PAGE" {
            let held = lock(&results).get(&command.id).cloned();
            let Some((pages, spoilt)) = held else { return };
            let Some(page) = command.fields.parse::<usize>().ok().and_then(|number| pages.get(number)) else {
                return;
            };
            let good = answer(&command.id, "PART", &format!("page={}", command.fields), page.as_bytes());
            let is_spoilt = matches!(spoilt, Some(Spoilt::FurtherPageLength));
            connection.write(&if is_spoilt { with_wrong_length(&good) } else { good });
        }
        if command.word != "GET" {
            return;
        }
        let number = served.fetch_add(1, Ordering::SeqCst) + 1;
        let pages = pages_of(&command.statement);
        let spoilt =
            (is_spoiling && has_trouble() && number % SPOILT_SHARE == 0).then(|| match pages.len() {
                1 => Spoilt::FirstPageLength,
                _ if number % (2 * SPOILT_SHARE) == 0 => Spoilt::FurtherPageLength,
                _ => Spoilt::FieldNoise,
            });
        lock(&results).insert(command.id.clone(), (pages.clone(), spoilt));
        let (connection, command, name, log) =
            (connection.clone(), command.clone(), own_name.clone(), log.clone());
        thread::spawn(move || {
            thread::sleep(RUN);
            log.log(&format!("{name}: ran {}, pages {}, spoilt: {spoilt:?}", command.id, pages.len()));
            connection.write(&first_page(&command.id, &pages, spoilt));
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
        memory_mb: 192,
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
    let _router = stage.start_router("n0", &config)?;
    let router_address = _router.address;
    let clients = [
        Client::connect("client-1", router_address, record)?,
        Client::connect("client-2", router_address, record)?,
    ];
    let names = Names::new();
    let mut sent = Vec::new();
    for number in 0..REQUESTS {
        let client = &clients[number as usize % clients.len()];
        let statement = format!("select * from books_{}.entries where entry = {number}", number % 7 + 1);
        let request = Request {
            class: "lookup".to_owned(),
            name: names.next(),
            timeout_ms: 6000,
            work_ms: 30.0,
            memory_mb: 8.0,
            key: None,
            is_resent: false,
            statement: statement.clone(),
        };
        let id = client.send(&request)?;
        sent.push((number as usize % clients.len(), id, request.name, statement));
        thread::sleep(INTERVAL);
    }
    let (mut served, mut wrong, mut other, mut missing) = (0, 0, 0, 0);
    for (client, id, name, statement) in sent {
        match clients[client].wait(id, Duration::from_secs(7)) {
            Some((Answer::Served(rows), _)) if rows == pages_of(&statement).concat().into_bytes() => {
                served += 1
            }
            Some((Answer::Served(rows), _)) => {
                wrong += 1;
                record.log(&format!(
                    "BROKEN: {name} was served with {} bytes, which no engine made for it; its result has {} bytes",
                    rows.len(),
                    pages_of(&statement).concat().len()
                ));
            }
            Some(_) => other += 1,
            None => missing += 1,
        }
    }
    record.log(&format!(
        "served in full {served}, served wrongly {wrong}, refused or failed {other}, no answer {missing}"
    ));
    if served == 0 {
        return Ok(NOT_RUN);
    }
    Ok(if wrong > 0 { RULE_BROKEN } else { RULE_HELD })
}

fn main() {
    let stage = match Stage::from_arguments() {
        Ok(stage) => stage,
        Err(error) => finish(Err(error), None),
    };
    let outcome = run(&stage);
    finish(outcome, Some(&stage.record))
}
