//! The effects of the scheduler's actions on the environment of the scheduler model.

use super::SchedulerModel;
use super::event::{Event, EventLog};
use super::state::{AttemptRecord, FinalAnswer, SchedulerModelState, SentWork};
use crate::invariants::first_violated;
use emberflow::{EngineId, RequestId, SendLimits};
use std::time::Duration;

/// A time span that is longer than any deadline.
const LONG_TIME: Duration = Duration::from_secs(3600);
/// A memory grant that no engine allows, in MB.
const EXCESSIVE_GRANT_MB: f64 = u32::MAX as f64;

/// Checks the invariants at an event, before the event changes the state.
pub fn check(model: &SchedulerModel, state: &mut SchedulerModelState, event: &Event) {
    state.violated_invariant = state.violated_invariant.or_else(|| first_violated(model, state, event));
}

/// Checks and applies the scheduler's actions, up to the first violation.
pub fn apply_events(model: &SchedulerModel, state: &mut SchedulerModelState, events: EventLog) {
    for event in events.0 {
        check(model, state, &event);
        if state.violated_invariant.is_some() {
            return;
        }
        apply_event(model, state, event);
    }
}

fn apply_event(model: &SchedulerModel, state: &mut SchedulerModelState, event: Event) {
    match event {
        Event::Send { request, engine, limits } => send(model, state, request, engine, limits),
        Event::Cancel { request, attempt } => {
            state.requests[request.index()].attempts[attempt].is_cancelled = true;
        }
        Event::Reject { request, .. } => {
            state.requests[request.index()].answer = Some(FinalAnswer::Rejected);
        }
        Event::Fail { request } => state.requests[request.index()].answer = Some(FinalAnswer::Failed),
        Event::WakeAfter { wait } => {
            state.wake_ups.push(state.now + wait);
            state.wake_ups.sort_unstable();
            state.wake_ups.dedup();
        }
        Event::Watch => state.is_subscribed_to_list = true,
        Event::Forget { engine } => state.engine_records[engine.index()].is_forgotten = true,
        Event::Grant { .. }
        | Event::Probe { .. }
        | Event::Serve { .. }
        | Event::TimePasses { .. }
        | Event::Terminal => {}
    }
}

fn send(
    model: &SchedulerModel,
    state: &mut SchedulerModelState,
    request: RequestId,
    engine: EngineId,
    limits: SendLimits,
) {
    let record = &mut state.requests[request.index()];
    if !record.attempts.is_empty() {
        state.retry_times.push(state.now);
    }
    record.attempts.push(AttemptRecord {
        engine,
        sent_at: state.now,
        limits,
        outcome: None,
        is_cancelled: false,
        progress_updates: 0,
    });
    let seconds = model.requests[request.index()].work_seconds();
    state.engine_records[engine.index()].sent_work.push(SentWork { at: state.now, seconds });
}

/// Returns events that a faulty scheduler could emit after an input, to find the invariants that this state
/// exercises. The scheduler's actual actions have not been applied to the state yet.
pub fn hypothetical_events(model: &SchedulerModel, state: &SchedulerModelState) -> Vec<Event> {
    let mut events = vec![Event::TimePasses { to: state.now + LONG_TIME }, Event::Terminal];
    let engines = (0..state.engine_records.len()).map(EngineId::from_index);
    for (index, record) in state.requests.iter().enumerate() {
        let request = RequestId::from_index(index);
        let timeout_at = record.deadline - model.final_answer_margin();
        let limits = SendLimits { timeout_at, key_window_end: Some(Duration::ZERO) };
        let without_key_window = SendLimits { key_window_end: None, ..limits };
        events.extend([Event::Fail { request }, Event::Serve { request }]);
        events.push(Event::Reject { request, retry_after: Some(LONG_TIME) });
        events.push(Event::Grant { request, grant_mb: EXCESSIVE_GRANT_MB });
        events.extend((0..record.attempts.len()).map(|attempt| Event::Cancel { request, attempt }));
        for engine in engines.clone() {
            events.push(Event::Send { request, engine, limits });
            events.push(Event::Send { request, engine, limits: without_key_window });
        }
        let too_late = SendLimits { timeout_at: state.now + LONG_TIME, key_window_end: None };
        events.push(Event::Send { request, engine: EngineId::default(), limits: too_late });
    }
    events.extend(engines.map(|engine| Event::Forget { engine }));
    events
}
