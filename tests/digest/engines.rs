//! The engines of a run: their load reports, and their rows in the endpoint list.

use crate::random::Random;
use crate::settings::{endpoint, simulated_engine};
use crate::simulation::Simulation;
use emberflow::{EndpointUpdate, EngineId, LoadReport};

impl Simulation {
    /// Returns the load that an engine reports, with the fields that engines report in this run.
    pub(super) fn load_report(&mut self, engine: EngineId) -> Option<LoadReport> {
        let attempts = self.running.values().filter(|running| running.engine == engine).count() as f64;
        let (environment, random) = (&self.environment, &mut self.random);
        let waiting_for_memory = random.maybe(20, |random| random.below(3) as f64);
        Some(LoadReport {
            core_utilization: environment
                .reports_cores
                .then(|| (attempts / 4.0 * random.between(0.5, 1.5)).min(1.0)),
            in_flight: environment.reports_in_flight.then(|| attempts + random.below(4) as f64),
            waiting_for_memory,
            memory_utilization: environment
                .reports_memory
                .then(|| (attempts / 6.0 * random.between(0.5, 1.5)).min(1.0)),
            disk_utilization: random.maybe(20, Random::fraction),
        })
    }

    /// Ends a probe, with a load report if the engine answers.
    pub(super) fn answer_probe(&mut self, engine: EngineId) {
        let answers = self
            .simulated_engines
            .get(&engine)
            .is_some_and(|simulated| !simulated.silent && !simulated.removed);
        let load_report = if answers && !self.random.percent(10) { self.load_report(engine) } else { None };
        self.scheduler.probe_ended(self.now, engine, load_report, &mut self.log);
    }

    /// Sends the rows of all engines.
    pub(super) fn update_endpoints(&mut self, update: EndpointUpdate) {
        let rows =
            self.simulated_engines.iter().map(|(engine, simulated)| endpoint(*engine, simulated)).collect();
        self.scheduler.endpoints_changed(self.now, update, rows, &mut self.log);
        self.carry_out_actions();
    }

    /// Adds an engine, or changes one at random.
    pub(super) fn change_engines(&mut self) {
        let engines: Vec<EngineId> = self.simulated_engines.keys().copied().collect();
        let (random, now) = (&mut self.random, self.now);
        let change = random.below(10);
        if engines.is_empty() || change == 0 {
            let free = engines.last().map_or(EngineId(0), |last| EngineId(last.0 + 1));
            let launched_at = random.maybe(50, |random| now.saturating_sub(random.time(0, 500)));
            self.simulated_engines.insert(free, simulated_engine(random, self.kinds, launched_at));
            let full = self.random.percent(30);
            return self.update_endpoints(if full {
                EndpointUpdate::FullList
            } else {
                EndpointUpdate::Changes
            });
        }
        let engine = random.one_of(&engines);
        let simulated =
            self.simulated_engines.get_mut(&engine).expect("the engine was drawn from the simulated engines");
        match change {
            1 => simulated.ready = !simulated.ready,
            2 => (simulated.ready, simulated.removed) = (false, true),
            3 | 4 => {
                (simulated.ready, simulated.removed, simulated.launched_at) = (true, false, Some(now));
                (simulated.silent, simulated.fails, simulated.slowness) = (false, false, 1.0);
            }
            5 => simulated.silent = !simulated.silent,
            6 => simulated.fails = !simulated.fails,
            7 => simulated.slowness = random.one_of(&[1.0, 2.0, 6.0, 20.0]),
            8 => {
                let rows = self.simulated_engines.iter().filter(|_| !random.percent(20));
                let rows = rows.map(|(listed, state)| endpoint(*listed, state)).collect();
                return self.scheduler.endpoints_changed(now, EndpointUpdate::FullList, rows, &mut self.log);
            }
            _ => simulated.ready = true,
        }
        let row = endpoint(engine, simulated);
        self.scheduler.endpoints_changed(now, EndpointUpdate::Changes, vec![row], &mut self.log);
    }
}
