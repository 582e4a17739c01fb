//! Indexes over the engines. They are updated with each change, so that an input need not examine every engine.

use super::Engine;
use crate::EngineId;
use std::collections::{BTreeMap, BTreeSet};

/// The indices of an engine kind and of a location. Request classes allow all engines of a group or none.
type Group = (usize, usize);

/// The engines by use, kind, cell and rank.
#[derive(Clone, Default)]
pub struct EngineIndex {
    /// Engines with an attempt in flight.
    busy: BTreeSet<EngineId>,
    /// Deregistered engines that no request refers to.
    forgettable: BTreeSet<EngineId>,
    /// Number of engines that accept requests, by kind.
    accepting: BTreeMap<usize, usize>,
    /// Number of engines that are not deregistered, by kind.
    registered: BTreeMap<usize, usize>,
    by_cell: BTreeMap<u64, BTreeSet<EngineId>>,
    /// Engines that accept requests, by group and in the order of their ranks.
    ranked: BTreeMap<Group, BTreeSet<(u64, EngineId)>>,
    /// The engines that this router uses; `None` for all.
    subset: Option<BTreeSet<EngineId>>,
}

impl EngineIndex {
    /// Adds an engine. `rank` orders the engines of a group, lowest first.
    pub fn insert(&mut self, id: EngineId, engine: &Engine, rank: u64) {
        self.by_cell.entry(engine.cell).or_default().insert(id);
        if engine.lifecycle.accepts_requests() {
            *self.accepting.entry(engine.kind).or_default() += 1;
            self.ranked.entry((engine.kind, engine.location)).or_default().insert((rank, id));
        }
        if !engine.lifecycle.is_deregistered() {
            *self.registered.entry(engine.kind).or_default() += 1;
        }
        self.update_use(id, engine);
    }

    /// Removes an engine. Its state and rank must be those that it was added with.
    pub fn remove(&mut self, id: EngineId, engine: &Engine, rank: u64) {
        remove_member(&mut self.by_cell, engine.cell, &id);
        if engine.lifecycle.accepts_requests() {
            *self.accepting.entry(engine.kind).or_default() -= 1;
            remove_member(&mut self.ranked, (engine.kind, engine.location), &(rank, id));
        }
        if !engine.lifecycle.is_deregistered() {
            *self.registered.entry(engine.kind).or_default() -= 1;
        }
        self.busy.remove(&id);
        self.forgettable.remove(&id);
    }

    /// Updates the indexes after a change of the attempts in flight at an engine or of the requests that refer to
    /// the engine.
    pub fn update_use(&mut self, id: EngineId, engine: &Engine) {
        set_member(&mut self.busy, id, !engine.in_flight.is_empty());
        let is_forgettable = engine.lifecycle.is_deregistered() && engine.request_count == 0;
        set_member(&mut self.forgettable, id, is_forgettable);
    }

    /// Returns the engines with an attempt in flight.
    pub fn busy(&self) -> &BTreeSet<EngineId> {
        &self.busy
    }

    /// Returns the first deregistered engine that no request refers to, in the order of the ids.
    pub fn first_forgettable(&self) -> Option<EngineId> {
        self.forgettable.first().copied()
    }

    /// Returns the number of engines of a kind that accept requests.
    pub fn accepting(&self, kind: usize) -> usize {
        self.accepting.get(&kind).copied().unwrap_or(0)
    }

    /// Returns the number of engines of a kind that are not deregistered.
    pub fn registered(&self, kind: usize) -> usize {
        self.registered.get(&kind).copied().unwrap_or(0)
    }

    /// Returns the number of engines that accept requests.
    pub fn accepting_total(&self) -> usize {
        self.accepting.values().sum()
    }

    /// Returns the engines of one cell, including those that accept no requests.
    pub fn in_cell(&self, cell: u64) -> impl Iterator<Item = EngineId> {
        self.by_cell.get(&cell).into_iter().flatten().copied()
    }

    /// Returns the engines that this router uses; `None` for all.
    pub fn subset(&self) -> Option<&BTreeSet<EngineId>> {
        self.subset.as_ref()
    }

    /// Makes this router use all engines from now on.
    pub fn use_all(&mut self) {
        self.subset = None;
    }

    /// Makes this router use a subset of about `size` engines from now on. Each group contributes its first engines
    /// by rank, in proportion to the size of the group, but at least `min_per_group` of them if it has as many.
    pub fn use_subset(&mut self, size: usize, min_per_group: usize) {
        let total = self.accepting_total().max(1);
        let mut subset = Vec::new();
        for group in self.ranked.values() {
            let count = (size * group.len()).div_ceil(total).max(min_per_group);
            subset.extend(group.iter().take(count).map(|(_, id)| *id));
        }
        self.subset = Some(subset.into_iter().collect());
    }
}

/// Adds the engine to the set or removes it.
fn set_member(set: &mut BTreeSet<EngineId>, id: EngineId, is_member: bool) {
    if is_member {
        set.insert(id);
    } else {
        set.remove(&id);
    }
}

/// Removes a member from the set of a key, and removes the set once it is empty.
fn remove_member<K: Ord, T: Ord>(sets: &mut BTreeMap<K, BTreeSet<T>>, key: K, member: &T) {
    let Some(set) = sets.get_mut(&key) else { return };
    set.remove(member);
    if set.is_empty() {
        sets.remove(&key);
    }
}
