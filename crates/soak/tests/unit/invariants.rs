use super::*;
use crate::classes::mean_work;
use crate::config::{PROCESS_LIMITS, SLOW_START};
use crate::records::Answer;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request of class `post` that was sent at 1 s, attempted once and answered.
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
    Attempt { at: ms(at), engine: 0, time_left: ms(1500), started: true, pages: 0, ended_at: None }
}

fn invariants_violated_by(request: RequestRecord, change: impl FnOnce(&mut Records)) -> Vec<Invariant> {
    let mut records = Records { usage: vec![Usage::default()], ..Records::default() };
    // These requests keep the served fraction above its limit, whatever the outcome of the checked request.
    for number in 0..20 {
        records
            .requests
            .insert(format!("other-{number}"), RequestRecord { attempts: Vec::new(), ..served_request() });
    }
    records.requests.insert("checked".to_owned(), request);
    change(&mut records);
    let limits = ServiceLimits {
        slow_start: SLOW_START,
        process: PROCESS_LIMITS,
        run_end: ms(60_000),
        mean_work: mean_work(),
    };
    let violations = check(&records, &limits).into_iter();
    let mut invariants: Vec<Invariant> = violations.map(|violation| violation.invariant).collect();
    invariants.dedup();
    invariants
}

fn violated_by(change: impl FnOnce(&mut RequestRecord)) -> Vec<Invariant> {
    let mut request = served_request();
    change(&mut request);
    invariants_violated_by(request, |_| {})
}

#[test]
fn a_served_request_violates_no_invariant() {
    assert_eq!(violated_by(|_| {}), []);
}

#[test]
fn each_invariant_of_a_request_detects_its_violation() {
    assert_eq!(violated_by(|request| request.answers.clear()), [Invariant::Lost]);
    assert_eq!(violated_by(|request| request.answers[0].at = ms(3501)), [Invariant::Lost]);
    assert_eq!(
        violated_by(|request| request.answers.push(Answer { at: ms(1200), kind: AnswerKind::Failed })),
        [Invariant::SecondAnswer]
    );
    assert_eq!(
        violated_by(|request| request.answers[0].kind = AnswerKind::WrongResult),
        [Invariant::WrongResult]
    );
    assert_eq!(violated_by(|request| request.departure = Some((ms(1005), Departure::ConnectionClosed))), []);
    assert_eq!(
        violated_by(|request| request.departure = Some((ms(900), Departure::Cancelled))),
        [Invariant::ForwardedAfterEnd]
    );
    assert_eq!(
        violated_by(|request| request.attempts.push(attempt(1300))),
        [Invariant::ForwardedAfterEnd, Invariant::RunTwice]
    );
    assert_eq!(violated_by(|request| request.attempts[0].time_left = ms(2141)), [Invariant::Deadline]);
    let attempted_too_often = |request: &mut RequestRecord| {
        request.class = RequestClass::Lookup;
        request.attempts = vec![attempt(1010); 4];
    };
    assert_eq!(violated_by(attempted_too_often), [Invariant::TooManyAttempts]);
}

#[test]
fn a_repeated_effect_and_a_rejection_after_the_window_of_a_key_are_detected() {
    let forgotten_after = IDEMPOTENCY_WINDOW + KEY_WINDOW_SLACK;
    let request = |second_attempt: Duration, kind, answered: Duration| {
        let first_at = ms(1010);
        let second = Attempt { at: first_at + second_attempt, time_left: ms(0), ..attempt(0) };
        invariants_violated_by(
            RequestRecord {
                class: RequestClass::Load,
                attempts: vec![attempt(1010), second],
                answers: vec![Answer { at: first_at + answered, kind }],
                ..served_request()
            },
            |_| {},
        )
    };
    let served_after = |time| request(time, AnswerKind::Succeeded, time + ms(1));
    assert_eq!(served_after(forgotten_after), []);
    assert_eq!(served_after(forgotten_after + ms(1)), [Invariant::KeyWindow]);
    let rejected_after = |time| request(ms(1), AnswerKind::Rejected, time);
    assert_eq!(rejected_after(forgotten_after), []);
    assert_eq!(rejected_after(forgotten_after + ms(1)), [Invariant::UnsafeRejection]);
    let reject = |served: &mut RequestRecord| served.answers[0].kind = AnswerKind::Rejected;
    assert_eq!(violated_by(reject), [Invariant::UnsafeRejection]);
}

#[test]
fn a_request_is_lost_unless_in_transit_at_the_close() {
    let closed_at = |at| {
        move |request: &mut RequestRecord| {
            request.answers.clear();
            request.attempts.clear();
            request.connection_ended_at = Some(ms(at));
        }
    };
    assert_eq!(violated_by(closed_at(1049)), []);
    assert_eq!(violated_by(closed_at(1100)), [Invariant::Lost]);
}

#[test]
fn only_a_killed_router_may_lose_its_requests() {
    let unanswered = || RequestRecord { answers: Vec::new(), ..served_request() };
    let outage = |kind| Outage { router: 0, from: ms(1050), until: ms(1050), kind };
    assert_eq!(
        invariants_violated_by(unanswered(), |records| records.outages.push(outage(OutageKind::Killed))),
        []
    );
    assert_eq!(
        invariants_violated_by(unanswered(), |records| records.outages.push(outage(OutageKind::Terminated))),
        [Invariant::Lost]
    );
    let crash = |records: &mut Records| records.outages.push(outage(OutageKind::Crashed));
    assert_eq!(invariants_violated_by(served_request(), crash), [Invariant::Crash]);
}

#[test]
fn drains_slow_starts_and_limits_are_checked() {
    let drain_engine = |records: &mut Records| {
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
    assert_eq!(invariants_violated_by(late, drain_engine), [Invariant::Drain]);
    let flood_warming_engine = |records: &mut Records| {
        records.engine_starts.push(EngineStart { engine: 0, started_at: ms(500), listed_at: ms(500) });
        for number in 0..200 {
            records.requests.insert(format!("further-{number}"), served_request());
        }
    };
    assert_eq!(invariants_violated_by(served_request(), flood_warming_engine), [Invariant::SlowStart]);
    let exceed_memory = |records: &mut Records| records.usage[0].memory_kb = 193 * 1024;
    assert_eq!(invariants_violated_by(served_request(), exceed_memory), [Invariant::Limit]);
}

#[test]
fn a_fleet_that_serves_no_requests_violates_idle() {
    let reject_all = |records: &mut Records| {
        for request in records.requests.values_mut() {
            request.answers[0].kind = AnswerKind::Rejected;
            request.attempts.clear();
        }
    };
    assert_eq!(invariants_violated_by(served_request(), reject_all), [Invariant::Idle]);
}
