//! A scenario: a server and its peers, whose steps are drawn from a seed.

use crate::clients::Client;
use crate::configuration::{OPERATORS_FILES, bootstrap, configuration};
use crate::engines::Connection;
use crate::random::RandomSource;
use crate::recorder::Recorder;
use crate::streams::StreamEnd;
use emberflow_router::context::Context;
use emberflow_router::engine_pool::PoolCommand;
use emberflow_router::server::{ClosedClient, Server};
use emberflow_router::slots::Slot;
use emberflow_router::timers::Timer;
use std::collections::BTreeMap;
use std::time::Duration;

const STEPS_PER_SCENARIO: u64 = 500;
/// The step after which a graceful shutdown may begin.
const SHUTDOWN_STEP: u64 = STEPS_PER_SCENARIO * 3 / 5;
/// The time at the start of a scenario.
const START: Duration = Duration::from_secs(20);

/// A server with its peers.
pub struct Scenario<'a> {
    pub random: RandomSource,
    pub recorder: &'a mut Recorder,
    pub server: Server,
    pub clients: Vec<Client>,
    pub connections: BTreeMap<Slot, Connection>,
    /// The number of connections that clients and the server have opened.
    pub connection_count: u64,
    /// The name of the next request, as a number.
    pub next_req: u64,
    /// The number of calls that engines received for each request, by the request's name.
    pub calls_by_request: BTreeMap<String, u64>,
    /// Bytes from the discovery service that the server has not received yet.
    pub discovery_input: Vec<u8>,
    /// The number of the next event of the endpoint list.
    pub next_event: u64,
    /// The start times of the engines in milliseconds, as the endpoint list gives them; 0 if it gives none.
    pub up_since_ms: [u64; 4],
    is_shutting_down: bool,
}

impl<'a> Scenario<'a> {
    pub fn new(seed: u64, recorder: &'a mut Recorder) -> Self {
        let mut random = RandomSource(seed);
        let file = configuration(&mut random, seed);
        let operators_file = (seed % 4 >= 2).then(|| OPERATORS_FILES[seed as usize % 2]);
        let context = Context { now: START, ..Context::default() };
        let mut scenario = Self {
            server: Server::new(bootstrap(&file, operators_file), context),
            random,
            recorder,
            clients: Vec::new(),
            connections: BTreeMap::new(),
            connection_count: 0,
            next_req: 1,
            calls_by_request: BTreeMap::new(),
            discovery_input: Vec::new(),
            next_event: 1,
            up_since_ms: [0; 4],
            is_shutting_down: false,
        };
        scenario.send_endpoint_list(true);
        scenario.deliver_from_discovery(usize::MAX);
        scenario
    }

    pub fn run(mut self) {
        for step in 0..STEPS_PER_SCENARIO {
            self.recorder.record("step", step, &[]);
            self.step();
            self.carry_out();
            self.server.close_finished_clients();
            self.carry_out();
            self.record_next_timer();
            if self.server.has_stopped() {
                self.recorder.count("processes ended");
                break;
            }
            if step == SHUTDOWN_STEP && self.random.one_in(2) {
                self.shut_down();
            }
        }
        let has_open_requests = !self.server.dispatcher.requests.is_empty();
        self.recorder.record("end", u64::from(self.server.has_stopped()), &[u8::from(has_open_requests)]);
        let counters = self.server.dispatcher.context.counters.to_string();
        for (name, count) in counters.split(' ').filter_map(|counter| counter.split_once('=')) {
            *self.recorder.server_counters.entry(name.into()).or_default() +=
                count.parse::<u64>().expect("a count");
        }
    }

    fn step(&mut self) {
        match self.random.below(100) {
            0..4 => self.admit(),
            4..22 => self.client_sends_requests(),
            22..26 => self.client_sends_other_line(),
            26..44 => self.client_input_arrives(StreamEnd::WouldBlock),
            44..46 => self.client_resumes_reading(),
            46 => self.client_input_arrives(StreamEnd::EndOfStream),
            47 => self.client_input_arrives(StreamEnd::Reset),
            48..58 => self.connection_is_established(),
            58..74 => self.engine_responds(),
            74..83 => self.connection_input_arrives(StreamEnd::WouldBlock),
            83 if self.random.one_in(3) => self.connection_input_arrives(StreamEnd::Reset),
            84 if self.random.one_in(3) => self.connection_input_arrives(StreamEnd::EndOfStream),
            85 => self.endpoint_list_changes(),
            86 => {
                let count = self.random.below(120) as usize;
                self.deliver_from_discovery(count);
            }
            87 if self.random.one_in(4) => self.reload(),
            88..98 => self.advance_time(30),
            98 => self.advance_time(250),
            99 if self.random.one_in(4) => self.advance_time(2500),
            _ => self.advance_time(8),
        }
    }

