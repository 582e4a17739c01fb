//! emberflow: the front for query engines with limited memory, as a library without I/O, clock or JSON.
//!
//! A caller builds one [`Scheduler`] from the [`Fleet`], the [`RequestClass`]s and the [`AttemptLimits`] it was started
//! with, and reports everything that happens by a method call that takes the time and an [`Actions`]. The
//! router answers through that outlet before the call returns, and keeps the requests and engines itself.
//!
//! Times are spans since the caller's start. Requests, engines and keys are small indices that the caller gives
//! out: request indices rise in the order of arrival and are never used again.

mod fingerprint;
mod logic;
mod samples;
mod state;

pub use fingerprint::{Fingerprint, HeldCounts};
pub use logic::{Capacity, Scheduler};
use std::time::Duration;

pub type RequestId = u32;
pub type EngineId = usize;
pub type KeyId = u32;

/// What the router says; every call takes effect at the time of the input being answered.
pub trait Actions {
    /// Sends the request's next attempt; it is abandoned at `until`.
    fn send(&mut self, request: RequestId, engine: EngineId, until: Duration);
    /// Names the grant of the request's next attempt and the priority of all its attempts.
    fn terms(&mut self, request: RequestId, grant_mb: f64, priority: u8);
    /// Stops waiting for one attempt.
    fn cancel(&mut self, request: RequestId, attempt: usize);
    /// Final answer: not done, a retry is harmless.
    fn reject(&mut self, request: RequestId, retry_after: Option<Duration>);
    /// Final answer: not done, nothing promised.
    fn fail(&mut self, request: RequestId);
    /// Asks an engine for its load, where that is allowed.
    fn probe(&mut self, engine: EngineId);
    /// Asks for a [`Scheduler::wake`] after `wait`.
    fn wake_after(&mut self, wait: Duration);
    /// Asks for the changes of the engine list from now on.
    fn watch(&mut self);
    /// An engine that is gone and that nothing is owed for any more: its number is free.
    fn forget(&mut self, engine: EngineId);
}

/// The engines' side of what is told at start.
pub struct Fleet {
    pub seed: u64,
    pub routers: usize,
    pub home_location: usize,
    pub kinds: Vec<EngineKind>,
    pub max_grant_share: f64,
    pub honors_priorities: bool,
    /// Whether an attempt gets what is left where memory is short.
    pub shrinks_grants: bool,
    pub progress_interval: Option<Duration>,
    /// Whether engines tell their load only when they are probed.
    pub reports_only_on_probe: bool,
    pub polls_endpoint_list: bool,
    pub tick: Duration,
}

pub struct EngineKind {
    pub cores: f64,
    pub memory_mb: f64,
}

pub struct RequestClass {
    pub latency_objective: Duration,
    pub objective_stretch: f64,
    pub deadline: Duration,
    pub priority_weight: f64,
    pub late_share: f64,
    pub effect: Effect,
    pub keeps_order: bool,
    pub kinds: Option<Vec<usize>>,
    pub locations: Option<Vec<usize>>,
    pub threads: f64,
    pub holds_group: bool,
    pub waits_for_loads: bool,
}

pub enum Effect {
    Idempotent,
    IdempotentWithKey { scope: Scope, window: Duration },
    NonIdempotent,
}

/// The engines that drop each other's repeats of a keyed request.
#[derive(PartialEq)]
pub enum Scope {
    All,
    Location,
    Cell,
}

/// What the seven rules ask for; an absent figure leaves its rule idle.
pub struct AttemptLimits {
    pub max_attempts: usize,
    pub may_cancel: bool,
    pub may_probe: bool,
    pub start_capacity: f64,
    pub warm_up: Duration,
    pub overload_factor: f64,
    pub overload_window: Duration,
    pub key_cooldown: Option<Duration>,
    pub retry_budget: Option<RetryBudget>,
    pub max_retry_after: Option<Duration>,
}

pub struct RetryBudget {
    pub spare: f64,
    pub per_request: f64,
    pub over: Duration,
}

/// One line of the engine list.
pub struct Endpoint {
    pub engine: EngineId,
    pub location: usize,
    pub kind: usize,
    pub cell: u64,
    pub ready: bool,
    /// It will not come back under this number once it is forgotten.
    pub gone: bool,
    pub launched: Option<Duration>,
}

/// A request as it arrives; what is not told is absent.
#[derive(Clone)]
pub struct Arrival {
    pub request: RequestId,
    pub class: usize,
    pub key: Option<KeyId>,
    pub cost: Option<Duration>,
    pub memory_mb: Option<f64>,
    /// From when it came, which may be a while before it is accepted.
    pub deadline: Duration,
    pub waited: Duration,
    /// Whether the client tried before, where clients tell.
    pub is_retry: Option<bool>,
    pub group: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    Succeeded,
    Failed,
    Overloaded,
    TimedOut,
    Unreachable,
    Broken,
    Withdrawn,
    Void,
}

/// The outcome of an attempt; `over` where the request ended with it or before.
#[derive(Clone)]
pub struct AttemptEnded {
    pub request: RequestId,
    pub attempt: usize,
    pub engine: EngineId,
    pub end: AttemptOutcome,
    pub took: Duration,
    pub usage: Option<Usage>,
    pub load_report: Option<LoadReport>,
    pub over: bool,
}

/// The load an engine reports about itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    pub busy: Option<f64>,
    /// Requests that it holds, and of these those that wait for memory.
    pub in_flight: Option<f64>,
    pub waiting: Option<f64>,
    pub memory: Option<f64>,
    pub disks: Option<f64>,
}

/// What a finished attempt is billed.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    pub cost: Duration,
    pub memory_mb: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressNote {
    /// It is not over; nothing more is told.
    Runs,
    Done(f64),
    Spills(f64),
    WaitsForMemory,
    WaitsForLoad,
}
