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
const ATTEMPT_INACTIVE_AFTER_INTERVALS: u32 = 4;

/// The load of an engine once it has one more request.
pub struct ProjectedLoad {
    /// Fraction of the memory in use that is compared with the limit of admission.
    pub memory_utilization: f64,
    /// Sum of the fractions of memory and cores in use. For an engine without a usable report, when no report contains
    /// the memory, only this router's attempts count, as fractions of its share of the engine.
    combined_utilization: f64,
}

impl ProjectedLoad {
    /// Returns the fraction of the cores in use. It is meaningful only for an engine that reports its load.
    pub fn core_utilization(&self) -> f64 {
        self.combined_utilization - self.memory_utilization
    }

    /// Returns the mean of the fractions of memory and cores in use.
    pub fn mean_utilization(&self) -> f64 {
        self.combined_utilization / 2.0
    }
}

/// Fractions of an engine's memory and cores in use.
#[derive(Clone, Copy)]
struct Utilization {
    memory: f64,
    cores: f64,
}

impl SchedulerState {
    /// Records a load report, and a sample of this router's fleet share from the report. A report in answer to
    /// a probe gives no sample: it arrives while requests are queued, when the share is above its mean.
    pub fn update_from_load_report(
        &mut self,
        now: Duration,
        id: EngineId,
        load: LoadReport,
        ended: Option<RequestId>,
    ) {
        let granted_fraction =
            self.record_load_report(now, id, load).and_then(|load| load.memory_utilization);
        if let Some(granted_fraction) = granted_fraction
            && granted_fraction > 0.0
            && !self.fleet.reports_only_on_probe
        {
            self.record_fleet_share(now, granted_fraction, ended);
        }
    }

    /// Returns whether a progress update shows that the engine is short of memory.
    pub fn has_memory_shortage(&self, request: RequestId, update: ProgressUpdate) -> bool {
        match update {
            ProgressUpdate::WaitingForMemory => true,
            // The grant covers the estimate, so a spill means that the engine has cut the grant.
            ProgressUpdate::Spilling(_) => {
                let request = self.requests.get(&request);
                let has_estimate = request.is_some_and(|request| request.estimated_memory_mb.is_some());
                self.fleet.shrinks_grants && has_estimate
            }
            _ => false,
        }
    }

    /// Returns this router's share of the fleet, at most 1: the mean of the samples, but at least `MIN_FLEET_SHARE`
    /// of an equal share, or an equal share before the first sample.
    pub fn fleet_share(&self) -> f64 {
        let equal = 1.0 / self.fleet.router_count.max(1) as f64;
        let measured = self.fleet_shares.mean();
        measured.map_or(equal, |measured| measured.clamp(equal * MIN_FLEET_SHARE, 1.0))
    }

