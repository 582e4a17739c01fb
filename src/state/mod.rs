//! The scheduler's records of requests, engines and keys. This module records events and takes no decisions.

mod endpoints;
mod engine;
mod engine_index;
mod estimates;
mod key_queue;
mod recording;
mod request;
mod resources;
mod snapshot;

pub use engine::{Engine, InFlightAttempt, ReceivedReport};
pub use engine_index::EngineIndex;
pub use estimates::ClassEstimates;
pub use key_queue::{Cooldown, KeyQueue};
pub use request::{Attempt, AttemptId, ExpectedResources, Request, RequestPhase};
pub use resources::Resources;
pub use snapshot::{EngineCondition, EngineConditions, FleetSnapshot, Gateway, Tier};

use crate::samples::SampleWindow;
use crate::{AttemptLimits, EngineId, Fleet, KeyId, RequestClass, RequestId};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

/// Capacities of the sample windows.
#[derive(Clone, Copy)]
pub struct WindowSizes {
    /// Samples of each estimate of a class, and of an engine's slowdowns.
    pub estimates: usize,
    /// Outcomes of an engine's attempts.
    pub outcomes: usize,
    /// Table groups of the latest requests that were sent to an engine.
    pub recent_table_groups: usize,
    /// Samples of the work sent to an engine.
    pub sent_work: usize,
    /// Samples of this router's share of the fleet.
    pub fleet_shares: usize,
}

/// The complete state of the scheduler.
#[derive(Clone)]
pub struct SchedulerState {
    pub fleet: Arc<Fleet>,
    pub classes: Arc<[RequestClass]>,
    pub attempt_limits: Arc<AttemptLimits>,
    pub window_sizes: WindowSizes,
    pub requests: BTreeMap<RequestId, Request>,
    pub engines: BTreeMap<EngineId, Engine>,
    /// Indexes over `engines`.
    pub engine_index: EngineIndex,
    /// Number of engines examined, added up over all inputs. Measures the cost of inputs without a clock.
    pub engines_examined: u64,
    pub key_queues: BTreeMap<KeyId, KeyQueue>,
    /// Measurements by request class.
    pub estimates: Vec<ClassEstimates>,
    /// Samples of this router's fleet share: the memory granted to its requests as a fraction of all granted memory.
    pub fleet_shares: SampleWindow,
    /// Times at which requests were accepted, within the window of the retry budget.
    pub accepted_at: VecDeque<Duration>,
    /// Times at which retries were sent, within the window of the retry budget.
    pub retried_at: VecDeque<Duration>,
    /// Time of the wake-up that was requested last.
    pub wake_due: Duration,
    /// Time of the last round of probes.
    pub probed_at: Duration,
    /// Deadline of the graceful shutdown; `Duration::MAX` before it starts.
    pub shutdown_at: Duration,
    /// Whether the scheduler is subscribed to changes of the endpoint list.
    pub is_watching_endpoints: bool,
    /// Number of the next random draw, which chooses between equally good engines. Each attempt that is sent
    /// increments it, so that the draws differ.
    pub random_draws: u64,
}

impl SchedulerState {
    /// Creates the state of a scheduler without engines and requests.
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
            fleet_shares: SampleWindow::with_capacity(window_sizes.fleet_shares),
            accepted_at: VecDeque::new(),
            retried_at: VecDeque::new(),
            wake_due: Duration::ZERO,
            probed_at: Duration::ZERO,
            shutdown_at: Duration::MAX,
            is_watching_endpoints: false,
            random_draws: 0,
        }
    }

    /// Returns the requests that wait to be sent, in the order of arrival.
    pub fn queued(&self) -> impl Iterator<Item = (RequestId, &Request)> {
        self.requests.iter().filter(|(_, request)| request.is_queued()).map(|(id, request)| (*id, request))
    }

    /// Returns the requests with an attempt in flight, in the order of arrival.
    pub fn in_flight(&self) -> impl Iterator<Item = (RequestId, &Request)> {
        self.requests.iter().filter(|(_, request)| request.is_in_flight()).map(|(id, request)| (*id, request))
    }

    /// Returns the requests with an attempt in flight at one engine, in the order in which the attempts were sent.
    pub fn in_flight_at(&self, engine: &Engine) -> impl Iterator<Item = &Request> {
        engine.in_flight.iter().map(|attempt| &self.requests[&attempt.request])
    }

    /// Returns the queue of a request's key; `None` if the request has no key or the key has no queue.
    pub fn key_queue(&self, request: &Request) -> Option<&KeyQueue> {
        request.key.and_then(|key| self.key_queues.get(&key))
    }

    /// Returns the mean of the recorded work of a class in core-seconds; 0 if none is recorded.
    pub fn usual_work(&self, class: usize) -> f64 {
        self.estimates[class].work.mean().unwrap_or(0.0)
    }

    /// Returns the priority weight of a class per core-second of its usual work; 0 if no work is recorded.
    pub fn weight_per_core_second(&self, class: usize) -> f64 {
        self.classes[class].priority_weight / self.estimates[class].work.mean().unwrap_or(f64::INFINITY)
    }

    /// Returns the priority weight per core-second of usual work for each class.
    pub fn weights_per_core_second(&self) -> impl Iterator<Item = f64> {
        (0..self.classes.len()).map(|class| self.weight_per_core_second(class))
    }

    /// Returns a pseudo-random number that depends only on the seed, the number of the draw and the engine.
    pub fn pseudo_random(&self, engine: EngineId, draw: u64) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.fleet.seed, draw, engine).hash(&mut hasher);
        hasher.finish()
    }
}
