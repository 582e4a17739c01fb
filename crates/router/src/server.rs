//! The router's logic without sockets or clock: it passes what clients, engines and the discovery service send to
//! the scheduler, and collects what the scheduler decides as bytes to write and connections to dial or to close.
//!
//! Every method takes the time from [`Context::now`], which the caller sets before.

mod admission;
mod clients;
mod endpoints;
mod parameters;
mod requests;
mod shutdown;

use crate::admission_queue::AdmissionQueue;
use crate::bootstrap::Bootstrap;
use crate::context::Context;
use crate::discovery::Discovery;
use crate::dispatch::{Dispatcher, RequestOutcome};
use crate::engine_pool::PoolEvent;
use crate::jsonrpc;
use crate::ring::Ring;
use crate::slots::Slot;
use crate::timers::Timer;
use emberflow::{AttemptEnded, Fingerprint, RequestClass, Scheduler};
use shutdown::ServerState;
use std::hash::Hasher;
use std::time::Duration;

/// A client's connection that is to be closed, and what is still to be written to it.
#[derive(Clone)]
pub struct ClosedClient {
    /// Its slot in the table of clients, which is free again.
    pub slot: Slot,
    /// Bytes that were not written yet.
    pub output: Ring,
}

/// What admission needs to know of a request class.
#[derive(Clone)]
struct ClassTraits {
    latency_objective: Duration,
    /// Whether requests of one key are run in the order in which they came.
    keeps_order: bool,
}

impl From<&RequestClass> for ClassTraits {
    fn from(class: &RequestClass) -> Self {
        Self { latency_objective: class.latency_objective, keeps_order: class.keeps_order }
    }
}

/// A router apart from its sockets: the scheduler with all that feeds it and carries out its decisions.
#[derive(Clone)]
pub struct Server {
    scheduler: Scheduler,
    /// Carries out what the scheduler decides.
    pub dispatcher: Dispatcher,
    /// The receiving side of the discovery service's connection.
    pub discovery: Discovery,
    /// Clients that were closed since the caller last took these.
    pub closed_clients: Vec<ClosedClient>,
    state: ServerState,
    /// Whether clients may have sent what was not read yet, as the owner of the sockets knows.
    pub has_unread_input: bool,
    /// The longest deadline of any request class.
    longest_deadline: Duration,
    /// Present where the operator has configured teams.
    admission_queue: Option<AdmissionQueue>,
    /// When the admission queue's timer is set to expire.
    admission_timer: Option<Duration>,
    /// By request class.
    class_traits: Vec<ClassTraits>,
    max_retry_after: Option<Duration>,
}

impl Server {
    /// Starts with the endpoints and teams that the configuration holds.
    pub fn new(bootstrap: Bootstrap, context: Context) -> Self {
        let Bootstrap { config, fleet, classes, attempt_limits, last_event, events, orders, .. } = bootstrap;
        let now = context.now();
        let mut server = Self {
            class_traits: classes.iter().map(ClassTraits::from).collect(),
            longest_deadline: classes.iter().map(|class| class.deadline).max().unwrap_or_default(),
            max_retry_after: attempt_limits.max_retry_after,
            scheduler: Scheduler::new(fleet, classes, attempt_limits),
            discovery: Discovery::resume_after(last_event, config.kinds.len(), config.locations.len()),
            closed_clients: Vec::new(),
            state: ServerState::Serving,
            has_unread_input: false,
            admission_queue: None,
            admission_timer: None,
            dispatcher: Dispatcher::new(config, context),
        };
        if let Some(teams) = orders.teams {
            server.open_admission_queue(teams, now);
        }
        for event in events {
            server.endpoints_changed(&event);
        }
        server
    }

    /// Feeds the state to `hasher`: two servers with the same fingerprint behave the same, whatever follows.
    pub fn fingerprint(&self, hasher: &mut impl Hasher) {
        let now = self.dispatcher.context.now();
        let fingerprint =
            Fingerprint { now, more_arrivals: true, engines_interchangeable: false, engine_state: &|_| 0 };
        self.scheduler.fingerprint(&fingerprint, hasher);
        self.dispatcher.fingerprint(hasher);
        self.state.fingerprint(now, hasher);
    }

    /// The time, timers and counters of this server.
    pub fn context(&mut self) -> &mut Context {
        &mut self.dispatcher.context
    }

    /// Handles an expired timer. The caller has read before what had come on the timer's socket.
    pub fn timer_expired(&mut self, timer: Timer) {
        let now = self.dispatcher.context.now();
        let Dispatcher { engines, context, .. } = &mut self.dispatcher;
        match timer {
            Timer::Wake => self.scheduler.wake(now, &mut self.dispatcher),
            Timer::Attempt(slot) => engines.attempt_overdue(slot, context),
            Timer::Connection(slot) => engines.connection_check_due(slot, now, context),
            Timer::AnswerComplete(slot) => engines.reply_overdue(slot, context),
            Timer::ConnectionIdle(slot) => engines.connection_idle(slot, context),
            Timer::Client(slot) => self.client_timer_expired(slot, now),
            Timer::ShutdownCheck => self.check_shutdown(),
            Timer::Discovery
            | Timer::ResumeAccepting
            | Timer::AdmissionQueue
            | Timer::Reload
            | Timer::Linger(_)
            | Timer::Redial(_) => {}
        }
        self.process_events();
    }

    /// Passes attempts' outcomes to the scheduler until there are no more, and hands on queued requests as far as
    /// there is capacity for them.
    pub fn process_events(&mut self) {
        self.process_attempt_events();
        while self.admit_next() {
            self.process_attempt_events();
        }
    }

    fn process_attempt_events(&mut self) {
        while let Some(event) = self.dispatcher.engines.events.pop_front() {
            let now = self.dispatcher.context.now();
            match event {
                PoolEvent::Progress { request, attempt, progress } => {
                    self.scheduler.progress_noted(now, request, attempt, progress, &mut self.dispatcher);
                }
                PoolEvent::Ended { ended, body, late_connection } => {
                    if let Some(connection) = late_connection
                        && let Some(request) = self.dispatcher.requests.get_mut(ended.request)
                    {
                        request.late_connections.push(connection);
                    }
                    self.attempt_ended(now, ended, body);
                }
            }
        }
    }

    fn attempt_ended(&mut self, now: Duration, mut ended: AttemptEnded, body: Option<Vec<u8>>) {
        if let Some(body) = body {
            self.record_cost(&ended);
            // Without effect where the client has withdrawn the request since.
            let result = |id| jsonrpc::result_line(id, &body);
            self.dispatcher.answer_request(ended.request, RequestOutcome::Succeeded, result);
        }
        ended.request_done = self.dispatcher.requests.get(ended.request).is_none();
        self.scheduler.attempt_ended(now, ended, &mut self.dispatcher);
    }

    /// Notes what a successful attempt cost, for the budget of the request's team.
    fn record_cost(&mut self, ended: &AttemptEnded) {
        if let Some(admission_queue) = &mut self.admission_queue
            && let Some(usage) = &ended.usage
            && self.dispatcher.requests.get(ended.request).is_some()
        {
            admission_queue.record_cost(ended.request, usage.cost);
        }
    }
}
