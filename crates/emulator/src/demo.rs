//! A first try: engines, a discovery service and a router on loopback, mixed work of three teams, an engine lost half-way,
//! and a table of what became of it.

use crate::clients::{Client, Fate, Habit, How};
use crate::discovery::{Discovery, Row};
use crate::engine::{Engine, Runs};
use emberflow_router::bootstrap::Bootstrap;
use emberflow_router::event_loop::RouterLoop;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const CORES: f64 = 4.0;
const MEMORY_MB: f64 = 4096.0;

pub struct Demo {
    pub lasts: Duration,
    pub seed: u64,
    pub engines: u32,
    /// The operator's file, as text; none for a router without teams.
    pub orders: Option<String>,
    pub clients: fn(u64) -> Vec<Client>,
    /// Whether an engine is lost half-way.
    pub loses: bool,
}

fn settings(listen: SocketAddr, discovery: SocketAddr) -> Value {
    let kind = |name: &str, latency_objective: u64, deadline: u64, repeat: &str| json!({"name": name, "onTimeMs": latency_objective, "deadlineMs": deadline, "gain": 1, "lateShare": 0.1, "repeat": repeat});
    json!({"name": "demo", "listen": listen.to_string(), "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "bulletin": discovery.to_string(),
        "known": {"no": 0, "items": []},
        "settings": {"instances": 1, "myZone": 0, "zones": ["hall-a"], "kinds": ["std-4"], "discovery": "push",
            "tickMs": 5,
            "categories": [kind("lookup", 600, 4000, "repeatable"), kind("report", 4000, 12000, "repeatable"),
                kind("post", 1500, 6000, "once")],
            "caps": {"cancel": true, "connectTimeoutMs": 250, "idleCloseMs": 15000, "maxRetryAfterMs": 2000,
                "mostTries": 3, "retryAfter": true, "streamsPerConn": 32},
            "domain": {"kindCores": [CORES], "largestShare": 0.4, "lanesCount": false, "sizeMb": [MEMORY_MB],
                "tellsEveryMs": 500},
            "report": {"how": "none"},
            "rules": {"fallMs": 1000, "overloadFactor": 2.5, "startCapacity": 0.33, "warmUpMs": 3000}}})
}

fn habit(class: &'static str, rate: f64, work_ms: f64, need_mb: f64, urgency: u8, deadline_ms: u64) -> Habit {
    Habit { class, rate, work_ms, need_mb, urgency, deadline_ms }
}

/// Three teams that look up, report and post.
pub fn mixed(seed: u64) -> Vec<Client> {
    let lookup = |rate, urgency| habit("lookup", rate, 20.0, 40.0, urgency, 4000);
    let report = |rate| habit("report", rate, 600.0, 700.0, 0, 12_000);
    let client =
        |team, habits, at| Client { team, asks: None, habits, seed: seed.wrapping_add(at), tries: 2 };
    vec![
        client("audit", vec![lookup(25.0, 2), report(1.0)], 1),
        client("posting", vec![report(10.0), habit("post", 10.0, 80.0, 200.0, 0, 6000)], 2),
        client("payroll", vec![lookup(10.0, 0), report(2.0)], 3),
    ]
}

fn fault(what: &'static str) -> impl Fn(std::io::Error) -> String {
    move |e| format!("{what}: {e}")
}

