//! What the scheduler does, as its environment observes it.

use emberflow::{Actions, EngineId, RequestId};
use std::time::Duration;

/// No input may lead to more events than this.
const MAX_EVENTS_PER_INPUT: usize = 1000;

/// An action of the scheduler, or one of three things that happen around it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// An attempt is sent to an engine, with the time at which it times out.
    Send { request: RequestId, engine: EngineId, until: Duration },
    /// The terms of the attempt that is sent next: its memory grant.
    Terms { request: RequestId, grant_mb: f64 },
    /// An attempt is cancelled.
    Cancel { request: RequestId, attempt: usize },
    /// A request is rejected, so that its client may retry.
    Reject { request: RequestId },
    /// A request fails.
    Fail { request: RequestId },
    /// The scheduler asks to be woken after so long.
    WakeAfter { wait: Duration },
    /// The scheduler asks for the endpoint list.
    Watch,
    /// An engine is probed.
    Probe { engine: EngineId },
    /// An engine's number may be reused.
    Forget { engine: EngineId },
    /// The environment passes a result on to the client.
    Serve { request: RequestId },
    /// Time passes until then.
    TimePasses { to: Duration },
    /// No transition is enabled any more.
    Terminal,
}

/// The events of one input, in order.
#[derive(Default)]
pub struct EventLog(pub Vec<Event>);

impl EventLog {
    /// Appends an event; panics at an input that the scheduler never comes to an end with.
    fn push(&mut self, event: Event) {
        assert!(self.0.len() < MAX_EVENTS_PER_INPUT, "an input without end: {event:?}");
        self.0.push(event);
    }
}

impl Actions for EventLog {
    fn send(&mut self, request: RequestId, engine: EngineId, until: Duration) {
        self.push(Event::Send { request, engine, until });
    }
    fn set_terms(&mut self, request: RequestId, grant_mb: f64, _: u8) {
        self.push(Event::Terms { request, grant_mb });
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
    fn watch(&mut self) {
        self.push(Event::Watch);
    }
    fn forget(&mut self, engine: EngineId) {
        self.push(Event::Forget { engine });
    }
}
