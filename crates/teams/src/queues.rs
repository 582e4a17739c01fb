//! The queues of all teams: who waits, whose turn is next, what was charged, and how long a wait will be.

use crate::budget::Budget;
use crate::charter::{Charter, Team};
use crate::order::{Band, Order};
use crate::waits::{Pace, Wait};
use indexmap::IndexMap;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// A request's number, as its owner counts.
pub type Ticket = u32;

/// Urgency beyond this says no more.
pub const MOST_URGENT: u8 = 3;
/// Ground that a request may gain by urgency and age together, in requests like it: what its team may be ahead by.
const MOST_GROUND: u32 = 4;
/// One turn in so many of a team goes to what has waited longest for its latency_objective, however urgent the rest.
const PASSED_BY: u32 = 8;
/// Requests that are tried before it is left at that.
const TRIED: usize = 32;
/// Requests that are remembered after their end, so that a repeat is charged as the same one.
const REMEMBERED: usize = 4096;

/// A request that wants a turn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Asking {
    pub request: Ticket,
    /// By the charter.
    pub team: usize,
    /// 0 for ordinary work.
    pub urgency: u8,
    pub class: u16,
    /// Expected, as one core's time.
    pub work: Duration,
    /// It gains ground once for each target time that it has waited.
    pub latency_objective: Duration,
    /// From its arrival; what can't be run within is turned away at once.
    pub deadline: Duration,
    /// The same for a request and its repeats.
    pub identity: Option<u64>,
    /// Requests of one key go in the order in which they came, whatever their teams.
    pub key: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The team has as many waiting as it may.
    Full,
    /// Its deadline would end first.
    Hopeless,
}

/// Turned away; such a request would be taken in `retry_after`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    pub reason: Reason,
    pub retry_after: Duration,
}

/// What came of a request that was let go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It came to so much work.
    Billed(Duration),
    /// It may have run, and nobody knows how long.
    Unknown,
    /// It never ran, was cancelled or rejected: nothing is charged.
    Back,
}

type Lane = (Reverse<u8>, u16);
/// By arrival; the second tells apart what came at the same time.
type Turn = (Duration, u64);

/// What is kept of a request; there may be very many.
#[derive(Clone, Debug)]
struct Waiting {
    turn: Turn,
    latency_objective: Duration,
    work: Duration,
    identity: Option<u64>,
    /// The wait in seconds that was reckoned when it came.
    reckoned: Option<f32>,
    team: u32,
    class: u16,
    urgency: u8,
}

impl Waiting {
    fn team(&self) -> usize {
        self.team as usize
    }

    fn lane(&self) -> Lane {
        (Reverse(self.urgency), self.class)
    }
}

#[derive(Clone, Debug, Default)]
struct Line {
    lanes: BTreeMap<Lane, BTreeMap<Turn, Ticket>>,
    count: usize,
    /// Work that waits, by urgency.
    work: [Duration; MOST_URGENT as usize + 1],
    budget: Option<Budget>,
    /// When its place is to be looked at again.
    due: Option<Duration>,
    /// Charged for what is out, in seconds.
    out: f64,
    /// Requests that are out.
    going: usize,
    /// Requests that were let go.
    turns: u32,
    /// Among the teams of its firm.
    place: usize,
    /// The ground of its next request, in seconds.
    gained: f64,
}

#[derive(Clone, Debug)]
struct Out {
    waiting: Waiting,
    charged: f64,
}

#[derive(Clone, Debug)]
pub struct Queues {
    charter: Charter,
    firms: Order,
    /// The order of each firm's teams, and which those are.
    teams: Vec<Order>,
    roll: Vec<Vec<usize>>,
    lines: Vec<Line>,
    waiting: IndexMap<Ticket, Waiting>,
    out: IndexMap<Ticket, Out>,
    /// Seconds charged by identity, and identities by age.
    known: HashMap<u64, f64>,
    ages: VecDeque<u64>,
    /// Keys of waiting requests, and what waits of each key.
    keyed: HashMap<Ticket, u64>,
    keys: HashMap<u64, BTreeMap<Turn, Ticket>>,
    due: BTreeSet<(Duration, usize)>,
    pace: Pace,
    turns: u64,
    /// Work that waits, by firm.
    backlog: Vec<Duration>,
    /// Teams of each firm that have something waiting.
    busy: Vec<BTreeSet<usize>>,
}

