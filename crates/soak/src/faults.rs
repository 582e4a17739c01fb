//! The faults of a run, which are drawn from its seed and may overlap.

use clap::ValueEnum;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;

/// A kind of fault. The names on the command line are documented in `docs/soak.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum FaultKind {
    /// Some engines handle no commands and send nothing for a while.
    #[value(name = "silent")]
    SilentEngines,
    /// Some engines run calls but send nothing for a while.
    #[value(name = "mute")]
    MuteEngines,
    /// Some engines run calls slowly for a while.
    #[value(name = "slow")]
    SlowEngines,
    /// Some engines fail each attempt for a while.
    #[value(name = "failing")]
    FailingEngines,
    /// Some engines truncate each result for a while.
    #[value(name = "truncating")]
    TruncatedResults,
    /// Some engines spoil half of their results, which have several pages, in all forms in turn for a while.
    #[value(name = "spoiling")]
    SpoiltResults,
    /// Some engines write their replies a few bytes at a time for a while.
    #[value(name = "pieces")]
    SmallWrites,
    /// The connections of some engines are reset, including those with open calls.
    #[value(name = "reset")]
    ConnectionResets,
    /// Connections to some engines are established late.
    #[value(name = "late-connect")]
    DelayedConnects,
    /// Some engines close connections without open calls, even if a call is in transit.
    #[value(name = "idle-close")]
    IdleCloses,
    /// Some engines forget the connections without open calls: they stay open, and nothing on them is answered.
    #[value(name = "forget")]
    ForgottenConnections,
    /// Some engines run each call for most of the window of an idempotency key, and then fail it, for a while.
    #[value(name = "fail-late")]
    LateFailures,
    /// Some engines are drained, stopped and restarted.
    #[value(name = "drain")]
    EngineDrains,
    /// Some engines crash and restart.
    #[value(name = "crash")]
    EngineCrashes,
    /// All engines of a zone crash and restart.
    #[value(name = "zone")]
    ZoneOutage,
    /// Discovery refuses connections for a while.
    #[value(name = "discovery-down")]
    DiscoveryDown,
    /// Discovery keeps its connections open and sends nothing for a while.
    #[value(name = "discovery-silent")]
    DiscoverySilent,
    /// Discovery sends the complete list again.
    #[value(name = "list")]
    CompleteListResent,
    /// A router gets SIGTERM, then SIGKILL after the time for its graceful shutdown, and is restarted.
    #[value(name = "term")]
    Sigterm,
    /// A router gets SIGKILL and is restarted.
    #[value(name = "kill")]
    Sigkill,
    /// A router gets SIGSTOP, and SIGCONT after a fraction of the fault's duration.
    #[value(name = "stop")]
    Sigstop,
    /// A router reloads its configuration.
    #[value(name = "reload")]
    Reload,
    /// Half of a router's clients close their connections at once.
    #[value(name = "leave")]
    ClientDepartures,
    /// The clients of a router send requests at a multiple of their rate for a while.
    #[value(name = "burst")]
    RequestBurst,
    /// Clients open many connections to a router and send nothing on them.
    #[value(name = "crowd")]
    IdleConnectionFlood,
}

/// A fault of a run.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Time from the start of the traffic to the start of the fault.
    pub at: Duration,
    pub kind: FaultKind,
    /// Duration of the fault; unused for kinds that happen at one moment.
    pub duration: Duration,
    /// Probability with which each ready engine is affected, for kinds that affect engines.
    pub engine_fraction: f64,
    /// Selects the affected router or zone: its index is `target` modulo the number of routers or zones.
    pub target: usize,
}

const FAULTS_PER_SECOND: f64 = 1.2;
/// Number of faults with spoilt results, as a fraction of all others.
const SPOILT_RESULTS_SHARE: f64 = 0.25;
/// Number of faults with forgotten connections, as a fraction of all others.
const FORGOTTEN_CONNECTIONS_SHARE: f64 = 0.25;
/// Number of faults with late failures, as a fraction of all others.
const LATE_FAILURES_SHARE: f64 = 0.15;
/// Earliest start of a fault, in seconds from the start of the traffic.
const FIRST_FAULT_AT_S: f64 = 1.0;
/// Minimum length of the period in which faults start, in seconds.
const MIN_FAULT_PERIOD_S: f64 = 0.1;
const FAULT_DURATIONS_S: Range<f64> = 0.3..3.0;
const ENGINE_FRACTIONS: Range<f64> = 0.05..0.3;
const TARGETS: Range<usize> = 0..1000;

/// A kind of fault with a separate random generator, so that the other faults of a seed are those of runs before this
/// kind was added.
struct SeparateKind {
    kind: FaultKind,
    /// Multiplied with a run's seed, gives the seed of the generator.
    seed_factor: u64,
    /// Number of faults of the kind, as a fraction of all others.
    share: f64,
}

const SEPARATE_KINDS: [SeparateKind; 3] = [
    SeparateKind {
        kind: FaultKind::SpoiltResults,
        seed_factor: 0x9e37_79b9_7f4a_7c15,
        share: SPOILT_RESULTS_SHARE,
    },
    SeparateKind {
        kind: FaultKind::ForgottenConnections,
        seed_factor: 0xbf58_476d_1ce4_e5b9,
        share: FORGOTTEN_CONNECTIONS_SHARE,
    },
    SeparateKind {
        kind: FaultKind::LateFailures,
        seed_factor: 0x94d0_49bb_1331_11eb,
        share: LATE_FAILURES_SHARE,
    },
];

/// Draws the faults of the run with this seed; returns them in the order in which they start.
pub fn plan(seed: u64, rng: &mut StdRng, kinds: &[FaultKind], seconds: f64) -> Vec<Fault> {
    let is_separate = |kind: &FaultKind| SEPARATE_KINDS.iter().any(|separate| separate.kind == *kind);
    let others: Vec<FaultKind> = kinds.iter().copied().filter(|kind| !is_separate(kind)).collect();
    let mut faults = draw(rng, &others, seconds);
    for SeparateKind { kind, seed_factor, share } in SEPARATE_KINDS {
        if kinds.contains(&kind) {
            let mut separate_rng = StdRng::seed_from_u64(seed.wrapping_mul(seed_factor));
            let share = if others.is_empty() { 1.0 } else { share };
            faults.extend(draw(&mut separate_rng, &[kind], seconds * share));
        }
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Draws faults of these kinds for a run with `seconds` of traffic; returns them in the order in which they start.
fn draw(rng: &mut StdRng, kinds: &[FaultKind], seconds: f64) -> Vec<Fault> {
    let count = (seconds * FAULTS_PER_SECOND) as usize;
    let fault_period = FIRST_FAULT_AT_S..seconds.max(FIRST_FAULT_AT_S + MIN_FAULT_PERIOD_S);
    let mut faults = Vec::with_capacity(count);
    for _ in 0..count {
        let Some(kind) = kinds.choose(rng) else { break };
        faults.push(Fault {
            at: Duration::from_secs_f64(rng.random_range(fault_period.clone())),
            kind: *kind,
            duration: Duration::from_secs_f64(rng.random_range(FAULT_DURATIONS_S)),
            engine_fraction: rng.random_range(ENGINE_FRACTIONS),
            target: rng.random_range(TARGETS),
        });
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}
