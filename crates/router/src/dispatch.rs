//! Carries out the scheduler's actions: sends attempts to engines and answers to clients.

use crate::clients::Clients;
use crate::clock::whole_ms;
use crate::config::RouterConfig;
use crate::context::Context;
use crate::engine_pool::{Call, EnginePool, PoolBytes, PoolSize};
use crate::jsonrpc::{self, ErrorCode};
use crate::request_table::{Request, RequestTable};
use crate::timers::Timer;
use emberflow::{Actions, EngineId, RequestId, SendLimits};
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// Message of the error response to a rejected request. Clients know this text, so it must not change.
const REJECTED_MESSAGE: &str = "bounced: a retry is harmless";
/// Message of the error response to a failed request. Clients know this text, so it must not change.
const FAILED_MESSAGE: &str = "given up: it may have run";

/// How a request was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// An attempt succeeded, and its result was sent to the client.
    Succeeded,
    /// The request was not run, or is idempotent, so a retry is harmless.
    Rejected,
    /// The request has failed and may have run.
    Failed,
    /// The client has cancelled the request or disconnected.
    Cancelled,
}

impl RequestOutcome {
    /// Returns the name of the counter of requests with this outcome.
    pub fn counter(self) -> &'static str {
        match self {
            Self::Succeeded => "requests_succeeded",
            Self::Rejected => "requests_rejected",
            Self::Failed => "requests_failed",
            Self::Cancelled => "requests_cancelled",
        }
    }
}

/// The notification to the admission queue that a request was closed.
#[derive(Clone, Copy)]
pub struct Completion {
    /// The scheduler's id of the request.
    pub request: RequestId,
    /// How the request was closed.
    pub outcome: RequestOutcome,
}

/// The state on which the scheduler's actions take effect: open requests, clients and engines.
#[derive(Clone)]
pub struct Dispatcher {
    /// The router's configuration as read at its start. A reload replaces the discovery address.
    pub config: RouterConfig,
    /// The time, the timers and the counters of the router.
    pub context: Context,
    /// The connections of clients.
    pub clients: Clients,
    /// The connections to engines, and the attempts on them.
    pub engines: EnginePool,
    /// The open requests.
    pub requests: RequestTable,
    /// Whether any engine has been ready since the start of the router. The router reports itself as serving only
    /// after that.
    pub had_ready_endpoint: bool,
    /// The completions that the admission queue has not processed yet; `None` without an admission queue.
    pub completions: Option<Vec<Completion>>,
}

impl Actions for Dispatcher {
    fn send(&mut self, request: RequestId, engine: EngineId, limits: SendLimits) {
        let Some(open_request) = self.requests.get_mut(request) else {
            return self.context.counters.check_invariant(false, "an_attempt_of_an_answered_request");
        };
        let call = Call {
            request,
            number: open_request.attempts.len(),
            request_name: &open_request.name,
            class: &self.config.classes[open_request.class],
            idempotency_key: open_request.idempotency_key.as_deref(),
            statement: &open_request.statement,
            grant_mb: open_request.grant_mb,
            priority: open_request.priority,
            limits,
        };
        let attempt = self.engines.send(engine, call, &open_request.late_connections, &mut self.context);
        open_request.attempts.push(attempt);
    }

    fn set_grant_and_priority(&mut self, request: RequestId, grant_mb: f64, priority: u8) {
        let Some(open_request) = self.requests.get_mut(request) else { return };
        if open_request.priority != priority {
            for attempt in &open_request.attempts {
                self.engines.update_priority(*attempt, priority, &mut self.context);
            }
        }
        open_request.grant_mb = grant_mb;
        open_request.priority = priority;
    }

    fn cancel(&mut self, request: RequestId, attempt: usize) {
        let Some(open_request) = self.requests.get(request) else { return };
        if let Some(attempt_slot) = open_request.attempts.get(attempt) {
            self.engines.cancel_before_resend(*attempt_slot, &mut self.context);
        }
    }

    fn reject(&mut self, request: RequestId, retry_after: Option<Duration>) {
        let retry_after_ms = retry_after.map(whole_ms).filter(|ms| *ms > 0);
        let encode_answer =
            |id| jsonrpc::error_line(Some(id), ErrorCode::Rejected, REJECTED_MESSAGE, retry_after_ms);
        let was_open = self.answer_request(request, RequestOutcome::Rejected, encode_answer);
        self.context.counters.check_invariant(was_open, "a_second_answer");
    }

    fn fail(&mut self, request: RequestId) {
        let encode_answer = |id| jsonrpc::error_line(Some(id), ErrorCode::Failed, FAILED_MESSAGE, None);
        let was_open = self.answer_request(request, RequestOutcome::Failed, encode_answer);
        self.context.counters.check_invariant(was_open, "a_second_answer");
    }

    /// Never called: the configuration of a router on sockets disables health checks by the scheduler.
    fn probe(&mut self, _: EngineId) {}

    fn wake_after(&mut self, wait: Duration) {
        self.context.timers.set(self.context.now() + wait, Timer::SchedulerWakeUp);
    }

    /// Has no effect: the discovery service sends its events without a request.
    fn watch_endpoints(&mut self) {}

    fn forget(&mut self, engine: EngineId) {
        self.engines.forget(engine, &mut self.context);
    }
}

