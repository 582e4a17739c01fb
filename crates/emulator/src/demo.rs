//! The demo: engines, a discovery service and a router on loopback, the mixed workload of three teams, and an engine that
//! is lost half-way.

use crate::client::Client;
use crate::configuration::{CORES_PER_ENGINE, ENGINE_MEMORY_MB, configuration};
use crate::discovery::Discovery;
use crate::engine::Engine;
use crate::outcome::RequestOutcome;
use crate::run_log::RunLog;
use crate::workload::RequestProfile;
use emberflow_peer_protocol::discovery::{Endpoint, EngineState};
use emberflow_router::bootstrap::Bootstrap;
use emberflow_router::event_loop::RouterLoop;
use serde_json::Value;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time from the loss of an engine to the watch event of discovery.
const DISCOVERY_DELAY: Duration = Duration::from_millis(500);
/// Interval at which the demo checks its clients.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Attempts of the demo to connect to the router, and the pause between them.
const MAX_CONNECT_ATTEMPTS: u32 = 200;
const CONNECT_PAUSE: Duration = Duration::from_millis(25);
const LOOKUP_DEADLINE: Duration = Duration::from_millis(4000);
const REPORT_DEADLINE: Duration = Duration::from_millis(12_000);
const POST_DEADLINE: Duration = Duration::from_millis(6000);
/// Retries of a rejected request at most.
const MAX_RETRIES: u32 = 2;
/// The urgency of the audit team's lookups.
const AUDIT_URGENCY: u8 = 2;

/// The parameters of the demo.
pub struct Demo {
    /// How long clients send requests.
    pub duration: Duration,
    pub seed: u64,
    pub engine_count: u32,
    /// The text of the operator's file; `None` for a router without teams.
    pub operator_text: Option<String>,
    /// Returns the clients for a seed.
    pub clients: fn(u64) -> Vec<Client>,
    /// Whether an engine is lost half-way.
    pub loses_engine: bool,
}

/// Why the demo could not run.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    #[error("starting an engine: {0}")]
    StartEngine(#[source] std::io::Error),
    #[error("starting the discovery service: {0}")]
    StartDiscovery(#[source] std::io::Error),
    #[error("finding a free port for the router: {0}")]
    FindPort(#[source] std::io::Error),
    #[error("connecting to the router at {address}: it does not listen")]
    RouterNotListening { address: SocketAddr },
    #[error("running a client: {0}")]
    Client(#[source] std::io::Error),
    #[error("a client's thread panicked")]
    ClientPanicked,
}

/// Returns three teams that send lookups, reports and posts; rates are in requests a second.
pub fn mixed_clients(seed: u64) -> Vec<Client> {
    let lookup = |rate, urgency| RequestProfile {
        class: "lookup",
        rate,
        work_ms: 20.0,
        memory_mb: 40.0,
        urgency,
        deadline: LOOKUP_DEADLINE,
    };
    let report = |rate| RequestProfile {
        class: "report",
        rate,
        work_ms: 600.0,
        memory_mb: 700.0,
        urgency: 0,
        deadline: REPORT_DEADLINE,
    };
    let post = RequestProfile {
        class: "post",
        rate: 10.0,
        work_ms: 80.0,
        memory_mb: 200.0,
        urgency: 0,
        deadline: POST_DEADLINE,
    };
    let client = |team, profiles, index| Client {
        team,
        wait_field: None,
        profiles,
        seed: seed.wrapping_add(index),
        max_retries: MAX_RETRIES,
    };
    vec![
        client("audit", vec![lookup(25.0, AUDIT_URGENCY), report(1.0)], 1),
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
        let engines =
            (0..engine_count).map(|_| Engine::start(CORES_PER_ENGINE, ENGINE_MEMORY_MB, runs.clone()));
        let engines: Vec<Engine> = engines.collect::<Result<_, _>>().map_err(DemoError::StartEngine)?;
        let endpoint = |(id, engine): (u32, &Engine)| Endpoint::ready(id, engine.address);
        let endpoints: Vec<Endpoint> = (1..).zip(&engines).map(endpoint).collect();
        let discovery = Discovery::start(endpoints.clone()).map_err(DemoError::StartDiscovery)?;
        Ok(Self { engines, endpoints, discovery })
    }

    /// Stops the first engine, which closes all its connections; discovery removes it from the list a little later.
    fn lose_first_engine(&mut self) {
        drop(self.engines.remove(0));
        std::thread::sleep(DISCOVERY_DELAY);
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

    /// Prints progress and stops an engine half-way, until all clients have ended.
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
            std::thread::sleep(WATCH_INTERVAL);
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

/// Runs a router in a new thread, which ends with the process.
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
            eprintln!("emberflow-emulator: running the router: {error}");
        }
    });
}

fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

fn wait_until_listening(address: SocketAddr) -> Result<(), DemoError> {
    for _ in 0..MAX_CONNECT_ATTEMPTS {
        if TcpStream::connect(address).is_ok() {
            return Ok(());
        }
        std::thread::sleep(CONNECT_PAUSE);
    }
    Err(DemoError::RouterNotListening { address })
}
