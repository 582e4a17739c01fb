//! Whose turn it is, what is charged and which waits are estimated, as the logs of short scenarios.

use emberflow_teams::*;
use expect_test::expect;
use std::fmt::Write;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn allowance(work: u64, period: u64, burst: u64) -> Option<Allowance> {
    Some(Allowance { work: ms(work), period: ms(period), burst: ms(burst) })
}

/// Teams of one organization, by share and budget.
fn one_organization(teams: &[(f64, Option<Allowance>)]) -> Quotas {
    let team = |(share, allowance): &(f64, Option<Allowance>)| Team {
        organization: 0,
        share: *share,
        allowance: *allowance,
        max_waiting: 5,
    };
    Quotas { organizations: vec![Organization { share: 1.0 }], teams: teams.iter().map(team).collect() }
}

/// Queues, a clock, and a log of what came out.
struct Scenario {
    queues: Queues,
    now: u64,
    next: RequestId,
    log: String,
}

impl Scenario {
    fn of(quotas: Quotas) -> Self {
        Self { queues: Queues::new(quotas, Duration::ZERO), now: 0, next: 0, log: String::new() }
    }

    fn at(&mut self, now: u64) -> &mut Self {
        self.now = now;
        self.queues.advance(ms(now));
        self
    }

    fn enqueue_with(&mut self, change: impl Fn(&mut NewRequest)) -> &mut Self {
        let (request, team, urgency) = (self.next, 0, 0);
        let (work, latency_objective, deadline) = (ms(100), ms(1000), ms(60_000));
        let mut new_request = NewRequest {
            request,
            team,
            urgency,
            class: 0,
            work,
            latency_objective,
            deadline,
            identity: None,
            key: None,
        };
        change(&mut new_request);
        self.next += 1;
        if let Err(Rejection { reason, retry_after }) = self.queues.enqueue(ms(self.now), new_request) {
            let _ = writeln!(
                self.log,
                "{:<6}request {request} of team {} is rejected, {reason:?}, retry after {} ms",
                self.now,
                new_request.team,
                retry_after.as_millis()
            );
        }
        self
    }

    fn enqueue(&mut self, team: usize, work: u64) -> &mut Self {
        self.enqueue_with(|new_request| (new_request.team, new_request.work) = (team, ms(work)))
    }

    /// Dispatches so many requests.
    fn turns(&mut self, count: usize) -> &mut Self {
        for _ in 0..count {
            let next = self.queues.dispatch_order().next();
            match next {
                Some(request) => {
                    assert!(self.queues.dispatch(ms(self.now), request), "it waits");
                    let _ = writeln!(self.log, "{:<6}request {request} is dispatched", self.now);
                }
                None => drop(writeln!(self.log, "{:<6}nothing waits", self.now)),
            }
        }
        self
    }

    fn settle(&mut self, request: RequestId, outcome: Outcome) -> &mut Self {
        self.queues.settle(ms(self.now), request, outcome);
        self
    }

    fn note(&mut self, what: String) -> &mut Self {
        let _ = writeln!(self.log, "{:<6}{what}", self.now);
        self
    }

    fn log_budget(&mut self, team: usize) -> &mut Self {
        let left = self.queues.budget_remaining(team).unwrap_or(f64::NAN);
        self.note(format!("team {team} has {:.0} ms of its budget left", left * 1e3))
    }

    fn take_log(&mut self) -> String {
        std::mem::take(&mut self.log)
    }
}

