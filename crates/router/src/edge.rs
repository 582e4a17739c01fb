//! The loop and its sockets: what they bring is told to the front, and what that asks for is done. It decides
//! nothing.

use crate::bulletin;
use crate::clients::CROSSING;
use crate::clock::Clock;
use crate::deadlines::Due;
use crate::engines::Ask;
use crate::front::Front;
use crate::premises::Briefing;
use crate::ready::Ready;
use crate::ring::Filled;
use crate::slots::Slot;
use crate::wires::{Wire, listen};
use crate::works::Works;
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// Lines taken from clients in one turn of the loop.
const LINES: usize = 64;
/// The bulletin sends something each second; it is dialled again after so much silence, or so long after a
/// failure.
const SILENCE: Duration = Duration::from_millis(2500);
const AGAIN: Duration = Duration::from_millis(200);

pub struct Edge {
    front: Front,
    clock: Clock,
    ear: LoopHandle<'static, Edge>,
    clients: BTreeMap<Slot, Wire<Edge>>,
    links: BTreeMap<Slot, Wire<Edge>>,
    bulletin: Option<Wire<Edge>>,
    /// Clients that may have something to say, and connections to engines that have more than one turn took.
    unheard: Ready,
    unread: Vec<Slot>,
    /// When the sockets were last looked at, how long the work took that came before, and whether they are being
    /// looked at.
    looked: Duration,
    work: Duration,
    looking: bool,
    door: RegistrationToken,
    /// Reads the configuration.
    read: Box<dyn Fn() -> Result<Briefing, String>>,
}

