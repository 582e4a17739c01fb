//! Connections to engines and the attempts sent over them.
//!
//! [`EnginePool`] is a state machine without sockets or a clock: endpoint records, received bytes and times go in;
//! bytes to write, [`PoolCommand`]s and [`PoolEvent`]s come out. It neither chooses an engine nor answers a client.

mod attempt;
mod connection;
mod endpoints;
mod fingerprint;
mod health_check;
mod messages;
mod replies;
mod result_pages;
mod write_queue;

pub use attempt::Call;
pub use connection::Reachability;
pub use messages::EngineProtocolError;

use crate::slots::{Slot, Slots};
use attempt::Attempt;
use connection::Connection;
use emberflow::{AttemptEnded, EngineId, ProgressUpdate, RequestId};
use endpoints::Engine;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// What happened to an attempt, to be passed on to the scheduler.
#[derive(Clone)]
pub enum PoolEvent {
    /// An attempt has ended.
    Ended {
        ended: AttemptEnded,
        /// The result, if it succeeded.
        body: Option<Vec<u8>>,
        /// The connection on which its engine may still answer it.
        late_connection: Option<Slot>,
    },
    /// An engine reported the progress of an attempt, given by its number within its request.
    Progress { request: RequestId, attempt: usize, note: ProgressUpdate },
}

/// What the owner of the sockets has to do for the pool, in order.
#[derive(Clone)]
pub enum PoolCommand {
    /// Dials an address and reports the outcome for this connection.
    Dial(Slot, SocketAddr),
    /// Closes the socket of a connection.
    Close(Slot),
}

/// How many engines, connections and attempts a pool holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSize {
    pub engines: usize,
    pub connections: usize,
    pub attempts: usize,
}

/// All engines known to a router, the connections to them and the attempts in flight.
#[derive(Clone)]
pub struct EnginePool {
    engines: BTreeMap<EngineId, Engine>,
    /// Engines by the id in their endpoint record.
    engine_ids: BTreeMap<u32, EngineId>,
    next_engine: EngineId,
    connections: Slots<Connection>,
    attempts: Slots<Attempt>,
    /// What the scheduler is to be notified of next.
    pub events: VecDeque<PoolEvent>,
    /// What the owner of the sockets is to do next.
    pub commands: VecDeque<PoolCommand>,
    /// Connections whose output has grown since it was last written.
    pub pending_writes: Vec<Slot>,
    attempts_per_connection: usize,
    connect_timeout: Duration,
    /// How long an engine keeps an idle connection open.
    idle_close: Duration,
    max_connections: usize,
    /// Whether a request may be sent again while its engine may still run a cancelled attempt of it.
    pub may_duplicate: bool,
}

impl EnginePool {
    /// Creates an empty pool. A connection carries up to `attempts_per_connection`, must be established and must
    /// answer a health check within `connect_timeout`, and is closed by its engine after `idle_close` without use.
    pub fn new(
        attempts_per_connection: usize,
        connect_timeout: Duration,
        idle_close: Duration,
        max_connections: usize,
    ) -> Self {
        Self {
            engines: BTreeMap::new(),
            engine_ids: BTreeMap::new(),
            next_engine: EngineId::default(),
            connections: Slots::default(),
            attempts: Slots::default(),
            events: VecDeque::new(),
            commands: VecDeque::new(),
            pending_writes: Vec::new(),
            attempts_per_connection,
            connect_timeout,
            idle_close,
            max_connections,
            may_duplicate: true,
        }
    }

    /// How much the pool holds.
    pub fn size(&self) -> PoolSize {
        PoolSize {
            engines: self.engines.len(),
            connections: self.connections.len(),
            attempts: self.attempts.len(),
        }
    }

    /// The connection that carries an attempt.
    pub fn connection_of(&self, attempt: Slot) -> Option<Slot> {
        self.attempts.get(attempt)?.connection
    }

    /// The index of an attempt among those in flight, for fingerprints.
    pub fn attempt_index(&self, attempt: Slot) -> Option<usize> {
        self.attempts.index_of(attempt)
    }

    /// The index of a connection among those held, for fingerprints.
    pub fn connection_index(&self, connection: Slot) -> Option<usize> {
        self.connections.index_of(connection)
    }

    /// Whether all output of all connections has been written.
    pub fn all_written(&self) -> bool {
        self.connections.iter().all(|(_, connection)| connection.output.is_empty())
    }
}

#[cfg(test)]
#[path = "../tests/unit/engine_pool.rs"]
mod tests;
