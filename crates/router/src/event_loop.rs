//! The event loop and its sockets. It hands what sockets and signals bring to the [`Server`] and does what that
//! asks for; it takes no decision itself.
//!
//! Events are only noted while the loop polls. Each turn then handles them in a fixed order, so that what is done
//! does not depend on the order in which the sockets became ready.

mod client_sockets;
mod discovery_socket;
mod engine_sockets;
mod lingering;
mod listener;
mod poll_times;
mod reload;
mod shutdown;
mod signals;

use crate::bootstrap::Bootstrap;
use crate::clock::Clock;
use crate::context::Context;
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
use reload::ReloadRetry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Lines taken from clients, and chunks drained from a closed one, in one turn of the loop.
const MAX_READS_PER_TURN: usize = 64;

/// A turn of the loop that takes longer is logged.
const LATE_TURN: Duration = Duration::from_millis(50);

/// The function that reads the configuration, at the start and at each reload.
type ReadBootstrap = Box<dyn Fn() -> Result<Bootstrap, ConfigError>>;

/// A router on its sockets.
pub struct RouterLoop {
    server: Server,
    clock: Clock,
    loop_handle: LoopHandle<'static, RouterLoop>,
    listener: Listener,
    clients: BTreeMap<Slot, RegisteredSocket<RouterLoop>>,
    /// Connections to engines.
    connections: BTreeMap<Slot, RegisteredSocket<RouterLoop>>,
    /// Addresses of connections to engines that are dialled again.
    redials: BTreeMap<Slot, SocketAddr>,
    discovery: Option<RegisteredSocket<RouterLoop>>,
    /// Connections of clients that are closed for writing and still drained.
    lingering: BTreeMap<Slot, RegisteredSocket<RouterLoop>>,
    /// Those of them that had more to read than one turn takes.
    undrained: Vec<Slot>,
    /// Clients and engine connections that may have more to read.
    readable_clients: ReadyList,
    readable_connections: BTreeSet<Slot>,
    /// What became ready while the loop polled and was not handled yet: clients to be scanned, the discovery
    /// service, connections to be accepted, signals.
    clients_to_scan: Vec<Slot>,
    discovery_is_ready: bool,
    listener_is_ready: bool,
    signals: Vec<Signal>,
    poll_times: PollTimes,
    read_bootstrap: ReadBootstrap,
    /// Set while a configuration that could not be read is read again.
    reload_retry: Option<ReloadRetry>,
}

impl RouterLoop {
    /// Serves until a graceful shutdown ends it. The configuration is read at the start and at each SIGHUP.
    pub fn run(read: impl Fn() -> Result<Bootstrap, ConfigError> + 'static) -> Result<(), ServeError> {
        let bootstrap = read()?;
        for fault in &bootstrap.ignored_report_fields {
            log::warn!("load report field ignored: {fault}");
        }
        let mut event_loop =
            EventLoop::try_new().map_err(ServeError::event_loop("creating the event loop"))?;
        signals::watch(&event_loop.handle())?;
        let mut router_loop = Self::start(event_loop.handle(), bootstrap, Box::new(read))?;
        while !router_loop.server.has_stopped() {
            let wait = router_loop.begin_poll();
            let polled = event_loop.dispatch(wait, &mut router_loop);
            polled.map_err(ServeError::event_loop("waiting for events"))?;
            router_loop.poll_times.poll_ended(&router_loop.clock);
            router_loop.handle_events();
            router_loop.note_turn();
        }
        router_loop.drain_clients(&mut event_loop);
        log::info!("counters at exit: {}", router_loop.server.dispatcher.counters_line());
        // Dropping the event loop would unblock the signals: one that came again while the process ends would
        // then kill it, and it would count as failed.
        std::mem::forget(event_loop);
        Ok(())
    }

