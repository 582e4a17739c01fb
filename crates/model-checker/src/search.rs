//! The search: level by level, so that the first broken law is found on a shortest path, the same on every run.
//! Of the states that were passed only their prints and the way back are kept.

use rayon::prelude::*;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::{BuildHasherDefault, Hasher};
use std::time::{Duration, Instant};

/// Something that can be walked through: a start, what may come next, and where that leads.
pub trait Walk: Sync {
    type State: Send + Sync + Clone;
    type Move: Send + Sync + Copy;

    fn start(&self) -> Self::State;
    fn moves(&self, state: &Self::State, moves: &mut Vec<Self::Move>);
    fn step(&self, state: &Self::State, step: &Self::Move) -> Self::State;
    /// The same for states that go on alike.
    fn fingerprint(&self, state: &Self::State) -> u64;
    /// The law that a state's last step broke; `last` where nothing can come any more.
    fn broken(&self, state: &Self::State, last: bool) -> Option<&'static str>;
}

/// What a search may take.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub time: Duration,
    pub memory_mb: u64,
    pub depth: Option<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Covered {
    /// Every state that can be reached.
    Whole,
    /// Every state within the depth that was asked for.
    ToDepth,
    OutOfTime,
    OutOfMemory,
}

/// A broken law, and the way there: each state with the step taken from it.
pub struct Found<W: Walk> {
    pub law: &'static str,
    pub path: Vec<(W::State, W::Move)>,
}

/// How far a walk came.
#[derive(Clone, Debug)]
pub struct Extent {
    pub states: usize,
    /// States from which nothing more can come.
    pub ends: usize,
    pub depth: usize,
    pub covered: Covered,
    pub took: Duration,
    pub memory_mb: u64,
}

pub struct Report<W: Walk> {
    pub extent: Extent,
    pub found: Option<Found<W>>,
}

/// Prints are hashes already.
#[derive(Default)]
struct Plain(u64);

impl Hasher for Plain {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, _: &[u8]) {
        unreachable!("only whole prints are looked up");
    }
    fn write_u64(&mut self, fingerprint: u64) {
        self.0 = fingerprint;
    }
}

/// How each state was reached first: from which one, by which of its moves.
type Origins = HashMap<u64, (u64, u32), BuildHasherDefault<Plain>>;

/// States that are expanded together: as many as keep all threads busy and little memory.
const BATCH: usize = 4096;

pub fn walk<W: Walk>(world: &W, bounds: Bounds) -> Report<W> {
    let begun = Instant::now();
    let start = world.start();
    let first = world.fingerprint(&start);
    let mut origins = Origins::default();
    origins.insert(first, (first, u32::MAX));
    let (covered, took, mut found) = (Covered::Whole, Duration::ZERO, None);
    let mut extent = Extent { states: 1, ends: 0, depth: 0, covered, took, memory_mb: 0 };
    let mut level = vec![start];
    'levels: while !level.is_empty() {
        if bounds.depth.is_some_and(|depth| extent.depth >= depth) {
            extent.covered = Covered::ToDepth;
            break;
        }
        let mut next = Vec::new();
        let mut ahead = level.into_iter();
        loop {
            let batch: Vec<W::State> = ahead.by_ref().take(BATCH).collect();
            if batch.is_empty() {
                break;
            }
            let spread = |state: &W::State| {
                let mut moves = Vec::new();
                world.moves(state, &mut moves);
                let law = world.broken(state, moves.is_empty());
                let to = |(at, step): (usize, &W::Move)| {
                    let state = world.step(state, step);
                    (world.fingerprint(&state), at as u32, state)
                };
                let ways = moves.iter().enumerate().filter(|_| law.is_none());
                let reached: Vec<_> =
                    ways.map(to).filter(|(fingerprint, ..)| !origins.contains_key(fingerprint)).collect();
                (world.fingerprint(state), law, reached, moves.is_empty())
            };
            let spread: Vec<_> = batch.par_iter().map(spread).collect();
            // In the order of the batch, whoever was first: the same on every run.
            for (from, law, reached, last) in spread {
                extent.ends += usize::from(last);
                if let Some(law) = law {
                    found = Some(Found { law, path: path(world, &origins, from) });
                    break 'levels;
                }
                for (fingerprint, at, state) in reached {
                    if let Entry::Vacant(entry) = origins.entry(fingerprint) {
                        entry.insert((from, at));
                        next.push(state);
                    }
                }
            }
            extent.memory_mb = extent.memory_mb.max(resident_mb());
            if begun.elapsed() > bounds.time {
                extent.covered = Covered::OutOfTime;
                break 'levels;
            }
            if extent.memory_mb > bounds.memory_mb {
                extent.covered = Covered::OutOfMemory;
                break 'levels;
            }
        }
        level = next;
        extent.depth += usize::from(!level.is_empty());
    }
    (extent.states, extent.took) = (origins.len(), begun.elapsed());
    Report { extent, found }
}

/// The way from the start to a state, taken again.
fn path<W: Walk>(world: &W, origins: &Origins, to: u64) -> Vec<(W::State, W::Move)> {
    let mut choices = Vec::new();
    let mut at = to;
    while let Some((from, choice)) = origins.get(&at).filter(|(_, choice)| *choice != u32::MAX) {
        choices.push(*choice as usize);
        at = *from;
    }
    let mut state = world.start();
    let mut path = Vec::new();
    for choice in choices.into_iter().rev() {
        let mut moves = Vec::new();
        world.moves(&state, &mut moves);
        let step = moves[choice];
        let next = world.step(&state, &step);
        path.push((std::mem::replace(&mut state, next), step));
    }
    path
}

/// What the process holds.
pub fn resident_mb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    (pages.unwrap_or(0) * 4096) >> 20
}
