//! The engines of the endpoint list, and the effect of list changes on their connections and attempts.

use super::EnginePool;
use super::connection::Reachability;
use crate::context::Context;
use crate::discovery::EndpointRecord;
use crate::slots::Slot;
use emberflow::{AttemptOutcome, Endpoint, EngineId};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// An engine of the endpoint list.
#[derive(Clone)]
pub(super) struct Engine {
    /// The engine's id in the endpoint list, unlike its [`EngineId`], which the scheduler uses.
    pub endpoint_id: u32,
    pub address: SocketAddr,
    /// Whether calls may be sent to the engine.
    pub ready: bool,
    /// Start time of the engine's process in Unix milliseconds, by the endpoint list; 0 until the list gives one.
    pub up_since_ms: u64,
    /// The same start time on the router's clock; `None` until the list gives one.
    pub launched: Option<Duration>,
    pub connections: Vec<Slot>,
}

impl EnginePool {
    /// Adds or updates an engine by its endpoint record, and returns the endpoint under the scheduler's engine id. A
    /// draining engine gets no further calls. Connections to an earlier process of the engine are closed.
    pub fn update_endpoint(&mut self, record: &EndpointRecord, context: &mut Context) -> Endpoint {
        let engine_id = self.register_engine(record);
        if !record.is_ready() {
            self.end_unsent_attempts(engine_id, context);
        }
        let engine = self
            .engines
            .get_mut(&engine_id)
            .expect("every engine with a scheduler id is in the engine table");
        engine.address = record.address;
        engine.ready = record.is_ready();
        // Each start time is converted to the router's clock only once. A later conversion of the same start time could
        // give another result, since the wall clock may have been set meanwhile.
        if record.up_since_ms > 0 && engine.up_since_ms != record.up_since_ms {
            let launched = context.at_unix_ms(record.up_since_ms);
            engine.up_since_ms = record.up_since_ms;
            engine.launched = Some(launched);
            self.close_connections_before(engine_id, launched, context);
        }
        let launched = self.engines.get(&engine_id).and_then(|updated| updated.launched);
        Endpoint {
            engine: engine_id,
            location: record.location,
            kind: record.kind,
            cell: record.cell,
            lifecycle: record.lifecycle,
            launched_at: launched,
        }
    }

    /// Whether an engine is listed as ready.
    pub(super) fn is_ready(&self, engine_id: EngineId) -> bool {
        self.engines.get(&engine_id).is_some_and(|engine| engine.ready)
    }

    /// Returns the scheduler's id of an engine. Adds an unknown engine under the next id.
    fn register_engine(&mut self, record: &EndpointRecord) -> EngineId {
        let engine_id = *self.engine_ids.entry(record.id).or_insert(self.next_engine_id);
        if engine_id == self.next_engine_id {
            let engine = Engine {
                endpoint_id: record.id,
                address: record.address,
                ready: record.is_ready(),
                up_since_ms: 0,
                launched: None,
                connections: Vec::new(),
            };
            self.engines.insert(engine_id, engine);
            self.next_engine_id.0 += 1;
        }
        engine_id
    }

    /// Closes the connections to an engine that were dialled before its process started.
    fn close_connections_before(&mut self, engine_id: EngineId, launched: Duration, context: &mut Context) {
        for slot in self.connections_of(engine_id) {
            let connection = self.connections.get(slot);
            if connection.is_some_and(|connection| connection.dialed_at < launched) {
                self.close_connection(slot, "engine process restarted", Reachability::Unreachable, context);
            }
        }
    }

    /// Marks the engines that are missing from a complete endpoint list as not ready: they get no further calls.
    pub fn drain_unlisted(&mut self, records: &[EndpointRecord], context: &mut Context) {
        let listed: BTreeSet<u32> = records.iter().map(|record| record.id).collect();
        let mut unlisted = Vec::new();
        for (engine_id, engine) in &mut self.engines {
            if engine.ready && !listed.contains(&engine.endpoint_id) {
                engine.ready = false;
                unlisted.push(*engine_id);
            }
        }
        for engine_id in unlisted {
            self.end_unsent_attempts(engine_id, context);
        }
    }

    /// Removes an engine and closes its connections.
    pub fn forget(&mut self, engine_id: EngineId, context: &mut Context) {
        for slot in self.connections_of(engine_id) {
            self.close_connection(
                slot,
                "engine removed from the endpoint list",
                Reachability::Unreachable,
                context,
            );
        }
        if let Some(engine) = self.engines.remove(&engine_id) {
            context.counters.count("engines_forgotten");
            self.engine_ids.remove(&engine.endpoint_id);
        }
    }

    fn connections_of(&self, engine_id: EngineId) -> Vec<Slot> {
        self.engines.get(&engine_id).map_or_else(Vec::new, |engine| engine.connections.clone())
    }

    /// Ends the attempts at an engine whose calls were not written, not even in part: calls that are not part of a
    /// connection's output yet, and a call at the front of that output.
    fn end_unsent_attempts(&mut self, engine_id: EngineId, context: &mut Context) {
        for slot in self.connections_of(engine_id) {
            let Some(connection) = self.connections.get(slot) else { continue };
            let mut unsent = connection.waiting_attempts.clone();
            let attempts: Vec<Slot> = connection.attempts.values().copied().collect();
            unsent.extend(attempts.into_iter().filter(|attempt| self.retract_unsent_call(*attempt)));
            for attempt in unsent {
                self.end(attempt, AttemptOutcome::NotSent, None, context);
            }
        }
    }
}
