//! One run of the soak: engines, discovery, clients and routers, driven by one loop over sockets and timers.

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

/// The first tokens of the sockets of discovery, clients and engines.
const DISCOVERY_TOKENS: usize = 0;
const CLIENT_TOKENS: usize = 1000;
const ENGINE_TOKENS: usize = 100_000;
/// Second bytes of the addresses 127.N.x.y that a run may use.
const HOST_BLOCKS: Range<u8> = 64..128;
/// First byte of all loopback addresses.
const LOOPBACK_NETWORK: u8 = 127;
/// The last byte of the first router's address; those of the other routers follow.
const FIRST_ROUTER_HOST: u8 = 1;
const ROUTER_PORT: u16 = 8080;
const DISCOVERY_HOST: u8 = 250;
const DISCOVERY_PORT: u16 = 9092;
/// Limit of the time in which all routers become ready at the start of a run.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the loop measures its lateness; also the longest wait for events.
const TICK: Duration = Duration::from_millis(20);
/// Lateness of the loop that counts as a stall.
const MIN_STALL: Duration = Duration::from_millis(5);
/// Events that one poll returns at most.
const MAX_EVENTS: usize = 1024;
/// Time after the last deadline until the run ends.
const SETTLE_TIME: Duration = Duration::from_secs(1);
const PROGRESS_LINE_INTERVAL: Duration = Duration::from_secs(1);

/// The paths of the programs under test.
pub struct Programs {
    pub router: PathBuf,
    /// The library that is preloaded into the routers.
    pub shim: PathBuf,
}

/// A run of the soak.
pub struct SoakRun {
    poll: Poll,
    started: Instant,
    timers: TimerQueue,
    rng: StdRng,
    options: RunOptions,
    programs: Programs,
    engines: Engines,
    discovery: Discovery,
    clients: Clients,
    routers: Vec<Router>,
    /// The end of the last burst of requests, by router.
    burst_until: Vec<Duration>,
    records: Records,
    /// When the last fault of discovery ended; `None` during a fault.
    discovery_up_since: Option<Duration>,
    /// The faults that are injected.
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
            DISCOVERY_TOKENS,
            registry,
        )?;
        let mut routers = Vec::new();
        for index in 0..options.routers {
            let faults = process_faults::draw(&mut rng, options.slowdown, !options.no_shim);
            let address = host_address(&engines, FIRST_ROUTER_HOST + index, ROUTER_PORT);
            routers.push(Router::new(index.into(), address, directory, faults));
        }
        let faults = faults::draw(&mut rng, &options.fault_kinds(), options.seconds);
        // With a separate generator, the draws of clients do not depend on those of the run.
        let clients = Clients::new(CLIENT_TOKENS, ENGINE_TOKENS, StdRng::seed_from_u64(seed ^ 1));
        Ok(Self {
            poll,
            started: Instant::now(),
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

    /// Returns the limits by which the run is checked.
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
        self.started.elapsed()
    }

    /// Runs to the end and returns the records. `progress` is called about once a second with the time.
    pub fn run(&mut self, progress: &mut impl FnMut(Duration)) -> io::Result<Records> {
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
                progress(printed_at);
            }
        }
        for router in &mut self.routers {
            router.kill();
        }
        self.records.list_bytes = self.discovery.list_bytes;
        Ok(std::mem::take(&mut self.records))
    }

    /// Schedules the traffic and the faults, whose times count from now.
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

    fn wait_until_ready(&mut self) -> io::Result<()> {
        self.timers.set(Duration::ZERO, Timer::Heartbeat);
        self.timers.set(Duration::ZERO, Timer::RequestStatus);
        while self.routers.iter().any(|router| router.phase == RouterPhase::Starting) {
            self.run_iteration()?;
            if self.now() > STARTUP_TIMEOUT {
                let message = format!("the routers are not ready after {STARTUP_TIMEOUT:?}");
                return Err(io::Error::other(message));
            }
        }
        Ok(())
    }

    /// Waits for sockets and the next timer, and handles them.
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
            self.timer_expired(due, now)?;
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

    fn timer_expired(&mut self, due: DueTimer, now: Duration) -> io::Result<()> {
        let DueTimer { due_at, timer } = due;
        match timer {
            Timer::SendRequest { router } => self.send_request(router, now),
            Timer::CancelRequest { request_id } => self.clients.cancel(&request_id, now, &mut self.records),
            Timer::CloseConnection { request_id } => {
                self.clients.close_connection_of(&request_id, now, &mut self.records);
            }
            Timer::Engine(timer) => self.engines.timer_expired(timer, now, &mut self.records),
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

    /// Records a stall if the loop is late.
    fn record_lateness(&mut self, due_at: Duration, now: Duration) {
        if now - due_at >= MIN_STALL {
            self.records.stalls.push(Stall { from: due_at, until: now });
        }
        self.timers.set(now + TICK, Timer::Tick);
    }
}

/// Starts the engines in the first block of addresses that no other run uses.
fn start_engines(count: usize, registry: &Registry) -> io::Result<Engines> {
    let mut error = io::Error::from(io::ErrorKind::AddrInUse);
    for host_block in HOST_BLOCKS {
        match Engines::start(count, host_block, ENGINE_TOKENS, registry) {
            Ok(engines) => return Ok(engines),
            Err(cause) => error = cause,
        }
    }
    Err(error)
}

/// Returns an address beside the engines, in the run's block of addresses.
fn host_address(engines: &Engines, host: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(LOOPBACK_NETWORK, engines.host_block, 0, host), port))
}

/// Returns the endpoint list at the start of the run, in which all engines are ready.
fn all_endpoints(engines: &Engines) -> Vec<Endpoint> {
    let endpoint = |(index, engine): (usize, &Engine)| engine_endpoint(index, engine.address);
    engines.engines.iter().enumerate().map(endpoint).collect()
}
