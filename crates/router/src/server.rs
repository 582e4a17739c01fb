//! The router without its sockets and its clock. The server decodes the input of clients, engines and the discovery
//! service and passes it to the scheduler. The scheduler's decisions become bytes to write and connections to dial or
//! close, which the owner of the sockets carries out.
//!
//! All methods read the time from [`Context::now`], which the caller must set before each call.

mod admission;
mod clients;
mod endpoints;
mod parameters;
mod requests;
mod shutdown;
mod state;

use crate::admission_queue::AdmissionQueue;
use crate::bootstrap::Bootstrap;
use crate::context::Context;
use crate::discovery::Discovery;
use crate::dispatch::{Dispatcher, RequestOutcome};
use crate::engine_pool::PoolEvent;
use crate::final_checks::CallRefusal;
use crate::jsonrpc;
use crate::ring::RingBuffer;
use crate::slots::Slot;
use crate::timers::Timer;
use emberflow::{AttemptEnded, FingerprintContext, RequestClass, RequestId, Scheduler};
use state::ServerState;
use std::hash::Hasher;
use std::time::Duration;

/// A removed client, whose connection the owner of the sockets must close.
#[derive(Clone)]
pub struct ClosedClient {
    /// The client's former slot in the table of clients.
    pub slot: Slot,
    /// Output that was not written before the client was removed.
    pub output: RingBuffer,
}

/// The properties of a request class that the admission queue depends on.
#[derive(Clone)]
struct AdmissionClass {
    latency_objective: Duration,
    /// Whether requests with the same key run in the order of their arrival.
    keeps_order: bool,
}

impl From<&RequestClass> for AdmissionClass {
    fn from(class: &RequestClass) -> Self {
        Self { latency_objective: class.latency_objective, keeps_order: class.keeps_order }
    }
}

/// A router without its sockets: the scheduler, and the state of clients, engines and the discovery service.
#[derive(Clone)]
pub struct Server {
    scheduler: Scheduler,
    /// Carries out the scheduler's decisions. Owns the clients, the engines and the open requests.
    pub dispatcher: Dispatcher,
    /// The receiving side of the discovery service's connection.
    pub discovery: Discovery,
    /// Removed clients whose sockets must still be closed. The owner of the sockets takes them from the list.
    pub closed_clients: Vec<ClosedClient>,
    state: ServerState,
    /// Whether clients may have unread input, which delays the end of a shutdown. Set by the owner of the sockets.
    pub has_unread_input: bool,
    /// The longest deadline of all request classes. It limits the duration of a shutdown.
    longest_deadline: Duration,
    /// The queue in front of the scheduler; `None` if the operator has configured no teams.
    admission_queue: Option<AdmissionQueue>,
    /// The time for which [`Timer::AdmissionCheck`] is set; `None` if it is not set.
    admission_timer: Option<Duration>,
    /// One element for each request class, by the scheduler's index.
    admission_classes: Vec<AdmissionClass>,
    /// The longest `retry_after` of a rejection; `None` if rejections contain no `retry_after`.
    max_retry_after: Option<Duration>,
}

