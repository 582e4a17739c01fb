//! Load: this router's share of the fleet, and how full an engine is.

use super::*;

/// The load of an engine once it has one request more.
pub struct ProjectedLoad {
    /// Part of its memory in use.
    pub memory: f64,
    /// The sum of that and of the part of its cores in use.
    pub combined: f64,
}

impl SchedulerState {
    /// Takes a report in, and samples the share from it; reports that are probed for come when requests are
    /// queued, and would make the share look large.
    pub fn take_report(&mut self, now: Duration, id: EngineId, load: LoadReport, ended: Option<RequestId>) {
        let memory = self.record_report(now, id, load).and_then(|load| load.memory);
        let sample = memory.filter(|part| *part > 0.0 && !self.fleet.reports_only_on_probe);
        if let Some(granted) = sample {
            self.record_share(now, granted, ended);
        }
    }

    /// Whether a progress note shows that its engine is short of memory.
    pub fn shows_shortage(&self, request: RequestId, note: ProgressUpdate) -> bool {
        let estimated = self.requests.get(&request).is_some_and(|r| r.estimated_memory_mb.is_some());
        let is_cut = self.fleet.shrinks_grants && estimated;
        is_cut && matches!(note, ProgressUpdate::Spilling(_)) || note == ProgressUpdate::WaitingForMemory
    }

    /// This router's part of the fleet: that of the memory that engines report granted, else an equal one.
    pub fn share(&self) -> f64 {
        let equal = 1.0 / self.fleet.router_count.max(1) as f64;
        self.shares.mean().map_or(equal, |measured| measured.clamp(equal / 4.0, 1.0))
    }

    /// Whether notes of an attempt have stopped: its answer is lost, or its engine is silent.
    pub fn is_lost(&self, now: Duration, attempt: &InFlight) -> bool {
        let from = self.fleet.progress_interval.map(|every| now.saturating_sub(every * 4));
        from.is_some_and(|from| self.requests[&attempt.request].attempts[attempt.attempt].last_sign_at < from)
    }

    /// What this router has in flight at an engine, of attempts sent since `from`.
    pub fn own_load(&self, now: Duration, engine: &Engine, from: Duration) -> Resources {
        let attempts = engine.in_flight.iter();
        let attempts = attempts.filter(|attempt| attempt.sent_at >= from && !self.is_lost(now, attempt));
        attempts.map(InFlight::resources).fold(Resources::NONE, Resources::plus)
    }

    /// The load of an engine once it has the request: as reported, with own attempts not shown yet; a report
    /// fades into the mean of all.
    pub fn projected_load(
        &self,
        engine: &Engine,
        request: &Request,
        grant_mb: f64,
        snapshot: &FleetSnapshot,
    ) -> ProjectedLoad {
        let now = snapshot.now;
        let (share, engine_share) = (snapshot.share, snapshot.engine_share);
        let (kind, gateway) = (&self.fleet.kinds[engine.kind], &snapshot.gateways[engine.kind]);
        let threads = self.classes[request.class].threads;
        let parts_with_request = |own: Resources| Resources {
            memory: (own.memory + grant_mb) / kind.memory_mb,
            threads: (own.threads + threads) / kind.cores,
        };
        let objective = self.shortest_objective();
        let since = |from: Duration| self.own_load(now, engine, from.saturating_sub(objective));
        // Other routers, as many as the share tells, spread evenly.
        let own = self.own_load(now, engine, Duration::ZERO);
        let others = (1.0 / share - 1.0) / gateway.engine_count;
        let alone = parts_with_request(own.plus(gateway.own.scaled(others)));
        let fresh = parts_with_request(since(now));
        let guessed_memory = gateway.reported_memory.map_or(alone.memory, |mean| mean + fresh.memory);
        let guessed_busy = gateway.reported_busy.map_or(alone.threads, |mean| mean + fresh.threads);
        let reports_load = |load: &LoadReport| load.memory.is_some() || gateway.reports_in_flight;
        let Some(report) = engine.report.filter(|report| reports_load(&report.load)) else {
            // Only own attempts tell them apart: others like what this router likes, or the mean of those
            // that report. Free cores tell little of an engine's memory, and draw all routers there at once.
            let new = parts_with_request(Resources::NONE);
            let alike = (own.memory / kind.memory_mb + own.threads / kind.cores) / engine_share;
            let new = (new.memory + new.threads) / if gateway.reports_in_flight { 1.0 } else { engine_share };
            let combined = gateway.reported_memory.map_or(alike + new, |_| guessed_memory + guessed_busy);
            return ProjectedLoad { memory: guessed_memory, combined };
        };
        let unseen = parts_with_request(since(report.at));
        let age = seconds(now - report.at) / seconds(objective * 4);
        // Guards against engines that have gone quiet under a crowd: own attempts are there.
        let at_least = parts_with_request(own);
        let fade = |reported: Option<f64>, unseen: f64, guess: f64, at_least: f64| match reported {
            Some(reported) => ((reported + unseen + guess * age) / (1.0 + age)).max(at_least),
            None => guess,
        };
        let memory = fade(report.load.memory, unseen.memory, guessed_memory, at_least.memory);
        let busy = fade(report.load.busy, unseen.threads, guessed_busy, at_least.threads);
        // A probe tells late, and others probe too: half as far as the guess, it lets requests go as well.
        let on_probe = self.fleet.reports_only_on_probe;
        let in_use = if on_probe { guessed_memory.min(memory / MEMORY_TARGET_PART) } else { memory };
        ProjectedLoad { memory: in_use, combined: memory + busy }
    }
}
