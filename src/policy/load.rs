//! Load: this router's share of the fleet, and the projected load of an engine.

use super::MEMORY_TARGET_FRACTION;
use crate::samples::seconds;
use crate::state::{
    Engine, FleetSnapshot, Gateway, InFlightAttempt, ReceivedReport, Request, Resources, SchedulerState,
};
use crate::{EngineId, EngineKind, LoadReport, ProgressUpdate, RequestId};
use std::time::Duration;

/// Smallest fleet share, as a fraction of an equal share of all routers.
const MIN_FLEET_SHARE: f64 = 0.25;
/// Progress intervals without an update after which an attempt counts as inactive.
const INACTIVE_ATTEMPT_INTERVALS: u32 = 4;

/// The load of an engine once it has one more request.
pub struct ProjectedLoad {
    /// Fraction of the memory in use.
    pub memory: f64,
    /// Sum of the fractions of memory and cores in use.
    pub combined: f64,
}

impl ProjectedLoad {
    /// Returns the combined load without the memory: the fraction of the cores in use, if the engine reports
    /// its load.
    pub fn busy(&self) -> f64 {
        self.combined - self.memory
    }

    /// Returns the mean of the fractions of memory and cores in use.
    pub fn mean(&self) -> f64 {
        self.combined / 2.0
    }
}

impl SchedulerState {
    /// Records a load report, and a sample of this router's fleet share from it. Reports that were probed for
    /// give no sample: they arrive while requests are queued, when the share is above its mean.
    pub fn learn_from_load_report(
        &mut self,
        now: Duration,
        id: EngineId,
        load: LoadReport,
        ended: Option<RequestId>,
    ) {
        let granted = self.record_load_report(now, id, load).and_then(|load| load.memory);
        if let Some(granted) = granted
            && granted > 0.0
            && !self.fleet.reports_only_on_probe
        {
            self.record_fleet_share(now, granted, ended);
        }
    }

    /// Returns whether a progress update shows that the engine is short of memory.
    pub fn has_memory_shortage(&self, request: RequestId, update: ProgressUpdate) -> bool {
        match update {
            ProgressUpdate::WaitingForMemory => true,
            // The grant covers the estimate, so that a spill means that the engine has cut the grant.
            ProgressUpdate::Spilling(_) => {
                let request = self.requests.get(&request);
                let has_estimate = request.is_some_and(|request| request.estimated_memory_mb.is_some());
                self.fleet.shrinks_grants && has_estimate
            }
            _ => false,
        }
    }

    /// Returns this router's share of the fleet: the mean of the samples, or an equal share before the first
    /// one.
    pub fn fleet_share(&self) -> f64 {
        let equal = 1.0 / self.fleet.router_count.max(1) as f64;
        let measured = self.fleet_shares.mean();
        measured.map_or(equal, |measured| measured.clamp(equal * MIN_FLEET_SHARE, 1.0))
    }

    /// Returns whether the progress updates of an attempt have stopped, because the answer was lost or the
    /// engine is unresponsive.
    pub fn is_attempt_inactive(&self, now: Duration, attempt: &InFlightAttempt) -> bool {
        let Some(interval) = self.fleet.progress_interval else { return false };
        let active_since = now.saturating_sub(interval * INACTIVE_ATTEMPT_INTERVALS);
        self.requests[&attempt.request].attempts[attempt.attempt].last_activity_at < active_since
    }

    /// Returns the resources of this router's active attempts at an engine that were sent at or after
    /// `start`.
    pub fn local_load(&self, now: Duration, engine: &Engine, start: Duration) -> Resources {
        let attempts = engine.in_flight.iter();
        let counted =
            attempts.filter(|attempt| attempt.sent_at >= start && !self.is_attempt_inactive(now, attempt));
        counted.map(InFlightAttempt::resources).fold(Resources::NONE, Resources::plus)
    }

    /// Returns the load of an engine once it has the request.
    pub fn projected_load(
        &self,
        engine: &Engine,
        request: &Request,
        grant_mb: f64,
        snapshot: &FleetSnapshot,
    ) -> ProjectedLoad {
        let projection = Projection {
            state: self,
            snapshot,
            engine,
            kind: &self.fleet.kinds[engine.kind],
            gateway: &snapshot.gateways[engine.kind],
            local_load: self.local_load(snapshot.now, engine, Duration::ZERO),
            request: Resources { memory: grant_mb, threads: self.classes[request.class].threads },
        };
        match projection.usable_report() {
            Some(report) => projection.reported_load(&report),
            None => projection.unreported_load(),
        }
    }
}

