//! What a world round the module is made of.

use crate::life::{Life, Move};
use crate::search::Walk;
use crate::trace;
use emberflow::*;
use std::ops::Deref;
use std::time::Duration;

/// What is told at start, as a change to the base that the traces of the repository start from, and its text.
pub struct Setup {
    pub text: &'static str,
    pub change: fn(&mut Fleet, &mut Vec<RequestClass>, &mut AttemptLimits),
}

/// Writes the change once, for the module and for a reader.
#[macro_export]
macro_rules! setup {
    (|$fleet:ident, $classes:ident, $attempt_limits:ident| $body:block) => {
        $crate::world::Setup {
            text: stringify!($body),
            change: |$fleet: &mut emberflow::Fleet,
                     $classes: &mut Vec<emberflow::RequestClass>,
                     $attempt_limits: &mut emberflow::AttemptLimits| {
                let _ = (&mut *$fleet, &mut *$classes, &mut *$attempt_limits);
                $body
            },
        }
    };
}

/// A request that may come: its request class, key, told cost in milliseconds and memory in MB.
#[derive(Clone, Copy)]
pub struct Asks {
    pub class: usize,
    pub key: Option<KeyId>,
    pub cost: u64,
    pub memory: f64,
}

/// What the list may tell of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Listed {
    Drains,
    Gone,
    Back,
    Anew,
}

/// One world round the module alone.
pub struct Place {
    pub name: &'static str,
    pub says: &'static str,
    pub setup: Setup,
    /// Location and cell of each engine.
    pub engines: &'static [(usize, u64)],
    pub kinds: &'static [usize],
    /// In the order in which they may come, each at any time.
    pub requests: &'static [Asks],
    /// What an attempt may come to by itself.
    pub ends: &'static [AttemptOutcome],
    pub progress_notes: &'static [ProgressNote],
    /// Notes of one attempt, events of the list, clients that leave: at most so many.
    pub notes: u8,
    pub events: u8,
    pub leaves: u8,
    pub listed: &'static [Listed],
    /// Whether the list may break off or come back empty, and whether the process may be told to end.
    pub list_lost: bool,
    pub closes: bool,
    /// What answers report of the engine's load.
    pub load_report: Option<LoadReport>,
    /// How late a wake-up may come.
    pub late: Duration,
    /// Whether time also stops right before, at and after each latency_objective.
    pub fine: bool,
    /// Whether engines may change places with their like.
    pub alike: bool,
    /// Steps after which it is not followed further; `None`: to its fixed point.
    pub depth: Option<usize>,
    /// Whether it is part of the short set.
    pub short: bool,
}

pub const ENDS: &[AttemptOutcome] = &[
    AttemptOutcome::Succeeded,
    AttemptOutcome::Failed,
    AttemptOutcome::Overloaded,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Unreachable,
    AttemptOutcome::Broken,
    AttemptOutcome::Void,
];

impl Place {
    /// A world of one idempotent request at one engine, where an attempt may come to anything and nothing else happens.
    pub const PLAIN: Place = Place {
        name: "plain",
        says: "one idempotent request at one engine",
        setup: setup!(|fleet, classes, attempt_limits| {}),
        engines: &[(0, 0)],
        kinds: &[0],
        requests: &[asks(0)],
        ends: ENDS,
        progress_notes: &[],
        notes: 0,
        events: 0,
        leaves: 0,
        listed: &[],
        list_lost: false,
        closes: false,
        load_report: None,
        late: Duration::ZERO,
        fine: false,
        alike: true,
        depth: None,
        short: true,
    };

    pub fn told(&self) -> (Fleet, Vec<RequestClass>, AttemptLimits) {
        let (mut fleet, mut classes, mut attempt_limits) = trace::small();
        (self.setup.change)(&mut fleet, &mut classes, &mut attempt_limits);
        (fleet, classes, attempt_limits)
    }
}

/// A place with what is told at its start.
pub struct World {
    pub place: &'static Place,
    pub fleet: Fleet,
    pub classes: Vec<RequestClass>,
    pub attempt_limits: AttemptLimits,
}

impl Deref for World {
    type Target = Place;

    fn deref(&self) -> &Place {
        self.place
    }
}

impl World {
    pub fn of(place: &'static Place) -> Self {
        let (fleet, classes, attempt_limits) = place.told();
        Self { place, fleet, classes, attempt_limits }
    }

    pub fn kind(&self, engine: EngineId) -> usize {
        self.kinds.get(engine).copied().unwrap_or(0)
    }

    pub fn class_of(&self, request: RequestId) -> &RequestClass {
        &self.classes[self.requests[request as usize].class]
    }

    /// Before which a final answer must be on its way.
    pub fn margin(&self) -> Duration {
        self.fleet.tick * 4
    }

    pub fn window(&self, request: RequestId) -> Option<Duration> {
        match &self.class_of(request).effect {
            Effect::IdempotentWithKey { window, .. } => Some(*window),
            _ => None,
        }
    }

    pub fn arrival(&self, number: usize) -> Arrival {
        let asks = &self.requests[number];
        Arrival {
            request: number as RequestId,
            class: asks.class,
            key: asks.key,
            cost: (asks.cost > 0).then(|| Duration::from_millis(asks.cost)),
            memory_mb: (asks.memory > 0.0).then_some(asks.memory),
            deadline: self.classes[asks.class].deadline,
            waited: Duration::ZERO,
            is_retry: None,
            group: None,
        }
    }
}

pub const fn asks(class: usize) -> Asks {
    Asks { class, key: None, cost: 20, memory: 300.0 }
}

pub const fn keyed(class: usize, key: KeyId) -> Asks {
    Asks { key: Some(key), ..asks(class) }
}

impl Walk for World {
    type State = Life;
    type Move = Move;

    fn start(&self) -> Life {
        Life::new(self)
    }

    fn moves(&self, life: &Life, moves: &mut Vec<Move>) {
        life.moves(self, moves);
    }

    fn step(&self, life: &Life, step: &Move) -> Life {
        life.step(self, step)
    }

    fn fingerprint(&self, life: &Life) -> u64 {
        life.fingerprint
    }

    fn broken(&self, life: &Life, last: bool) -> Option<&'static str> {
        let left = || (last && !life.rests()).then_some("comes to rest");
        life.broken.map(|law| law.name).or_else(left)
    }
}
