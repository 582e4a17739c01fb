//! Guards the behaviour of the queues while their code changes, by one digest over all results of seeded random runs:
//! the order of dispatch, rejections, wait estimates, due times and the bits of every number.

use emberflow_teams::{
    Allowance, NewRequest, Organization, Outcome, Queues, Quotas, RejectReason, Rejection, RequestId, Team,
};
use expect_test::expect;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::time::Duration;

const RUN_COUNT: u64 = 200;
const STEPS_PER_RUN: u64 = 600;
/// Largest step of the clock to a due time.
const MAX_DUE_STEP: Duration = Duration::from_secs(5);
/// Number of requests of the order of dispatch that are recorded after each step.
const RECORDED_ORDER_LENGTH: usize = 6;

/// Smallest number of events of each kind, so that the digest covers all of them. The names are part of the digest, so
/// they must not change.
const MIN_EVENT_COUNTS: [(&str, u64); 14] = [
    ("accepted", 10_000),
    ("rejected: queue full", 500),
    ("rejected: deadline too short", 500),
    ("dispatched in turn", 5_000),
    ("dispatched by fit", 1_000),
    ("dispatched out of turn", 500),
    ("dispatched by key order", 100),
    ("left", 500),
    ("billed", 1_000),
    ("unknown", 1_000),
    ("returned", 1_000),
    ("taken back", 500),
    ("wait estimated", 2_000),
    ("reconfigured", 500),
];

/// The random number generator SplitMix64, which gives the same numbers on every platform.
struct SplitMix64(u64);

impl SplitMix64 {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `end`; 0 if `end` is 0.
    fn below(&mut self, end: u64) -> u64 {
        self.next() % end.max(1)
    }

    /// Returns true with a probability of one in `count`.
    fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }

    /// Returns a random time below `end_ms` milliseconds, a multiple of 1 µs.
    fn time_below(&mut self, end_ms: u64) -> Duration {
        Duration::from_micros(self.below(end_ms * 1000))
    }

    /// Returns a random element; `None` if there are none.
    fn pick<T: Copy>(&mut self, elements: &[T]) -> Option<T> {
        let index = self.below(elements.len() as u64) as usize;
        elements.get(index).copied()
    }
}

/// The digest and the event counts of all runs.
#[derive(Default)]
struct Record {
    digest: Sha256,
    counts: BTreeMap<&'static str, u64>,
}

impl Record {
    fn add_number(&mut self, number: u64) {
        self.digest.update(number.to_le_bytes());
    }

    fn add_time(&mut self, time: Option<Duration>) {
        let nanos = time.map_or(u128::MAX, |time| time.as_nanos());
        self.digest.update(nanos.to_le_bytes());
    }

    fn add_float(&mut self, float: Option<f64>) {
        self.digest.update([u8::from(float.is_some())]);
        self.add_number(float.unwrap_or_default().to_bits());
    }

    fn add_event(&mut self, name: &'static str, request: RequestId) {
        self.digest.update(name.as_bytes());
        self.add_number(request.into());
        *self.counts.entry(name).or_default() += 1;
    }
}

/// One run: the queues, their clock, and the requests by state.
struct Run<'a> {
    rng: SplitMix64,
    record: &'a mut Record,
    queues: Queues,
    now: Duration,
    team_count: usize,
    next_request: RequestId,
    waiting: Vec<RequestId>,
    dispatched: Vec<RequestId>,
}

/// Returns a team. The allowance holds the work, the period and the burst.
fn team(organization: usize, share: f64, max_waiting: usize, allowance_ms: Option<[u64; 3]>) -> Team {
    let allowance = allowance_ms.map(|[work, period, burst]| Allowance {
        work: Duration::from_millis(work),
        period: Duration::from_millis(period),
        burst: Duration::from_millis(burst),
    });
    Team { organization, share, allowance, max_waiting }
}

