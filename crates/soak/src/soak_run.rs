//! One run of the soak: engines, discovery, clients and routers, driven by one event loop over sockets and timers.

mod fault_injection;
mod processes;
mod timers;
mod traffic;

use crate::classes::{self, longest_deadline};
use crate::clients::Clients;
use crate::config;
use crate::discovery::{Discovery, DiscoveryFault, engine_endpoint};
use crate::engines::{Engine, EngineFault, Engines};
use crate::faults::{self, Fault};
use crate::invariants::ServiceLimits;
use crate::options::RunOptions;
use crate::process_faults;
use crate::records::{Records, Stall, Usage};
use crate::routers::{Router, RouterPhase};
use emberflow_peer_protocol::discovery::{Endpoint, HEARTBEAT_INTERVAL};
use mio::{Events, Poll, Registry, Token};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use timers::{DueTimer, Timer, TimerQueue};

/// The first token of discovery's sockets.
const FIRST_DISCOVERY_TOKEN: usize = 0;
/// The first token of clients' sockets.
const FIRST_CLIENT_TOKEN: usize = 1000;
/// The first token of engines' sockets, which have all tokens from here up.
const FIRST_ENGINE_TOKEN: usize = 100_000;
/// Values of N in the addresses 127.N.x.y, of which a run uses the first that is free.
const HOST_BLOCKS: Range<u8> = 64..128;
/// First byte of all loopback addresses.
const LOOPBACK_NETWORK: u8 = 127;
/// The last byte of the first router's address; the other routers have the bytes after it.
const FIRST_ROUTER_HOST: u8 = 1;
const ROUTER_PORT: u16 = 8080;
const DISCOVERY_HOST: u8 = 250;
const DISCOVERY_PORT: u16 = 9092;
/// How long a run waits at its start until all routers are ready.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the event loop measures its lateness; also its longest wait for events.
const TICK: Duration = Duration::from_millis(20);
/// Lateness of the event loop from which it is recorded as a stall.
const MIN_STALL: Duration = Duration::from_millis(5);
/// Maximum number of events that one poll returns.
const MAX_EVENTS: usize = 1024;
/// Time from the last deadline to the end of the run, in which late answers arrive.
const SETTLE_TIME: Duration = Duration::from_secs(1);
const PROGRESS_LINE_INTERVAL: Duration = Duration::from_secs(1);

/// The paths of the files under test.
pub struct Programs {
    pub router: PathBuf,
    /// The library that is preloaded into the routers.
    pub shim: PathBuf,
}

/// A run of the soak: its event loop, the emulated peers, and the routers under test.
pub struct SoakRun {
    poll: Poll,
    started_at: Instant,
    timers: TimerQueue,
    rng: StdRng,
    options: RunOptions,
    programs: Programs,
    engines: Engines,
    discovery: Discovery,
    clients: Clients,
    routers: Vec<Router>,
    /// The end of the last burst of requests, by index of the router.
    burst_until: Vec<Duration>,
    records: Records,
    /// When the last fault of discovery ended; `None` while discovery has a fault.
    discovery_up_since: Option<Duration>,
    /// The faults that the run injects, in the order in which they start.
    pub faults: Vec<Fault>,
    /// When clients stop sending requests.
    traffic_end: Duration,
}

