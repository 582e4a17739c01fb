//! The demo: engines, a discovery service and a router on loopback, the mixed work of three teams, and an engine that
//! is lost half-way.

use crate::client::Client;
use crate::discovery::{Discovery, Endpoint, EngineState};
use crate::engine::{Engine, RunLog};
use crate::outcome::RequestOutcome;
use crate::workload::RequestProfile;
use emberflow_router::bootstrap::Bootstrap;
use emberflow_router::event_loop::RouterLoop;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Of each engine.
const CORES: f64 = 4.0;
const MEMORY_MB: f64 = 4096.0;
/// How long discovery takes to announce that an engine is gone.
const LOSS_ANNOUNCED_AFTER: Duration = Duration::from_millis(500);
/// Between two lines of progress at the least.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);
/// How often, and with which pause, the demo tries to connect to the router that it started.
const CONNECT_ATTEMPTS: u32 = 200;
const CONNECT_PAUSE: Duration = Duration::from_millis(25);

/// What a run of the demo consists of.
pub struct Demo {
    pub duration: Duration,
    pub seed: u64,
    pub engine_count: u32,
    /// The text of the operator's file; none for a router without teams.
    pub operator_text: Option<String>,
    /// Makes the clients from the seed.
    pub clients: fn(u64) -> Vec<Client>,
    /// Whether an engine is lost half-way.
    pub loses_engine: bool,
}