    /// Listens, and begins to connect to the discovery service.
    fn start(
        loop_handle: LoopHandle<'static, Self>,
        bootstrap: Bootstrap,
        read_bootstrap: ReadBootstrap,
    ) -> Result<Self, ServeError> {
        let listener = Listener::open(&loop_handle, &bootstrap.config)?;
        let clock = Clock::starting(bootstrap.attempt_limits.warm_up);
        let mut context = Context { now: clock.now(), ..Context::default() };
        context.note_unix_zero(clock.unix_zero());
        let server = Server::new(bootstrap, context);
        let mut router_loop = Self {
            server,
            poll_times: PollTimes::starting(clock.now()),
            clock,
            loop_handle,
            listener,
            clients: BTreeMap::new(),
            connections: BTreeMap::new(),
            redials: BTreeMap::new(),
            discovery: None,
            lingering: BTreeMap::new(),
            undrained: Vec::new(),
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

    /// Notes that a poll begins; returns how long it may wait for events, `None` for any time.
    fn begin_poll(&mut self) -> Option<Duration> {
        let next_timer = self.server.context().timers.first();
        let time_left = next_timer.map(|at| at.saturating_sub(self.clock.now()));
        let nothing_is_readable = self.readable_clients.is_empty()
            && self.readable_connections.is_empty()
            && self.undrained.is_empty();
        self.poll_times.poll_begins(&self.clock);
        if nothing_is_readable { time_left } else { Some(Duration::ZERO) }
    }

    /// Takes the time for the event that is handled next.
    fn update_time(&mut self) {
        self.poll_times.poll_ended(&self.clock);
        self.server.context().now = self.clock.now();
    }

    /// Handles what has become ready, in this order in whatever order it became so: that a client has left is
    /// known before there is capacity, and that an engine drains before anything is sent. Against floods of
    /// clients' lines, expired timers are handled before each line, each client has one line read before one has
    /// two, and the sockets are polled again after [`MAX_READS_PER_TURN`] lines.
    fn handle_events(&mut self) {
        self.scan_clients();
        for slot in std::mem::take(&mut self.undrained) {
            self.drain_lingering(slot);
        }
        if std::mem::take(&mut self.discovery_is_ready) {
            let zero = self.clock.unix_zero();
            self.server.context().note_unix_zero(zero);
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

    /// Counts and logs a turn that took long: what came meanwhile was handled late.
    fn note_turn(&mut self) {
        let took = self.poll_times.handling_time(&self.clock);
        if took >= LATE_TURN {
            let counters = &mut self.server.context().counters;
            counters.count("late_turns");
            let (requests, engines) =
                (self.server.dispatcher.requests.len(), self.server.dispatcher.engines.size());
            log::warn!("late turn: took={took:?} open_requests={requests} {engines:?}");
        }
    }

    fn read_clients(&mut self) {
        for _ in 0..MAX_READS_PER_TURN {
            self.handle_expired_timers();
            let Some(ready) = self.readable_clients.next() else { break };
            self.read_client(ready.slot, ready.received_since);
        }
        self.handle_expired_timers();
    }

    fn handle_expired_timers(&mut self) {
        loop {
            self.update_time();
            let now = self.server.context().now();
            let Some(timer) = self.server.context().timers.pop(now) else { break };
            self.before_timer(timer);
            self.server.timer_expired(timer);
            self.apply_changes();
        }
    }

    /// Does the sockets' part of an expired timer. What has arrived in time is read first, since the router itself
    /// may be late.
    fn before_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Client(slot) => self.read_client(slot, self.poll_times.earliest_arrival()),
            Timer::Attempt(attempt) => {
                if let Some(connection) = self.server.dispatcher.engines.connection_of(attempt) {
                    self.connection_ready(connection);
                }
            }
            Timer::Connection(slot) => self.connection_ready(slot),
            Timer::AnswerComplete(slot) => self.read_connection(slot),
            Timer::Discovery => self.discovery_timer_expired(),
            Timer::ResumeAccepting => self.resume_accepting(),
            Timer::ShutdownCheck => self.read_before_shutdown(),
            Timer::Reload => self.reload(),
            Timer::Linger(slot) => drop(self.lingering.remove(&slot)),
            Timer::Redial(slot) => self.redial_engine(slot),
            Timer::Wake | Timer::ConnectionIdle(_) | Timer::AdmissionQueue => {}
        }
    }

    /// Does what the server asks for, until it asks for nothing more.
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
