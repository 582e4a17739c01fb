//! An engine as this router knows it.

use super::{AttemptId, Resources, Tier, WindowSizes};
use crate::samples::SampleWindow;
use crate::{Endpoint, Lifecycle, LoadReport, RequestId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// An attempt in flight at an engine, with what capacity and tiers are counted by.
#[derive(Clone)]
pub struct InFlight {
    pub request: RequestId,
    pub attempt: usize,
    pub sent_at: Duration,
    pub tier: Tier,
    pub grant_mb: f64,
    pub threads: f64,
}

impl InFlight {
    /// Names the attempt.
    pub fn id(&self) -> AttemptId {
        AttemptId { request: self.request, attempt: self.attempt }
    }

    /// What it holds at its engine.
    pub fn resources(&self) -> Resources {
        Resources { memory: self.grant_mb, threads: self.threads }
    }
}

/// A load report and when it came.
#[derive(Clone, Copy)]
pub struct ReceivedReport {
    pub at: Duration,
    pub load: LoadReport,
}

/// One engine of the endpoint list.
#[derive(Clone)]
pub struct Engine {
    pub location: usize,
    pub kind: usize,
    pub cell: u64,
    pub lifecycle: Lifecycle,
    pub launched: Option<Duration>,
    /// When this router learned of that launch.
    pub listed_at: Duration,
    pub warming_since: Option<Duration>,
    /// In the order of sending.
    pub in_flight: Vec<InFlight>,
    /// Requests not forgotten yet that have an attempt there, whether in flight or ended.
    pub request_count: usize,
    /// Usual work in seconds of each attempt sent there.
    pub sent_work: SampleWindow,
    /// Time to a success over that of an ideal run.
    pub slowdowns: SampleWindow,
    /// 1 for a failed attempt, 0 for a success.
    pub failures: SampleWindow,
    /// When an answer or a progress note came last.
    pub last_sign_at: Duration,
    /// When it last was short of memory or refused an attempt.
    pub short_at: Option<Duration>,
    pub report: Option<ReceivedReport>,
    /// Groups that were read there, newest first.
    pub recent_groups: VecDeque<u64>,
    /// Groups that a load held there, and when an attempt last told of it.
    pub bulk_loads_seen: BTreeMap<u64, Duration>,
}

impl Engine {
    /// An engine as it is first listed, or starts anew.
    pub fn new(row: &Endpoint, now: Duration, sizes: WindowSizes) -> Self {
        Self {
            location: row.location,
            kind: row.kind,
            cell: row.cell,
            lifecycle: row.lifecycle,
            launched: row.launched,
            listed_at: now,
            warming_since: row.launched,
            in_flight: Vec::new(),
            request_count: 0,
            sent_work: SampleWindow::with_capacity(sizes.sent_work),
            slowdowns: SampleWindow::with_capacity(sizes.estimates),
            failures: SampleWindow::with_capacity(sizes.outcomes),
            last_sign_at: now,
            short_at: None,
            report: None,
            recent_groups: VecDeque::new(),
            bulk_loads_seen: BTreeMap::new(),
        }
    }

    /// Whether a row of the list tells of a launch that was not known.
    pub fn has_restarted(&self, row: &Endpoint) -> bool {
        row.launched.is_some() && row.launched != self.launched
    }

    /// Whether a row of the list tells anything new.
    pub fn differs_from(&self, row: &Endpoint) -> bool {
        self.lifecycle != row.lifecycle || self.has_restarted(row)
    }

    /// Notes the group that it reads, and keeps the last `capacity` of them.
    pub fn note_group(&mut self, group: Option<u64>, capacity: usize) {
        if let Some(group) = group {
            self.recent_groups.retain(|other| *other != group);
            self.recent_groups.truncate(capacity - 1);
            self.recent_groups.push_front(group);
        }
    }

    /// Threads of a tier's attempts in flight.
    pub fn threads_in_flight(&self, tier: Tier) -> f64 {
        self.in_flight.iter().filter(|attempt| attempt.tier == tier).map(|attempt| attempt.threads).sum()
    }
}
