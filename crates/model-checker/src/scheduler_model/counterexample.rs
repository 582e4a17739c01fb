//! Prints a path of the scheduler model as a test in the style of `tests/traces/`.

use super::SchedulerModel;
use super::scenario::EndpointChange;
use super::state::SchedulerModelState;
use super::transition::Transition;
use crate::search::Step;
use emberflow::{AttemptOutcome, EngineId, Lifecycle, ProgressUpdate};
use std::fmt::Write;

/// Returns the source of a test that takes the path, to be pasted into `tests/traces/`.
pub fn test_source(model: &SchedulerModel, path: &[Step<SchedulerModel>]) -> String {
    let name = model.name.replace([' ', '-'], "_");
    let setup = match model.setup.text {
        "{}" => "|_, _, _| ()".to_owned(),
        body => format!("|fleet, classes, attempt_limits| {body}"),
    };
    let mut text = String::new();
    let _ = writeln!(text, "#[test]\nfn {name}() {{");
    let engines: Vec<_> = model.engines.iter().map(|engine| (engine.location, engine.cell)).collect();
    let _ = writeln!(text, "    let mut trace = Trace::small(&{engines:?}, {setup});");
    let mut previous_time = None;
    for Step { state, transition } in path {
        let Some(call) = trace_call(model, state, *transition) else { continue };
        let now = state.now.as_millis() as u64;
        let is_same_time = previous_time.replace(now) == Some(now);
        let time = if is_same_time { String::new() } else { format!(".at({now})") };
        let _ = writeln!(text, "    trace{time}{call};");
    }
    text + "    expect![[\"\"]].assert_eq(&trace.decisions());\n}\n"
}

/// Returns the source of the calls of `Trace` for a transition: a call that sets the counter of random draws, unless
/// it is 0, and the input. Returns `None` for the passing of time, which the time of the next call expresses.
fn trace_call(model: &SchedulerModel, state: &SchedulerModelState, transition: Transition) -> Option<String> {
    let (draw, call) = match transition {
        Transition::Arrive { draw } => (draw, arrival_call(model, state)),
        Transition::EndAttempt { request, outcome, draw } => (draw, end_call(state, request, outcome)),
        Transition::UpdateProgress { request, update, draw } => (draw, progress_call(state, request, update)),
        Transition::ChangeEndpoint { engine, change, draw } => (draw, endpoint_call(state, engine, change)),
        Transition::EmptyEndpointList => (0, ".empty_endpoint_list()".to_owned()),
        Transition::FailEndpointList => (0, ".endpoint_list_failed()".to_owned()),
        Transition::ClientLeaves { request, draw } => (draw, format!(".client_left({request})")),
        Transition::WakeUp { draw } => (draw, ".wake_now()".to_owned()),
        Transition::ShutDown => {
            let deadline = state.now + model.classes[0].deadline;
            (0, format!(".start_shutdown({})", deadline.as_millis()))
        }
        Transition::PassTime => return None,
    };
    Some(if draw > 0 { format!(".set_random_draws({draw}){call}") } else { call })
}

fn arrival_call(model: &SchedulerModel, state: &SchedulerModelState) -> String {
    let request = &model.requests[state.requests.len()];
    format!(
        ".accept_keyed({}, {}, {:?}, {:?})",
        request.class, request.work_ms, request.memory_mb, request.key
    )
}

fn end_call(state: &SchedulerModelState, request: usize, outcome: AttemptOutcome) -> String {
    let record = &state.requests[request];
    let attempt = record.attempts.len() - 1;
    let engine = record.attempts[attempt].engine;
    let is_answered = !record.is_open() && outcome != AttemptOutcome::Succeeded;
    let method = if is_answered { "ended_after_answer" } else { "ended" };
    let outcome = match outcome {
        AttemptOutcome::Lapsed(condition) => format!("Lapsed(SendCondition::{condition:?})"),
        other => format!("{other:?}"),
    };
    format!(".{method}({request}, {attempt}, {engine}, AttemptOutcome::{outcome})")
}

fn progress_call(state: &SchedulerModelState, request: usize, update: ProgressUpdate) -> String {
    let attempt = state.requests[request].attempts.len() - 1;
    format!(".progress_updated({request}, {attempt}, ProgressUpdate::{update:?})")
}

fn endpoint_call(state: &SchedulerModelState, engine: EngineId, change: EndpointChange) -> String {
    let record = &state.engine_records[engine.index()];
    let launched_at = record.launched_at.map(|at| at.as_millis());
    let (lifecycle, launched_at) = match change {
        EndpointChange::Drains => (Lifecycle::Draining, launched_at),
        EndpointChange::Removed => (Lifecycle::Removed, launched_at),
        EndpointChange::Returns => (Lifecycle::Ready, launched_at),
        EndpointChange::Restarts => (Lifecycle::Ready, Some(state.now.as_millis())),
    };
    format!(".update_endpoint({engine}, Lifecycle::{lifecycle:?}, {launched_at:?})")
}
