//! The faults that the preloaded library `emberflow-fault-shim` injects into a router's process.

use rand::Rng;
use rand::rngs::StdRng;
use std::ops::Range;

/// Slowdowns to draw from; a repeated value is drawn more often.
const SLOWDOWNS: [f64; 4] = [1.0, 1.0, 4.0, 8.0];
/// Steps of the wall clock to draw from; a repeated value is drawn more often.
const CLOCK_STEPS_MS: [i64; 6] = [0, 0, 3_000, -3_000, 3_600_000, -3_600_000];
const CLOCK_STEP_TIMES_MS: Range<u64> = 1000..8000;
/// Values of [`ProcessFaults::fail_every`] to draw from; a repeated value is drawn more often.
const FAILURE_INTERVALS: [u64; 4] = [0, 0, 37, 101];

/// The faults that are injected into a router's process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessFaults {
    /// Factor by which the process's computations are slowed down; up to 1 for no delay.
    pub slowdown: f64,
    /// Step of the wall clock, in milliseconds; 0 for none.
    pub clock_step_ms: i64,
    /// Time from the process's first read of the wall clock to the step, in milliseconds.
    pub clock_step_at_ms: u64,
    /// Every Nth call of each socket function fails; 0 for none.
    pub fail_every: u64,
}

/// Draws the faults of a router's process. A given slowdown is used without a draw. If `has_shim` is false, the same
/// values are drawn, but only a given slowdown is used.
pub fn draw(rng: &mut StdRng, given_slowdown: Option<f64>, has_shim: bool) -> ProcessFaults {
    let slowdown = given_slowdown.unwrap_or_else(|| draw_one(rng, &SLOWDOWNS));
    let drawn = ProcessFaults {
        slowdown,
        clock_step_ms: draw_one(rng, &CLOCK_STEPS_MS),
        clock_step_at_ms: rng.random_range(CLOCK_STEP_TIMES_MS),
        fail_every: draw_one(rng, &FAILURE_INTERVALS),
    };
    if has_shim {
        return drawn;
    }
    ProcessFaults { slowdown: given_slowdown.unwrap_or_default(), ..ProcessFaults::default() }
}

fn draw_one<T: Copy>(rng: &mut StdRng, choices: &[T]) -> T {
    choices[rng.random_range(0..choices.len())]
}
