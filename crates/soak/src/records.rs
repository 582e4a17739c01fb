//! The records of a run: the events of each request as clients and engines have observed them. The invariants are checked
//! against them. All times count from the start of the run.

use crate::classes::RequestClass;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// The kind of an answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum AnswerKind {
    /// A result that an engine returned for this request.
    Succeeded,
    /// A result that no engine returned for this request.
    WrongResult,
    /// The router has rejected the request.
    Rejected,
    /// The request has failed.
    Failed,
}

/// An answer, as the client received it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Answer {
    pub at: Duration,
    pub kind: AnswerKind,
}

/// An attempt, as the engine received it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Attempt {
    /// When the last byte of the call arrived at the engine.
    pub at: Duration,
    /// Index of the engine.
    pub engine: usize,
    /// How long the router waits for the reply, according to the call.
    pub time_left: Duration,
    /// Whether the engine started to run the attempt.
    pub started: bool,
    /// Number of pages of the result that the engine made; 0 until the attempt has succeeded.
    pub pages: u32,
    /// When the engine finished, refused or cancelled the attempt, or when its connection was closed.
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
    /// Index of the router.
    pub router: usize,
    /// When the client wrote the last byte of the request.
    pub sent_at: Duration,
    /// How long the client waits for the answer, from `sent_at`.
    pub deadline: Duration,
    /// When and why the client stopped waiting.
    pub departure: Option<(Duration, Departure)>,
    pub answers: Vec<Answer>,
    pub attempts: Vec<Attempt>,
    /// When the client found that the router had closed the connection.
    pub connection_ended_at: Option<Duration>,
}

impl RequestRecord {
    /// Returns the record of a request that is sent now.
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

    /// Returns when the client's deadline passes.
    pub fn due_at(&self) -> Duration {
        self.sent_at + self.deadline
    }
}

/// A restart of an engine, with which its slow start begins.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct EngineStart {
    /// Index of the engine.
    pub engine: usize,
    pub started_at: Duration,
    /// When discovery listed the engine as ready.
    pub listed_at: Duration,
}

/// A period in which an engine is draining.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Drain {
    /// Index of the engine.
    pub engine: usize,
    /// When discovery listed the engine as draining.
    pub listed_at: Duration,
    /// When the discovery event is assumed to have reached all routers.
    pub delivered_at: Duration,
    /// When discovery listed the engine as ready again.
    pub ended_at: Option<Duration>,
}

/// A period in which a router's process was killed, stopped or not ready.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Outage {
    /// Index of the router.
    pub router: usize,
    pub from: Duration,
    pub until: Duration,
    pub kind: OutageKind,
}

/// The cause of an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum OutageKind {
    /// SIGKILL at `from` without a SIGTERM before it. The protocol allows the router to lose its open requests.
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

/// The highest resource usage that was sampled of a router's processes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Usage {
    /// Peak resident memory, in kB.
    pub memory_kb: u64,
    /// Number of open file descriptors.
    pub descriptors: usize,
    /// Processor time of one process, in user and kernel mode.
    pub cpu: Duration,
}

impl Usage {
    /// Raises each value to that of `other` if that one is higher.
    pub fn raise_to(&mut self, other: &Self) {
        self.memory_kb = self.memory_kb.max(other.memory_kb);
        self.descriptors = self.descriptors.max(other.descriptors);
        self.cpu = self.cpu.max(other.cpu);
    }
}

/// A period in which the event loop of the emulation was late, so that sockets were not served.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    pub from: Duration,
    pub until: Duration,
}

impl Stall {
    fn duration(&self) -> Duration {
        self.until - self.from
    }
}

/// All events of a run.
#[derive(Default)]
pub struct Records {
    /// The requests by request id.
    pub requests: BTreeMap<String, RequestRecord>,
    pub engine_starts: Vec<EngineStart>,
    pub drains: Vec<Drain>,
    pub outages: Vec<Outage>,
    /// Usage by index of the router.
    pub usage: Vec<Usage>,
    /// Number of connections that engines accepted.
    pub engine_connections: u64,
    /// Number of bytes of complete lists and changes that discovery sent to all routers.
    pub list_bytes: u64,
    /// Number of answers to a request that was never sent or is already answered, and of lines that are not JSON.
    pub unexpected_answers: u64,
    pub stalls: Vec<Stall>,
}

impl Records {
    /// Returns the duration of the longest stall; zero if there was none.
    pub fn longest_stall(&self) -> Duration {
        self.stalls.iter().map(Stall::duration).max().unwrap_or_default()
    }

    /// Returns the summed duration of all stalls that overlap a period, including their parts outside the period.
    pub fn stalled_within(&self, from: Duration, until: Duration) -> Duration {
        let overlapping = self.stalls.iter().filter(|stall| stall.from <= until && stall.until >= from);
        overlapping.map(Stall::duration).sum()
    }

    /// Returns the fraction of requests that succeeded before their deadline. Requests whose clients departed are not
    /// counted; 0 if there are no others.
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
