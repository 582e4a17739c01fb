//! The routers' processes: their starts, their ends, and what they use.

use super::{
    DOWN_FOR, KILL_AFTER_DEADLINE, Programs, READY_WITHIN, SAMPLE_INTERVAL, STATUS_INTERVAL, Timer, World,
};
use crate::classes::longest_deadline;
use crate::config::{self, RouterAddresses};
use crate::faults::Fault;
use crate::records::{Outage, OutageKind};
use crate::routers::{Router, RouterPhase};
use rand::Rng;
use std::io;
use std::time::Duration;

impl World {
    pub(super) fn start_router(&mut self, router: usize) -> io::Result<()> {
        let now = self.now();
        let addresses =
            RouterAddresses { listen: self.routers[router].address, discovery: self.discovery.address };
        let fleet = self.options.fleet.unwrap_or(self.routers.len());
        let (name, seed) = (format!("n{router}"), self.rng.random());
        let config = config::router_config(&name, seed, &addresses, &self.discovery.known(), fleet);
        let Programs { router: program, shim } = &self.programs;
        self.routers[router].start(program, shim, &config.to_string(), now)
    }

    pub(super) fn end_router(&mut self, router: usize, now: Duration) {
        if self.routers[router].phase != RouterPhase::Serving {
            return;
        }
        self.routers[router].signal(libc::SIGTERM);
        self.routers[router].phase = RouterPhase::Ending;
        self.set(now + longest_deadline() + KILL_AFTER_DEADLINE, Timer::RouterKilled { router });
    }

    pub(super) fn router_killed(&mut self, router: usize, now: Duration) {
        if self.routers[router].phase != RouterPhase::Ending {
            return;
        }
        let from = now - longest_deadline() - KILL_AFTER_DEADLINE;
        self.routers[router].kill();
        self.records.outages.push(Outage { router, from, until: now, kind: OutageKind::Terminated });
        self.set(now + DOWN_FOR, Timer::RouterStarts { router });
    }

    pub(super) fn kill_router(&mut self, router: usize, now: Duration) {
        if self.routers[router].phase != RouterPhase::Serving {
            return;
        }
        self.routers[router].kill();
        self.records.outages.push(Outage { router, from: now, until: now, kind: OutageKind::Killed });
        self.set(now + DOWN_FOR, Timer::RouterStarts { router });
    }

    pub(super) fn stop_router(&mut self, router: usize, fault: Fault, now: Duration) {
        if self.routers[router].phase != RouterPhase::Serving {
            return;
        }
        self.routers[router].signal(libc::SIGSTOP);
        self.routers[router].phase = RouterPhase::Stopped;
        self.set(now + fault.span / 4, Timer::RouterContinues { router, stopped_at: now });
    }

    pub(super) fn router_continues(&mut self, router: usize, stopped_at: Duration, now: Duration) {
        self.routers[router].signal(libc::SIGCONT);
        self.routers[router].phase = RouterPhase::Serving;
        self.records.outages.push(Outage { router, from: stopped_at, until: now, kind: OutageKind::Stopped });
    }

    pub(super) fn ask_status(&mut self, now: Duration) {
        for router in 0..self.routers.len() {
            let Router { phase, address, started_at, .. } = self.routers[router];
            if phase != RouterPhase::Starting {
                continue;
            }
            self.clients.ask_status(router, address, now, self.poll.registry());
            if now > started_at + READY_WITHIN {
                let outage = Outage { router, from: started_at, until: now, kind: OutageKind::NotReady };
                let is_known = self.records.outages.iter().any(|other| other.from == started_at);
                if !is_known {
                    self.records.outages.push(outage);
                }
            }
        }
        self.set(now + STATUS_INTERVAL, Timer::AskStatus);
    }

    /// Notes what the routers use, and whether one has ended by itself.
    pub(super) fn sample(&mut self, now: Duration) {
        for (index, router) in self.routers.iter_mut().enumerate() {
            let most = &mut self.records.usage[index];
            if let Some(usage) = router.usage() {
                most.memory_kb = most.memory_kb.max(usage.memory_kb);
                most.descriptors = most.descriptors.max(usage.descriptors);
                most.cpu = most.cpu.max(usage.cpu);
            }
            if router.phase != RouterPhase::Ending && router.has_exited().is_some() {
                router.phase = RouterPhase::Dead;
                self.records.outages.push(Outage {
                    router: index,
                    from: now,
                    until: now,
                    kind: OutageKind::Crashed,
                });
            }
        }
        self.set(now + SAMPLE_INTERVAL, Timer::Sample);
    }
}
