//! The invariants of a run. They are checked against the records of clients and engines, and against the exits and
//! resource usage of the routers' processes. Data that the routers report about themselves is not used.

use crate::classes::RequestClass;
use crate::config::{IDEMPOTENCY_WINDOW, MAX_ATTEMPTS, ProcessLimits, SlowStart};
use crate::records::{
    AnswerKind, Attempt, Departure, Drain, EngineStart, Outage, OutageKind, Records, RequestRecord, Usage,
};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long after its deadline a request may be answered; after that it counts as lost.
const LATE_ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// How long an attempt may still arrive after the request was answered, its deadline passed or its client departed.
const FORWARDING_GRACE: Duration = Duration::from_millis(100);
/// How far the time left in a call may exceed the time until the client's deadline.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// How long before the end of its connection a request may have been sent without reaching the router.
const TRANSIT_TIME: Duration = Duration::from_millis(50);
/// How much later than the end of its key's window an attempt may arrive, by the protocol.
const KEY_WINDOW_SLACK: Duration = Duration::from_millis(50);
/// How long after the delivery of a drain a router may still send calls to the engine.
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Limit N of a slow start below which [`SMALL_SPREAD`] applies.
const SMALL_REQUEST_COUNT: f64 = 30.0;
/// The limit of N requests in a slow start may be exceeded by `SPREAD * (sqrt(N) + 1)`.
const SPREAD: f64 = 2.0;
/// Takes the place of [`SPREAD`] for a small N.
const SMALL_SPREAD: f64 = 3.0;
/// Minimum fraction of requests that are served in time. Requests whose clients depart are not counted.
const MIN_FRACTION_SERVED: f64 = 0.2;
const KB_PER_MB: u64 = 1024;

/// An invariant; the names are keys of the JSON report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Invariant {
    /// Each request whose client keeps waiting gets a final answer in time.
    Lost,
    /// No request gets a second final answer, and each answer belongs to an open request.
    SecondAnswer,
    /// Each result is one that an engine made for the request.
    WrongResult,
    /// No attempt is sent after its request was answered, its deadline passed or its client departed.
    ForwardedAfterEnd,
    /// No non-idempotent request is started twice.
    RunTwice,
    /// No request with an idempotency key is started again after the engines have forgotten the key.
    KeyWindow,
    /// No request is rejected if its client's retry may have a second effect.
    UnsafeRejection,
    /// No request has more attempts than the settings allow.
    TooManyAttempts,
    /// The time left in a call does not exceed the time until the client's deadline.
    Deadline,
    /// No attempt is sent to a draining engine.
    Drain,
    /// No engine receives more load during its slow start than the settings allow.
    SlowStart,
    /// No router crashes, and each is ready in time.
    Crash,
    /// Each router stays within its limits for memory and descriptors.
    Limit,
    /// The routers serve a minimum fraction of the requests in time.
    Idle,
}

/// A violation of an invariant.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    #[serde(rename = "rule")]
    pub invariant: Invariant,
    /// The request's id, if the violation concerns one request.
    pub request: Option<String>,
    #[serde(rename = "what")]
    pub description: String,
}

impl Violation {
    fn of_request(invariant: Invariant, request_id: &str, description: String) -> Self {
        Self { invariant, request: Some(request_id.to_owned()), description }
    }

    fn of_run(invariant: Invariant, description: String) -> Self {
        Self { invariant, request: None, description }
    }
}

/// The limits against which a run is checked.
pub struct ServiceLimits {
    pub slow_start: SlowStart,
    pub process: ProcessLimits,
    /// The end of the run; requests whose answer may come later are not checked for one.
    pub run_end: Duration,
    /// Mean work of a request.
    pub mean_work: Duration,
}

