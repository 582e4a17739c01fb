//! The transitions of the scheduler model, and the conditions that enable them.

use super::SchedulerModel;
use super::scenario::EndpointChange;
use super::state::{AttemptRecord, EngineRecord, RequestRecord, SchedulerModelState};
use emberflow::{AttemptOutcome, EngineId, Lifecycle, ProgressUpdate, RequestId, SendCondition};
use std::ops::Range;
use std::time::Duration;

/// Time between a boundary and the instants immediately before and after it at which the clock stops.
const SMALLEST_TIME_STEP: Duration = Duration::from_millis(1);
/// Number of values of the scheduler's draw counter that are explored: one for each order of three engines.
const RANDOM_DRAWS: u64 = 6;

/// An input to the scheduler, or the passing of time.
///
/// `draw` is the scheduler's counter of random draws, which the model sets before the input. It determines which
/// engine the scheduler chooses at random.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Transition {
    /// The next request arrives.
    Arrive { draw: u64 },
    /// The attempt in flight of a request ends.
    EndAttempt { request: usize, outcome: AttemptOutcome, draw: u64 },
    /// An engine sends a progress update on the attempt in flight.
    UpdateProgress { request: usize, update: ProgressUpdate, draw: u64 },
    /// The endpoint list reports a change of an engine.
    ChangeEndpoint { engine: EngineId, change: EndpointChange, draw: u64 },
    /// The endpoint list reports no engine.
    EmptyEndpointList,
    /// The endpoint list cannot be read.
    FailEndpointList,
    /// The client of an open request disconnects.
    ClientLeaves { request: usize, draw: u64 },
    /// The scheduler is woken at a time that it has requested, or up to the scenario's delay later.
    WakeUp { draw: u64 },
    /// A graceful shutdown begins.
    ShutDown,
    /// The clock advances to the next instant at which something may change.
    PassTime,
}

/// Appends the transitions that are enabled in a state.
pub fn append_enabled(
    model: &SchedulerModel,
    state: &SchedulerModelState,
    transitions: &mut Vec<Transition>,
) {
    if state.violated_invariant.is_some() {
        return;
    }
    if accepts_arrival(model, state) {
        transitions.extend(draws(model, true).map(|draw| Transition::Arrive { draw }));
    }
    append_attempt_transitions(model, state, transitions);
    append_departures(model, state, transitions);
    append_endpoint_changes(model, state, transitions);
    append_time_transitions(model, state, transitions);
}

/// Returns the draws to explore before an input; a single draw if the scheduler has no choice between engines.
fn draws(model: &SchedulerModel, may_send: bool) -> Range<u64> {
    if may_send && model.engines.len() > 1 { 0..RANDOM_DRAWS } else { 0..1 }
}

fn accepts_arrival(model: &SchedulerModel, state: &SchedulerModelState) -> bool {
    state.expects_arrival(model) && state.shutdown_deadline.is_none()
}

/// Whether a request has an attempt in flight that must end before time passes, because it is abandoned or has timed
/// out.
fn awaits_end(state: &SchedulerModelState, request: &RequestRecord) -> bool {
    let Some(attempt) = request.in_flight() else { return false };
    is_abandoned(request, attempt) || attempt.limits.timeout_at <= state.now
}

/// Whether an attempt is cancelled, or its request is answered or its client has disconnected.
fn is_abandoned(request: &RequestRecord, attempt: &AttemptRecord) -> bool {
    attempt.is_cancelled || !request.is_open()
}

/// Returns the outcomes that the attempt in flight may have now.
fn possible_outcomes(
    model: &SchedulerModel,
    state: &SchedulerModelState,
    request: &RequestRecord,
    attempt: &AttemptRecord,
) -> &'static [AttemptOutcome] {
    if !request.is_open() {
        return &[AttemptOutcome::Cancelled, AttemptOutcome::NotSent];
    }
    if attempt.is_cancelled {
        // An answer that the engine sent before the cancellation still arrives.
        return &[AttemptOutcome::Cancelled, AttemptOutcome::NotSent, AttemptOutcome::Succeeded];
    }
    if attempt.limits.timeout_at <= state.now {
        return &[AttemptOutcome::TimedOut, AttemptOutcome::Unreachable];
    }
    model.scenario.outcomes
}

/// Returns the outcome of an attempt whose call still waits for its connection when the window of its idempotency key
/// ends; `None` before that.
fn key_window_lapse(state: &SchedulerModelState, attempt: &AttemptRecord) -> Option<AttemptOutcome> {
    let lapsed = attempt.limits.lapsed_at(state.now);
    lapsed.filter(|condition| *condition == SendCondition::KeyWindow).map(AttemptOutcome::Lapsed)
}

fn append_attempt_transitions(
    model: &SchedulerModel,
    state: &SchedulerModelState,
    transitions: &mut Vec<Transition>,
) {
    let has_queued_request = state.has_queued_request();
    for (request, record) in state.requests.iter().enumerate() {
        let Some(attempt) = record.in_flight() else { continue };
        let outcomes = possible_outcomes(model, state, record, attempt).iter().copied();
        for outcome in outcomes.chain(key_window_lapse(state, attempt)) {
            let may_retry = outcome != AttemptOutcome::Succeeded && record.is_open();
            let draws = draws(model, may_retry || has_queued_request);
            transitions.extend(draws.map(|draw| Transition::EndAttempt { request, outcome, draw }));
        }
        if is_abandoned(record, attempt) || attempt.progress_updates >= model.max_progress_updates {
            continue;
        }
        for update in model.progress_updates.iter().copied() {
            let draws = draws(model, has_queued_request);
            transitions.extend(draws.map(|draw| Transition::UpdateProgress { request, update, draw }));
        }
    }
}