impl SoakRun {
    /// Starts engines and discovery, and draws the faults of the run. The routers are started by [`run`](Self::run).
    pub fn start(options: RunOptions, seed: u64, programs: Programs, directory: &Path) -> io::Result<Self> {
        let mut rng = StdRng::seed_from_u64(seed);
        let poll = Poll::new()?;
        let registry = poll.registry();
        let engines = start_engines(options.engines.into(), registry)?;
        let discovery = Discovery::start(
            host_address(&engines, DISCOVERY_HOST, DISCOVERY_PORT),
            all_endpoints(&engines),
            FIRST_DISCOVERY_TOKEN,
            registry,
        )?;
        let mut routers = Vec::new();
        for index in 0..options.routers {
            let faults = process_faults::draw(&mut rng, options.slowdown, !options.no_shim);
            let address = host_address(&engines, FIRST_ROUTER_HOST + index, ROUTER_PORT);
            routers.push(Router::new(index.into(), address, directory, faults));
        }
        let faults = faults::plan(seed, &mut rng, &options.fault_kinds(), options.seconds);
        // Clients have a separate random generator, so that draws elsewhere in the run do not change theirs.
        let clients = Clients::new(FIRST_CLIENT_TOKEN, FIRST_ENGINE_TOKEN, StdRng::seed_from_u64(seed ^ 1));
        Ok(Self {
            poll,
            started_at: Instant::now(),
            timers: TimerQueue::default(),
            rng,
            traffic_end: Duration::from_secs_f64(options.seconds),
            options,
            programs,
            engines,
            discovery,
            clients,
            burst_until: vec![Duration::ZERO; routers.len()],
            records: Records { usage: vec![Usage::default(); routers.len()], ..Records::default() },
            routers,
            discovery_up_since: Some(Duration::ZERO),
            faults,
        })
    }

    /// Returns the limits against which the run is checked; the run ends now.
    pub fn limits(&self) -> ServiceLimits {
        ServiceLimits {
            slow_start: config::SLOW_START,
            process: config::PROCESS_LIMITS,
            run_end: self.now(),
            mean_work: classes::mean_work(),
        }
    }

    /// Returns the time since the start of the run.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Runs to the end and returns the records. Calls `report_progress` about once a second with the time since the
    /// start of the run.
    pub fn run(&mut self, report_progress: &mut impl FnMut(Duration)) -> io::Result<Records> {
        for router in 0..self.routers.len() {
            self.start_router(router)?;
        }
        self.wait_until_ready()?;
        self.schedule_traffic_and_faults();
        let run_end = self.traffic_end + longest_deadline() + SETTLE_TIME;
        let mut printed_at = Duration::ZERO;
        while self.now() < run_end {
            self.run_iteration()?;
            if self.now() >= printed_at + PROGRESS_LINE_INTERVAL {
                printed_at = self.now();
                report_progress(printed_at);
            }
        }
        for router in &mut self.routers {
            router.kill();
        }
        self.records.list_bytes = self.discovery.list_bytes;
        Ok(std::mem::take(&mut self.records))
    }

    /// Schedules the traffic and the faults, whose times count from now. Discards the stalls of the startup.
    fn schedule_traffic_and_faults(&mut self) {
        let now = self.now();
        self.traffic_end += now;
        for router in 0..self.routers.len() {
            self.timers.set(now, Timer::SendRequest { router });
        }
        for fault in &self.faults {
            self.timers.set(now + fault.at, Timer::InjectFault(*fault));
        }
        self.timers.set(now, Timer::Tick);
        self.timers.set(now, Timer::SampleUsage);
        self.records.stalls.clear();
    }

    /// Runs the event loop until no router is starting.
    fn wait_until_ready(&mut self) -> io::Result<()> {
        self.timers.set(Duration::ZERO, Timer::Heartbeat);
        self.timers.set(Duration::ZERO, Timer::RequestStatus);
        while self.routers.iter().any(|router| router.phase == RouterPhase::Starting) {
            self.run_iteration()?;
            if self.now() > STARTUP_TIMEOUT {
                let message = format!("not all routers are ready after {STARTUP_TIMEOUT:?}");
                return Err(io::Error::other(message));
            }
        }
        Ok(())
    }

