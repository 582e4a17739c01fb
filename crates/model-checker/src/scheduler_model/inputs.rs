//! The inputs of the scheduler model: each function changes the environment and passes one input to the scheduler,
//! whose actions are appended to `events`.

use super::SchedulerModel;
use super::effects::check;
use super::event::{Event, EventLog};
use super::scenario::EndpointChange;
use super::state::{FinalAnswer, KeyCooldown, RequestRecord, SchedulerModelState};
use super::transition::next_instant;
use emberflow::{
    AttemptEnded, AttemptOutcome, EndpointUpdate, EngineId, Lifecycle, ProgressUpdate, RequestId,
};

/// Passes the next request of the scenario to the scheduler.
pub fn arrive(model: &SchedulerModel, state: &mut SchedulerModelState, events: &mut EventLog) {
    let arrival = model.arrival(state.requests.len());
    let deadline = state.now + arrival.deadline;
    state.requests.push(RequestRecord { arrived_at: state.now, deadline, ..RequestRecord::default() });
    state.scheduler.accept(state.now, arrival, events);
}

/// Passes a progress update of the attempt in flight to the scheduler.
pub fn update_progress(
    state: &mut SchedulerModelState,
    request: usize,
    update: ProgressUpdate,
    events: &mut EventLog,
) {
    let attempt = state.requests[request].attempts.len() - 1;
    state.requests[request].attempts[attempt].progress_updates += 1;
    let id = RequestId::from_index(request);
    state.scheduler.progress_updated(state.now, id, attempt, update, events);
}

/// Reports a change of an engine to the scheduler, as the endpoint list does.
pub fn change_endpoint(
    model: &SchedulerModel,
    state: &mut SchedulerModelState,
    engine: EngineId,
    change: EndpointChange,
    events: &mut EventLog,
) {
    state.endpoint_changes += 1;
    let record = &mut state.engine_records[engine.index()];
    match change {
        EndpointChange::Drains => record.lifecycle = Lifecycle::Draining,
        EndpointChange::Removed => record.lifecycle = Lifecycle::Removed,
        EndpointChange::Returns => record.lifecycle = Lifecycle::Ready,
        EndpointChange::Restarts => {
            record.lifecycle = Lifecycle::Ready;
            record.launched_at = Some(state.now);
            record.sent_work.clear();
        }
    }
    let endpoints = vec![state.endpoint(model, engine)];
    state.scheduler.endpoints_changed(state.now, EndpointUpdate::Changes, endpoints, events);
}

/// Reports an empty endpoint list.
pub fn empty_endpoint_list(state: &mut SchedulerModelState, events: &mut EventLog) {
    state.endpoint_changes += 1;
    for engine in &mut state.engine_records {
        engine.lifecycle = Lifecycle::Removed;
    }
    state.scheduler.endpoints_changed(state.now, EndpointUpdate::FullList, Vec::new(), events);
}

/// Reports that the endpoint list could not be read.
pub fn fail_endpoint_list(state: &mut SchedulerModelState, events: &mut EventLog) {
    state.endpoint_changes += 1;
    state.is_subscribed_to_list = false;
    state.scheduler.endpoint_list_failed(state.now, events);
}

/// Reports that the client of a request has disconnected.
pub fn client_leaves(state: &mut SchedulerModelState, request: usize, events: &mut EventLog) {
    state.departures += 1;
    state.requests[request].answer = Some(FinalAnswer::ClientLeft);
    state.scheduler.clients_left(state.now, &[RequestId::from_index(request)], &[], events);
}

/// Wakes the scheduler, which fulfils all wake-ups that are due.
pub fn wake_up(state: &mut SchedulerModelState, events: &mut EventLog) {
    let now = state.now;
    state.wake_ups.retain(|at| *at > now);
    state.scheduler.wake(now, events);
}

/// Begins a graceful shutdown, which lasts at most as long as the deadline of the first request class.
pub fn shut_down(model: &SchedulerModel, state: &mut SchedulerModelState, events: &mut EventLog) {
    let deadline = state.now + model.classes[0].deadline;
    state.shutdown_deadline = Some(deadline);
    state.scheduler.start_shutdown(state.now, deadline, events);
}

/// Advances the clock to the next instant at which something may change.
pub fn pass_time(model: &SchedulerModel, state: &mut SchedulerModelState) {
    let to = next_instant(model, state).unwrap_or(state.now);
    check(model, state, &Event::TimePasses { to });
    state.now = to;
}

/// Ends the attempt in flight. A result first answers the request, if the request is still open.
pub fn end_attempt(
    model: &SchedulerModel,
    state: &mut SchedulerModelState,
    request: usize,
    outcome: AttemptOutcome,
    events: &mut EventLog,
) {
    let id = RequestId::from_index(request);
    if outcome == AttemptOutcome::Succeeded && state.requests[request].is_open() {
        check(model, state, &Event::Serve { request: id });
        state.requests[request].answer = Some(FinalAnswer::Served);
    }
    let request_done = !state.requests[request].is_open();
    let attempt = state.requests[request].attempts.len() - 1;
    let record = &mut state.requests[request].attempts[attempt];
    record.outcome = Some(outcome);
    let (engine, elapsed) = (record.engine, state.now - record.sent_at);
    begin_key_cooldown(model, state, request, outcome);
    let ended = AttemptEnded {
        request: id,
        attempt,
        engine,
        outcome,
        elapsed,
        usage: None,
        load_report: model.load_report,
        request_done,
    };
    state.scheduler.attempt_ended(state.now, ended, events);
}

/// Begins the cooldown of a request's key if an engine may still execute the ended attempt.
fn begin_key_cooldown(
    model: &SchedulerModel,
    state: &mut SchedulerModelState,
    request: usize,
    outcome: AttemptOutcome,
) {
    let may_still_run =
        matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Broken | AttemptOutcome::Cancelled);
    let cooldown = model.attempt_limits.key_cooldown.filter(|_| may_still_run);
    let (Some(key), Some(cooldown)) = (model.requests[request].key, cooldown) else { return };
    // The cooldown of a later attempt does not end the cooldown of an earlier one.
    let now = state.now;
    state.key_cooldowns.retain(|earlier| earlier.until > now);
    let request = RequestId::from_index(request);
    state.key_cooldowns.push(KeyCooldown { key, request, until: now + cooldown });
}
