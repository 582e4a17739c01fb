//! The event loop, which owns all sockets, the clock and the signals. It passes the input of sockets and signals to
//! the [`Server`], and carries out the writes, dials and closes that the server decides on.
//!
//! While the loop polls, callbacks only record which sockets became ready. Each iteration then handles the recorded
//! events in a fixed order, so that the outcome does not depend on the order in which the sockets became ready.

mod accepting;
mod client_sockets;
mod discovery_socket;
mod engine_sockets;
mod lingering;
mod listener;
mod poll_times;
mod reload;
mod reload_retry;
mod shutdown;
mod signals;

use crate::bootstrap::Bootstrap;
use crate::clock::Clock;
use crate::context::Context;
use crate::engine_pool::PoolSize;
use crate::error::{ConfigError, ServeError};
use crate::ready_list::ReadyList;
use crate::server::Server;
use crate::slots::Slot;
use crate::sockets::RegisteredSocket;
use crate::timers::Timer;
use calloop::signals::Signal;
use calloop::{EventLoop, LoopHandle};
use listener::Listener;
use poll_times::PollTimes;
use reload_retry::ReloadRetry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of lines read from all clients, and of chunks drained from one closed client, in one iteration.
const MAX_READS_PER_ITERATION: usize = 64;

/// An iteration of the loop that handles events for at least this time is counted and logged as slow.
const SLOW_ITERATION: Duration = Duration::from_millis(50);

/// Reads the configuration. It is called at the start and at each reload.
type ReadBootstrap = Box<dyn Fn() -> Result<Bootstrap, ConfigError>>;

/// A router with its sockets, clock and signals.
pub struct RouterLoop {
    server: Server,
    clock: Clock,
    loop_handle: LoopHandle<'static, RouterLoop>,
    listener: Listener,
    /// Open connections of clients, without lingering ones.
    clients: BTreeMap<Slot, RegisteredSocket<RouterLoop>>,
    /// Open connections to engines.
    connections: BTreeMap<Slot, RegisteredSocket<RouterLoop>>,
    /// Addresses of connections to engines whose dial failed for a local cause and will be repeated.
    redials: BTreeMap<Slot, SocketAddr>,
    /// The connection to the discovery service; `None` until it is dialled again after a failure.
    discovery: Option<RegisteredSocket<RouterLoop>>,
    /// Connections of clients that are shut down for writing and whose input is still discarded.
    lingering: BTreeMap<Slot, RegisteredSocket<RouterLoop>>,
    /// Lingering connections with more input than one iteration discards.
    undrained_lingering: Vec<Slot>,
    /// Clients that may have unread input.
    readable_clients: ReadyList,
    /// Connections to engines that may have unread input.
    readable_connections: BTreeSet<Slot>,
    /// Clients that became ready during the poll and were not scanned yet.
    clients_to_scan: Vec<Slot>,
    /// Whether the connection to the discovery service became ready during the poll.
    discovery_is_ready: bool,
    /// Whether the poll found connections that wait to be accepted.
    listener_is_ready: bool,
    /// Signals that were received during the poll, in order.
    signals: Vec<Signal>,
    poll_times: PollTimes,
    read_bootstrap: ReadBootstrap,
    /// The scheduled retry of a reload that failed, if any.
    reload_retry: Option<ReloadRetry>,
}

impl RouterLoop {
    /// Serves until a graceful shutdown is complete. Calls `read_bootstrap` for the configuration at the start, at
    /// each SIGHUP, and at the retries of a failed reload.
    ///
    /// # Errors
    /// Fails if the configuration is invalid, if the router cannot listen, or if polling for events fails.
    pub fn run(
        read_bootstrap: impl Fn() -> Result<Bootstrap, ConfigError> + 'static,
    ) -> Result<(), ServeError> {
        let bootstrap = read_bootstrap()?;
        for error in &bootstrap.ignored_report_figures {
            log::warn!("load report figure ignored: {error}");
        }
        let mut event_loop =
            EventLoop::try_new().map_err(ServeError::event_loop("creating the event loop"))?;
        signals::watch(&event_loop.handle(), |router_loop: &mut Self, signal| {
            router_loop.signals.push(signal);
        })?;
        let mut router_loop = Self::start(event_loop.handle(), bootstrap, Box::new(read_bootstrap))?;
        while !router_loop.server.has_stopped() {
            router_loop.run_iteration(&mut event_loop)?;
        }
        router_loop.drain_clients(&mut event_loop);
        log::info!("counters at exit: {}", router_loop.server.dispatcher.counters_line());
        // The event loop is not dropped, since that would unblock the signals: a second SIGTERM would then kill the
        // process before it exits, and the shutdown would be reported as failed.
        std::mem::forget(event_loop);
        Ok(())
    }

