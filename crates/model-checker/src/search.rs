//! Breadth-first search over the states of a model.
//!
//! Levels are visited in order, so the first violation is found on a shortest path, and the same one on every run.
//! Of the visited states only their fingerprints and the way back are kept in memory.

use rayon::prelude::*;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::{BuildHasherDefault, Hasher};
use std::time::{Duration, Instant};

/// The clock of every model begins here, so that times before the start can be represented.
pub const START_TIME: Duration = Duration::from_secs(20);

/// States that are expanded in parallel before the limits are checked again.
const BATCH_SIZE: usize = 4096;
/// Marks the initial state among the origins, which no transition leads to.
const NO_TRANSITION: u32 = u32::MAX;
/// Bytes of a page of memory, in which the kernel reports the resident set.
const PAGE_BYTES: u64 = 4096;

/// A transition system: an initial state, the transitions enabled in a state, and where each of them leads.
pub trait Model: Sync {
    /// A state of the system under test together with its environment.
    type State: Send + Sync + Clone;
    /// One input or event of the environment.
    type Transition: Send + Sync + Copy;

    /// The state in which the search begins.
    fn initial_state(&self) -> Self::State;
    /// Appends the transitions that are enabled in a state, always in the same order.
    fn transitions(&self, state: &Self::State, transitions: &mut Vec<Self::Transition>);
    /// The state that a transition leads to.
    fn apply(&self, state: &Self::State, transition: &Self::Transition) -> Self::State;
    /// A number that is equal for states with equal futures.
    fn fingerprint(&self, state: &Self::State) -> u64;
    /// The name of the invariant violated on the way into a state; `is_terminal` if no transition is enabled in it.
    fn violated(&self, state: &Self::State, is_terminal: bool) -> Option<&'static str>;
}

/// Limits of one search.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Wall-clock time after which the search stops.
    pub time: Duration,
    /// Resident memory of the process, in MiB, above which the search stops.
    pub memory_mb: u64,
    /// Number of transitions from the initial state beyond which no state is expanded; `None` for no limit.
    pub max_depth: Option<usize>,
}

/// How much of the state space a search has covered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// Every reachable state.
    Complete,
    /// Every state within [`Bounds::max_depth`].
    ToDepth,
    /// The time limit was reached first.
    OutOfTime,
    /// The memory limit was reached first.
    OutOfMemory,
}

/// A violated invariant, and a shortest path to it.
pub struct Violation<M: Model> {
    /// The name of the invariant.
    pub invariant: &'static str,
    /// The path from the initial state.
    pub path: Vec<Step<M>>,
}

/// One step of a path.
pub struct Step<M: Model> {
    /// The state in which the transition is taken.
    pub state: M::State,
    /// The transition.
    pub transition: M::Transition,
}

/// Figures of a search.
#[derive(Clone, Debug)]
pub struct Extent {
    /// Distinct states reached.
    pub states: usize,
    /// States in which no transition is enabled.
    pub terminal_states: usize,
    /// The length of the longest path that was followed.
    pub depth: usize,
    /// How much of the state space was covered.
    pub coverage: Coverage,
    /// Wall-clock time of the search.
    pub elapsed: Duration,
    /// The largest resident memory that was observed, in MiB.
    pub memory_mb: u64,
}

/// The result of a search.
pub struct SearchReport<M: Model> {
    /// The figures of the search.
    pub extent: Extent,
    /// The first violation, if there is one.
    pub violation: Option<Violation<M>>,
}

/// Fingerprints are hashes already, so that the table of origins uses them as they are.
#[derive(Default)]
struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, _: &[u8]) {
        unreachable!("only whole fingerprints are looked up");
    }
    fn write_u64(&mut self, fingerprint: u64) {
        self.0 = fingerprint;
    }
}

/// How each state was first reached: from which state, by which of the transitions enabled there.
type Origins = HashMap<u64, (u64, u32), BuildHasherDefault<IdentityHasher>>;

/// Visits the reachable states of a model until all are visited, an invariant is violated or a limit is reached.
pub fn explore<M: Model>(model: &M, bounds: Bounds) -> SearchReport<M> {
    let mut search = Search::new(model, bounds);
    let violation = match search.run() {
        Ok(()) => None,
        Err(Stop::LimitReached(coverage)) => {
            search.extent.coverage = coverage;
            None
        }
        Err(Stop::Violated { invariant, fingerprint }) => {
            Some(Violation { invariant, path: search.path_to(fingerprint) })
        }
    };
    search.extent.states = search.origins.len();
    search.extent.elapsed = search.begun.elapsed();
    SearchReport { extent: search.extent, violation }
}

