//! Tests of the conversion of wall clock times to the router's clock.

use super::{MAX_OFFSETS, MIN_WALL_CLOCK_STEP, WallClockOffsets};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);
const HOUR: Duration = Duration::from_secs(3600);

/// The Unix time of a launch ten seconds ago, by a correct wall clock.
const LAUNCH: Duration = Duration::from_secs(10_090);
/// Difference between a correct wall clock and the router's clock.
const CORRECT_OFFSET: Duration = Duration::from_secs(10_000);

fn launch_time(offsets: &[Duration]) -> Duration {
    let mut recorded = WallClockOffsets::default();
    for offset in offsets {
        recorded.record(*offset);
    }
    recorded.time_of(LAUNCH, NOW)
}

#[test]
fn a_wall_clock_step_does_not_change_a_launch_time() {
    let correct = Duration::from_secs(90);
    assert_eq!(launch_time(&[CORRECT_OFFSET]), correct);
    for stepped in [CORRECT_OFFSET + HOUR, CORRECT_OFFSET - HOUR] {
        assert_eq!(launch_time(&[CORRECT_OFFSET, stepped]), correct, "stepped to the offset {stepped:?}");
        assert_eq!(launch_time(&[stepped, CORRECT_OFFSET]), correct, "stepped from the offset {stepped:?}");
    }
}

#[test]
fn a_launch_time_is_never_in_the_future() {
    assert_eq!(launch_time(&[CORRECT_OFFSET - HOUR]), NOW);
    assert_eq!(launch_time(&[]), NOW);
}

#[test]
fn only_steps_are_recorded_and_their_number_is_bounded() {
    let mut recorded = WallClockOffsets::default();
    assert_eq!(recorded.record(CORRECT_OFFSET), None);
    assert_eq!(recorded.record(CORRECT_OFFSET + MIN_WALL_CLOCK_STEP / 2), None);
    assert_eq!(recorded.record(CORRECT_OFFSET + HOUR), Some(HOUR));
    for steps in 0..10 {
        recorded.record(HOUR * steps);
    }
    assert_eq!(recorded.offsets.len(), MAX_OFFSETS);
}
