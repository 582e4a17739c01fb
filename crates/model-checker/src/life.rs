//! A world round the module alone: what may come, what has come, and what is true of it, whatever the module
//! believes. The module inside is the real one.

use crate::laws::{self, Law};
use crate::witness;
use crate::world::{Listed, World};
use emberflow::*;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// The least time that the worlds tell apart.
const INSTANT: Duration = Duration::from_millis(1);
/// No input leads to more.
const MOST_ACTS: usize = 1000;
/// Ways in which chance may order engines: enough for two sends in a row among three engines.
pub const DRAWS: u64 = 6;

/// What the module does, and two things that happen to it: time that passes, and an end at which nothing can
/// come any more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    Send { request: RequestId, engine: EngineId, until: Duration },
    Terms { request: RequestId, grant_mb: f64 },
    Cancel { request: RequestId, attempt: usize },
    Reject { request: RequestId },
    Fail { request: RequestId },
    Wake { wait: Duration },
    Watch,
    Probe { engine: EngineId },
    Forget { engine: EngineId },
    Serve { request: RequestId },
    Pass { to: Duration },
    Rest,
}

#[derive(Default)]
pub struct Acts(pub Vec<Act>);

impl Acts {
    /// Guards against an input that the module never comes to an end with.
    fn note(&mut self, act: Act) {
        assert!(self.0.len() < MOST_ACTS, "an input without end: {act:?}");
        self.0.push(act);
    }
}

impl Actions for Acts {
    fn send(&mut self, request: RequestId, engine: EngineId, until: Duration) {
        self.note(Act::Send { request, engine, until });
    }
    fn set_terms(&mut self, request: RequestId, grant_mb: f64, _: u8) {
        self.note(Act::Terms { request, grant_mb });
    }
    fn cancel(&mut self, request: RequestId, attempt: usize) {
        self.note(Act::Cancel { request, attempt });
    }
    fn reject(&mut self, request: RequestId, _: Option<Duration>) {
        self.note(Act::Reject { request });
    }
    fn fail(&mut self, request: RequestId) {
        self.note(Act::Fail { request });
    }
    fn probe(&mut self, engine: EngineId) {
        self.note(Act::Probe { engine });
    }
    fn wake_after(&mut self, wait: Duration) {
        self.note(Act::Wake { wait });
    }
    fn watch(&mut self) {
        self.note(Act::Watch);
    }
    fn forget(&mut self, engine: EngineId) {
        self.note(Act::Forget { engine });
    }
}

/// What may happen next. A draw is where chance goes on from, for what may choose an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Move {
    Arrive { draw: u64 },
    End { request: usize, end: AttemptOutcome, draw: u64 },
    Note { request: usize, notice: ProgressNote, draw: u64 },
    List { engine: EngineId, what: Listed, draw: u64 },
    ListLost,
    ListFailed,
    Leave { request: usize, draw: u64 },
    Wake { draw: u64 },
    Close,
    Pass,
}

#[derive(Clone)]
pub struct AttemptTruth {
    pub engine: EngineId,
    pub sent: Duration,
    pub until: Duration,
    pub end: Option<AttemptOutcome>,
    pub cancelled: bool,
    pub noted: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    Served,
    Rejected,
    Failed,
    Left,
}

#[derive(Clone, Default)]
pub struct Truth {
    pub arrived: Duration,
    pub deadline: Duration,
    pub answer: Option<Answer>,
    pub attempts: Vec<AttemptTruth>,
    pub grant: Option<f64>,
}

/// An engine as it was last told.
#[derive(Clone)]
pub struct Site {
    pub lifecycle: Lifecycle,
    /// The module let its number go.
    pub forgotten: bool,
    pub launched: Option<Duration>,
    pub told: Duration,
    /// Sent to it since then: when, and the usual seconds of work.
    pub sent: Vec<(Duration, f64)>,
}

#[derive(Clone)]
pub struct Life {
    pub now: Duration,
    pub scheduler: Scheduler,
    /// In the order of arrival; those still to come are not here.
    pub requests: Vec<Truth>,
    pub sites: Vec<Site>,
    /// When the module asked to be woken.
    pub wakes: Vec<Duration>,
    /// Further attempts, by when they were sent.
    pub further: Vec<Duration>,
    /// Until when a key rests, by whose attempt may still run.
    pub rests: Vec<(KeyId, RequestId, Duration)>,
    pub listed: u8,
    pub left: u8,
    pub shutdown_at: Option<Duration>,
    pub watched: bool,
    pub broken: Option<&'static Law>,
    pub fingerprint: u64,
}

