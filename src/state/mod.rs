//! What the scheduler remembers of requests, engines and keys; it decides nothing.

mod engine;
mod engine_index;
mod estimates;
mod key_queue;
mod recording;
mod request;
mod resources;
mod snapshot;

pub use engine::{Engine, InFlight, ReceivedReport};
pub use engine_index::EngineIndex;
pub use estimates::ClassEstimates;
pub use key_queue::{Cooldown, KeyQueue};
pub use request::{Attempt, AttemptId, Request, RequestPhase};
pub use resources::Resources;
pub use snapshot::{EngineView, EngineViews, FleetSnapshot, Gateway, Tier};

use crate::samples::SampleWindow;
use crate::{AttemptLimits, EngineId, Fleet, KeyId, RequestClass, RequestId};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

/// How many samples each kind of window keeps.
#[derive(Clone, Copy)]
pub struct WindowSizes {
    /// Of each estimate and of an engine's slowdowns.
    pub estimates: usize,
    /// Of an engine's failures, and the groups that it has read.
    pub outcomes: usize,
    /// Of the work sent to an engine.
    pub sent_work: usize,
    /// Of this router's share.
    pub shares: usize,
}

/// All that the scheduler knows.
#[derive(Clone)]
pub struct SchedulerState {
    pub fleet: Arc<Fleet>,
    pub classes: Arc<[RequestClass]>,
    pub attempt_limits: Arc<AttemptLimits>,
    pub window_sizes: WindowSizes,
    pub requests: BTreeMap<RequestId, Request>,
    pub engines: BTreeMap<EngineId, Engine>,
    /// Follows from `engines`.
    pub engine_index: EngineIndex,
    /// Engines that were looked at so far, for the cost of an input in counted work.
    pub engines_examined: u64,
    pub key_queues: BTreeMap<KeyId, KeyQueue>,
    /// By request class.
    pub estimates: Vec<ClassEstimates>,
    /// This router's part of the memory that engines reported as granted.
    pub shares: SampleWindow,
    /// When requests were accepted and retries were sent, as far back as the retry budget counts.
    pub accepted_at: VecDeque<Duration>,
    pub retried_at: VecDeque<Duration>,
    /// The wake-up that was requested last.
    pub wake_due: Duration,
    pub probed_at: Duration,
    pub shutdown_at: Duration,
    /// Whether the changes of the endpoint list were requested.
    pub watching: bool,
    /// Draws of chance so far.
    pub draws: u64,
}

impl SchedulerState {
    /// The state of a scheduler that knows of no engine and no request.
    pub fn new(
        fleet: Fleet,
        classes: Vec<RequestClass>,
        attempt_limits: AttemptLimits,
        window_sizes: WindowSizes,
    ) -> Self {
        Self {
            estimates: classes.iter().map(|_| ClassEstimates::new(window_sizes.estimates)).collect(),
            fleet: fleet.into(),
            classes: classes.into(),
            attempt_limits: attempt_limits.into(),
            window_sizes,
            requests: BTreeMap::new(),
            engines: BTreeMap::new(),
            engine_index: EngineIndex::default(),
            engines_examined: 0,
            key_queues: BTreeMap::new(),
            shares: SampleWindow::with_capacity(window_sizes.shares),
            accepted_at: VecDeque::new(),
            retried_at: VecDeque::new(),
            wake_due: Duration::ZERO,
            probed_at: Duration::ZERO,
            shutdown_at: Duration::MAX,
            watching: false,
            draws: 0,
        }
    }

    /// Requests that wait to be sent, in the order of arrival.
    pub fn queued(&self) -> impl Iterator<Item = (RequestId, &Request)> {
        self.requests.iter().filter(|(_, request)| request.is_queued()).map(|(id, request)| (*id, request))
    }

    /// Requests with an attempt in flight, in the order of arrival.
    pub fn in_flight(&self) -> impl Iterator<Item = (RequestId, &Request)> {
        self.requests.iter().filter(|(_, request)| request.is_in_flight()).map(|(id, request)| (*id, request))
    }

    /// Requests with an attempt in flight at one engine, in the order of sending.
    pub fn in_flight_at(&self, engine: &Engine) -> impl Iterator<Item = &Request> {
        engine.in_flight.iter().map(|attempt| &self.requests[&attempt.request])
    }

    /// The queue of a request's key.
    pub fn key_queue(&self, request: &Request) -> Option<&KeyQueue> {
        request.key.and_then(|key| self.key_queues.get(&key))
    }

    /// Usual work of a class in seconds.
    pub fn usual_work(&self, class: usize) -> f64 {
        self.estimates[class].work.mean().unwrap_or(0.0)
    }

    /// Priority weight of a class for a second of its usual work.
    pub fn weight_per_second(&self, class: usize) -> f64 {
        self.classes[class].priority_weight / self.estimates[class].work.mean().unwrap_or(f64::INFINITY)
    }

    /// The same of each class.
    pub fn weights_per_second(&self) -> impl Iterator<Item = f64> {
        (0..self.classes.len()).map(|class| self.weight_per_second(class))
    }

    /// Chance: a number that follows from seed, draw and engine.
    pub fn chance(&self, engine: EngineId, draw: u64) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.fleet.seed, draw, engine).hash(&mut hasher);
        hasher.finish()
    }
}
