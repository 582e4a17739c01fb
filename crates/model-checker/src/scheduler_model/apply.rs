//! Applies transitions of the scheduler model.

use super::SchedulerModel;
use super::effects::{apply_events, hypothetical_events};
use super::event::EventLog;
use super::inputs;
use super::state::{EngineRecord, SchedulerModelState};
use super::transition::Transition;
use crate::invariants::record_exercised;
use crate::search::START_TIME;
use emberflow::{EndpointUpdate, EngineId, Lifecycle, Scheduler};

/// Returns the initial state, in which every engine has just been listed as ready.
pub fn initial_state(model: &SchedulerModel) -> SchedulerModelState {
    let (fleet, classes, attempt_limits) = model.scenario.settings();
    let record = EngineRecord {
        lifecycle: Lifecycle::Ready,
        is_forgotten: false,
        launched_at: None,
        sent_work: Vec::new(),
    };
    let mut state = SchedulerModelState {
        now: START_TIME,
        scheduler: Scheduler::new(fleet, classes, attempt_limits),
        requests: Vec::new(),
        engine_records: vec![record; model.engines.len()],
        wake_ups: Vec::new(),
        retry_times: Vec::new(),
        key_cooldowns: Vec::new(),
        endpoint_changes: 0,
        departures: 0,
        shutdown_deadline: None,
        is_subscribed_to_list: false,
        violated_invariant: None,
        fingerprint: 0,
    };
    let engines = (0..model.engines.len()).map(EngineId::from_index);
    let endpoints = engines.map(|engine| state.endpoint(model, engine)).collect();
    let mut events = EventLog::default();
    state.scheduler.endpoints_changed(state.now, EndpointUpdate::Changes, endpoints, &mut events);
    apply_events(model, &mut state, events);
    state.update_fingerprint(model);
    state
}

/// Returns the state that a transition leads to.
pub fn apply(
    model: &SchedulerModel,
    state: &SchedulerModelState,
    transition: Transition,
) -> SchedulerModelState {
    let mut next = state.clone();
    let mut events = EventLog::default();
    if let Some(draw) = random_draw(transition) {
        next.scheduler.set_random_draws(draw);
    }
    pass_input(model, &mut next, transition, &mut events);
    record_exercised(model, &next, || hypothetical_events(model, &next));
    apply_events(model, &mut next, events);
    let now = next.now;
    next.key_cooldowns.retain(|cooldown| cooldown.until > now);
    next.update_fingerprint(model);
    next
}

/// Returns the counter of random draws to set before the input; `None` for inputs that are explored with the current
/// one.
fn random_draw(transition: Transition) -> Option<u64> {
    match transition {
        Transition::Arrive { draw }
        | Transition::EndAttempt { draw, .. }
        | Transition::UpdateProgress { draw, .. }
        | Transition::ChangeEndpoint { draw, .. }
        | Transition::ClientLeaves { draw, .. }
        | Transition::WakeUp { draw } => Some(draw),
        Transition::EmptyEndpointList
        | Transition::FailEndpointList
        | Transition::ShutDown
        | Transition::PassTime => None,
    }
}

/// Changes the environment and passes the input to the scheduler, whose actions are appended to `events`.
fn pass_input(
    model: &SchedulerModel,
    state: &mut SchedulerModelState,
    transition: Transition,
    events: &mut EventLog,
) {
    match transition {
        Transition::Arrive { .. } => inputs::arrive(model, state, events),
        Transition::EndAttempt { request, outcome, .. } => {
            inputs::end_attempt(model, state, request, outcome, events);
        }
        Transition::UpdateProgress { request, update, .. } => {
            inputs::update_progress(state, request, update, events);
        }
        Transition::ChangeEndpoint { engine, change, .. } => {
            inputs::change_endpoint(model, state, engine, change, events);
        }
        Transition::EmptyEndpointList => inputs::empty_endpoint_list(state, events),
        Transition::FailEndpointList => inputs::fail_endpoint_list(state, events),
        Transition::ClientLeaves { request, .. } => inputs::client_leaves(state, request, events),
        Transition::WakeUp { .. } => inputs::wake_up(state, events),
        Transition::ShutDown => inputs::shut_down(model, state, events),
        Transition::PassTime => inputs::pass_time(model, state),
    }
}