impl Queues {
    /// Full budgets, and nothing waits. The charter makes sense.
    pub fn new(charter: Charter, now: Duration) -> Self {
        debug_assert_eq!(charter.fault(), None);
        let firms = charter.firms.len();
        let mut roll = vec![Vec::new(); firms];
        let mut line = |(at, team): (usize, &Team)| {
            roll[team.firm].push(at);
            let budget = team.allowance.map(|allowance| Budget::full(allowance, now));
            Line { budget, place: roll[team.firm].len() - 1, ..Line::default() }
        };
        let lines = charter.teams.iter().enumerate().map(&mut line).collect();
        Self {
            firms: Order::of(charter.firms.iter().map(|firm| firm.share)),
            teams: (0..firms).map(|firm| Self::order_within(&charter, firm)).collect(),
            roll,
            lines,
            waiting: IndexMap::new(),
            out: IndexMap::new(),
            known: HashMap::new(),
            ages: VecDeque::new(),
            keyed: HashMap::new(),
            keys: HashMap::new(),
            due: BTreeSet::new(),
            pace: Pace::default(),
            turns: 0,
            backlog: vec![Duration::ZERO; firms],
            busy: vec![BTreeSet::new(); firms],
            charter,
        }
    }

    /// Teams stand in their firm's order by their places among its teams.
    fn order_within(charter: &Charter, firm: usize) -> Order {
        Order::of(charter.teams.iter().filter(|team| team.firm == firm).map(|team| team.share))
    }

    // ---- what comes ----

    /// Takes a request in, or turns it away with the time after which such a one would be taken.
    pub fn arrive(&mut self, now: Duration, asking: Asking) -> Result<(), Refusal> {
        let asking = Asking { urgency: asking.urgency.min(MOST_URGENT), ..asking };
        self.pass(now);
        let reckoned = self.reckon(now, asking.team, asking.urgency, None);
        let wait = reckoned.map(|seconds| self.pace.told(seconds, 0).likely);
        let wait_or_none = wait.unwrap_or_default();
        if self.lines[asking.team].count >= self.charter.teams[asking.team].most_waiting {
            return Err(Refusal { reason: Reason::Full, retry_after: wait_or_none });
        }
        if wait_or_none + asking.work > asking.deadline && !wait_or_none.is_zero() {
            let retry_after = (wait_or_none + asking.work).saturating_sub(asking.deadline);
            return Err(Refusal { reason: Reason::Hopeless, retry_after });
        }
        let Asking { request, team, urgency, class, work, latency_objective, identity, key, .. } = asking;
        let turn = (now, self.turns);
        let (team, reckoned) = (team as u32, reckoned.map(|seconds| seconds as f32));
        self.turns += 1;
        self.keyed.extend(key.map(|key| (request, key)));
        self.enter(
            now,
            request,
            Waiting { turn, latency_objective, work, identity, reckoned, team, class, urgency },
        );
        Ok(())
    }

    fn enter(&mut self, now: Duration, request: Ticket, waiting: Waiting) {
        let (team, work) = (waiting.team(), waiting.work);
        let line = &mut self.lines[team];
        line.lanes.entry(waiting.lane()).or_default().insert(waiting.turn, request);
        line.count += 1;
        line.work[usize::from(waiting.urgency)] += work;
        let firm = self.charter.teams[team].firm;
        self.backlog[firm] += work;
        self.busy[firm].insert(team);
        if let Some(key) = self.keyed.get(&request) {
            self.keys.entry(*key).or_default().insert(waiting.turn, request);
        }
        self.waiting.insert(request, waiting);
        self.place(now, team);
    }

    /// Takes a request out of its line, whose place is to be looked at then.
    fn take(&mut self, request: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.swap_remove(&request)?;
        if let Some(key) = self.keyed.get(&request)
            && let Some(alike) = self.keys.get_mut(key)
        {
            alike.remove(&waiting.turn);
            if alike.is_empty() {
                self.keys.remove(key);
            }
        }
        let (team, work) = (waiting.team(), waiting.work);
        let firm = self.charter.teams[team].firm;
        let line = &mut self.lines[team];
        if let Some(lane) = line.lanes.get_mut(&waiting.lane()) {
            lane.remove(&waiting.turn);
            if lane.is_empty() {
                line.lanes.remove(&waiting.lane());
            }
        }
        line.count -= 1;
        line.work[usize::from(waiting.urgency)] -= work;
        self.backlog[firm] -= work;
        if line.count == 0 {
            self.busy[firm].remove(&team);
        }
        Some(waiting)
    }

    /// A waiting request's client has left.
    pub fn leave(&mut self, now: Duration, request: Ticket) -> bool {
        let taken = self.take(request);
        self.keyed.remove(&request);
        taken.as_ref().map(Waiting::team).inspect(|team| self.place(now, *team)).is_some()
    }

