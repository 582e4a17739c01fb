//! Validation and replacement of quotas.

use crate::harness::{Scenario, allowance, ms, one_organization};
use emberflow_teams::{Outcome, Quotas};
use expect_test::expect;

#[test]
fn new_quotas_move_waiting_requests_and_lose_none() {
    let mut scenario =
        Scenario::new(one_organization(&[(1.0, None), (1.0, allowance(100, 1000, 300)), (1.0, None)]));
    scenario.enqueue(1, 200).dispatch(1).log_budget(1).enqueue(1, 100).enqueue(2, 100).enqueue(0, 100);
    // The second team gets another budget, and the third team is removed.
    let quotas = one_organization(&[(1.0, None), (1.0, allowance(100, 1000, 150))]);
    scenario.queues.reconfigure(ms(0), quotas, &[Some(0), Some(1), None]);
    let (waiting, charged_s) =
        (scenario.queues.len(), [scenario.queues.in_flight_charge(0), scenario.queues.in_flight_charge(1)]);
    scenario
        .log(format!("{waiting} requests wait, {charged_s:?} s charged in flight"))
        .log_budget(1)
        .dispatch(4);
    scenario.settle(0, Outcome::Refunded).settle(1, Outcome::Refunded).log_budget(1);
    // The second team loses its budget.
    scenario.queues.reconfigure(ms(0), one_organization(&[(1.0, None), (1.0, None)]), &[Some(0), Some(1)]);
    let charged_after_s = [scenario.queues.in_flight_charge(0), scenario.queues.in_flight_charge(1)];
    scenario.log_budget(1).log(format!("{charged_after_s:?} s charged in flight"));
    expect![[r#"
        0     request 0 is dispatched
        0     team 1 has 100 ms of its budget left
        0     3 requests wait, [0.0, 0.2] s charged in flight
        0     team 1 has -50 ms of its budget left
        0     request 2 is dispatched
        0     request 3 is dispatched
        0     request 1 is dispatched
        0     no request waits
        0     team 1 has 150 ms of its budget left
        0     team 1 has NaN ms of its budget left
        0     [0.2, 0.0] s charged in flight
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn invalid_quotas_are_reported_by_their_path() {
    let result_with = |edit: fn(&mut Quotas)| {
        let mut quotas = one_organization(&[(1.0, None), (1.0, allowance(100, 1000, 300))]);
        edit(&mut quotas);
        quotas.validate().map_or_else(|error| format!("{error}\n"), |()| "valid\n".to_owned())
    };
    let results = [
        result_with(|_| ()),
        result_with(|quotas| quotas.teams.clear()),
        result_with(|quotas| quotas.organizations[0].share = 0.0),
        result_with(|quotas| quotas.teams[1].share = -1.0),
        result_with(|quotas| quotas.teams[1].share = f64::NAN),
        result_with(|quotas| quotas.teams[0].organization = 3),
        result_with(|quotas| quotas.teams[0].max_waiting = 0),
        result_with(|quotas| quotas.teams[1].allowance = allowance(0, 1000, 300)),
        result_with(|quotas| quotas.teams[1].allowance = allowance(1, 1, u64::MAX)),
    ];
    expect![[r#"
        valid
        teams: expected at least one firm and one team
        firms[0].share: expected a number above 0, up to a million
        teams[1].share: expected a number above 0, up to a million
        teams[1].share: expected a number above 0, up to a million
        teams[0].firm: expected a firm of the list
        teams[0].most_waiting: expected a count from 1 to 10,000,000
        teams[1].budget.work_s: expected a time above 0, up to a year
        teams[1].budget.burst_s: expected a time above 0, up to a year
    "#]]
    .assert_eq(&results.concat());
}
