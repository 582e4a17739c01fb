//! Guards against refactorings that change a decision: computes one digest over all actions of schedulers in thousands
//! of random runs with random settings.
//!
//! The digest covers numbers, indices, times in nanoseconds and the bits of floats, but no names, which a
//! refactoring may change. Each decision influences the rest of its run, so that a single difference changes
//! the digest.

#[path = "digest/attempts.rs"]
mod attempts;
#[path = "digest/clients.rs"]
mod clients;
#[path = "digest/engines.rs"]
mod engines;
#[path = "digest/log.rs"]
mod log;
#[path = "digest/random.rs"]
mod random;
#[path = "digest/settings.rs"]
mod settings;
#[path = "digest/simulation.rs"]
mod simulation;

use expect_test::expect;
use log::*;
use sha2::Digest;
use simulation::Simulation;

/// Number of random runs. Each seed below it gives one run.
const RUNS: u64 = 2000;

/// Minimum number of log entries of each kind in all runs together, so that the digest covers the kind.
const MIN_COUNTS: [(usize, u64); 13] = [
    (SEND, 40_000),
    (SET_GRANT_AND_PRIORITY, 40_000),
    (CANCEL, 5_000),
    (REJECT, 20_000),
    (FAIL, 2_000),
    (PROBE, 1_000),
    (WAKE_AFTER, 40_000),
    (WATCH, 1_000),
    (FORGET, 500),
    (ADMITS, 50_000),
    (EXPECTED_WORK, 20_000),
    (INPUT, 200_000),
    (HELD_COUNTS, RUNS),
];

#[test]
fn random_runs_have_unchanged_decisions() {
    let mut log = Log::default();
    for seed in 0..RUNS {
        log = Simulation::new(seed, log).run_to_end();
    }
    for (kind, min_count) in MIN_COUNTS {
        assert!(
            log.counts[kind] >= min_count,
            "log entries of kind {kind}: {}, expected at least {min_count}",
            log.counts[kind]
        );
    }
    let digest: String = log.digest.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
    expect!["f191c3c4348e8bd53c5a03cc4896da732258fda683077d5510a3b7aa84c7792e"].assert_eq(&digest);
}