impl std::fmt::Debug for Life {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{:?} {}", self.now, self.requests.len())
    }
}

impl PartialEq for Life {
    fn eq(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint
    }
}

impl Hash for Life {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.fingerprint.hash(state);
    }
}

impl AttemptTruth {
    pub fn may_have_run(&self) -> bool {
        !matches!(
            self.end,
            Some(AttemptOutcome::Overloaded | AttemptOutcome::Unreachable | AttemptOutcome::Void)
        )
    }
}

impl Truth {
    pub fn out(&self) -> Option<&AttemptTruth> {
        self.attempts.last().filter(|attempt| attempt.end.is_none())
    }

    pub fn open(&self) -> bool {
        self.answer.is_none()
    }

    pub fn first_that_may_have_run(&self) -> Option<&AttemptTruth> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }
}

impl Life {
    pub fn new(world: &World) -> Self {
        let (fleet, classes, attempt_limits) = world.place.told();
        let now = Duration::from_secs(20);
        let mut life = Self {
            now,
            scheduler: Scheduler::new(fleet, classes, attempt_limits),
            requests: Vec::new(),
            sites: Vec::new(),
            wakes: Vec::new(),
            further: Vec::new(),
            rests: Vec::new(),
            listed: 0,
            left: 0,
            shutdown_at: None,
            watched: false,
            broken: None,
            fingerprint: 0,
        };
        let site = Site {
            lifecycle: Lifecycle::Ready,
            forgotten: false,
            launched: None,
            told: now,
            sent: Vec::new(),
        };
        life.sites = vec![site; world.engines.len()];
        let rows = (0..world.engines.len()).map(|at| life.row(world, at)).collect();
        let mut acts = Acts::default();
        life.scheduler.endpoints_changed(now, EndpointUpdate::Changes, rows, &mut acts);
        life.carry_out(world, acts);
        life.sign(world);
        life
    }

    fn row(&self, world: &World, engine: EngineId) -> Endpoint {
        let (location, cell) = world.engines[engine];
        let Site { lifecycle, launched, .. } = self.sites[engine];
        Endpoint { engine, location, kind: world.kind(engine), cell, lifecycle, launched }
    }

    fn sign(&mut self, world: &World) {
        let mut digest = DefaultHasher::new();
        let more = self.requests.len() < world.requests.len();
        let beside = |engine: EngineId| {
            let site = &self.sites[engine];
            let mut digest = DefaultHasher::new();
            (site.forgotten, site.lifecycle == Lifecycle::Gone).hash(&mut digest);
            let cold = site.launched.filter(|at| *at + world.attempt_limits.warm_up > self.now);
            cold.map(|_| {
                site.sent.iter().map(|(at, work)| (self.now - *at, work.to_bits())).collect::<Vec<_>>()
            })
            .hash(&mut digest);
            digest.finish()
        };
        let with = Fingerprint {
            now: self.now,
            more_arrivals: more,
            engines_interchangeable: world.alike,
            engine_state: &beside,
        };
        self.scheduler.fingerprint(&with, &mut digest);
        for site in self.sites.iter().filter(|site| site.forgotten) {
            site.lifecycle.hash(&mut digest);
        }
        for request in &self.requests {
            (request.answer.is_some(), request.out().is_some()).hash(&mut digest);
            if request.open() || request.out().is_some() {
                let noted = request.attempts.last().map(|attempt| (attempt.noted, attempt.cancelled));
                let until = request.out().map(|attempt| attempt.until.saturating_sub(self.now));
                (noted, until, request.attempts.len()).hash(&mut digest);
                (request.deadline.saturating_sub(self.now), self.now - request.arrived).hash(&mut digest);
            }
        }
        for wake in &self.wakes {
            wake.saturating_sub(self.now).hash(&mut digest);
            self.now.saturating_sub(*wake).hash(&mut digest);
        }
        for (key, request, until) in &self.rests {
            (key, request, until.saturating_sub(self.now)).hash(&mut digest);
        }
        if world.attempt_limits.retry_budget.is_some() {
            self.further.iter().for_each(|at| (self.now - *at).hash(&mut digest));
        }
        (self.requests.len(), self.listed, self.left, self.watched).hash(&mut digest);
        self.shutdown_at.map(|by| by.saturating_sub(self.now)).hash(&mut digest);
        self.broken.map(|law| law.name).hash(&mut digest);
        self.fingerprint = digest.finish();
    }

