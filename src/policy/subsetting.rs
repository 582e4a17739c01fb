//! Subsetting: in a large fleet, a router uses a subset of the engines, so that neither the time that an input
//! takes nor the number of connections grows with the fleet.

use crate::state::{Request, SchedulerState};
use crate::{EngineId, Idempotency, KeyScope};
use std::collections::BTreeSet;

/// Smallest size of a subset. A router uses all engines of a smaller fleet.
const MIN_SUBSET_SIZE: usize = 96;
/// Smallest number of engines of each kind and location in a subset, so that placement has a choice.
const MIN_SUBSET_OF_GROUP: usize = 8;
/// Smallest size of a subset as a multiple of the router's equal share of the engines.
const MIN_SUBSET_EQUAL_SHARES: usize = 4;
/// Number of the random draw that ranks engines. Each draw depends on the seed of the router, so that the
/// subsets of routers differ.
const RANK_DRAW: u64 = u64::MAX;
/// Number of routers that may use the same engine, as a multiple of the mean number, before its slow-start
/// budget is exceeded.
const MAX_ROUTERS_PER_ENGINE_RATIO: f64 = 2.0;

impl SchedulerState {
    /// Returns the rank of an engine. The engines with the lowest ranks are in the subset.
    pub fn rank(&self, id: EngineId) -> u64 {
        self.pseudo_random(id, RANK_DRAW)
    }

    /// Chooses the engines that this router uses. Engines keep their ranks, so that a change of the endpoint
    /// list replaces few engines of the subset.
    pub fn choose_subset(&mut self) {
        let engines = self.engine_index.accepting_total();
        let equal_share = engines / self.fleet.router_count.max(1);
        let size = MIN_SUBSET_SIZE.max(MIN_SUBSET_EQUAL_SHARES * equal_share);
        if engines <= size {
            self.engine_index.use_all();
        } else {
            self.engine_index.use_subset(size, MIN_SUBSET_OF_GROUP);
        }
    }

    /// Returns the engines that an input has to examine: those with attempts in flight and, if `may_send`, also
    /// those that a queued request may be sent to.
    pub fn engines_to_examine(&self, may_send: bool) -> Vec<EngineId> {
        let busy = self.engine_index.busy();
        if !may_send {
            return busy.iter().copied().collect();
        }
        let Some(subset) = self.engine_index.subset() else {
            return self.engines.keys().copied().collect();
        };
        let in_use = subset.union(busy).copied();
        let retry_cells: Vec<u64> =
            self.queued().filter_map(|(_, request)| self.required_cell(request)).collect();
        if retry_cells.is_empty() {
            return in_use.collect();
        }
        let for_retries = retry_cells.into_iter().flat_map(|cell| self.engine_index.in_cell(cell));
        in_use.chain(for_retries).collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// Returns the cell that a request's retry must be sent to; `None` if it may be sent to any cell.
    fn required_cell(&self, request: &Request) -> Option<u64> {
        let Idempotency::IdempotentWithKey { scope: KeyScope::Cell, .. } =
            &self.classes[request.class].idempotency
        else {
            return None;
        };
        let first = request.first_that_may_have_run()?;
        Some(self.engines[&first.engine].cell)
    }

    /// Returns this router's share of an engine in its subset. The share is larger than the fleet share, because
    /// only some of the other routers use the same engine.
    pub fn engine_share(&self, fleet_share: f64) -> f64 {
        (fleet_share * self.fleet_to_subset_ratio()).min(1.0)
    }

    /// Returns this router's share of an engine's slow-start budget. The share may be lower than the engine share,
    /// because some engines are used by more routers than the mean, but is never lower than the fleet share.
    pub fn slow_start_share(&self, fleet_share: f64) -> f64 {
        let factor = self.fleet_to_subset_ratio() / MAX_ROUTERS_PER_ENGINE_RATIO;
        if factor > 1.0 { (fleet_share * factor).min(1.0) } else { fleet_share }
    }

    /// Returns the number of engines in the fleet as a multiple of those in the subset.
    fn fleet_to_subset_ratio(&self) -> f64 {
        let used = self.engine_index.subset().map(BTreeSet::len).filter(|used| *used > 0);
        used.map_or(1.0, |used| (self.engine_index.accepting_total() as f64 / used as f64).max(1.0))
    }
}
