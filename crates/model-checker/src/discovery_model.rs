//! The reader of the discovery service's connection: a sender that may repeat, skip, corrupt and split its frames, lose
//! the connection and be dialled again, while its endpoint list changes.
//!
//! The reader inside is the router's own.

use crate::invariants::{Invariant, ObservedModel, first_violated, record_exercised};
use crate::search::Model;
use crate::witness;
use emberflow::EndpointUpdate;
use emberflow_router::counters::Counters;
use emberflow_router::discovery::{Discovery, EndpointEvent, Frame};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// How many engines the endpoint list has.
const ENGINES: u32 = 2;
/// The kind of a frame that says that nothing is new.
const HEARTBEAT: u8 = 0;
/// The kind of a frame with the whole list.
const SNAPSHOT: u8 = 1;
/// The kind of a frame with the rows that an event changes.
const CHANGE: u8 = 2;
/// The engine kind that the settings name.
const KNOWN_KIND: u8 = 0;
/// An engine kind that the settings do not name.
const UNKNOWN_KIND: u8 = 1;
/// Bytes of a frame's number and kind, which its length counts beside the rows.
const FRAME_HEADER_BYTES: u32 = 9;
/// Address and port of every row.
const ADDRESS: [u8; 6] = [127, 0, 0, 1, 0, 9];
/// Bytes of a row after the engine's kind, which are zero here: its cell, its start and its location.
const ROW_TAIL_BYTES: usize = 14;

/// A scenario: how the list changes, and what may go wrong on the connection.
pub struct DiscoveryScenario {
    /// The name by which the command line and tests know it.
    pub name: &'static str,
    /// What happens in it, in a sentence.
    pub description: &'static str,
    /// How many events the list goes through.
    pub list_changes: u64,
    /// How many frames may be wrong.
    pub max_faults: u8,
    /// How often the connection may be lost.
    pub max_disconnects: u8,
    /// Whether it belongs to the short set.
    pub in_short_set: bool,
}

/// What may be wrong with a frame.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FrameFault {
    /// The last event is sent again.
    Duplicate,
    /// An event is left out.
    Gap,
    /// A row has a kind of engine that the settings do not name.
    UnknownKind,
    /// The length is one that no frame has.
    BadLength,
    /// A heartbeat counts an event that was not sent.
    HeartbeatAhead,
}

/// One thing that the discovery service does.
#[derive(Clone, Copy, Debug)]
pub enum Transition {
    /// The list changes.
    ChangeList,
    /// The next event is sent, as a change or as the whole list; if it is split, its second half comes later.
    SendEvent { snapshot: bool, split: bool },
    /// Nothing is new.
    Heartbeat,
    /// The second half of a frame is sent.
    SendRest,
    /// A wrong frame is sent.
    SendFault { fault: FrameFault },
    /// The connection is lost, and dialled again after the last event that was accepted.
    Reconnect,
}

/// The list by engine: whether it is ready.
type EndpointList = BTreeMap<u32, bool>;

/// The rows of an accepted event.
pub struct AcceptedRows {
    /// Whether they are the whole list.
    is_snapshot: bool,
    /// Each engine, and whether it is ready.
    rows: Vec<(u32, bool)>,
}

/// What the reader does at a frame, or the time at which everything was sent.
pub enum Event {
    /// It accepts a frame; `rows` is `None` where nothing is new.
    Accepts { number: u64, rows: Option<AcceptedRows> },
    /// It rejects what it has read.
    Rejects,
    /// Everything was sent, so that the router is up to date.
    AllSent,
}

/// The reader and its environment.
#[derive(Clone)]
pub struct DiscoveryState {
    /// The system under test.
    reader: Discovery,
    /// The list that the router has.
    received: EndpointList,
    /// The last event of the list.
    last: u64,
    /// The last event sent on this connection.
    sent: u64,
    /// The second half of a frame.
    unsent_rest: Vec<u8>,
    /// Whether the reader has rejected a frame, so that it must be dialled again.
    must_reconnect: bool,
    faults: u8,
    disconnects: u8,
    /// What is wrong with the frame that was sent last.
    frame_fault: Option<FrameFault>,
    violated: Option<&'static str>,
}

const INVARIANTS: &[Invariant<DiscoveryScenario>] = &[
    Invariant {
        name: "list as sent",
        description: "the list after an event is the sender's list at that event",
        is_violated: has_another_list,
    },
    Invariant {
        name: "no event twice",
        description: "an event that was accepted is not accepted again",
        is_violated: accepts_again,
    },
    Invariant {
        name: "rejects faults only",
        description: "a reader that rejects a frame was sent one that is impossible",
        is_violated: rejects_valid_frame,
    },
    Invariant {
        name: "up to date",
        description: "when everything was sent, the reader's list is the sender's",
        is_violated: is_behind,
    },
];

/// The list after so many events. Each event makes one engine ready, or not ready any more.
fn endpoint_list(event: u64) -> EndpointList {
    (0..ENGINES).map(|id| (id, ((event + u64::from(id)) / 2).is_multiple_of(2))).collect()
}

