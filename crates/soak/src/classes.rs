//! The request classes of the soak, with their work, objectives and deadlines.

use serde::Serialize;
use std::time::Duration;

/// A request class of the soak's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestClass {
    /// Short and idempotent.
    Lookup,
    /// Long and idempotent.
    Report,
    /// Non-idempotent: a request must not run twice.
    Post,
    /// Idempotent by an idempotency key, which is valid on any engine.
    Load,
}

/// The traffic, work and time limits of a request class.
pub struct ClassProfile {
    /// The class's fraction of all requests.
    pub traffic_share: f64,
    /// Work of each request, as time on one core.
    pub work: Duration,
    /// The latency objective in the routers' settings.
    pub latency_objective: Duration,
    /// How long clients wait for an answer, from the sending of the request.
    pub deadline: Duration,
}

const LOOKUP: ClassProfile = ClassProfile {
    traffic_share: 0.6,
    work: Duration::from_millis(20),
    latency_objective: Duration::from_millis(300),
    deadline: Duration::from_millis(1200),
};
const REPORT: ClassProfile = ClassProfile {
    traffic_share: 0.15,
    work: Duration::from_millis(250),
    latency_objective: Duration::from_millis(1200),
    deadline: Duration::from_millis(2500),
};
const POST: ClassProfile = ClassProfile {
    traffic_share: 0.15,
    work: Duration::from_millis(60),
    latency_objective: Duration::from_millis(600),
    deadline: Duration::from_millis(2000),
};
const LOAD: ClassProfile = ClassProfile {
    traffic_share: 0.1,
    work: Duration::from_millis(80),
    latency_objective: Duration::from_millis(800),
    deadline: Duration::from_millis(2000),
};

impl RequestClass {
    /// All classes, in the order of the routers' settings.
    pub const ALL: [Self; 4] = [Self::Lookup, Self::Report, Self::Post, Self::Load];

    /// Returns the name of the class, which is the JSON-RPC method of its requests.
    pub fn name(self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Report => "report",
            Self::Post => "post",
            Self::Load => "load",
        }
    }

    /// Returns the traffic, work and time limits of the class.
    pub fn profile(self) -> &'static ClassProfile {
        match self {
            Self::Lookup => &LOOKUP,
            Self::Report => &REPORT,
            Self::Post => &POST,
            Self::Load => &LOAD,
        }
    }
}

/// Returns the longest deadline of any class.
pub fn longest_deadline() -> Duration {
    RequestClass::ALL.into_iter().map(|class| class.profile().deadline).max().unwrap_or_default()
}

/// Returns the mean work of a request over all classes, as time on one core.
pub fn mean_work() -> Duration {
    let weighted_work = |class: RequestClass| class.profile().work.mul_f64(class.profile().traffic_share);
    RequestClass::ALL.into_iter().map(weighted_work).sum()
}