    /// All that may happen next.
    pub fn moves(&self, world: &World, moves: &mut Vec<Move>) {
        if self.broken.is_some() {
            return;
        }
        let held = self.requests.iter().any(|request| request.open() && request.out().is_none());
        // Chance counts where something may be sent.
        let draws = |may_send: bool| if may_send && world.engines.len() > 1 { 0..DRAWS } else { 0..1 };
        let coming = self.requests.len() < world.requests.len() && self.shutdown_at.is_none();
        if coming {
            moves.extend(draws(true).map(|draw| Move::Arrive { draw }));
        }
        let mut owed = false;
        for (request, truth) in self.requests.iter().enumerate() {
            let Some(attempt) = truth.out() else { continue };
            let given_up = attempt.cancelled || !truth.open();
            let ends: &[AttemptOutcome] = match () {
                () if !truth.open() => &[AttemptOutcome::Withdrawn, AttemptOutcome::Void],
                // What was on its way comes nevertheless.
                () if attempt.cancelled => {
                    &[AttemptOutcome::Withdrawn, AttemptOutcome::Void, AttemptOutcome::Succeeded]
                }
                () if attempt.until <= self.now => &[AttemptOutcome::TimedOut, AttemptOutcome::Unreachable],
                () => world.ends,
            };
            owed |= given_up || attempt.until <= self.now;
            for end in ends {
                let again = *end != AttemptOutcome::Succeeded && truth.open() || held;
                moves.extend(draws(again).map(|draw| Move::End { request, end: *end, draw }));
            }
            if !given_up && attempt.noted < world.notes {
                let notes = world.progress_notes.iter().copied();
                moves
                    .extend(notes.flat_map(|notice| {
                        draws(held).map(move |draw| Move::Note { request, notice, draw })
                    }));
            }
        }
        for (request, truth) in self.requests.iter().enumerate() {
            if truth.open() && self.left < world.leaves {
                moves.extend(draws(held).map(|draw| Move::Leave { request, draw }));
            }
        }
        let goes_on = coming || self.requests.iter().any(|request| request.open() || request.out().is_some());
        if self.listed < world.events && goes_on {
            for (engine, site) in self.sites.iter().enumerate() {
                let comes = |what: &&Listed| match what {
                    Listed::Drains => site.lifecycle == Lifecycle::Ready,
                    Listed::Gone => site.lifecycle != Lifecycle::Gone,
                    Listed::Back => site.lifecycle == Lifecycle::Draining,
                    Listed::Anew => site.launched.is_none() && !site.forgotten,
                };
                for what in world.listed.iter().filter(comes) {
                    let what = *what;
                    moves.extend(draws(held).map(|draw| Move::List { engine, what, draw }));
                }
            }
            if world.list_lost && self.sites.iter().any(|site| site.lifecycle != Lifecycle::Gone) {
                moves.extend([Move::ListLost, Move::ListFailed]);
            }
        }
        let due = self.wakes.first().copied();
        if due.is_some_and(|at| at <= self.now) {
            moves.extend(draws(held).map(|draw| Move::Wake { draw }));
        }
        if world.closes && self.shutdown_at.is_none() && !self.requests.is_empty() {
            moves.push(Move::Close);
        }
        let overdue = due.is_some_and(|at| at + world.late <= self.now);
        if !owed && !overdue && self.next_instant(world).is_some() {
            moves.push(Move::Pass);
        }
    }

    /// The next time at which something may become different.
    fn next_instant(&self, world: &World) -> Option<Duration> {
        let mut times = Vec::new();
        for wake in &self.wakes {
            times.extend([*wake, *wake + world.late]);
        }
        let (around, before) =
            (|at: Duration| [at - INSTANT, at, at + INSTANT], |at: Duration| [at - INSTANT, at]);
        for (at, request) in self.requests.iter().enumerate().filter(|(_, request)| request.open()) {
            let number = at as RequestId;
            times.push(request.deadline);
            times.extend(request.out().map(|attempt| attempt.until));
            if world.fine {
                times.extend(around(request.arrived + world.class_of(number).latency_objective));
            }
            if let (Some(window), Some(attempt)) = (world.window(number), request.first_that_may_have_run()) {
                times.extend(before(attempt.sent + window - world.margin()));
            }
        }
        if self.requests.iter().any(Truth::open) {
            times.extend(self.rests.iter().flat_map(|(.., until)| before(*until)));
            times.extend(self.shutdown_at);
        }
        // Where a cold engine's window ends, another request may find room.
        if self.requests.len() < world.requests.len() {
            let cold = self.sites.iter().filter(|site| site.launched.is_some());
            times.extend(
                cold.flat_map(|site| &site.sent)
                    .flat_map(|(at, _)| before(*at + world.attempt_limits.overload_window)),
            );
        }
        times.into_iter().filter(|at| *at > self.now).min()
    }

