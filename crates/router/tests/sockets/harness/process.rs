//! The router's process: starts, signals, stops and reloads it, and reads its log.

use super::configuration::{ResourceLimits, configuration_text, write_configuration_file};
use super::sockets::{POLL_INTERVAL, local_address};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Mutex, PoisonError};

/// Extension of the operator's file, which is in the directory of the configuration.
const OPERATOR_FILE_EXTENSION: &str = "json5";

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
    pub transcript: String,
}

/// The log level of a router that logs only errors, its start and its counters.
const SHORT_LOG: &str = "error,emberflow_router::event_loop=info";

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

/// Returns a command that runs the router's binary without settings from the environment.
pub fn router_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_emberflow"));
    command.env_remove("EDGE_CONFIG").env_remove("EDGE_LISTEN").env_remove("RUST_LOG");
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
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

    /// Starts a router that logs only its start and its counters. A test in which it would log thousands of lines needs
    /// this, since nothing reads the log meanwhile, and the router waits once the pipe is full.
    pub fn start_with_short_log(
        limits: ResourceLimits,
        name: &str,
        engine_count: usize,
        settings: &str,
    ) -> Self {
        let options = StartOptions::new(name, engine_count, settings);
        Self::start_with_options(StartOptions { log_level: SHORT_LOG, limits, ..options })
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

    /// Sends the router a signal, given as an option of `kill`, for example `-TERM`.
    pub fn signal(&self, signal: &str) {
        let mut kill = Command::new("kill");
        kill.arg(signal).arg(self.process.id().to_string());
        kill.status().expect("`kill` is installed");
    }

    /// Sends the router several signals in turn. A single process sends them, so that no time passes between them on a
    /// busy machine.
    pub fn signal_in_turn(&self, signals: &[&str]) {
        let pid = self.process.id();
        let commands: Vec<String> = signals.iter().map(|signal| format!("kill {signal} {pid}")).collect();
        Command::new("sh").arg("-c").arg(commands.join(";")).status().expect("`sh` is installed");
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
