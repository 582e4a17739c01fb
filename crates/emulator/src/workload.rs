//! The workload of an emulated client: its requests and the times at which they are sent, drawn from a seed.

use rand::rngs::StdRng;
use rand_distr::{Distribution, Exp, LogNormal};
use std::collections::VecDeque;
use std::time::Duration;

/// Standard deviation of the natural logarithm of the work, and of the memory, of requests.
const LOG_DEVIATION: f64 = 0.5;

/// A kind of request that a client sends at random times.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    /// The request class, as the router's settings name it.
    pub class: &'static str,
    /// Mean number of requests per second.
    pub rate: f64,
    /// Median of the work, in milliseconds of one core.
    pub work_ms: f64,
    /// Median of the memory with which a request runs at full speed, in MB.
    pub memory_mb: f64,
    /// The urgency, from 0 (ordinary) to 3.
    pub urgency: u8,
    /// How long the client waits for an answer, from the first sending of the request.
    pub deadline: Duration,
}

/// A request and the time at which the client sends it.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledRequest {
    /// Time from the start of the client to the sending of the request.
    pub at: Duration,
    pub profile: RequestProfile,
    pub work_ms: f64,
    pub memory_mb: f64,
}

/// Draws the requests of all profiles for `duration`; returns them in the order in which they are sent.
pub fn schedule(
    profiles: &[RequestProfile],
    duration: Duration,
    rng: &mut StdRng,
) -> VecDeque<ScheduledRequest> {
    let spread = LogNormal::new(0.0, LOG_DEVIATION).expect("the deviation is finite");
    let mut scheduled = Vec::new();
    for profile in profiles {
        let interval = Exp::new(profile.rate).expect("the rate of a profile is above 0");
        let mut at_s = interval.sample(rng);
        while at_s < duration.as_secs_f64() {
            let work_ms = profile.work_ms * spread.sample(rng);
            let memory_mb = profile.memory_mb * spread.sample(rng);
            let at = Duration::from_secs_f64(at_s);
            scheduled.push(ScheduledRequest { at, profile: *profile, work_ms, memory_mb });
            at_s += interval.sample(rng);
        }
    }
    scheduled.sort_by_key(|request| request.at);
    scheduled.into()
}