impl Demo {
    /// Runs it, with a line of progress a second; the fates of all that was sent.
    pub fn run(&self, mut progress: impl Write) -> Result<Vec<Fate>, String> {
        let runs = Runs::default();
        let mut engines: Vec<Engine> = (0..self.engines)
            .map(|_| Engine::start(CORES, MEMORY_MB, runs.clone()))
            .collect::<Result<_, _>>()
            .map_err(fault("an engine"))?;
        let row = |(id, engine): (u32, &Engine)| Row {
            id,
            address: engine.address,
            state: 0,
            cell: 0,
            up_since_ms: 0,
        };
        let rows: Vec<Row> = (1..).zip(&engines).map(row).collect();
        let discovery = Discovery::start(rows.clone()).map_err(fault("the bulletin"))?;
        let router = Self::free_port().map_err(fault("a port"))?;
        let (file, orders) = (settings(router, discovery.address), self.orders.clone());
        std::thread::spawn(move || {
            let read = move || {
                let mut bootstrap = Bootstrap::read(&file, None)?;
                if let Some(orders) = &orders {
                    bootstrap.read_operator_file(orders)?;
                }
                Ok(bootstrap)
            };
            if let Err(error) = RouterLoop::run(read) {
                eprintln!("the router: {error}");
            }
        });
        Self::until_it_serves(router)?;
        let (begun, lasts) = (Instant::now(), self.lasts);
        let clients: Vec<_> = (self.clients)(self.seed)
            .into_iter()
            .map(|client| {
                let runs = runs.clone();
                std::thread::spawn(move || client.run(router, lasts, &runs))
            })
            .collect();
        let (mut lost, mut told) = (false, 0);
        while clients.iter().any(|client| !client.is_finished()) {
            std::thread::sleep(Duration::from_millis(50));
            let seconds = begun.elapsed().as_secs();
            if seconds > told {
                told = seconds;
                let now = if lost { ", an engine is lost" } else { "" };
                let _ = write!(progress, "\r{seconds:3} s{now}").and_then(|()| progress.flush());
            }
            if self.loses && !lost && begun.elapsed() >= lasts / 2 && engines.len() > 1 {
                // It resets everything, and the list tells half a second later.
                lost = true;
                drop(engines.remove(0));
                std::thread::sleep(Duration::from_millis(500));
                discovery.change(Row { state: 2, ..rows[0] });
            }
        }
        let _ = writeln!(progress);
        let mut fates = Vec::new();
        for client in clients {
            fates.extend(client.join().map_err(|_| "a client failed")?.map_err(fault("a client"))?);
        }
        Ok(fates)
    }

    fn free_port() -> std::io::Result<SocketAddr> {
        TcpListener::bind("127.0.0.1:0")?.local_addr()
    }

    fn until_it_serves(router: SocketAddr) -> Result<(), String> {
        for _ in 0..200 {
            if TcpStream::connect(router).is_ok() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(25));
        }
        Err("the router does not listen".into())
    }
}

/// The table by team and request class: how many came to what, and quantiles of wait and run in milliseconds.
pub fn table(fates: &[Fate]) -> String {
    let mut rows: BTreeMap<(&str, &str), Vec<&Fate>> = BTreeMap::new();
    for fate in fates {
        rows.entry((fate.team, fate.class)).or_default().push(fate);
    }
    let mut text = format!(
        "{:8} {:8} {:>6} {:>9} {:>8} {:>8} {:>7} {:>7} {:>8} {:>8} {:>8} {:>8}\n",
        "team",
        "class",
        "asked",
        "succeeded",
        "bounced",
        "given up",
        "refused",
        "no word",
        "wait p50",
        "wait p99",
        "run p50",
        "run p99"
    );
    for ((team, class), fates) in rows {
        let count = |how| fates.iter().filter(|fate| fate.how == how).count();
        let quantiles = |of: fn(&Fate) -> Option<Duration>| {
            let mut all = Histogram::<u64>::new(3).expect("three digits");
            let done = fates.iter().filter(|fate| fate.how == How::Succeeded);
            done.filter_map(|fate| of(fate)).for_each(|time| all.saturating_record(time.as_millis() as u64));
            [0.5, 0.99].map(|part| all.value_at_quantile(part))
        };
        let ([wait, longest], [run, slowest]) = (quantiles(|fate| fate.wait), quantiles(|fate| fate.run));
        text += &format!(
            "{team:8} {class:8} {:>6} {:>9} {:>8} {:>8} {:>7} {:>7} {wait:>8} {longest:>8} {run:>8} {slowest:>8}\n",
            fates.len(),
            count(How::Succeeded),
            count(How::Rejected),
            count(How::Failed),
            count(How::Refused),
            count(How::Unanswered),
        );
    }
    text
}
