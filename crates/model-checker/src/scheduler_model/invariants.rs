//! The invariants of the scheduler model, one function each.

use super::SchedulerModel;
use super::event::{Event, EventLog};
use super::state::{KeyCooldown, RequestRecord, SchedulerModelState, SentWork};
use crate::invariants::Invariant;
use emberflow::{EndpointUpdate, Idempotency, KeyId, KeyScope, Lifecycle, RequestId};
use std::time::Duration;

/// Relative tolerance for the rounding of sums of work.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// All invariants of the scheduler model. If an event violates several, the first is reported.
pub const INVARIANTS: &[Invariant<SchedulerModel>] = &[
    Invariant {
        name: "one answer",
        description: "no request gets a second final answer",
        is_violated: answers_twice,
    },
    Invariant {
        name: "in time",
        description: "a request is answered before its deadline and before the process ends",
        is_violated: answers_late,
    },
    Invariant {
        name: "nothing after",
        description: "nothing is sent for a request after its answer",
        is_violated: sends_after_answer,
    },
    Invariant {
        name: "one attempt in flight",
        description: "a request has at most one attempt in flight",
        is_violated: sends_second_attempt,
    },
    Invariant {
        name: "non-idempotent",
        description: "a non-idempotent request that may have run is not sent again",
        is_violated: repeats_non_idempotent,
    },
    Invariant {
        name: "idempotency key",
        description: "a request with an idempotency key that may have run is sent again only within the key's scope and window",
        is_violated: repeats_outside_scope_or_window,
    },
    Invariant {
        name: "safe rejection",
        description: "a request is rejected only if the client may safely retry it, with an idempotency key also after the time that the rejection names",
        is_violated: rejects_unsafely,
    },
    Invariant {
        name: "stated key window",
        description: "an attempt of a request that may have run states by when it must be written, which is before the end of the key's window",
        is_violated: states_no_key_window,
    },
    Invariant {
        name: "draining",
        description: "no attempt is sent to an engine that is draining or removed",
        is_violated: sends_to_draining_engine,
    },
    Invariant {
        name: "slow start",
        description: "an engine that is warming up gets at most this router's part of its budget of work in any overload window",
        is_violated: overloads_warming_engine,
    },
    Invariant {
        name: "key order",
        description: "requests of one key whose class keeps order run one at a time, in the order of arrival",
        is_violated: sends_out_of_order,
    },
    Invariant {
        name: "key cooldown",
        description: "no request of a key is sent during the cooldown after an attempt that may still run",
        is_violated: sends_during_cooldown,
    },
    Invariant {
        name: "placement",
        description: "every attempt is sent to an engine of the kinds and locations of its request class",
        is_violated: sends_outside_placement,
    },
    Invariant {
        name: "attempt limit",
        description: "a request has no more attempts than the settings allow",
        is_violated: exceeds_attempt_limit,
    },
    Invariant {
        name: "retry budget",
        description: "the retries in any window stay within the retry budget",
        is_violated: exceeds_retry_budget,
    },
    Invariant {
        name: "cancel",
        description: "an attempt is cancelled only while it is in flight, at most once, and only if the settings allow cancellation",
        is_violated: cancels_invalidly,
    },
    Invariant {
        name: "grant",
        description: "a memory grant is at most the largest grant that an engine kind allows",
        is_violated: grants_too_much,
    },
    Invariant {
        name: "wake-ups",
        description: "time passes with an open request only if a wake-up is requested",
        is_violated: lacks_wake_up,
    },
    Invariant {
        name: "clean end",
        description: "at the end of a run no request, attempt or removed engine remains",
        is_violated: retains_state_at_end,
    },
];

fn record<'a>(state: &'a SchedulerModelState, request: &RequestId) -> &'a RequestRecord {
    &state.requests[request.index()]
}

/// Returns the request of which the event sends an attempt, if the request is queued. Other requests violate other
/// invariants.
fn sent_request<'a>(state: &'a SchedulerModelState, event: &Event) -> Option<&'a RequestRecord> {
    let Event::Send { request, .. } = event else { return None };
    Some(record(state, request)).filter(|record| record.is_queued())
}

fn answers_twice(_: &SchedulerModel, state: &SchedulerModelState, event: &Event) -> bool {
    match event {
        Event::Reject { request, .. } | Event::Fail { request } | Event::Serve { request } => {
            !record(state, request).is_open()
        }
        _ => false,
    }
}

fn answers_late(_: &SchedulerModel, state: &SchedulerModelState, event: &Event) -> bool {
    let Event::TimePasses { to } = event else { return false };
    let is_late = |request: &RequestRecord| {
        request.is_open()
            && (request.deadline <= *to || state.shutdown_deadline.is_some_and(|deadline| deadline <= *to))
    };
    // Without a requested wake-up, `lacks_wake_up` is violated instead.
    !state.wake_ups.is_empty() && state.requests.iter().any(is_late)
}