/// Why a search ended before every state was visited.
enum Stop {
    LimitReached(Coverage),
    Violated { invariant: &'static str, fingerprint: u64 },
}

/// What the expansion of one state found.
struct Expansion<State> {
    fingerprint: u64,
    violated: Option<&'static str>,
    is_terminal: bool,
    /// States that were not known before this batch, with the position of the transition that leads there.
    successors: Vec<Successor<State>>,
}

struct Successor<State> {
    fingerprint: u64,
    transition: u32,
    state: State,
}

/// A search in progress.
struct Search<'a, M: Model> {
    model: &'a M,
    bounds: Bounds,
    begun: Instant,
    origins: Origins,
    extent: Extent,
}

impl<'a, M: Model> Search<'a, M> {
    fn new(model: &'a M, bounds: Bounds) -> Self {
        let extent = Extent {
            states: 1,
            terminal_states: 0,
            depth: 0,
            coverage: Coverage::Complete,
            elapsed: Duration::ZERO,
            memory_mb: 0,
        };
        Self { model, bounds, begun: Instant::now(), origins: Origins::default(), extent }
    }

    fn run(&mut self) -> Result<(), Stop> {
        let initial_state = self.model.initial_state();
        let fingerprint = self.model.fingerprint(&initial_state);
        self.origins.insert(fingerprint, (fingerprint, NO_TRANSITION));
        let mut level = vec![initial_state];
        while !level.is_empty() {
            if self.bounds.max_depth.is_some_and(|max_depth| self.extent.depth >= max_depth) {
                return Err(Stop::LimitReached(Coverage::ToDepth));
            }
            level = self.expand_level(level)?;
            self.extent.depth += usize::from(!level.is_empty());
        }
        Ok(())
    }

    /// Expands all states of one level, and returns the states of the next.
    fn expand_level(&mut self, level: Vec<M::State>) -> Result<Vec<M::State>, Stop> {
        let mut next_level = Vec::new();
        let mut remaining = level.into_iter();
        loop {
            let batch: Vec<M::State> = remaining.by_ref().take(BATCH_SIZE).collect();
            if batch.is_empty() {
                return Ok(next_level);
            }
            let expansions: Vec<_> = batch.par_iter().map(|state| self.expand(state)).collect();
            // Taken in the order of the batch, whichever thread was first, so that every run does the same.
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
        let violated = self.model.violated(state, is_terminal);
        if violated.is_some() {
            transitions.clear();
        }
        let successors = transitions.iter().zip(0..).filter_map(|(transition, position)| {
            let state = self.model.apply(state, transition);
            let fingerprint = self.model.fingerprint(&state);
            let is_new = !self.origins.contains_key(&fingerprint);
            is_new.then_some(Successor { fingerprint, transition: position, state })
        });
        Expansion {
            fingerprint: self.model.fingerprint(state),
            violated,
            is_terminal,
            successors: successors.collect(),
        }
    }

    fn record(&mut self, expansion: Expansion<M::State>, next_level: &mut Vec<M::State>) -> Result<(), Stop> {
        self.extent.terminal_states += usize::from(expansion.is_terminal);
        if let Some(invariant) = expansion.violated {
            return Err(Stop::Violated { invariant, fingerprint: expansion.fingerprint });
        }
        for successor in expansion.successors {
            if let Entry::Vacant(entry) = self.origins.entry(successor.fingerprint) {
                entry.insert((expansion.fingerprint, successor.transition));
                next_level.push(successor.state);
            }
        }
        Ok(())
    }

    fn check_limits(&mut self) -> Result<(), Stop> {
        self.extent.memory_mb = self.extent.memory_mb.max(resident_mb());
        if self.begun.elapsed() > self.bounds.time {
            return Err(Stop::LimitReached(Coverage::OutOfTime));
        }
        if self.extent.memory_mb > self.bounds.memory_mb {
            return Err(Stop::LimitReached(Coverage::OutOfMemory));
        }
        Ok(())
    }

    /// The path by which a state was first reached, computed anew from the initial state.
    fn path_to(&self, fingerprint: u64) -> Vec<Step<M>> {
        let mut positions = Vec::new();
        let mut at = fingerprint;
        while let Some((from, position)) = self.origins.get(&at).filter(|origin| origin.1 != NO_TRANSITION) {
            positions.push(*position as usize);
            at = *from;
        }
        let mut state = self.model.initial_state();
        let mut path = Vec::new();
        for position in positions.into_iter().rev() {
            let mut transitions = Vec::new();
            self.model.transitions(&state, &mut transitions);
            let transition = transitions[position];
            let next = self.model.apply(&state, &transition);
            path.push(Step { state: std::mem::replace(&mut state, next), transition });
        }
        path
    }
}

/// The resident memory of this process, in MiB; zero where the kernel does not tell.
pub fn resident_mb() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    (pages.unwrap_or(0) * PAGE_BYTES) >> 20
}
