//! Engines by what decisions look for, kept up to date by each change, so that no input goes through all of them.

use super::Engine;
use crate::EngineId;
use std::collections::{BTreeMap, BTreeSet};

/// A kind of engine in one location: to placement rules its engines are alike.
type Group = (usize, usize);

/// What is known of all engines together.
#[derive(Clone, Default)]
pub struct EngineIndex {
    /// Engines with an attempt in flight.
    busy: BTreeSet<EngineId>,
    /// Deregistered engines that no request refers to.
    forgettable: BTreeSet<EngineId>,
    /// By kind: how many engines accept requests, and how many are not deregistered.
    accepting: BTreeMap<usize, usize>,
    registered: BTreeMap<usize, usize>,
    by_cell: BTreeMap<u64, BTreeSet<EngineId>>,
    /// Engines that accept requests, in the order of their ranks.
    ranked: BTreeMap<Group, BTreeSet<(u64, EngineId)>>,
    /// The engines that this router uses; `None` for all.
    subset: Option<BTreeSet<EngineId>>,
}

impl EngineIndex {
    /// Enters an engine; `rank` orders it among those of its group.
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

    /// Takes an engine out, as it was entered.
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

    /// Enters that attempts at an engine, or requests that refer to it, have changed.
    pub fn update_use(&mut self, id: EngineId, engine: &Engine) {
        set_member(&mut self.busy, id, !engine.in_flight.is_empty());
        let is_forgettable = engine.lifecycle.is_deregistered() && engine.request_count == 0;
        set_member(&mut self.forgettable, id, is_forgettable);
    }

    /// Engines with an attempt in flight.
    pub fn busy(&self) -> &BTreeSet<EngineId> {
        &self.busy
    }

    /// A deregistered engine that no request refers to.
    pub fn first_forgettable(&self) -> Option<EngineId> {
        self.forgettable.first().copied()
    }

    /// How many engines of a kind accept requests.
    pub fn accepting(&self, kind: usize) -> usize {
        self.accepting.get(&kind).copied().unwrap_or(0)
    }

    /// How many engines of a kind are not deregistered.
    pub fn registered(&self, kind: usize) -> usize {
        self.registered.get(&kind).copied().unwrap_or(0)
    }

    /// How many engines accept requests.
    pub fn accepting_in_all(&self) -> usize {
        self.accepting.values().sum()
    }

    /// The engines of one cell.
    pub fn in_cell(&self, cell: u64) -> impl Iterator<Item = EngineId> {
        self.by_cell.get(&cell).into_iter().flatten().copied()
    }

    /// The engines that this router uses; `None` for all.
    pub fn subset(&self) -> Option<&BTreeSet<EngineId>> {
        self.subset.as_ref()
    }

    /// Uses all engines.
    pub fn use_all(&mut self) {
        self.subset = None;
    }

    /// Uses the first engines of each group by rank: in all about `size`, and of each group `least` or all of it.
    pub fn use_subset(&mut self, size: usize, least: usize) {
        let all = self.accepting_in_all().max(1);
        let first = |group: &BTreeSet<(u64, EngineId)>| {
            let part = (size * group.len()).div_ceil(all).max(least);
            group.iter().take(part).map(|(_, id)| *id).collect::<Vec<_>>()
        };
        self.subset = Some(self.ranked.values().flat_map(first).collect());
    }
}

fn set_member(set: &mut BTreeSet<EngineId>, id: EngineId, is_member: bool) {
    if is_member {
        set.insert(id);
    } else {
        set.remove(&id);
    }
}

/// Removes a member of one of many sets, and the set with its last member.
fn remove_member<K: Ord, T: Ord>(sets: &mut BTreeMap<K, BTreeSet<T>>, key: K, member: &T) {
    let Some(set) = sets.get_mut(&key) else { return };
    set.remove(member);
    if set.is_empty() {
        sets.remove(&key);
    }
}