    /// A request goes on: its team's turn, charged as expected. A repeat is charged for what it adds.
    pub fn let_go(&mut self, now: Duration, request: Ticket) -> bool {
        self.pass(now);
        let Some(team) = self.waiting.get(&request).map(Waiting::team) else { return false };
        let (firm, place) = (self.charter.teams[team].firm, self.lines[team].place);
        self.firms.turn(firm);
        self.teams[firm].turn(place);
        self.lines[team].turns = self.lines[team].turns.wrapping_add(1);
        let Some(waiting) = self.take(request) else { return false };
        let known = waiting.identity.and_then(|identity| self.known.get(&identity)).copied().unwrap_or(0.0);
        let charged = (waiting.work.as_secs_f64() - known).max(0.0);
        self.charge(now, team, charged);
        self.lines[team].out += charged;
        self.lines[team].going += 1;
        self.pace.let_go(
            now,
            waiting.work.as_secs_f64(),
            now - waiting.turn.0,
            waiting.reckoned.map(f64::from),
        );
        self.out.insert(request, Out { waiting, charged });
        true
    }

    fn charge(&mut self, now: Duration, team: usize, work: f64) {
        let (firm, place) = (self.charter.teams[team].firm, self.lines[team].place);
        self.firms.charge(firm, work);
        self.teams[firm].charge(place, work);
        if let Some(budget) = &mut self.lines[team].budget {
            budget.fill(now);
            budget.charge(work);
        }
        self.place(now, team);
    }

    /// What was let go has ended: its charge becomes what it came to.
    pub fn settle(&mut self, now: Duration, request: Ticket, outcome: Outcome) {
        let Some(Out { waiting, charged }) = self.out.swap_remove(&request) else { return };
        self.keyed.remove(&request);
        let team = waiting.team();
        self.put_down(team, charged);
        let came_to = match outcome {
            Outcome::Billed(work) => work.as_secs_f64(),
            Outcome::Unknown => charged,
            Outcome::Back => 0.0,
        };
        self.charge(now, team, came_to - charged);
        if let Some(identity) = waiting.identity
            && came_to > 0.0
        {
            let fresh =
                self.known.insert(identity, self.known.get(&identity).unwrap_or(&0.0) + came_to).is_none();
            self.ages.extend(fresh.then_some(identity));
            if self.ages.len() > REMEMBERED
                && let Some(oldest) = self.ages.pop_front()
            {
                self.known.remove(&oldest);
            }
        }
    }

    /// A request that was let go and has not been sent waits again, as old as it is.
    pub fn take_back(&mut self, now: Duration, request: Ticket) -> bool {
        let Some(Out { waiting, charged }) = self.out.swap_remove(&request) else { return false };
        self.put_down(waiting.team(), charged);
        self.charge(now, waiting.team(), -charged);
        self.pace.correct(-waiting.work.as_secs_f64());
        self.enter(now, request, waiting);
        true
    }

    /// What was charged for a request is no longer out.
    fn put_down(&mut self, team: usize, charged: f64) {
        let line = &mut self.lines[team];
        line.out -= charged;
        line.going -= 1;
        if line.going == 0 {
            line.out = 0.0;
        }
    }

    /// Another charter: team `at` becomes `to[at]`, or goes to the first. Nothing that waits or is out is lost;
    /// what waits keeps its age, what was spent stays spent.
    pub fn change(&mut self, now: Duration, charter: Charter, to: &[Option<usize>]) {
        debug_assert_eq!(charter.fault(), None);
        let old = std::mem::replace(self, Self::new(charter, now));
        (self.pace, self.turns) = (old.pace, old.turns);
        (self.known, self.ages, self.keyed) = (old.known, old.ages, old.keyed);
        let team = |at: usize| to.get(at).copied().flatten().unwrap_or(0);
        for (at, line) in old.lines.iter().enumerate() {
            let allowance = self.charter.teams[team(at)].allowance;
            if let (Some(to), Some(budget), Some(allowance)) =
                (to.get(at).copied().flatten(), &line.budget, allowance)
            {
                let mut budget = budget.clone();
                budget.change(allowance, now);
                self.lines[to].budget = Some(budget);
            }
        }
        for (request, Out { mut waiting, charged }) in old.out {
            let to = team(waiting.team());
            waiting.team = to as u32;
            self.lines[to].out += charged;
            self.lines[to].going += 1;
            self.out.insert(request, Out { waiting, charged });
        }
        // In the order of arrival, whatever the table's.
        let mut waiting: Vec<(Ticket, Waiting)> = old.waiting.into_iter().collect();
        waiting.sort_unstable_by_key(|(_, waiting)| waiting.turn);
        for (request, mut waiting) in waiting {
            waiting.team = team(waiting.team()) as u32;
            self.enter(now, request, waiting);
        }
    }

