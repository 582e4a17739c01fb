//! What an emulated client sends, and when: the same for the same seed.

use rand::rngs::StdRng;
use rand_distr::{Distribution, Exp, LogNormal};
use std::collections::VecDeque;
use std::time::Duration;

/// The spread of work and memory about their medians, as the standard deviation of their logarithm.
const LOG_DEVIATION: f64 = 0.5;

/// One kind of request that a client sends, at random times.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    /// The request class, as the router's settings name it.
    pub class: &'static str,
    /// Requests a second.
    pub rate: f64,
    /// The median work, in milliseconds of one core.
    pub work_ms: f64,
    /// The median of the memory that a request needs to run at full speed, in MB.
    pub memory_mb: f64,
    /// 0 for ordinary requests, up to 3.
    pub urgency: u8,
    /// The time within which the client wants an answer, in milliseconds.
    pub deadline_ms: u64,
}

/// A request that is to be sent at a time.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledRequest {
    /// From the start of the client.
    pub at: Duration,
    pub profile: RequestProfile,
    pub work_ms: f64,
    pub memory_mb: f64,
}

/// Draws all requests of some profiles for a duration, in the order in which they are sent.
pub fn schedule(
    profiles: &[RequestProfile],
    duration: Duration,
    random: &mut StdRng,
) -> VecDeque<ScheduledRequest> {
    let spread = LogNormal::new(0.0, LOG_DEVIATION).expect("a finite deviation");
    let mut scheduled = Vec::new();
    for profile in profiles {
        let gap = Exp::new(profile.rate).expect("a rate above 0");
        let mut at = gap.sample(random);
        while at < duration.as_secs_f64() {
            let work_ms = profile.work_ms * spread.sample(random);
            let memory_mb = profile.memory_mb * spread.sample(random);
            let at_duration = Duration::from_secs_f64(at);
            scheduled.push(ScheduledRequest { at: at_duration, profile: *profile, work_ms, memory_mb });
            at += gap.sample(random);
        }
    }
    scheduled.sort_by_key(|request| request.at);
    scheduled.into()
}
