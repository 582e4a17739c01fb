//! Properties of random sequences of inputs: no request is lost, and no charge remains when all requests have ended.

use emberflow_teams::{Allowance, NewRequest, Organization, Outcome, Queues, Quotas, RequestId, Team};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseError};
use std::time::Duration;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns the quotas of teams in one organization, from their shares and allowances (work, period, burst) in
/// milliseconds.
fn quotas(teams: &[(f64, Option<[u64; 3]>)]) -> Quotas {
    let team = |(share, allowance): &(f64, Option<[u64; 3]>)| Team {
        organization: 0,
        share: *share,
        allowance: allowance.map(|[work, period, burst]| Allowance {
            work: ms(work),
            period: ms(period),
            burst: ms(burst),
        }),
        max_waiting: 5,
    };
    Quotas { organizations: vec![Organization { share: 1.0 }], teams: teams.iter().map(team).collect() }
}

fn three_teams() -> Quotas {
    quotas(&[(1.0, None), (2.0, Some([100, 1000, 300])), (0.5, Some([10, 1000, 10]))])
}

fn two_teams() -> Quotas {
    quotas(&[(1.0, Some([50, 1000, 100])), (1.0, None)])
}

#[derive(Clone, Debug)]
enum Input {
    Enqueue { team: usize, urgency: u8, work_ms: u64 },
    DispatchNext,
    Remove(usize),
    Settle(usize, Outcome),
    Requeue(usize),
    Advance { by_ms: u64 },
    Reconfigure { to_two_teams: bool },
}

fn inputs() -> impl Strategy<Value = Vec<Input>> {
    let outcome = prop_oneof![
        Just(Outcome::Refunded),
        Just(Outcome::Unknown),
        (0..500u64).prop_map(|work_ms| Outcome::Measured(ms(work_ms)))
    ];
    let input = prop_oneof![
        4 => (0..3usize, 0..5u8, 0..300u64)
            .prop_map(|(team, urgency, work_ms)| Input::Enqueue { team, urgency, work_ms }),
        3 => Just(Input::DispatchNext),
        1 => any::<usize>().prop_map(Input::Remove),
        2 => (any::<usize>(), outcome).prop_map(|(index, outcome)| Input::Settle(index, outcome)),
        1 => any::<usize>().prop_map(Input::Requeue),
        2 => (0..2000u64).prop_map(|by_ms| Input::Advance { by_ms }),
        1 => any::<bool>().prop_map(|to_two_teams| Input::Reconfigure { to_two_teams }),
    ];
    prop::collection::vec(input, 1..200)
}

/// The queues under test, and the requests that are expected to be waiting and dispatched.
struct Model {
    queues: Queues,
    now: Duration,
    next_request: RequestId,
    team_count: usize,
    waiting: Vec<RequestId>,
    dispatched: Vec<RequestId>,
}

/// Removes and returns one of the requests. The index wraps around at the number of requests.
fn take(requests: &mut Vec<RequestId>, index: usize) -> Option<RequestId> {
    if requests.is_empty() { None } else { Some(requests.remove(index % requests.len())) }
}

impl Model {
    fn new() -> Self {
        let quotas = three_teams();
        Self {
            team_count: quotas.teams.len(),
            queues: Queues::new(quotas, Duration::ZERO),
            now: Duration::ZERO,
            next_request: 0,
            waiting: Vec::new(),
            dispatched: Vec::new(),
        }
    }

    fn apply(&mut self, input: Input) -> Result<(), TestCaseError> {
        match input {
            Input::Enqueue { team, urgency, work_ms } => self.enqueue(team, urgency, ms(work_ms)),
            Input::DispatchNext => {
                let dispatched = self.dispatch_next()?;
                prop_assert!(dispatched || self.waiting.is_empty());
            }
            Input::Remove(index) => {
                if let Some(request) = take(&mut self.waiting, index) {
                    prop_assert!(self.queues.remove(self.now, request));
                }
            }
            Input::Settle(index, outcome) => {
                if let Some(request) = take(&mut self.dispatched, index) {
                    self.queues.settle(self.now, request, outcome);
                }
            }
            Input::Requeue(index) => {
                if let Some(request) = take(&mut self.dispatched, index) {
                    prop_assert!(self.queues.requeue(self.now, request));
                    self.waiting.push(request);
                }
            }
            Input::Advance { by_ms } => {
                self.now += ms(by_ms);
                self.queues.advance(self.now);
                prop_assert!(self.queues.due().is_none_or(|due| due > self.now));
            }
            Input::Reconfigure { to_two_teams } => self.reconfigure(to_two_teams),
        }
        prop_assert_eq!(self.queues.len(), self.waiting.len());
        Ok(())
    }

    fn enqueue(&mut self, team: usize, urgency: u8, work: Duration) {
        let id = self.next_request;
        self.next_request += 1;
        let new_request = NewRequest {
            id,
            team: team % self.team_count,
            urgency,
            class: 0,
            work,
            latency_objective: ms(300),
            deadline: ms(10_000),
            identity: Some(u64::from(urgency)),
            key: None,
        };
        if self.queues.enqueue(self.now, new_request).is_ok() {
            self.waiting.push(id);
        }
    }

    /// Dispatches the next request, and returns whether there was one.
    fn dispatch_next(&mut self) -> Result<bool, TestCaseError> {
        let next = self.queues.dispatch_order().next();
        prop_assert_eq!(next.is_none(), self.waiting.is_empty());
        let Some(request) = next else { return Ok(false) };
        prop_assert!(self.queues.dispatch(self.now, request));
        self.waiting.retain(|other| *other != request);
        self.dispatched.push(request);
        Ok(true)
    }

    fn reconfigure(&mut self, to_two_teams: bool) {
        let quotas = if to_two_teams { two_teams() } else { three_teams() };
        let third_index = (!to_two_teams).then_some(2);
        self.team_count = quotas.teams.len();
        self.queues.reconfigure(self.now, quotas, &[Some(0), Some(1), third_index]);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_request_is_lost_and_no_charge_remains(inputs in inputs()) {
        let mut model = Model::new();
        for input in inputs {
            model.apply(input)?;
        }
        while model.dispatch_next()? {}
        let Model { mut queues, now, team_count, dispatched, .. } = model;
        dispatched.into_iter().for_each(|request| queues.settle(now, request, Outcome::Refunded));
        prop_assert!((0..team_count).all(|team| queues.in_flight_charge(team) == 0.0));
        prop_assert!(queues.is_empty());
    }
}