/// Returns one of four quotas, which have three to six teams in one to three organizations.
fn quotas(variant: u64) -> Quotas {
    let (shares, teams): (&[f64], Vec<Team>) = match variant % 4 {
        0 => (&[1.0], vec![team(0, 1.0, 12, None), team(0, 2.0, 8, None), team(0, 0.5, 20, None)]),
        1 => (
            &[1.0, 2.0],
            vec![
                team(0, 1.0, 10, None),
                team(1, 1.0, 10, Some([500, 1000, 800])),
                team(1, 3.0, 10, Some([100, 1000, 100])),
                team(0, 0.3, 10, None),
            ],
        ),
        2 => (
            &[0.7, 1.0, 5.5],
            vec![
                team(2, 1.0, 6, Some([50, 2000, 100])),
                team(1, 1.0, 30, Some([2000, 1000, 5000])),
                team(0, 1.0, 30, None),
                team(0, 1.0, 5, Some([1000, 1000, 1000])),
                team(2, 4.0, 30, None),
                team(1, 0.01, 30, None),
            ],
        ),
        _ => (
            &[3.0, 1.0],
            vec![team(0, 1.0, 15, Some([300, 500, 900])), team(1, 1.0, 15, None), team(1, 1.0, 3, None)],
        ),
    };
    Quotas { organizations: shares.iter().map(|share| Organization { share: *share }).collect(), teams }
}

impl<'a> Run<'a> {
    fn new(seed: u64, record: &'a mut Record) -> Self {
        let quotas = quotas(seed);
        let team_count = quotas.teams.len();
        Self {
            rng: SplitMix64(seed),
            record,
            queues: Queues::new(quotas, Duration::ZERO),
            now: Duration::ZERO,
            team_count,
            next_request: 0,
            waiting: Vec::new(),
            dispatched: Vec::new(),
        }
    }

    fn execute(mut self) {
        for step in 0..STEPS_PER_RUN {
            self.record.add_number(step);
            self.step();
            self.record_state();
        }
    }

    fn step(&mut self) {
        match self.rng.below(100) {
            0..38 => self.enqueue(),
            38..56 => self.dispatch_in_turn(),
            56..62 => self.dispatch_by_fit(),
            62..65 => self.dispatch_out_of_turn(),
            65..68 => self.remove(),
            68..82 => self.settle(),
            82..84 => self.requeue(),
            84..86 if self.rng.one_in(2) => self.reconfigure(),
            86..90 => self.advance_to_due(),
            _ => {
                let duration = self.rng.time_below(400);
                self.advance_by(duration);
            }
        }
    }

    fn enqueue(&mut self) {
        let rng = &mut self.rng;
        let id = self.next_request;
        let max_deadline_ms = if rng.one_in(3) { 500 } else { 20_000 };
        let new_request = NewRequest {
            id,
            team: rng.below(self.team_count as u64) as usize,
            urgency: if rng.one_in(3) { rng.below(6) as u8 } else { 0 },
            class: rng.below(3) as u16,
            work: rng.time_below(300),
            latency_objective: if rng.one_in(40) { Duration::ZERO } else { rng.time_below(2000) },
            deadline: rng.time_below(max_deadline_ms),
            identity: rng.one_in(2).then(|| rng.below(40)),
            key: rng.one_in(4).then(|| rng.below(5)),
        };
        self.next_request += 1;
        match self.queues.enqueue(self.now, new_request) {
            Ok(()) => {
                self.record.add_event("accepted", id);
                self.waiting.push(id);
            }
            Err(Rejection { reason, retry_after }) => {
                let event = match reason {
                    RejectReason::QueueFull => "rejected: queue full",
                    RejectReason::DeadlineTooShort => "rejected: deadline too short",
                };
                self.record.add_event(event, id);
                self.record.add_time(Some(retry_after));
            }
        }
    }

    fn dispatch(&mut self, event: &'static str, request: RequestId) {
        let dispatched = self.queues.dispatch(self.now, request);
        assert!(dispatched, "request {request} waits");
        self.record.add_event(event, request);
        self.waiting.retain(|other| *other != request);
        self.dispatched.push(request);
    }

    fn dispatch_in_turn(&mut self) {
        let first = self.queues.dispatch_order().next();
        if let Some(request) = first {
            self.dispatch("dispatched in turn", request);
        }
    }

    /// Dispatches the next fitting request; one of every two to four requests fits.
    fn dispatch_by_fit(&mut self) {
        let modulus = 2 + self.rng.below(3) as RequestId;
        let next = self.queues.next_fitting(|request| request % modulus == 0);
        if let Some(request) = next {
            self.dispatch("dispatched by fit", request);
        }
    }