/// Why a demo could not run.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    #[error("starting an engine: {0}")]
    StartEngine(#[source] std::io::Error),
    #[error("starting the discovery service: {0}")]
    StartDiscovery(#[source] std::io::Error),
    #[error("finding a free port for the router: {0}")]
    FindPort(#[source] std::io::Error),
    #[error("the router does not listen on {address}")]
    RouterNotListening { address: SocketAddr },
    #[error("running a client: {0}")]
    Client(#[source] std::io::Error),
    #[error("a client's thread panicked")]
    ClientPanicked,
}

fn configuration(listen: SocketAddr, discovery: SocketAddr) -> Value {
    json!({"name": "demo", "listen": listen.to_string(), "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "bulletin": discovery.to_string(),
        "known": {"no": 0, "items": []},
        "settings": {"instances": 1, "myZone": 0, "zones": ["hall-a"], "kinds": ["std-4"], "discovery": "push",
            "tickMs": 5,
            "categories": [request_class("lookup", 600, 4000, "repeatable"),
                request_class("report", 4000, 12_000, "repeatable"), request_class("post", 1500, 6000, "once")],
            "caps": {"cancel": true, "connectTimeoutMs": 250, "idleCloseMs": 15000, "maxRetryAfterMs": 2000,
                "mostTries": 3, "retryAfter": true, "streamsPerConn": 32},
            "domain": {"kindCores": [CORES], "largestShare": 0.4, "lanesCount": false, "sizeMb": [MEMORY_MB],
                "tellsEveryMs": 500},
            "report": {"how": "none"},
            "rules": {"fallMs": 1000, "overloadFactor": 2.5, "startCapacity": 0.33, "warmUpMs": 3000}}})
}

fn request_class(name: &str, latency_objective_ms: u64, deadline_ms: u64, repeat: &str) -> Value {
    json!({"name": name, "onTimeMs": latency_objective_ms, "deadlineMs": deadline_ms, "gain": 1, "lateShare": 0.1,
        "repeat": repeat})
}

/// Three teams that send lookups, reports and posts.
pub fn mixed_clients(seed: u64) -> Vec<Client> {
    let lookup = |rate, urgency| RequestProfile {
        class: "lookup",
        rate,
        work_ms: 20.0,
        memory_mb: 40.0,
        urgency,
        deadline_ms: 4000,
    };
    let report = |rate| RequestProfile {
        class: "report",
        rate,
        work_ms: 600.0,
        memory_mb: 700.0,
        urgency: 0,
        deadline_ms: 12_000,
    };
    let post = RequestProfile {
        class: "post",
        rate: 10.0,
        work_ms: 80.0,
        memory_mb: 200.0,
        urgency: 0,
        deadline_ms: 6000,
    };
    let client = |team, profiles, index| Client {
        team,
        wait_field: None,
        profiles,
        seed: seed.wrapping_add(index),
        most_retries: 2,
    };
    vec![
        client("audit", vec![lookup(25.0, 2), report(1.0)], 1),
        client("posting", vec![report(10.0), post], 2),
        client("payroll", vec![lookup(10.0, 0), report(2.0)], 3),
    ]
}

type ClientThread = JoinHandle<std::io::Result<Vec<RequestOutcome>>>;

/// The engines of a running demo and the service that lists them.
struct Fleet {
    engines: Vec<Engine>,
    endpoints: Vec<Endpoint>,
    discovery: Discovery,
}

impl Fleet {
    fn start(engine_count: u32, runs: &RunLog) -> Result<Self, DemoError> {
        let engines = (0..engine_count).map(|_| Engine::start(CORES, MEMORY_MB, runs.clone()));
        let engines: Vec<Engine> = engines.collect::<Result<_, _>>().map_err(DemoError::StartEngine)?;
        let endpoint = |(id, engine): (u32, &Engine)| Endpoint {
            id,
            address: engine.address,
            state: EngineState::Ready,
            cell: 0,
            up_since_ms: 0,
        };
        let endpoints: Vec<Endpoint> = (1..).zip(&engines).map(endpoint).collect();
        let discovery = Discovery::start(endpoints.clone()).map_err(DemoError::StartDiscovery)?;
        Ok(Self { engines, endpoints, discovery })
    }

    /// Stops the first engine, which closes all its connections; discovery announces it a little later.
    fn lose_first_engine(&mut self) {
        drop(self.engines.remove(0));
        std::thread::sleep(LOSS_ANNOUNCED_AFTER);
        self.discovery.change(Endpoint { state: EngineState::Removed, ..self.endpoints[0] });
    }
}

impl Demo {
    /// Runs the demo and prints a line of progress a second; returns the outcomes of all requests that were sent.
    pub fn run(&self, progress: impl Write) -> Result<Vec<RequestOutcome>, DemoError> {
        let runs = RunLog::default();
        let mut fleet = Fleet::start(self.engine_count, &runs)?;
        let router = free_address().map_err(DemoError::FindPort)?;
        start_router(configuration(router, fleet.discovery.address), self.operator_text.clone());
        wait_until_listening(router)?;
        let started_at = Instant::now();
        let clients = self.start_clients(router, &runs);
        self.watch(&clients, &mut fleet, started_at, progress);
        let mut outcomes = Vec::new();
        for client in clients {
            let result = client.join().map_err(|_| DemoError::ClientPanicked)?;
            outcomes.extend(result.map_err(DemoError::Client)?);
        }
        Ok(outcomes)
    }

    fn start_clients(&self, router: SocketAddr, runs: &RunLog) -> Vec<ClientThread> {
        let duration = self.duration;
        let start = |client: Client| {
            let runs = runs.clone();
            std::thread::spawn(move || client.run(router, duration, &runs))
        };
        (self.clients)(self.seed).into_iter().map(start).collect()
    }

    /// Prints progress and loses an engine half-way, until all clients are done.
    fn watch(
        &self,
        clients: &[ClientThread],
        fleet: &mut Fleet,
        started_at: Instant,
        mut progress: impl Write,
    ) {
        let mut has_lost_engine = false;
        let mut printed_seconds = 0;
        while clients.iter().any(|client| !client.is_finished()) {
            std::thread::sleep(PROGRESS_INTERVAL);
            let seconds = started_at.elapsed().as_secs();
            if seconds > printed_seconds {
                printed_seconds = seconds;
                let event = if has_lost_engine { ", an engine is lost" } else { "" };
                let _ = write!(progress, "\r{seconds:3} s{event}").and_then(|()| progress.flush());
            }
            let is_half_way = started_at.elapsed() >= self.duration / 2;
            if self.loses_engine && !has_lost_engine && is_half_way && fleet.engines.len() > 1 {
                has_lost_engine = true;
                fleet.lose_first_engine();
            }
        }
        let _ = writeln!(progress);
    }
}

/// Runs a router in a thread of its own, which ends with the process.
fn start_router(configuration: Value, operator_text: Option<String>) {
    std::thread::spawn(move || {
        let read = move || {
            let mut bootstrap = Bootstrap::read(&configuration, None)?;
            if let Some(text) = &operator_text {
                bootstrap.read_operator_file(text)?;
            }
            Ok(bootstrap)
        };
        if let Err(error) = RouterLoop::run(read) {
            eprintln!("the router: {error}");
        }
    });
}

fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

fn wait_until_listening(address: SocketAddr) -> Result<(), DemoError> {
    for _ in 0..CONNECT_ATTEMPTS {
        if TcpStream::connect(address).is_ok() {
            return Ok(());
        }
        std::thread::sleep(CONNECT_PAUSE);
    }
    Err(DemoError::RouterNotListening { address })
}
