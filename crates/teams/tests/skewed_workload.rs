//! Fair queueing under a skewed workload, compared with first in, first out: shares, urgent requests and wait
//! estimates.

mod simulation;

use emberflow_teams::Queues;
use simulation::{Fifo, Workload, quotas, simulate, skewed_workload};
use std::time::Duration;

#[test]
fn shares_are_fair_and_wait_estimates_accurate() {
    for (seed, work_factor) in [(7, 1.0), (8, 1.0), (7, 10.0)] {
        let workload = Workload { work_factor, ..skewed_workload(seed) };
        let fair = simulate(&workload, &mut Queues::new(quotas(&workload), Duration::ZERO));
        let fifo = simulate(&workload, &mut Fifo::default());
        // Where requests take ten times their expected work, the queues correct the charges only when requests end.
        let max_share_error = if work_factor == 1.0 { 0.1 } else { 0.2 };
        assert!(fair.max_share_error < max_share_error && fair.jain_index > 0.98, "{fair:?}");
        assert!(fair.urgent_p99_s < fifo.urgent_p99_s / 5.0, "{fair:?}");
        assert!(fair.on_time > fifo.on_time, "{fair:?}");
        if work_factor == 1.0 {
            assert!(fair.estimates > 100, "{fair:?}");
            assert!(fair.median_estimate_error < 0.2 && fair.estimates_in_range >= 0.9, "{fair:?}");
        }
    }
}