    fn dispatch_out_of_turn(&mut self) {
        let Some(request) = self.rng.pick(&self.waiting) else { return };
        let first = self.queues.first_of_key(request);
        let event = if first == request { "dispatched out of turn" } else { "dispatched by key order" };
        self.dispatch(event, first);
    }

    fn remove(&mut self) {
        let Some(request) = self.rng.pick(&self.waiting) else { return };
        let removed = self.queues.remove(self.now, request);
        assert!(removed, "request {request} waits");
        self.record.add_event("left", request);
        self.waiting.retain(|other| *other != request);
    }

    fn settle(&mut self) {
        let Some(request) = self.rng.pick(&self.dispatched) else { return };
        let (event, outcome) = match self.rng.below(3) {
            0 => ("billed", Outcome::Measured(self.rng.time_below(600))),
            1 => ("unknown", Outcome::Unknown),
            _ => ("returned", Outcome::Refunded),
        };
        self.queues.settle(self.now, request, outcome);
        self.record.add_event(event, request);
        self.dispatched.retain(|other| *other != request);
    }

    fn requeue(&mut self) {
        let Some(request) = self.rng.pick(&self.dispatched) else { return };
        let requeued = self.queues.requeue(self.now, request);
        assert!(requeued, "request {request} is dispatched");
        self.record.add_event("taken back", request);
        self.dispatched.retain(|other| *other != request);
        self.waiting.push(request);
    }

    /// Replaces the quotas. Teams keep their index or move to the next one, and are removed if that does not exist.
    fn reconfigure(&mut self) {
        let quotas = quotas(self.rng.next());
        let old_count = self.team_count;
        self.team_count = quotas.teams.len();
        let shift = self.rng.below(2) as usize;
        let new_index = |team: usize| Some(team + shift).filter(|index| *index < quotas.teams.len());
        let new_indices: Vec<Option<usize>> = (0..old_count).map(new_index).collect();
        self.queues.reconfigure(self.now, quotas, &new_indices);
        self.record.add_event("reconfigured", shift as RequestId);
    }

    fn advance_by(&mut self, duration: Duration) {
        self.now += duration;
        self.queues.advance(self.now);
    }

    fn advance_to_due(&mut self) {
        let due = self.queues.due().unwrap_or(self.now);
        // The step is limited, because it may take years until a budget covers a request.
        let limit = self.now + MAX_DUE_STEP;
        self.now = due.max(self.now).min(limit);
        self.queues.advance(self.now);
    }

    /// Records the due time, the charges and budgets, and the start of the order of dispatch.
    fn record_state(&mut self) {
        self.record.add_time(self.queues.due());
        self.record.add_number(self.queues.len() as u64);
        self.record.add_number(u64::from(self.queues.is_empty()));
        for team in 0..self.team_count {
            self.record.add_float(Some(self.queues.in_flight_charge(team)));
            self.record.add_float(self.queues.budget_remaining(team));
        }
        let order: Vec<RequestId> = self.queues.dispatch_order().take(RECORDED_ORDER_LENGTH).collect();
        order.iter().for_each(|request| self.record.add_number((*request).into()));
        if let Some(request) = self.rng.pick(&self.waiting) {
            self.record_wait(request);
        }
    }

    fn record_wait(&mut self, request: RequestId) {
        let Some(wait) = self.queues.estimate_wait(self.now, request) else { return };
        self.record.add_event("wait estimated", request);
        [wait.low, wait.median, wait.high].into_iter().for_each(|time| self.record.add_time(Some(time)));
        self.record.add_number(wait.position as u64);
    }
}

#[test]
fn the_results_of_seeded_runs_are_unchanged() {
    let mut record = Record::default();
    (0..RUN_COUNT).for_each(|seed| Run::new(seed, &mut record).execute());
    for (name, min_count) in MIN_EVENT_COUNTS {
        let count = record.counts.get(name).copied().unwrap_or(0);
        assert!(
            count >= min_count,
            "{name} happened {count} times, expected at least {min_count}: {:?}",
            record.counts
        );
    }
    let digest: String = record.digest.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
    expect!["3fc5aec5b3785c49825e58a416cbe51fe14afb38a404f5e9944e075d0b7218ce"].assert_eq(&digest);
}
