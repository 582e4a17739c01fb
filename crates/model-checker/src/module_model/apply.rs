//! Carries out transitions of the module model and the events that follow from them.

use super::ModuleModel;
use super::event::{Event, EventLog};
use super::scenario::EndpointChange;
use super::state::{
    AttemptRecord, EngineRecord, FinalAnswer, KeyCooldown, ModuleState, RequestRecord, SentWork,
};
use super::transition::{Transition, next_instant};
use crate::invariants::{first_violated, record_exercised};
use crate::search::START_TIME;
use emberflow::{AttemptEnded, AttemptOutcome, EndpointUpdate, EngineId, Lifecycle, RequestId, Scheduler};
use std::time::Duration;

/// A time that is later than any deadline.
const LONG_TIME: Duration = Duration::from_secs(3600);

/// The state in which every engine has just been listed as ready.
pub fn initial_state(model: &ModuleModel) -> ModuleState {
    let (fleet, classes, attempt_limits) = model.scenario.settings();
    let engine =
        EngineRecord { lifecycle: Lifecycle::Ready, is_forgotten: false, launched: None, sent: Vec::new() };
    let mut state = ModuleState {
        now: START_TIME,
        scheduler: Scheduler::new(fleet, classes, attempt_limits),
        requests: Vec::new(),
        engine_records: vec![engine; model.engines.len()],
        wake_ups: Vec::new(),
        retries: Vec::new(),
        key_cooldowns: Vec::new(),
        endpoint_changes: 0,
        departures: 0,
        shutdown_at: None,
        is_watching: false,
        violated: None,
        fingerprint: 0,
    };
    let endpoints =
        (0..model.engines.len()).map(|engine| state.endpoint(model, EngineId::from_index(engine))).collect();
    let mut events = EventLog::default();
    state.scheduler.endpoints_changed(state.now, EndpointUpdate::Changes, endpoints, &mut events);
    apply_events(model, &mut state, events);
    state.update_fingerprint(model);
    state
}

/// The state that a transition leads to.
pub fn apply(model: &ModuleModel, state: &ModuleState, transition: Transition) -> ModuleState {
    let mut next = state.clone();
    let mut events = EventLog::default();
    if let Some(draw) = draw_of(transition) {
        next.scheduler.set_random_draws(draw);
    }
    give_input(model, &mut next, transition, &mut events);
    record_exercised(model, &next, || hypothetical_events(model, &next));
    apply_events(model, &mut next, events);
    let now = next.now;
    next.key_cooldowns.retain(|cooldown| cooldown.until > now);
    next.update_fingerprint(model);
    next
}

fn draw_of(transition: Transition) -> Option<u64> {
    match transition {
        Transition::Arrive { draw }
        | Transition::EndAttempt { draw, .. }
        | Transition::NoteProgress { draw, .. }
        | Transition::ChangeEndpoint { draw, .. }
        | Transition::ClientLeaves { draw, .. }
        | Transition::WakeUp { draw } => Some(draw),
        Transition::EmptyEndpointList
        | Transition::FailEndpointList
        | Transition::ShutDown
        | Transition::PassTime => None,
    }
}

/// Changes the environment and passes the input to the scheduler.
fn give_input(model: &ModuleModel, state: &mut ModuleState, transition: Transition, events: &mut EventLog) {
    let now = state.now;
    match transition {
        Transition::Arrive { .. } => arrive(model, state, events),
        Transition::EndAttempt { request, outcome, .. } => {
            end_attempt(model, state, request, outcome, events);
        }
        Transition::NoteProgress { request, note, .. } => {
            let attempt = state.requests[request].attempts.len() - 1;
            state.requests[request].attempts[attempt].notes += 1;
            state.scheduler.progress_updated(now, RequestId::from_index(request), attempt, note, events);
        }
        Transition::ChangeEndpoint { engine, change, .. } => {
            change_endpoint(model, state, engine, change, events);
        }
        Transition::EmptyEndpointList => empty_endpoint_list(state, events),
        Transition::FailEndpointList => {
            state.endpoint_changes += 1;
            state.is_watching = false;
            state.scheduler.endpoint_list_failed(now, events);
        }
        Transition::ClientLeaves { request, .. } => {
            state.departures += 1;
            state.requests[request].answer = Some(FinalAnswer::ClientLeft);
            state.scheduler.clients_left(now, &[RequestId::from_index(request)], &[], events);
        }
        Transition::WakeUp { .. } => {
            state.wake_ups.retain(|at| *at > now);
            state.scheduler.wake(now, events);
        }
        Transition::ShutDown => {
            let by = now + model.classes[0].deadline;
            state.shutdown_at = Some(by);
            state.scheduler.shutting_down(now, by, events);
        }
        Transition::PassTime => {
            let to = next_instant(model, state).unwrap_or(now);
            check(model, state, &Event::TimePasses { to });
            state.now = to;
        }
    }
}

fn arrive(model: &ModuleModel, state: &mut ModuleState, events: &mut EventLog) {
    let arrival = model.arrival(state.requests.len());
    let deadline = state.now + arrival.deadline;
    state.requests.push(RequestRecord { arrived: state.now, deadline, ..RequestRecord::default() });
    state.scheduler.accept(state.now, arrival, events);
}

