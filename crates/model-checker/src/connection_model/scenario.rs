//! The shape of a scenario of the connection model.

/// What an engine may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineMessage {
    /// A result of one page.
    Result,
    /// The first page of a result of two.
    FirstOfTwoPages,
    /// The second page of a result of two.
    SecondPage,
    /// The call is shed.
    Shed,
    /// The call has failed.
    Fault,
    /// A progress note.
    ProgressUpdate,
    /// A complete result once more, whether the first had one page or two.
    RepeatedResult,
    /// A result under an id that no call has.
    UnknownId,
    /// The first half of a result; the rest may follow.
    FirstHalf,
    /// The rest of a result.
    SecondHalf,
    /// Bytes that are no message.
    Malformed,
    /// The answer to a ping.
    Pong,
}

/// What the endpoint list may report of the engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointChange {
    /// It drains.
    Drains,
    /// Its process was started anew at its address.
    Restarts,
    /// It is no longer listed, and its number may be reused.
    Removed,
    /// It is no longer listed, and another engine has its address under an id of its own.
    Replaced,
}

/// A scenario of the connection model: which calls there are, and what the engine may do.
pub struct ConnectionScenario {
    /// The name by which the command line and tests know it.
    pub name: &'static str,
    /// What happens in it, in a sentence.
    pub description: &'static str,
    /// How many requests there are.
    pub requests: usize,
    /// How many attempts each request may have.
    pub max_attempts: usize,
    /// What the engine may send.
    pub messages: &'static [EngineMessage],
    /// How often the engine may break the protocol or reset a connection.
    pub max_faults: u8,
    /// What the endpoint list may report, once.
    pub endpoint_changes: &'static [EndpointChange],
    /// How many connections the pool may have.
    pub max_connections: usize,
    /// How many calls one connection carries.
    pub streams: usize,
    /// Bytes that a connection takes before it blocks the first time; `None` for any number.
    pub initial_capacity: Option<usize>,
    /// Whether attempts may be cancelled.
    pub cancels: bool,
    /// Whether it belongs to the short set.
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
