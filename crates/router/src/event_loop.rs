//! The loop and its sockets: what they bring is told to the server, and what that asks for is done. It decides
//! nothing.

use crate::bootstrap::Bootstrap;
use crate::clients::CROSSING;
use crate::clock::Clock;
use crate::context::Context;
use crate::discovery;
use crate::engine_pool::PoolCommand;
use crate::ready_list::ReadyList;
use crate::ring::Filled;
use crate::server::Server;
use crate::slots::Slot;
use crate::sockets::{RegisteredSocket, listen};
use crate::timers::Timer;
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Lines taken from clients in one turn of the loop.
const LINES: usize = 64;
/// The discovery service sends something each second; it is dialled again after so much silence, or so long after a
/// failure.
const SILENCE: Duration = Duration::from_millis(2500);
const AGAIN: Duration = Duration::from_millis(200);
/// What the discovery service has to tell counts as told 4 s after it stopped: a connection that has not come up within this
/// leaves time for another.
const COMES_UP: Duration = Duration::from_secs(1);
/// A configuration that makes no sense at SIGHUP may still be being written for so long: what the discovery service has to
/// tell counts as told 4 s after.
const WRITTEN: Duration = Duration::from_secs(3);

pub struct RouterLoop {
    server: Server,
    clock: Clock,
    loop_handle: LoopHandle<'static, RouterLoop>,
    clients: BTreeMap<Slot, RegisteredSocket<RouterLoop>>,
    connections: BTreeMap<Slot, RegisteredSocket<RouterLoop>>,
    discovery: Option<RegisteredSocket<RouterLoop>>,
    /// Connections closed to clients, of which something may stand unread.
    parting: BTreeMap<Slot, RegisteredSocket<RouterLoop>>,
    /// Those of them that had more than one turn took.
    not_read_out: Vec<Slot>,
    /// Clients that may have something to say, and connections to engines that have something to be read.
    unheard: ReadyList,
    unread: BTreeSet<Slot>,
    /// What else the sockets and signals told that was not looked at yet: clients that have said something or
    /// left, the discovery service, connections that wait to be accepted.
    pending_reads: Vec<Slot>,
    told: bool,
    connections_pending: bool,
    signals: Vec<Signal>,
    /// When the sockets were last looked at, how long the work took that came before, and whether they are being
    /// looked at.
    looked: Duration,
    work: Duration,
    looking: bool,
    listener_token: RegistrationToken,
    listener: Rc<TcpListener>,
    /// Reads the configuration; and if it made no sense, when it is read again, and when for the last time.
    read: Box<dyn Fn() -> Result<Bootstrap, String>>,
    again: Option<(Duration, Duration)>,
}