    // ---- time ----

    /// When something changes by itself.
    pub fn due(&self) -> Option<Duration> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Time has come to `now`.
    pub fn pass(&mut self, now: Duration) {
        while let Some((_, team)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.place(now, team);
        }
    }

    /// The ground that a request has gained, and when it gains more.
    fn ground(now: Duration, waiting: &Waiting) -> (u32, Option<Duration>) {
        let (since, urgency) = (now.saturating_sub(waiting.turn.0), u32::from(waiting.urgency));
        let latency_objective = waiting.latency_objective.max(Duration::from_nanos(1));
        let aged = (since.as_nanos() / latency_objective.as_nanos()).min(MOST_GROUND.into()) as u32;
        let ground = (urgency + aged).min(MOST_GROUND);
        (ground, (ground < MOST_GROUND).then(|| waiting.turn.0 + latency_objective * (aged + 1)))
    }

    /// The first request of each of a team's lanes in the order in which they are to go: the most urgent, and of
    /// those the one that is to be done first; but in every so many turns the one that is to be done first of
    /// all, so that nothing urgent keeps the rest waiting for ever.
    fn heads(&self, team: usize) -> Vec<Ticket> {
        let line = &self.lines[team];
        let for_all = line.turns % PASSED_BY == PASSED_BY - 1;
        let heads = line.lanes.values().filter_map(|lane| lane.first_key_value());
        let mut heads: Vec<_> = heads
            .map(|(turn, request)| {
                let waiting = &self.waiting[request];
                let urgency = if for_all { 0 } else { waiting.urgency };
                (Reverse(urgency), waiting.turn.0 + waiting.latency_objective, *turn, *request)
            })
            .collect();
        heads.sort_unstable();
        heads.into_iter().map(|(.., request)| request).collect()
    }

    /// Puts a team where it now stands among those of its firm, and the firm among firms.
    fn place(&mut self, now: Duration, team: usize) {
        if let Some(budget) = &mut self.lines[team].budget {
            budget.fill(now);
        }
        let (firm, place) = (self.charter.teams[team].firm, self.lines[team].place);
        let mut due = None;
        let heads = self.heads(team);
        match heads.first() {
            None => self.teams[firm].wants_nothing(place),
            Some(head) => {
                let more =
                    heads.iter().filter_map(|request| Self::ground(now, &self.waiting[request]).1).min();
                let ground = Self::ground(now, &self.waiting[head]).0;
                let work = self.waiting[head].work.as_secs_f64();
                let budget = self.lines[team].budget.as_ref();
                let band =
                    if budget.is_none_or(|budget| budget.bears(work)) { Band::Within } else { Band::Spent };
                let borne = budget.filter(|_| band == Band::Spent).map(|budget| budget.bears_at(work));
                due = more.into_iter().chain(borne.map(|at| at.max(now + Duration::from_nanos(1)))).min();
                let gained = f64::from(ground) * work.max(self.pace.usual());
                self.teams[firm].wants(place, band, gained);
                self.lines[team].gained = gained;
            }
        }
        if let Some(old) = std::mem::replace(&mut self.lines[team].due, due) {
            self.due.remove(&(old, team));
        }
        self.due.extend(due.map(|at| (at, team)));
        self.place_firm(firm);
    }

    fn place_firm(&mut self, firm: usize) {
        match self.teams[firm].turns().next() {
            None => self.firms.wants_nothing(firm),
            Some(first) => {
                let band = self.teams[firm].band(first).unwrap_or(Band::Spent);
                let team = self.roll[firm][first];
                self.firms.wants(firm, band, self.lines[team].gained);
            }
        }
    }

    // ---- what is told ----

    /// The requests whose turn is next, the first first: by firms, teams, and the lanes of each.
    pub fn turns(&self) -> impl Iterator<Item = Ticket> {
        let teams = self.firms.turns().flat_map(|firm| {
            let roll = &self.roll[firm];
            self.teams[firm].turns().map(|place| roll[place])
        });
        teams.flat_map(|team| self.heads(team))
    }

