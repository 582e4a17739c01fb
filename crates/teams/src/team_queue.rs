//! The queue of one team: its waiting requests by urgency and class, its budget and its charges.

use crate::budget::Budget;
use crate::request::{Arrival, MAX_URGENCY, RequestId, WaitingRequest};
use indexmap::IndexMap;
use std::cmp::{Ordering, Reverse};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// Each team ignores urgency in one of this many dispatches, so that urgent requests cannot starve the others.
const URGENCY_BYPASS_INTERVAL: u32 = 8;
/// Resolution of the remaining budget in a fingerprint: 1 µs of work.
const FINGERPRINT_STEPS_PER_SECOND: f64 = 1e6;

/// Sort key of a lane, which holds a team's requests of one urgency and class. The most urgent lanes come first.
type Lane = (Reverse<u8>, u16);

/// The waiting requests of all teams.
pub(crate) type WaitingTable = IndexMap<RequestId, WaitingRequest>;

/// A team's waiting requests, with its budget and its position in the fair order.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamQueue {
    lanes: BTreeMap<Lane, BTreeMap<Arrival, RequestId>>,
    /// Number of waiting requests.
    length: usize,
    /// Expected work of the waiting requests, by urgency.
    work_by_urgency: [Duration; MAX_URGENCY as usize + 1],
    pub(crate) budget: Option<Budget>,
    /// Next time at which the team's position in the fair order changes merely because time passes.
    pub(crate) due: Option<Duration>,
    /// Work charged for dispatched requests that have not ended.
    in_flight_charge_s: f64,
    in_flight_count: usize,
    /// Number of requests dispatched from this queue; wraps around.
    dispatch_count: u32,
    /// The team's index in its organization's fair order.
    pub(crate) flow: usize,
    /// Priority gained by the team's next request, as seconds of work.
    pub(crate) priority_gained_s: f64,
}

fn lane(request: &WaitingRequest) -> Lane {
    (Reverse(request.urgency), request.class)
}

impl TeamQueue {
    /// Returns an empty queue.
    pub(crate) fn new(flow: usize, budget: Option<Budget>) -> Self {
        Self { flow, budget, ..Self::default() }
    }

    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Whether no request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a waiting request to its lane.
    pub(crate) fn insert(&mut self, id: RequestId, request: &WaitingRequest) {
        self.lanes.entry(lane(request)).or_default().insert(request.arrival, id);
        self.length += 1;
        self.work_by_urgency[usize::from(request.urgency)] += request.work;
    }

    /// Removes a request that was added by [`Self::insert`].
    pub(crate) fn remove(&mut self, request: &WaitingRequest) {
        let key = lane(request);
        if let Some(requests) = self.lanes.get_mut(&key) {
            requests.remove(&request.arrival);
            if requests.is_empty() {
                self.lanes.remove(&key);
            }
        }
        self.length -= 1;
        self.work_by_urgency[usize::from(request.urgency)] -= request.work;
    }

    /// Returns the first request of each lane in the order of dispatch: by urgency, then by the end of the latency
    /// objective. Urgency is ignored in one of every [`URGENCY_BYPASS_INTERVAL`] dispatches.
    pub(crate) fn heads(&self, waiting: &WaitingTable) -> Vec<RequestId> {
        let ignores_urgency = self.dispatch_count % URGENCY_BYPASS_INTERVAL == URGENCY_BYPASS_INTERVAL - 1;
        let firsts = self.lanes.values().filter_map(|requests| requests.first_key_value());
        let sort_key = |(arrival, id): (&Arrival, &RequestId)| {
            let request = &waiting[id];
            let urgency = if ignores_urgency { 0 } else { request.urgency };
            let objective_end = request.arrival.at + request.latency_objective;
            (Reverse(urgency), objective_end, *arrival, *id)
        };
        let mut heads: Vec<_> = firsts.map(sort_key).collect();
        heads.sort_unstable();
        heads.into_iter().map(|(.., id)| id).collect()
    }

    /// Counts a dispatch, so that [`Self::heads`] ignores urgency at the right interval.
    pub(crate) fn count_dispatch(&mut self) {
        self.dispatch_count = self.dispatch_count.wrapping_add(1);
    }

    /// Adds the charge of a request that was dispatched.
    pub(crate) fn add_in_flight_charge(&mut self, charged_s: f64) {
        self.in_flight_charge_s += charged_s;
        self.in_flight_count += 1;
    }

    /// Removes the charge of a dispatched request that has ended or waits again.
    pub(crate) fn remove_in_flight_charge(&mut self, charged_s: f64) {
        self.in_flight_charge_s -= charged_s;
        self.in_flight_count -= 1;
        if self.in_flight_count == 0 {
            // Discards the rounding error of the sum.
            self.in_flight_charge_s = 0.0;
        }
    }

    /// Returns the seconds of work charged for dispatched requests that have not ended.
    pub(crate) fn in_flight_charge(&self) -> f64 {
        self.in_flight_charge_s
    }

    /// Returns the expected work of all waiting requests.
    pub(crate) fn waiting_work(&self) -> Duration {
        self.work_by_urgency.iter().sum()
    }

    /// Returns the expected work that is dispatched before a request of this urgency and arrival. The arrival is `None`
    /// for a request that arrives now.
    pub(crate) fn work_before(
        &self,
        urgency: u8,
        arrival: Option<Arrival>,
        waiting: &WaitingTable,
    ) -> Duration {
        let level = usize::from(urgency);
        let more_urgent: Duration = self.work_by_urgency[level + 1..].iter().sum();
        let Some(arrival) = arrival else { return more_urgent + self.work_by_urgency[level] };
        let equally_urgent = self.lanes.iter().filter(|((Reverse(other), _), _)| *other == urgency);
        let earlier = equally_urgent.flat_map(|(_, requests)| requests.range(..arrival));
        let earlier_work: Duration = earlier.map(|(_, id)| waiting[id].work).sum();
        more_urgent + earlier_work
    }

    /// Returns the number of this team's requests that precede a waiting one by urgency, then by arrival.
    pub(crate) fn position(&self, request: &WaitingRequest) -> usize {
        let mut position = 0;
        for ((Reverse(urgency), _class), requests) in &self.lanes {
            position += match urgency.cmp(&request.urgency) {
                Ordering::Greater => requests.len(),
                Ordering::Equal => requests.range(..request.arrival).count(),
                Ordering::Less => 0,
            };
        }
        position
    }

    /// Feeds the state to a hasher, with times relative to `now`.
    pub(crate) fn fingerprint(&self, now: Duration, hasher: &mut impl Hasher) {
        let steps = |seconds: f64| (seconds * FINGERPRINT_STEPS_PER_SECOND).round() as i64;
        let budget_remaining = self.budget.as_ref().map(|budget| steps(budget.remaining_at(now)));
        let dispatches = self.dispatch_count % URGENCY_BYPASS_INTERVAL;
        (budget_remaining, dispatches, self.priority_gained_s.to_bits()).hash(hasher);
        for (lane, requests) in &self.lanes {
            let waits = requests.iter().map(|(arrival, id)| (now.saturating_sub(arrival.at), id));
            (lane, waits.collect::<Vec<_>>()).hash(hasher);
        }
    }
}