/// The projection of the load of one engine with one more request.
struct Projection<'a> {
    state: &'a SchedulerState,
    snapshot: &'a FleetSnapshot,
    engine: &'a Engine,
    kind: &'a EngineKind,
    gateway: &'a Gateway,
    /// The resources of this router's attempts at the engine.
    local_load: Resources,
    /// The resources of the additional request.
    request: Resources,
}

impl Projection<'_> {
    /// Returns the fractions of the engine that `load` and the additional request use.
    fn fractions_with_request(&self, load: Resources) -> Resources {
        Resources {
            memory: (load.memory + self.request.memory) / self.kind.memory_mb,
            threads: (load.threads + self.request.threads) / self.kind.cores,
        }
    }

    /// Returns the resources of this router's attempts that a report of the time `at` may not include yet.
    fn local_load_unreported_at(&self, at: Duration) -> Resources {
        let start = at.saturating_sub(self.state.shortest_objective());
        self.state.local_load(self.snapshot.now, self.engine, start)
    }

    /// Returns the engine's last report, if it includes the memory or comparable numbers of requests in
    /// flight.
    fn usable_report(&self) -> Option<ReceivedReport> {
        let is_usable = |load: &LoadReport| load.memory.is_some() || self.gateway.reports_in_flight;
        self.engine.report.filter(|report| is_usable(&report.load))
    }

    /// Returns the load as estimated from the mean of all reports of the engine kind. Without reports it is
    /// estimated from this router's attempts: the fleet share implies the number of other routers, and each
    /// of them is assumed to have the same load and to spread it evenly.
    fn estimated_load(&self) -> Resources {
        let other_routers = (1.0 / self.snapshot.fleet_share - 1.0) / self.gateway.engine_count;
        let all_routers = self.local_load.plus(self.gateway.local_load.scaled(other_routers));
        let from_local_load = self.fractions_with_request(all_routers);
        let recent = self.fractions_with_request(self.local_load_unreported_at(self.snapshot.now));
        Resources {
            memory: self.gateway.reported_memory.map_or(from_local_load.memory, |mean| mean + recent.memory),
            threads: self.gateway.reported_busy.map_or(from_local_load.threads, |mean| mean + recent.threads),
        }
    }

    /// Returns the load of an engine without a usable report.
    fn unreported_load(&self) -> ProjectedLoad {
        let estimated = self.estimated_load();
        if self.gateway.reported_memory.is_some() {
            return ProjectedLoad {
                memory: estimated.memory,
                combined: estimated.memory + estimated.threads,
            };
        }
        // Only this router's attempts distinguish such engines: the other routers are assumed to prefer the
        // same ones. Free cores say little about an engine's memory, and would attract all routers to one
        // engine at once.
        let engine_share = self.snapshot.engine_share;
        let local = self.local_load;
        let current = (local.memory / self.kind.memory_mb + local.threads / self.kind.cores) / engine_share;
        let request = self.fractions_with_request(Resources::NONE);
        let request_share = if self.gateway.reports_in_flight { 1.0 } else { engine_share };
        let additional = (request.memory + request.threads) / request_share;
        ProjectedLoad { memory: estimated.memory, combined: current + additional }
    }

    /// Returns the load of an engine with a report: the reported load and the attempts that the report does
    /// not include yet. The older the report, the more the estimate counts.
    fn reported_load(&self, report: &ReceivedReport) -> ProjectedLoad {
        let estimated = self.estimated_load();
        let unreported = self.fractions_with_request(self.local_load_unreported_at(report.at));
        // Guards against overloaded engines that stopped reporting: this router's attempts there still count.
        let local = self.fractions_with_request(self.local_load);
        let age = seconds(self.snapshot.now - report.at) / seconds(self.state.report_aging_time());
        let aged = |reported: f64, estimate: f64| (reported + estimate * age) / (1.0 + age);
        let memory = match report.load.memory {
            Some(memory) => aged(memory + unreported.memory, estimated.memory).max(local.memory),
            None => estimated.memory,
        };
        let busy = match report.load.busy {
            Some(busy) => aged(busy + unreported.threads, estimated.threads).max(local.threads),
            None => estimated.threads,
        };
        ProjectedLoad { memory: self.memory_to_limit(memory, estimated.memory), combined: memory + busy }
    }

    /// Returns the memory in use that limits admission. Probed reports are late, and other routers probe too,
    /// so that engines with such a report also accept requests by the estimate.
    fn memory_to_limit(&self, memory: f64, estimated: f64) -> f64 {
        if self.state.fleet.reports_only_on_probe {
            estimated.min(memory / MEMORY_TARGET_FRACTION)
        } else {
            memory
        }
    }
}