/// Checks all invariants of a run.
pub fn check(records: &Records, limits: &ServiceLimits) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (request_id, request) in &records.requests {
        violations.extend(check_request(request_id, request, records, limits));
    }
    violations.extend(check_drains(records));
    violations
        .extend(records.engine_starts.iter().filter_map(|start| check_slow_start(start, records, limits)));
    violations.extend(check_routers(records, limits));
    if records.unexpected_answers > 0 {
        let description = format!("{} answers without an open request", records.unexpected_answers);
        violations.push(Violation::of_run(Invariant::SecondAnswer, description));
    }
    let fraction_served = records.fraction_served();
    if fraction_served < MIN_FRACTION_SERVED {
        let description = format!("only {fraction_served:.3} of all requests were served in time");
        violations.push(Violation::of_run(Invariant::Idle, description));
    }
    violations
}

/// Returns the time by which each time limit of a request is extended: the stalls of the emulation and the time for
/// which the router was stopped while the request was open.
fn slack(request: &RequestRecord, records: &Records) -> Duration {
    let overlaps = |outage: &Outage| outage.from <= request.due_at() && outage.until >= request.sent_at;
    let stopped: Duration = outages_of(request, OutageKind::Stopped, records)
        .filter(|outage| overlaps(outage))
        .map(|outage| outage.until - outage.from)
        .sum();
    records.stalled_within(request.sent_at, request.due_at() + LATE_ANSWER_LIMIT) + stopped
}

/// Returns the outages of the given kind of a request's router.
fn outages_of<'a>(
    request: &'a RequestRecord,
    kind: OutageKind,
    records: &'a Records,
) -> impl Iterator<Item = &'a Outage> {
    records.outages.iter().filter(move |outage| outage.router == request.router && outage.kind == kind)
}

fn check_request(
    request_id: &str,
    request: &RequestRecord,
    records: &Records,
    limits: &ServiceLimits,
) -> Vec<Violation> {
    let slack = slack(request, records);
    let mut violations = Vec::new();
    let mut add = |invariant, description| {
        violations.push(Violation::of_request(invariant, request_id, description));
    };
    if request.answers.len() > 1 {
        add(Invariant::SecondAnswer, format!("{} answers", request.answers.len()));
    }
    if request.answers.iter().any(|answer| answer.kind == AnswerKind::WrongResult) {
        add(Invariant::WrongResult, "a result that no engine made for the request".to_owned());
    }
    if let Some(description) = describe_loss(request, records, limits, slack) {
        add(Invariant::Lost, description);
    }
    if let Some(description) = describe_forwarding_after_end(request, slack) {
        add(Invariant::ForwardedAfterEnd, description);
    }
    if request.attempts.len() > MAX_ATTEMPTS {
        add(Invariant::TooManyAttempts, format!("{} attempts", request.attempts.len()));
    }
    for attempt in &request.attempts {
        if let Some(description) = describe_excessive_time_left(attempt, request, slack) {
            add(Invariant::Deadline, description);
        }
    }
    violations.extend(check_effects(request_id, request, slack));
    violations
}

/// Checks that a request has no second effect, and that its answer does not invite its client to cause one.
fn check_effects(request_id: &str, request: &RequestRecord, slack: Duration) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut add = |invariant, description: Option<String>| {
        violations.extend(description.map(|text| Violation::of_request(invariant, request_id, text)));
    };
    add(Invariant::RunTwice, describe_repeated_run(request));
    add(Invariant::KeyWindow, describe_run_after_key_window(request, slack));
    add(Invariant::UnsafeRejection, describe_unsafe_rejection(request, slack));
    violations
}

/// Describes an attempt whose call has more time left than the client.
fn describe_excessive_time_left(
    attempt: &Attempt,
    request: &RequestRecord,
    slack: Duration,
) -> Option<String> {
    let client_time_left = request.due_at().saturating_sub(attempt.at);
    let call_time_left = attempt.time_left;
    (call_time_left > client_time_left + DEADLINE_SLACK + slack)
        .then(|| format!("the call has {call_time_left:?} left, its client {client_time_left:?}"))
}

