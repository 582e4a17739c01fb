//! The scenarios of the connection model.

use super::scenario::{ConnectionScenario, EndpointChange, EngineMessage};
use std::time::Duration;

/// The messages that conform to the protocol, each in one piece.
const WELL_FORMED: &[EngineMessage] = &[
    EngineMessage::Result,
    EngineMessage::FirstOfTwoPages,
    EngineMessage::SecondPage,
    EngineMessage::Overloaded,
    EngineMessage::Failed,
    EngineMessage::ProgressUpdate,
    EngineMessage::Pong,
];

/// Time after the start of an attempt from which its call must not be written, shorter than a call's timeout.
const KEY_WINDOW: Duration = Duration::from_millis(300);

/// All scenarios of the connection model.
pub const SCENARIOS: &[ConnectionScenario] = &[
    ConnectionScenario {
        name: "a connection's answers",
        description: "one request with two attempts, every message, cancelled calls, an engine that drains, restarts, or is removed or replaced",
        messages: WELL_FORMED,
        endpoint_changes: &[
            EndpointChange::Drains,
            EndpointChange::Restarts,
            EndpointChange::Removed,
            EndpointChange::Replaced,
        ],
        ..ConnectionScenario::BASE
    },
    ConnectionScenario {
        name: "a connection's faults",
        description: "one request with two attempts and two faults: split, repeated, unknown or malformed answers, and resets",
        messages: &[
            EngineMessage::Result,
            EngineMessage::FirstOfTwoPages,
            EngineMessage::SecondPage,
            EngineMessage::Pong,
            EngineMessage::RepeatedResult,
            EngineMessage::UnknownId,
            EngineMessage::FirstHalf,
            EngineMessage::SecondHalf,
            EngineMessage::Malformed,
        ],
        max_faults: 2,
        ..ConnectionScenario::BASE
    },
    ConnectionScenario {
        name: "a connection's spoilt answers",
        description: "one request with two attempts and two faults: answers with a wrong length, noise or a page over its size, and resets",
        messages: &[
            EngineMessage::Result,
            EngineMessage::FirstOfTwoPages,
            EngineMessage::SecondPage,
            EngineMessage::Failed,
            EngineMessage::Pong,
            EngineMessage::ShortArray,
            EngineMessage::NoisyFields,
            EngineMessage::LargeFirstPage,
        ],
        max_faults: 2,
        ..ConnectionScenario::BASE
    },
    ConnectionScenario {
        name: "a shared connection",
        description: "two requests on one connection, cancellations and one fault",
        requests: 2,
        max_attempts: 1,
        messages: &[
            EngineMessage::Result,
            EngineMessage::FirstOfTwoPages,
            EngineMessage::SecondPage,
            EngineMessage::Pong,
            EngineMessage::RepeatedResult,
            EngineMessage::UnknownId,
            EngineMessage::Malformed,
        ],
        max_faults: 1,
        max_connections: 1,
        in_short_set: false,
        ..ConnectionScenario::BASE
    },
    ConnectionScenario {
        name: "a narrow connection",
        description: "one request with two attempts and key windows on sockets that block after ten bytes, a drain or a restart, one reset",
        messages: &[EngineMessage::Result, EngineMessage::Pong],
        max_faults: 1,
        endpoint_changes: &[EndpointChange::Drains, EndpointChange::Restarts],
        initial_capacity: Some(10),
        key_window: Some(KEY_WINDOW),
        ..ConnectionScenario::BASE
    },
    ConnectionScenario {
        name: "two on a narrow connection",
        description: "two requests on one connection that is blocked from the start, a drain",
        requests: 2,
        max_attempts: 1,
        messages: &[EngineMessage::Result, EngineMessage::Pong],
        endpoint_changes: &[EndpointChange::Drains],
        max_connections: 1,
        initial_capacity: Some(0),
        ..ConnectionScenario::BASE
    },
];
