//! What the decisions act on: the open requests, and the outlet that carries out what is decided for them.

use crate::bootstrap::RouterConfig;
use crate::clients::Clients;
use crate::clock::whole_ms;
use crate::context::Context;
use crate::engine_pool::{Call, EnginePool};
use crate::jsonrpc;
use crate::slots::{Slot, Slots};
use crate::timers::Timer;
use emberflow::{Actions, EngineId, RequestId};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// A request until it has been answered.
#[derive(Clone)]
pub struct Request {
    pub client: Slot,
    pub id: u64,
    pub req: String,
    pub class: usize,
    pub opkey: Option<String>,
    pub statement: Vec<u8>,
    pub grant_mb: f64,
    pub priority: u8,
    pub attempts: Vec<Slot>,
    /// Connections that may still bring an answer to an attempt that was given up.
    pub owing: Vec<Slot>,
}

impl Request {
    pub fn new(
        client: Slot,
        id: u64,
        req: String,
        class: usize,
        opkey: Option<String>,
        statement: Vec<u8>,
    ) -> Self {
        let (grant_mb, priority, attempts, owing) = (0.0, 1, Vec::new(), Vec::new());
        Self { client, id, req, class, opkey, statement, grant_mb, priority, attempts, owing }
    }
}

/// The open requests, by the numbers that the decisions know them by.
#[derive(Clone, Default)]
pub struct Requests {
    table: Slots<Request>,
    numbers: BTreeMap<RequestId, Slot>,
    reqs: BTreeSet<String>,
    /// The number of the next.
    pub next: RequestId,
    /// Of all their statements.
    bytes: usize,
}

impl Requests {
    pub fn get(&self, number: RequestId) -> Option<&Request> {
        self.table.get(*self.numbers.get(&number)?)
    }

    pub fn get_mut(&mut self, number: RequestId) -> Option<&mut Request> {
        self.table.get_mut(*self.numbers.get(&number)?)
    }

    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Whether a request of this name is open.
    pub fn holds(&self, req: &str) -> bool {
        self.reqs.contains(req)
    }

    fn insert(&mut self, request: Request) {
        self.reqs.insert(request.req.clone());
        self.bytes += request.statement.len();
        self.numbers.insert(self.next, self.table.insert(request));
        self.next = self.next.wrapping_add(1);
    }

    fn take(&mut self, number: RequestId) -> Option<Request> {
        let request = self.numbers.remove(&number).and_then(|slot| self.table.take(slot))?;
        self.bytes -= request.statement.len();
        self.reqs.remove(&request.req);
        Some(request)
    }
}

/// What the decisions act on.
#[derive(Clone)]
pub struct Dispatcher {
    pub config: RouterConfig,
    pub context: Context,
    pub clients: Clients,
    pub engines: EnginePool,
    pub requests: Requests,
    pub serving: bool,
    /// Requests that were closed, and how, where a queue before the decisions wants to know.
    pub closed: Option<Vec<(RequestId, &'static str)>>,
}

impl Actions for Dispatcher {
    fn send(&mut self, request: RequestId, engine: EngineId, until: Duration) {
        let Some(row) = self.requests.get_mut(request) else {
            return self.context.counters.must(false, "an_attempt_of_an_answered_request");
        };
        let call = Call {
            request,
            number: row.attempts.len(),
            id: &row.req,
            class: &self.config.classes[row.class],
            opkey: row.opkey.as_deref(),
            statement: &row.statement,
            grant_mb: row.grant_mb,
            priority: row.priority,
            until,
        };
        let attempt = self.engines.send(engine, call, &row.owing, &mut self.context);
        row.attempts.push(attempt);
    }
    fn set_terms(&mut self, request: RequestId, grant_mb: f64, priority: u8) {
        let Some(request) = self.requests.get_mut(request) else { return };
        if request.priority != priority {
            for attempt in &request.attempts {
                self.engines.update_priority(*attempt, priority, &mut self.context);
            }
        }
        (request.grant_mb, request.priority) = (grant_mb, priority);
    }
    fn cancel(&mut self, request: RequestId, attempt: usize) {
        if let Some(attempt) =
            self.requests.get(request).and_then(|request| request.attempts.get(attempt)).copied()
        {
            self.engines.cancel_before_resend(attempt, &mut self.context);
        }
    }
    fn reject(&mut self, request: RequestId, retry_after: Option<Duration>) {
        let holdoff = retry_after.map(whole_ms).filter(|ms| *ms > 0);
        let line =
            |id| jsonrpc::error_line(Some(id), jsonrpc::REJECTED, "bounced: a retry is harmless", holdoff);
        let answered = self.answer(request, "requests_rejected", line);
        self.context.counters.must(answered, "a_second_answer");
    }
    fn fail(&mut self, request: RequestId) {
        let line = |id| jsonrpc::error_line(Some(id), jsonrpc::FAILED, "given up: it may have run", None);
        let answered = self.answer(request, "requests_failed", line);
        self.context.counters.must(answered, "a_second_answer");
    }
    /// Never asked for here.
    fn probe(&mut self, _: EngineId) {}
    fn wake_after(&mut self, wait: Duration) {
        self.context.timers.set(self.context.now() + wait, Timer::Wake);
    }
    /// The discovery service tells its changes unasked.
    fn watch(&mut self) {}
    fn forget(&mut self, engine: EngineId) {
        self.engines.forget(engine, &mut self.context);
    }
}

impl Dispatcher {
    /// Nothing open yet, within what the config allow.
    pub fn within(config: RouterConfig, context: Context) -> Self {
        let clients = Clients::with_limits(config.most_bytes(), config.most_held_bytes());
        let RouterConfig { streams, comes_up, idle_close, .. } = config;
        let mut engines = EnginePool::new(streams, comes_up, idle_close, config.most_connections());
        engines.may_duplicate = config.may_duplicate;
        Self {
            clients,
            engines,
            context,
            requests: Requests::default(),
            serving: false,
            closed: None,
            config,
        }
    }