    /// The request whose turn it is among those that `fit`. One of a key stands back for those of its key that came
    /// before it, which then go at its turn.
    pub fn next(&self, mut fit: impl FnMut(Ticket) -> bool) -> Option<Ticket> {
        self.turns().take(TRIED).map(|request| self.first_of_key(request)).find(|request| fit(*request))
    }

    /// The first of a waiting request's key that waits, or itself: whatever makes a request go, that one goes first.
    pub fn first_of_key(&self, request: Ticket) -> Ticket {
        let alike = self.keyed.get(&request).and_then(|key| self.keys.get(key));
        alike.and_then(|alike| alike.first_key_value()).map_or(request, |(_, first)| *first)
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Feeds the state to `into`, with times told from `now`: queues that print alike go on alike.
    pub fn fingerprint(&self, now: Duration, into: &mut impl Hasher) {
        self.firms.fingerprint(into);
        self.teams.iter().for_each(|order| order.fingerprint(into));
        self.pace.fingerprint(now, into);
        for line in &self.lines {
            let left = line.budget.as_ref().map(|budget| (budget.left_at(now) * 1e6).round() as i64);
            (left, line.turns % PASSED_BY, line.gained.to_bits()).hash(into);
            for (lane, turns) in &line.lanes {
                let waits = turns.iter().map(|((since, _), request)| (now.saturating_sub(*since), request));
                (lane, waits.collect::<Vec<_>>()).hash(into);
            }
        }
        let out = self.out.iter().map(|(request, out)| (*request, out.waiting.team, out.charged.to_bits()));
        out.collect::<BTreeSet<_>>().hash(into);
        self.ages.iter().for_each(|known| (known, self.known[known].to_bits()).hash(into));
    }

    /// Seconds charged for what a team has out; 0 at rest.
    pub fn charged(&self, team: usize) -> f64 {
        self.lines[team].out
    }

    /// Seconds that are left of a team's budget.
    pub fn left(&self, team: usize) -> Option<f64> {
        self.lines[team].budget.as_ref().map(Budget::left)
    }

    /// How long a waiting request will wait yet; none while nothing is known of the pace.
    pub fn wait(&self, now: Duration, request: Ticket) -> Option<Wait> {
        let waiting = self.waiting.get(&request)?;
        let (team, urgency) = (waiting.team(), waiting.urgency);
        let reckoned = self.reckon(now, team, urgency, Some(waiting.turn))?;
        let before = |(lane, turns): (&Lane, &BTreeMap<Turn, Ticket>)| match lane.0.0.cmp(&urgency) {
            Ordering::Greater => turns.len(),
            Ordering::Equal => turns.range(..waiting.turn).count(),
            Ordering::Less => 0,
        };
        Some(self.pace.told(reckoned, self.lines[team].lanes.iter().map(before).sum()))
    }

    /// Seconds until the turn of a request that stands at `turn`, or comes now: its team's work before it, and what
    /// the others will have had by then, at the pace of late.
    fn reckon(&self, now: Duration, team: usize, urgency: u8, turn: Option<Turn>) -> Option<f64> {
        let rate = self.pace.rate(now)?;
        let firm = self.charter.teams[team].firm;
        let line = &self.lines[team];
        let level = usize::from(urgency);
        let more_urgent: Duration = line.work[level + 1..].iter().sum();
        let alike = match turn {
            None => line.work[level],
            Some(turn) => {
                let lanes = line.lanes.iter().filter(|(lane, _)| lane.0.0 == urgency);
                let before = lanes.flat_map(|(_, turns)| turns.range(..turn));
                before.map(|(_, request)| self.waiting[request].work).sum()
            }
        };
        let own = (more_urgent + alike).as_secs_f64();
        let order = &self.teams[firm];
        let place = self.lines[team].place;
        let part = |party: usize, order: &Order, level: f64, from: usize, backlog: f64| {
            ((level - order.lag(party, from)) * order.share(party)).clamp(0.0, backlog)
        };
        let mates = self.busy[firm].iter().filter(|mate| **mate != team).map(|mate| {
            let backlog = self.lines[*mate].work.iter().sum::<Duration>().as_secs_f64();
            part(self.lines[*mate].place, order, own / order.share(place), place, backlog)
        });
        let within: f64 = own + mates.sum::<f64>();
        let others =
            (0..self.backlog.len()).filter(|other| *other != firm && !self.backlog[*other].is_zero());
        let others = others.map(|other| {
            part(other, &self.firms, within / self.firms.share(firm), firm, self.backlog[other].as_secs_f64())
        });
        Some((within + others.sum::<f64>()) / rate)
    }
}
