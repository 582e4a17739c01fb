//! One run: engines, discovery, clients and routers, driven by one loop over sockets and timers.

mod processes;
mod strikes;

use crate::classes::{self, RequestClass, longest_deadline};
use crate::clients::Clients;
use crate::config::{self, CORES_PER_ENGINE};
use crate::discovery::{Discovery, DiscoveryFault, Endpoint, EngineState};
use crate::engines::{Engine, EngineFault, EngineTimer, Engines};
use crate::faults::{self, Fault};
use crate::invariants::Terms;
use crate::options::RunOptions;
use crate::records::{Records, Stall};
use crate::routers::{ProcessFaults, Router, RouterPhase};
use mio::{Events, Poll, Registry, Token};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Ranges of tokens.
const DISCOVERY_TOKENS: usize = 0;
const CLIENT_TOKENS: usize = 1000;
const ENGINE_TOKENS: usize = 100_000;
/// Hosts 1 to 60 of the block are routers.
const ROUTER_PORT: u16 = 8080;
const DISCOVERY_HOST: u8 = 250;
const DISCOVERY_PORT: u16 = 9092;
/// A router must be ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// How often routers that start are asked whether they serve.
const STATUS_INTERVAL: Duration = Duration::from_millis(50);
/// How often the loop looks how late it is, and what the routers use.
const TICK: Duration = Duration::from_millis(20);
/// The loop is late enough to count.
const SHORTEST_STALL: Duration = Duration::from_millis(5);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// SIGKILL comes so long after the longest deadline after SIGTERM.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// How long a router is down between two lives.
const DOWN_FOR: Duration = Duration::from_millis(300);
/// How long a drained engine stays up, and how long until a cold one takes its place.
const DRAINED_FOR: Duration = Duration::from_secs(5);
/// What the service lists while it has a fault counts as delivered so much later, whether or not it arrived.
const LIST_DELIVERY: Duration = Duration::from_secs(7);
/// So long after a fault of the service all routers are connected to it again.
const RECONNECTED_AFTER: Duration = Duration::from_secs(4);
/// How many times as much clients send in a burst.
const BURST_FACTOR: f64 = 4.0;
const CROWD: usize = 300;
/// Parts of clients that withdraw, and that close, before their answer.
const WITHDRAW_PART: f64 = 0.04;
const CLOSE_PART: f64 = 0.02;

/// What falls due.
enum Timer {
    Arrival { router: usize },
    Withdraw(String),
    Close(String),
    Engine(EngineTimer),
    Fault(Fault),
    EngineFaultEnds { engines: Vec<usize> },
    AcceptingResumes { engines: Vec<usize> },
    EnginesEnd { engines: Vec<usize> },
    EnginesReturn { engines: Vec<usize> },
    DiscoveryReturns,
    RouterKilled { router: usize },
    RouterStarts { router: usize },
    RouterContinues { router: usize, stopped_at: Duration },
    Heartbeat,
    AskStatus,
    Tick,
    Sample,
}

/// Where the programs under test are.
pub struct Programs {
    pub router: PathBuf,
    pub shim: PathBuf,
}

/// A run.
pub struct World {
    poll: Poll,
    started: Instant,
    timers: BTreeMap<(Duration, u64), Timer>,
    timers_set: u64,
    rng: StdRng,
    options: RunOptions,
    programs: Programs,
    engines: Engines,
    discovery: Discovery,
    clients: Clients,
    routers: Vec<Router>,
    /// Until when each router's clients send several times as much, and when its new connections end.
    burst_until: Vec<Duration>,
    records: Records,
    /// Since when the service has had no fault.
    discovery_up_since: Option<Duration>,
    pub faults: Vec<Fault>,
    /// When the last request is sent.
    end: Duration,
}

impl World {
    /// Starts engines, discovery and routers.
    pub fn start(options: RunOptions, seed: u64, programs: Programs, directory: &Path) -> io::Result<Self> {
        let mut rng = StdRng::seed_from_u64(seed);
        let poll = Poll::new()?;
        let registry = poll.registry();
        let engines = start_engines(options.engines.into(), registry)?;
        // Beside the engines, in the block of addresses that no other run uses.
        let own_address =
            |host: u8, port| SocketAddr::from((Ipv4Addr::new(127, engines.host_block, 0, host), port));
        let discovery = Discovery::start(
            own_address(DISCOVERY_HOST, DISCOVERY_PORT),
            all_ready(&engines),
            DISCOVERY_TOKENS,
            registry,
        )?;
        let mut routers = Vec::new();
        for index in 0..usize::from(options.routers) {
            let faults = process_faults(&options, &mut rng);
            let address = own_address(1 + index as u8, ROUTER_PORT);
            routers.push(Router::new(index, address, directory, faults));
        }
        let end = Duration::from_secs_f64(options.seconds);
        let faults = faults::draw(&mut rng, &options.fault_kinds(), options.seconds);
        let clients = Clients::new(CLIENT_TOKENS, ENGINE_TOKENS, StdRng::seed_from_u64(seed ^ 1));
        let records = Records { usage: vec![Default::default(); routers.len()], ..Records::default() };
        Ok(Self {
            poll,
            started: Instant::now(),
            timers: BTreeMap::new(),
            timers_set: 0,
            rng,
            burst_until: vec![Duration::ZERO; routers.len()],
            options,
            programs,
            engines,
            discovery,
            clients,
            routers,
            records,
            discovery_up_since: Some(Duration::ZERO),
            faults,
            end,
        })
    }

