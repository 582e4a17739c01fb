//! Starts the router's binary between test peers on loopback: clients, engines and a discovery service.
//!
//! A test records what the peers receive in the transcript of its [`RouterHarness`] and compares that, together with
//! the counters that the router logs at exit, with the expected text.

pub mod client;
pub mod configuration;
pub mod discovery;
pub mod engine;
mod kernel;
pub mod log_lines;

pub use client::{
    LONG_REQUEST_TIMEOUT, REQUEST_TIMEOUT, TestClient, cancellation_line, filling_request, large_request,
    request, status_line,
};
pub use configuration::{
    CONNECT_TIMEOUT, ResourceLimits, TWO_TEAMS, long_deadline_settings, long_queueing_settings,
    minimal_configuration, ordinary_settings, settings, write_configuration_file,
};
pub use discovery::{
    TestDiscovery, change_frame, draining_engine, empty_list_frame, engine_of_unknown_kind, ready_engine,
    removed_engine, restarted_engine,
};
pub use engine::{ROWS, TestEngine};

use configuration::configuration_text;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::io::{BufRead, BufReader, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Time for which a test waits for an event before it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// The id of a client's first request in most tests.
const FIRST_REQUEST: u64 = 1;
/// Extension of the operator's file, which is in the directory of the configuration.
const OPERATOR_FILE_EXTENSION: &str = "json5";
/// Interval of polling a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A running router, the sockets its peers listen on, and the transcript of the test.
pub struct RouterHarness {
    pub process: Child,
    pub log: BufReader<ChildStderr>,
    pub address: SocketAddr,
    pub discovery_listener: TcpListener,
    pub engine_listeners: Vec<TcpListener>,
    pub configuration_path: PathBuf,
    /// The configuration that the router was started with.
    pub configuration_text: String,
    transcript: String,
}

/// The options with which a router is started.
struct StartOptions<'a> {
    log_level: &'a str,
    limits: ResourceLimits,
    /// The name of the test's files.
    name: &'a str,
    engine_count: usize,
    settings: &'a str,
    operator_text: Option<&'a str>,
}

impl<'a> StartOptions<'a> {
    fn new(name: &'a str, engine_count: usize, settings: &'a str) -> Self {
        let limits = ResourceLimits::default();
        Self { log_level: "info", limits, name, engine_count, settings, operator_text: None }
    }
}

/// Panics if two tests use the same name, since they would write the same files.
fn claim_name(name: &str) {
    static CLAIMED: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());
    let mut claimed = CLAIMED.lock().unwrap_or_else(PoisonError::into_inner);
    assert!(claimed.insert(name.to_owned()), "two routers are named `{name}`");
}

/// Returns a loopback address for each router, so that no router gets a port that another has released.
fn next_loopback_address() -> Ipv4Addr {
    static NEXT_SUBNET: AtomicU8 = AtomicU8::new(2);
    Ipv4Addr::new(127, 0, NEXT_SUBNET.fetch_add(1, Ordering::Relaxed), 1)
}

/// Returns the next connection to a listener.
pub fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).expect("a listener can be non-blocking");
    for _ in 0..TEST_TIMEOUT.as_millis() {
        if let Ok((socket, _)) = listener.accept() {
            socket.set_nonblocking(false).expect("a socket can be blocking");
            return with_test_timeout(socket);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("no connection within {TEST_TIMEOUT:?}");
}

/// Sets the options that every socket of a test peer has.
pub fn with_test_timeout(socket: TcpStream) -> TcpStream {
    socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket takes a read timeout");
    socket.set_nodelay(true).expect("a socket takes TCP_NODELAY");
    socket
}

/// Returns the address of a listener.
pub fn local_address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("a bound listener has an address")
}

/// Returns the local address of a connection.
pub fn local_address_of(socket: &TcpStream) -> SocketAddr {
    socket.local_addr().expect("a connected socket has an address")
}

/// Returns a command that runs the router's binary without settings from the environment.
pub fn router_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_emberflow"));
    command.env_remove("EDGE_CONFIG").env_remove("EDGE_LISTEN").env_remove("RUST_LOG");
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Starts a router with one engine and connects a client to it.
pub fn start_with_one_engine(name: &str, settings: &str) -> (RouterHarness, TestClient, TestEngine) {
    with_client_and_engine(RouterHarness::start(name, 1, settings))
}