impl Dispatcher {
    /// Creates a dispatcher without clients, engines or requests, with the limits of a configuration.
    pub fn new(config: RouterConfig, context: Context) -> Self {
        let clients = Clients::with_limits(config.max_line_bytes(), config.max_buffered_bytes());
        let mut engines = EnginePool::new(
            config.streams_per_connection,
            config.connect_timeout,
            config.engine_idle_close,
            config.max_engine_connections(),
        );
        engines.allows_concurrent_attempts = config.allows_concurrent_attempts;
        engines.limit_result_bytes(config.max_buffered_bytes());
        Self {
            config,
            context,
            clients,
            engines,
            requests: RequestTable::default(),
            had_ready_endpoint: false,
            completions: None,
        }
    }

    /// Opens a request under the next id. Returns false if the limit of open requests or of their bytes is reached.
    pub fn open_request(&mut self, request: Request) -> bool {
        let stored_bytes = self.requests.stored_bytes() + request.stored_bytes();
        let is_table_full = self.requests.len() >= self.config.max_open_requests;
        if is_table_full || stored_bytes > self.config.max_buffered_bytes() {
            self.context.counters.count("requests_over_the_limit");
            return false;
        }
        self.context.counters.count("requests_accepted");
        if let Some(client) = self.clients.table.get_mut(request.client) {
            client.open_requests.insert(request.client_request_id, self.requests.next_id);
        }
        self.requests.insert(request);
        true
    }

    /// Closes a request and sends its final answer. `encode_answer` encodes the answer for the id of the client's
    /// message. Returns whether the request was still open.
    pub fn answer_request(
        &mut self,
        request: RequestId,
        outcome: RequestOutcome,
        encode_answer: impl Fn(u64) -> Vec<u8>,
    ) -> bool {
        let Some(closed_request) = self.close_request(request, outcome) else { return false };
        let answer = encode_answer(closed_request.client_request_id);
        self.clients.send_line(closed_request.client, &answer);
        true
    }

    /// Closes a request and cancels its attempts. Returns the request if it was still open.
    pub fn close_request(&mut self, id: RequestId, outcome: RequestOutcome) -> Option<Request> {
        let request = self.requests.remove(id)?;
        self.context.counters.count(outcome.counter());
        log::debug!("request closed: request={id} outcome={outcome:?}");
        if let Some(completions) = &mut self.completions {
            completions.push(Completion { request: id, outcome });
        }
        self.clients.remove_request(request.client, request.client_request_id, self.context.now());
        for attempt in &request.attempts {
            self.engines.cancel(*attempt, &mut self.context);
        }
        Some(request)
    }

    /// Feeds the state to `hasher`. Dispatchers with equal fingerprints behave alike.
    pub fn fingerprint(&self, hasher: &mut impl Hasher) {
        let now = self.context.now();
        self.engines.fingerprint(now, hasher);
        self.clients.fingerprint(now, hasher);
        for request in self.requests.iter() {
            self.fingerprint_request(request, hasher);
        }
        self.fingerprint_timers(now, hasher);
        self.had_ready_endpoint.hash(hasher);
    }

    fn fingerprint_request(&self, request: &Request, hasher: &mut impl Hasher) {
        self.clients.table.position_of(request.client).hash(hasher);
        request.client_request_id.hash(hasher);
        request.name.hash(hasher);
        request.class.hash(hasher);
        request.priority.hash(hasher);
        for attempt in &request.attempts {
            self.engines.attempt_position(*attempt).hash(hasher);
        }
        for connection in &request.late_connections {
            if let Some(index) = self.engines.connection_position(*connection) {
                index.hash(hasher);
            }
        }
    }

    /// Feeds to `hasher` the timers of the scheduler, the discovery service, accepting and the shutdown. The due times
    /// of connections, attempts and clients are part of their fingerprints. The timers of the admission queue and of
    /// reloads are not included.
    fn fingerprint_timers(&self, now: Duration, hasher: &mut impl Hasher) {
        for (at, timer) in self.context.timers.iter() {
            let is_router_timer = matches!(
                timer,
                Timer::SchedulerWakeUp
                    | Timer::DiscoveryRedial
                    | Timer::ResumeAccepting
                    | Timer::ShutdownCheck
            );
            if is_router_timer {
                let microseconds_left = at.as_micros() as i64 - now.as_micros() as i64;
                (microseconds_left, timer).hash(hasher);
            }
        }
    }

    /// Returns all counters, the sizes of all tables and the bytes in all buffers as one line for the log.
    pub fn counters_line(&self) -> String {
        let PoolSize { engines, connections, attempts } = self.engines.size();
        let PoolBytes { input, output, results } = self.engines.bytes();
        let requests_bytes = self.requests.stored_bytes();
        let answers = self.clients.unsent_bytes();
        let clients = self.clients.table.len();
        let requests = self.requests.len();
        let timers = self.context.timers.len();
        format!(
            "{} held_clients={clients} held_requests={requests} held_engines={engines} \
             held_connections={connections} held_attempts={attempts} held_request_bytes={requests_bytes} \
             held_result_bytes={results} held_answer_bytes={answers} held_engine_input_bytes={input} \
             held_engine_output_bytes={output} held_timers={timers}",
            self.context.counters
        )
    }
}
