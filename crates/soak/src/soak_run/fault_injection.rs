//! Injects faults into engines, discovery, clients and routers, and ends them.

use super::SoakRun;
use super::timers::Timer;
use crate::clients::Destination;
use crate::config::ZONES;
use crate::discovery::DiscoveryFault;
use crate::engines::EngineFault;
use crate::faults::{Fault, FaultKind};
use crate::records::{Drain, EngineStart};
use emberflow_peer_protocol::discovery::{Endpoint, EngineState};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A fault of drawn engines affects at most one in this many engines.
const ENGINES_PER_AFFECTED_ENGINE: usize = 3;
const SLOW_ENGINE: EngineFault = EngineFault::Slow { slowdown: 8.0 };
/// A router is stopped by SIGSTOP for the fault's duration divided by this number.
const STOP_DURATION_DIVISOR: u32 = 4;
const IDLE_CONNECTIONS_PER_FLOOD: usize = 300;
/// Time from the drain of an engine to the end of its process.
const DRAIN_DURATION: Duration = Duration::from_secs(5);
/// Time after which a discovery event is assumed to have reached all routers although discovery has a fault.
const MAX_DELIVERY_DELAY: Duration = Duration::from_secs(7);
/// Time from the end of a discovery fault until all routers are assumed to be connected again.
const RECONNECT_TIME: Duration = Duration::from_secs(4);

impl SoakRun {
    /// Injects a fault, and sets the timer that ends it if it lasts.
    pub(super) fn inject(&mut self, fault: Fault, now: Duration) -> io::Result<()> {
        let router = fault.target % self.routers.len();
        match fault.kind {
            FaultKind::SilentEngines => self.inject_engine_fault(fault, EngineFault::Silent, now),
            FaultKind::MuteEngines => self.inject_engine_fault(fault, EngineFault::Mute, now),
            FaultKind::SlowEngines => self.inject_engine_fault(fault, SLOW_ENGINE, now),
            FaultKind::FailingEngines => self.inject_engine_fault(fault, EngineFault::Failing, now),
            FaultKind::TruncatedResults => self.inject_engine_fault(fault, EngineFault::Truncating, now),
            FaultKind::SpoiltResults => self.inject_separate_fault(fault, EngineFault::Spoiling, now),
            FaultKind::SmallWrites => self.inject_engine_fault(fault, EngineFault::SmallWrites, now),
            FaultKind::ConnectionResets => self.reset_connections(fault, now),
            FaultKind::DelayedConnects => self.delay_connects(fault, now)?,
            FaultKind::IdleCloses => self.close_idle_connections(fault),
            FaultKind::LateFailures => self.inject_separate_fault(fault, EngineFault::FailingLate, now),
            FaultKind::ForgottenConnections => self.forget_connections(fault),
            FaultKind::EngineDrains => self.drain_engines(fault, now),
            FaultKind::EngineCrashes => {
                let engines = self.draw_engines(fault.engine_fraction);
                self.stop_engines(engines, fault.duration, now);
            }
            FaultKind::ZoneOutage => self.stop_engines(self.engines_of_zone(fault), fault.duration, now),
            FaultKind::DiscoveryDown => self.inject_discovery_fault(fault, DiscoveryFault::Down, now)?,
            FaultKind::DiscoverySilent => self.inject_discovery_fault(fault, DiscoveryFault::Silent, now)?,
            FaultKind::CompleteListResent => self.discovery.resend_complete_list(),
            FaultKind::Sigterm => self.terminate_router(router, now),
            FaultKind::Sigkill => self.kill_router(router, now),
            FaultKind::Sigstop => self.stop_router(router, fault.duration / STOP_DURATION_DIVISOR, now),
            FaultKind::Reload => self.routers[router].signal(libc::SIGHUP),
            FaultKind::ClientDepartures => {
                self.clients.close_half_of_connections(router, now, &mut self.records);
            }
            FaultKind::RequestBurst => self.burst_until[router] = now + fault.duration,
            FaultKind::IdleConnectionFlood => self.open_idle_connections(router, now),
        }
        Ok(())
    }

    /// Draws each engine that is listed as ready with the probability `fraction`, up to a fraction of all engines.
    fn draw_engines(&mut self, fraction: f64) -> Vec<usize> {
        draw_ready_engines(&self.discovery.endpoints, fraction, &mut self.rng)
    }

    /// Draws the engines of a fault whose kind has a separate generator. They have one too, so that the other faults of a
    /// seed affect the same engines as before the kind was added.
    fn draw_engines_separately(&self, fault: Fault) -> Vec<usize> {
        let mut rng = StdRng::seed_from_u64(fault.target as u64);
        draw_ready_engines(&self.discovery.endpoints, fault.engine_fraction, &mut rng)
    }

    fn inject_separate_fault(&mut self, fault: Fault, engine_fault: EngineFault, now: Duration) {
        let engines = self.draw_engines_separately(fault);
        self.start_engine_fault(engines, fault, engine_fault, now);
    }

    fn forget_connections(&mut self, fault: Fault) {
        for engine in self.draw_engines_separately(fault) {
            self.engines.forget_idle_connections(engine);
        }
    }

    /// Returns the ready engines of the zone that a fault affects.
    fn engines_of_zone(&self, fault: Fault) -> Vec<usize> {
        let zone = fault.target % ZONES.len();
        let endpoints = self.discovery.endpoints.iter();
        let affected = endpoints
            .filter(|endpoint| usize::from(endpoint.zone) == zone && endpoint.state == EngineState::Ready);
        affected.map(|endpoint| endpoint.id as usize).collect()
    }