/// The row that an event changes.
fn changed_row(event: u64) -> (u32, bool) {
    let (before, after) = (endpoint_list(event - 1), endpoint_list(event));
    let changed = after.iter().find(|(id, ready)| before[id] != **ready);
    changed.or(after.first_key_value()).map(|(id, ready)| (*id, *ready)).expect("the list has engines")
}

fn has_another_list(_: &DiscoveryScenario, state: &DiscoveryState, event: &Event) -> bool {
    let Event::Accepts { number, rows: Some(accepted) } = event else { return false };
    let mut list = if accepted.is_snapshot { EndpointList::new() } else { state.received.clone() };
    list.extend(accepted.rows.iter().copied());
    list != endpoint_list(*number)
}

fn accepts_again(_: &DiscoveryScenario, state: &DiscoveryState, event: &Event) -> bool {
    matches!(event, Event::Accepts { number, rows: Some(_) } if *number <= state.last_accepted())
}

fn rejects_valid_frame(_: &DiscoveryScenario, state: &DiscoveryState, event: &Event) -> bool {
    let is_valid = matches!(state.frame_fault, None | Some(FrameFault::Duplicate));
    matches!(event, Event::Rejects) && is_valid
}

fn is_behind(_: &DiscoveryScenario, state: &DiscoveryState, event: &Event) -> bool {
    let is_current = state.received == endpoint_list(state.last) && state.last_accepted() == state.last;
    matches!(event, Event::AllSent) && !is_current
}

fn frame(number: u64, kind: u8, rows: &[(u32, bool)], engine_kind: u8) -> Vec<u8> {
    let mut row_bytes = Vec::new();
    for (id, ready) in rows {
        row_bytes.extend(id.to_be_bytes());
        row_bytes.extend(ADDRESS);
        row_bytes.extend([u8::from(!ready), 0, engine_kind]);
        row_bytes.extend([0; ROW_TAIL_BYTES]);
    }
    let length = FRAME_HEADER_BYTES + row_bytes.len() as u32;
    [&length.to_be_bytes()[..], &number.to_be_bytes(), &[kind], &row_bytes].concat()
}

fn change_frame(number: u64) -> Vec<u8> {
    frame(number, CHANGE, &[changed_row(number)], KNOWN_KIND)
}

fn snapshot_frame(number: u64) -> Vec<u8> {
    let rows: Vec<_> = endpoint_list(number).into_iter().collect();
    frame(number, SNAPSHOT, &rows, KNOWN_KIND)
}

fn heartbeat_frame(number: u64) -> Vec<u8> {
    frame(number, HEARTBEAT, &[], KNOWN_KIND)
}

/// A wrong frame after the event that was sent last.
fn faulty_frame(sent: u64, fault: FrameFault) -> Vec<u8> {
    match fault {
        FrameFault::Duplicate => change_frame(sent),
        FrameFault::Gap => change_frame(sent + 2),
        FrameFault::UnknownKind => frame(sent + 1, SNAPSHOT, &[(0, true)], UNKNOWN_KIND),
        FrameFault::BadLength => vec![0, 0, 0, 8, 0],
        FrameFault::HeartbeatAhead => heartbeat_frame(sent + 1),
    }
}

impl DiscoveryState {
    fn last_accepted(&self) -> u64 {
        self.reader.last_event
    }

    fn check(&mut self, scenario: &DiscoveryScenario, event: &Event) {
        self.violated = self.violated.or_else(|| first_violated(scenario, self, event));
    }

    /// Events that a faulty reader could emit in this state.
    fn hypothetical_events(&self) -> Vec<Event> {
        let snapshot =
            |number, rows| Event::Accepts { number, rows: Some(AcceptedRows { is_snapshot: true, rows }) };
        let accepted = self.last_accepted();
        let rows = endpoint_list(accepted).into_iter().collect();
        vec![snapshot(accepted + 1, Vec::new()), snapshot(accepted, rows), Event::Rejects, Event::AllSent]
    }

