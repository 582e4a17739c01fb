use super::*;
use crate::classes::mean_work;
use crate::config::{PROCESS_LIMITS, SLOW_START};
use crate::records::{Answer, Attempt, Drain, Outage};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A post that was sent at 1 s, attempted once and answered.
fn served_request() -> RequestRecord {
    RequestRecord {
        class: RequestClass::Post,
        router: 0,
        sent_at: ms(1000),
        deadline: ms(2000),
        departure: None,
        answers: vec![Answer { at: ms(1100), kind: AnswerKind::Succeeded }],
        attempts: vec![attempt(1010)],
        connection_ended_at: None,
    }
}

fn attempt(at: u64) -> Attempt {
    Attempt { at: ms(at), engine: 0, time_left: ms(1500), started: true, ended_at: None }
}

fn rules_broken_by(request: RequestRecord, change: impl FnOnce(&mut Records)) -> Vec<Rule> {
    let mut records = Records { usage: vec![Usage::default()], ..Records::default() };
    // Enough others are served for the fleet not to count as idle.
    for number in 0..20 {
        records
            .requests
            .insert(format!("other-{number}"), RequestRecord { attempts: Vec::new(), ..served_request() });
    }
    records.requests.insert("judged".to_owned(), request);
    change(&mut records);
    let terms =
        Terms { slow_start: SLOW_START, limits: PROCESS_LIMITS, end: ms(60_000), mean_work: mean_work() };
    let mut rules: Vec<Rule> = judge(&records, &terms).into_iter().map(|violation| violation.rule).collect();
    rules.dedup();
    rules
}

fn broken_by(change: impl FnOnce(&mut RequestRecord)) -> Vec<Rule> {
    let mut request = served_request();
    change(&mut request);
    rules_broken_by(request, |_| {})
}

#[test]
fn a_served_request_breaks_nothing() {
    assert_eq!(broken_by(|_| {}), []);
}

#[test]
fn each_invariant_of_a_request_is_broken_by_its_own_fault() {
    assert_eq!(broken_by(|request| request.answers.clear()), [Rule::Lost]);
    assert_eq!(broken_by(|request| request.answers[0].at = ms(3501)), [Rule::Lost]);
    assert_eq!(
        broken_by(|request| request.answers.push(Answer { at: ms(1200), kind: AnswerKind::Failed })),
        [Rule::SecondAnswer]
    );
    assert_eq!(broken_by(|request| request.answers[0].kind = AnswerKind::WrongResult), [Rule::WrongResult]);
    assert_eq!(broken_by(|request| request.departure = Some((ms(1005), Departure::ConnectionClosed))), []);
    assert_eq!(
        broken_by(|request| request.departure = Some((ms(900), Departure::Cancelled))),
        [Rule::ForwardedAfterEnd]
    );
    assert_eq!(
        broken_by(|request| request.attempts.push(attempt(1300))),
        [Rule::ForwardedAfterEnd, Rule::RunTwice]
    );
    assert_eq!(broken_by(|request| request.attempts[0].time_left = ms(2141)), [Rule::Deadline]);
    let many = |request: &mut RequestRecord| {
        request.class = RequestClass::Lookup;
        request.attempts = vec![attempt(1010); 4];
    };
    assert_eq!(broken_by(many), [Rule::TooManyAttempts]);
}

#[test]
fn a_request_is_lost_with_its_connection_unless_it_may_have_crossed_the_close() {
    let closed_at = |at| {
        move |request: &mut RequestRecord| {
            request.answers.clear();
            request.attempts.clear();
            request.connection_ended_at = Some(ms(at));
        }
    };
    assert_eq!(broken_by(closed_at(1049)), []);
    assert_eq!(broken_by(closed_at(1100)), [Rule::Lost]);
}

#[test]
fn only_a_killed_router_frees_its_requests() {
    let unanswered = || RequestRecord { answers: Vec::new(), ..served_request() };
    let outage = |kind| Outage { router: 0, from: ms(1050), until: ms(1050), kind };
    assert_eq!(rules_broken_by(unanswered(), |records| records.outages.push(outage(OutageKind::Killed))), []);
    assert_eq!(
        rules_broken_by(unanswered(), |records| records.outages.push(outage(OutageKind::Terminated))),
        [Rule::Lost]
    );
    let crash = |records: &mut Records| records.outages.push(outage(OutageKind::Crashed));
    assert_eq!(rules_broken_by(served_request(), crash), [Rule::Crash]);
}

#[test]
fn drains_slow_starts_and_limits_are_judged() {
    let drained = |records: &mut Records| {
        records.drains.push(Drain {
            engine: 0,
            listed_at: Duration::ZERO,
            delivered_at: ms(9_900),
            ended_at: None,
        });
    };
    let late = RequestRecord {
        sent_at: ms(12_000),
        answers: vec![Answer { at: ms(12_100), kind: AnswerKind::Succeeded }],
        attempts: vec![attempt(12_010)],
        ..served_request()
    };
    assert_eq!(rules_broken_by(late, drained), [Rule::Drain]);
    let cold = |records: &mut Records| {
        records.engine_starts.push(EngineStart { engine: 0, started_at: ms(500), listed_at: ms(500) });
        for number in 0..200 {
            records.requests.insert(format!("crowd-{number}"), served_request());
        }
    };
    assert_eq!(rules_broken_by(served_request(), cold), [Rule::SlowStart]);
    let swollen = |records: &mut Records| records.usage[0].memory_kb = 193 * 1024;
    assert_eq!(rules_broken_by(served_request(), swollen), [Rule::Limit]);
}

#[test]
fn a_fleet_that_serves_nobody_is_a_fault() {
    let idle = |records: &mut Records| {
        records.requests.values_mut().for_each(|request| request.answers[0].kind = AnswerKind::Rejected);
    };
    assert_eq!(rules_broken_by(served_request(), idle), [Rule::Idle]);
}
