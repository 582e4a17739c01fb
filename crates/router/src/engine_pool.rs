//! Connections to engines and the attempts sent over them.
//!
//! [`EnginePool`] is a state machine without sockets or a clock. Its inputs are endpoint records, received bytes and
//! times; its outputs are bytes to write, [`PoolCommand`]s and [`PoolEvent`]s. The scheduler selects the engine of each
//! attempt, and the dispatcher answers the clients.

mod attempt;
mod attempt_lifecycle;
mod byte_account;
mod commands;
mod connection;
mod connection_lifecycle;
mod endpoints;
mod fingerprint;
mod health_check;
mod protocol_error;
mod replies;
mod reply;
mod reply_fields;
mod result_pages;
mod write_queue;

pub use attempt::Call;
pub use connection::Reachability;
pub use protocol_error::EngineProtocolError;

use crate::slots::{Slot, SlotMap};
use attempt::Attempt;
use byte_account::ByteAccount;
use connection::Connection;
use emberflow::{AttemptEnded, EngineId, ProgressUpdate, RequestId};
use endpoints::Engine;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// An event of an attempt, to be passed on to the scheduler.
#[derive(Clone)]
pub enum PoolEvent {
    /// An attempt has ended.
    Ended {
        /// The attempt, its outcome, and the usage and load that the engine reported.
        ended: AttemptEnded,
        /// The result, if the attempt succeeded.
        body: Option<Vec<u8>>,
        /// The connection on which the engine may still reply to the attempt; `None` if no reply can follow.
        late_connection: Option<Slot>,
    },
    /// The first byte of an attempt's call was written.
    Written {
        /// The request that the attempt serves.
        request: RequestId,
        /// The attempt's number within its request.
        attempt: usize,
        /// The time of the write.
        at: Duration,
    },
    /// An engine reported the progress of an attempt.
    Progress {
        /// The request that the attempt serves.
        request: RequestId,
        /// The attempt's number within its request.
        attempt: usize,
        /// The state or the completed fraction of the attempt, as the engine reported it.
        progress: ProgressUpdate,
    },
}

/// An operation on sockets, which the owner of the sockets carries out for the pool. Operations are carried out in
/// order.
#[derive(Clone)]
pub enum PoolCommand {
    /// Dial the address, and report the outcome for the connection.
    Dial(Slot, SocketAddr),
    /// Close the socket of a connection.
    Close(Slot),
}

/// The number of engines, connections and attempts in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSize {
    /// Number of engines, including those that are draining or no longer listed.
    pub engines: usize,
    /// Number of connections, including those that are not established yet.
    pub connections: usize,
    /// Number of attempts that have not ended, including those whose calls are not written yet.
    pub attempts: usize,
}

/// The bytes of memory that a pool holds in its buffers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolBytes {
    /// Capacity of the buffers for the input of all connections.
    pub input: usize,
    /// Capacity of the buffers for the output of all connections.
    pub output: usize,
    /// Pages of results of which other pages are still missing.
    pub results: usize,
}

/// All engines known to a router, the connections to them and the attempts in flight.
#[derive(Clone)]
pub struct EnginePool {
    engines: BTreeMap<EngineId, Engine>,
    /// The scheduler's ids of the engines, by their ids in the endpoint list.
    engine_ids: BTreeMap<u32, EngineId>,
    /// The id of the next engine that is added.
    next_engine_id: EngineId,
    connections: SlotMap<Connection>,
    attempts: SlotMap<Attempt>,
    /// Events to be passed on to the scheduler, in order.
    pub events: VecDeque<PoolEvent>,
    /// Operations to be carried out by the owner of the sockets, in order.
    pub commands: VecDeque<PoolCommand>,
    /// Connections whose output has grown since it was last written.
    pub pending_writes: Vec<Slot>,
    attempts_per_connection: usize,
    connect_timeout: Duration,
    /// Time after which engines close an idle connection.
    idle_close: Duration,
    max_connections: usize,
    /// The bytes of the results of all attempts in flight.
    result_bytes: ByteAccount,
    /// Whether a request may be sent again while an engine may still be running its cancelled attempt.
    pub allows_concurrent_attempts: bool,
}

impl EnginePool {
    /// Creates an empty pool. A connection carries up to `attempts_per_connection` attempts at a time. It must be
    /// established, and must answer each health check, within `connect_timeout`. Its engine closes it once it was idle
    /// for `idle_close`.
    pub fn new(
        attempts_per_connection: usize,
        connect_timeout: Duration,
        idle_close: Duration,
        max_connections: usize,
    ) -> Self {
        Self {
            engines: BTreeMap::new(),
            engine_ids: BTreeMap::new(),
            next_engine_id: EngineId::default(),
            connections: SlotMap::default(),
            attempts: SlotMap::default(),
            events: VecDeque::new(),
            commands: VecDeque::new(),
            pending_writes: Vec::new(),
            attempts_per_connection,
            connect_timeout,
            idle_close,
            max_connections,
            result_bytes: ByteAccount::with_limit(usize::MAX),
            allows_concurrent_attempts: true,
        }
    }

    /// Limits the bytes of the results of all attempts in flight, which are unlimited in a new pool. Must be called
    /// before the first attempt.
    pub fn limit_result_bytes(&mut self, max_bytes: usize) {
        self.result_bytes = ByteAccount::with_limit(max_bytes);
    }

    /// Returns the number of engines, connections and attempts.
    pub fn size(&self) -> PoolSize {
        PoolSize {
            engines: self.engines.len(),
            connections: self.connections.len(),
            attempts: self.attempts.len(),
        }
    }

    /// Returns the bytes in the buffers of connections and attempts.
    pub fn bytes(&self) -> PoolBytes {
        let mut bytes = PoolBytes { results: self.result_bytes.used(), ..PoolBytes::default() };
        for (_, connection) in self.connections.iter() {
            bytes.input += connection.input.capacity();
            bytes.output += connection.output.capacity();
        }
        bytes
    }

    /// Returns the connection that carries an attempt; `None` if the attempt has ended or has no connection.
    pub fn connection_of(&self, attempt: Slot) -> Option<Slot> {
        self.attempts.get(attempt)?.connection
    }

    /// Returns the index of an attempt among the attempts in flight, for fingerprints.
    pub fn attempt_position(&self, attempt: Slot) -> Option<usize> {
        self.attempts.position_of(attempt)
    }

    /// Returns the index of a connection among the open connections, for fingerprints.
    pub fn connection_position(&self, connection: Slot) -> Option<usize> {
        self.connections.position_of(connection)
    }

    /// Whether all output of all connections has been written.
    pub fn all_written(&self) -> bool {
        self.connections.iter().all(|(_, connection)| connection.output.is_empty())
    }
}

#[cfg(test)]
#[path = "../tests/unit/engine_pool.rs"]
mod tests;