    /// What the settings say that the judgement needs.
    pub fn terms(&self) -> Terms {
        Terms {
            slow_start: config::SLOW_START,
            limits: config::PROCESS_LIMITS,
            end: self.now(),
            mean_work: classes::mean_work(),
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn set(&mut self, at: Duration, timer: Timer) {
        self.timers_set += 1;
        self.timers.insert((at, self.timers_set), timer);
    }

    /// Plays to the end and returns what was seen.
    pub fn play(&mut self, progress: &mut impl FnMut(Duration)) -> io::Result<Records> {
        for router in 0..self.routers.len() {
            self.start_router(router)?;
        }
        self.wait_until_ready()?;
        // Time counts from when all are ready.
        let offset = self.now();
        self.schedule_run(offset);
        let quiet = longest_deadline() + Duration::from_secs(1);
        let last = self.end + quiet;
        let mut printed = Duration::ZERO;
        while self.now() < last {
            self.turn()?;
            if self.now() >= printed + Duration::from_secs(1) {
                printed = self.now();
                progress(printed);
            }
        }
        for router in &mut self.routers {
            router.kill();
        }
        self.records.list_bytes = self.discovery.list_bytes;
        Ok(std::mem::take(&mut self.records))
    }

    fn schedule_run(&mut self, offset: Duration) {
        self.end += offset;
        for router in 0..self.routers.len() {
            self.set(offset, Timer::Arrival { router });
        }
        for fault in self.faults.clone() {
            self.set(offset + fault.at, Timer::Fault(fault));
        }
        self.set(offset, Timer::Tick);
        self.set(offset, Timer::Sample);
        self.records.stalls.clear();
    }

    fn wait_until_ready(&mut self) -> io::Result<()> {
        self.set(Duration::ZERO, Timer::Heartbeat);
        self.set(Duration::ZERO, Timer::AskStatus);
        while self.routers.iter().any(|router| router.phase == RouterPhase::Starting) {
            self.turn()?;
            if self.now() > READY_WITHIN * 3 {
                return Err(io::Error::other("the routers do not become ready"));
            }
        }
        Ok(())
    }

    /// Waits for sockets and the next timer, and handles them.
    fn turn(&mut self) -> io::Result<()> {
        let next = self.timers.first_key_value().map(|((at, _), _)| *at);
        let wait = next.map_or(TICK, |at| at.saturating_sub(self.now()).min(TICK));
        let mut events = Events::with_capacity(1024);
        match self.poll.poll(&mut events, Some(wait)) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
            _ => {}
        }
        for event in &events {
            self.socket_ready(event.token());
        }
        for (at, timer) in std::mem::take(&mut self.engines.timers) {
            self.set(at, Timer::Engine(timer));
        }
        for router in std::mem::take(&mut self.clients.serving) {
            if self.routers[router].phase == RouterPhase::Starting {
                self.routers[router].phase = RouterPhase::Serving;
            }
        }
        while let Some(entry) = self.timers.first_entry() {
            let now = self.started.elapsed();
            let (at, _) = *entry.key();
            if at > now {
                break;
            }
            let timer = entry.remove();
            self.timer_expired(timer, at, now)?;
        }
        Ok(())
    }

    fn socket_ready(&mut self, token: Token) {
        let now = self.now();
        if self.engines.owns(token) {
            self.engines.ready(token, now, self.poll.registry(), &mut self.records);
        } else if self.clients.owns(token) {
            self.clients.ready(token, now, &mut self.records);
        } else {
            self.discovery.ready(token, self.poll.registry());
        }
    }

    fn timer_expired(&mut self, timer: Timer, due: Duration, now: Duration) -> io::Result<()> {
        match timer {
            Timer::Arrival { router } => self.arrival(router, now),
            Timer::Withdraw(name) => self.clients.withdraw(&name, now, &mut self.records),
            Timer::Close(name) => self.clients.close_connection_of(&name, now, &mut self.records),
            Timer::Engine(timer) => self.engines.timer_expired(timer, now, &mut self.records),
            Timer::Fault(fault) => self.strike(fault, now)?,
            Timer::EngineFaultEnds { engines } => self.set_engine_faults(&engines, EngineFault::None, now),
            Timer::AcceptingResumes { engines } => {
                for engine in engines {
                    self.engines.resume_accepting(engine, self.poll.registry())?;
                }
            }
            Timer::EnginesEnd { engines } => self.end_engines(engines, now),
            Timer::EnginesReturn { engines } => self.return_engines(&engines, now)?,
            Timer::DiscoveryReturns => {
                self.discovery.set_fault(DiscoveryFault::None, self.poll.registry())?;
                self.discovery_up_since = Some(now);
            }
            Timer::RouterKilled { router } => self.router_killed(router, now),
            Timer::RouterStarts { router } => self.start_router(router)?,
            Timer::RouterContinues { router, stopped_at } => self.router_continues(router, stopped_at, now),
            Timer::Heartbeat => {
                self.discovery.send_heartbeats();
                self.clients.close_idle(now);
                self.set(due + Discovery::HEARTBEAT_INTERVAL, Timer::Heartbeat);
            }
            Timer::AskStatus => self.ask_status(now),
            Timer::Tick => {
                if now - due >= SHORTEST_STALL {
                    self.records.stalls.push(Stall { from: due, until: now });
                }
                self.set(now + TICK, Timer::Tick);
            }
            Timer::Sample => self.sample(now),
        }
        Ok(())
    }

    /// Sends a request to a router and draws the next.
    fn arrival(&mut self, router: usize, now: Duration) {
        let is_burst = now < self.burst_until[router];
        let rate = self.options.rate * if is_burst { BURST_FACTOR } else { 1.0 };
        let gap = Exp::new(rate).map_or(1.0, |exponential| exponential.sample(&mut self.rng));
        let next = now + Duration::from_secs_f64(gap);
        if next < self.end {
            self.set(next, Timer::Arrival { router });
        }
        let (phase, address) = (self.routers[router].phase, self.routers[router].address);
        if !matches!(phase, RouterPhase::Serving | RouterPhase::Ending | RouterPhase::Stopped) {
            return;
        }
        let class = self.draw_class();
        let registry = self.poll.registry();
        let sent = self.clients.send_request(router, address, class, now, registry, &mut self.records);
        let Some(name) = sent else { return };
        let leave_at = now + class.profile().deadline.mul_f64(self.rng.random_range(0.0..0.8));
        let chance: f64 = self.rng.random();
        if chance < WITHDRAW_PART {
            self.set(leave_at, Timer::Withdraw(name));
        } else if chance < WITHDRAW_PART + CLOSE_PART {
            self.set(leave_at, Timer::Close(name));
        }
    }

    fn draw_class(&mut self) -> RequestClass {
        let mut chance: f64 = self.rng.random();
        for class in RequestClass::ALL {
            chance -= class.profile().traffic_share;
            if chance <= 0.0 {
                return class;
            }
        }
        RequestClass::Lookup
    }
}

/// Starts the engines in the first block of addresses that no other run uses.
fn start_engines(count: usize, registry: &Registry) -> io::Result<Engines> {
    /// Addresses 127.N.x.y with N from the first of these up.
    const HOST_BLOCKS: std::ops::Range<u8> = 64..128;
    let mut error = io::Error::from(io::ErrorKind::AddrInUse);
    for host_block in HOST_BLOCKS {
        match Engines::start(count, CORES_PER_ENGINE, host_block, ENGINE_TOKENS, registry) {
            Ok(engines) => return Ok(engines),
            Err(cause) => error = cause,
        }
    }
    Err(error)
}

/// All engines as the list holds them at the start.
fn all_ready(engines: &Engines) -> Vec<Endpoint> {
    let endpoint = |(engine, known): (usize, &Engine)| Endpoint {
        engine,
        address: known.address,
        state: EngineState::Ready,
        up_since_ms: 0,
    };
    engines.engines.iter().enumerate().map(endpoint).collect()
}

/// Draws what is injected into a router's own process.
fn process_faults(options: &RunOptions, rng: &mut StdRng) -> ProcessFaults {
    let slowdown =
        options.slowdown.unwrap_or_else(|| *[1.0, 1.0, 4.0, 8.0].get(rng.random_range(0..4)).unwrap_or(&1.0));
    let steps = [0, 0, 3_000, -3_000, 3_600_000, -3_600_000];
    let clock_step_ms = steps[rng.random_range(0..steps.len())];
    let clock_step_at_ms = rng.random_range(1000..8000);
    let fail_every = [0, 0, 37, 101][rng.random_range(0..4)];
    if options.no_shim {
        return if options.slowdown.is_some() {
            ProcessFaults { slowdown, ..ProcessFaults::default() }
        } else {
            ProcessFaults::default()
        };
    }
    ProcessFaults { slowdown, clock_step_ms, clock_step_at_ms, fail_every }
}
