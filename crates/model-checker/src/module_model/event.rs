//! The scheduler's actions, as its environment observes them.

use emberflow::{Actions, EngineId, RequestId};
use std::time::Duration;

/// Largest number of events after one input.
const MAX_EVENTS_PER_INPUT: usize = 1000;

/// An action of the scheduler, an answer to a client, the passing of time, or the end of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// An attempt is sent to an engine.
    Send { request: RequestId, engine: EngineId, times_out_at: Duration },
    /// The memory grant of the attempt that is sent next.
    Grant { request: RequestId, grant_mb: f64 },
    /// An attempt is cancelled.
    Cancel { request: RequestId, attempt: usize },
    /// A request is rejected, so that its client may retry.
    Reject { request: RequestId },
    /// A request fails.
    Fail { request: RequestId },
    /// The scheduler requests a wake-up after `wait`.
    WakeAfter { wait: Duration },
    /// The scheduler requests the endpoint list.
    Watch,
    /// The scheduler sends a health check to an engine.
    Probe { engine: EngineId },
    /// The scheduler releases an engine's number.
    Forget { engine: EngineId },
    /// The environment passes a result to the client.
    Serve { request: RequestId },
    /// Time passes until `to`.
    TimePasses { to: Duration },
    /// No transition is enabled.
    Terminal,
}

/// The events after one input, in order.
#[derive(Default)]
pub struct EventLog(pub Vec<Event>);

impl EventLog {
    /// Appends an event. Panics beyond [`MAX_EVENTS_PER_INPUT`], because the scheduler then processes the input forever.
    fn push(&mut self, event: Event) {
        assert!(
            self.0.len() < MAX_EVENTS_PER_INPUT,
            "more than {MAX_EVENTS_PER_INPUT} events after one input: {event:?}"
        );
        self.0.push(event);
    }
}

impl Actions for EventLog {
    fn send(&mut self, request: RequestId, engine: EngineId, times_out_at: Duration) {
        self.push(Event::Send { request, engine, times_out_at });
    }
    fn set_grant_and_priority(&mut self, request: RequestId, grant_mb: f64, _: u8) {
        self.push(Event::Grant { request, grant_mb });
    }
    fn cancel(&mut self, request: RequestId, attempt: usize) {
        self.push(Event::Cancel { request, attempt });
    }
    fn reject(&mut self, request: RequestId, _: Option<Duration>) {
        self.push(Event::Reject { request });
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
