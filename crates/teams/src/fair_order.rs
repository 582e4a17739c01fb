//! Start-time fair queueing of flows: orders the flows by their dispatched work divided by their share.
//!
//! A flow is an organization, or a team within its organization. The order does not store requests: the caller passes
//! the work of each dispatched request.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// Virtual times are integers in nanoseconds.
const NANOS_PER_SECOND: f64 = 1e9;

/// Whether a budget covers a flow's next request. Flows over their budget come after all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BudgetState {
    /// The budget covers the next request, or the flow has no budget.
    WithinBudget,
    /// The budget does not cover the next request yet.
    OverBudget,
}

/// The sort key of an active flow: flows within their budget first, then by effective start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SortKey {
    budget_state: BudgetState,
    /// Virtual start time of the flow's next request, in nanoseconds, minus the priority gained.
    effective_start: i64,
    flow: usize,
}

#[derive(Clone, Debug)]
struct Flow {
    share: f64,
    /// Virtual start time of the flow's next request, in nanoseconds, without the priority gained.
    start: i64,
    /// The flow's key in [`FairOrder::active`]; `None` while the flow is idle.
    sort_key: Option<SortKey>,
}

/// The order in which flows are served, so that each gets its share of the work.
#[derive(Clone, Debug, Default)]
pub struct FairOrder {
    flows: Vec<Flow>,
    /// Sort keys of the flows that have requests.
    active: BTreeSet<SortKey>,
    /// The current virtual time, in nanoseconds.
    virtual_now: i64,
}

/// Returns the virtual nanoseconds by which `work_s` seconds of work advance a flow of this share.
fn virtual_nanos(work_s: f64, share: f64) -> i64 {
    (work_s * NANOS_PER_SECOND / share) as i64
}

impl FairOrder {
    /// Returns an order of idle flows. The shares are divided by their sum.
    pub fn with_shares(shares: impl Iterator<Item = f64> + Clone) -> Self {
        let shares_sum: f64 = shares.clone().sum();
        let idle_flow = |share| Flow { share: share / shares_sum, start: 0, sort_key: None };
        Self { flows: shares.map(idle_flow).collect(), ..Self::default() }
    }

    /// Activates a flow that has requests, or updates the sort key of an active one. The flow is ordered as if it had
    /// been charged `priority_gained_s` seconds of work less.
    pub fn activate(&mut self, index: usize, budget_state: BudgetState, priority_gained_s: f64) {
        let flow = &mut self.flows[index];
        let former_state = flow.sort_key.map(|key| key.budget_state);
        if former_state.is_none() || former_state > Some(budget_state) {
            // A flow must not accumulate a claim to service while it is idle or over its budget.
            flow.start = flow.start.max(self.virtual_now);
        }
        let effective_start = flow.start.saturating_sub(virtual_nanos(priority_gained_s, flow.share));
        let sort_key = SortKey { budget_state, effective_start, flow: index };
        if flow.sort_key == Some(sort_key) {
            return;
        }
        if let Some(former) = flow.sort_key.replace(sort_key) {
            self.active.remove(&former);
        }
        self.active.insert(sort_key);
    }

    /// Marks a flow as idle: it has no requests.
    pub fn deactivate(&mut self, index: usize) {
        if let Some(former) = self.flows[index].sort_key.take() {
            self.active.remove(&former);
        }
    }

    /// Charges `work_s` seconds of work to a flow. A negative charge is a refund.
    pub fn charge(&mut self, index: usize, work_s: f64) {
        let flow = &mut self.flows[index];
        let former_start = flow.start;
        flow.start = former_start.saturating_add(virtual_nanos(work_s, flow.share));
        if let Some(former) = flow.sort_key {
            let effective_start = former.effective_start.saturating_add(flow.start - former_start);
            let sort_key = SortKey { effective_start, ..former };
            flow.sort_key = Some(sort_key);
            self.active.remove(&former);
            self.active.insert(sort_key);
        }
    }

    /// Advances the virtual time before the dispatch of the flow's next request, to that request's start at most.
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

    /// Returns the virtual seconds by which the flow's next start is later than the next start of the reference flow.
    pub fn lag_s(&self, index: usize, reference: usize) -> f64 {
        (self.flows[index].start - self.flows[reference].start) as f64 / NANOS_PER_SECOND
    }

    /// Feeds the state to a hasher. Orders with equal shares and equal fingerprints behave alike from then on.
    pub fn fingerprint(&self, hasher: &mut impl Hasher) {
        for flow in &self.flows {
            let start = flow.start - self.virtual_now;
            match flow.sort_key {
                // An idle flow whose start has passed will start at the virtual time of its activation.
                None => (start.max(0), None::<(BudgetState, i64)>).hash(hasher),
                Some(key) => {
                    (start, Some((key.budget_state, key.effective_start - self.virtual_now))).hash(hasher)
                }
            }
        }
    }
}