    /// Polls for events once, and handles them.
    fn run_iteration(&mut self, event_loop: &mut EventLoop<'static, Self>) -> Result<(), ServeError> {
        let timeout = self.begin_poll();
        event_loop.dispatch(timeout, self).map_err(ServeError::event_loop("waiting for events"))?;
        self.poll_times.poll_ended(&self.clock);
        self.handle_events();
        self.record_iteration();
        Ok(())
    }

    /// Opens the listening socket, and begins to connect to the discovery service.
    fn start(
        loop_handle: LoopHandle<'static, Self>,
        bootstrap: Bootstrap,
        read_bootstrap: ReadBootstrap,
    ) -> Result<Self, ServeError> {
        let record_readiness = |router_loop: &mut Self| router_loop.listener_is_ready = true;
        let listener = Listener::open(&loop_handle, &bootstrap.config, record_readiness)?;
        let clock = Clock::starting_at(bootstrap.attempt_limits.warm_up);
        let mut context = Context { now: clock.now(), ..Context::default() };
        context.record_wall_clock_offset(clock.wall_clock_offset());
        let server = Server::new(bootstrap, context);
        let mut router_loop = Self {
            server,
            poll_times: PollTimes::before_first_poll(clock.now()),
            clock,
            loop_handle,
            listener,
            clients: BTreeMap::new(),
            connections: BTreeMap::new(),
            redials: BTreeMap::new(),
            discovery: None,
            lingering: BTreeMap::new(),
            undrained_lingering: Vec::new(),
            readable_clients: ReadyList::default(),
            readable_connections: BTreeSet::new(),
            clients_to_scan: Vec::new(),
            discovery_is_ready: false,
            listener_is_ready: false,
            signals: Vec::new(),
            read_bootstrap,
            reload_retry: None,
        };
        router_loop.dial_discovery();
        Ok(router_loop)
    }

    /// Records the start of a poll. Returns the poll's timeout; `None` if the poll waits without a limit.
    fn begin_poll(&mut self) -> Option<Duration> {
        let next_timer = self.server.context().timers.next_expiry();
        let time_to_next_timer = next_timer.map(|at| at.saturating_sub(self.clock.now()));
        let has_unread_input = !self.readable_clients.is_empty()
            || !self.readable_connections.is_empty()
            || !self.undrained_lingering.is_empty();
        self.poll_times.poll_begins(&self.clock);
        if has_unread_input { Some(Duration::ZERO) } else { time_to_next_timer }
    }

    /// Sets the server's time to the current time, for the next event.
    fn update_time(&mut self) {
        self.poll_times.poll_ended(&self.clock);
        self.server.context().now = self.clock.now();
    }

    /// Handles all events of the last poll, in a fixed order. Disconnects of clients come before events that free
    /// capacity, and changes of the endpoint list before any attempt is sent.
    ///
    /// A flood of lines from clients cannot delay other events for long: expired timers are handled before each line,
    /// clients are read in rotation, one line each, and the sockets are polled again after
    /// [`MAX_READS_PER_ITERATION`] lines.
    fn handle_events(&mut self) {
        self.scan_clients();
        for slot in std::mem::take(&mut self.undrained_lingering) {
            self.drain_lingering(slot);
        }
        if std::mem::take(&mut self.discovery_is_ready) {
            let offset = self.clock.wall_clock_offset();
            self.server.context().record_wall_clock_offset(offset);
            self.discovery_ready();
        }
        for signal in std::mem::take(&mut self.signals) {
            self.handle_signal(signal);
        }
        if std::mem::take(&mut self.listener_is_ready) {
            self.accept_clients();
        }
        for slot in std::mem::take(&mut self.readable_connections) {
            self.connection_ready(slot);
        }
        self.read_clients();
        self.server.close_finished_clients();
        self.apply_changes();
    }

