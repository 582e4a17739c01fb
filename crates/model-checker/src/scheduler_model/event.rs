//! The scheduler's actions, as its environment observes them.

use emberflow::{Actions, EngineId, RequestId, SendLimits};
use std::time::Duration;

/// Maximum number of events after one input; only a scheduler in an endless loop exceeds it.
const MAX_EVENTS_PER_INPUT: usize = 1000;

/// An action of the scheduler, an answer to a client, the passing of time, or the end of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The scheduler sends an attempt to an engine, within limits.
    Send { request: RequestId, engine: EngineId, limits: SendLimits },
    /// The scheduler sets the memory grant, in MB, of a request's next attempt.
    Grant { request: RequestId, grant_mb: f64 },
    /// The scheduler cancels an attempt, which is counted from 0 within its request.
    Cancel { request: RequestId, attempt: usize },
    /// The scheduler answers a request with a rejection: its client may safely retry, after `retry_after` if it is given.
    Reject { request: RequestId, retry_after: Option<Duration> },
    /// The scheduler answers a request with a failure; the request may have run.
    Fail { request: RequestId },
    /// The scheduler requests a wake-up after `wait`.
    WakeAfter { wait: Duration },
    /// The scheduler subscribes to changes of the endpoint list.
    Watch,
    /// The scheduler requests a load report from an engine.
    Probe { engine: EngineId },
    /// The scheduler releases the id of a removed engine.
    Forget { engine: EngineId },
    /// The environment passes a result to the client.
    Serve { request: RequestId },
    /// The clock advances to `to`.
    TimePasses { to: Duration },
    /// The run ends, because no transition is enabled.
    Terminal,
}

/// The scheduler's actions after one input, in order.
#[derive(Default)]
pub struct EventLog(pub Vec<Event>);

impl EventLog {
    /// Appends an event. Panics beyond [`MAX_EVENTS_PER_INPUT`], because the scheduler is then in an endless loop.
    fn push(&mut self, event: Event) {
        assert!(
            self.0.len() < MAX_EVENTS_PER_INPUT,
            "the scheduler took more than {MAX_EVENTS_PER_INPUT} actions after one input; the next one is {event:?}"
        );
        self.0.push(event);
    }
}

impl Actions for EventLog {
    fn send(&mut self, request: RequestId, engine: EngineId, limits: SendLimits) {
        self.push(Event::Send { request, engine, limits });
    }
    fn set_grant_and_priority(&mut self, request: RequestId, grant_mb: f64, _: u8) {
        self.push(Event::Grant { request, grant_mb });
    }
    fn cancel(&mut self, request: RequestId, attempt: usize) {
        self.push(Event::Cancel { request, attempt });
    }
    fn reject(&mut self, request: RequestId, retry_after: Option<Duration>) {
        self.push(Event::Reject { request, retry_after });
    }
    fn fail(&mut self, request: RequestId) {
        self.push(Event::Fail { request });
    }
    fn probe(&mut self, engine: EngineId) {
        self.push(Event::Probe { engine });
    }
    fn wake_after(&mut self, wait: Duration) {
        self.push(Event::WakeAfter { wait });
    }
    fn watch_endpoints(&mut self) {
        self.push(Event::Watch);
    }
    fn forget(&mut self, engine: EngineId) {
        self.push(Event::Forget { engine });
    }
}