/// Starts a router with one engine and an operator's file, and connects a client to it.
pub fn start_one_engine_with_operator_file(
    name: &str,
    settings: &str,
    text: &str,
) -> (RouterHarness, TestClient, TestEngine) {
    with_client_and_engine(RouterHarness::start_with_operator_file(name, 1, settings, text))
}

/// Starts a router with one engine and resource limits, and connects a client to it.
pub fn start_one_engine_with_limits(
    limits: ResourceLimits,
    name: &str,
    settings: &str,
) -> (RouterHarness, TestClient, TestEngine) {
    with_client_and_engine(RouterHarness::start_with_limits(limits, name, 1, settings))
}

/// Starts a router with two engines and sends it a non-idempotent request. The engine that receives the call comes first.
pub fn start_with_two_engines(name: &str) -> (RouterHarness, TestClient, Vec<TestEngine>) {
    let router = RouterHarness::start(name, 2, &ordinary_settings());
    let mut client = router.connect_client();
    client.send_request(FIRST_REQUEST, "post");
    let engines = router.two_engines_by_first_command();
    (router, client, engines)
}

/// Connects a client to a router and takes over its first engine.
pub fn with_client_and_engine(router: RouterHarness) -> (RouterHarness, TestClient, TestEngine) {
    let client = router.connect_client();
    let engine = router.engine(0);
    (router, client, engine)
}

/// Sends a request, which the engine answers with `rows`. Returns the client's answer.
pub fn serve_request(
    client: &mut TestClient,
    engine: &mut TestEngine,
    id: u64,
    class: &str,
    rows: &str,
) -> String {
    client.send_request(id, class);
    assert_eq!(engine.next_request(), id);
    engine.send_result(id, rows);
    client.read_line()
}

/// Serves the client's first request, which establishes a connection to the engine.
pub fn serve_first_request(client: &mut TestClient, engine: &mut TestEngine, class: &str) {
    serve_request(client, engine, FIRST_REQUEST, class, ROWS);
}

impl RouterHarness {
    /// Starts a router. `name` distinguishes the files of tests. Without engines, the endpoint list names an address on
    /// which nothing listens.
    pub fn start(name: &str, engine_count: usize, settings: &str) -> Self {
        Self::start_with_options(StartOptions::new(name, engine_count, settings))
    }

    /// Starts a router with an operator's file.
    pub fn start_with_operator_file(name: &str, engine_count: usize, settings: &str, text: &str) -> Self {
        let options = StartOptions::new(name, engine_count, settings);
        Self::start_with_options(StartOptions { operator_text: Some(text), ..options })
    }

    /// Starts a router with limits of memory and descriptors.
    pub fn start_with_limits(
        limits: ResourceLimits,
        name: &str,
        engine_count: usize,
        settings: &str,
    ) -> Self {
        let options = StartOptions::new(name, engine_count, settings);
        Self::start_with_options(StartOptions { limits, ..options })
    }

    /// Starts a router that also logs how it handles each line of its clients.
    pub fn start_with_debug_log(name: &str, engine_count: usize, settings: &str) -> Self {
        let options = StartOptions::new(name, engine_count, settings);
        Self::start_with_options(StartOptions { log_level: "debug", ..options })
    }

    fn start_with_options(options: StartOptions<'_>) -> Self {
        claim_name(options.name);
        let host = next_loopback_address();
        let listen = || TcpListener::bind((host, 0)).expect("a loopback port is free");
        let discovery_listener = listen();
        let engine_listeners: Vec<_> = (0..options.engine_count).map(|_| listen()).collect();
        let mut engine_addresses: Vec<_> = engine_listeners.iter().map(local_address).collect();
        if engine_addresses.is_empty() {
            let nothing_listens_here = (host, 1).into();
            engine_addresses.push(nothing_listens_here);
        }
        let discovery_address = local_address(&discovery_listener);
        let configuration_text =
            configuration_text(host, options.limits, discovery_address, &engine_addresses, options.settings);
        let configuration_path = write_configuration_file(options.name, &configuration_text);
        let mut command = router_command();
        command.arg("serve").arg("--config").arg(&configuration_path).env("RUST_LOG", options.log_level);
        if let Some(text) = options.operator_text {
            let path = configuration_path.with_extension(OPERATOR_FILE_EXTENSION);
            std::fs::write(&path, text).expect("the test directory is writable");
            command.arg("--operator").arg(&path);
        }
        let mut process = command.spawn().expect("the router's binary starts");
        let mut log = BufReader::new(process.stderr.take().expect("its standard error is piped"));
        let address = read_listen_address(&mut log);
        Self {
            process,
            log,
            address,
            discovery_listener,
            engine_listeners,
            configuration_path,
            configuration_text,
            transcript: String::new(),
        }
    }