    /// Whether a life that can't go on has ended as it should: nothing is owed and nothing is kept.
    pub fn rests(&self) -> bool {
        if self.requests.iter().any(|request| request.open() || request.out().is_some()) {
            return false;
        }
        let mut scheduler = self.scheduler.clone();
        let mut acts = Acts::default();
        scheduler.endpoints_changed(self.now, EndpointUpdate::FullList, Vec::new(), &mut acts);
        let quiet = acts.0.iter().all(|act| matches!(act, Act::Forget { .. }));
        quiet && (scheduler.held_counts().requests, scheduler.held_counts().engines) == (0, 0)
    }

    pub fn step(&self, world: &World, step: &Move) -> Self {
        let mut life = self.clone();
        let mut acts = Acts::default();
        let now = life.now;
        if let Move::Arrive { draw }
        | Move::End { draw, .. }
        | Move::Note { draw, .. }
        | Move::List { draw, .. }
        | Move::Leave { draw, .. }
        | Move::Wake { draw } = step
        {
            life.scheduler.draw_from(*draw);
        }
        match *step {
            Move::Arrive { .. } => {
                let number = life.requests.len();
                let arrival = world.arrival(number);
                life.requests.push(Truth {
                    arrived: now,
                    deadline: now + arrival.deadline,
                    ..Truth::default()
                });
                life.scheduler.accept(now, arrival, &mut acts);
            }
            Move::End { request, end, .. } => life.end(world, request, end, &mut acts),
            Move::Note { request, notice, .. } => {
                let attempt = life.requests[request].attempts.len() - 1;
                life.requests[request].attempts[attempt].noted += 1;
                life.scheduler.progress_noted(now, request as RequestId, attempt, notice, &mut acts);
            }
            Move::List { engine, what, .. } => {
                life.listed += 1;
                let site = &mut life.sites[engine];
                match what {
                    Listed::Drains => site.lifecycle = Lifecycle::Draining,
                    Listed::Gone => site.lifecycle = Lifecycle::Gone,
                    Listed::Back => site.lifecycle = Lifecycle::Ready,
                    Listed::Anew => {
                        site.lifecycle = Lifecycle::Ready;
                        site.launched = Some(now);
                        site.told = now;
                        site.sent.clear();
                    }
                }
                let rows = vec![life.row(world, engine)];
                life.scheduler.endpoints_changed(now, EndpointUpdate::Changes, rows, &mut acts);
            }
            Move::ListLost => {
                life.listed += 1;
                life.sites.iter_mut().for_each(|site| site.lifecycle = Lifecycle::Gone);
                life.scheduler.endpoints_changed(now, EndpointUpdate::FullList, Vec::new(), &mut acts);
            }
            Move::ListFailed => {
                life.listed += 1;
                life.watched = false;
                life.scheduler.endpoint_list_failed(now, &mut acts);
            }
            Move::Leave { request, .. } => {
                life.left += 1;
                life.requests[request].answer = Some(Answer::Left);
                life.scheduler.clients_left(now, &[request as RequestId], &[], &mut acts);
            }
            Move::Wake { .. } => {
                life.wakes.retain(|at| *at > now);
                life.scheduler.wake(now, &mut acts);
            }
            Move::Close => {
                let by = now + world.classes[0].deadline;
                life.shutdown_at = Some(by);
                life.scheduler.shutting_down(now, by, &mut acts);
            }
            Move::Pass => {
                let to = life.next_instant(world).unwrap_or(now);
                life.judge(world, Act::Pass { to });
                life.now = to;
            }
        }
        life.near(world);
        life.carry_out(world, acts);
        life.rests.retain(|(.., until)| *until > life.now);
        life.sign(world);
        life
    }