fn sends_after_answer(_: &SchedulerModel, state: &SchedulerModelState, event: &Event) -> bool {
    matches!(event, Event::Send { request, .. } if !record(state, request).is_open())
}

fn sends_second_attempt(_: &SchedulerModel, state: &SchedulerModelState, event: &Event) -> bool {
    let Event::Send { request, .. } = event else { return false };
    let record = record(state, request);
    record.is_open() && record.in_flight().is_some()
}

fn repeats_non_idempotent(model: &SchedulerModel, state: &SchedulerModelState, event: &Event) -> bool {
    let Event::Send { request, .. } = event else { return false };
    let may_have_run =
        sent_request(state, event).is_some_and(|record| record.first_that_may_have_run().is_some());
    may_have_run && matches!(model.class_of(*request).idempotency, Idempotency::NonIdempotent)
}

fn repeats_outside_scope_or_window(
    model: &SchedulerModel,
    state: &SchedulerModelState,
    event: &Event,
) -> bool {
    let Event::Send { request, engine, .. } = event else { return false };
    let Some(first) = sent_request(state, event).and_then(RequestRecord::first_that_may_have_run) else {
        return false;
    };
    let Idempotency::IdempotentWithKey { scope, window } = &model.class_of(*request).idempotency else {
        return false;
    };
    let (first_engine, engine) = (model.engines[first.engine.index()], model.engines[engine.index()]);
    let knows_key = match scope {
        KeyScope::All => true,
        KeyScope::Location => first_engine.location == engine.location,
        KeyScope::Cell => first_engine.cell == engine.cell,
    };
    !knows_key || state.now >= first.sent_at + *window
}

fn rejects_unsafely(model: &SchedulerModel, state: &SchedulerModelState, event: &Event) -> bool {
    let Event::Reject { request, retry_after } = event else { return false };
    let record = record(state, request);
    let Some(first) = record.first_that_may_have_run() else { return false };
    let retry_at = state.now + retry_after.unwrap_or_default();
    let may_be_repeated = match &model.class_of(*request).idempotency {
        Idempotency::Idempotent => true,
        Idempotency::IdempotentWithKey { scope: KeyScope::All, window } => retry_at < first.sent_at + *window,
        Idempotency::IdempotentWithKey { .. } | Idempotency::NonIdempotent => false,
    };
    record.is_open() && !may_be_repeated
}

fn states_no_key_window(model: &SchedulerModel, state: &SchedulerModelState, event: &Event) -> bool {
    let Event::Send { request, limits, .. } = event else { return false };
    let Idempotency::IdempotentWithKey { window, .. } = &model.class_of(*request).idempotency else {
        return false;
    };
    let Some(first) = sent_request(state, event).and_then(RequestRecord::first_that_may_have_run) else {
        return false;
    };
    limits.key_window_end.is_none_or(|end| end > first.sent_at + *window)
}

fn sends_to_draining_engine(_: &SchedulerModel, state: &SchedulerModelState, event: &Event) -> bool {
    let Event::Send { engine, .. } = event else { return false };
    state.engine_records[engine.index()].lifecycle != Lifecycle::Ready
}

/// Whether the event sends more work to an engine that is warming up than this router's budget for the overload window.
///
/// The budget is the engine's current capacity times the overload factor and the window, divided by the number of
/// routers. If the budget is less than the work of the request, one request is allowed in a window that is longer by
/// the same factor.
fn overloads_warming_engine(model: &SchedulerModel, state: &SchedulerModelState, event: &Event) -> bool {
    let Event::Send { request, engine, .. } = event else { return false };
    let record = &state.engine_records[engine.index()];
    let Some(launched_at) = record.launched_at else { return false };
    let limits = &model.attempt_limits;
    let warm_up_progress = (state.now - launched_at).as_secs_f64() / limits.warm_up.as_secs_f64();
    if warm_up_progress >= 1.0 {
        return false;
    }
    let cores = model.fleet.kinds[model.kind(*engine)].cores;
    let capacity =
        cores * (limits.start_capacity_fraction + (1.0 - limits.start_capacity_fraction) * warm_up_progress);
    let budget = limits.overload_factor * capacity * limits.overload_window.as_secs_f64()
        / model.fleet.router_count as f64;
    let seconds = model.requests[request.index()].work_seconds();
    let window = limits.overload_window.mul_f64((seconds / budget).max(1.0));
    let is_recent = |work: &&SentWork| work.at + window > state.now;
    let recent: f64 = record.sent_work.iter().filter(is_recent).map(|work| work.seconds).sum();
    recent + seconds > budget.max(seconds) * (1.0 + ROUNDING_TOLERANCE)
}