    /// Takes a request in under the next number; tells whether the limits allow it.
    pub fn open(&mut self, request: Request) -> bool {
        let bytes = self.requests.bytes + request.statement.len();
        if self.requests.table.len() >= self.config.most_open || bytes > self.config.most_held_bytes() {
            self.context.counters.count("requests_over_the_limit");
            return false;
        }
        self.context.counters.count("requests_taken");
        if let Some(client) = self.clients.table.get_mut(request.client) {
            client.open.insert(request.id, self.requests.next);
        }
        self.requests.insert(request);
        true
    }

    /// Feeds the state to `into`: states that print alike go on alike.
    pub fn fingerprint(&self, into: &mut impl Hasher) {
        let now = self.context.now();
        self.engines.fingerprint(now, into);
        self.clients.fingerprint(now, into);
        for (_, request) in self.requests.table.iter() {
            (
                self.clients.table.place(request.client),
                request.id,
                &request.req,
                request.class,
                request.priority,
            )
                .hash(into);
            request.attempts.iter().for_each(|attempt| self.engines.attempt_index(*attempt).hash(into));
            request
                .owing
                .iter()
                .filter_map(|connection| self.engines.connection_index(*connection))
                .for_each(|at| at.hash(into));
        }
        // What else falls due is told by the connections and attempts themselves.
        let due = self.context.timers.iter();
        let due = due
            .filter(|(_, due)| matches!(due, Timer::Wake | Timer::Discovery | Timer::Admit | Timer::Leave));
        due.for_each(|(at, due)| (at.as_micros() as i64 - now.as_micros() as i64, due).hash(into));
        self.serving.hash(into);
    }

    /// All counters, and how much is held of what comes and goes.
    pub fn tally(&self) -> String {
        let (engines, connections, attempts) = self.engines.held();
        format!(
            "{} held_clients={} held_requests={} held_engines={engines} held_connections={connections} held_attempts={attempts} \
             held_timers={}",
            self.context.counters,
            self.clients.table.len(),
            self.requests.table.len(),
            self.context.timers.len()
        )
    }

    /// The one final answer of a request; tells whether it was still owed.
    pub fn answer(&mut self, number: RequestId, how: &'static str, line: impl Fn(u64) -> Vec<u8>) -> bool {
        let Some(request) = self.close(number, how) else { return false };
        self.clients.send_line(request.client, &line(request.id));
        true
    }

    /// Ends a request for the network; what is still out for it is given up, since nobody waits for it.
    pub fn close(&mut self, number: RequestId, how: &'static str) -> Option<Request> {
        let request = self.requests.take(number)?;
        self.context.counters.count(how);
        log::debug!("task {number}: {how}");
        if let Some(closed) = &mut self.closed {
            closed.push((number, how));
        }
        self.clients.request_closed(request.client, request.id, self.context.now());
        for attempt in &request.attempts {
            self.engines.cancel(*attempt, &mut self.context);
        }
        Some(request)
    }
}