impl Server {
    /// Creates a server with the endpoints and teams of the configuration.
    pub fn new(bootstrap: Bootstrap, context: Context) -> Self {
        let Bootstrap { config, fleet, classes, attempt_limits, last_event, events, operator_config, .. } =
            bootstrap;
        let now = context.now();
        let mut server = Self {
            admission_classes: classes.iter().map(AdmissionClass::from).collect(),
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
        if let Some(teams) = operator_config.teams {
            server.open_admission_queue(teams, now);
        }
        for event in events {
            server.endpoints_changed(&event);
        }
        server
    }

    /// Feeds the state to `hasher`, without the admission queue and the connection to the discovery service. If two
    /// servers do not differ in these, and have the same fingerprint, they react in the same way to any input.
    pub fn fingerprint(&self, hasher: &mut impl Hasher) {
        let now = self.dispatcher.context.now();
        let fingerprint = FingerprintContext {
            now,
            expects_arrivals: true,
            engines_interchangeable: false,
            engine_state_hash: &|_| 0,
        };
        self.scheduler.fingerprint(&fingerprint, hasher);
        self.dispatcher.fingerprint(hasher);
        self.state.fingerprint(now, hasher);
    }

    /// Returns the time, timers and counters of this server.
    pub fn context(&mut self) -> &mut Context {
        &mut self.dispatcher.context
    }

    /// Handles an expired timer. The caller must first read the socket to which the timer belongs, so that input that
    /// has arrived in time counts.
    pub fn timer_expired(&mut self, timer: Timer) {
        let now = self.dispatcher.context.now();
        let Dispatcher { engines, context, .. } = &mut self.dispatcher;
        match timer {
            Timer::SchedulerWakeUp => self.scheduler.wake(now, &mut self.dispatcher),
            Timer::AttemptDeadline(slot) => engines.attempt_overdue(slot, context),
            Timer::CallExpiry(slot) => engines.call_expired(slot, context),
            Timer::ConnectionCheck(slot) => engines.connection_check_due(slot, now, context),
            Timer::ReplyTimeout(slot) => engines.reply_overdue(slot, context),
            Timer::ConnectionIdleTimeout(slot) => engines.connection_idle(slot, context),
            Timer::ClientIdleCheck(slot) => self.client_timer_expired(slot, now),
            Timer::ShutdownCheck => self.check_shutdown(),
            Timer::DiscoveryRedial
            | Timer::ResumeAccepting
            | Timer::AdmissionCheck
            | Timer::ReloadRetry
            | Timer::LingerTimeout(_)
            | Timer::EngineRedial(_) => {}
        }
        self.process_events();
    }

    /// Passes all events of attempts to the scheduler, and then the queued requests for which there is capacity.
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
                PoolEvent::Written { request, attempt, at } => {
                    self.scheduler.attempt_written(at, request, attempt);
                }
                PoolEvent::Progress { request, attempt, progress } => {
                    self.scheduler.progress_updated(now, request, attempt, progress, &mut self.dispatcher);
                }
                PoolEvent::Ended { ended, body, late_connection } => {
                    if let Some(connection) = late_connection {
                        self.record_late_connection(ended.request, connection);
                    }
                    self.attempt_ended(now, ended, body);
                }
            }
        }
    }

    /// Ends the attempts whose calls wait on a connection and for which a condition of the scheduler's decision no longer
    /// holds. Must be called directly before the connection is written to. The end of each attempt changes what the
    /// others may use, so the scheduler handles it before the next is checked.
    pub fn end_lapsed_attempts(&mut self, connection: Slot) {
        let waiting = self.dispatcher.engines.waiting_attempts(connection);
        if !waiting.is_empty() {
            // Calls that were written to other connections just now count.
            self.process_attempt_events();
        }
        for attempt_slot in waiting {
            let now = self.dispatcher.context.now();
            let Some((request, attempt)) = self.dispatcher.engines.request_of(attempt_slot) else { continue };
            let Some(condition) = self.scheduler.lapsed_condition(now, request, attempt) else { continue };
            let Dispatcher { engines, context, .. } = &mut self.dispatcher;
            engines.refuse_call(attempt_slot, CallRefusal::Lapsed(condition), context);
            self.process_events();
        }
    }

    /// Records that the engine may still answer an abandoned attempt of the request on this connection.
    fn record_late_connection(&mut self, request: RequestId, connection: Slot) {
        if let Some(request) = self.dispatcher.requests.get_mut(request) {
            request.late_connections.push(connection);
        }
    }

    fn attempt_ended(&mut self, now: Duration, mut ended: AttemptEnded, body: Option<Vec<u8>>) {
        if let Some(body) = body {
            self.record_work(&ended);
            // This has no effect if the client has cancelled the request.
            let result = |id| jsonrpc::result_line(id, &body);
            self.dispatcher.answer_request(ended.request, RequestOutcome::Succeeded, result);
        }
        ended.request_done = self.dispatcher.requests.get(ended.request).is_none();
        self.scheduler.attempt_ended(now, ended, &mut self.dispatcher);
    }

    /// Records the measured work of a successful attempt, which is charged to the budget of the request's team.
    fn record_work(&mut self, ended: &AttemptEnded) {
        if let Some(admission_queue) = &mut self.admission_queue
            && let Some(usage) = &ended.usage
            && self.dispatcher.requests.get(ended.request).is_some()
        {
            admission_queue.record_work(ended.request, usage.work);
        }
    }
}
