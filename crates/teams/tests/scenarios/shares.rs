//! Order of dispatch by the shares of teams and organizations.

use crate::harness::{Scenario, one_organization};
use emberflow_teams::{Organization, Quotas, Team};
use expect_test::expect;

#[test]
fn teams_are_served_by_their_shares_of_work() {
    let mut scenario = Scenario::new(one_organization(&[(2.0, None), (1.0, None)]));
    scenario
        .enqueue(0, 100)
        .enqueue(0, 100)
        .enqueue(0, 100)
        .enqueue(0, 100)
        .enqueue(1, 100)
        .enqueue(1, 100)
        .dispatch(7);
    expect![[r#"
        0     request 0 is dispatched
        0     request 4 is dispatched
        0     request 1 is dispatched
        0     request 2 is dispatched
        0     request 5 is dispatched
        0     request 3 is dispatched
        0     no request waits
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn organizations_and_their_teams_are_served_by_share() {
    let team_in = |organization| Team { organization, share: 1.0, allowance: None, max_waiting: 5 };
    let quotas = Quotas {
        organizations: vec![Organization { share: 1.0 }, Organization { share: 1.0 }],
        teams: vec![team_in(0), team_in(0), team_in(1)],
    };
    let overall_shares: Vec<f64> = (0..3).map(|team| quotas.overall_share(team)).collect();
    let mut scenario = Scenario::new(quotas);
    for team in [0, 0, 1, 1, 2, 2, 2, 2] {
        scenario.enqueue(team, 100);
    }
    scenario.dispatch(8).log(format!("overall shares {overall_shares:?}"));
    expect![[r#"
        0     request 0 is dispatched
        0     request 4 is dispatched
        0     request 2 is dispatched
        0     request 5 is dispatched
        0     request 1 is dispatched
        0     request 6 is dispatched
        0     request 3 is dispatched
        0     request 7 is dispatched
        0     overall shares [0.25, 0.25, 0.5]
    "#]]
    .assert_eq(&scenario.take_log());
}

#[test]
fn unused_share_does_not_accumulate() {
    let mut scenario = Scenario::new(one_organization(&[(1.0, None), (1.0, None)]));
    scenario
        .enqueue(0, 100)
        .enqueue(0, 100)
        .enqueue(0, 100)
        .dispatch(3)
        .advance_to(500)
        .enqueue(0, 100)
        .enqueue(0, 100)
        .enqueue(1, 100)
        .enqueue(1, 100);
    scenario.enqueue(1, 100).dispatch(5);
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