fn change_endpoint(
    model: &ModuleModel,
    state: &mut ModuleState,
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
            record.launched = Some(state.now);
            record.sent.clear();
        }
    }
    let endpoints = vec![state.endpoint(model, engine)];
    state.scheduler.endpoints_changed(state.now, EndpointUpdate::Changes, endpoints, events);
}

fn empty_endpoint_list(state: &mut ModuleState, events: &mut EventLog) {
    state.endpoint_changes += 1;
    for engine in &mut state.engine_records {
        engine.lifecycle = Lifecycle::Removed;
    }
    state.scheduler.endpoints_changed(state.now, EndpointUpdate::FullList, Vec::new(), events);
}

/// Ends the attempt in flight, as the scheduler's caller reports it: a result goes to the client first, if that still
/// waits for one.
fn end_attempt(
    model: &ModuleModel,
    state: &mut ModuleState,
    request: usize,
    outcome: AttemptOutcome,
    events: &mut EventLog,
) {
    let number = RequestId::from_index(request);
    if outcome == AttemptOutcome::Succeeded && state.requests[request].is_open() {
        check(model, state, &Event::Serve { request: number });
        state.requests[request].answer = Some(FinalAnswer::Served);
    }
    let request_done = !state.requests[request].is_open();
    let attempt = state.requests[request].attempts.len() - 1;
    let record = &mut state.requests[request].attempts[attempt];
    record.outcome = Some(outcome);
    let (engine, elapsed) = (record.engine, state.now - record.sent);
    begin_key_cooldown(model, state, request, outcome);
    let ended = AttemptEnded {
        request: number,
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

/// Records that a request's key must not be used by others for a while, where its attempt may still be executed.
fn begin_key_cooldown(model: &ModuleModel, state: &mut ModuleState, request: usize, outcome: AttemptOutcome) {
    let may_still_run =
        matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Broken | AttemptOutcome::Cancelled);
    let cooldown = model.attempt_limits.key_cooldown.filter(|_| may_still_run);
    let (Some(key), Some(cooldown)) = (model.requests[request].key, cooldown) else { return };
    // A later attempt's cooldown does not end an earlier one's.
    let now = state.now;
    state.key_cooldowns.retain(|cooldown| cooldown.until > now);
    state.key_cooldowns.push(KeyCooldown {
        key,
        request: RequestId::from_index(request),
        until: now + cooldown,
    });
}

fn check(model: &ModuleModel, state: &mut ModuleState, event: &Event) {
    state.violated = state.violated.or_else(|| first_violated(model, state, event));
}

/// Carries out what the scheduler did. Each event is checked before it changes the state.
fn apply_events(model: &ModuleModel, state: &mut ModuleState, events: EventLog) {
    for event in events.0 {
        check(model, state, &event);
        if state.violated.is_some() {
            return;
        }
        apply_event(model, state, event);
    }
}

fn apply_event(model: &ModuleModel, state: &mut ModuleState, event: Event) {
    match event {
        Event::Send { request, engine, until } => send(model, state, request, engine, until),
        Event::Cancel { request, attempt } => {
            state.requests[request.index()].attempts[attempt].is_cancelled = true;
        }
        Event::Reject { request } => {
            state.requests[request.index()].answer = Some(FinalAnswer::Rejected);
        }
        Event::Fail { request } => state.requests[request.index()].answer = Some(FinalAnswer::Failed),
        Event::WakeAfter { wait } => {
            state.wake_ups.push(state.now + wait);
            state.wake_ups.sort_unstable();
            state.wake_ups.dedup();
        }
        Event::Watch => state.is_watching = true,
        Event::Forget { engine } => state.engine_records[engine.index()].is_forgotten = true,
        Event::Terms { .. }
        | Event::Probe { .. }
        | Event::Serve { .. }
        | Event::TimePasses { .. }
        | Event::Terminal => {}
    }
}

fn send(model: &ModuleModel, state: &mut ModuleState, number: RequestId, engine: EngineId, until: Duration) {
    let request = &mut state.requests[number.index()];
    if !request.attempts.is_empty() {
        state.retries.push(state.now);
    }
    request.attempts.push(AttemptRecord {
        engine,
        sent: state.now,
        until,
        outcome: None,
        is_cancelled: false,
        notes: 0,
    });
    let seconds = model.requests[number.index()].cost_ms as f64 / 1e3;
    state.engine_records[engine.index()].sent.push(SentWork { at: state.now, seconds });
}

/// Events that a faulty scheduler could emit after an input, before it has done anything.
fn hypothetical_events(model: &ModuleModel, state: &ModuleState) -> Vec<Event> {
    let mut events = vec![Event::TimePasses { to: state.now + LONG_TIME }, Event::Terminal];
    let engines = (0..state.engine_records.len()).map(EngineId::from_index);
    for (position, record) in state.requests.iter().enumerate() {
        let request = RequestId::from_index(position);
        let until = record.deadline - model.margin();
        events.extend([Event::Reject { request }, Event::Fail { request }, Event::Serve { request }]);
        events.push(Event::Terms { request, grant_mb: f64::from(u32::MAX) });
        events.extend((0..record.attempts.len()).map(|attempt| Event::Cancel { request, attempt }));
        events.extend(engines.clone().map(|engine| Event::Send { request, engine, until }));
        events.push(Event::Send { request, engine: EngineId::default(), until: state.now + LONG_TIME });
    }
    events.extend(engines.map(|engine| Event::Forget { engine }));
    events
}
