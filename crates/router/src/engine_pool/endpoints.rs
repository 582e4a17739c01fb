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
    /// The engine's id in the endpoint list.
    pub id: u32,
    pub address: SocketAddr,
    /// Whether calls may be sent to the engine.
    pub ready: bool,
    /// Start time of the engine's process in Unix milliseconds, by the endpoint list; 0 if the list does not say.
    pub up_since_ms: u64,
    /// Start time of the engine's process on the router's clock; `None` if the list does not say.
    pub launched: Option<Duration>,
    pub connections: Vec<Slot>,
}

impl EnginePool {
    /// Adds or updates an engine by its endpoint record, and returns the endpoint under the scheduler's engine id. A
    /// draining engine gets no further calls. Connections to an earlier process of the engine are closed.
    pub fn update_endpoint(&mut self, record: &EndpointRecord, context: &mut Context) -> Endpoint {
        let engine = self.register_engine(record);
        if !record.is_ready() {
            self.end_unsent_attempts(engine, context);
        }
        let entry =
            self.engines.get_mut(&engine).expect("every engine with a scheduler id is in the engine table");
        entry.address = record.address;
        entry.ready = record.is_ready();
        // A start time is converted to the router's clock only once, since the wall clock may have been set meanwhile.
        if record.up_since_ms > 0 && entry.up_since_ms != record.up_since_ms {
            let launched = context.at_unix_ms(record.up_since_ms);
            entry.up_since_ms = record.up_since_ms;
            entry.launched = Some(launched);
            self.close_connections_before(engine, launched, context);
        }
        let launched = self.engines.get(&engine).and_then(|known| known.launched);
        Endpoint {
            engine,
            location: record.location,
            kind: record.kind,
            cell: record.cell,
            lifecycle: record.lifecycle,
            launched_at: launched,
        }
    }

    /// Whether an engine is listed as ready.
    pub(super) fn is_ready(&self, engine: EngineId) -> bool {
        self.engines.get(&engine).is_some_and(|entry| entry.ready)
    }

    /// Returns the scheduler's id of an engine. Adds an unknown engine under the next id.
    fn register_engine(&mut self, record: &EndpointRecord) -> EngineId {
        let engine = *self.engine_ids.entry(record.id).or_insert(self.next_engine);
        if engine == self.next_engine {
            let entry = Engine {
                id: record.id,
                address: record.address,
                ready: record.is_ready(),
                up_since_ms: 0,
                launched: None,
                connections: Vec::new(),
            };
            self.engines.insert(engine, entry);
            self.next_engine.0 += 1;
        }
        engine
    }

    /// Closes the connections to an engine that were dialled before its process started.
    fn close_connections_before(&mut self, engine: EngineId, launched: Duration, context: &mut Context) {
        for slot in self.connections_of(engine) {
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
        for (engine, entry) in &mut self.engines {
            if entry.ready && !listed.contains(&entry.id) {
                entry.ready = false;
                unlisted.push(*engine);
            }
        }
        for engine in unlisted {
            self.end_unsent_attempts(engine, context);
        }
    }

    /// Removes an engine and closes its connections.
    pub fn forget(&mut self, engine: EngineId, context: &mut Context) {
        for slot in self.connections_of(engine) {
            self.close_connection(
                slot,
                "engine removed from the endpoint list",
                Reachability::Unreachable,
                context,
            );
        }
        if let Some(entry) = self.engines.remove(&engine) {
            context.counters.count("engines_forgotten");
            self.engine_ids.remove(&entry.id);
        }
    }

    fn connections_of(&self, engine: EngineId) -> Vec<Slot> {
        self.engines.get(&engine).map_or_else(Vec::new, |entry| entry.connections.clone())
    }

    /// Ends the attempts at an engine whose calls were not written, not even in part: calls that are not part of a
    /// connection's output yet, and a call at the front of that output.
    fn end_unsent_attempts(&mut self, engine: EngineId, context: &mut Context) {
        for slot in self.connections_of(engine) {
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