    /// An attempt's end, as its caller tells it: a result goes to the client first, where one still waits.
    fn end(&mut self, world: &World, request: usize, end: AttemptOutcome, acts: &mut Acts) {
        let (now, number) = (self.now, request as RequestId);
        let attempt = self.requests[request].attempts.len() - 1;
        if end == AttemptOutcome::Succeeded && self.requests[request].open() {
            self.judge(world, Act::Serve { request: number });
            self.requests[request].answer = Some(Answer::Served);
        }
        let request_done = !self.requests[request].open();
        let truth = &mut self.requests[request].attempts[attempt];
        truth.end = Some(end);
        let (engine, sent) = (truth.engine, truth.sent);
        if let (
            Some(key),
            Some(rest),
            AttemptOutcome::TimedOut | AttemptOutcome::Broken | AttemptOutcome::Withdrawn,
        ) = (world.requests[request].key, world.attempt_limits.key_cooldown, end)
        {
            // All that are still owed: one after another's attempt does not end that of an earlier.
            self.rests.retain(|(.., until)| *until > now);
            self.rests.push((key, number, now + rest));
        }
        let ended = AttemptEnded {
            request: number,
            attempt,
            engine,
            outcome: end,
            elapsed: now - sent,
            usage: None,
            load_report: world.load_report,
            request_done,
        };
        self.scheduler.attempt_ended(now, ended, acts);
    }

    fn judge(&mut self, world: &World, act: Act) {
        let broken = || laws::LAWS.iter().find(|law| (law.breaks)(world, self, &act));
        self.broken = self.broken.or_else(broken);
    }

    /// Carries out what the module does, held against the laws first.
    fn carry_out(&mut self, world: &World, acts: Acts) {
        for act in acts.0 {
            self.judge(world, act);
            if self.broken.is_some() {
                return;
            }
            match act {
                Act::Send { request, engine, until } => {
                    let (sent, usual) = (self.now, world.requests[request as usize].cost as f64 / 1e3);
                    let truth = &mut self.requests[request as usize];
                    if !truth.attempts.is_empty() {
                        self.further.push(sent);
                    }
                    truth.attempts.push(AttemptTruth {
                        engine,
                        sent,
                        until,
                        end: None,
                        cancelled: false,
                        noted: 0,
                    });
                    self.sites[engine].sent.push((sent, usual));
                }
                Act::Terms { request, grant_mb } => self.requests[request as usize].grant = Some(grant_mb),
                Act::Cancel { request, attempt } => {
                    self.requests[request as usize].attempts[attempt].cancelled = true
                }
                Act::Reject { request } => self.requests[request as usize].answer = Some(Answer::Rejected),
                Act::Fail { request } => self.requests[request as usize].answer = Some(Answer::Failed),
                Act::Wake { wait } => {
                    self.wakes.push(self.now + wait);
                    self.wakes.sort_unstable();
                    self.wakes.dedup();
                }
                Act::Watch => self.watched = true,
                Act::Forget { engine } => self.sites[engine].forgotten = true,
                Act::Probe { .. } | Act::Serve { .. } | Act::Pass { .. } | Act::Rest => {}
            }
        }
    }

    /// Notes which laws this life could break, and no other with them, by one thing that its module might do
    /// now: after an input, before it has acted.
    fn near(&self, world: &World) {
        if witness::all_near(witness::MODULE, laws::LAWS.len()) {
            return;
        }
        let mut acts = vec![Act::Pass { to: self.now + Duration::from_secs(3600) }, Act::Rest];
        let numbers = || (0..self.requests.len()).map(|request| request as RequestId);
        let until = |request: RequestId| self.requests[request as usize].deadline - world.margin();
        for request in numbers() {
            acts.extend([Act::Reject { request }, Act::Fail { request }, Act::Serve { request }]);
            acts.push(Act::Terms { request, grant_mb: f64::from(u32::MAX) });
            acts.extend(
                (0..self.requests[request as usize].attempts.len())
                    .map(|attempt| Act::Cancel { request, attempt }),
            );
            acts.extend((0..self.sites.len()).map(|engine| Act::Send {
                request,
                engine,
                until: until(request),
            }));
            acts.push(Act::Send { request, engine: 0, until: self.now + Duration::from_secs(3600) });
        }
        acts.extend((0..self.sites.len()).map(|engine| Act::Forget { engine }));
        for act in acts {
            witness::note(witness::MODULE, laws::LAWS.iter().map(|law| (law.breaks)(world, self, &act)));
        }
    }
}