fn sends_out_of_order(model: &SchedulerModel, state: &SchedulerModelState, event: &Event) -> bool {
    let Event::Send { request, .. } = event else { return false };
    let position = request.index();
    let ordering_key = model.requests[position].key.filter(|_| model.class_of(*request).keeps_order);
    let Some(key) = ordering_key else { return false };
    let precedes =
        |earlier: usize| model.requests[earlier].key == Some(key) && state.requests[earlier].is_unfinished();
    state.requests[position].is_queued() && (0..position).any(precedes)
}

fn sends_during_cooldown(model: &SchedulerModel, state: &SchedulerModelState, event: &Event) -> bool {
    let Event::Send { request, .. } = event else { return false };
    let key: Option<KeyId> = model.requests[request.index()].key;
    let applies = |cooldown: &KeyCooldown| {
        Some(cooldown.key) == key && cooldown.request != *request && cooldown.until > state.now
    };
    sent_request(state, event).is_some() && state.key_cooldowns.iter().any(applies)
}

fn sends_outside_placement(model: &SchedulerModel, _: &SchedulerModelState, event: &Event) -> bool {
    let Event::Send { request, engine, .. } = event else { return false };
    let class = model.class_of(*request);
    let kind = model.kind(*engine);
    let location = model.engines[engine.index()].location;
    let is_wrong_kind = class.kinds.as_ref().is_some_and(|kinds| !kinds.contains(&kind));
    is_wrong_kind || class.locations.as_ref().is_some_and(|locations| !locations.contains(&location))
}

fn exceeds_attempt_limit(model: &SchedulerModel, state: &SchedulerModelState, event: &Event) -> bool {
    let max_attempts = model.attempt_limits.max_attempts;
    sent_request(state, event).is_some_and(|record| record.attempts.len() >= max_attempts)
}

fn exceeds_retry_budget(model: &SchedulerModel, state: &SchedulerModelState, event: &Event) -> bool {
    let Some(budget) = &model.attempt_limits.retry_budget else { return false };
    let is_retry = sent_request(state, event).is_some_and(|record| !record.attempts.is_empty());
    let is_recent = |at: Duration| at + budget.window > state.now;
    let retries = state.retry_times.iter().filter(|at| is_recent(**at)).count() as f64;
    let requests = state.requests.iter().filter(|request| is_recent(request.arrived_at)).count() as f64;
    is_retry && retries + 1.0 > budget.min_retries + budget.per_request * requests
}

fn cancels_invalidly(model: &SchedulerModel, state: &SchedulerModelState, event: &Event) -> bool {
    let Event::Cancel { request, attempt } = event else { return false };
    let attempt = record(state, request).attempts.get(*attempt);
    let is_in_flight = attempt.is_some_and(|attempt| attempt.outcome.is_none() && !attempt.is_cancelled);
    !model.attempt_limits.may_cancel || !is_in_flight
}

fn grants_too_much(model: &SchedulerModel, _: &SchedulerModelState, event: &Event) -> bool {
    let Event::Grant { grant_mb, .. } = event else { return false };
    let fleet = &model.fleet;
    let largest =
        fleet.kinds.iter().map(|kind| kind.memory_mb * fleet.max_grant_fraction).fold(0.0, f64::max);
    *grant_mb > largest.round()
}

fn lacks_wake_up(_: &SchedulerModel, state: &SchedulerModelState, event: &Event) -> bool {
    let Event::TimePasses { .. } = event else { return false };
    state.wake_ups.is_empty() && state.requests.iter().any(RequestRecord::is_open)
}

fn retains_state_at_end(_: &SchedulerModel, state: &SchedulerModelState, event: &Event) -> bool {
    *event == Event::Terminal && !is_quiescent(state)
}

/// Whether every request is finished and the scheduler retains nothing. To check the latter, a copy of the scheduler gets
/// an empty endpoint list: it may only forget engines, and must then hold no request and no engine.
fn is_quiescent(state: &SchedulerModelState) -> bool {
    if state.requests.iter().any(RequestRecord::is_unfinished) {
        return false;
    }
    let mut scheduler = state.scheduler.clone();
    let mut events = EventLog::default();
    scheduler.endpoints_changed(state.now, EndpointUpdate::FullList, Vec::new(), &mut events);
    let only_forgets = events.0.iter().all(|event| matches!(event, Event::Forget { .. }));
    let held = scheduler.held_counts();
    only_forgets && held.requests == 0 && held.engines == 0
}
