//! One team's queue: its waiting requests by urgency and class, and its budget and charges.

use crate::budget::Budget;
use crate::request::{Arrival, MAX_URGENCY, RequestId, WaitingRequest};
use indexmap::IndexMap;
use std::cmp::{Ordering, Reverse};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// In one of so many dispatches of a team urgency does not count, so that urgent requests can't keep the others
/// waiting for ever.
const URGENCY_IGNORED_EVERY: u32 = 8;

/// A lane holds a team's requests of one urgency and class: the most urgent lanes first.
type Lane = (Reverse<u8>, u16);

/// All waiting requests, of every team.
pub(crate) type WaitingTable = IndexMap<RequestId, WaitingRequest>;

/// A team's queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamQueue {
    lanes: BTreeMap<Lane, BTreeMap<Arrival, RequestId>>,
    length: usize,
    /// Work that waits, by urgency.
    work: [Duration; MAX_URGENCY as usize + 1],
    pub(crate) budget: Option<Budget>,
    /// When its place in the fair order changes by itself.
    pub(crate) due: Option<Duration>,
    /// Seconds charged for requests that are dispatched and have not ended.
    in_flight_charge: f64,
    in_flight: usize,
    dispatch_count: u32,
    /// Its index in its organization's fair order.
    pub(crate) flow: usize,
    /// The priority of its next request, in seconds of work.
    pub(crate) priority_gained: f64,
}

fn lane(request: &WaitingRequest) -> Lane {
    (Reverse(request.urgency), request.class)
}

impl TeamQueue {
    pub(crate) fn new(flow: usize, budget: Option<Budget>) -> Self {
        Self { flow, budget, ..Self::default() }
    }

    /// Its waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a waiting request.
    pub(crate) fn insert(&mut self, id: RequestId, request: &WaitingRequest) {
        self.lanes.entry(lane(request)).or_default().insert(request.arrival, id);
        self.length += 1;
        self.work[usize::from(request.urgency)] += request.work;
    }

    /// Removes a waiting request.
    pub(crate) fn remove(&mut self, request: &WaitingRequest) {
        let key = lane(request);
        if let Some(requests) = self.lanes.get_mut(&key) {
            requests.remove(&request.arrival);
            if requests.is_empty() {
                self.lanes.remove(&key);
            }
        }
        self.length -= 1;
        self.work[usize::from(request.urgency)] -= request.work;
    }

    /// The first request of each lane, in the order of dispatch: by urgency, and then by the end of the latency
    /// objective. In one of [`URGENCY_IGNORED_EVERY`] dispatches the latter alone counts.
    pub(crate) fn heads(&self, waiting: &WaitingTable) -> Vec<RequestId> {
        let ignores_urgency = self.dispatch_count % URGENCY_IGNORED_EVERY == URGENCY_IGNORED_EVERY - 1;
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

    /// Counts a dispatch.
    pub(crate) fn count_dispatch(&mut self) {
        self.dispatch_count = self.dispatch_count.wrapping_add(1);
    }

    /// A request was dispatched, and so many seconds of work were charged for it.
    pub(crate) fn begin_charge(&mut self, charged: f64) {
        self.in_flight_charge += charged;
        self.in_flight += 1;
    }

    /// A dispatched request has ended or waits again.
    pub(crate) fn end_charge(&mut self, charged: f64) {
        self.in_flight_charge -= charged;
        self.in_flight -= 1;
        if self.in_flight == 0 {
            // Without what rounding left over.
            self.in_flight_charge = 0.0;
        }
    }

    /// Seconds charged for requests that are dispatched and have not ended.
    pub(crate) fn in_flight_charge(&self) -> f64 {
        self.in_flight_charge
    }

    /// All work that waits.
    pub(crate) fn waiting_work(&self) -> Duration {
        self.work.iter().sum()
    }

    /// Work that is dispatched before a request of that urgency and arrival; before a new one without an arrival.
    pub(crate) fn work_before(
        &self,
        urgency: u8,
        arrival: Option<Arrival>,
        waiting: &WaitingTable,
    ) -> Duration {
        let level = usize::from(urgency);
        let more_urgent: Duration = self.work[level + 1..].iter().sum();
        let Some(arrival) = arrival else { return more_urgent + self.work[level] };
        let lanes = self.lanes.iter().filter(|(lane, _)| lane.0.0 == urgency);
        let earlier = lanes.flat_map(|(_, requests)| requests.range(..arrival));
        let same_urgency: Duration = earlier.map(|(_, id)| waiting[id].work).sum();
        more_urgent + same_urgency
    }

    /// The number of requests that are dispatched before a waiting one.
    pub(crate) fn position(&self, request: &WaitingRequest) -> usize {
        let before =
            |(lane, requests): (&Lane, &BTreeMap<Arrival, RequestId>)| match lane.0.0.cmp(&request.urgency) {
                Ordering::Greater => requests.len(),
                Ordering::Equal => requests.range(..request.arrival).count(),
                Ordering::Less => 0,
            };
        self.lanes.iter().map(before).sum()
    }

    pub(crate) fn fingerprint(&self, now: Duration, hasher: &mut impl Hasher) {
        let budget_left = self.budget.as_ref().map(|budget| (budget.left_at(now) * 1e6).round() as i64);
        let dispatches = self.dispatch_count % URGENCY_IGNORED_EVERY;
        (budget_left, dispatches, self.priority_gained.to_bits()).hash(hasher);
        for (lane, requests) in &self.lanes {
            let waits = requests.iter().map(|(arrival, id)| (now.saturating_sub(arrival.at), id));
            (lane, waits.collect::<Vec<_>>()).hash(hasher);
        }
    }
}
