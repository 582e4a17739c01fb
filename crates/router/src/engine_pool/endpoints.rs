//! The engines of the endpoint list, and what a change of the list does to their connections and attempts.

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
    /// Its id in the endpoint list.
    pub id: u32,
    pub address: SocketAddr,
    /// Whether calls may be sent to it.
    pub ready: bool,
    /// When its process started, as the list says in Unix milliseconds; 0 where it does not.
    pub up_since_ms: u64,
    /// The same on the router's clock.
    pub launched: Option<Duration>,
    pub connections: Vec<Slot>,
}

impl EnginePool {
    /// Adds or updates an engine by its endpoint record, and returns the endpoint under the engine's number. A draining
    /// engine gets no further call; connections to a process that has ended since are closed.
    pub fn update_endpoint(&mut self, record: &EndpointRecord, context: &mut Context) -> Endpoint {
        let engine = self.engine_number(record);
        if !record.is_ready() {
            self.void_unsent_attempts(engine, context);
        }
        let known = self.engines.get_mut(&engine).expect("an engine with a number is in the table");
        known.address = record.address;
        known.ready = record.is_ready();
        // A launch that was listed before keeps its time, whatever the wall clock has done since.
        if record.up_since_ms > 0 && known.up_since_ms != record.up_since_ms {
            let at = context.at_unix_ms(record.up_since_ms);
            known.up_since_ms = record.up_since_ms;
            known.launched = Some(at);
            self.close_connections_before(engine, at, context);
        }
        let launched = self.engines.get(&engine).and_then(|known| known.launched);
        Endpoint {
            engine,
            location: record.location,
            kind: record.kind,
            cell: record.cell,
            lifecycle: record.lifecycle,
            launched,
        }
    }

    /// The number of an engine; one seen for the first time gets the next.
    fn engine_number(&mut self, record: &EndpointRecord) -> EngineId {
        let engine = *self.engine_ids.entry(record.id).or_insert(self.next_engine);
        if engine == self.next_engine {
            let new = Engine {
                id: record.id,
                address: record.address,
                ready: record.is_ready(),
                up_since_ms: 0,
                launched: None,
                connections: Vec::new(),
            };
            self.engines.insert(engine, new);
            self.next_engine.0 += 1;
        }
        engine
    }

    fn close_connections_before(&mut self, engine: EngineId, launched: Duration, context: &mut Context) {
        let is_stale = |slot: &Slot| {
            self.connections.get(*slot).is_some_and(|connection| connection.dialed_at < launched)
        };
        let stale: Vec<Slot> = self.connections_of(engine).into_iter().filter(is_stale).collect();
        for slot in stale {
            self.close_connection(slot, "its engine has restarted", Reachability::Unreachable, context);
        }
    }

    /// Drains the engines that a complete endpoint list no longer holds: they get no further call.
    pub fn drain_unlisted(&mut self, records: &[EndpointRecord], context: &mut Context) {
        let listed: BTreeSet<u32> = records.iter().map(|record| record.id).collect();
        let is_unlisted = |known: &Engine| known.ready && !listed.contains(&known.id);
        let unlisted = self.engines.iter().filter(|(_, known)| is_unlisted(known));
        let unlisted: Vec<EngineId> = unlisted.map(|(engine, _)| *engine).collect();
        for engine in unlisted {
            self.void_unsent_attempts(engine, context);
            self.engines.entry(engine).and_modify(|known| known.ready = false);
        }
    }

    /// Removes an engine that is gone, with its connections.
    pub fn forget(&mut self, engine: EngineId, context: &mut Context) {
        for slot in self.connections_of(engine) {
            self.close_connection(slot, "its engine is gone", Reachability::Unreachable, context);
        }
        if let Some(known) = self.engines.remove(&engine) {
            context.counters.count("engines_forgotten");
            self.engine_ids.remove(&known.id);
        }
    }

    fn connections_of(&self, engine: EngineId) -> Vec<Slot> {
        self.engines.get(&engine).map_or_else(Vec::new, |known| known.connections.clone())
    }

    /// Ends the attempts of an engine of whose calls no byte has been written: those that wait for a connection, and
    /// those at the front of a connection's output.
    fn void_unsent_attempts(&mut self, engine: EngineId, context: &mut Context) {
        for slot in self.connections_of(engine) {
            let Some(connection) = self.connections.get(slot) else { continue };
            let mut unsent = connection.waiting.clone();
            let carried: Vec<Slot> = connection.attempts.values().copied().collect();
            unsent.extend(carried.into_iter().filter(|attempt| self.retract_unsent_call(*attempt)));
            for attempt in unsent {
                self.end(attempt, AttemptOutcome::NotSent, None, context);
            }
        }
    }
}
