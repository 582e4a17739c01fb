//! The figures of a simulated day.

use super::{Day, seconds};
use emberflow_teams::WaitEstimate;
use std::time::Duration;

/// Length of the windows in which shares are measured, in seconds.
const WINDOW_S: f64 = 10.0;
/// Shortest estimated wait, in seconds, whose error is counted.
const MIN_ESTIMATE_S: f64 = 0.1;

/// The figures of a day. Times are in seconds.
#[derive(Debug, Default)]
pub struct Figures {
    /// Largest relative error of a team's service against its share, over all windows and the teams that had requests
    /// throughout the window.
    pub worst_share_error: f64,
    /// Jain's fairness index over the same windows.
    pub jain: f64,
    /// Longest time for which a team with requests was not served.
    pub longest_without_service: f64,
    pub urgent_p99: f64,
    pub on_time: usize,
    pub served: usize,
    pub rejected: usize,
    pub expired: usize,
    /// Median relative error of the estimates of at least [`MIN_ESTIMATE_S`].
    pub estimate_error: f64,
    /// Fraction of these estimates whose range contains the actual wait.
    pub estimates_in_range: f64,
    /// Number of these estimates.
    pub estimates: usize,
}

/// Collects the figures during the simulation.
pub struct Recorder {
    figures: Figures,
    /// By window and team, seconds of work dispatched.
    service: Vec<Vec<f64>>,
    /// By window and team, whether the team had no waiting request at some time.
    idle: Vec<Vec<bool>>,
    last_service: Vec<Duration>,
    waiting: Vec<usize>,
    urgent_waits: Vec<f64>,
    estimate_errors: Vec<f64>,
    estimates_in_range: usize,
}

fn window(now: Duration) -> usize {
    (now.as_secs_f64() / WINDOW_S) as usize
}

fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let index = ((values.len() as f64 - 1.0) * fraction).round() as usize;
    values.get(index).copied().unwrap_or(0.0)
}

impl Recorder {
    pub fn new(day: &Day) -> Self {
        let teams = day.teams.len();
        let windows = (day.duration / WINDOW_S).ceil() as usize;
        Self {
            figures: Figures::default(),
            service: vec![vec![0.0; teams]; windows],
            idle: vec![vec![false; teams]; windows],
            last_service: vec![Duration::ZERO; teams],
            waiting: vec![0; teams],
            urgent_waits: Vec::new(),
            estimate_errors: Vec::new(),
            estimates_in_range: 0,
        }
    }

    pub fn rejected(&mut self) {
        self.figures.rejected += 1;
    }

    pub fn enqueued(&mut self, now: Duration, team: usize) {
        self.waiting[team] += 1;
        if self.waiting[team] == 1 {
            self.last_service[team] = now;
        }
    }

    pub fn expired(&mut self, team: usize) {
        self.figures.expired += 1;
        self.waiting[team] -= 1;
    }

    pub fn dispatched(&mut self, now: Duration, team: usize, work: f64) {
        self.waiting[team] -= 1;
        let without_service = (now - self.last_service[team]).as_secs_f64();
        self.figures.longest_without_service = self.figures.longest_without_service.max(without_service);
        self.last_service[team] = now;
        self.service[window(now)][team] += work;
    }

    /// Records the wait of a dispatched request, in seconds.
    pub fn waited(&mut self, waited: f64, urgent: bool, estimate: Option<WaitEstimate>) {
        if urgent {
            self.urgent_waits.push(waited);
        }
        let Some(estimate) = estimate.filter(|estimate| estimate.median > seconds(MIN_ESTIMATE_S)) else {
            return;
        };
        self.estimate_errors.push((waited / estimate.median.as_secs_f64() - 1.0).abs());
        let range = estimate.low.as_secs_f64()..=estimate.high.as_secs_f64();
        self.estimates_in_range += usize::from(range.contains(&waited));
    }

    pub fn ended(&mut self, on_time: bool) {
        self.figures.served += 1;
        self.figures.on_time += usize::from(on_time);
    }

    pub fn record_idle_teams(&mut self, now: Duration) {
        let idle_in_window = &mut self.idle[window(now)];
        for (idle, waiting) in idle_in_window.iter_mut().zip(&self.waiting) {
            *idle |= *waiting == 0;
        }
    }

    pub fn figures(mut self, day: &Day) -> Figures {
        self.measure_shares(day);
        let Self { mut figures, mut urgent_waits, mut estimate_errors, .. } = self;
        figures.urgent_p99 = quantile(&mut urgent_waits, 0.99);
        figures.estimates = estimate_errors.len();
        figures.estimates_in_range = self.estimates_in_range as f64 / figures.estimates.max(1) as f64;
        figures.estimate_error = quantile(&mut estimate_errors, 0.5);
        figures
    }

    fn measure_shares(&mut self, day: &Day) {
        let mut ratios = Vec::new();
        // The first window fills the queues.
        for (service, idle) in self.service.iter().zip(&self.idle).skip(1) {
            let busy: Vec<usize> = (0..day.teams.len()).filter(|team| !idle[*team]).collect();
            let all_service: f64 = busy.iter().map(|team| service[*team]).sum();
            let all_shares: f64 = busy.iter().map(|team| day.teams[*team].0).sum();
            let ratio = |team: usize| service[team] / all_service / (day.teams[team].0 / all_shares);
            ratios.extend(busy.into_iter().map(ratio));
        }
        let errors = ratios.iter().map(|ratio| (ratio - 1.0).abs());
        self.figures.worst_share_error = errors.fold(0.0, f64::max);
        let sum: f64 = ratios.iter().sum();
        let squares: f64 = ratios.iter().map(|ratio| ratio * ratio).sum();
        self.figures.jain = sum * sum / (ratios.len() as f64 * squares).max(1e-9);
    }
}