#[test]
fn teams_take_turns_by_their_shares_of_work() {
    let mut scenario = Scenario::of(one_organization(&[(2.0, None), (1.0, None)]));
    scenario
        .enqueue(0, 100)
        .enqueue(0, 100)
        .enqueue(0, 100)
        .enqueue(0, 100)
        .enqueue(1, 100)
        .enqueue(1, 100)
        .turns(7);
    expect![[r#"
        0     request 0 is dispatched
        0     request 4 is dispatched
        0     request 1 is dispatched
        0     request 2 is dispatched
        0     request 5 is dispatched
        0     request 3 is dispatched
        0     nothing waits
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn organizations_share_first_and_teams_share_what_their_organization_has() {
    let team = |organization| Team { organization, share: 1.0, allowance: None, max_waiting: 5 };
    let quotas = Quotas {
        organizations: vec![Organization { share: 1.0 }, Organization { share: 1.0 }],
        teams: vec![team(0), team(0), team(1)],
    };
    let parts: Vec<f64> = (0..3).map(|at| quotas.overall_share(at)).collect();
    let mut scenario = Scenario::of(quotas);
    for team in [0, 0, 1, 1, 2, 2, 2, 2] {
        scenario.enqueue(team, 100);
    }
    scenario.turns(8).note(format!("parts {parts:?}"));
    expect![[r#"
        0     request 0 is dispatched
        0     request 4 is dispatched
        0     request 2 is dispatched
        0     request 5 is dispatched
        0     request 1 is dispatched
        0     request 6 is dispatched
        0     request 3 is dispatched
        0     request 7 is dispatched
        0     parts [0.25, 0.25, 0.5]
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn unused_share_is_not_saved_up() {
    let mut scenario = Scenario::of(one_organization(&[(1.0, None), (1.0, None)]));
    scenario
        .enqueue(0, 100)
        .enqueue(0, 100)
        .enqueue(0, 100)
        .turns(3)
        .at(500)
        .enqueue(0, 100)
        .enqueue(0, 100)
        .enqueue(1, 100)
        .enqueue(1, 100);
    scenario.enqueue(1, 100).turns(5);
    expect![[r#"
        0     request 0 is dispatched
        0     request 1 is dispatched
        0     request 2 is dispatched
        500   request 5 is dispatched
        500   request 3 is dispatched
        500   request 6 is dispatched
        500   request 4 is dispatched
        500   request 7 is dispatched
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn a_team_over_its_budget_comes_last_until_the_budget_covers_its_request() {
    let mut scenario = Scenario::of(one_organization(&[(1.0, allowance(100, 1000, 100)), (1.0, None)]));
    scenario
        .enqueue(0, 100)
        .turns(1)
        .log_budget(0)
        .enqueue(0, 100)
        .enqueue(1, 900)
        .enqueue(1, 900)
        .enqueue(1, 900)
        .turns(1);
    // 100 ms before the budget covers it, and at the first moment after.
    let due = scenario.queues.due().map(|at| at.as_millis());
    scenario.note(format!("due at {due:?}")).at(900).turns(1).at(1000).log_budget(0);
    scenario.at(1001).turns(2);
    // Without competition a team may exceed its budget.
    scenario.enqueue(0, 100).turns(1).log_budget(0);
    expect![[r#"
        0     request 0 is dispatched
        0     team 0 has 0 ms of its budget left
        0     request 2 is dispatched
        0     due at Some(1000)
        900   request 3 is dispatched
        1000  team 0 has 100 ms of its budget left
        1001  request 1 is dispatched
        1001  request 4 is dispatched
        1001  request 5 is dispatched
        1001  team 0 has -100 ms of its budget left
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn a_request_larger_than_the_burst_is_dispatched_when_the_budget_is_full() {
    let mut scenario = Scenario::of(one_organization(&[(1.0, allowance(100, 1000, 200)), (1.0, None)]));
    scenario.enqueue(0, 500).enqueue(0, 100).enqueue(1, 100).turns(1).log_budget(0).turns(1);
    let due = scenario.queues.due().map(|at| at.as_millis());
    scenario
        .note(format!("due at {due:?}"))
        .enqueue(1, 100)
        .turns(1)
        .at(4001)
        .log_budget(0)
        .enqueue(1, 100)
        .turns(1);
    expect![[r#"
        0     request 0 is dispatched
        0     team 0 has -300 ms of its budget left
        0     request 2 is dispatched
        0     due at Some(1000)
        0     request 3 is dispatched
        4001  team 0 has 100 ms of its budget left
        4001  request 1 is dispatched
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn urgent_requests_come_first_except_for_every_eighth_turn() {
    let mut scenario = Scenario::of(Quotas {
        teams: vec![Team { organization: 0, share: 1.0, allowance: None, max_waiting: 50 }],
        ..one_organization(&[(1.0, None)])
    });
    scenario.enqueue(0, 100);
    for _ in 0..9 {
        scenario.enqueue_with(|new_request| new_request.urgency = 2);
    }
    scenario.turns(9);
    expect![[r#"
        0     request 1 is dispatched
        0     request 2 is dispatched
        0     request 3 is dispatched
        0     request 4 is dispatched
        0     request 5 is dispatched
        0     request 6 is dispatched
        0     request 7 is dispatched
        0     request 0 is dispatched
        0     request 8 is dispatched
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn a_request_gains_priority_by_age() {
    let dispatched_after = |age: u64| {
        let mut scenario = Scenario::of(one_organization(&[(1.0, None), (1.0, None)]));
        // The first team has just had its turn.
        scenario.enqueue(0, 300).turns(1).settle(0, Outcome::Unknown);
        scenario.enqueue(0, 300).at(age).enqueue(1, 300).turns(2);
        scenario.take_log()
    };
    expect![[r#"
        0     request 0 is dispatched
        10    request 2 is dispatched
        10    request 1 is dispatched
        0     request 0 is dispatched
        4000  request 1 is dispatched
        4000  request 2 is dispatched
    "#]]
    .assert_eq(&(dispatched_after(10) + &dispatched_after(4000)));
}

#[test]
fn refunded_requests_are_not_charged() {
    let mut scenario = Scenario::of(one_organization(&[(1.0, allowance(100, 1000, 400)), (1.0, None)]));
    scenario.enqueue(0, 100).enqueue(0, 100).enqueue(0, 100).turns(3).log_budget(0);
    scenario
        .settle(0, Outcome::Refunded)
        .settle(1, Outcome::Measured(ms(250)))
        .settle(2, Outcome::Refunded)
        .log_budget(0);
    let charged = scenario.queues.in_flight_charge(0);
    scenario.note(format!("{charged:?} charged"));
    // A team whose waiting requests are all cancelled does not hold up the others.
    scenario.enqueue(0, 100).enqueue(0, 100).enqueue(1, 100);
    let removed = [
        scenario.queues.remove(ms(0), 3),
        scenario.queues.remove(ms(0), 4),
        scenario.queues.remove(ms(0), 4),
    ];
    scenario.note(format!("left {removed:?}")).turns(2);
    expect![[r#"
        0     request 0 is dispatched
        0     request 1 is dispatched
        0     request 2 is dispatched
        0     team 0 has 100 ms of its budget left
        0     team 0 has 150 ms of its budget left
        0     0.0 charged
        0     left [true, true, false]
        0     request 5 is dispatched
        0     nothing waits
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn a_retry_is_charged_as_the_same_request() {
    let mut scenario = Scenario::of(one_organization(&[(1.0, allowance(100, 1000, 400))]));
    let known = |new_request: &mut NewRequest| new_request.identity = Some(77);
    scenario.enqueue_with(known).turns(1).settle(0, Outcome::Unknown).log_budget(0);
    scenario
        .enqueue_with(known)
        .turns(1)
        .log_budget(0)
        .settle(1, Outcome::Measured(Duration::ZERO))
        .log_budget(0);
    expect![[r#"
        0     request 0 is dispatched
        0     team 0 has 300 ms of its budget left
        0     request 1 is dispatched
        0     team 0 has 300 ms of its budget left
        0     team 0 has 300 ms of its budget left
    "#]]
    .assert_eq(&scenario.take_log());
}

/// One request of 100 ms in every 100 ms, so that waits can be estimated.
fn dispatch_at_a_steady_rate(scenario: &mut Scenario, count: u64) {
    for at in 1..=count {
        scenario.at(at * 100).enqueue(0, 100);
        let request = scenario.next - 1;
        assert!(scenario.queues.dispatch(ms(scenario.now), request), "it waits");
        scenario.settle(request, Outcome::Measured(ms(100)));
    }
}

#[test]
fn rejections_name_the_time_to_retry_after() {
    let mut scenario = Scenario::of(one_organization(&[(1.0, None)]));
    dispatch_at_a_steady_rate(&mut scenario, 20);
    for _ in 0..6 {
        scenario.enqueue(0, 100);
    }
    let wait = scenario.queues.estimate_wait(ms(scenario.now), 24);
    scenario.note(format!("{wait:?}"));
    scenario.queues.remove(ms(scenario.now), 24);
    scenario
        .enqueue_with(|new_request| new_request.deadline = ms(300))
        .enqueue_with(|new_request| new_request.deadline = ms(600));
    expect![[r#"
        2000  request 25 of team 0 is rejected, QueueFull, retry after 500 ms
        2000  Some(WaitEstimate { low: 212ms, median: 400ms, high: 776ms, position: 4 })
        2000  request 26 of team 0 is rejected, DeadlineTooShort, retry after 200 ms
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn retrying_at_once_after_each_rejection_gains_nothing() {
    let mut scenario = Scenario::of(one_organization(&[(1.0, None), (1.0, None)]));
    for _ in 0..5 {
        scenario.enqueue(0, 100).enqueue(1, 100);
    }
    for at in 1..=100 {
        scenario.at(at).enqueue(0, 100);
    }
    let refused = scenario.take_log().lines().count();
    scenario.note(format!("{refused} rejected")).turns(4);
    expect![[r#"
        100   100 rejected
        100   request 0 is dispatched
        100   request 1 is dispatched
        100   request 2 is dispatched
        100   request 3 is dispatched
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn new_quotas_move_waiting_requests_and_lose_none() {
    let mut scenario =
        Scenario::of(one_organization(&[(1.0, None), (1.0, allowance(100, 1000, 300)), (1.0, None)]));
    scenario.enqueue(1, 200).turns(1).log_budget(1).enqueue(1, 100).enqueue(2, 100).enqueue(0, 100);
    // The second team's budget changes, the third team is removed.
    let quotas = one_organization(&[(1.0, None), (1.0, allowance(100, 1000, 150))]);
    scenario.queues.reconfigure(ms(0), quotas, &[Some(0), Some(1), None]);
    let (waiting, charged) =
        (scenario.queues.len(), [scenario.queues.in_flight_charge(0), scenario.queues.in_flight_charge(1)]);
    scenario.note(format!("{waiting} wait, {charged:?} charged")).log_budget(1).turns(4);
    scenario.settle(0, Outcome::Refunded).settle(1, Outcome::Refunded).log_budget(1);
    // And its budget is taken away.
    scenario.queues.reconfigure(ms(0), one_organization(&[(1.0, None), (1.0, None)]), &[Some(0), Some(1)]);
    let charged = [scenario.queues.in_flight_charge(0), scenario.queues.in_flight_charge(1)];
    scenario.log_budget(1).note(format!("{charged:?} charged"));
    expect![[r#"
        0     request 0 is dispatched
        0     team 1 has 100 ms of its budget left
        0     3 wait, [0.0, 0.2] charged
        0     team 1 has -50 ms of its budget left
        0     request 2 is dispatched
        0     request 3 is dispatched
        0     request 1 is dispatched
        0     nothing waits
        0     team 1 has 150 ms of its budget left
        0     team 1 has NaN ms of its budget left
        0     [0.2, 0.0] charged
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn a_requeued_request_keeps_its_age() {
    let mut scenario = Scenario::of(one_organization(&[(1.0, allowance(100, 1000, 300))]));
    scenario.enqueue(0, 100).at(50).enqueue(0, 100).turns(1).log_budget(0);
    let back = [scenario.queues.requeue(ms(50), 0), scenario.queues.requeue(ms(50), 0)];
    scenario.note(format!("{back:?}")).log_budget(0).turns(2);
    expect![[r#"
        50    request 0 is dispatched
        50    team 0 has 200 ms of its budget left
        50    [true, false]
        50    team 0 has 300 ms of its budget left
        50    request 0 is dispatched
        50    request 1 is dispatched
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn requests_with_one_key_are_dispatched_in_the_order_of_arrival() {
    let mut scenario = Scenario::of(one_organization(&[(1.0, None), (1.0, None)]));
    let keyed = |team, urgency| {
        move |new_request: &mut NewRequest| {
            (new_request.team, new_request.urgency, new_request.key) = (team, urgency, Some(9));
        }
    };
    scenario.enqueue_with(keyed(1, 0)).enqueue_with(keyed(0, 3)).enqueue(0, 100).enqueue_with(keyed(0, 3));
    // The third request of the key is overdue: the first is dispatched, then the second, then itself.
    for _ in 0..3 {
        let first = scenario.queues.first_of_key(3);
        scenario.queues.dispatch(ms(0), first);
        scenario.note(format!("request {first} goes before or as request 3"));
    }
    let called = scenario.take_log();
    let mut scenario = Scenario::of(one_organization(&[(1.0, None), (1.0, None)]));
    scenario.enqueue_with(keyed(1, 0)).enqueue_with(keyed(0, 3));
    let next = scenario.queues.next_fitting(|_| true);
    scenario.note(format!("the urgent one's turn is {next:?}'s"));
    expect![[r#"
        0     request 0 goes before or as request 3
        0     request 1 goes before or as request 3
        0     request 3 goes before or as request 3
        0     the urgent one's turn is Some(0)'s
    "#]]
    .assert_eq(&(called + &scenario.take_log()));
}

#[test]
fn invalid_quotas_are_reported_by_their_path() {
    let with = |change: fn(&mut Quotas)| {
        let mut quotas = one_organization(&[(1.0, None), (1.0, allowance(100, 1000, 300))]);
        change(&mut quotas);
        quotas.validate().map_or_else(|error| format!("{error}\n"), |()| "valid\n".to_owned())
    };
    let told = [
        with(|_| ()),
        with(|quotas| quotas.teams.clear()),
        with(|quotas| quotas.organizations[0].share = 0.0),
        with(|quotas| quotas.teams[1].share = -1.0),
        with(|quotas| quotas.teams[1].share = f64::NAN),
        with(|quotas| quotas.teams[0].organization = 3),
        with(|quotas| quotas.teams[0].max_waiting = 0),
        with(|quotas| quotas.teams[1].allowance = allowance(0, 1000, 300)),
        with(|quotas| quotas.teams[1].allowance = allowance(1, 1, u64::MAX)),
    ];
    expect![[r#"
        valid
        teams: expected at least one firm and one team
        firms[0].share: expected a number above 0, up to a million
        teams[1].share: expected a number above 0, up to a million
        teams[1].share: expected a number above 0, up to a million
        teams[0].firm: expected a firm of the list
        teams[0].most_waiting: expected a count from 1 to ten millions
        teams[1].budget.work: expected a time above 0, up to a year
        teams[1].budget.burst: expected a time above 0, up to a year
    "#]]
    .assert_eq(&told.concat());
}
