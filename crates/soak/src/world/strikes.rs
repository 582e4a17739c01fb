//! What each kind of fault does to engines, discovery and clients, and how it ends.

use super::{CROWD, DOWN_FOR, DRAINED_FOR, LIST_DELIVERY, RECONNECTED_AFTER, Timer, World};
use crate::config::ZONES;
use crate::discovery::{DiscoveryFault, Endpoint, EngineState};
use crate::engines::EngineFault;
use crate::faults::{Fault, FaultKind};
use crate::records::{Drain, EngineStart};
use rand::Rng;
use std::io;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

impl World {
    /// Engines that are listed as ready, a part of them drawn at random.
    pub(super) fn draw_engines(&mut self, part: f64) -> Vec<usize> {
        let ready = |endpoint: &&Endpoint| endpoint.state == EngineState::Ready;
        let ready: Vec<usize> = self.discovery.endpoints.iter().filter(ready).map(|row| row.engine).collect();
        let mut drawn: Vec<usize> = ready.into_iter().filter(|_| self.rng.random_bool(part)).collect();
        drawn.truncate(self.discovery.endpoints.len() / 3);
        drawn
    }

    pub(super) fn strike(&mut self, fault: Fault, now: Duration) -> io::Result<()> {
        let router = fault.target % self.routers.len();
        match fault.kind {
            FaultKind::Silent => self.engines_fail(fault, EngineFault::Silent, now),
            FaultKind::Mute => self.engines_fail(fault, EngineFault::Mute, now),
            FaultKind::Slow => self.engines_fail(fault, EngineFault::Slow(8.0), now),
            FaultKind::Failing => self.engines_fail(fault, EngineFault::Failing, now),
            FaultKind::Truncating => self.engines_fail(fault, EngineFault::Truncating, now),
            FaultKind::Pieces => self.engines_fail(fault, EngineFault::InPieces, now),
            FaultKind::Reset => self.reset_connections(fault, now),
            FaultKind::LateConnect => self.delay_connections(fault, now)?,
            FaultKind::IdleClose => self.close_idle_connections(fault),
            FaultKind::Drain => self.drain_engines(fault, now),
            FaultKind::Crash => {
                let engines = self.draw_engines(fault.part);
                self.crash_engines(engines, fault.span, now);
            }
            FaultKind::Zone => self.crash_engines(self.engines_of_zone(fault), fault.span, now),
            FaultKind::DiscoveryDown => self.discovery_fails(DiscoveryFault::Down, fault, now)?,
            FaultKind::DiscoverySilent => self.discovery_fails(DiscoveryFault::Silent, fault, now)?,
            FaultKind::List => self.discovery.repeat_complete_list(),
            FaultKind::Term => self.end_router(router, now),
            FaultKind::Kill => self.kill_router(router, now),
            FaultKind::Stop => self.stop_router(router, fault, now),
            FaultKind::Reload => self.routers[router].signal(libc::SIGHUP),
            FaultKind::Leave => self.clients.leave_in_a_burst(router, now, &mut self.records),
            FaultKind::Burst => self.burst_until[router] = now + fault.span,
            FaultKind::Crowd => {
                let address = self.routers[router].address;
                for _ in 0..CROWD {
                    self.clients.idle_connection(router, address, now, self.poll.registry());
                }
            }
        }
        Ok(())
    }

    fn reset_connections(&mut self, fault: Fault, now: Duration) {
        for engine in self.draw_engines(fault.part) {
            self.engines.reset_connections(engine, now, &mut self.records);
        }
    }

    fn delay_connections(&mut self, fault: Fault, now: Duration) -> io::Result<()> {
        let engines = self.draw_engines(fault.part);
        for engine in &engines {
            self.engines.stop_accepting(*engine)?;
        }
        self.set(now + fault.span, Timer::AcceptingResumes { engines });
        Ok(())
    }

    fn close_idle_connections(&mut self, fault: Fault) {
        for engine in self.draw_engines(fault.part) {
            self.engines.close_idle_connections(engine);
        }
    }

