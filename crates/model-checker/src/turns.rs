//! A world round the queues of teams: requests that come, go at their turn, end as they may, are taken back or left,
//! while time passes and the charter changes. The queues inside are the router's own.

use crate::search::Walk;
use crate::witness;
use emberflow_teams::{Allowance, Asking, Charter, Firm, Outcome, Queues, Team, Ticket};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

pub struct Turns {
    pub name: &'static str,
    pub says: &'static str,
    /// Requests by team, urgency and work in milliseconds, in the order in which they come.
    pub requests: &'static [(usize, u8, u64)],
    /// Whether the second team has a budget.
    pub budget: bool,
    pub ends: &'static [Outcome],
    /// How often what has gone may be taken back, and whether clients leave.
    pub back: u8,
    pub leaves: bool,
    /// Whether the second team may be taken off the roll, once.
    pub changes: bool,
    /// How often time may pass to what is due.
    pub passes: u8,
    pub short: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    Come,
    Go,
    End { request: usize, outcome: Outcome },
    TakeBack { request: usize },
    Leave { request: usize },
    Change,
    Pass,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stands {
    Ahead,
    Waits,
    Out,
    Over,
}

#[derive(Clone)]
pub struct Hall {
    now: Duration,
    queues: Queues,
    stands: Vec<Stands>,
    /// How often others went while a team had something waiting.
    passed_by: [u32; 2],
    /// Turns that each team has had.
    turns: [u32; 2],
    changed: bool,
    passes: u8,
    backs: u8,
    broken: Option<&'static str>,
}

/// What the queues do, and an end at which nothing can come any more.
enum Act {
    /// This request goes, or nothing does.
    Goes(Option<Ticket>),
    /// They hold so many, and so much charged by team, in seconds.
    Holds(usize, [f64; 2]),
}

pub struct Law(pub &'static str, pub &'static str, fn(&Turns, &Hall, &Act) -> bool);

pub const LAWS: [Law; 5] = [
    Law("goes once", "what goes is a request that waits", goes_again),
    Law("somebody's turn", "where something waits, something goes", stands_still),
    Law("urgent first", "of one team the most urgent goes first, but for one turn in eight", less_urgent),
    Law("nobody starves", "a team that waits is passed by at most so often", starves),
    Law("nothing lost", "what has come and is not over is held, and charged while it is out", loses),
];

/// The ground that may be gained, and one request each that is out: see the design note.
const MOST_PASSED: u32 = 6;
/// One turn of a team in so many goes to what is to be done first.
const ONE_IN: u32 = 8;

fn goes_again(_: &Turns, hall: &Hall, act: &Act) -> bool {
    matches!(act, Act::Goes(Some(request)) if hall.stands[*request as usize] != Stands::Waits)
}

fn stands_still(_: &Turns, hall: &Hall, act: &Act) -> bool {
    matches!(act, Act::Goes(None)) && hall.stands.contains(&Stands::Waits)
}

fn less_urgent(world: &Turns, hall: &Hall, act: &Act) -> bool {
    let Act::Goes(Some(request)) = act else { return false };
    let (team, urgency, _) = world.requests[*request as usize];
    let more = |at: usize| {
        let (other, more, _) = world.requests[at];
        hall.stands[at] == Stands::Waits && other == team && more > urgency
    };
    let for_all = hall.turns[team] % ONE_IN == ONE_IN - 1;
    hall.stands[*request as usize] == Stands::Waits
        && !hall.changed
        && !for_all
        && (0..world.requests.len()).any(more)
}

fn starves(world: &Turns, hall: &Hall, act: &Act) -> bool {
    let Act::Goes(Some(request)) = act else { return false };
    let other = 1 - world.requests[*request as usize].0;
    hall.passed_by[other] >= MOST_PASSED && !world.budget && hall.waits(world, other)
}

fn loses(world: &Turns, hall: &Hall, act: &Act) -> bool {
    let Act::Holds(count, charged) = act else { return false };
    let mut out = [0.0; 2];
    for (stands, (team, _, work)) in hall.stands.iter().zip(world.requests) {
        let team = if hall.changed { 0 } else { *team };
        out[team] += if *stands == Stands::Out { *work as f64 / 1e3 } else { 0.0 };
    }
    let waiting = hall.stands.iter().filter(|stands| **stands == Stands::Waits).count();
    waiting != *count || out.iter().zip(charged).any(|(out, charged)| (out - charged).abs() > 1e-6)
}

fn charter(budget: bool, teams: usize) -> Charter {
    let ms = Duration::from_millis;
    let allowance = budget.then_some(Allowance { work: ms(100), over: ms(1000), burst: ms(150) });
    let team =
        |at: usize| Team { firm: 0, share: 1.0, allowance: allowance.filter(|_| at == 1), most_waiting: 100 };
    Charter { firms: vec![Firm { share: 1.0 }], teams: (0..teams).map(team).collect() }
}

impl Hall {
    fn waits(&self, world: &Turns, team: usize) -> bool {
        let waits = |(stands, asks): (&Stands, &(usize, u8, u64))| *stands == Stands::Waits && asks.0 == team;
        self.stands.iter().zip(world.requests).any(waits)
    }

    fn judge(&mut self, world: &Turns, act: &Act) {
        let broken = LAWS.iter().find(|Law(_, _, breaks)| breaks(world, self, act));
        self.broken = self.broken.or(broken.map(|Law(name, ..)| *name));
    }

