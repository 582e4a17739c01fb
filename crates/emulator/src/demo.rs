//! The demo: engines, a discovery service and a router on loopback, with the mixed workload of three teams. Half-way,
//! an engine is stopped.

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

/// Time from the loss of an engine until discovery removes it from the list.
const DISCOVERY_DELAY: Duration = Duration::from_millis(500);
/// Interval at which the demo checks whether its clients have finished.
const MONITOR_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of attempts to connect to the router at its start.
const MAX_CONNECT_ATTEMPTS: u32 = 200;
/// Pause between two attempts to connect.
const CONNECT_PAUSE: Duration = Duration::from_millis(25);
const LOOKUP_DEADLINE: Duration = Duration::from_millis(4000);
const REPORT_DEADLINE: Duration = Duration::from_millis(12_000);
const POST_DEADLINE: Duration = Duration::from_millis(6000);
/// Maximum number of retries of a rejected request.
const MAX_RETRIES: u32 = 2;
/// The urgency of the audit team's lookups.
const AUDIT_URGENCY: u8 = 2;

/// The parameters of the demo.
pub struct Demo {
    /// How long clients send requests.
    pub duration: Duration,
    /// The seed from which the clients' requests are drawn.
    pub seed: u64,
    pub engine_count: u32,
    /// The content of the operator's file; `None` for a router without teams.
    pub operator_text: Option<String>,
    /// Creates the clients for a seed.
    pub clients: fn(u64) -> Vec<Client>,
    /// Whether an engine is stopped half-way, if there is another one.
    pub loses_engine: bool,
}

/// Why the demo could not run.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    #[error("cannot start an engine: {0}")]
    StartEngine(#[source] std::io::Error),
    #[error("cannot start the discovery service: {0}")]
    StartDiscovery(#[source] std::io::Error),
    #[error("cannot find a free port for the router: {0}")]
    FindPort(#[source] std::io::Error),
    #[error("the router at {address} accepts no connection after {MAX_CONNECT_ATTEMPTS} attempts")]
    RouterNotListening { address: SocketAddr },
    #[error("a client failed: {0}")]
    Client(#[source] std::io::Error),
    #[error("the thread of a client panicked")]
    ClientPanicked,
}

/// Returns the clients of three teams, which send lookups, reports and posts.
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

/// The engines of a running demo and their discovery service.
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

    /// Stops the first engine, which closes all its connections. Discovery removes it from the list after
    /// [`DISCOVERY_DELAY`].
    fn lose_first_engine(&mut self) {
        drop(self.engines.remove(0));
        std::thread::sleep(DISCOVERY_DELAY);
        self.discovery.change(Endpoint { state: EngineState::Removed, ..self.endpoints[0] });
    }
}

impl Demo {
    /// Runs the demo and writes a line to `progress` each second; returns the outcomes of all requests that were sent.
    pub fn run(&self, progress: impl Write) -> Result<Vec<RequestOutcome>, DemoError> {
        let runs = RunLog::default();
        let mut fleet = Fleet::start(self.engine_count, &runs)?;
        let router = free_address().map_err(DemoError::FindPort)?;
        start_router(configuration(router, fleet.discovery.address), self.operator_text.clone());
        wait_until_listening(router)?;
        let started_at = Instant::now();
        let clients = self.start_clients(router, &runs);
        self.monitor(&clients, &mut fleet, started_at, progress);
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

    /// Waits until all clients have finished. Meanwhile, prints progress and stops an engine half-way.
    fn monitor(
        &self,
        clients: &[ClientThread],
        fleet: &mut Fleet,
        started_at: Instant,
        mut progress: impl Write,
    ) {
        let mut has_lost_engine = false;
        let mut printed_seconds = 0;
        while clients.iter().any(|client| !client.is_finished()) {
            std::thread::sleep(MONITOR_INTERVAL);
            let seconds = started_at.elapsed().as_secs();
            if seconds > printed_seconds {
                printed_seconds = seconds;
                let suffix = if has_lost_engine { ", an engine is lost" } else { "" };
                let _ = write!(progress, "\r{seconds:3} s{suffix}").and_then(|()| progress.flush());
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

/// Runs a router in a new thread, until the process ends.
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
            eprintln!("emberflow-emulator: the router has failed: {error}");
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
