//! What must hold of a run, judged by the records of clients and engines alone.

use crate::classes::RequestClass;
use crate::config::{MAX_ATTEMPTS, ProcessLimits, SlowStart};
use crate::records::{AnswerKind, Departure, EngineStart, OutageKind, Records, RequestRecord, Usage};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// After its deadline an answer only earns nothing; later than this the request is lost.
const LATE_ANSWER: Duration = Duration::from_millis(500);
/// How long after its client has left, or has its answer, an attempt may still begin.
const DEPARTED: Duration = Duration::from_millis(100);
/// By how much the deadline passed on may exceed what the client has left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// What was sent so shortly before the end of its connection may have crossed it.
const CROSSING: Duration = Duration::from_millis(50);
/// How long after it is notified a router may still send to a draining engine.
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Below so many requests that a starting engine bears, its sum may spread wider.
const FEW_REQUESTS: f64 = 30.0;
/// Below this part of all requests, routers serve nobody although engines stand ready.
const LEAST_SERVED: f64 = 0.2;

/// An invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// One timely final answer.
    Lost,
    /// A second final answer, or one to nothing that was asked.
    SecondAnswer,
    /// A result that no engine made for the request.
    WrongResult,
    /// An attempt for nobody: its client has left, or has its answer.
    ForwardedAfterEnd,
    /// What must not run twice may have.
    RunTwice,
    /// More attempts than the settings allow.
    TooManyAttempts,
    /// The deadline passed on exceeds what the client has left.
    Deadline,
    /// An attempt at a draining or removed engine.
    Drain,
    /// More than a starting engine bears.
    SlowStart,
    /// A router crashed, or was not ready in time.
    Crash,
    /// A router went over its memory or its descriptors.
    Limit,
    /// Routers serve nobody although engines stand ready.
    Idle,
}

/// An invariant that did not hold.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    pub rule: Rule,
    /// The request, where it is about one.
    pub request: Option<String>,
    pub what: String,
}

impl Violation {
    fn new(rule: Rule, request: Option<&str>, what: String) -> Self {
        Self { rule, request: request.map(str::to_owned), what }
    }
}

/// What the settings say that the judgement needs.
pub struct Terms {
    pub slow_start: SlowStart,
    pub limits: ProcessLimits,
    /// The end of the run: what was due after it is not judged.
    pub end: Duration,
    /// Mean work of a request.
    pub mean_work: Duration,
}

/// Judges a run.
pub fn judge(records: &Records, terms: &Terms) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, request) in &records.requests {
        violations.extend(judge_request(id, request, records, terms));
    }
    violations.extend(judge_drains(records));
    violations
        .extend(records.engine_starts.iter().filter_map(|start| judge_cold_start(start, records, terms)));
    violations.extend(judge_routers(records, terms));
    if records.unexpected_answers > 0 {
        let what = format!("{} answers to nothing that was asked", records.unexpected_answers);
        violations.push(Violation::new(Rule::SecondAnswer, None, what));
    }
    if records.fraction_served() < LEAST_SERVED {
        let what = format!("only {:.3} of all requests were served in time", records.fraction_served());
        violations.push(Violation::new(Rule::Idle, None, what));
    }
    violations
}

/// How much later than it was due something may be seen, by the emulation's own lateness and the router's stops.
fn slack(request: &RequestRecord, records: &Records) -> Duration {
    let end = request.sent_at + request.deadline;
    let is_during = |from: Duration, until: Duration| from <= end && until >= request.sent_at;
    let outages = records.outages.iter().filter(|outage| outage.router == request.router);
    let stopped = outages
        .filter(|outage| outage.kind == OutageKind::Stopped && is_during(outage.from, outage.until))
        .map(|outage| outage.until - outage.from);
    records.stalled_within(request.sent_at, end + LATE_ANSWER) + stopped.sum::<Duration>()
}

fn judge_request(id: &str, request: &RequestRecord, records: &Records, terms: &Terms) -> Vec<Violation> {
    let slack = slack(request, records);
    let mut found = Vec::new();
    let mut add = |rule, what| found.push(Violation::new(rule, Some(id), what));
    if request.answers.len() > 1 {
        add(Rule::SecondAnswer, format!("{} answers", request.answers.len()));
    }
    if request.answers.iter().any(|answer| answer.kind == AnswerKind::WrongResult) {
        add(Rule::WrongResult, "a result that no engine made for it".to_owned());
    }
    if let Some(what) = lost(request, records, terms, slack) {
        add(Rule::Lost, what);
    }
    if let Some(what) = forwarded_after_end(request, slack) {
        add(Rule::ForwardedAfterEnd, what);
    }
    if let Some(what) = run_twice(request) {
        add(Rule::RunTwice, what);
    }
    if request.attempts.len() > MAX_ATTEMPTS {
        add(Rule::TooManyAttempts, format!("{} attempts", request.attempts.len()));
    }
    for attempt in &request.attempts {
        let left = (request.sent_at + request.deadline).saturating_sub(attempt.at);
        if attempt.time_left > left + DEADLINE_SLACK + slack {
            add(Rule::Deadline, format!("{:?} passed on, the client has {left:?} left", attempt.time_left));
        }
    }
    found
}

