//! The shape of a scenario of the connection model.

/// A message of the engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineMessage {
    /// A result of one page.
    Result,
    /// The first page of a result with two pages.
    FirstOfTwoPages,
    /// The second page of a result with two pages.
    SecondPage,
    /// The rejection of a call by an engine without capacity.
    Overloaded,
    /// The failure of a call.
    Failed,
    /// A progress update.
    ProgressUpdate,
    /// A second complete result, after one of one page or of two.
    RepeatedResult,
    /// A result with an id that no call has.
    UnknownId,
    /// The first half of a result; the second half may follow.
    FirstHalf,
    /// The second half of a result.
    SecondHalf,
    /// Bytes that are not a message.
    Malformed,
    /// The answer to a ping.
    Pong,
}

/// A change of the engine that the endpoint list reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointChange {
    /// The engine is draining.
    Drains,
    /// The engine's process was restarted at its address.
    Restarts,
    /// The engine was removed from the list, and its number may be reused.
    Removed,
    /// The engine was removed from the list, and another engine with another id has its address.
    Replaced,
}

/// A scenario of the connection model: its calls, and the possible behaviour of the engine.
pub struct ConnectionScenario {
    /// The name on the command line and in tests.
    pub name: &'static str,
    /// A description in one sentence.
    pub description: &'static str,
    /// Number of requests.
    pub requests: usize,
    /// Largest number of attempts of each request.
    pub max_attempts: usize,
    /// The messages that the engine may send.
    pub messages: &'static [EngineMessage],
    /// Largest number of protocol violations and resets by the engine.
    pub max_faults: u8,
    /// The changes of which the endpoint list may report one.
    pub endpoint_changes: &'static [EndpointChange],
    /// Largest number of connections of the pool.
    pub max_connections: usize,
    /// Largest number of concurrent calls on a connection.
    pub streams: usize,
    /// Number of bytes that a connection accepts before it blocks for the first time; `None` for no limit.
    pub initial_capacity: Option<usize>,
    /// Whether attempts may be cancelled.
    pub cancels: bool,
    /// Whether the scenario belongs to the short set.
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
        streams: 2,
        initial_capacity: None,
        cancels: true,
        in_short_set: true,
    };
}
