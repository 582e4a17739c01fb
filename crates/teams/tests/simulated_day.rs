//! A skewed day under fair queueing, compared with the order of arrival: shares, urgent requests and wait estimates.

mod simulation;

use emberflow_teams::Queues;
use simulation::{Day, Fifo, quotas, simulate, skewed};
use std::time::Duration;

#[test]
fn a_skewed_day_is_fair_and_its_wait_estimates_are_right() {
    for (seed, work_factor) in [(7, 1.0), (8, 1.0), (7, 10.0)] {
        let day = Day { work_factor, ..skewed(seed) };
        let fair = simulate(&day, &mut Queues::new(quotas(&day), Duration::ZERO));
        let fifo = simulate(&day, &mut Fifo::default());
        // With ten times the expected work, shares are corrected only when requests have ended.
        let max_share_error = if work_factor == 1.0 { 0.1 } else { 0.2 };
        assert!(fair.worst_share_error < max_share_error && fair.jain > 0.98, "{fair:?}");
        assert!(fair.urgent_p99 < fifo.urgent_p99 / 5.0, "{fair:?}");
        assert!(fair.on_time > fifo.on_time, "{fair:?}");
        if work_factor == 1.0 {
            assert!(fair.estimates > 100, "{fair:?}");
            assert!(fair.estimate_error < 0.2 && fair.estimates_in_range >= 0.9, "{fair:?}");
        }
    }
}