fn append_departures(model: &SchedulerModel, state: &SchedulerModelState, transitions: &mut Vec<Transition>) {
    if state.departures >= model.max_departures {
        return;
    }
    let has_queued_request = state.has_queued_request();
    for (request, _) in state.requests.iter().enumerate().filter(|(_, record)| record.is_open()) {
        let draws = draws(model, has_queued_request);
        transitions.extend(draws.map(|draw| Transition::ClientLeaves { request, draw }));
    }
}

fn append_endpoint_changes(
    model: &SchedulerModel,
    state: &SchedulerModelState,
    transitions: &mut Vec<Transition>,
) {
    let is_unfinished =
        accepts_arrival(model, state) || state.requests.iter().any(RequestRecord::is_unfinished);
    if state.endpoint_changes >= model.max_endpoint_changes || !is_unfinished {
        return;
    }
    let has_queued_request = state.has_queued_request();
    for (index, record) in state.engine_records.iter().enumerate() {
        let engine = EngineId::from_index(index);
        for change in model.endpoint_changes.iter().copied().filter(|change| may_change(record, *change)) {
            let draws = draws(model, has_queued_request);
            transitions.extend(draws.map(|draw| Transition::ChangeEndpoint { engine, change, draw }));
        }
    }
    let any_listed = state.engine_records.iter().any(|engine| engine.lifecycle != Lifecycle::Removed);
    if model.list_may_fail && any_listed {
        transitions.extend([Transition::EmptyEndpointList, Transition::FailEndpointList]);
    }
}

fn may_change(engine: &EngineRecord, change: EndpointChange) -> bool {
    match change {
        EndpointChange::Drains => engine.lifecycle == Lifecycle::Ready,
        EndpointChange::Removed => engine.lifecycle != Lifecycle::Removed,
        EndpointChange::Returns => engine.lifecycle == Lifecycle::Draining,
        EndpointChange::Restarts => engine.launched_at.is_none() && !engine.is_forgotten,
    }
}

fn append_time_transitions(
    model: &SchedulerModel,
    state: &SchedulerModelState,
    transitions: &mut Vec<Transition>,
) {
    let next_wake_up = state.wake_ups.first().copied();
    if next_wake_up.is_some_and(|at| at <= state.now) {
        let draws = draws(model, state.has_queued_request());
        transitions.extend(draws.map(|draw| Transition::WakeUp { draw }));
    }
    if model.shuts_down && state.shutdown_deadline.is_none() && !state.requests.is_empty() {
        transitions.push(Transition::ShutDown);
    }
    let awaits_end = state.requests.iter().any(|request| awaits_end(state, request));
    let awaits_wake_up = next_wake_up.is_some_and(|at| at + model.wake_up_delay <= state.now);
    if !awaits_end && !awaits_wake_up && next_instant(model, state).is_some() {
        transitions.push(Transition::PassTime);
    }
}

/// Returns the next time at which the scheduler or an invariant may behave differently; `None` if there is none.
pub fn next_instant(model: &SchedulerModel, state: &SchedulerModelState) -> Option<Duration> {
    let mut instants = Vec::new();
    for wake_up in &state.wake_ups {
        instants.extend([*wake_up, *wake_up + model.wake_up_delay]);
    }
    for (position, request) in state.requests.iter().enumerate().filter(|(_, request)| request.is_open()) {
        append_request_instants(model, RequestId::from_index(position), request, &mut instants);
    }
    if state.requests.iter().any(RequestRecord::is_open) {
        let cooldown_ends = state.key_cooldowns.iter().map(|cooldown| cooldown.until);
        instants.extend(cooldown_ends.flat_map(before_and_at));
        instants.extend(state.shutdown_deadline);
    }
    // Another request may fit at the end of the overload window of an engine that is warming up.
    if state.expects_arrival(model) {
        let warming = state.engine_records.iter().filter(|engine| engine.launched_at.is_some());
        let window = model.attempt_limits.overload_window;
        let sent_work = warming.flat_map(|engine| &engine.sent_work);
        instants.extend(sent_work.flat_map(|work| before_and_at(work.at + window)));
    }
    instants.into_iter().filter(|at| *at > state.now).min()
}

fn append_request_instants(
    model: &SchedulerModel,
    id: RequestId,
    request: &RequestRecord,
    instants: &mut Vec<Duration>,
) {
    instants.push(request.deadline);
    instants.extend(request.in_flight().map(|attempt| attempt.limits.timeout_at));
    if model.visits_latency_objective {
        let objective = request.arrived_at + model.class_of(id).latency_objective;
        instants.extend([objective - SMALLEST_TIME_STEP, objective, objective + SMALLEST_TIME_STEP]);
    }
    if let (Some(window), Some(attempt)) = (model.idempotency_window(id), request.first_that_may_have_run()) {
        instants.extend(before_and_at(attempt.sent_at + window - model.final_answer_margin()));
    }
}

fn before_and_at(at: Duration) -> [Duration; 2] {
    [at - SMALLEST_TIME_STEP, at]
}
