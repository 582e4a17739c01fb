//! What the module remembers of requests, engines and keys; it decides nothing.

use crate::samples::SampleWindow;
use crate::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    Unblocked,
    Small,
    Medium,
    Largest,
}

#[derive(Clone)]
pub struct Request {
    pub class: usize,
    pub key: Option<KeyId>,
    pub told_cost: Option<f64>,
    pub told_memory: Option<f64>,
    /// Seconds that it runs for on an idle engine, and MB, as corrected by what such requests were billed.
    pub ideal: f64,
    pub memory: f64,
    pub group: Option<u64>,
    pub arrived: Duration,
    pub latency_objective: Duration,
    pub deadline: Duration,
    pub over: bool,
    /// Its client has nothing more to say, and may be gone.
    pub left: bool,
    pub attempts: Vec<Attempt>,
}

#[derive(Clone)]
pub struct Attempt {
    pub engine: EngineId,
    pub sent: Duration,
    /// When it was sent or last noted.
    pub heard: Duration,
    pub grant: f64,
    pub end: Option<AttemptOutcome>,
    pub cancelled: bool,
    pub stands: bool,
    pub missing: f64,
    pub finish: Option<Duration>,
}

/// An attempt that is out at an engine, with what rooms and tiers are counted by.
#[derive(Clone)]
pub struct Out {
    pub request: RequestId,
    pub attempt: usize,
    pub sent: Duration,
    pub tier: Tier,
    pub grant: f64,
    pub threads: f64,
}

#[derive(Clone)]
pub struct Engine {
    pub location: usize,
    pub kind: usize,
    pub cell: u64,
    pub lifecycle: Lifecycle,
    pub launched: Option<Duration>,
    /// When this router heard of that launch.
    pub listed: Duration,
    pub cold_since: Option<Duration>,
    /// In the order of sending.
    pub out: Vec<Out>,
    pub sent: SampleWindow,
    pub stretches: SampleWindow,
    pub bad: SampleWindow,
    pub heard: Duration,
    pub refused: Option<Duration>,
    pub report: Option<(Duration, LoadReport)>,
    pub groups: VecDeque<u64>,
    /// Groups that a load held there, and when an attempt last told of it.
    pub held: BTreeMap<u64, Duration>,
}

#[derive(Clone)]
pub struct ClassEstimates {
    pub costs: SampleWindow,
    pub memories: SampleWindow,
    pub cost_ratios: SampleWindow,
    pub memory_ratios: SampleWindow,
    pub stretches: SampleWindow,
    pub deadlines: SampleWindow,
}

/// Requests of one key in the order taken, and the rest owed after an attempt that may still run.
#[derive(Clone, Default)]
pub struct KeyQueue {
    pub requests: VecDeque<RequestId>,
    pub rest: Option<(RequestId, Duration)>,
}

/// What one round of the rules sees: run over that on an idle engine, by request class; this router's
/// share; the engines; the thresholds, kept up as requests leave.
pub struct FleetSnapshot {
    pub runs: Vec<f64>,
    pub share: f64,
    pub engines: BTreeMap<EngineId, EngineView>,
    pub gateways: Vec<Gateway>,
}

pub struct EngineView {
    pub pressed: Option<bool>,
    pub silence: f64,
    pub sick: bool,
    pub ease: f64,
    pub slow: f64,
}

/// The figures behind one engine kind's thresholds, what this router has out there, and of that the threads
/// of each tier at engines under pressure beside the cores that count there.
pub struct Gateway {
    pub unblocked: f64,
    pub memory_target: f64,
    /// Part of an engine's memory that may fill where nothing tells how full it is.
    pub untold: f64,
    pub engines: f64,
    pub small: f64,
    pub medium: f64,
    /// Mean parts of memory and cores that its engines reported in use.
    pub told: (Option<f64>, Option<f64>),
    /// Whether its engines tell how many requests they hold.
    pub counted: bool,
    pub memory: f64,
    pub threads: f64,
    pub held: [f64; 4],
    pub pool: f64,
}

impl ClassEstimates {
    pub fn keeping(samples: usize) -> Self {
        let recent = || SampleWindow::keeping(samples);
        Self {
            costs: recent(),
            memories: recent(),
            cost_ratios: recent(),
            memory_ratios: recent(),
            stretches: recent(),
            deadlines: recent(),
        }
    }
}

impl Engine {
    pub fn listed(row: &Endpoint, now: Duration, samples: usize, outcomes: usize) -> Self {
        Self {
            location: row.location,
            kind: row.kind,
            cell: row.cell,
            lifecycle: row.lifecycle,
            launched: row.launched,
            listed: now,
            cold_since: row.launched,
            out: Vec::new(),
            sent: SampleWindow::keeping(samples * samples),
            stretches: SampleWindow::keeping(samples),
            bad: SampleWindow::keeping(outcomes),
            heard: now,
            refused: None,
            report: None,
            groups: VecDeque::new(),
            held: BTreeMap::new(),
        }
    }

    /// Notes the group it reads, of which it keeps the last few.
    pub fn reads(&mut self, group: Option<u64>, held_counts: usize) {
        if let Some(group) = group {
            self.groups.retain(|g| *g != group);
            self.groups.truncate(held_counts - 1);
            self.groups.push_front(group);
        }
    }
}

impl Attempt {
    pub fn sent(now: Duration, engine: EngineId, grant: f64) -> Self {
        let (end, finish) = (None, None);
        Self {
            engine,
            sent: now,
            heard: now,
            grant,
            end,
            cancelled: false,
            stands: false,
            missing: 0.0,
            finish,
        }
    }
}

impl Request {
    pub fn out(&self) -> bool {
        self.attempts.last().is_some_and(|attempt| attempt.end.is_none())
    }

    pub fn held(&self) -> bool {
        !self.over && !self.out()
    }
}
