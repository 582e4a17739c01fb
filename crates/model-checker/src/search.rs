//! Breadth-first search over the states of a model.
//!
//! Levels are visited in order, so that every run finds the same first violation, on a shortest path. For each
//! visited state only its fingerprint and its predecessor stay in memory.

use rayon::prelude::*;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::{BuildHasherDefault, Hasher};
use std::time::{Duration, Instant};

/// The initial time of the scheduler, connection and router models. It is above 0, so that times before the start can be
/// represented.
pub const START_TIME: Duration = Duration::from_secs(20);

/// Number of states that are expanded in parallel between two checks of the time and memory limits.
const BATCH_SIZE: usize = 4096;
/// The transition index of the initial state, which has no predecessor.
const NO_TRANSITION: u32 = u32::MAX;
/// Size of a memory page. The kernel reports the resident set as a number of pages.
const PAGE_BYTES: u64 = 4096;
const BYTES_PER_MIB: u64 = 1 << 20;

/// A transition system: an initial state, the transitions enabled in a state, and their successor states.
pub trait Model: Sync {
    /// A state of the system under test together with its environment.
    type State: Send + Sync + Clone;
    /// One input to the system under test, or the passing of time.
    type Transition: Send + Sync + Copy;

    /// Returns the state in which every run begins.
    fn initial_state(&self) -> Self::State;
    /// Appends the transitions that are enabled in a state, always in the same order.
    fn transitions(&self, state: &Self::State, transitions: &mut Vec<Self::Transition>);
    /// Returns the state that a transition leads to.
    fn apply(&self, state: &Self::State, transition: &Self::Transition) -> Self::State;
    /// Returns a hash of everything in a state that influences later transitions and violations. States with equal
    /// fingerprints are explored once.
    fn fingerprint(&self, state: &Self::State) -> u64;
    /// Returns the name of the invariant that the transition into a state has violated, or that the state violates as
    /// the end of a run; `None` if all invariants hold. `is_terminal` is true if no transition is enabled in the state.
    fn violated_invariant(&self, state: &Self::State, is_terminal: bool) -> Option<&'static str>;
}

/// The limits at which a search stops.
#[derive(Clone, Copy, Debug)]
pub struct SearchLimits {
    /// Wall-clock time of the search.
    pub time: Duration,
    /// Resident memory of the process, in MiB.
    pub memory_mib: u64,
    /// Number of transitions from the initial state at which states are no longer expanded; `None` for no limit. Only
    /// expanded states are checked for violations.
    pub max_depth: Option<usize>,
}

/// The part of the state space that a search has covered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// Every reachable state.
    Complete,
    /// Every state that is fewer than [`SearchLimits::max_depth`] transitions from the initial state.
    ToDepth,
    /// The states before the time limit was reached.
    OutOfTime,
    /// The states before the memory limit was reached.
    OutOfMemory,
}

/// A violated invariant and a shortest path to the violation.
pub struct Violation<M: Model> {
    /// The name of the invariant.
    pub invariant: &'static str,
    /// The path from the initial state; empty if the initial state violates the invariant.
    pub path: Vec<Step<M>>,
}

/// One step of a path.
pub struct Step<M: Model> {
    /// The state in which the transition is taken.
    pub state: M::State,
    /// The transition that is taken from `state`.
    pub transition: M::Transition,
}

/// The size and cost of a search.
#[derive(Clone, Debug)]
pub struct SearchStatistics {
    /// Number of distinct states that were reached, including those that were not expanded.
    pub states: usize,
    /// Number of expanded states in which no transition is enabled.
    pub terminal_states: usize,
    /// Number of transitions from the initial state to the last level whose states were all reached.
    pub depth: usize,
    /// The covered part of the state space; [`Coverage::Complete`] also if a violation ended the search.
    pub coverage: Coverage,
    /// Wall-clock time of the search.
    pub elapsed: Duration,
    /// The largest resident memory that was observed between two batches of states, in MiB.
    pub peak_memory_mib: u64,
}

/// The result of a search.
pub struct SearchReport<M: Model> {
    /// The size and cost of the search.
    pub statistics: SearchStatistics,
    /// The first violation; `None` if every invariant holds in the expanded states.
    pub violation: Option<Violation<M>>,
}

/// Returns fingerprints unchanged, because they are hashes already.
#[derive(Default)]
struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, _: &[u8]) {
        unreachable!("the table of predecessors hashes only fingerprints");
    }
    fn write_u64(&mut self, fingerprint: u64) {
        self.0 = fingerprint;
    }
}

/// For the fingerprint of each reached state, the fingerprint of the state from which it was reached first, and the
/// index of the transition among those enabled there.
type Predecessors = HashMap<u64, (u64, u32), BuildHasherDefault<IdentityHasher>>;

/// Visits the reachable states of a model until all are visited, an invariant is violated or a limit is reached.
pub fn explore<M: Model>(model: &M, limits: SearchLimits) -> SearchReport<M> {
    let mut search = Search::new(model, limits);
    let violation = match search.run() {
        Ok(()) => None,
        Err(Stop::LimitReached(coverage)) => {
            search.statistics.coverage = coverage;
            None
        }
        Err(Stop::Violated { invariant, fingerprint }) => {
            Some(Violation { invariant, path: search.path_to(fingerprint) })
        }
    };
    search.statistics.states = search.predecessors.len();
    search.statistics.elapsed = search.started_at.elapsed();
    SearchReport { statistics: search.statistics, violation }
}

