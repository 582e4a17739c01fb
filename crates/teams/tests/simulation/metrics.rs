//! The metrics of a simulated run.

use super::{Workload, seconds};
use emberflow_teams::WaitEstimate;
use std::time::Duration;

/// Length of the windows in which shares are measured.
const WINDOW_S: f64 = 10.0;
/// Shortest estimated wait whose error is measured.
const MIN_ESTIMATE_S: f64 = 0.1;

/// The metrics of a run.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Largest relative error of a team's service against its share, over all windows and the teams that had requests
    /// throughout the window.
    pub max_share_error: f64,
    /// Jain's fairness index over the same windows.
    pub jain_index: f64,
    /// Longest time for which no request of a team with waiting requests was dispatched.
    pub max_service_gap_s: f64,
    /// 99th percentile of the waits of urgent requests.
    pub urgent_p99_s: f64,
    /// Number of requests that ended within the latency objective.
    pub on_time: usize,
    /// Number of requests that ended.
    pub served: usize,
    /// Number of requests that the policy rejected on arrival.
    pub rejected: usize,
    /// Number of requests that were still waiting at their deadline.
    pub expired: usize,
    /// Median relative error of the estimates of at least [`MIN_ESTIMATE_S`].
    pub median_estimate_error: f64,
    /// Fraction of these estimates whose range contains the actual wait.
    pub estimates_in_range: f64,
    /// Number of these estimates.
    pub estimates: usize,
}

/// Collects the metrics during the simulation.
pub struct MetricsRecorder {
    metrics: Metrics,
    /// By window and team, seconds of work dispatched.
    dispatched_s: Vec<Vec<f64>>,
    /// By window and team, whether the team had no waiting request at some time.
    idle: Vec<Vec<bool>>,
    /// By team, the time of the latest dispatch, or of the arrival at the empty queue if that is later.
    last_served_at: Vec<Duration>,
    /// By team, the number of waiting requests.
    waiting: Vec<usize>,
    urgent_waits_s: Vec<f64>,
    /// Relative errors of the estimated median waits.
    estimate_errors: Vec<f64>,
    /// Number of estimates whose range contained the actual wait.
    estimates_in_range: usize,
}

fn window_index(now: Duration) -> usize {
    (now.as_secs_f64() / WINDOW_S) as usize
}

/// Sorts the values, and returns the one nearest to the quantile; 0 if there are none.
fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let index = ((values.len() as f64 - 1.0) * fraction).round() as usize;
    values.get(index).copied().unwrap_or(0.0)
}

impl MetricsRecorder {
    pub fn new(workload: &Workload) -> Self {
        let teams = workload.teams.len();
        let windows = (workload.duration_s / WINDOW_S).ceil() as usize;
        Self {
            metrics: Metrics::default(),
            dispatched_s: vec![vec![0.0; teams]; windows],
            idle: vec![vec![false; teams]; windows],
            last_served_at: vec![Duration::ZERO; teams],
            waiting: vec![0; teams],
            urgent_waits_s: Vec::new(),
            estimate_errors: Vec::new(),
            estimates_in_range: 0,
        }
    }

    pub fn record_rejected(&mut self) {
        self.metrics.rejected += 1;
    }

    pub fn record_enqueued(&mut self, now: Duration, team: usize) {
        self.waiting[team] += 1;
        if self.waiting[team] == 1 {
            self.last_served_at[team] = now;
        }
    }

    pub fn record_expired(&mut self, team: usize) {
        self.metrics.expired += 1;
        self.waiting[team] -= 1;
    }

    pub fn record_dispatched(&mut self, now: Duration, team: usize, work_s: f64) {
        self.waiting[team] -= 1;
        let service_gap_s = (now - self.last_served_at[team]).as_secs_f64();
        self.metrics.max_service_gap_s = self.metrics.max_service_gap_s.max(service_gap_s);
        self.last_served_at[team] = now;
        self.dispatched_s[window_index(now)][team] += work_s;
    }

    /// Records the wait of a dispatched request.
    pub fn record_wait(&mut self, wait_s: f64, urgent: bool, estimate: Option<WaitEstimate>) {
        if urgent {
            self.urgent_waits_s.push(wait_s);
        }
        let Some(estimate) = estimate.filter(|estimate| estimate.median > seconds(MIN_ESTIMATE_S)) else {
            return;
        };
        self.estimate_errors.push((wait_s / estimate.median.as_secs_f64() - 1.0).abs());
        let range_s = estimate.low.as_secs_f64()..=estimate.high.as_secs_f64();
        self.estimates_in_range += usize::from(range_s.contains(&wait_s));
    }

    pub fn record_ended(&mut self, on_time: bool) {
        self.metrics.served += 1;
        self.metrics.on_time += usize::from(on_time);
    }

    /// Marks the teams without waiting requests as idle in the current window.
    pub fn record_idle_teams(&mut self, now: Duration) {
        let idle_in_window = &mut self.idle[window_index(now)];
        for (idle, waiting) in idle_in_window.iter_mut().zip(&self.waiting) {
            *idle |= *waiting == 0;
        }
    }

    pub fn into_metrics(mut self, workload: &Workload) -> Metrics {
        self.measure_shares(workload);
        let Self { mut metrics, mut urgent_waits_s, mut estimate_errors, .. } = self;
        metrics.urgent_p99_s = quantile(&mut urgent_waits_s, 0.99);
        metrics.estimates = estimate_errors.len();
        metrics.estimates_in_range = self.estimates_in_range as f64 / metrics.estimates.max(1) as f64;
        metrics.median_estimate_error = quantile(&mut estimate_errors, 0.5);
        metrics
    }

    /// Compares the teams' shares of the dispatched work with their configured shares, by window.
    fn measure_shares(&mut self, workload: &Workload) {
        let mut ratios = Vec::new();
        // The first window is skipped, because the queues fill up in it.
        for (dispatched_s, idle) in self.dispatched_s.iter().zip(&self.idle).skip(1) {
            let busy: Vec<usize> = (0..workload.teams.len()).filter(|team| !idle[*team]).collect();
            let total_dispatched_s: f64 = busy.iter().map(|team| dispatched_s[*team]).sum();
            let shares_sum: f64 = busy.iter().map(|team| workload.teams[*team].0).sum();
            let ratio =
                |team: usize| dispatched_s[team] / total_dispatched_s / (workload.teams[team].0 / shares_sum);
            ratios.extend(busy.into_iter().map(ratio));
        }
        let errors = ratios.iter().map(|ratio| (ratio - 1.0).abs());
        self.metrics.max_share_error = errors.fold(0.0, f64::max);
        let sum: f64 = ratios.iter().sum();
        let squares: f64 = ratios.iter().map(|ratio| ratio * ratio).sum();
        self.metrics.jain_index = sum * sum / (ratios.len() as f64 * squares).max(1e-9);
    }
}
