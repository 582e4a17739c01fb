//! The definition of a scenario of the connection model.

use std::time::Duration;

/// A message, or half of one, that the scripted engine sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineMessage {
    /// A result of one page.
    Result,
    /// The first page of a result with two pages.
    FirstOfTwoPages,
    /// The second page of a result with two pages.
    SecondPage,
    /// The rejection of a call by an overloaded engine.
    Overloaded,
    /// The report that a call has failed.
    Failed,
    /// A progress update of an unanswered call, at most one for each attempt.
    ProgressUpdate,
    /// A result of one page for a call to which the engine has already sent a result of one or two pages.
    RepeatedResult,
    /// A result under an id that no call has.
    UnknownId,
    /// The first half of the bytes of a result of one page; the second half may follow.
    FirstHalf,
    /// The second half of the bytes of a result.
    SecondHalf,
    /// Bytes that are not a message; the engine can send nothing after them on the connection.
    Malformed,
    /// A result of one page whose array announces three parts in place of four; the engine sends nothing after it.
    ShortArray,
    /// The first page of a result with two pages, with noise in place of the field that states their number; the engine
    /// sends nothing after it.
    NoisyFields,
    /// The first page of a result with two pages, larger than the protocol allows; the engine sends nothing after it.
    LargeFirstPage,
    /// The answer to a ping.
    Pong,
}

/// A change of the engine that the endpoint list reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointChange {
    /// The engine is draining: no new call may begin.
    Drains,
    /// The engine's process was restarted at its address.
    Restarts,
    /// The engine was removed from the list, and the pool has forgotten it.
    Removed,
    /// The engine was removed from the list, and another engine with another id has its address.
    Replaced,
}

/// A scenario of the connection model: its calls, and the possible behaviour of the engine.
pub struct ConnectionScenario {
    /// The name on the command line and in tests.
    pub name: &'static str,
    /// The description that the command `scenarios` prints.
    pub description: &'static str,
    /// Number of requests, which have the indices from 0 up.
    pub requests: usize,
    /// Largest number of attempts of each request.
    pub max_attempts: usize,
    /// The messages that the engine may send.
    pub messages: &'static [EngineMessage],
    /// Largest number of split answers, protocol violations and resets by the engine.
    pub max_faults: u8,
    /// The changes of the engine. The endpoint list reports at most one of them in a run.
    pub endpoint_changes: &'static [EndpointChange],
    /// Largest number of connections of the pool.
    pub max_connections: usize,
    /// Largest number of concurrent calls on a connection.
    pub max_calls_per_connection: usize,
    /// Number of bytes that a connection accepts before it blocks for the first time; `None` for no limit.
    pub initial_capacity: Option<usize>,
    /// Time after the start of an attempt from which its call must not be written; `None` for no limit.
    pub key_window: Option<Duration>,
    /// Whether attempts in flight may be cancelled.
    pub cancels: bool,
    /// Whether the option `--short` selects the scenario.
    pub in_short_set: bool,
}

impl ConnectionScenario {
    /// One request of two attempts on at most two connections, to an engine that sends nothing.
    pub const BASE: ConnectionScenario = ConnectionScenario {
        name: "base",
        description: "one request of two attempts to an engine that sends nothing",
        requests: 1,
        max_attempts: 2,
        messages: &[],
        max_faults: 0,
        endpoint_changes: &[],
        max_connections: 2,
        max_calls_per_connection: 2,
        initial_capacity: None,
        key_window: None,
        cancels: true,
        in_short_set: true,
    };
}
