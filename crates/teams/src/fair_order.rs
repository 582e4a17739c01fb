//! Start-time fair queueing of flows: by the work that was dispatched for each against its share.
//!
//! A flow is an organization, or a team within its organization. The order knows nothing of requests but their work.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// Virtual nanoseconds in a second.
const NANOS_PER_SECOND: f64 = 1e9;

/// Whether a budget covers the flow's next request. Flows over their budget come after all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BudgetState {
    /// The next request is covered.
    WithinBudget,
    /// It is not covered yet.
    OverBudget,
}

/// What active flows are sorted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SortKey {
    budget_state: BudgetState,
    /// The virtual time at which the next turn starts, less the priority that was gained.
    start: i64,
    flow: usize,
}

#[derive(Clone, Debug)]
struct Flow {
    share: f64,
    /// Virtual nanoseconds at which its next turn starts.
    start: i64,
    /// Its place among the active flows; none while it has nothing to dispatch.
    sort_key: Option<SortKey>,
}

/// Flows that take turns by their shares.
#[derive(Clone, Debug, Default)]
pub struct FairOrder {
    flows: Vec<Flow>,
    active: BTreeSet<SortKey>,
    /// The virtual time that the turns have come to.
    virtual_now: i64,
}

/// Seconds of work as virtual nanoseconds of a share.
fn virtual_time(work: f64, share: f64) -> i64 {
    (work * NANOS_PER_SECOND / share) as i64
}

impl FairOrder {
    /// Idle flows with these shares, which count against their sum.
    pub fn with_shares(shares: impl Iterator<Item = f64> + Clone) -> Self {
        let sum: f64 = shares.clone().sum();
        let flow = |share| Flow { share: share / sum, start: 0, sort_key: None };
        Self { flows: shares.map(flow).collect(), ..Self::default() }
    }

    /// A flow has something to dispatch, or its state has changed. `gained` is its priority, in seconds of its work.
    pub fn activate(&mut self, index: usize, budget_state: BudgetState, gained: f64) {
        let flow = &mut self.flows[index];
        let former_state = flow.sort_key.map(|key| key.budget_state);
        if former_state.is_none() || former_state > Some(budget_state) {
            // What it did not use while it was idle or over its budget is not owed to it.
            flow.start = flow.start.max(self.virtual_now);
        }
        let start = flow.start.saturating_sub(virtual_time(gained, flow.share));
        let sort_key = SortKey { budget_state, start, flow: index };
        if flow.sort_key == Some(sort_key) {
            return;
        }
        if let Some(former) = flow.sort_key.replace(sort_key) {
            self.active.remove(&former);
        }
        self.active.insert(sort_key);
    }

    /// A flow has nothing to dispatch.
    pub fn deactivate(&mut self, index: usize) {
        if let Some(former) = self.flows[index].sort_key.take() {
            self.active.remove(&former);
        }
    }

    /// Charges a flow's turn, in seconds of work; a negative charge gives some back.
    pub fn charge(&mut self, index: usize, work: f64) {
        let flow = &mut self.flows[index];
        let former_start = flow.start;
        flow.start = former_start.saturating_add(virtual_time(work, flow.share));
        if let Some(former) = flow.sort_key {
            let start = former.start.saturating_add(flow.start - former_start);
            let sort_key = SortKey { start, ..former };
            flow.sort_key = Some(sort_key);
            self.active.remove(&former);
            self.active.insert(sort_key);
        }
    }

    /// A turn of this flow begins: the virtual time goes on to its start.
    pub fn begin_turn(&mut self, index: usize) {
        // A flow that goes first by its priority does not move the virtual time past the others' start.
        let first = self.active.first().map_or(index, |key| key.flow);
        let start = self.flows[index].start.min(self.flows[first].start);
        self.virtual_now = self.virtual_now.max(start);
    }

    /// The active flows, the next first.
    pub fn turns(&self) -> impl Iterator<Item = usize> {
        self.active.iter().map(|key| key.flow)
    }

    /// An active flow's budget state.
    pub fn budget_state(&self, index: usize) -> Option<BudgetState> {
        self.flows[index].sort_key.map(|key| key.budget_state)
    }

    /// A flow's share of all flows, from 0 to 1.
    pub fn share(&self, index: usize) -> f64 {
        self.flows[index].share
    }

    /// Virtual seconds by which a flow's next turn starts later than another's.
    pub fn lag(&self, index: usize, reference: usize) -> f64 {
        (self.flows[index].start - self.flows[reference].start) as f64 / NANOS_PER_SECOND
    }

    /// Feeds the state to a hasher: orders with the same fingerprint behave the same from then on.
    pub fn fingerprint(&self, hasher: &mut impl Hasher) {
        for flow in &self.flows {
            let start = flow.start - self.virtual_now;
            match flow.sort_key {
                // An idle flow that is behind starts from the virtual time.
                None => (start.max(0), None::<(BudgetState, i64)>).hash(hasher),
                Some(key) => (start, Some((key.budget_state, key.start - self.virtual_now))).hash(hasher),
            }
        }
    }
}
