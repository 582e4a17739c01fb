//! Subsetting: before a large fleet a router uses a part of the engines, so that the work for an input and
//! the connections held do not grow with the fleet.

use super::*;

/// Engines up to which a router uses all.
const SUBSET_SIZE: usize = 96;
/// Engines of each kind and location in a subset, so that placement leaves a choice.
const SUBSET_OF_GROUP: usize = 8;
/// With few routers a subset holds so many times a router's equal part of the engines.
const SUBSET_PARTS: usize = 4;
/// The draw of chance that ranks engines: with the router's seed, routers' subsets differ.
const RANK_DRAW: u64 = u64::MAX;
/// How far the number of routers that use an engine may be over its mean where a starting engine must not
/// get more than it takes.
const SLOW_START_SPREAD: f64 = 2.0;

impl SchedulerState {
    /// An engine's place among its like in the choice of a subset.
    pub fn rank(&self, id: EngineId) -> u64 {
        self.chance(id, RANK_DRAW)
    }

    /// Guards against fleets of thousands: each input would go through all of them, and attempts would need a
    /// connection to each. An engine keeps its rank, so a change of the list changes little of the subset.
    pub fn choose_subset(&mut self) {
        let engines = self.engine_index.accepting_in_all();
        let equal_part = engines / self.fleet.router_count.max(1);
        let size = SUBSET_SIZE.max(SUBSET_PARTS * equal_part);
        if engines <= size {
            self.engine_index.use_all();
        } else {
            self.engine_index.use_subset(size, SUBSET_OF_GROUP);
        }
    }

    /// The engines that an input may have to do with: those in use, and those with an attempt in flight;
    /// without `may_send` only these.
    pub fn engines_in_view(&self, may_send: bool) -> Vec<EngineId> {
        let busy = self.engine_index.busy();
        if !may_send {
            return busy.iter().copied().collect();
        }
        let Some(subset) = self.engine_index.subset() else {
            return self.engines.keys().copied().collect();
        };
        let in_use = subset.union(busy).copied();
        // A repeat may be bound to the cell of the attempt before.
        let cells: Vec<u64> = self.queued().filter_map(|(_, request)| self.bound_cell(request)).collect();
        if cells.is_empty() {
            return in_use.collect();
        }
        let bound = cells.into_iter().flat_map(|cell| self.engine_index.in_cell(cell));
        in_use.chain(bound).collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// The cell that a request's next attempt is bound to.
    fn bound_cell(&self, request: &Request) -> Option<u64> {
        let Effect::IdempotentWithKey { scope: KeyScope::Cell, .. } = &self.classes[request.class].effect
        else {
            return None;
        };
        let first = request.first_that_may_have_run()?;
        Some(self.engines[&first.engine].cell)
    }

    /// This router's part of an engine that it uses: its part of the fleet, shared with those routers alone
    /// that use the same engine.
    pub fn engine_share(&self, share: f64) -> f64 {
        (share * self.subset_factor()).min(1.0)
    }

    /// The same of what a starting engine takes, with room for a number of routers above the mean.
    pub fn slow_start_share(&self, share: f64) -> f64 {
        let factor = self.subset_factor() / SLOW_START_SPREAD;
        if factor > 1.0 { (share * factor).min(1.0) } else { share }
    }

    /// How many times as many engines there are as this router uses.
    fn subset_factor(&self) -> f64 {
        let used = self.engine_index.subset().map(BTreeSet::len).filter(|used| *used > 0);
        used.map_or(1.0, |used| (self.engine_index.accepting_in_all() as f64 / used as f64).max(1.0))
    }
}