    /// Delivers bytes to the reader, and checks what it makes of them.
    fn deliver(&mut self, scenario: &DiscoveryScenario, bytes: &[u8]) {
        self.reader.input.push(bytes);
        loop {
            // The invariants compare with what the reader had before this frame.
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

    fn accept(&mut self, scenario: &DiscoveryScenario, Frame { number, event }: Frame) {
        let accepted = event.map(|EndpointEvent { update, endpoints }| AcceptedRows {
            is_snapshot: update == EndpointUpdate::FullList,
            rows: endpoints.iter().map(|endpoint| (endpoint.id, endpoint.is_ready())).collect(),
        });
        let event = Event::Accepts { number, rows: accepted };
        self.check(scenario, &event);
        let Event::Accepts { rows: Some(accepted), .. } = event else { return };
        if accepted.is_snapshot {
            self.received.clear();
        }
        self.received.extend(accepted.rows);
    }

    fn send_event(&mut self, scenario: &DiscoveryScenario, snapshot: bool, split: bool) {
        // A snapshot has the last event, a change the next one.
        self.sent = if snapshot { self.last } else { self.sent + 1 };
        let mut bytes = if snapshot { snapshot_frame(self.sent) } else { change_frame(self.sent) };
        if split {
            self.unsent_rest = bytes.split_off(bytes.len() / 2);
        }
        self.deliver(scenario, &bytes);
    }

    fn reconnect(&mut self) {
        self.disconnects += u8::from(!self.must_reconnect);
        self.must_reconnect = false;
        self.reader = self.reader.for_new_connection();
        self.sent = self.reader.last_event;
        self.unsent_rest.clear();
    }
}

impl Model for DiscoveryScenario {
    type State = DiscoveryState;
    type Transition = Transition;

    fn initial_state(&self) -> DiscoveryState {
        DiscoveryState {
            reader: Discovery::resume_after(0, 1, 1),
            received: endpoint_list(0),
            last: 0,
            sent: 0,
            unsent_rest: Vec::new(),
            must_reconnect: false,
            faults: 0,
            disconnects: 0,
            frame_fault: None,
            violated: None,
        }
    }

    fn transitions(&self, state: &DiscoveryState, transitions: &mut Vec<Transition>) {
        if state.violated.is_some() {
            return;
        }
        transitions.extend((state.last < self.list_changes).then_some(Transition::ChangeList));
        if state.must_reconnect {
            transitions.push(Transition::Reconnect);
            return;
        }
        transitions.extend((state.disconnects < self.max_disconnects).then_some(Transition::Reconnect));
        if !state.unsent_rest.is_empty() {
            transitions.push(Transition::SendRest);
            return;
        }
        if state.sent < state.last {
            for (snapshot, split) in [(false, false), (false, true), (true, false), (true, true)] {
                transitions.push(Transition::SendEvent { snapshot, split });
            }
            transitions.push(Transition::Heartbeat);
        }
        if state.faults < self.max_faults {
            let mut faults = vec![FrameFault::UnknownKind, FrameFault::BadLength, FrameFault::HeartbeatAhead];
            faults.extend((state.sent > 0).then_some(FrameFault::Duplicate));
            faults.extend((state.sent + 2 <= state.last).then_some(FrameFault::Gap));
            transitions.extend(faults.into_iter().map(|fault| Transition::SendFault { fault }));
        }
    }

    fn apply(&self, state: &DiscoveryState, transition: &Transition) -> DiscoveryState {
        let mut next = state.clone();
        next.frame_fault = None;
        match *transition {
            Transition::ChangeList => next.last += 1,
            Transition::SendEvent { snapshot, split } => next.send_event(self, snapshot, split),
            Transition::SendRest => {
                let rest = std::mem::take(&mut next.unsent_rest);
                next.deliver(self, &rest);
            }
            Transition::Heartbeat => next.deliver(self, &heartbeat_frame(state.sent)),
            Transition::SendFault { fault } => {
                next.faults += 1;
                next.frame_fault = Some(fault);
                next.deliver(self, &faulty_frame(state.sent, fault));
            }
            Transition::Reconnect => next.reconnect(),
        }
        next
    }

    fn fingerprint(&self, state: &DiscoveryState) -> u64 {
        let mut hasher = DefaultHasher::new();
        (state.reader.input.len(), state.reader.last_event, &state.received).hash(&mut hasher);
        (state.last, state.sent, &state.unsent_rest, state.must_reconnect).hash(&mut hasher);
        (state.faults, state.disconnects, state.violated).hash(&mut hasher);
        hasher.finish()
    }

    fn violated(&self, state: &DiscoveryState, _: bool) -> Option<&'static str> {
        record_exercised(self, state, || state.hypothetical_events());
        let all_sent = !state.must_reconnect && state.unsent_rest.is_empty() && state.sent == state.last;
        let when_sent = || first_violated(self, state, &Event::AllSent);
        state.violated.or_else(|| all_sent.then(when_sent).flatten())
    }
}

impl ObservedModel for DiscoveryScenario {
    type Event = Event;
    const INVARIANTS: &'static [Invariant<Self>] = INVARIANTS;
    const FIRST_WITNESS_BIT: usize = witness::DISCOVERY;
}

/// All scenarios of the discovery model.
pub const SCENARIOS: &[DiscoveryScenario] = &[
    DiscoveryScenario {
        name: "the discovery service",
        description: "a list of three events, sent as changes or snapshots, in pieces, two faults, two lost connections",
        list_changes: 3,
        max_faults: 2,
        max_disconnects: 2,
        in_short_set: true,
    },
    DiscoveryScenario {
        name: "the discovery service, longer",
        description: "a list of six events, three faults, three lost connections",
        list_changes: 6,
        max_faults: 3,
        max_disconnects: 3,
        in_short_set: false,
    },
];