    /// Connects clients.
    pub fn connect_clients(&self, count: usize) -> Vec<TestClient> {
        (0..count).map(|_| self.connect_client()).collect()
    }

    /// Connects a client.
    pub fn connect_client(&self) -> TestClient {
        let socket = TcpStream::connect(self.address).expect("the router listens");
        TestClient::new(with_test_timeout(socket))
    }

    /// Returns the engine at an index of the endpoint list.
    pub fn engine(&self, index: usize) -> TestEngine {
        TestEngine::new(&self.engine_listeners[index])
    }

    /// Returns the address of the engine at an index of the endpoint list.
    pub fn engine_address(&self, index: usize) -> SocketAddr {
        local_address(&self.engine_listeners[index])
    }

    /// Returns both engines of a router with two. The engine that receives the first command comes first.
    pub fn two_engines_by_first_command(&self) -> Vec<TestEngine> {
        let mut engines: Vec<_> = self.engine_listeners.iter().map(TestEngine::new).collect();
        let first = (0..)
            .map(|attempt| attempt % 2)
            .find(|index| engines[*index].has_command_within(POLL_INTERVAL))
            .expect("an endless search only ends with an engine");
        engines.rotate_left(first);
        engines
    }

    /// Accepts the router's connection to discovery, and records after which event the router resumes.
    pub fn accept_discovery(&mut self) -> TestDiscovery {
        let mut discovery = TestDiscovery::new(accept(&self.discovery_listener));
        let last_event = discovery.read_resume_event();
        self.record(format!("discovery dialled after event {last_event}"));
        discovery
    }

    /// Moves discovery to another port. Returns the configuration with the new address.
    pub fn move_discovery(&mut self) -> String {
        let host = local_address(&self.discovery_listener).ip();
        let moved = TcpListener::bind((host, 0)).expect("a loopback port is free");
        let previous = std::mem::replace(&mut self.discovery_listener, moved);
        let previous_address = local_address(&previous).to_string();
        let moved_address = local_address(&self.discovery_listener).to_string();
        self.configuration_text.replace(&previous_address, &moved_address)
    }

    /// Refuses further connections to discovery. Returns the address on which discovery listened.
    pub fn close_discovery_listener(&mut self) -> SocketAddr {
        let address = local_address(&self.discovery_listener);
        let unused = TcpListener::bind((address.ip(), 0)).expect("a loopback port is free");
        drop(std::mem::replace(&mut self.discovery_listener, unused));
        address
    }

    /// Accepts connections to discovery at an address again.
    pub fn listen_for_discovery(&mut self, address: SocketAddr) {
        self.discovery_listener = TcpListener::bind(address).expect("the address was released before");
    }

    /// Writes the configuration, and has the router reload it.
    pub fn reload_configuration(&self, text: &str) {
        self.write_configuration(text);
        self.signal("-HUP");
    }

    /// Writes the configuration that the router reads at its next reload.
    pub fn write_configuration(&self, text: &str) {
        std::fs::write(&self.configuration_path, text).expect("the test directory is writable");
    }

    /// Writes the operator's file, and has the router reload it.
    pub fn reload_operator_file(&self, text: &str) {
        let path = self.configuration_path.with_extension(OPERATOR_FILE_EXTENSION);
        std::fs::write(path, text).expect("the test directory is writable");
        self.signal("-HUP");
    }

    /// Adds a line to the transcript.
    pub fn record(&mut self, line: impl Display) -> &mut Self {
        self.transcript.push_str(&format!("{line}\n"));
        self
    }

    /// Adds the next command sent to an engine to the transcript.
    pub fn record_command(&mut self, engine: &mut TestEngine) -> &mut Self {
        self.record(engine.next_command())
    }

    /// Adds the next commands sent to an engine to the transcript.
    pub fn record_commands(&mut self, engine: &mut TestEngine, count: usize) -> &mut Self {
        for _ in 0..count {
            self.record_command(engine);
        }
        self
    }

    /// Adds the next line sent to a client to the transcript.
    pub fn record_answer(&mut self, client: &mut TestClient) -> &mut Self {
        self.record(client.read_line())
    }

    /// Sends a request, and adds the next command sent to the engine to the transcript.
    pub fn record_forwarded(
        &mut self,
        client: &mut TestClient,
        engine: &mut TestEngine,
        id: u64,
        class: &str,
    ) -> &mut Self {
        client.send_request(id, class);
        self.record_command(engine)
    }