/// Describes a request that was not answered within [`LATE_ANSWER_LIMIT`] after its deadline. Requests whose client
/// departed are exempt, and so are the requests of a router that was killed, since they may be lost.
fn describe_loss(
    request: &RequestRecord,
    records: &Records,
    limits: &ServiceLimits,
    slack: Duration,
) -> Option<String> {
    let due_at = request.due_at() + LATE_ANSWER_LIMIT + slack;
    let answer = request.answers.first();
    let is_answered_in_time = answer.is_some_and(|answer| answer.at <= due_at);
    if request.departure.is_some() || due_at > limits.run_end || is_answered_in_time {
        return None;
    }
    let mut kills = outages_of(request, OutageKind::Killed, records);
    if kills.any(|outage| outage.from <= due_at && outage.until >= request.sent_at) {
        return None;
    }
    match (answer, request.connection_ended_at) {
        (Some(answer), _) => Some(format!("answered {:?} after its deadline", answer.at - request.due_at())),
        (None, Some(ended_at)) => describe_loss_with_connection(request, ended_at, slack),
        (None, None) => Some("never answered".to_owned()),
    }
}

/// Describes a request whose connection ended without an answer, unless the router may have closed the connection
/// before the request reached it.
fn describe_loss_with_connection(
    request: &RequestRecord,
    ended_at: Duration,
    slack: Duration,
) -> Option<String> {
    let may_be_in_transit = request.sent_at + TRANSIT_TIME + slack >= ended_at;
    if may_be_in_transit && request.attempts.is_empty() {
        return None;
    }
    Some(format!("its connection ended after {:?} without an answer", ended_at - request.sent_at))
}

/// Describes an attempt that was sent although its result was no longer needed.
fn describe_forwarding_after_end(request: &RequestRecord, slack: Duration) -> Option<String> {
    let departure = request.departure.map(|(at, departure)| (at, departure_description(departure)));
    let answer = request.answers.first().map(|answer| (answer.at, "it was answered"));
    let deadline = Some((request.due_at(), "its deadline"));
    for (ended_at, end) in [departure, answer, deadline].into_iter().flatten() {
        let mut attempts = request.attempts.iter();
        if let Some(attempt) = attempts.find(|attempt| attempt.at > ended_at + FORWARDING_GRACE + slack) {
            return Some(format!("an attempt arrived {:?} after {end}", attempt.at - ended_at));
        }
    }
    None
}

fn departure_description(departure: Departure) -> &'static str {
    match departure {
        Departure::Cancelled => "its client cancelled it",
        Departure::ConnectionClosed => "its client closed the connection",
    }
}

/// Describes a non-idempotent request that engines started more than once.
fn describe_repeated_run(request: &RequestRecord) -> Option<String> {
    let starts = request.attempts.iter().filter(|attempt| attempt.started).count();
    (request.class == RequestClass::Post && starts > 1).then(|| format!("engines started it {starts} times"))
}

/// Returns the time at which the engines have forgotten the key of a request; `None` if the request has no key or no engine
/// has started it.
fn key_forgotten_at(request: &RequestRecord, slack: Duration) -> Option<Duration> {
    let started = request.attempts.iter().filter(|attempt| attempt.started);
    let first_start = started.map(|attempt| attempt.at).min()?;
    let has_key = request.class == RequestClass::Load;
    has_key.then_some(first_start + IDEMPOTENCY_WINDOW + KEY_WINDOW_SLACK + slack)
}

/// Describes an attempt that an engine started after the engines had forgotten the request's key.
fn describe_run_after_key_window(request: &RequestRecord, slack: Duration) -> Option<String> {
    let forgotten_at = key_forgotten_at(request, slack)?;
    let mut started = request.attempts.iter().filter(|attempt| attempt.started);
    let late = started.find(|attempt| attempt.at > forgotten_at)?;
    Some(format!("engines started it again {:?} after they had forgotten its key", late.at - forgotten_at))
}

/// Describes a rejection, which says that a retry is harmless, of a request that an engine has started and whose repetition
/// engines do not recognize.
fn describe_unsafe_rejection(request: &RequestRecord, slack: Duration) -> Option<String> {
    let rejection = request.answers.iter().find(|answer| answer.kind == AnswerKind::Rejected)?;
    let has_started = request.attempts.iter().any(|attempt| attempt.started);
    let is_forgotten = key_forgotten_at(request, slack).is_some_and(|at| rejection.at > at);
    let is_unsafe = has_started && request.class == RequestClass::Post || is_forgotten;
    is_unsafe.then(|| "rejected although a retry may have a second effect".to_owned())
}

