//! Starts the routers' processes, sends them signals, and records their outages and resource usage.

use super::timers::Timer;
use super::{Programs, SoakRun};
use crate::classes::longest_deadline;
use crate::clients::Destination;
use crate::config::{self, RouterAddresses};
use crate::records::{Outage, OutageKind};
use crate::routers::{Router, RouterPhase};
use rand::Rng;
use std::io;
use std::time::Duration;

/// How long a router may take from its start until it serves.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of the status requests to a router that is starting.
const STATUS_INTERVAL: Duration = Duration::from_millis(50);
const USAGE_SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time from SIGTERM to SIGKILL, in addition to the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Time from the end of a router's process, or of a drained engine's, to its restart.
pub(super) const RESTART_DELAY: Duration = Duration::from_millis(300);

impl SoakRun {
    /// Starts a router's process with a new seed and the current endpoint list.
    pub(super) fn start_router(&mut self, router: usize) -> io::Result<()> {
        let now = self.now();
        let addresses =
            RouterAddresses { listen: self.routers[router].address, discovery: self.discovery.address };
        let router_count = self.options.fleet.unwrap_or(self.routers.len());
        let name = format!("n{router}");
        let seed = self.rng.random();
        let known = self.discovery.known_list();
        let config = config::router_config(&name, seed, &addresses, &known, router_count);
        let Programs { router: program, shim } = &self.programs;
        self.routers[router].start(program, shim, &config.to_string(), now)
    }

    /// Sends a router SIGTERM; SIGKILL follows after the deadlines of all its requests.
    pub(super) fn terminate_router(&mut self, router: usize, now: Duration) {
        if self.routers[router].phase != RouterPhase::Serving {
            return;
        }
        self.routers[router].signal(libc::SIGTERM);
        self.routers[router].phase = RouterPhase::ShuttingDown;
        let kill_at = now + longest_deadline() + KILL_DELAY;
        self.timers.set(kill_at, Timer::KillTerminatedRouter { router });
    }

    /// Ends the graceful shutdown of a router by SIGKILL and restarts the router.
    pub(super) fn kill_terminated_router(&mut self, router: usize, now: Duration) {
        if self.routers[router].phase != RouterPhase::ShuttingDown {
            return;
        }
        let terminated_at = now - longest_deadline() - KILL_DELAY;
        self.kill_and_restart(router, terminated_at, OutageKind::Terminated, now);
    }

    /// Kills and restarts a router, without a SIGTERM before it.
    pub(super) fn kill_router(&mut self, router: usize, now: Duration) {
        if self.routers[router].phase == RouterPhase::Serving {
            self.kill_and_restart(router, now, OutageKind::Killed, now);
        }
    }

    fn kill_and_restart(&mut self, router: usize, from: Duration, kind: OutageKind, now: Duration) {
        self.routers[router].kill();
        self.records.outages.push(Outage { router, from, until: now, kind });
        self.timers.set(now + RESTART_DELAY, Timer::StartRouter { router });
    }

    /// Stops a router by SIGSTOP for `duration`.
    pub(super) fn stop_router(&mut self, router: usize, duration: Duration, now: Duration) {
        if self.routers[router].phase != RouterPhase::Serving {
            return;
        }
        self.routers[router].signal(libc::SIGSTOP);
        self.routers[router].phase = RouterPhase::Stopped;
        self.timers.set(now + duration, Timer::ContinueRouter { router, stopped_at: now });
    }

    /// Continues a stopped router by SIGCONT and records the outage.
    pub(super) fn continue_router(&mut self, router: usize, stopped_at: Duration, now: Duration) {
        self.routers[router].signal(libc::SIGCONT);
        self.routers[router].phase = RouterPhase::Serving;
        self.records.outages.push(Outage { router, from: stopped_at, until: now, kind: OutageKind::Stopped });
    }

    /// Sends a status request to each router that is starting, and records routers that are not ready in time.
    pub(super) fn request_status(&mut self, now: Duration) {
        for router in 0..self.routers.len() {
            let Router { phase, address, started_at, .. } = self.routers[router];
            if phase != RouterPhase::Starting {
                continue;
            }
            self.clients.request_status(Destination { router, address }, now, self.poll.registry());
            let is_recorded = self.records.outages.iter().any(|outage| outage.from == started_at);
            if now > started_at + READY_TIMEOUT && !is_recorded {
                let kind = OutageKind::NotReady;
                self.records.outages.push(Outage { router, from: started_at, until: now, kind });
            }
        }
        self.timers.set(now + STATUS_INTERVAL, Timer::RequestStatus);
    }

    /// Records the resource usage of the routers, and the routers that have crashed.
    pub(super) fn sample_usage(&mut self, now: Duration) {
        for (index, router) in self.routers.iter_mut().enumerate() {
            if let Some(usage) = router.usage() {
                self.records.usage[index].raise_to(&usage);
            }
            if router.phase != RouterPhase::ShuttingDown && router.has_exited() {
                router.phase = RouterPhase::Down;
                let kind = OutageKind::Crashed;
                self.records.outages.push(Outage { router: index, from: now, until: now, kind });
            }
        }
        self.timers.set(now + USAGE_SAMPLE_INTERVAL, Timer::SampleUsage);
    }
}
