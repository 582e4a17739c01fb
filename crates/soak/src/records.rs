//! What clients and engines saw of each request: the facts that a run is judged by.

use crate::config::profile;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// A request class of the soak's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Short, and may run any number of times.
    Lookup,
    /// Long, and may run any number of times.
    Report,
    /// Must not run twice.
    Post,
    /// May run again under its key, anywhere.
    Load,
}

impl Class {
    /// All classes, in the order of the settings.
    pub const ALL: [Self; 4] = [Self::Lookup, Self::Report, Self::Post, Self::Load];

    /// The method that clients call.
    pub fn name(self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Report => "report",
            Self::Post => "post",
            Self::Load => "load",
        }
    }
}

/// What an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum AnswerKind {
    /// A result that an engine made for this request.
    Succeeded,
    /// A result that no engine made for it.
    WrongResult,
    Rejected,
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
    pub at: Duration,
    pub engine: usize,
    /// How long the router says that it will wait.
    pub budget: Duration,
    /// Whether the engine began to run it.
    pub started: bool,
    /// When the engine wrote its end or was notified that it is given up.
    pub ended_at: Option<Duration>,
}

/// Why a request's client no longer waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Departure {
    Withdrew,
    Closed,
}

/// One request and all that was seen of it.
#[derive(Clone, Debug, Serialize)]
pub struct RequestRecord {
    pub class: Class,
    pub router: usize,
    /// When its last byte was written.
    pub sent_at: Duration,
    pub deadline: Duration,
    pub departure: Option<(Duration, Departure)>,
    pub answers: Vec<Answer>,
    pub attempts: Vec<Attempt>,
    /// When its client saw the end of the connection.
    pub connection_ended_at: Option<Duration>,
}

impl RequestRecord {
    /// A request that is sent now, of which nothing was seen yet.
    pub fn sent(class: Class, router: usize, now: Duration) -> Self {
        Self {
            class,
            router,
            sent_at: now,
            deadline: profile(class).deadline,
            departure: None,
            answers: Vec::new(),
            attempts: Vec::new(),
            connection_ended_at: None,
        }
    }
}

/// A cold engine: what it may take, and since when.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ColdStart {
    pub engine: usize,
    pub at: Duration,
    /// When the service listed it.
    pub listed_at: Duration,
}

/// An engine that takes nothing new any more.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Drain {
    pub engine: usize,
    pub listed_at: Duration,
    /// When that counts as delivered to all routers.
    pub delivered_at: Duration,
    /// When it was listed as ready again.
    pub until: Option<Duration>,
}

/// A span in which a router's process was killed, stopped, or not ready.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Outage {
    pub router: usize,
    pub from: Duration,
    pub until: Duration,
    pub kind: OutageKind,
}

/// What happened to a router's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum OutageKind {
    /// Killed at `from`; what it held is lost by the protocol.
    Killed,
    /// Notified to end at `from`, gone at `until`.
    Ended,
    /// Stopped by a signal from `from` to `until`.
    Stopped,
    /// It ended by itself.
    Crashed,
    /// Not ready within the time that it has.
    NotReady,
}

/// The most that a router's process was seen to use.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Usage {
    pub memory_kb: u64,
    pub descriptors: usize,
    pub cpu: Duration,
}

/// All facts of a run.
#[derive(Default)]
pub struct Records {
    pub requests: BTreeMap<String, RequestRecord>,
    pub cold_starts: Vec<ColdStart>,
    pub drains: Vec<Drain>,
    pub outages: Vec<Outage>,
    /// By router.
    pub usage: Vec<Usage>,
    /// Connections that engines accepted.
    pub engine_connections: u64,
    /// Bytes of lists and changes that discovery sent to all routers.
    pub list_bytes: u64,
    /// Answers to requests that no client has sent on that connection.
    pub stray_answers: u64,
    /// Spans in which the emulation itself did not look at its sockets.
    pub stalls: Vec<(Duration, Duration)>,
}

impl Records {
    /// The longest span in which the emulation did not look at its sockets.
    pub fn longest_stall(&self) -> Duration {
        self.stalls.iter().map(|(from, until)| *until - *from).max().unwrap_or_default()
    }

    /// For how long in all it did not look within a span.
    pub fn stalled_within(&self, from: Duration, until: Duration) -> Duration {
        let overlapping = self.stalls.iter().filter(|(begin, end)| *begin <= until && *end >= from);
        overlapping.map(|(begin, end)| *end - *begin).sum()
    }

    /// Parts of the requests whose clients stayed that succeeded in time.
    pub fn served(&self) -> f64 {
        let waited = self.requests.values().filter(|request| request.departure.is_none());
        let (mut count, mut served) = (0, 0);
        for request in waited {
            count += 1;
            let is_in_time = |answer: &Answer| {
                answer.kind == AnswerKind::Succeeded && answer.at <= request.sent_at + request.deadline
            };
            served += usize::from(request.answers.first().is_some_and(is_in_time));
        }
        served as f64 / f64::from(count.max(1))
    }
}