    fn near(&self, world: &Turns) {
        if witness::all_near(witness::TURNS, LAWS.len()) {
            return;
        }
        let requests = (0..self.stands.len()).map(|request| Act::Goes(Some(request as Ticket)));
        for act in requests.chain([Act::Goes(None), Act::Holds(usize::MAX, [0.0; 2])]) {
            let breaks = LAWS.iter().map(|Law(_, _, breaks)| breaks(world, self, &act));
            witness::note(witness::TURNS, breaks);
        }
    }
}

impl Walk for Turns {
    type State = Hall;
    type Move = Step;

    fn start(&self) -> Hall {
        Hall {
            now: Duration::ZERO,
            queues: Queues::new(charter(self.budget, 2), Duration::ZERO),
            stands: vec![Stands::Ahead; self.requests.len()],
            passed_by: [0; 2],
            turns: [0; 2],
            changed: false,
            passes: 0,
            backs: 0,
            broken: None,
        }
    }

    fn moves(&self, hall: &Hall, moves: &mut Vec<Step>) {
        if hall.broken.is_some() {
            return;
        }
        moves.extend(hall.stands.contains(&Stands::Ahead).then_some(Step::Come));
        moves.extend(hall.stands.contains(&Stands::Waits).then_some(Step::Go));
        for (request, stands) in hall.stands.iter().enumerate() {
            match stands {
                Stands::Out => {
                    moves.extend(self.ends.iter().map(|outcome| Step::End { request, outcome: *outcome }));
                    moves.extend((hall.backs < self.back).then_some(Step::TakeBack { request }));
                }
                Stands::Waits if self.leaves => moves.push(Step::Leave { request }),
                _ => {}
            }
        }
        moves.extend((self.changes && !hall.changed).then_some(Step::Change));
        let due = hall.queues.due().is_some() && hall.passes < self.passes;
        moves.extend(due.then_some(Step::Pass));
    }

    fn step(&self, hall: &Hall, step: &Step) -> Hall {
        let mut next = hall.clone();
        let now = next.now;
        match *step {
            Step::Come => {
                let at = next.stands.iter().position(|stands| *stands == Stands::Ahead).unwrap_or_default();
                let (team, urgency, work) = self.requests[at];
                let asking = Asking {
                    request: at as Ticket,
                    team: if next.changed { 0 } else { team },
                    urgency,
                    class: 0,
                    work: Duration::from_millis(work),
                    latency_objective: Duration::from_millis(300),
                    deadline: Duration::from_secs(3600),
                    identity: None,
                    key: None,
                };
                let taken = next.queues.arrive(now, asking).is_ok();
                next.stands[at] = if taken { Stands::Waits } else { Stands::Over };
            }
            Step::Go => {
                let turn = next.queues.turns().next();
                next.judge(self, &Act::Goes(turn));
                if let Some(request) = turn {
                    let team = self.requests[request as usize].0;
                    next.queues.let_go(now, request);
                    next.stands[request as usize] = Stands::Out;
                    next.passed_by[team] = 0;
                    next.turns[team] += 1;
                    next.passed_by[1 - team] += u32::from(next.waits(self, 1 - team));
                }
            }
            Step::End { request, outcome } => {
                next.queues.settle(now, request as Ticket, outcome);
                next.stands[request] = Stands::Over;
            }
            Step::TakeBack { request } => {
                next.backs += 1;
                next.queues.take_back(now, request as Ticket);
                next.stands[request] = Stands::Waits;
            }
            Step::Leave { request } => {
                next.queues.leave(now, request as Ticket);
                next.stands[request] = Stands::Over;
            }
            Step::Change => {
                next.changed = true;
                next.queues.change(now, charter(false, 1), &[Some(0), None]);
            }
            Step::Pass => {
                next.passes += 1;
                next.now = next.queues.due().map_or(now, |due| due.max(now));
                next.queues.pass(next.now);
            }
        }
        let charged =
            [0, 1].map(|team| if next.changed && team == 1 { 0.0 } else { next.queues.charged(team) });
        let holds = Act::Holds(next.queues.len(), charged);
        next.judge(self, &holds);
        next
    }

    fn fingerprint(&self, hall: &Hall) -> u64 {
        let mut into = DefaultHasher::new();
        hall.queues.fingerprint(hall.now, &mut into);
        (&hall.stands, hall.passed_by, hall.turns, hall.changed, hall.passes, hall.backs, hall.broken)
            .hash(&mut into);
        into.finish()
    }

    fn broken(&self, hall: &Hall, _: bool) -> Option<&'static str> {
        hall.near(self);
        hall.broken
    }
}

const BILLED: Outcome = Outcome::Billed(Duration::from_millis(250));

pub const WORLDS: &[Turns] = &[
    Turns {
        name: "two teams",
        says: "three requests of two teams, one urgent, one with a budget, every end, taken back, left, a team gone",
        requests: &[(0, 0, 100), (1, 0, 100), (1, 2, 100)],
        budget: true,
        ends: &[Outcome::Back, Outcome::Unknown, BILLED],
        back: 1,
        leaves: true,
        changes: true,
        passes: 2,
        short: true,
    },
    Turns {
        name: "a team that floods",
        says: "nine requests of one team and two of another, any of which waits while the others go",
        requests: &[
            (0, 0, 100),
            (0, 0, 100),
            (0, 3, 100),
            (1, 0, 100),
            (0, 0, 100),
            (0, 3, 100),
            (0, 3, 100),
            (0, 0, 100),
            (0, 0, 100),
            (1, 0, 100),
            (0, 3, 100),
        ],
        budget: false,
        ends: &[],
        back: 0,
        leaves: false,
        changes: false,
        passes: 3,
        short: true,
    },
];
