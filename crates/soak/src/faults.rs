//! The faults of a run, drawn from its seed: they overlap, and go on to its end.

use clap::ValueEnum;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use serde::Serialize;
use std::time::Duration;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Some engines read and send nothing for a while.
    Silent,
    /// Some engines run what they read and send nothing for a while.
    Mute,
    /// Some engines are slow for a while.
    Slow,
    /// Some engines fail each attempt for a while.
    Failing,
    /// Some engines break off each answer in its middle for a while.
    Truncating,
    /// Some engines answer in small pieces for a while.
    Pieces,
    /// Connections of some engines are reset under requests.
    Reset,
    /// Connections to some engines do not come up for a while.
    LateConnect,
    /// Some engines close connections that carry nothing, under what is on its way to them.
    IdleClose,
    /// Some engines drain, end, and are replaced by cold ones.
    Drain,
    /// Some engines crash and come back cold.
    Crash,
    /// A zone is lost and returns cold.
    Zone,
    /// Discovery refuses connections for a while.
    DiscoveryDown,
    /// Discovery keeps connections and says nothing for a while.
    DiscoverySilent,
    /// Discovery sends the complete list again.
    List,
    /// A router is notified to end, killed at the earliest, and started again.
    Term,
    /// A router is killed and started again.
    Kill,
    /// A router is stopped for a moment.
    Stop,
    /// A router reads its configuration again.
    Reload,
    /// Half of a router's clients leave at once.
    Leave,
    /// A router's clients send several times as much for a while.
    Burst,
    /// Connections that send nothing fill a router's descriptors.
    Crowd,
}

/// A fault of a run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Fault {
    pub at: Duration,
    pub kind: FaultKind,
    /// How long it lasts, where it lasts.
    pub span: Duration,
    /// The part of the engines that it strikes.
    pub part: f64,
    /// Which router or zone it strikes, to be taken modulo their number.
    pub target: usize,
}

/// Part of a run in which faults begin, and after which it ends quietly so that all requests can be judged.
const FIRST_AT: f64 = 1.0;
/// Faults for each second of a run.
const FAULTS_PER_SECOND: f64 = 1.2;

/// Draws the faults of a run of so many seconds.
pub fn draw(rng: &mut StdRng, kinds: &[FaultKind], seconds: f64) -> Vec<Fault> {
    let count = (seconds * FAULTS_PER_SECOND) as usize;
    let mut faults: Vec<Fault> = (0..count)
        .filter_map(|_| {
            let kind = *kinds.choose(rng)?;
            Some(Fault {
                at: Duration::from_secs_f64(rng.random_range(FIRST_AT..seconds.max(FIRST_AT + 0.1))),
                kind,
                span: Duration::from_secs_f64(rng.random_range(0.3..3.0)),
                part: rng.random_range(0.05..0.3),
                target: rng.random_range(0..1000),
            })
        })
        .collect();
    faults.sort_by_key(|fault| fault.at);
    faults
}
