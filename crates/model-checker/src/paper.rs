//! A world round the discovery service's connection: a teller of the list that may be told twice, skip, spoil and split
//! what it says, break off and be dialled again, while its list changes. The reader inside is the router's own.

use crate::search::Walk;
use crate::witness;
use emberflow::EndpointUpdate;
use emberflow_router::counters::Counters;
use emberflow_router::discovery::{Discovery, EndpointRecord};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

pub struct Paper {
    pub name: &'static str,
    pub says: &'static str,
    /// Events that the list goes through, and what may be wrong with the frames, in all.
    pub events: u64,
    pub faults: u8,
    /// How often the connection may break off.
    pub breaks: u8,
    pub short: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wrong {
    /// The event before, told again.
    Twice,
    /// The event after next, without the next.
    Skips,
    /// A kind of engine that the settings do not name.
    Unknown,
    /// A length that no frame has.
    Length,
    /// A sign of life that tells of events that were not told.
    Ahead,
}

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The list changes.
    Event,
    /// The next event is told, as a change or as the whole list; `split` leaves its end for later.
    Tell {
        whole: bool,
        split: bool,
    },
    /// Nothing is new.
    Beat,
    Rest,
    Spoil {
        wrong: Wrong,
    },
    /// The connection breaks off; it is dialled again after the last event heard.
    Break,
}

#[derive(Clone)]
pub struct Desk {
    reader: Discovery,
    /// What the router holds for the list.
    held: BTreeMap<u32, bool>,
    /// The last event of the list, and the last one told on this connection.
    last: u64,
    told: u64,
    rest: Vec<u8>,
    /// The reader has objected and is to be dialled again.
    lost: bool,
    faults: u8,
    breaks: u8,
    /// What the last step was about that is wrong.
    wrong: Option<Wrong>,
    broken: Option<&'static str>,
}

/// What the reader does at a frame, and an end at which nothing can come any more.
enum Act {
    Takes { number: u64, rows: Option<(bool, Vec<(u32, bool)>)> },
    Objects,
    Rests,
}

pub struct Law(pub &'static str, pub &'static str, fn(&Desk, &Act) -> bool);

pub const LAWS: [Law; 4] = [
    Law("the list as told", "what is held after an event is the list as it was at that event", holds_another),
    Law("no event twice", "an event that was taken is not taken again", takes_again),
    Law("objects to faults only", "a reader that objects was told what can't be", objects_falsely),
    Law("up to date", "at rest the list held is the list as it is", is_behind),
];

/// The list after so many events: two engines, of which one more is gone or back with each.
fn list(event: u64) -> BTreeMap<u32, bool> {
    (0..2).map(|id| (id, ((event + u64::from(id)) / 2).is_multiple_of(2))).collect()
}

/// The engine that an event changes.
fn changed(event: u64) -> u32 {
    (0..2).find(|id| list(event - 1)[id] != list(event)[id]).unwrap_or_default()
}

fn holds_another(desk: &Desk, act: &Act) -> bool {
    let Act::Takes { number, rows: Some((whole, rows)) } = act else { return false };
    let mut held = if *whole { BTreeMap::new() } else { desk.held.clone() };
    held.extend(rows.iter().copied());
    held != list(*number)
}

fn takes_again(desk: &Desk, act: &Act) -> bool {
    matches!(act, Act::Takes { number, rows: Some(_) } if *number <= desk.taken())
}

fn objects_falsely(desk: &Desk, act: &Act) -> bool {
    matches!(act, Act::Objects) && !desk.wrong.is_some_and(|wrong| wrong != Wrong::Twice)
}

fn is_behind(desk: &Desk, act: &Act) -> bool {
    matches!(act, Act::Rests) && (desk.held != list(desk.last) || desk.taken() != desk.last)
}

fn frame(number: u64, kind: u8, rows: &[(u32, bool)], engine_kind: u8) -> Vec<u8> {
    let record = |(id, ready): &(u32, bool)| {
        let mut bytes = [&id.to_be_bytes()[..], &[127, 0, 0, 1, 0, 9]].concat();
        bytes.extend([u8::from(!ready), 0, engine_kind]);
        bytes.extend([0; 14]);
        bytes
    };
    let rows: Vec<u8> = rows.iter().flat_map(record).collect();
    let length = 9 + rows.len() as u32;
    [&length.to_be_bytes()[..], &number.to_be_bytes(), &[kind], &rows].concat()
}

impl Desk {
    fn taken(&self) -> u64 {
        self.reader.last_event
    }

    fn judge(&mut self, act: &Act) {
        let broken = LAWS.iter().find(|Law(_, _, breaks)| breaks(self, act));
        self.broken = self.broken.or(broken.map(|Law(name, ..)| *name));
    }

    fn near(&self) {
        if witness::all_near(witness::PAPER, LAWS.len()) {
            return;
        }
        let empty = |number| Act::Takes { number, rows: Some((true, Vec::new())) };
        let right = |number| Act::Takes { number, rows: Some((true, list(number).into_iter().collect())) };
        let acts = [empty(self.taken() + 1), right(self.taken()), Act::Objects, Act::Rests];
        for act in acts {
            witness::note(witness::PAPER, LAWS.iter().map(|Law(_, _, breaks)| breaks(self, &act)));
        }
    }