fn check_drains(records: &Records) -> Vec<Violation> {
    let mut drains_by_engine: BTreeMap<usize, Vec<&Drain>> = BTreeMap::new();
    for drain in &records.drains {
        drains_by_engine.entry(drain.engine).or_default().push(drain);
    }
    let mut violations = Vec::new();
    for (request_id, request) in &records.requests {
        let slack = slack(request, records);
        for attempt in &request.attempts {
            for drain in drains_by_engine.get(&attempt.engine).into_iter().flatten() {
                let is_draining = attempt.at > drain.delivered_at + DRAIN_GRACE + slack
                    && drain.ended_at.is_none_or(|ended_at| attempt.at < ended_at);
                if is_draining {
                    let delay = attempt.at - drain.listed_at;
                    let description =
                        format!("an attempt arrived {delay:?} after its engine was listed as draining");
                    violations.push(Violation::of_request(Invariant::Drain, request_id, description));
                }
            }
        }
    }
    violations
}

/// An attempt that an engine received during its slow start.
struct ReceivedLoad {
    at: Duration,
    /// The attempt's work, as a multiple of the mean work.
    weight: f64,
}

/// Checks that the load of an engine in each window of its slow start stays within the limit, and describes the first
/// window in which it does not.
fn check_slow_start(start: &EngineStart, records: &Records, limits: &ServiceLimits) -> Option<Violation> {
    let received = load_during_slow_start(start, records, limits);
    for (index, ReceivedLoad { at, .. }) in received.iter().enumerate() {
        let window_start = at.saturating_sub(limits.slow_start.window);
        let in_window = received[..=index].iter().filter(|load| load.at > window_start);
        let sum: f64 = in_window.map(|load| load.weight).sum();
        let allowed = limits.slow_start.allowed_requests(*at - start.started_at, limits.mean_work);
        let spread = if allowed < SMALL_REQUEST_COUNT { SMALL_SPREAD } else { SPREAD };
        if sum > allowed + spread * allowed.sqrt() + spread {
            let engine = start.engine;
            let description =
                format!("engine {engine} received {sum:.1} requests of mean work, its limit is {allowed:.1}");
            return Some(Violation::of_run(Invariant::SlowStart, description));
        }
    }
    None
}

/// Returns the attempts that an engine received during its slow start, in the order of their arrival.
fn load_during_slow_start(
    start: &EngineStart,
    records: &Records,
    limits: &ServiceLimits,
) -> Vec<ReceivedLoad> {
    let slow_start = start.listed_at..start.started_at + limits.slow_start.warm_up;
    let mut received = Vec::new();
    for request in records.requests.values() {
        let weight = request.class.profile().work.as_secs_f64() / limits.mean_work.as_secs_f64();
        for attempt in &request.attempts {
            if attempt.engine == start.engine && slow_start.contains(&attempt.at) {
                received.push(ReceivedLoad { at: attempt.at, weight });
            }
        }
    }
    received.sort_by_key(|load| load.at);
    received
}

fn check_routers(records: &Records, limits: &ServiceLimits) -> Vec<Violation> {
    let mut violations = Vec::new();
    for outage in &records.outages {
        if matches!(outage.kind, OutageKind::Crashed | OutageKind::NotReady) {
            let description = format!("router {} at {:?}: {:?}", outage.router, outage.from, outage.kind);
            violations.push(Violation::of_run(Invariant::Crash, description));
        }
    }
    for (router, Usage { memory_kb, descriptors, .. }) in records.usage.iter().enumerate() {
        let has_excess_memory = *memory_kb > limits.process.memory_mb * KB_PER_MB;
        if has_excess_memory || *descriptors > limits.process.descriptors {
            let description = format!("router {router}: {memory_kb} kB, {descriptors} descriptors");
            violations.push(Violation::of_run(Invariant::Limit, description));
        }
    }
    violations
}

#[cfg(test)]
#[path = "../tests/unit/invariants.rs"]
mod tests;