    fn reload(&mut self) {
        let texts = [None, Some(OPERATORS_FILES[0]), Some(OPERATORS_FILES[1])];
        let text = self.random.pick(&texts);
        let file = configuration(&mut RandomSource(1), 1);
        self.server.apply_teams(bootstrap(&file, text).operator_config.teams);
        self.recorder.count("reloads");
    }

    /// Advances the time by less than `max_ms`. Timers expire on time or slightly late.
    fn advance_time(&mut self, max_ms: u64) {
        let end =
            self.server.dispatcher.context.now() + Duration::from_micros(self.random.below(max_ms * 1000));
        while let Some(at) = self.server.dispatcher.context.timers.next_expiry().filter(|at| *at <= end) {
            let late = Duration::from_micros(self.random.pick(&[0, 0, 0, 700]));
            let now = self.server.dispatcher.context.now().max(at + late);
            self.server.dispatcher.context.now = now;
            while let Some(due) = self.server.dispatcher.context.timers.pop(now) {
                self.fire_timer(due);
            }
            self.record_next_timer();
        }
        self.server.dispatcher.context.now = self.server.dispatcher.context.now().max(end);
    }

    /// Handles a timer that has expired. Before that, handles the unread input of the timer's client, as the event loop
    /// does, or writes the output of the connection of the timer's attempt.
    fn fire_timer(&mut self, timer: Timer) {
        match timer {
            Timer::ClientIdleCheck(slot) => self.read_client(slot, &[], StreamEnd::WouldBlock),
            Timer::AttemptDeadline(attempt) => {
                if let Some(connection) = self.server.dispatcher.engines.connection_of(attempt) {
                    self.flush_connection(connection);
                }
            }
            _ => {}
        }
        self.server.timer_expired(timer);
        self.carry_out();
    }

    fn shut_down(&mut self) {
        if !self.is_shutting_down {
            self.is_shutting_down = true;
            self.server.begin_shutdown();
            self.carry_out();
            self.recorder.count("graceful shutdowns");
        }
    }

    fn record_next_timer(&mut self) {
        let first = self.server.dispatcher.context.timers.next_expiry();
        let first = first.map_or(u64::MAX, |at| at.as_micros() as u64);
        self.recorder.record("due", first, &[]);
    }

    /// Carries out the server's pending writes, dials and closes, until none are left.
    pub fn carry_out(&mut self) {
        loop {
            self.server.process_events();
            let commands = std::mem::take(&mut self.server.dispatcher.engines.commands);
            let connections_to_flush = std::mem::take(&mut self.server.dispatcher.engines.pending_writes);
            let clients_to_flush = std::mem::take(&mut self.server.dispatcher.clients.pending_writes);
            let closed_clients = std::mem::take(&mut self.server.closed_clients);
            if commands.is_empty()
                && connections_to_flush.is_empty()
                && clients_to_flush.is_empty()
                && closed_clients.is_empty()
            {
                return;
            }
            for command in commands {
                self.carry_out_command(command);
            }
            for slot in connections_to_flush {
                self.flush_connection(slot);
            }
            for slot in clients_to_flush {
                self.flush_client(slot);
            }
            for client in closed_clients {
                self.remove_client(client);
            }
        }
    }

    /// Records the last output of a closed client and removes the client.
    fn remove_client(&mut self, closed: ClosedClient) {
        let ClosedClient { slot, mut output } = closed;
        let Some(index) = self.clients.iter().position(|client| client.slot == slot) else { return };
        let mut written = Vec::new();
        output.write_to(&mut written).expect("writing to memory does not fail");
        let number = self.clients[index].number;
        self.record_client_bytes(number, &written);
        self.recorder.record("close client", number, &[]);
        self.recorder.count("clients closed");
        self.clients.remove(index);
    }

    fn carry_out_command(&mut self, command: PoolCommand) {
        match command {
            PoolCommand::Dial(slot, address) => {
                self.connection_count += 1;
                let number = self.connection_count;
                self.recorder.record("dial", number, address.to_string().as_bytes());
                self.recorder.count("connections dialled");
                self.connections.insert(slot, Connection::new(number));
            }
            PoolCommand::Close(slot) => {
                if let Some(connection) = self.connections.remove(&slot) {
                    self.recorder.record("close link", connection.number, &[]);
                    self.recorder.count("connections closed");
                }
            }
        }
    }
}
