//! The invariants of the connection model, one function each.

use super::scenario::ConnectionScenario;
use super::state::{Cause, ConnectionState, Event, page};
use crate::invariants::Invariant;
use emberflow::AttemptOutcome;
use emberflow_router::engine_pool::PoolSize;

/// Largest size of a page, by the protocol.
const MAX_PAGE_BYTES: usize = 6_000;
/// Largest number of pages of a result in the scenarios.
const MAX_PAGES: usize = 2;

/// All invariants of the connection model.
pub const INVARIANTS: &[Invariant<ConnectionScenario>] = &[
    Invariant {
        name: "one end",
        description: "every attempt ends exactly once, and by its deadline",
        is_violated: ends_twice_or_late,
    },
    Invariant {
        name: "truthful outcome",
        description: "an attempt whose outcome says that it never ran has not arrived completely at an engine",
        is_violated: misreports_arrival,
    },
    Invariant {
        name: "arrives once",
        description: "a call arrives completely at an engine at most once",
        is_violated: arrives_again,
    },
    Invariant {
        name: "complete result",
        description: "a result is exactly the complete answer of an engine to the attempt",
        is_violated: alters_result,
    },
    Invariant {
        name: "matching answer",
        description: "a well-formed answer ends only the attempt that it answers",
        is_violated: ends_another_attempt,
    },
    Invariant {
        name: "bounded results",
        description: "the pool holds at most two pages of the protocol's size for each attempt in flight",
        is_violated: holds_too_much,
    },
    Invariant {
        name: "no call after a drain",
        description: "the router does not begin a call to an engine that was reported as draining",
        is_violated: begins_call_after_drain,
    },
    Invariant {
        name: "no overdue call",
        description: "no call arrives completely after the window of its key, or more than 100 ms after the end of its attempt",
        is_violated: delivers_overdue_call,
    },
    Invariant {
        name: "clean pool",
        description: "at the end no attempt, connection, timer or byte of a result remains",
        is_violated: retains_state_at_end,
    },
];

fn ends_twice_or_late(_: &ConnectionScenario, state: &ConnectionState, event: &Event) -> bool {
    let mut open = state.attempts.iter().filter(|attempt| attempt.outcome.is_none());
    match event {
        Event::AttemptEnds { attempt, .. } => state.attempts[*attempt].outcome.is_some(),
        Event::Terminal => open.next().is_some(),
        Event::TimePasses { to } => open.any(|attempt| attempt.deadline < *to),
        Event::CallArrives { .. } | Event::CallBegins | Event::RepliesRead { .. } => false,
    }
}

fn misreports_arrival(_: &ConnectionScenario, state: &ConnectionState, event: &Event) -> bool {
    let Event::AttemptEnds { attempt, outcome, .. } = event else { return false };
    let never_sent =
        matches!(outcome, AttemptOutcome::NotSent | AttemptOutcome::Unreachable | AttemptOutcome::Lapsed(_));
    never_sent && state.attempts[*attempt].arrivals > 0
}

fn arrives_again(_: &ConnectionScenario, state: &ConnectionState, event: &Event) -> bool {
    matches!(event, Event::CallArrives { attempt } if state.attempts[*attempt].arrivals > 0)
}

fn alters_result(_: &ConnectionScenario, state: &ConnectionState, event: &Event) -> bool {
    let Event::AttemptEnds { attempt, outcome, body, .. } = event else { return false };
    let has_succeeded = *outcome == AttemptOutcome::Succeeded;
    let Some(body) = body else { return has_succeeded };
    let attempt = &state.attempts[*attempt];
    let pages = attempt.pages.unwrap_or(0);
    let expected_body: String =
        (0..pages).map(|index| page(attempt.request, attempt.number, index)).collect();
    !has_succeeded || pages == 0 || body != expected_body.as_bytes()
}

fn ends_another_attempt(_: &ConnectionScenario, _: &ConnectionState, event: &Event) -> bool {
    let Event::AttemptEnds { attempt, cause, .. } = event else { return false };
    match cause {
        Cause::Unspecified => false,
        Cause::AnswerTo(answered) => attempt != answered,
        Cause::AnswerToNone => true,
    }
}

fn holds_too_much(_: &ConnectionScenario, state: &ConnectionState, event: &Event) -> bool {
    let Event::RepliesRead { bytes_held } = event else { return false };
    let in_flight = state.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count();
    *bytes_held > in_flight * MAX_PAGES * MAX_PAGE_BYTES
}

fn begins_call_after_drain(_: &ConnectionScenario, state: &ConnectionState, event: &Event) -> bool {
    matches!(event, Event::CallBegins) && !state.engine_is_ready
}

fn delivers_overdue_call(_: &ConnectionScenario, state: &ConnectionState, event: &Event) -> bool {
    matches!(event, Event::CallArrives { attempt } if state.is_call_overdue(&state.attempts[*attempt]))
}

fn retains_state_at_end(_: &ConnectionScenario, state: &ConnectionState, event: &Event) -> bool {
    let PoolSize { connections, attempts, .. } = state.engines.size();
    let remaining = connections + attempts + state.context.timers.len() + state.engine_sides.len();
    matches!(event, Event::Terminal) && (remaining > 0 || state.engines.bytes().results > 0)
}
