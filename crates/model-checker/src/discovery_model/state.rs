//! The state of the discovery model: the reader, the list that it has received, and the service's side.

use super::scenario::DiscoveryScenario;
use super::service::{EndpointList, FrameFault, KIND_COUNT, change_frame, endpoint_list, snapshot_frame};
use crate::invariants::first_violated;
use emberflow::EndpointUpdate;
use emberflow_router::counters::Counters;
use emberflow_router::discovery::{Discovery, EndpointEvent, Frame};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of locations in the settings.
const LOCATION_COUNT: usize = 1;

/// The endpoints in an event that the reader has accepted.
pub struct AcceptedEndpoints {
    /// Whether the endpoints are the complete list and not changes to it.
    pub is_snapshot: bool,
    /// Pairs of an engine id and whether the engine is ready.
    pub endpoints: Vec<(u32, bool)>,
}

/// The reader's reaction to its input, or the end of the events to send.
pub enum Event {
    /// The reader accepts a frame; `accepted` is `None` for a heartbeat.
    Accepts { number: u64, accepted: Option<AcceptedEndpoints> },
    /// The reader rejects its input.
    Rejects,
    /// All events were sent on the current connection, so that the reader must be up to date.
    AllSent,
}

/// The reader and its environment.
#[derive(Clone)]
pub struct DiscoveryState {
    /// The system under test.
    reader: Discovery,
    /// The list that results from the accepted events.
    pub received: EndpointList,
    /// The number of the last event of the service's list; 0 before the first event.
    pub last_event: u64,
    /// The number of the last event that was sent on this connection, or after which the service has resumed.
    pub sent_event: u64,
    /// The second part of a frame whose first part was sent; empty if there is none.
    pub unsent_rest: Vec<u8>,
    /// Whether the reader has rejected a frame, after which the router must reconnect.
    pub must_reconnect: bool,
    /// Number of faulty frames that the service has sent.
    pub faults: u8,
    /// Number of lost connections. A connection that the router closes because of a faulty frame is not counted.
    pub disconnects: u8,
    /// The fault of the frame that the latest transition has sent; `None` if it has sent no faulty frame.
    pub frame_fault: Option<FrameFault>,
    /// The name of the first violated invariant; `None` if all hold.
    pub violated_invariant: Option<&'static str>,
}

impl DiscoveryState {
    /// Returns the initial state, in which the reader has the initial list and no event was sent.
    pub fn initial() -> Self {
        Self {
            reader: Discovery::resume_after(0, KIND_COUNT, LOCATION_COUNT),
            received: endpoint_list(0),
            last_event: 0,
            sent_event: 0,
            unsent_rest: Vec::new(),
            must_reconnect: false,
            faults: 0,
            disconnects: 0,
            frame_fault: None,
            violated_invariant: None,
        }
    }

    /// Returns the number of the last event that the reader has accepted.
    pub fn last_accepted(&self) -> u64 {
        self.reader.last_event
    }

    /// Whether all events were sent completely on a connection that is still in use.
    pub fn is_all_sent(&self) -> bool {
        !self.must_reconnect && self.unsent_rest.is_empty() && self.sent_event == self.last_event
    }

    fn check(&mut self, scenario: &DiscoveryScenario, event: &Event) {
        self.violated_invariant = self.violated_invariant.or_else(|| first_violated(scenario, self, event));
    }

    /// Returns events that a faulty reader could emit in this state, to find the invariants that the state exercises.
    pub fn hypothetical_events(&self) -> Vec<Event> {
        let snapshot = |number, endpoints| Event::Accepts {
            number,
            accepted: Some(AcceptedEndpoints { is_snapshot: true, endpoints }),
        };
        let accepted = self.last_accepted();
        let endpoints = endpoint_list(accepted).into_iter().collect();
        vec![
            snapshot(accepted + 1, Vec::new()),
            snapshot(accepted, endpoints),
            Event::Rejects,
            Event::AllSent,
        ]
    }

    /// Delivers bytes to the reader, and checks its reaction to each complete frame.
    pub fn deliver(&mut self, scenario: &DiscoveryScenario, bytes: &[u8]) {
        self.reader.input.push(bytes);
        loop {
            // The invariants compare the event with the state of the reader before this frame.
            let mut reader = self.reader.clone();
            match reader.next_frame(&mut Counters::default()) {
                Ok(None) => return,
                Ok(Some(frame)) => {
                    self.accept(scenario, frame);
                    self.reader = reader;
                }
                Err(_) => {
                    self.check(scenario, &Event::Rejects);
                    self.must_reconnect = true;
                    self.unsent_rest.clear();
                    return;
                }
            }
        }
    }

    fn accept(&mut self, scenario: &DiscoveryScenario, Frame { event_number: number, event }: Frame) {
        let content = event.map(|EndpointEvent { update, endpoints }| AcceptedEndpoints {
            is_snapshot: update == EndpointUpdate::FullList,
            endpoints: endpoints.iter().map(|endpoint| (endpoint.id, endpoint.is_ready())).collect(),
        });
        let accept = Event::Accepts { number, accepted: content };
        self.check(scenario, &accept);
        let Event::Accepts { accepted: Some(accepted), .. } = accept else { return };
        if accepted.is_snapshot {
            self.received.clear();
        }
        self.received.extend(accepted.endpoints);
    }

    /// Sends an event: as the complete list after the last event, or as the change of the next event. If `split`,
    /// only the first half of the frame is sent now.
    pub fn send_event(&mut self, scenario: &DiscoveryScenario, snapshot: bool, split: bool) {
        self.sent_event = if snapshot { self.last_event } else { self.sent_event + 1 };
        let mut bytes =
            if snapshot { snapshot_frame(self.sent_event) } else { change_frame(self.sent_event) };
        if split {
            self.unsent_rest = bytes.split_off(bytes.len() / 2);
        }
        self.deliver(scenario, &bytes);
    }

    /// Sends the second part of a frame.
    pub fn send_rest(&mut self, scenario: &DiscoveryScenario) {
        let rest = std::mem::take(&mut self.unsent_rest);
        self.deliver(scenario, &rest);
    }

    /// Replaces the connection; the service resumes after the last accepted event.
    pub fn reconnect(&mut self) {
        self.disconnects += u8::from(!self.must_reconnect);
        self.must_reconnect = false;
        self.reader = self.reader.for_new_connection();
        self.sent_event = self.reader.last_event;
        self.unsent_rest.clear();
    }

    /// Returns a hash of everything that influences later transitions and violations.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.reader.input.len(), self.reader.last_event, &self.received).hash(&mut hasher);
        (self.last_event, self.sent_event, &self.unsent_rest, self.must_reconnect).hash(&mut hasher);
        (self.faults, self.disconnects, self.violated_invariant).hash(&mut hasher);
        hasher.finish()
    }
}
