//! Start-time fair queueing of flows: orders flows by the work dispatched for each, divided by its share.
//!
//! A flow is an organization, or a team within its organization. The order knows only the work of a request.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// Virtual nanoseconds in a second.
const NANOS_PER_SECOND: f64 = 1e9;

/// Whether a budget covers the flow's next request. Flows over their budget are ordered after all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BudgetState {
    /// The budget covers the next request, or the flow has no budget.
    WithinBudget,
    /// The budget does not cover the next request yet.
    OverBudget,
}

/// The sort key of an active flow: within the budget first, then the earliest start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SortKey {
    budget_state: BudgetState,
    /// Virtual start time of the flow's next request, in nanoseconds, less the priority gained.
    start: i64,
    flow: usize,
}

#[derive(Clone, Debug)]
struct Flow {
    share: f64,
    /// Virtual start time of the flow's next request, in nanoseconds, without the priority gained.
    start: i64,
    /// The flow's entry among the active flows; `None` while the flow is idle.
    sort_key: Option<SortKey>,
}

/// Flows in the order in which they are served by their shares.
#[derive(Clone, Debug, Default)]
pub struct FairOrder {
    flows: Vec<Flow>,
    active: BTreeSet<SortKey>,
    /// The current virtual time, in nanoseconds.
    virtual_now: i64,
}

/// Returns the virtual nanoseconds that `work` seconds take up for a flow of this share.
fn virtual_time(work: f64, share: f64) -> i64 {
    (work * NANOS_PER_SECOND / share) as i64
}

impl FairOrder {
    /// Returns an order of idle flows. Each share counts relative to the sum of all shares.
    pub fn with_shares(shares: impl Iterator<Item = f64> + Clone) -> Self {
        let sum: f64 = shares.clone().sum();
        let idle_flow = |share| Flow { share: share / sum, start: 0, sort_key: None };
        Self { flows: shares.map(idle_flow).collect(), ..Self::default() }
    }

    /// Activates a flow that has requests, or updates the entry of an active one. `priority_gained` is in seconds of
    /// the flow's work.
    pub fn activate(&mut self, index: usize, budget_state: BudgetState, priority_gained: f64) {
        let flow = &mut self.flows[index];
        let former_state = flow.sort_key.map(|key| key.budget_state);
        if former_state.is_none() || former_state > Some(budget_state) {
            // A flow saves up no service while it is idle or over its budget.
            flow.start = flow.start.max(self.virtual_now);
        }
        let start = flow.start.saturating_sub(virtual_time(priority_gained, flow.share));
        let sort_key = SortKey { budget_state, start, flow: index };
        if flow.sort_key == Some(sort_key) {
            return;
        }
        if let Some(former) = flow.sort_key.replace(sort_key) {
            self.active.remove(&former);
        }
        self.active.insert(sort_key);
    }

    /// Marks a flow as idle.
    pub fn deactivate(&mut self, index: usize) {
        if let Some(former) = self.flows[index].sort_key.take() {
            self.active.remove(&former);
        }
    }

    /// Charges `work` seconds of work to a flow. A negative charge is a refund.
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

    /// Advances the virtual time to the start of the request that this flow dispatches next.
    pub fn begin_service(&mut self, index: usize) {
        // A flow that precedes the others by its priority must not advance the virtual time past their start.
        let first = self.active.first().map_or(index, |key| key.flow);
        let start = self.flows[index].start.min(self.flows[first].start);
        self.virtual_now = self.virtual_now.max(start);
    }

    /// Returns the active flows in the order in which they are served.
    pub fn active_flows(&self) -> impl Iterator<Item = usize> {
        self.active.iter().map(|key| key.flow)
    }

    /// Returns the budget state of an active flow; `None` for an idle one.
    pub fn budget_state(&self, index: usize) -> Option<BudgetState> {
        self.flows[index].sort_key.map(|key| key.budget_state)
    }

    /// Returns a flow's fraction of the sum of all shares, from 0 to 1.
    pub fn share(&self, index: usize) -> f64 {
        self.flows[index].share
    }

    /// Returns the virtual seconds by which the flow's next start is later than the start of the reference flow.
    pub fn lag(&self, index: usize, reference: usize) -> f64 {
        (self.flows[index].start - self.flows[reference].start) as f64 / NANOS_PER_SECOND
    }

    /// Feeds the state to a hasher. Orders with equal fingerprints behave alike from then on.
    pub fn fingerprint(&self, hasher: &mut impl Hasher) {
        for flow in &self.flows {
            let start = flow.start - self.virtual_now;
            match flow.sort_key {
                // An idle flow whose start has passed will be activated at the virtual time.
                None => (start.max(0), None::<(BudgetState, i64)>).hash(hasher),
                Some(key) => (start, Some((key.budget_state, key.start - self.virtual_now))).hash(hasher),
            }
        }
    }
}