impl Edge {
    /// Serves until a planned restart ends it. The configuration is read at the start and at each SIGHUP.
    pub fn run(read: impl Fn() -> Result<Briefing, String> + 'static) -> Result<(), String> {
        let briefing = read()?;
        let (premises, fault) =
            (&briefing.premises, |what: &str, e: &dyn std::fmt::Display| format!("{what}: {e}"));
        let mut event_loop = EventLoop::try_new().map_err(|e| fault("the loop", &e))?;
        let ear = event_loop.handle();
        let stops = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGUSR1])
            .map_err(|e| fault("signals", &e))?;
        let heard = |event: calloop::signals::Event, _: &mut (), edge: &mut Self| edge.signal(event.signal());
        ear.insert_source(stops, heard).map_err(|e| fault("signals", &e))?;
        let listener = listen(premises.listen, premises.descriptors);
        let listener = listener.map_err(|e| fault(&format!("listening on {}", premises.listen), &e))?;
        let address = listener.local_addr().map_err(|e| fault("listening", &e))?;
        log::info!("{} listens on {address}", premises.name);
        let listener = Rc::new(listener);
        let source = Generic::new(Rc::clone(&listener), Interest::READ, Mode::Level);
        let admits = move |_, _: &mut _, edge: &mut Self| Ok(edge.admit(&listener));
        let door = ear.insert_source(source, admits).map_err(|e| fault("listening", &e))?;
        let clock = Clock::starting(briefing.duties.warm_up);
        let works = Works { now: clock.now(), zero: clock.zero(), ..Works::default() };
        let mut edge = Self {
            front: Front::new(briefing, works),
            clock,
            ear,
            clients: BTreeMap::new(),
            links: BTreeMap::new(),
            bulletin: None,
            unheard: Ready::default(),
            unread: Vec::new(),
            looked: Duration::ZERO,
            work: Duration::ZERO,
            looking: false,
            door,
            read: Box::new(read),
        };
        edge.looked = edge.clock.now();
        edge.dial_bulletin();
        while !edge.front.left {
            let due = edge.front.works().deadlines.first().map(|at| at.saturating_sub(edge.clock.now()));
            let done = edge.unheard.is_empty() && edge.unread.is_empty();
            let wait = if done { due } else { Some(Duration::ZERO) };
            (edge.work, edge.looking) = (edge.clock.now().saturating_sub(edge.looked), true);
            event_loop.dispatch(wait, &mut edge).map_err(|e| fault("the loop", &e))?;
            edge.has_looked();
            edge.turn();
        }
        log::info!("counters at exit: {}", edge.front.floor.tally());
        // Guards against a signal told again while the process ends, which would end it as failed: what takes
        // signals stays until the end.
        std::mem::forget(event_loop);
        Ok(())
    }

    /// Takes the time for the input that follows.
    fn look_at_the_clock(&mut self) {
        self.has_looked();
        self.front.works().now = self.clock.now();
    }

    /// Takes the time when the sockets were looked at, the first time that this is called after.
    fn has_looked(&mut self) {
        if std::mem::take(&mut self.looking) {
            self.looked = self.clock.now();
        }
    }

    /// When what the sockets told last came at the earliest: it was not there the time before, and may have come
    /// during the work that followed. A task's patience counts from then.
    fn since(&self) -> Duration {
        self.looked.saturating_sub(self.work)
    }

    /// What follows the sockets in each turn of the loop. Guards against floods of clients' lines: before each,
    /// what falls due is done, a line that is known of waits for one of each other client at most, and all sockets
    /// are looked at again after `LINES`.
    fn turn(&mut self) {
        for slot in std::mem::take(&mut self.unread) {
            self.link_ready(slot);
        }
        for _ in 0..LINES {
            self.fall_due();
            let Some((slot, since)) = self.unheard.next() else { break };
            self.hear(slot, since);
        }
        self.fall_due();
        self.front.clear();
        self.carry_out();
    }

    fn fall_due(&mut self) {
        loop {
            self.look_at_the_clock();
            let now = self.front.works().now();
            let Some(due) = self.front.works().deadlines.pop(now) else { break };
            match due {
                // Guards against a router that is late itself: what came meanwhile counts.
                Due::Client(slot) => self.hear(slot, self.since()),
                Due::Hop(hop) => {
                    if let Some(link) = self.front.floor.engines.link_of(hop) {
                        self.link_ready(link);
                    }
                }
                Due::Link(slot) => self.link_ready(slot),
                Due::Whole(slot) => self.read_link(slot),
                Due::Bulletin => self.dial_bulletin(),
                Due::Admit => self.open_the_door(),
                Due::Wake | Due::Idle(_) | Due::Leave | Due::Door => {}
            }
            self.front.due(due);
            self.carry_out();
        }
    }

    /// Does what the front asks for, until it asks for nothing more.
    fn carry_out(&mut self) {
        loop {
            self.front.tell();
            let Front { floor, closed, .. } = &mut self.front;
            let asks = std::mem::take(&mut floor.engines.asks);
            let unsent = std::mem::take(&mut floor.engines.unsent);
            let unsaid = std::mem::take(&mut floor.clients.unsaid);
            let closed = std::mem::take(closed);
            if asks.is_empty() && unsent.is_empty() && unsaid.is_empty() && closed.is_empty() {
                return;
            }
            for ask in asks {
                match ask {
                    Ask::Close(slot) => drop(self.links.remove(&slot)),
                    Ask::Dial(slot, to) => {
                        match Wire::dial(&self.ear, to, move |edge: &mut Self| edge.link_ready(slot)) {
                            Ok(wire) => drop(self.links.insert(slot, wire)),
                            Err(error) => {
                                log::info!("no connection to {to}: {error}");
                                let floor = &mut self.front.floor;
                                floor.engines.refused(slot, false, &error.to_string(), &mut floor.works);
                            }
                        }
                    }
                }
            }
            unsent.into_iter().for_each(|slot| self.flush_link(slot));
            for slot in unsaid {
                if !self.flush_client(slot) {
                    self.front.client_gone(slot, "it can't be written to");
                }
            }
            for (slot, mut words) in closed {
                // What its socket does not take at once is lost with it.
                if let Some(wire) = self.clients.remove(&slot) {
                    let _ = words.drain(&mut &*wire.socket);
                    if log::log_enabled!(log::Level::Debug) {
                        let unread = wire.socket.peek(&mut [0; 4096]).unwrap_or_default();
                        let unsaid = words.len();
                        if unread + unsaid > 0 {
                            log::debug!(
                                "client {slot:?}: {unsaid} bytes not said, {unread} or more not read"
                            );
                        }
                    }
                }
            }
        }
    }

    // ---- clients ----

    /// Takes new connections in. Where there is no room, the one that has been idle longest makes some;
    /// where none is, new ones wait a little with the kernel.
    fn admit(&mut self, listener: &TcpListener) -> PostAction {
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
                    let floor = &mut self.front.floor;
                    let slot = floor.clients.table.next();
                    match Wire::attend(&self.ear, socket, move |edge: &mut Self| edge.client_ready(slot)) {
                        Ok(wire) => {
                            let slot = self.front.admit();
                            log::debug!("client {slot:?} from {from}");
                            self.clients.insert(slot, wire);
                            self.client_ready(slot);
                        }
                        Err(error) => {
                            floor.works.counters.count("clients_not_admitted");
                            log::warn!("a client was not admitted: {error}");
                        }
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return PostAction::Continue,
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted) => {}
                Err(error) => {
                    self.front.works().counters.count("accepts_failed");
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
        self.front.floor.clients.table.len() >= self.front.floor.premises.most_clients()
    }

    /// The client that has been idle for longest, as its socket shows as well. Guards against tasks that stood
    /// there unread: a connection was closed with what counts as taken.
    fn idlest(&mut self) -> Option<Slot> {
        loop {
            let now = self.front.works().now();
            let slot = self.front.floor.clients.idlest(now)?;
            self.hear(slot, self.since());
            if self.front.floor.clients.idlest(now) == Some(slot) {
                return Some(slot);
            }
        }
    }

    fn make_room(&mut self, slot: Slot) {
        self.front.works().counters.count("clients_closed_for_room");
        self.front.client_gone(slot, "idle, to make room");
        self.carry_out();
    }

    fn open_the_door(&mut self) {
        if let Err(error) = self.ear.enable(&self.door) {
            log::error!("no connection is accepted any more: {error}");
            self.front.works().counters.must(false, "a_closed_door");
        }
    }

    fn pause(&mut self) -> PostAction {
        let works = self.front.works();
        works.counters.count("accepts_paused");
        works.deadlines.set(works.now() + CROSSING, Due::Admit);
        PostAction::Disable
    }

    fn client_ready(&mut self, slot: Slot) {
        self.has_looked();
        self.unheard.add(slot, self.since());
    }

    /// Hears the next line of a client, which came at `since` at the earliest.
    fn hear(&mut self, slot: Slot, since: Duration) {
        self.look_at_the_clock();
        let Some(socket) = self.clients.get(&slot).map(|wire| Rc::clone(&wire.socket)) else { return };
        if !self.flush_client(slot) {
            self.front.client_gone(slot, "it can't be written to");
            return self.carry_out();
        }
        if self.front.hear(slot, since, &mut &*socket, || !matches!(socket.take_error(), Ok(None))) {
            self.unheard.add(slot, self.front.floor.works.now());
        }
        self.carry_out();
    }

    /// Writes what is to be said to a client; tells whether it could be written to.
    fn flush_client(&mut self, slot: Slot) -> bool {
        let Some(wire) = self.clients.get(&slot) else { return true };
        self.front.floor.clients.drain(slot, &mut &*wire.socket).is_ok()
    }

    // ---- engines ----

    /// The connection's socket has changed.
    fn link_ready(&mut self, slot: Slot) {
        self.look_at_the_clock();
        let Some(wire) = self.links.get(&slot) else { return };
        let floor = &mut self.front.floor;
        if floor.engines.is_up(slot) == Some(false) {
            match wire.has_come_up() {
                Ok(false) => return,
                Ok(true) => floor.engines.came_up(slot, &mut floor.works),
                Err(error) => {
                    let there = error.kind() == io::ErrorKind::ConnectionReset;
                    floor.engines.refused(slot, there, &error.to_string(), &mut floor.works);
                    return self.carry_out();
                }
            }
        }
        self.flush_link(slot);
        self.read_link(slot);
        self.carry_out();
    }

    fn flush_link(&mut self, slot: Slot) {
        let Some(wire) = self.links.get(&slot) else { return };
        let floor = &mut self.front.floor;
        if let Err(error) = floor.engines.drain(slot, &mut &*wire.socket) {
            // Answers may have come before the engine closed.
            floor.engines.read(slot, &mut &*wire.socket, &mut floor.works);
            floor.engines.lose(slot, &error.to_string(), true, &mut floor.works);
        }
    }

    fn read_link(&mut self, slot: Slot) {
        let Some(wire) = self.links.get(&slot) else { return };
        let floor = &mut self.front.floor;
        if floor.engines.read(slot, &mut &*wire.socket, &mut floor.works) {
            self.unread.push(slot);
        }
    }

    // ---- the bulletin ----

    fn dial_bulletin(&mut self) {
        self.front.bulletin = self.front.bulletin.anew();
        self.front.works().counters.count("bulletin_dialled");
        self.bulletin = None;
        match Wire::dial(&self.ear, self.front.floor.premises.bulletin, Self::bulletin_ready) {
            Ok(wire) => {
                self.bulletin = Some(wire);
                self.expect_bulletin(SILENCE);
            }
            Err(_) => self.expect_bulletin(AGAIN),
        }
    }

    /// The bulletin is dialled anew unless this is put off in time.
    fn expect_bulletin(&mut self, wait: Duration) {
        let Front { bulletin, floor, .. } = &mut self.front;
        floor.works.deadlines.clear(bulletin.due, Due::Bulletin);
        bulletin.due = floor.works.now() + wait;
        floor.works.deadlines.set(bulletin.due, Due::Bulletin);
    }

    fn bulletin_ready(&mut self) {
        self.look_at_the_clock();
        if let Err(why) = self.read_bulletin() {
            if self.front.bulletin.greeted {
                log::info!("bulletin: {why}");
            }
            self.front.works().counters.count("bulletin_lost");
            self.bulletin = None;
            self.expect_bulletin(AGAIN);
        }
        self.carry_out();
    }

    fn read_bulletin(&mut self) -> Result<(), String> {
        loop {
            let Some(wire) = &self.bulletin else { return Ok(()) };
            let socket = Rc::clone(&wire.socket);
            if !self.front.bulletin.greeted {
                if !wire.has_come_up().map_err(|e| e.to_string())? {
                    return Ok(());
                }
                let last = self.front.bulletin.last.to_be_bytes();
                (&*socket).write_all(&last).map_err(|e| e.to_string())?;
                self.front.bulletin.greeted = true;
            }
            let input = &mut self.front.bulletin.input;
            let filled = input.fill(&mut &*socket, 2 * bulletin::MOST_BYTES).map_err(|e| e.to_string())?;
            if self.front.bulletin_heard()? {
                self.expect_bulletin(SILENCE);
            }
            match filled {
                Filled::Closed => return Err("closed".into()),
                Filled::Drained => return Ok(()),
                Filled::Enough => {}
            }
        }
    }

    /// The configuration anew: the bulletin's address and the operator's file take effect, all else takes a
    /// restart. Open tasks, connections and what was learned stay. Guards against files that are written wrong
    /// under load: they change nothing.
    fn reload(&mut self) {
        match (self.read)() {
            Ok(Briefing { premises, orders, .. }) => {
                self.front.reorder(orders.teams);
                log::info!("configuration read anew, bulletin at {}", premises.bulletin);
                self.front.works().counters.count("reloads");
                self.front.floor.premises.bulletin = premises.bulletin;
                self.dial_bulletin();
            }
            Err(error) => {
                log::error!("configuration not read anew, the old one stays: {error}");
                self.front.works().counters.count("reloads_refused");
            }
        }
    }

    fn signal(&mut self, signal: Signal) {
        self.look_at_the_clock();
        log::info!("counters: {}", self.front.floor.tally());
        match signal {
            Signal::SIGHUP => self.reload(),
            Signal::SIGUSR1 => {}
            _ => self.front.close(),
        }
        self.carry_out();
    }
}
