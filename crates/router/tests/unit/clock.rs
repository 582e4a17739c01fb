use super::*;

const NOW: Duration = Duration::from_secs(100);
const HOUR: Duration = Duration::from_secs(3600);

/// A launch ten seconds ago, told by a peer whose wall clock is right: its zero is 10,000 s after the epoch.
const LAUNCH: Duration = Duration::from_secs(10_090);
const RIGHT_ZERO: Duration = Duration::from_secs(10_000);

fn launch_by(zeros: &[Duration]) -> Duration {
    let mut known = UnixZeros::default();
    for zero in zeros {
        known.note(*zero);
    }
    known.time_of(LAUNCH, NOW)
}

#[test]
fn a_step_of_the_wall_clock_moves_no_launch() {
    let right = Duration::from_secs(90);
    assert_eq!(launch_by(&[RIGHT_ZERO]), right);
    for wrong in [RIGHT_ZERO + HOUR, RIGHT_ZERO - HOUR] {
        assert_eq!(launch_by(&[RIGHT_ZERO, wrong]), right, "right at the start, then off to {wrong:?}");
        assert_eq!(launch_by(&[wrong, RIGHT_ZERO]), right, "off to {wrong:?} at the start, then right");
    }
}

#[test]
fn a_launch_is_never_in_the_future() {
    assert_eq!(launch_by(&[RIGHT_ZERO - HOUR]), NOW);
    assert_eq!(launch_by(&[]), NOW);
}

#[test]
fn only_steps_are_noted_and_few_of_them_kept() {
    let mut zeros = UnixZeros::default();
    assert_eq!(zeros.note(RIGHT_ZERO), None);
    assert_eq!(zeros.note(RIGHT_ZERO + SMALLEST_STEP / 2), None);
    assert_eq!(zeros.note(RIGHT_ZERO + HOUR), Some(HOUR));
    for steps in 0..10 {
        zeros.note(HOUR * steps);
    }
    assert_eq!(zeros.zeros.len(), MOST_ZEROS);
}
