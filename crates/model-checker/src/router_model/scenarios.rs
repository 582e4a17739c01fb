//! The scenarios of the router model.

use super::scenario::{ClientLine, RouterScenario};

const IDEMPOTENT: ClientLine = ClientLine::Request { id: 1, class: "lookup", request_number: 1 };
const NON_IDEMPOTENT: ClientLine = ClientLine::Request { id: 1, class: "post", request_number: 1 };
const IDEMPOTENT_WITH_KEY: ClientLine = ClientLine::Request { id: 1, class: "book", request_number: 1 };
/// The request of [`NON_IDEMPOTENT`], sent again in another JSON-RPC message.
const NON_IDEMPOTENT_AGAIN: ClientLine = ClientLine::Request { id: 2, class: "post", request_number: 1 };
/// A second request of the client that sends [`NON_IDEMPOTENT`].
const SECOND_IDEMPOTENT: ClientLine = ClientLine::Request { id: 2, class: "lookup", request_number: 2 };
/// The first request of a second client.
const IDEMPOTENT_OF_SECOND_CLIENT: ClientLine =
    ClientLine::Request { id: 1, class: "lookup", request_number: 2 };
const CANCEL: ClientLine = ClientLine::Cancel { request_number: 1 };
/// Depth to which "an open request sent again" is explored, in transitions.
const RESENT_REQUEST_DEPTH: usize = 12;
/// Depth to which the scenarios with two open requests are explored, in transitions.
const TWO_REQUESTS_DEPTH: usize = 9;

/// All scenarios of the router model.
pub const SCENARIOS: &[RouterScenario] = &[
    RouterScenario {
        name: "one client",
        description: "a client that sends and cancels a request and disconnects in any order, possibly at the time of the answer",
        client_lines: &[&[IDEMPOTENT, CANCEL]],
        clients_leave: true,
        ..RouterScenario::BASE
    },
    RouterScenario {
        name: "an open request sent again",
        description: "a client that sends an open non-idempotent request again under another message id",
        client_lines: &[&[NON_IDEMPOTENT, NON_IDEMPOTENT_AGAIN]],
        max_depth: Some(RESENT_REQUEST_DEPTH),
        in_short_set: false,
        ..RouterScenario::BASE
    },
    RouterScenario {
        name: "a slow reader",
        description: "a client that stops reading after ten bytes, cancels and disconnects in any order",
        client_lines: &[&[IDEMPOTENT, CANCEL]],
        clients_leave: true,
        slow_readers: true,
        ..RouterScenario::BASE
    },
    RouterScenario {
        name: "two clients",
        description: "a client that sends a non-idempotent request while another sends a malformed line and disconnects",
        client_lines: &[&[NON_IDEMPOTENT], &[ClientLine::Malformed]],
        clients_leave: true,
        max_faults: 1,
        ..RouterScenario::BASE
    },
    RouterScenario {
        name: "shutdown of the router",
        description: "a non-idempotent request, a reset, a draining engine and a graceful shutdown",
        client_lines: &[&[NON_IDEMPOTENT]],
        max_faults: 1,
        drains: true,
        terminates: true,
        ..RouterScenario::BASE
    },
    RouterScenario {
        name: "shutdown, two requests",
        description: "a non-idempotent and an idempotent request during a graceful shutdown",
        client_lines: &[&[NON_IDEMPOTENT, SECOND_IDEMPOTENT]],
        terminates: true,
        max_depth: Some(TWO_REQUESTS_DEPTH),
        in_short_set: false,
        ..RouterScenario::BASE
    },
    RouterScenario {
        name: "two engines",
        description: "one idempotent request at two engines, a drain, resets and a client that cancels",
        engines: 2,
        client_lines: &[&[IDEMPOTENT, CANCEL]],
        max_faults: 2,
        drains: true,
        in_short_set: false,
        ..RouterScenario::BASE
    },
    RouterScenario {
        name: "lines in pieces",
        description: "a client whose lines arrive in two pieces, with time, a close or a reset between them",
        client_lines: &[&[IDEMPOTENT, CANCEL]],
        clients_leave: true,
        split_lines: true,
        ..RouterScenario::BASE
    },
    RouterScenario {
        name: "a line without end",
        description: "a client that sends a request and an endless line, and another client that sends a request",
        client_lines: &[&[IDEMPOTENT, ClientLine::Endless], &[IDEMPOTENT_OF_SECOND_CLIENT]],
        max_depth: Some(TWO_REQUESTS_DEPTH),
        in_short_set: false,
        ..RouterScenario::BASE
    },
    RouterScenario {
        name: "shutdown, idempotency key",
        description: "a request with an idempotency key whose connection may break during a graceful shutdown",
        engines: 2,
        client_lines: &[&[IDEMPOTENT_WITH_KEY]],
        max_faults: 1,
        terminates: true,
        ..RouterScenario::BASE
    },
    RouterScenario {
        name: "idempotency key, late write",
        description: "a request with an idempotency key whose retry waits for its connection, and a router that stands still twice",
        engines: 2,
        client_lines: &[&[IDEMPOTENT_WITH_KEY]],
        max_stalls: 2,
        ..RouterScenario::BASE
    },
];