    /// Brings bytes, and holds what the reader makes of them against the laws.
    fn bring(&mut self, bytes: &[u8]) {
        self.reader.input.push(bytes);
        loop {
            // What it believes before it has read is what the laws compare with.
            let mut ahead = self.reader.clone();
            match ahead.next_frame(&mut Counters::default()) {
                Ok(None) => return,
                Ok(Some(frame)) => {
                    let plain = |endpoint: &EndpointRecord| (endpoint.id, endpoint.is_ready());
                    let rows = frame.event.map(|event| {
                        let rows: Vec<_> = event.endpoints.iter().map(plain).collect();
                        (event.update == EndpointUpdate::FullList, rows)
                    });
                    self.judge(&Act::Takes { number: frame.number, rows: rows.clone() });
                    if let Some((whole, rows)) = rows {
                        if whole {
                            self.held.clear();
                        }
                        self.held.extend(rows);
                    }
                    self.reader = ahead;
                }
                Err(_) => {
                    self.judge(&Act::Objects);
                    (self.lost, self.rest) = (true, Vec::new());
                    return;
                }
            }
        }
    }
}

impl Walk for Paper {
    type State = Desk;
    type Move = Step;

    fn start(&self) -> Desk {
        Desk {
            reader: Discovery::resume_after(0, 1, 1),
            held: list(0),
            last: 0,
            told: 0,
            rest: Vec::new(),
            lost: false,
            faults: 0,
            breaks: 0,
            wrong: None,
            broken: None,
        }
    }

    fn moves(&self, desk: &Desk, moves: &mut Vec<Step>) {
        if desk.broken.is_some() {
            return;
        }
        moves.extend((desk.last < self.events).then_some(Step::Event));
        if desk.lost {
            return moves.push(Step::Break);
        }
        moves.extend((desk.breaks < self.breaks).then_some(Step::Break));
        if !desk.rest.is_empty() {
            return moves.push(Step::Rest);
        }
        if desk.told < desk.last {
            let ways = [(false, false), (false, true), (true, false), (true, true)];
            moves.extend(ways.map(|(whole, split)| Step::Tell { whole, split }));
            moves.push(Step::Beat);
        }
        if desk.faults < self.faults {
            let wrongs = [Wrong::Unknown, Wrong::Length, Wrong::Ahead];
            moves.extend(wrongs.map(|wrong| Step::Spoil { wrong }));
            moves.extend((desk.told > 0).then_some(Step::Spoil { wrong: Wrong::Twice }));
            moves.extend((desk.told + 2 <= desk.last).then_some(Step::Spoil { wrong: Wrong::Skips }));
        }
    }

    fn step(&self, desk: &Desk, step: &Step) -> Desk {
        let mut next = desk.clone();
        next.wrong = None;
        let change = |event: u64| [(changed(event), list(event)[&changed(event)])];
        match *step {
            Step::Event => next.last += 1,
            Step::Tell { whole, split } => {
                // The whole list tells the last event, a change the next.
                next.told = if whole { next.last } else { next.told + 1 };
                let rows: Vec<_> =
                    if whole { list(next.told).into_iter().collect() } else { change(next.told).into() };
                let mut bytes = frame(next.told, if whole { 1 } else { 2 }, &rows, 0);
                if split {
                    next.rest = bytes.split_off(bytes.len() / 2);
                }
                next.bring(&bytes);
            }
            Step::Rest => {
                let rest = std::mem::take(&mut next.rest);
                next.bring(&rest);
            }
            Step::Beat => next.bring(&frame(next.told, 0, &[], 0)),
            Step::Spoil { wrong } => {
                next.faults += 1;
                next.wrong = Some(wrong);
                let (told, after) = (next.told, next.told + 1);
                let bytes = match wrong {
                    Wrong::Twice => frame(told, 2, &change(told), 0),
                    Wrong::Skips => frame(told + 2, 2, &change(told + 2), 0),
                    Wrong::Unknown => frame(after, 1, &[(0, true)], 1),
                    Wrong::Length => vec![0, 0, 0, 8, 0],
                    Wrong::Ahead => frame(after, 0, &[], 0),
                };
                next.bring(&bytes);
            }
            Step::Break => {
                next.breaks += u8::from(!next.lost);
                (next.lost, next.reader) = (false, next.reader.for_new_connection());
                (next.told, next.rest) = (next.reader.last_event, Vec::new());
            }
        }
        next
    }

    fn fingerprint(&self, desk: &Desk) -> u64 {
        let mut into = DefaultHasher::new();
        (desk.reader.input.len(), desk.reader.last_event, &desk.held, desk.last, desk.told).hash(&mut into);
        (&desk.rest, desk.lost, desk.faults, desk.breaks, desk.broken).hash(&mut into);
        into.finish()
    }

    fn broken(&self, desk: &Desk, _: bool) -> Option<&'static str> {
        desk.near();
        // Where all is told it may rest, whatever may yet come.
        let told = !desk.lost && desk.rest.is_empty() && desk.told == desk.last;
        let rests = LAWS.iter().find(|Law(_, _, breaks)| told && breaks(desk, &Act::Rests));
        desk.broken.or(rests.map(|Law(name, ..)| *name))
    }
}

pub const WORLDS: &[Paper] = &[
    Paper {
        name: "the discovery service",
        says: "a list of three events, told as changes or whole, in pieces, twice wrong, broken off twice",
        events: 3,
        faults: 2,
        breaks: 2,
        short: true,
    },
    Paper {
        name: "the discovery service, longer",
        says: "a list of six events, three times wrong, broken off three times",
        events: 6,
        faults: 3,
        breaks: 3,
        short: false,
    },
];
