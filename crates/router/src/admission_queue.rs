//! The queue before the decisions, where an operator has told teams: what waits there is taken and owed an answer,
//! and not yet accepted. Whose turn it is and what a wait will be is decided by `emberflow-teams`.

use emberflow::{Arrival, Capacity, RequestId};
use emberflow_operator::TeamConfig;
use emberflow_teams::{NewRequest, Outcome, Queues, Rejection, WaitEstimate};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What falls due for a request that waits: it is handed on whatever its turn, or told of its wait.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Call {
    HandOn,
    Tell,
}

#[derive(Clone)]
struct Waiting {
    arrival: Arrival,
    since: Duration,
    /// When it is handed on at the latest.
    by: Duration,
    /// When it is told of its wait next, if it asked for that.
    told: Option<Duration>,
}

impl Waiting {
    /// As it stands now.
    fn arrival(&self, now: Duration) -> Arrival {
        Arrival { waited: now.saturating_sub(self.since), ..self.arrival.clone() }
    }
}

#[derive(Clone)]
pub struct AdmissionQueue {
    pub team_config: TeamConfig,
    queues: Queues,
    waiting: BTreeMap<RequestId, Waiting>,
    due: BTreeSet<(Duration, Call, RequestId)>,
    /// What the request's attempt came to, until it is settled.
    usages: BTreeMap<RequestId, Duration>,
}

/// A request that knocks, beside what the decisions are told of it.
pub struct Admission {
    pub team: usize,
    pub urgency: u8,
    /// What makes it the same request as another, and what its order goes by.
    pub identity: u64,
    pub key: Option<u64>,
    pub work: Duration,
    pub latency_objective: Duration,
    /// It is handed on that long before its deadline ends.
    pub margin: Duration,
    pub asks_to_be_told: bool,
}

impl AdmissionQueue {
    pub fn new(team_config: TeamConfig, now: Duration) -> Self {
        let queues = Queues::new(team_config.quotas.clone(), now);
        let (waiting, due, usages) = (BTreeMap::new(), BTreeSet::new(), BTreeMap::new());
        Self { team_config, queues, waiting, due, usages }
    }

    /// Takes a request in, or tells after what time such a one would be taken.
    pub fn enqueue(
        &mut self,
        now: Duration,
        arrival: Arrival,
        admission: Admission,
    ) -> Result<(), Rejection> {
        let Admission { team, urgency, identity, key, work, latency_objective, margin, asks_to_be_told } =
            admission;
        let (request, since) = (arrival.request, now.saturating_sub(arrival.waited));
        let deadline = arrival.deadline.saturating_sub(arrival.waited);
        let (class, identity) = (arrival.class as u16, Some(identity));
        let new_request =
            NewRequest { request, team, urgency, class, work, latency_objective, deadline, identity, key };
        self.queues.enqueue(now, new_request)?;
        let by = now + deadline.saturating_sub(margin);
        let told = (asks_to_be_told && self.team_config.wait_notice_field.is_some()).then_some(now);
        self.due.insert((by, Call::HandOn, request));
        self.due.extend(told.map(|at| (at, Call::Tell, request)));
        self.waiting.insert(request, Waiting { arrival, since, by, told });
        Ok(())
    }

    /// The next request to be accepted: one whose time is nearly up, or one whose turn it is and that has room.
    pub fn next<'a>(&mut self, now: Duration, capacity: impl FnOnce() -> Capacity<'a>) -> Option<Arrival> {
        if self.waiting.is_empty() {
            return None;
        }
        self.queues.advance(now);
        let late =
            self.due.iter().take_while(|(at, ..)| *at <= now).find(|(_, call, _)| *call == Call::HandOn);
        // Guards the order of keys: those that came before it are handed on before it.
        let late = late.map(|(.., request)| self.queues.first_of_key(*request));
        let its_turn = || {
            let mut capacity = capacity();
            self.queues.next_fitting(|request| {
                let waiting = self.waiting.get(&request);
                waiting.is_some_and(|waiting| capacity.admits(&waiting.arrival(now)))
            })
        };
        let request = late.or_else(its_turn)?;
        self.hand(now, request)
    }

    /// Any request that waits, the oldest first.
    pub fn any(&mut self, now: Duration) -> Option<Arrival> {
        self.hand(now, *self.waiting.keys().next()?)
    }

    fn hand(&mut self, now: Duration, request: RequestId) -> Option<Arrival> {
        self.queues.dispatch(now, request);
        self.forget(request).map(|waiting| waiting.arrival(now))
    }

    fn forget(&mut self, request: RequestId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&request)?;
        self.due.remove(&(waiting.by, Call::HandOn, request));
        waiting.told.map(|at| self.due.remove(&(at, Call::Tell, request)));
        Some(waiting)
    }

    /// What an answered request's attempt came to.
    pub fn billed(&mut self, request: RequestId, work: Duration) {
        self.usages.insert(request, work);
    }

    /// Whether a request waits here.
    pub fn holds(&self, request: RequestId) -> bool {
        self.waiting.contains_key(&request)
    }

    /// A request has had its final answer, or is owed none any more.
    pub fn closed(&mut self, now: Duration, request: RequestId, how: &str) {
        let usage = self.usages.remove(&request);
        if self.forget(request).is_some() {
            self.queues.remove(now, request);
            return;
        }
        let outcome = match (how, usage) {
            ("requests_succeeded", Some(work)) => Outcome::Measured(work),
            ("requests_succeeded" | "requests_failed", _) => Outcome::Unknown,
            _ => Outcome::Refunded,
        };
        self.queues.settle(now, request, outcome);
    }

    /// Another roll: what waits moves with its team, by name.
    pub fn change(&mut self, now: Duration, team_config: TeamConfig) {
        self.queues.reconfigure(now, team_config.quotas.clone(), &self.team_config.indices_in(&team_config));
        self.team_config = team_config;
    }

    /// Requests that are to be told of their wait now, and those waits where anything can be said.
    pub fn to_tell(&mut self, now: Duration) -> Vec<(RequestId, WaitEstimate)> {
        let due = self.due.iter().take_while(|(at, ..)| *at <= now);
        let due: Vec<_> = due.filter(|(_, call, _)| *call == Call::Tell).copied().collect();
        let mut told = Vec::new();
        for (at, call, request) in due {
            self.due.remove(&(at, call, request));
            // A roll that was read anew may have it that nobody is told any more.
            let again = self
                .team_config
                .wait_notice_field
                .as_ref()
                .map(|_| now + self.team_config.wait_notice_interval);
            self.due.extend(again.map(|at| (at, Call::Tell, request)));
            self.waiting.entry(request).and_modify(|waiting| waiting.told = again);
            if again.is_none() {
                continue;
            }
            told.extend(self.queues.estimate_wait(now, request).map(|wait| (request, wait)));
        }
        told
    }

    /// When something falls due here.
    pub fn due(&self) -> Option<Duration> {
        self.due.first().map(|(at, ..)| *at).into_iter().chain(self.queues.due()).min()
    }
}