/// Whether a request whose client stayed got no answer, or one too late.
fn lost(request: &RequestRecord, records: &Records, terms: &Terms, slack: Duration) -> Option<String> {
    let due = request.sent_at + request.deadline + LATE_ANSWER + slack;
    let answer = request.answers.first();
    if request.departure.is_some() || due > terms.end || answer.is_some_and(|answer| answer.at <= due) {
        return None;
    }
    let has_died = |kind| {
        let outages = records.outages.iter();
        let mut outages = outages.filter(|outage| outage.router == request.router && outage.kind == kind);
        outages.any(|outage| outage.from <= due && outage.until >= request.sent_at)
    };
    if has_died(OutageKind::Killed) {
        return None;
    }
    if let (None, Some(ended_at)) = (answer, request.connection_ended_at) {
        let may_have_crossed = request.sent_at + CROSSING + slack >= ended_at;
        if may_have_crossed && request.attempts.is_empty() {
            return None;
        }
        return Some(format!(
            "its connection ended after {:?} without an answer",
            ended_at - request.sent_at
        ));
    }
    Some(match answer {
        Some(answer) => {
            format!("answered {:?} after its deadline", answer.at - request.sent_at - request.deadline)
        }
        None => "never answered".to_owned(),
    })
}

/// Whether an attempt arrived at an engine for nobody.
fn forwarded_after_end(request: &RequestRecord, slack: Duration) -> Option<String> {
    let left_at = request.departure.map(|(at, how)| {
        (
            at,
            match how {
                Departure::Cancelled => "its client withdrew it",
                Departure::ConnectionClosed => "its client closed",
            },
        )
    });
    let answered_at = request.answers.first().map(|answer| (answer.at, "it was answered"));
    let overdue_at = Some((request.sent_at + request.deadline, "its deadline"));
    for (at, what) in [left_at, answered_at, overdue_at].into_iter().flatten() {
        let late = request.attempts.iter().find(|attempt| attempt.at > at + DEPARTED + slack);
        if let Some(attempt) = late {
            return Some(format!("an attempt began {:?} after {what}", attempt.at - at));
        }
    }
    None
}

/// Whether a request that must not run twice was sent again after an attempt that ran.
fn run_twice(request: &RequestRecord) -> Option<String> {
    let starts = request.attempts.iter().filter(|attempt| attempt.started).count();
    (request.class == RequestClass::Post && starts > 1).then(|| format!("it was started {starts} times"))
}

fn judge_drains(records: &Records) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut drains: BTreeMap<usize, Vec<_>> = BTreeMap::new();
    for drain in &records.drains {
        drains.entry(drain.engine).or_default().push(drain);
    }
    for (id, request) in &records.requests {
        for attempt in &request.attempts {
            for drain in drains.get(&attempt.engine).into_iter().flatten() {
                let from = drain.delivered_at + DRAIN_GRACE + slack(request, records);
                if attempt.at > from && drain.ended_at.is_none_or(|until| attempt.at < until) {
                    let what =
                        format!("an attempt {:?} after its drain was listed", attempt.at - drain.listed_at);
                    found.push(Violation::new(Rule::Drain, Some(id), what));
                }
            }
        }
    }
    found
}

/// Whether a starting engine got more work in any window than it bears, counted in requests of mean work.
fn judge_cold_start(start: &EngineStart, records: &Records, terms: &Terms) -> Option<Violation> {
    let until = start.started_at + terms.slow_start.warm_up;
    let weight = |class: RequestClass| class.profile().work.as_secs_f64() / terms.mean_work.as_secs_f64();
    let attempts = records
        .requests
        .values()
        .flat_map(|request| request.attempts.iter().map(move |attempt| (attempt, request.class)));
    let mut received: Vec<(Duration, f64)> = attempts
        .filter(|(attempt, _)| {
            attempt.engine == start.engine && attempt.at >= start.listed_at && attempt.at < until
        })
        .map(|(attempt, class)| (attempt.at, weight(class)))
        .collect();
    received.sort_by_key(|(at, _)| *at);
    for (index, (at, _)) in received.iter().enumerate() {
        let window_begin = at.saturating_sub(terms.slow_start.window);
        let in_window = received[..=index].iter().filter(|(other, _)| *other > window_begin);
        let sum: f64 = in_window.map(|(_, weight)| *weight).sum();
        let allowed = terms.slow_start.allowed_requests(*at - start.started_at, terms.mean_work);
        let spread = if allowed < FEW_REQUESTS { 3.0 } else { 2.0 };
        if sum > allowed + spread * allowed.sqrt() + spread {
            let what = format!("engine {} got {sum:.1} where it bears {allowed:.1}", start.engine);
            return Some(Violation::new(Rule::SlowStart, None, what));
        }
    }
    None
}

fn judge_routers(records: &Records, terms: &Terms) -> Vec<Violation> {
    let mut found = Vec::new();
    for outage in &records.outages {
        if matches!(outage.kind, OutageKind::Crashed | OutageKind::NotReady) {
            let what = format!("router {} at {:?}: {:?}", outage.router, outage.from, outage.kind);
            found.push(Violation::new(Rule::Crash, None, what));
        }
    }
    for (router, Usage { memory_kb, descriptors, .. }) in records.usage.iter().enumerate() {
        let is_over = *memory_kb > terms.limits.memory_mb * 1024 || *descriptors > terms.limits.descriptors;
        if is_over {
            let what = format!("router {router}: {memory_kb} kB, {descriptors} descriptors");
            found.push(Violation::new(Rule::Limit, None, what));
        }
    }
    found
}

#[cfg(test)]
#[path = "../tests/unit/invariants.rs"]
mod tests;