/// The reason why a search ended before every state was visited.
enum Stop {
    LimitReached(Coverage),
    Violated { invariant: &'static str, fingerprint: u64 },
}

/// The result of the expansion of one state.
struct Expansion<State> {
    fingerprint: u64,
    violated_invariant: Option<&'static str>,
    is_terminal: bool,
    /// The successor states that were not reached before this batch.
    successors: Vec<Successor<State>>,
}

struct Successor<State> {
    fingerprint: u64,
    /// The index of the transition among those enabled in the preceding state.
    transition: u32,
    state: State,
}

/// A search in progress.
struct Search<'a, M: Model> {
    model: &'a M,
    limits: SearchLimits,
    started_at: Instant,
    predecessors: Predecessors,
    statistics: SearchStatistics,
}

impl<'a, M: Model> Search<'a, M> {
    fn new(model: &'a M, limits: SearchLimits) -> Self {
        let statistics = SearchStatistics {
            states: 1,
            terminal_states: 0,
            depth: 0,
            coverage: Coverage::Complete,
            elapsed: Duration::ZERO,
            peak_memory_mib: 0,
        };
        Self { model, limits, started_at: Instant::now(), predecessors: Predecessors::default(), statistics }
    }

    fn run(&mut self) -> Result<(), Stop> {
        let initial_state = self.model.initial_state();
        let fingerprint = self.model.fingerprint(&initial_state);
        self.predecessors.insert(fingerprint, (fingerprint, NO_TRANSITION));
        let mut level = vec![initial_state];
        while !level.is_empty() {
            if self.limits.max_depth.is_some_and(|max_depth| self.statistics.depth >= max_depth) {
                return Err(Stop::LimitReached(Coverage::ToDepth));
            }
            level = self.expand_level(level)?;
            self.statistics.depth += usize::from(!level.is_empty());
        }
        Ok(())
    }

    /// Expands all states of one level, and returns the states of the next level.
    fn expand_level(&mut self, level: Vec<M::State>) -> Result<Vec<M::State>, Stop> {
        let mut next_level = Vec::new();
        let mut remaining = level.into_iter();
        loop {
            let batch: Vec<M::State> = remaining.by_ref().take(BATCH_SIZE).collect();
            if batch.is_empty() {
                return Ok(next_level);
            }
            let expansions: Vec<_> = batch.par_iter().map(|state| self.expand(state)).collect();
            // Expansions are recorded in the order of the batch, so that the result does not depend on the threads.
            for expansion in expansions {
                self.record(expansion, &mut next_level)?;
            }
            self.check_limits()?;
        }
    }

    fn expand(&self, state: &M::State) -> Expansion<M::State> {
        let mut transitions = Vec::new();
        self.model.transitions(state, &mut transitions);
        let is_terminal = transitions.is_empty();
        let violated_invariant = self.model.violated_invariant(state, is_terminal);
        if violated_invariant.is_some() {
            transitions.clear();
        }
        let mut successors = Vec::new();
        for (transition, index) in transitions.iter().zip(0..) {
            let successor = self.model.apply(state, transition);
            let fingerprint = self.model.fingerprint(&successor);
            if !self.predecessors.contains_key(&fingerprint) {
                successors.push(Successor { fingerprint, transition: index, state: successor });
            }
        }
        Expansion { fingerprint: self.model.fingerprint(state), violated_invariant, is_terminal, successors }
    }

    fn record(&mut self, expansion: Expansion<M::State>, next_level: &mut Vec<M::State>) -> Result<(), Stop> {
        self.statistics.terminal_states += usize::from(expansion.is_terminal);
        if let Some(invariant) = expansion.violated_invariant {
            return Err(Stop::Violated { invariant, fingerprint: expansion.fingerprint });
        }
        for successor in expansion.successors {
            if let Entry::Vacant(entry) = self.predecessors.entry(successor.fingerprint) {
                entry.insert((expansion.fingerprint, successor.transition));
                next_level.push(successor.state);
            }
        }
        Ok(())
    }

    fn check_limits(&mut self) -> Result<(), Stop> {
        self.statistics.peak_memory_mib = self.statistics.peak_memory_mib.max(resident_mib());
        if self.started_at.elapsed() > self.limits.time {
            return Err(Stop::LimitReached(Coverage::OutOfTime));
        }
        if self.statistics.peak_memory_mib > self.limits.memory_mib {
            return Err(Stop::LimitReached(Coverage::OutOfMemory));
        }
        Ok(())
    }

    /// Returns the path on which a state was first reached. Its states are recomputed, because only their fingerprints
    /// are stored.
    fn path_to(&self, fingerprint: u64) -> Vec<Step<M>> {
        let mut indices = Vec::new();
        let mut current = fingerprint;
        while let Some((predecessor, index)) =
            self.predecessors.get(&current).filter(|(_, index)| *index != NO_TRANSITION)
        {
            indices.push(*index as usize);
            current = *predecessor;
        }
        let mut state = self.model.initial_state();
        let mut path = Vec::new();
        for index in indices.into_iter().rev() {
            let mut transitions = Vec::new();
            self.model.transitions(&state, &mut transitions);
            let transition = transitions[index];
            let next = self.model.apply(&state, &transition);
            path.push(Step { state: std::mem::replace(&mut state, next), transition });
        }
        path
    }
}

/// Returns the resident memory of this process, in MiB; 0 if `/proc/self/statm` cannot be read.
pub fn resident_mib() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES / BYTES_PER_MIB
}