impl RouterLoop {
    /// Serves until a planned restart ends it. The configuration is read at the start and at each SIGHUP.
    pub fn run(read: impl Fn() -> Result<Bootstrap, String> + 'static) -> Result<(), String> {
        let bootstrap = read()?;
        bootstrap.unread.iter().for_each(|unread| log::warn!("{unread}, so it goes unread"));
        let (config, fault) =
            (&bootstrap.config, |what: &str, e: &dyn std::fmt::Display| format!("{what}: {e}"));
        let mut event_loop = EventLoop::try_new().map_err(|e| fault("the loop", &e))?;
        let loop_handle = event_loop.handle();
        let stops = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGUSR1])
            .map_err(|e| fault("signals", &e))?;
        let heard = |event: calloop::signals::Event, _: &mut (), router_loop: &mut Self| {
            router_loop.signals.push(event.signal())
        };
        loop_handle.insert_source(stops, heard).map_err(|e| fault("signals", &e))?;
        let listener = listen(config.listen, config.descriptors);
        let listener = listener.map_err(|e| fault(&format!("listening on {}", config.listen), &e))?;
        let address = listener.local_addr().map_err(|e| fault("listening", &e))?;
        log::info!("{} listens on {address}", config.name);
        let listener = Rc::new(listener);
        let source = Generic::new(Rc::clone(&listener), Interest::READ, Mode::Level);
        let admits = |_, _: &mut _, router_loop: &mut Self| {
            router_loop.connections_pending = true;
            Ok(PostAction::Continue)
        };
        let listener_token = loop_handle.insert_source(source, admits).map_err(|e| fault("listening", &e))?;
        let clock = Clock::starting(bootstrap.attempt_limits.warm_up);
        let context = Context { now: clock.now(), zero: clock.zero(), ..Context::default() };
        let mut router_loop = Self {
            server: Server::new(bootstrap, context),
            clock,
            loop_handle,
            clients: BTreeMap::new(),
            connections: BTreeMap::new(),
            discovery: None,
            parting: BTreeMap::new(),
            not_read_out: Vec::new(),
            unheard: ReadyList::default(),
            unread: BTreeSet::new(),
            pending_reads: Vec::new(),
            told: false,
            connections_pending: false,
            signals: Vec::new(),
            looked: Duration::ZERO,
            work: Duration::ZERO,
            looking: false,
            listener_token,
            listener,
            read: Box::new(read),
            again: None,
        };
        router_loop.looked = router_loop.clock.now();
        router_loop.dial_discovery();
        while !router_loop.server.left {
            let due = router_loop
                .server
                .context()
                .timers
                .first()
                .map(|at| at.saturating_sub(router_loop.clock.now()));
            let done = router_loop.unheard.is_empty()
                && router_loop.unread.is_empty()
                && router_loop.not_read_out.is_empty();
            let wait = if done { due } else { Some(Duration::ZERO) };
            (router_loop.work, router_loop.looking) =
                (router_loop.clock.now().saturating_sub(router_loop.looked), true);
            event_loop.dispatch(wait, &mut router_loop).map_err(|e| fault("the loop", &e))?;
            router_loop.has_looked();
            router_loop.turn();
        }
        router_loop.take_leave(&mut event_loop);
        log::info!("counters at exit: {}", router_loop.server.dispatcher.tally());
        // Guards against a signal told again while the process ends, which would end it as failed: what takes
        // signals stays until the end.
        std::mem::forget(event_loop);
        Ok(())
    }

    /// Takes the time for the input that follows.
    fn look_at_the_clock(&mut self) {
        self.has_looked();
        self.server.context().now = self.clock.now();
    }

    /// Takes the time when the sockets were looked at, the first time that this is called after.
    fn has_looked(&mut self) {
        if std::mem::take(&mut self.looking) {
            self.looked = self.clock.now();
        }
    }

    /// When what the sockets told last came at the earliest: it was not there the time before, and may have come
    /// during the work that followed. A request's deadline counts from then.
    fn since(&self) -> Duration {
        self.looked.saturating_sub(self.work)
    }

    /// What follows the sockets in each turn of the loop, in this order whatever the order it came in: who has left
    /// is known before there is room, and what drains before anything is sent. Guards against floods of clients'
    /// lines: before each, what falls due is done, a line that is known of waits for one of each other client at
    /// most, and all sockets are looked at again after `LINES`.
    fn turn(&mut self) {
        self.peek();
        for slot in std::mem::take(&mut self.not_read_out) {
            self.read_out(slot);
        }
        if std::mem::take(&mut self.told) {
            self.discovery_ready();
        }
        for signal in std::mem::take(&mut self.signals) {
            self.signal(signal);
        }
        if std::mem::take(&mut self.connections_pending) {
            self.admit();
        }
        for slot in std::mem::take(&mut self.unread) {
            self.connection_ready(slot);
        }
        for _ in 0..LINES {
            self.fall_due();
            let Some((slot, since)) = self.unheard.next() else { break };
            self.hear(slot, since);
        }
        self.fall_due();
        self.server.clear();
        self.carry_out();
    }

    fn fall_due(&mut self) {
        loop {
            self.look_at_the_clock();
            let now = self.server.context().now();
            let Some(due) = self.server.context().timers.pop(now) else { break };
            match due {
                // Guards against a router that is late itself: what came meanwhile counts.
                Timer::Client(slot) => self.hear(slot, self.since()),
                Timer::Attempt(attempt) => {
                    if let Some(connection) = self.server.dispatcher.engines.connection_of(attempt) {
                        self.connection_ready(connection);
                    }
                }
                Timer::Connection(slot) => self.connection_ready(slot),
                Timer::Whole(slot) => self.read_connection(slot),
                Timer::Discovery => self.await_discovery(),
                Timer::Admit => self.resume_accepting(),
                Timer::Leave => self.look_around(),
                Timer::Reload => self.reload(),
                Timer::Part(slot) => drop(self.parting.remove(&slot)),
                Timer::Wake | Timer::Idle(_) | Timer::AdmissionQueue => {}
            }
            self.server.due(due);
            self.carry_out();
        }
    }

    /// Does what the server asks for, until it asks for nothing more.
    fn carry_out(&mut self) {
        loop {
            self.server.tell();
            let Server { dispatcher, closed, .. } = &mut self.server;
            let asks = std::mem::take(&mut dispatcher.engines.commands);
            let unsent = std::mem::take(&mut dispatcher.engines.pending_writes);
            let unsaid = std::mem::take(&mut dispatcher.clients.pending_writes);
            let closed = std::mem::take(closed);
            if asks.is_empty() && unsent.is_empty() && unsaid.is_empty() && closed.is_empty() {
                return;
            }
            for ask in asks {
                match ask {
                    PoolCommand::Close(slot) => drop(self.connections.remove(&slot)),
                    PoolCommand::Dial(slot, to) => {
                        match RegisteredSocket::dial(&self.loop_handle, to, move |router_loop: &mut Self| {
                            router_loop.connection_told(slot)
                        }) {
                            Ok(registered) => drop(self.connections.insert(slot, registered)),
                            Err(error) => {
                                log::info!("no connection to {to}: {error}");
                                let dispatcher = &mut self.server.dispatcher;
                                dispatcher.engines.dial_failed(
                                    slot,
                                    false,
                                    &error.to_string(),
                                    &mut dispatcher.context,
                                );
                            }
                        }
                    }
                }
            }
            unsent.into_iter().for_each(|slot| self.flush_connection(slot));
            for slot in unsaid {
                if !self.flush_client(slot) {
                    self.server.client_gone(slot, "it can't be written to");
                }
            }
            for (slot, mut words) in closed {
                // What its socket does not take at once is lost with it.
                if let Some(registered) = self.clients.remove(&slot) {
                    let _ = words.drain(&mut &*registered.socket);
                    let unread = registered.socket.peek(&mut [0; 4096]).unwrap_or_default();
                    let unsaid = words.len();
                    if unread + unsaid > 0 {
                        log::debug!("client {slot:?}: {unsaid} bytes not said, {unread} or more not read");
                    }
                    if unread > 0 {
                        self.part(slot, registered);
                    }
                }
            }
        }
    }

    // ---- clients ----

    /// Reads on for a little from a connection that is closed to its client. Guards against answers lost: a socket
    /// that is closed with something unread is reset, and takes what was said last with it.
    fn part(&mut self, slot: Slot, registered: RegisteredSocket<Self>) {
        let full = self.parting.len() >= self.server.dispatcher.config.most_parting();
        if full || registered.socket.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let context = self.server.context();
        context.counters.count("clients_read_out");
        context.timers.set(context.now() + CROSSING, Timer::Part(slot));
        self.parting.insert(slot, registered);
        self.read_out(slot);
    }

    /// Throws away what has come on a connection that is closed to its client.
    fn read_out(&mut self, slot: Slot) {
        match self.parting.get(&slot).map(|registered| read_out(&registered.socket)) {
            Some(Filled::Enough) => self.not_read_out.push(slot),
            Some(Filled::Closed) => drop(self.parting.remove(&slot)),
            Some(Filled::Drained) | None => {}
        }
    }

    /// Takes new connections in. Where there is no room, the one that has been idle longest makes some;
    /// where none is, new ones wait a little with the kernel.
    fn admit(&mut self) {
        let listener = Rc::clone(&self.listener);
        loop {
            self.look_at_the_clock();
            let idle = if self.is_full() { self.idlest() } else { None };
            if idle.is_none() && self.is_full() {
                return self.pause();
            }
            match listener.accept() {
                Ok((socket, from)) => {
                    if let Some(slot) = idle.filter(|_| self.is_full()) {
                        self.make_room(slot);
                    }
                    let dispatcher = &mut self.server.dispatcher;
                    let slot = dispatcher.clients.table.next();
                    match RegisteredSocket::attend(
                        &self.loop_handle,
                        socket,
                        move |router_loop: &mut Self| router_loop.client_told(slot),
                    ) {
                        Ok(registered) => {
                            let slot = self.server.admit();
                            log::debug!("client {slot:?} from {from}");
                            self.clients.insert(slot, registered);
                            self.client_told(slot);
                        }
                        Err(error) => {
                            dispatcher.context.counters.count("clients_not_admitted");
                            log::warn!("a client was not admitted: {error}");
                        }
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted) => {}
                Err(error) => {
                    self.server.context().counters.count("accepts_failed");
                    log::warn!("accept: {error}");
                    match idle.or_else(|| self.idlest()) {
                        Some(slot) => self.make_room(slot),
                        None => return self.pause(),
                    }
                }
            }
        }
    }

    fn is_full(&self) -> bool {
        self.server.dispatcher.clients.table.len() >= self.server.dispatcher.config.most_clients()
    }

    /// The client that has been idle for longest, as its socket shows as well. Guards against requests that stood
    /// there unread: a connection was closed with what counts as taken.
    fn idlest(&mut self) -> Option<Slot> {
        loop {
            let now = self.server.context().now();
            let slot = self.server.dispatcher.clients.longest_idle(now)?;
            self.hear(slot, self.since());
            if self.server.dispatcher.clients.longest_idle(now) == Some(slot) {
                return Some(slot);
            }
        }
    }

    fn make_room(&mut self, slot: Slot) {
        self.server.context().counters.count("clients_closed_for_room");
        self.server.client_gone(slot, "idle, to make room");
        self.carry_out();
    }

    fn resume_accepting(&mut self) {
        if let Err(error) = self.loop_handle.enable(&self.listener_token) {
            log::error!("no connection is accepted any more: {error}");
            self.server.context().counters.must(false, "a_closed_door");
        }
    }

    fn pause(&mut self) {
        let context = self.server.context();
        context.counters.count("accepts_paused");
        context.timers.set(context.now() + CROSSING, Timer::Admit);
        if let Err(error) = self.loop_handle.disable(&self.listener_token) {
            log::warn!("accepting can't pause: {error}");
        }
    }

    fn client_told(&mut self, slot: Slot) {
        self.has_looked();
        if self.parting.contains_key(&slot) {
            return self.read_out(slot);
        }
        self.unheard.add(slot, self.since());
        self.pending_reads.push(slot);
    }

    /// Looks at all that clients have said before anything else is done: some may have left.
    fn peek(&mut self) {
        if self.pending_reads.is_empty() {
            return;
        }
        self.look_at_the_clock();
        let slots = std::mem::take(&mut self.pending_reads);
        let socket = |slot| Some((slot, Reads(Rc::clone(&self.clients.get(&slot)?.socket))));
        let clients: Vec<_> = slots.into_iter().filter_map(socket).collect();
        self.server.peek(self.since(), clients);
        self.carry_out();
    }

    /// Hears the next line of a client, which came at `since` at the earliest.
    fn hear(&mut self, slot: Slot, since: Duration) {
        self.look_at_the_clock();
        let Some(socket) = self.clients.get(&slot).map(|registered| Rc::clone(&registered.socket)) else {
            return;
        };
        if !self.flush_client(slot) {
            self.server.client_gone(slot, "it can't be written to");
            return self.carry_out();
        }
        if self.server.hear(slot, since, &mut &*socket, || !matches!(socket.take_error(), Ok(None))) {
            self.unheard.add(slot, self.server.dispatcher.context.now());
        }
        self.carry_out();
    }

    /// Writes what is to be said to a client; tells whether it could be written to.
    fn flush_client(&mut self, slot: Slot) -> bool {
        let Some(registered) = self.clients.get(&slot) else { return true };
        self.server.dispatcher.clients.drain(slot, &mut &*registered.socket).is_ok()
    }

    // ---- engines ----

    fn connection_told(&mut self, slot: Slot) {
        self.unread.insert(slot);
    }

    /// The connection's socket has changed.
    fn connection_ready(&mut self, slot: Slot) {
        self.look_at_the_clock();
        let Some(registered) = self.connections.get(&slot) else { return };
        let dispatcher = &mut self.server.dispatcher;
        if dispatcher.engines.is_established(slot) == Some(false) {
            match registered.has_come_up() {
                Ok(false) => return,
                Ok(true) => dispatcher.engines.connection_established(slot, &mut dispatcher.context),
                Err(error) => {
                    let there = error.kind() == io::ErrorKind::ConnectionReset;
                    dispatcher.engines.dial_failed(slot, there, &error.to_string(), &mut dispatcher.context);
                    return self.carry_out();
                }
            }
        }
        self.flush_connection(slot);
        self.read_connection(slot);
        self.carry_out();
    }

    fn flush_connection(&mut self, slot: Slot) {
        let Some(registered) = self.connections.get(&slot) else { return };
        let dispatcher = &mut self.server.dispatcher;
        if let Err(error) = dispatcher.engines.drain(slot, &mut &*registered.socket) {
            // Answers may have come before the engine closed.
            dispatcher.engines.read(slot, &mut &*registered.socket, &mut dispatcher.context);
            dispatcher.engines.close_connection(slot, &error.to_string(), true, &mut dispatcher.context);
        }
    }

    fn read_connection(&mut self, slot: Slot) {
        let Some(registered) = self.connections.get(&slot) else { return };
        let dispatcher = &mut self.server.dispatcher;
        if dispatcher.engines.read(slot, &mut &*registered.socket, &mut dispatcher.context) {
            self.unread.insert(slot);
        }
    }

    // ---- the discovery service ----

    /// What the connection before has brought counts yet.
    fn dial_discovery(&mut self) {
        if let Err(why) = self.read_discovery() {
            log::debug!("bulletin, the connection before: {why}");
        }
        self.server.discovery = self.server.discovery.anew();
        self.server.context().counters.count("discovery_dialled");
        self.discovery = None;
        match RegisteredSocket::dial(
            &self.loop_handle,
            self.server.dispatcher.config.discovery,
            |router_loop: &mut Self| router_loop.told = true,
        ) {
            Ok(registered) => {
                self.discovery = Some(registered);
                self.expect_discovery(COMES_UP);
            }
            Err(_) => self.expect_discovery(AGAIN),
        }
    }

    /// The discovery service has said nothing in time, unless that stands unread: the router may be the one that is late.
    fn await_discovery(&mut self) {
        self.discovery_ready();
        if self.server.discovery.due <= self.server.dispatcher.context.now() {
            self.dial_discovery();
        }
    }

    /// The discovery service is dialled anew unless this is put off in time.
    fn expect_discovery(&mut self, wait: Duration) {
        let Server { discovery, dispatcher, .. } = &mut self.server;
        dispatcher.context.timers.clear(discovery.due, Timer::Discovery);
        discovery.due = dispatcher.context.now() + wait;
        dispatcher.context.timers.set(discovery.due, Timer::Discovery);
    }

    fn discovery_ready(&mut self) {
        self.look_at_the_clock();
        if let Err(why) = self.read_discovery() {
            if self.server.discovery.greeted {
                log::info!("bulletin: {why}");
            }
            self.server.context().counters.count("discovery_lost");
            self.discovery = None;
            self.expect_discovery(AGAIN);
        }
        self.carry_out();
    }

    fn read_discovery(&mut self) -> Result<(), String> {
        loop {
            let Some(registered) = &self.discovery else { return Ok(()) };
            let socket = Rc::clone(&registered.socket);
            if !self.server.discovery.greeted {
                if !registered.has_come_up().map_err(|e| e.to_string())? {
                    return Ok(());
                }
                let last = self.server.discovery.last.to_be_bytes();
                (&*socket).write_all(&last).map_err(|e| e.to_string())?;
                self.server.discovery.greeted = true;
                self.expect_discovery(SILENCE);
            }
            let input = &mut self.server.discovery.input;
            let filled = input.fill(&mut &*socket, 2 * discovery::MOST_BYTES).map_err(|e| e.to_string())?;
            if self.server.discovery_heard()? {
                self.expect_discovery(SILENCE);
            }
            match filled {
                Filled::Closed => return Err("closed".into()),
                Filled::Drained => return Ok(()),
                Filled::Enough => {}
            }
        }
    }

    /// The configuration anew: the discovery service's address and the operator's file take effect, all else takes a
    /// restart. Open requests, connections and what was learned stay. Guards against files that are written wrong
    /// under load, or are another router's: they change nothing. One may still be being written: it is looked at
    /// again for a while.
    fn reload(&mut self) {
        let bootstrap = (self.read)().and_then(|bootstrap| {
            let ours = bootstrap.config.name == self.server.dispatcher.config.name;
            let name = &bootstrap.config.name;
            if ours { Ok(bootstrap) } else { Err(format!("it is the configuration of `{name}`")) }
        });
        let before = self.again.take();
        let context = self.server.context();
        match bootstrap {
            Ok(Bootstrap { config, orders, .. }) => {
                context.counters.count("reloads");
                let changed = self.server.dispatcher.config.changed(&config);
                if !changed.is_empty() {
                    log::warn!(
                        "changed in the configuration, but not before a restart: {}",
                        changed.join(", ")
                    );
                }
                self.server.reorder(orders.teams);
                log::info!("configuration read anew, bulletin at {}", config.discovery);
                self.server.dispatcher.config.discovery = config.discovery;
                self.dial_discovery();
            }
            Err(error) => {
                let (now, last) = (context.now(), before.map(|(_, last)| last));
                let last = last.unwrap_or_else(|| {
                    log::error!("configuration not read anew, the old one stays: {error}");
                    context.counters.count("reloads_refused");
                    now + WRITTEN
                });
                if now < last {
                    context.timers.set(now + AGAIN, Timer::Reload);
                    self.again = Some((now + AGAIN, last));
                } else {
                    log::error!("configuration not looked at again: {error}");
                }
            }
        }
    }

    // ---- the end ----

    /// Before the process may end: nothing that clients have said stands in the sockets, or with the kernel.
    fn look_around(&mut self) {
        if self.server.is_done() {
            self.admit();
            let since = self.since();
            for slot in self.clients.keys().copied().collect::<Vec<_>>() {
                self.hear(slot, since);
            }
        }
        self.server.unheard = !self.unheard.is_empty();
    }

    /// Nothing is said any more. What crosses that is read out. Guards against answers lost: see `part`.
    fn take_leave(&mut self, event_loop: &mut EventLoop<'static, Self>) {
        let end = self.clock.now() + CROSSING;
        // Connections that still come are not waited for.
        let _ = self.loop_handle.disable(&self.listener_token);
        self.clients.retain(|_, registered| registered.socket.shutdown(Shutdown::Write).is_ok());
        loop {
            self.clients.retain(|_, registered| read_out(&registered.socket) != Filled::Closed);
            let left = end.saturating_sub(self.clock.now());
            if self.clients.is_empty() || left.is_zero() || event_loop.dispatch(left, self).is_err() {
                return;
            }
        }
    }

    fn signal(&mut self, signal: Signal) {
        self.look_at_the_clock();
        log::info!("counters: {}", self.server.dispatcher.tally());
        match signal {
            Signal::SIGHUP => {
                if let Some((due, _)) = self.again.take() {
                    self.server.context().timers.clear(due, Timer::Reload);
                }
                self.reload();
            }
            Signal::SIGUSR1 => {}
            _ => self.server.close(),
        }
        self.carry_out();
    }
}

/// What a socket brings.
struct Reads(Rc<TcpStream>);

impl Read for Reads {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        (&*self.0).read(into)
    }
}

/// Throws away what has come on a connection, of much a part at once.
fn read_out(socket: &TcpStream) -> Filled {
    let (mut socket, mut chunk) = (socket, [0; 4096]);
    for _ in 0..LINES {
        match socket.read(&mut chunk) {
            Ok(0) => return Filled::Closed,
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Filled::Drained,
            Err(_) => return Filled::Closed,
        }
    }
    Filled::Enough
}