    /// Returns whether the progress updates of an attempt have stopped, because the answer was lost or the
    /// engine is unresponsive. Always false if engines send no progress updates.
    pub fn is_attempt_inactive(&self, now: Duration, attempt: &InFlightAttempt) -> bool {
        let Some(interval) = self.fleet.progress_interval else { return false };
        let active_since = now.saturating_sub(interval * ATTEMPT_INACTIVE_AFTER_INTERVALS);
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
            request: Resources { memory_mb: grant_mb, threads: self.classes[request.class].threads },
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
    /// Returns the utilization of the engine by `load` and the additional request.
    fn utilization_with_request(&self, load: Resources) -> Utilization {
        Utilization {
            memory: (load.memory_mb + self.request.memory_mb) / self.kind.memory_mb,
            cores: (load.threads + self.request.threads) / self.kind.cores,
        }
    }

    /// Returns the resources of this router's attempts that a report of the time `at` may not include yet.
    fn local_load_unreported_at(&self, at: Duration) -> Resources {
        let start = at.saturating_sub(self.state.shortest_objective());
        self.state.local_load(self.snapshot.now, self.engine, start)
    }

    /// Returns the engine's last report, if it includes the memory, or if engines of this kind report their
    /// requests in flight.
    fn usable_report(&self) -> Option<ReceivedReport> {
        let is_usable =
            |load: &LoadReport| load.memory_utilization.is_some() || self.gateway.reports_in_flight;
        self.engine.report.filter(|report| is_usable(&report.load))
    }

    /// Estimates the utilization from the mean of all reports of the engine kind. Without reports, it is
    /// estimated from this router's attempts: the fleet share implies the number of other routers, and each
    /// of them is assumed to have the same load and to spread it evenly.
    fn estimated_utilization(&self) -> Utilization {
        let other_routers = (1.0 / self.snapshot.fleet_share - 1.0) / self.gateway.engine_count;
        let all_routers = self.local_load.plus(self.gateway.local_load.scaled(other_routers));
        let from_local_load = self.utilization_with_request(all_routers);
        let recent = self.utilization_with_request(self.local_load_unreported_at(self.snapshot.now));
        let (mean_memory, mean_cores) =
            (self.gateway.mean_memory_utilization, self.gateway.mean_core_utilization);
        Utilization {
            memory: mean_memory.map_or(from_local_load.memory, |mean| mean + recent.memory),
            cores: mean_cores.map_or(from_local_load.cores, |mean| mean + recent.cores),
        }
    }

    /// Returns the load of an engine without a usable report.
    fn unreported_load(&self) -> ProjectedLoad {
        let estimated = self.estimated_utilization();
        if self.gateway.mean_memory_utilization.is_some() {
            return ProjectedLoad {
                memory_utilization: estimated.memory,
                combined_utilization: estimated.memory + estimated.cores,
            };
        }
        // Only this router's attempts distinguish engines without reports of their memory: the other routers are
        // assumed to prefer the same engines. Free cores say little about an engine's memory, and would attract
        // all routers to one engine at once.
        let engine_share = self.snapshot.engine_share;
        let local = self.local_load;
        let current =
            (local.memory_mb / self.kind.memory_mb + local.threads / self.kind.cores) / engine_share;
        let request = self.utilization_with_request(Resources::NONE);
        let request_share = if self.gateway.reports_in_flight { 1.0 } else { engine_share };
        let additional = (request.memory + request.cores) / request_share;
        ProjectedLoad { memory_utilization: estimated.memory, combined_utilization: current + additional }
    }

    /// Returns the load of an engine with a report: the reported load plus the attempts that the report does
    /// not include yet. The older the report, the higher the weight of the estimate.
    fn reported_load(&self, report: &ReceivedReport) -> ProjectedLoad {
        let estimated = self.estimated_utilization();
        let unreported = self.utilization_with_request(self.local_load_unreported_at(report.at));
        // Guards against overloaded engines that stopped reporting: this router's attempts at the engine are a
        // lower bound of its load.
        let local = self.utilization_with_request(self.local_load);
        let age = seconds(self.snapshot.now - report.at) / seconds(self.state.report_aging_time());
        let aged = |reported: f64, estimate: f64| (reported + estimate * age) / (1.0 + age);
        let memory = match report.load.memory_utilization {
            Some(memory) => aged(memory + unreported.memory, estimated.memory).max(local.memory),
            None => estimated.memory,
        };
        let cores = match report.load.core_utilization {
            Some(cores) => aged(cores + unreported.cores, estimated.cores).max(local.cores),
            None => estimated.cores,
        };
        ProjectedLoad {
            memory_utilization: self.memory_for_admission(memory, estimated.memory),
            combined_utilization: memory + cores,
        }
    }

    /// Returns the memory utilization that is compared with the limit of admission. Reports in answer to a probe
    /// are late, and other routers probe too, so that an engine with such a report also accepts requests if only the
    /// estimate is below the limit. The report itself counts divided by `MEMORY_TARGET_FRACTION`.
    fn memory_for_admission(&self, memory: f64, estimated: f64) -> f64 {
        if self.state.fleet.reports_only_on_probe {
            estimated.min(memory / MEMORY_TARGET_FRACTION)
        } else {
            memory
        }
    }
}
