//! The record of a run: the events that clients and engines have seen of each request, by which the run is checked.
//! All times count from the start of the run.

use crate::classes::RequestClass;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// The kind of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum AnswerKind {
    /// A result that an engine made for this request.
    Succeeded,
    /// A result that no engine made for this request.
    WrongResult,
    /// The router has rejected the request.
    Rejected,
    /// The request has failed.
    Failed,
}

/// An answer as its client read it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Answer {
    pub at: Duration,
    pub kind: AnswerKind,
}

/// An attempt as its engine read it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Attempt {
    /// When the last byte of the call arrived at the engine.
    pub at: Duration,
    pub engine: usize,
    /// How long the router waits for the reply, as it says in the call.
    pub time_left: Duration,
    /// Whether the engine began to run the attempt.
    pub started: bool,
    /// When the engine sent the final reply or read the cancellation.
    pub ended_at: Option<Duration>,
}

/// Why a request's client no longer waits for the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Departure {
    /// The client has cancelled the request.
    Cancelled,
    /// The client has closed the connection.
    ConnectionClosed,
}

/// The history of one request.
#[derive(Clone, Debug, Serialize)]
pub struct RequestRecord {
    pub class: RequestClass,
    pub router: usize,
    /// When the client wrote the last byte of the request.
    pub sent_at: Duration,
    /// How long the client waits for the answer.
    pub deadline: Duration,
    /// When and why the client stopped waiting.
    pub departure: Option<(Duration, Departure)>,
    pub answers: Vec<Answer>,
    pub attempts: Vec<Attempt>,
    /// When the client read the end of the connection.
    pub connection_ended_at: Option<Duration>,
}

impl RequestRecord {
    /// Returns the record of a request that is sent now and has no events yet.
    pub fn sent(class: RequestClass, router: usize, now: Duration) -> Self {
        Self {
            class,
            router,
            sent_at: now,
            deadline: class.profile().deadline,
            departure: None,
            answers: Vec::new(),
            attempts: Vec::new(),
            connection_ended_at: None,
        }
    }

    /// Returns the time at which the client's deadline passes.
    pub fn due_at(&self) -> Duration {
        self.sent_at + self.deadline
    }
}

/// A start of an engine, which begins its slow start.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct EngineStart {
    pub engine: usize,
    pub started_at: Duration,
    /// When discovery listed the engine as ready.
    pub listed_at: Duration,
}

/// A period in which an engine is draining.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Drain {
    pub engine: usize,
    /// When discovery listed the engine as draining.
    pub listed_at: Duration,
    /// When the watch event counts as delivered to all routers.
    pub delivered_at: Duration,
    /// When discovery listed the engine as ready again.
    pub ended_at: Option<Duration>,
}

/// A period in which a router's process was killed, stopped or not ready.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Outage {
    pub router: usize,
    pub from: Duration,
    pub until: Duration,
    pub kind: OutageKind,
}

/// The cause of an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum OutageKind {
    /// SIGKILL at `from` without a SIGTERM before it; the protocol frees the router of its open requests.
    Killed,
    /// SIGTERM at `from`, SIGKILL at `until`.
    Terminated,
    /// SIGSTOP at `from`, SIGCONT at `until`.
    Stopped,
    /// The process ended without a signal from the soak.
    Crashed,
    /// The router was not ready in time after its start.
    NotReady,
}

/// The highest resource usage of a router's process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Usage {
    pub memory_kb: u64,
    pub descriptors: usize,
    pub cpu: Duration,
}

impl Usage {
    /// Raises each figure to that of `other` where that is higher.
    pub fn raise_to(&mut self, other: &Self) {
        self.memory_kb = self.memory_kb.max(other.memory_kb);
        self.descriptors = self.descriptors.max(other.descriptors);
        self.cpu = self.cpu.max(other.cpu);
    }
}

/// A period in which the emulation did not serve its sockets.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    pub from: Duration,
    pub until: Duration,
}

impl Stall {
    fn length(&self) -> Duration {
        self.until - self.from
    }
}

/// All events of a run.
#[derive(Default)]
pub struct Records {
    /// The requests by their ids.
    pub requests: BTreeMap<String, RequestRecord>,
    pub engine_starts: Vec<EngineStart>,
    pub drains: Vec<Drain>,
    pub outages: Vec<Outage>,
    /// Usage by router.
    pub usage: Vec<Usage>,
    /// Connections that engines accepted.
    pub engine_connections: u64,
    /// Bytes of lists and changes that discovery sent to all routers.
    pub list_bytes: u64,
    /// Answers without a request that is open on their connection, and lines that are not JSON.
    pub unexpected_answers: u64,
    pub stalls: Vec<Stall>,
}

impl Records {
    /// Returns the longest stall of the emulation.
    pub fn longest_stall(&self) -> Duration {
        self.stalls.iter().map(Stall::length).max().unwrap_or_default()
    }

    /// Returns the sum of all stalls that overlap a period.
    pub fn stalled_within(&self, from: Duration, until: Duration) -> Duration {
        let overlapping = self.stalls.iter().filter(|stall| stall.from <= until && stall.until >= from);
        overlapping.map(Stall::length).sum()
    }

    /// Returns the fraction of requests that succeeded in time, among those whose clients kept waiting.
    pub fn fraction_served(&self) -> f64 {
        let mut count = 0;
        let mut served = 0;
        for request in self.requests.values().filter(|request| request.departure.is_none()) {
            let is_in_time =
                |answer: &Answer| answer.kind == AnswerKind::Succeeded && answer.at <= request.due_at();
            count += 1;
            served += usize::from(request.answers.first().is_some_and(is_in_time));
        }
        served as f64 / f64::from(count.max(1))
    }
}