    fn inject_engine_fault(&mut self, fault: Fault, engine_fault: EngineFault, now: Duration) {
        let engines = self.draw_engines(fault.engine_fraction);
        self.start_engine_fault(engines, fault, engine_fault, now);
    }

    /// Sets the fault of engines, and the timer that ends it.
    fn start_engine_fault(
        &mut self,
        engines: Vec<usize>,
        fault: Fault,
        engine_fault: EngineFault,
        now: Duration,
    ) {
        self.set_engine_faults(&engines, engine_fault, now);
        self.timers.set(now + fault.duration, Timer::EndEngineFault { engines });
    }

    pub(super) fn set_engine_faults(&mut self, engines: &[usize], fault: EngineFault, now: Duration) {
        for engine in engines {
            self.engines.set_fault(*engine, fault, now, &mut self.records);
        }
    }

    fn reset_connections(&mut self, fault: Fault, now: Duration) {
        for engine in self.draw_engines(fault.engine_fraction) {
            self.engines.reset_connections(engine, now, &mut self.records);
        }
    }

    fn delay_connects(&mut self, fault: Fault, now: Duration) -> io::Result<()> {
        let engines = self.draw_engines(fault.engine_fraction);
        for engine in &engines {
            self.engines.stop_accepting(*engine)?;
        }
        self.timers.set(now + fault.duration, Timer::ResumeAccepting { engines });
        Ok(())
    }

    pub(super) fn resume_accepting(&mut self, engines: &[usize]) -> io::Result<()> {
        for engine in engines {
            self.engines.resume_accepting(*engine, self.poll.registry())?;
        }
        Ok(())
    }

    fn close_idle_connections(&mut self, fault: Fault) {
        for engine in self.draw_engines(fault.engine_fraction) {
            self.engines.close_idle_connections(engine);
        }
    }

    fn open_idle_connections(&mut self, router: usize, now: Duration) {
        let destination = Destination { router, address: self.routers[router].address };
        for _ in 0..IDLE_CONNECTIONS_PER_FLOOD {
            self.clients.open_idle_connection(destination, now, self.poll.registry());
        }
    }

    /// Lists engines as draining and schedules the end of their processes.
    fn drain_engines(&mut self, fault: Fault, now: Duration) {
        let engines = self.draw_engines(fault.engine_fraction);
        for engine in &engines {
            let endpoint = self.discovery.endpoints[*engine];
            self.discovery.change(vec![Endpoint { state: EngineState::Draining, ..endpoint }]);
            let delivered_at = self.delivery_time(now);
            self.records.drains.push(Drain { engine: *engine, listed_at: now, delivered_at, ended_at: None });
        }
        self.timers.set(now + DRAIN_DURATION, Timer::StopDrainedEngines { engines });
    }

    /// Returns when a discovery event of now is assumed to have reached all routers: at once while all routers are
    /// connected to discovery.
    fn delivery_time(&self, now: Duration) -> Duration {
        let is_connected = self.discovery_up_since.is_some_and(|since| now >= since + RECONNECT_TIME);
        if is_connected { now } else { now + MAX_DELIVERY_DELAY }
    }

    /// Ends the processes of engines, which are restarted after `downtime`.
    pub(super) fn stop_engines(&mut self, engines: Vec<usize>, downtime: Duration, now: Duration) {
        for engine in &engines {
            self.engines.stop(*engine, now, &mut self.records);
        }
        self.timers.set(now + downtime, Timer::RestartEngines { engines });
    }

    /// Restarts engines and lists them as ready and as started now, so that their slow start begins.
    pub(super) fn restart_engines(&mut self, engines: &[usize], now: Duration) -> io::Result<()> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let up_since_ms = since_epoch.as_millis() as u64;
        let mut changed = Vec::new();
        for engine in engines {
            self.engines.restart(*engine, self.poll.registry())?;
            self.records.engine_starts.push(EngineStart { engine: *engine, started_at: now, listed_at: now });
            let endpoint = self.discovery.endpoints[*engine];
            changed.push(Endpoint { state: EngineState::Ready, up_since_ms, ..endpoint });
        }
        self.discovery.change(changed);
        for engine in engines {
            self.record_end_of_drain(*engine, now);
        }
        Ok(())
    }

    fn record_end_of_drain(&mut self, engine: usize, now: Duration) {
        let mut drains = self.records.drains.iter_mut();
        if let Some(drain) = drains.find(|drain| drain.engine == engine && drain.ended_at.is_none()) {
            drain.ended_at = Some(now);
        }
    }

    fn inject_discovery_fault(
        &mut self,
        fault: Fault,
        discovery_fault: DiscoveryFault,
        now: Duration,
    ) -> io::Result<()> {
        self.discovery.set_fault(discovery_fault, self.poll.registry())?;
        self.discovery_up_since = None;
        self.timers.set(now + fault.duration, Timer::EndDiscoveryFault);
        Ok(())
    }
}

/// Draws each engine that is listed as ready with the probability `fraction`, up to a fraction of all engines.
fn draw_ready_engines(endpoints: &[Endpoint], fraction: f64, rng: &mut StdRng) -> Vec<usize> {
    let mut drawn = Vec::new();
    for endpoint in endpoints {
        if endpoint.state == EngineState::Ready && rng.random_bool(fraction) {
            drawn.push(endpoint.id as usize);
        }
    }
    drawn.truncate(endpoints.len() / ENGINES_PER_AFFECTED_ENGINE);
    drawn
}