    /// Logs the counters at any signal. Then reloads the configuration at SIGHUP, or begins the graceful shutdown at
    /// SIGTERM and SIGINT; SIGUSR1 does nothing else.
    fn handle_signal(&mut self, signal: Signal) {
        self.update_time();
        log::info!("counters: {}", self.server.dispatcher.counters_line());
        match signal {
            Signal::SIGHUP => self.reload_by_signal(),
            Signal::SIGUSR1 => {}
            _ => self.server.begin_shutdown(),
        }
        self.apply_changes();
    }

    /// Counts and logs the iteration if it was slow, since events that arrived during the iteration are handled late.
    fn record_iteration(&mut self) {
        let handling_time = self.poll_times.handling_time(&self.clock);
        if handling_time < SLOW_ITERATION {
            return;
        }
        self.server.context().counters.count("slow_iterations");
        let requests = self.server.dispatcher.requests.len();
        let PoolSize { engines, connections, attempts } = self.server.dispatcher.engines.size();
        log::warn!(
            "event loop iteration was slow: duration={handling_time:?} open_requests={requests} \
             engines={engines} engine_connections={connections} attempts={attempts}"
        );
    }

    /// Reads lines of clients in rotation, up to the limit of an iteration.
    fn read_clients(&mut self) {
        for _ in 0..MAX_READS_PER_ITERATION {
            self.handle_expired_timers();
            let Some(ready) = self.readable_clients.next() else { break };
            self.read_client(ready.slot, ready.received_since);
        }
        self.handle_expired_timers();
    }

    /// Handles the timers that have expired, the earliest first. Reads the clock again after each, since handling takes
    /// time.
    fn handle_expired_timers(&mut self) {
        loop {
            self.update_time();
            let now = self.server.context().now();
            let Some(timer) = self.server.context().timers.pop(now) else { break };
            self.handle_sockets_for_timer(timer);
            self.server.timer_expired(timer);
            self.apply_changes();
        }
    }

    /// Does the work on sockets for an expired timer. Input that arrived before the timer expired is read first, so
    /// that a delay of the router itself does not count as a timeout of the peer.
    fn handle_sockets_for_timer(&mut self, timer: Timer) {
        match timer {
            Timer::ClientIdleCheck(slot) => self.read_client(slot, self.poll_times.earliest_arrival()),
            Timer::AttemptDeadline(attempt) => {
                if let Some(connection) = self.server.dispatcher.engines.connection_of(attempt) {
                    self.connection_ready(connection);
                }
            }
            Timer::ConnectionCheck(slot) => self.connection_ready(slot),
            Timer::ReplyTimeout(slot) => self.read_connection(slot),
            Timer::DiscoveryRedial => self.discovery_timer_expired(),
            Timer::ResumeAccepting => self.resume_accepting(),
            Timer::ShutdownCheck => self.read_before_shutdown(),
            Timer::ReloadRetry => self.reload(),
            Timer::LingerTimeout(slot) => drop(self.lingering.remove(&slot)),
            Timer::EngineRedial(slot) => self.redial_engine(slot),
            Timer::SchedulerWakeUp
            | Timer::CallExpiry(_)
            | Timer::ConnectionIdleTimeout(_)
            | Timer::AdmissionCheck => {}
        }
    }

    /// Carries out the server's pending writes, dials and closes, and those that result from them, until none are left.
    fn apply_changes(&mut self) {
        loop {
            self.server.process_events();
            let Server { dispatcher, closed_clients, .. } = &mut self.server;
            let commands = std::mem::take(&mut dispatcher.engines.commands);
            let connections_to_flush = std::mem::take(&mut dispatcher.engines.pending_writes);
            let clients_to_flush = std::mem::take(&mut dispatcher.clients.pending_writes);
            let closed_clients = std::mem::take(closed_clients);
            if commands.is_empty()
                && connections_to_flush.is_empty()
                && clients_to_flush.is_empty()
                && closed_clients.is_empty()
            {
                return;
            }
            for command in commands {
                self.apply_command(command);
            }
            for slot in connections_to_flush {
                self.flush_connection(slot);
            }
            for slot in clients_to_flush {
                self.flush_or_close_client(slot);
            }
            for client in closed_clients {
                self.close_client_socket(client);
            }
        }
    }
}
