//! The invariants of the router model, one function each.

use super::scenario::RouterScenario;
use super::state::{Event, RouterState};
use crate::invariants::Invariant;
use emberflow_router::engine_pool::PoolSize;
use std::time::Duration;

/// All invariants of the router model.
pub const INVARIANTS: &[Invariant<RouterScenario>] = &[
    Invariant {
        name: "one line",
        description: "a request gets at most one answer, and every answer belongs to a request of the client",
        is_violated: answers_twice,
    },
    Invariant {
        name: "a line in time",
        description: "a request is answered before its deadline, unless its client has cancelled it or disconnected",
        is_violated: answers_late,
    },
    Invariant {
        name: "unaltered result",
        description: "a result is an engine's answer to the request",
        is_violated: alters_result,
    },
    Invariant {
        name: "runs once",
        description: "a non-idempotent request arrives at an engine again only if all its earlier calls were rejected as overloaded",
        is_violated: runs_again,
    },
    Invariant {
        name: "remembered key",
        description: "a request with an idempotency key that may have run arrives at an engine again only while engines remember the key",
        is_violated: runs_after_key_window,
    },
    Invariant {
        name: "no call after the end",
        description: "nothing is sent for a request that was answered or cancelled",
        is_violated: calls_for_closed_request,
    },
    Invariant {
        name: "no call for a departed client",
        description: "nothing is sent for a client that has closed its write side",
        is_violated: calls_for_departed_client,
    },
    Invariant {
        name: "isolated clients",
        description: "the input of a client closes no other client's connection",
        is_violated: closes_another_client,
    },
    Invariant {
        name: "clean router",
        description: "at the end no client, request, attempt, connection or timer remains",
        is_violated: retains_state_at_end,
    },
];

fn answers_twice(_: &RouterScenario, state: &RouterState, event: &Event) -> bool {
    let Event::ClientReceives { request, .. } = event else { return false };
    request.is_none_or(|request| state.requests[request].answers > 0)
}

fn answers_late(_: &RouterScenario, state: &RouterState, event: &Event) -> bool {
    let is_open_after =
        |at: Duration| state.requests.iter().any(|request| request.deadline <= at && state.is_open(request));
    match event {
        Event::TimePasses { to } => is_open_after(*to),
        Event::Terminal => is_open_after(Duration::MAX),
        _ => false,
    }
}

fn alters_result(_: &RouterScenario, state: &RouterState, event: &Event) -> bool {
    let Event::ClientReceives { request: Some(request), rows: Some(rows) } = event else { return false };
    let number = state.requests[*request].request_number;
    let mut results = state.results.iter().filter(|result| result.request_number == number);
    !results.any(|result| result.rows.as_bytes() == rows)
}

fn runs_again(_: &RouterScenario, state: &RouterState, event: &Event) -> bool {
    let Event::CallArrives { request_number } = event else { return false };
    // An answered request with the same number counts as a different request.
    let Some(request) = state.open_request(*request_number) else { return false };
    let has_run = state.calls.iter().any(|call| call.request == Some(request) && call.may_have_run);
    state.requests[request].is_non_idempotent && has_run
}

fn runs_after_key_window(_: &RouterScenario, state: &RouterState, event: &Event) -> bool {
    let Event::CallArrives { request_number } = event else { return false };
    let Some(request) = state.open_request(*request_number) else { return false };
    state.key_window_left(request) == Some(Duration::ZERO)
}

fn calls_for_closed_request(_: &RouterScenario, state: &RouterState, event: &Event) -> bool {
    let Event::CallArrives { request_number } = event else { return false };
    state.open_request(*request_number).is_none()
}

fn calls_for_departed_client(_: &RouterScenario, state: &RouterState, event: &Event) -> bool {
    let Event::CallArrives { request_number } = event else { return false };
    let Some(request) = state.open_request(*request_number) else { return false };
    state.clients[state.requests[request].client].is_write_closed
}

fn closes_another_client(_: &RouterScenario, _: &RouterState, event: &Event) -> bool {
    matches!(event, Event::ClientCloses { client, by } if client != by)
}

fn retains_state_at_end(_: &RouterScenario, state: &RouterState, event: &Event) -> bool {
    let dispatcher = &state.server.dispatcher;
    let PoolSize { connections, attempts, .. } = dispatcher.engines.size();
    let timers = dispatcher.context.timers.len();
    let clients = dispatcher.clients.table.len();
    let is_empty = connections + attempts + timers + clients + state.engine_peers.len() == 0
        && dispatcher.requests.is_empty();
    matches!(event, Event::Terminal) && !state.server.has_stopped() && !is_empty
}
