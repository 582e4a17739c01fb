//! Records updates of the endpoint list.

use super::{Engine, SchedulerState};
use crate::{Endpoint, EndpointUpdate, EngineId, Lifecycle};
use std::collections::BTreeSet;
use std::time::Duration;

impl SchedulerState {
    /// Records rows of the endpoint list. An engine that has restarted keeps its attempts in flight, which end
    /// later by an answer or a failure.
    pub fn record_endpoints(&mut self, now: Duration, update: EndpointUpdate, rows: Vec<Endpoint>) {
        if update == EndpointUpdate::FullList {
            self.record_unlisted_removed(&rows);
        }
        for row in rows {
            match self.engines.get(&row.engine) {
                None => self.record_new_engine(now, &row),
                Some(engine) if engine.differs_from(&row) => self.record_changed_engine(now, &row),
                // A full list may repeat thousands of unchanged rows. Each of them costs only one lookup.
                Some(_) => {}
            }
        }
    }

    fn record_new_engine(&mut self, now: Duration, row: &Endpoint) {
        let engine = Engine::new(row, now, self.window_sizes);
        self.engine_index.insert(row.engine, &engine, self.rank(row.engine));
        self.engines.insert(row.engine, engine);
    }

    fn record_changed_engine(&mut self, now: Duration, row: &Endpoint) {
        let rank = self.rank(row.engine);
        let engine = self.engines.get_mut(&row.engine).expect("the engine is in the table of engines");
        self.engine_index.remove(row.engine, engine, rank);
        engine.lifecycle = row.lifecycle;
        if engine.has_restarted(row) {
            let restarted = Engine::new(row, now, self.window_sizes);
            let previous = std::mem::replace(engine, restarted);
            engine.in_flight = previous.in_flight;
            engine.request_count = previous.request_count;
            engine.sent_work = previous.sent_work;
        }
        self.engine_index.insert(row.engine, engine, rank);
    }

    /// Records all engines without a row in a full list as removed.
    fn record_unlisted_removed(&mut self, rows: &[Endpoint]) {
        let listed: BTreeSet<EngineId> = rows.iter().map(|row| row.engine).collect();
        let known = self.engines.keys().copied();
        let unlisted: Vec<EngineId> = known.filter(|id| !listed.contains(id)).collect();
        for id in unlisted {
            let rank = self.rank(id);
            let engine = self.engines.get_mut(&id).expect("the engine is in the table of engines");
            self.engine_index.remove(id, engine, rank);
            engine.lifecycle = Lifecycle::Removed;
            self.engine_index.insert(id, engine, rank);
        }
    }

    /// Removes an engine from the state. No request may refer to the engine any more.
    pub fn remove_engine(&mut self, id: EngineId) {
        let rank = self.rank(id);
        if let Some(engine) = self.engines.remove(&id) {
            self.engine_index.remove(id, &engine, rank);
        }
    }
}