    /// Waits for socket events or the next timer, and handles them.
    fn run_iteration(&mut self) -> io::Result<()> {
        let wait = self.timers.next_due().map_or(TICK, |at| at.saturating_sub(self.now()).min(TICK));
        let mut events = Events::with_capacity(MAX_EVENTS);
        match self.poll.poll(&mut events, Some(wait)) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
            _ => {}
        }
        for event in &events {
            self.serve_socket(event.token());
        }
        for (at, timer) in std::mem::take(&mut self.engines.new_timers) {
            self.timers.set(at, Timer::Engine(timer));
        }
        for router in std::mem::take(&mut self.clients.serving_routers) {
            if self.routers[router].phase == RouterPhase::Starting {
                self.routers[router].phase = RouterPhase::Serving;
            }
        }
        self.expire_timers()
    }

    fn expire_timers(&mut self) -> io::Result<()> {
        loop {
            let now = self.now();
            let Some(due) = self.timers.pop_due(now) else { return Ok(()) };
            self.handle_timer(due, now)?;
        }
    }

    fn serve_socket(&mut self, token: Token) {
        let now = self.now();
        if self.engines.owns(token) {
            self.engines.serve_socket(token, now, self.poll.registry(), &mut self.records);
        } else if self.clients.owns(token) {
            self.clients.serve_socket(token, now, &mut self.records);
        } else {
            self.discovery.serve_socket(token, self.poll.registry());
        }
    }

    fn handle_timer(&mut self, due: DueTimer, now: Duration) -> io::Result<()> {
        let DueTimer { due_at, timer } = due;
        match timer {
            Timer::SendRequest { router } => self.send_request(router, now),
            Timer::CancelRequest { request_id } => self.clients.cancel(&request_id, now, &mut self.records),
            Timer::CloseConnection { request_id } => {
                self.clients.close_connection_of(&request_id, now, &mut self.records);
            }
            Timer::Engine(timer) => self.engines.handle_timer(timer, now, &mut self.records),
            Timer::InjectFault(fault) => self.inject(fault, now)?,
            Timer::EndEngineFault { engines } => self.set_engine_faults(&engines, EngineFault::None, now),
            Timer::ResumeAccepting { engines } => self.resume_accepting(&engines)?,
            Timer::StopDrainedEngines { engines } => {
                self.stop_engines(engines, processes::RESTART_DELAY, now);
            }
            Timer::RestartEngines { engines } => self.restart_engines(&engines, now)?,
            Timer::EndDiscoveryFault => self.end_discovery_fault(now)?,
            Timer::KillTerminatedRouter { router } => self.kill_terminated_router(router, now),
            Timer::StartRouter { router } => self.start_router(router)?,
            Timer::ContinueRouter { router, stopped_at } => self.continue_router(router, stopped_at, now),
            Timer::Heartbeat => {
                self.discovery.send_heartbeats();
                self.clients.close_idle_connections(now);
                self.timers.set(due_at + HEARTBEAT_INTERVAL, Timer::Heartbeat);
            }
            Timer::RequestStatus => self.request_status(now),
            Timer::Tick => self.record_lateness(due_at, now),
            Timer::SampleUsage => self.sample_usage(now),
        }
        Ok(())
    }

    fn end_discovery_fault(&mut self, now: Duration) -> io::Result<()> {
        self.discovery.set_fault(DiscoveryFault::None, self.poll.registry())?;
        self.discovery_up_since = Some(now);
        Ok(())
    }

    /// Records a stall if the event loop is late.
    fn record_lateness(&mut self, due_at: Duration, now: Duration) {
        if now - due_at >= MIN_STALL {
            self.records.stalls.push(Stall { from: due_at, until: now });
        }
        self.timers.set(now + TICK, Timer::Tick);
    }
}

/// Starts the engines in the first block of addresses that is free: several runs may use the same machine.
fn start_engines(count: usize, registry: &Registry) -> io::Result<Engines> {
    let mut error = io::Error::from(io::ErrorKind::AddrInUse);
    for host_block in HOST_BLOCKS {
        match Engines::start(count, host_block, FIRST_ENGINE_TOKEN, registry) {
            Ok(engines) => return Ok(engines),
            Err(cause) => error = cause,
        }
    }
    Err(error)
}

/// Returns an address in the run's block that no engine uses.
fn host_address(engines: &Engines, host: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(LOOPBACK_NETWORK, engines.host_block, 0, host), port))
}

/// Returns the endpoint list at the start of the run, in which all engines are ready.
fn all_endpoints(engines: &Engines) -> Vec<Endpoint> {
    let endpoint = |(index, engine): (usize, &Engine)| engine_endpoint(index, engine.address);
    engines.engines.iter().enumerate().map(endpoint).collect()
}