    /// Has the engine answer a request with `rows`, and adds the client's answer to the transcript.
    pub fn record_result(
        &mut self,
        client: &mut TestClient,
        engine: &mut TestEngine,
        id: u64,
        rows: &str,
    ) -> &mut Self {
        engine.send_result(id, rows);
        self.record_answer(client)
    }

    /// Sends a request, which the engine answers with `rows`. Adds the call and the answer to the transcript.
    pub fn record_served(
        &mut self,
        client: &mut TestClient,
        engine: &mut TestEngine,
        id: u64,
        class: &str,
        rows: &str,
    ) -> &mut Self {
        self.record_forwarded(client, engine, id, class).record_result(client, engine, id, rows)
    }

    /// Adds the next lines sent to a client to the transcript.
    pub fn record_answers(&mut self, client: &mut TestClient, count: usize) -> &mut Self {
        for _ in 0..count {
            self.record_answer(client);
        }
        self
    }

    /// Answers the further calls to an engine, and records their requests in ascending order; see
    /// [`TestEngine::answer_calls`].
    pub fn record_further_calls(&mut self, engine: &mut TestEngine, awaited: usize) -> &mut Self {
        let mut requests = engine.answer_calls(awaited);
        requests.sort_unstable();
        self.record(format!("further calls: {requests:?}"))
    }

    /// Returns the id of an engine in the endpoint list.
    pub fn number_of(&self, engine: &TestEngine) -> u32 {
        let address = engine.address();
        let index = self.engine_listeners.iter().position(|listener| local_address(listener) == address);
        index.expect("the engine is one of this router's") as u32
    }

    /// Sends the router a signal, as an option of `kill`: `-TERM`.
    pub fn signal(&self, signal: &str) {
        let mut kill = Command::new("kill");
        kill.arg(signal).arg(self.process.id().to_string());
        kill.status().expect("`kill` is installed");
    }

    /// Waits until the router logs a line that contains `awaited`.
    pub fn wait_for_log(&mut self, awaited: &str) {
        self.count_log_lines_before(awaited, awaited);
    }

    /// Waits until the router logs a line that contains `awaited`. Returns the number of earlier lines that contain
    /// `counted`.
    pub fn count_log_lines_before(&mut self, awaited: &str, counted: &str) -> usize {
        let mut count = 0;
        let mut line = String::new();
        while !line.contains(awaited) {
            count += usize::from(line.contains(counted));
            line.clear();
            let length = self.log.read_line(&mut line).expect("the log is UTF-8");
            assert_ne!(length, 0, "the router ended before it logged `{awaited}`");
        }
        count
    }

    /// Stops the process.
    pub fn stop(&self) {
        self.signal("-STOP");
        while self.process_state() != 'T' {
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Continues the stopped process.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Stops the process while `action` runs and until all bytes sent by `action` have arrived. The router then finds
    /// all of them in the same iteration.
    pub fn while_stopped<T>(&self, action: impl FnOnce(&Self) -> T) -> T {
        self.stop();
        let result = action(self);
        self.wait_until_delivered();
        self.resume();
        result
    }

    /// Shuts the router down gracefully. Returns the transcript, which ends with the exit status and with those of the
    /// named counters that are not 0.
    pub fn finish(&mut self, counters: &[&str]) -> String {
        if self.process.try_wait().expect("the process can be waited for").is_none() {
            self.signal("-TERM");
        }
        let status = self.process.wait().expect("the process can be waited for");
        let mut log = String::new();
        self.log.read_to_string(&mut log).expect("the log is UTF-8");
        let at_exit =
            log.lines().rfind(|line| line.contains(log_lines::COUNTERS_AT_EXIT)).unwrap_or_default();
        let is_named =
            |counter: &&str| counter.split('=').next().is_some_and(|name| counters.contains(&name));
        let values: Vec<&str> = at_exit.split(' ').filter(is_named).collect();
        self.record(format!("exit status {:?}: {}", status.code(), values.join(" ")));
        std::mem::take(&mut self.transcript)
    }
}

impl Drop for RouterHarness {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Returns the address at the end of the first line that a router logs.
fn read_listen_address(log: &mut impl BufRead) -> SocketAddr {
    let mut line = String::new();
    log.read_line(&mut line).expect("the log is UTF-8");
    let address = line.trim().rsplit('=').next().and_then(|word| word.parse().ok());
    address.unwrap_or_else(|| panic!("the first line of the log holds no address: {line}"))
}
