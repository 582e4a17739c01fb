//! The scenarios of the router model.

use super::scenario::{ClientLine, RouterScenario};

const IDEMPOTENT: ClientLine = ClientLine::Request { id: 1, class: "lookup", req: 1 };
const NON_IDEMPOTENT: ClientLine = ClientLine::Request { id: 1, class: "post", req: 1 };
const KEYED: ClientLine = ClientLine::Request { id: 1, class: "book", req: 1 };
const WITHDRAW: ClientLine = ClientLine::Withdraw { req: 1 };

/// All scenarios of the router model.
pub const SCENARIOS: &[RouterScenario] = &[
    RouterScenario {
        name: "one client",
        description: "a client that sends a request, withdraws it and leaves in any order, with the answer in the same instant",
        client_lines: &[&[IDEMPOTENT, WITHDRAW]],
        clients_leave: true,
        ..RouterScenario::BASE
    },
    RouterScenario {
        name: "an open request again",
        description: "a client that sends an open non-idempotent request again under another id",
        client_lines: &[&[NON_IDEMPOTENT, ClientLine::Request { id: 2, class: "post", req: 1 }]],
        max_depth: Some(12),
        in_short_set: false,
        ..RouterScenario::BASE
    },
    RouterScenario {
        name: "a slow reader",
        description: "a client that reads ten bytes of its answers at first, withdraws and leaves in any order",
        client_lines: &[&[IDEMPOTENT, WITHDRAW]],
        clients_leave: true,
        slow_readers: true,
        ..RouterScenario::BASE
    },
    RouterScenario {
        name: "two clients",
        description: "a client that posts while another sends a malformed line and leaves",
        client_lines: &[&[NON_IDEMPOTENT], &[ClientLine::Malformed]],
        clients_leave: true,
        max_faults: 1,
        ..RouterScenario::BASE
    },
    RouterScenario {
        name: "a planned restart",
        description: "a non-idempotent request, a reset, a drain and the end of the process",
        client_lines: &[&[NON_IDEMPOTENT]],
        max_faults: 1,
        drains: true,
        restarts: true,
        ..RouterScenario::BASE
    },
    RouterScenario {
        name: "a restart under two",
        description: "a non-idempotent and an idempotent request when the process ends",
        client_lines: &[&[NON_IDEMPOTENT, ClientLine::Request { id: 2, class: "lookup", req: 2 }]],
        restarts: true,
        max_depth: Some(9),
        in_short_set: false,
        ..RouterScenario::BASE
    },
    RouterScenario {
        name: "two engines",
        description: "one idempotent request between two engines, a drain, resets, a client that withdraws",
        engines: 2,
        client_lines: &[&[IDEMPOTENT, WITHDRAW]],
        max_faults: 2,
        drains: true,
        in_short_set: false,
        ..RouterScenario::BASE
    },
    RouterScenario {
        name: "lines in pieces",
        description: "a client whose lines come in two pieces, and time, a close or a reset between them",
        client_lines: &[&[IDEMPOTENT, WITHDRAW]],
        clients_leave: true,
        split_lines: true,
        ..RouterScenario::BASE
    },
    RouterScenario {
        name: "a line without end",
        description: "a client that sends a request and a line that never ends, beside one that sends a request",
        client_lines: &[
            &[IDEMPOTENT, ClientLine::Endless],
            &[ClientLine::Request { id: 1, class: "lookup", req: 2 }],
        ],
        max_depth: Some(9),
        in_short_set: false,
        ..RouterScenario::BASE
    },
    RouterScenario {
        name: "a restart under a booking",
        description: "a request with an idempotency key whose connection may break when the process ends",
        engines: 2,
        client_lines: &[&[KEYED]],
        max_faults: 1,
        restarts: true,
        ..RouterScenario::BASE
    },
];
