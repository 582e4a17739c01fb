//! The record of one engine: its endpoint, its attempts in flight, its measurements and its last load report.

use super::{AttemptId, Resources, Tier, WindowSizes};
use crate::samples::SampleWindow;
use crate::{Endpoint, Lifecycle, LoadReport, RequestId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// An attempt in flight at an engine, with its tier and the resources that are reserved for it.
#[derive(Clone)]
pub struct InFlightAttempt {
    pub request: RequestId,
    pub attempt: usize,
    pub sent_at: Duration,
    pub tier: Tier,
    pub grant_mb: f64,
    pub threads: f64,
}

impl InFlightAttempt {
    /// Returns the request of the attempt and the attempt's index in that request.
    pub fn id(&self) -> AttemptId {
        AttemptId { request: self.request, attempt: self.attempt }
    }

    /// Returns the resources that are reserved for the attempt at its engine.
    pub fn resources(&self) -> Resources {
        Resources { memory_mb: self.grant_mb, threads: self.threads }
    }
}

/// A load report and the time at which it arrived.
#[derive(Clone, Copy)]
pub struct ReceivedReport {
    pub at: Duration,
    pub load: LoadReport,
}

/// One engine that the endpoint list contains, or contained until it was removed.
#[derive(Clone)]
pub struct Engine {
    pub location: usize,
    pub kind: usize,
    pub cell: u64,
    pub lifecycle: Lifecycle,
    /// Time of the engine's last start; `None` if the endpoint list does not contain it.
    pub launched_at: Option<Duration>,
    /// Time at which this router first received the engine with that start in the endpoint list.
    pub listed_at: Duration,
    /// Start of the last warm-up; `None` if no start is known.
    pub warming_since: Option<Duration>,
    /// Attempts in flight, in the order in which they were sent.
    pub in_flight: Vec<InFlightAttempt>,
    /// Number of requests that are not forgotten yet and have an attempt at the engine, in flight or ended.
    pub request_count: usize,
    /// Usual work, in core-seconds, of the class of each attempt that was sent.
    pub sent_work: SampleWindow,
    /// Elapsed time of each successful attempt as a multiple of its ideal run.
    pub slowdowns: SampleWindow,
    /// 1 for each failed attempt, 0 for each successful one.
    pub failures: SampleWindow,
    /// Time of the last answer or progress update; before the first one, the time at which the engine was listed.
    pub last_activity_at: Duration,
    /// Time at which the engine last reported a shortage of memory or rejected an attempt as overloaded; `None` if
    /// neither has happened since its last start.
    pub memory_shortage_at: Option<Duration>,
    /// The last load report; `None` if this router has received none since the engine's last start.
    pub report: Option<ReceivedReport>,
    /// Table groups of the requests sent to the engine, newest first.
    pub recent_table_groups: VecDeque<u64>,
    /// Table groups that a bulk load blocks at the engine, with the time of the last progress update that
    /// reported the load.
    pub bulk_loads_reported: BTreeMap<u64, Duration>,
}

impl Engine {
    /// Creates the state of an engine that is listed for the first time or has restarted.
    pub fn new(row: &Endpoint, now: Duration, sizes: WindowSizes) -> Self {
        Self {
            location: row.location,
            kind: row.kind,
            cell: row.cell,
            lifecycle: row.lifecycle,
            launched_at: row.launched_at,
            listed_at: now,
            warming_since: row.launched_at,
            in_flight: Vec::new(),
            request_count: 0,
            sent_work: SampleWindow::with_capacity(sizes.sent_work),
            slowdowns: SampleWindow::with_capacity(sizes.estimates),
            failures: SampleWindow::with_capacity(sizes.outcomes),
            last_activity_at: now,
            memory_shortage_at: None,
            report: None,
            recent_table_groups: VecDeque::new(),
            bulk_loads_reported: BTreeMap::new(),
        }
    }

    /// Returns whether the row contains a different start than the one that is known.
    pub fn has_restarted(&self, row: &Endpoint) -> bool {
        row.launched_at.is_some() && row.launched_at != self.launched_at
    }

    /// Returns whether the row changes the engine's lifecycle or start.
    pub fn differs_from(&self, row: &Endpoint) -> bool {
        self.lifecycle != row.lifecycle || self.has_restarted(row)
    }

    /// Records the table group of a request, and drops the oldest of more than `capacity` table groups.
    pub fn record_table_group(&mut self, group: Option<u64>, capacity: usize) {
        if let Some(group) = group {
            self.recent_table_groups.retain(|other| *other != group);
            self.recent_table_groups.truncate(capacity - 1);
            self.recent_table_groups.push_front(group);
        }
    }

    /// Returns whether a shortage of memory was recorded at or after `start`.
    pub fn had_memory_shortage_since(&self, start: Duration) -> bool {
        self.memory_shortage_at.is_some_and(|at| at >= start)
    }

    /// Returns the threads of one tier's attempts in flight.
    pub fn threads_in_flight(&self, tier: Tier) -> f64 {
        self.in_flight.iter().filter(|attempt| attempt.tier == tier).map(|attempt| attempt.threads).sum()
    }
}