    fn engines_of_zone(&self, fault: Fault) -> Vec<usize> {
        let zone = fault.target % ZONES.len();
        let rows = self.discovery.endpoints.iter();
        let rows = rows.filter(|row| row.zone() == zone && row.state == EngineState::Ready);
        rows.map(|row| row.engine).collect()
    }

    pub(super) fn engines_fail(&mut self, fault: Fault, how: EngineFault, now: Duration) {
        let engines = self.draw_engines(fault.part);
        self.set_engine_faults(&engines, how, now);
        self.set(now + fault.span, Timer::EngineFaultEnds { engines });
    }

    pub(super) fn set_engine_faults(&mut self, engines: &[usize], how: EngineFault, now: Duration) {
        for engine in engines {
            self.engines.set_fault(*engine, how, now, &mut self.records);
        }
    }

    pub(super) fn list(&mut self, engines: &[usize], state: EngineState, up_since_ms: u64, now: Duration) {
        let row = |engine: &usize| Endpoint { state, up_since_ms, ..self.discovery.endpoints[*engine] };
        let changed = engines.iter().map(row).collect();
        self.discovery.change(changed);
        for engine in engines {
            match state {
                EngineState::Ready => {
                    let drains = self.records.drains.iter_mut();
                    let mut drains =
                        drains.filter(|drain| drain.engine == *engine && drain.ended_at.is_none());
                    if let Some(drain) = drains.next() {
                        drain.ended_at = Some(now);
                    }
                }
                EngineState::Draining => {
                    let delivered_at = self.delivery_of(now);
                    self.records.drains.push(Drain {
                        engine: *engine,
                        listed_at: now,
                        delivered_at,
                        ended_at: None,
                    });
                }
                EngineState::Removed => {}
            }
        }
    }

    /// When what is listed now counts as delivered: at once while routers are connected, else so much later as the
    /// protocol says.
    pub(super) fn delivery_of(&self, now: Duration) -> Duration {
        let is_connected = self.discovery_up_since.is_some_and(|since| now >= since + RECONNECTED_AFTER);
        if is_connected { now } else { now + LIST_DELIVERY }
    }

    pub(super) fn drain_engines(&mut self, fault: Fault, now: Duration) {
        let engines = self.draw_engines(fault.part);
        let launched: Vec<u64> =
            engines.iter().map(|engine| self.discovery.endpoints[*engine].up_since_ms).collect();
        for (engine, up_since_ms) in engines.iter().zip(launched) {
            self.list(&[*engine], EngineState::Draining, up_since_ms, now);
        }
        self.set(now + DRAINED_FOR, Timer::EnginesEnd { engines });
    }

    pub(super) fn end_engines(&mut self, engines: Vec<usize>, now: Duration) {
        for engine in &engines {
            self.engines.stop(*engine, now, &mut self.records);
        }
        self.set(now + DOWN_FOR, Timer::EnginesReturn { engines });
    }

    pub(super) fn crash_engines(&mut self, engines: Vec<usize>, span: Duration, now: Duration) {
        for engine in &engines {
            self.engines.stop(*engine, now, &mut self.records);
        }
        self.set(now + span, Timer::EnginesReturn { engines });
    }

    /// Engines start again, cold, and are listed so.
    pub(super) fn return_engines(&mut self, engines: &[usize], now: Duration) -> io::Result<()> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        for engine in engines {
            self.engines.restart(*engine, self.poll.registry())?;
            self.records.engine_starts.push(EngineStart { engine: *engine, started_at: now, listed_at: now });
        }
        self.list(engines, EngineState::Ready, unix.as_millis() as u64, now);
        Ok(())
    }

    pub(super) fn discovery_fails(
        &mut self,
        how: DiscoveryFault,
        fault: Fault,
        now: Duration,
    ) -> io::Result<()> {
        self.discovery.set_fault(how, self.poll.registry())?;
        self.discovery_up_since = None;
        self.set(now + fault.span, Timer::DiscoveryReturns);
        Ok(())
    }
}
