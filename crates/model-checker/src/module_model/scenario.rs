//! The shape of a scenario of the module model.

use crate::trace;
use emberflow::{AttemptLimits, AttemptOutcome, Fleet, KeyId, LoadReport, ProgressUpdate, RequestClass};
use std::time::Duration;

/// A change to the settings that the repository's traces start from, and its source text for counterexamples.
pub struct Setup {
    /// The source text of the change.
    pub text: &'static str,
    /// Makes the change.
    pub change: fn(&mut Fleet, &mut Vec<RequestClass>, &mut AttemptLimits),
}

/// A `Setup` from one closure: the change itself and its source text.
#[macro_export]
macro_rules! setup {
    (|$fleet:ident, $classes:ident, $attempt_limits:ident| $body:block) => {
        $crate::module_model::scenario::Setup {
            text: stringify!($body),
            change: |$fleet: &mut emberflow::Fleet,
                     $classes: &mut Vec<emberflow::RequestClass>,
                     $attempt_limits: &mut emberflow::AttemptLimits| {
                let _ = (&mut *$fleet, &mut *$classes, &mut *$attempt_limits);
                $body
            },
        }
    };
}

/// Where an engine is.
#[derive(Clone, Copy)]
pub struct EngineSpec {
    /// Its location.
    pub location: usize,
    /// Its cell, within which idempotency keys are known.
    pub cell: u64,
}

/// A request that may arrive.
#[derive(Clone, Copy)]
pub struct RequestSpec {
    /// The position of its class in the settings.
    pub class: usize,
    /// The key by which requests are kept in order.
    pub key: Option<KeyId>,
    /// The estimate of its work in milliseconds; 0 for none.
    pub cost_ms: u64,
    /// The estimate of its memory in MB; 0 for none.
    pub memory_mb: f64,
}

/// What the endpoint list may report of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointChange {
    /// It drains: no new attempt may be sent to it.
    Drains,
    /// It is no longer listed.
    Removed,
    /// It is ready again after draining.
    Returns,
    /// Its process was started anew.
    Restarts,
}

/// A scenario of the module model: which requests and engines there are, and what may happen to them.
pub struct Scenario {
    /// The name by which the command line and tests know it.
    pub name: &'static str,
    /// What happens in it, in a sentence.
    pub description: &'static str,
    /// How the settings differ from those of the traces.
    pub setup: Setup,
    /// Where each engine is.
    pub engines: &'static [EngineSpec],
    /// The kind of each engine; the first kind for those that are not named.
    pub kinds: &'static [usize],
    /// The requests in the order in which they arrive, each at any time.
    pub requests: &'static [RequestSpec],
    /// The outcomes that an attempt may have by itself.
    pub outcomes: &'static [AttemptOutcome],
    /// The progress notes that an engine may send.
    pub progress_notes: &'static [ProgressUpdate],
    /// How many progress notes each attempt may have.
    pub max_notes: u8,
    /// How often the endpoint list may change.
    pub max_endpoint_changes: u8,
    /// How many clients may leave.
    pub max_departures: u8,
    /// What the endpoint list may report.
    pub endpoint_changes: &'static [EndpointChange],
    /// Whether the endpoint list may fail or come back empty.
    pub list_may_fail: bool,
    /// Whether the process may shut down.
    pub shuts_down: bool,
    /// The load report that comes with every answer.
    pub load_report: Option<LoadReport>,
    /// How late a wake-up may come.
    pub wake_up_delay: Duration,
    /// Whether time also stops right before, at and after each latency objective.
    pub stops_around_objective: bool,
    /// Whether engines with equal states are one case. Off where the order of engines by number matters.
    pub interchangeable_engines: bool,
    /// Number of transitions after which no state is expanded; `None` to explore all.
    pub max_depth: Option<usize>,
    /// Whether it belongs to the short set.
    pub in_short_set: bool,
}

/// All outcomes that an attempt may have by itself.
pub const ALL_OUTCOMES: &[AttemptOutcome] = &[
    AttemptOutcome::Succeeded,
    AttemptOutcome::Failed,
    AttemptOutcome::Overloaded,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Unreachable,
    AttemptOutcome::Broken,
    AttemptOutcome::NotSent,
];

impl Scenario {
    /// One idempotent request at one engine, whose attempts may have any outcome; nothing else happens.
    pub const BASE: Scenario = Scenario {
        name: "base",
        description: "one idempotent request at one engine",
        setup: setup!(|fleet, classes, attempt_limits| {}),
        engines: &[engine(0, 0)],
        kinds: &[0],
        requests: &[request(0)],
        outcomes: ALL_OUTCOMES,
        progress_notes: &[],
        max_notes: 0,
        max_endpoint_changes: 0,
        max_departures: 0,
        endpoint_changes: &[],
        list_may_fail: false,
        shuts_down: false,
        load_report: None,
        wake_up_delay: Duration::ZERO,
        stops_around_objective: false,
        interchangeable_engines: true,
        max_depth: None,
        in_short_set: true,
    };

    /// The settings that the scheduler starts with.
    pub fn settings(&self) -> (Fleet, Vec<RequestClass>, AttemptLimits) {
        let (mut fleet, mut classes, mut attempt_limits) = trace::small();
        (self.setup.change)(&mut fleet, &mut classes, &mut attempt_limits);
        (fleet, classes, attempt_limits)
    }
}

/// An engine in a location and cell.
pub const fn engine(location: usize, cell: u64) -> EngineSpec {
    EngineSpec { location, cell }
}

/// A request of a class, without a key.
pub const fn request(class: usize) -> RequestSpec {
    RequestSpec { class, key: None, cost_ms: 20, memory_mb: 300.0 }
}

/// A request of a class, with a key.
pub const fn keyed_request(class: usize, key: u32) -> RequestSpec {
    RequestSpec { key: Some(KeyId(key)), ..request(class) }
}
