//! The routers under test: their processes, signals and resource usage.

use crate::process_faults::ProcessFaults;
use crate::records::Usage;
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::Duration;

/// The slowdown factor of a process that is not slowed down.
const NO_SLOWDOWN: f64 = 1.0;

/// The phase of a router's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterPhase {
    /// The process was started and is not ready yet.
    Starting,
    /// The process has answered a status request with `serving`.
    Serving,
    /// The process was sent SIGTERM.
    ShuttingDown,
    /// The process was sent SIGSTOP.
    Stopped,
    /// There is no process.
    Down,
}

/// A router of the soak, with its process.
pub struct Router {
    pub address: SocketAddr,
    pub phase: RouterPhase,
    /// When the process was last started.
    pub started_at: Duration,
    faults: ProcessFaults,
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns the path of a router's log.
pub fn log_path(directory: &Path, router: usize) -> PathBuf {
    directory.join(format!("router-{router}.log"))
}

impl Router {
    /// Returns a router without a process, with its files in `directory`.
    pub fn new(index: usize, address: SocketAddr, directory: &Path, faults: ProcessFaults) -> Self {
        Self {
            address,
            phase: RouterPhase::Down,
            started_at: Duration::ZERO,
            faults,
            config: directory.join(format!("router-{index}.json")),
            log: log_path(directory, index),
            child: None,
        }
    }

    /// Writes the configuration and starts the process, whose log is appended to that of the earlier processes.
    pub fn start(&mut self, program: &Path, shim: &Path, config: &str, now: Duration) -> io::Result<()> {
        fs::write(&self.config, config)?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(program);
        command.arg("serve").env("EDGE_CONFIG", &self.config).env("RUST_LOG", "debug");
        command.stdout(log.try_clone()?).stderr(log);
        if self.faults != ProcessFaults::default() {
            preload_shim(&mut command, shim, &self.faults);
        }
        kill_with_parent(&mut command);
        self.child = Some(command.spawn()?);
        self.phase = RouterPhase::Starting;
        self.started_at = now;
        Ok(())
    }

    /// Sends a signal to the process, if there is one.
    pub fn signal(&self, signal: libc::c_int) {
        if let Some(child) = &self.child {
            // SAFETY: the child has not been waited for, so its id cannot belong to another process.
            unsafe { libc::kill(child.id() as libc::pid_t, signal) };
        }
    }

    /// Whether the process has exited since the last call.
    pub fn has_exited(&mut self) -> bool {
        let status = self.child.as_mut().and_then(|child| child.try_wait().ok()?);
        if status.is_some() {
            self.child = None;
        }
        status.is_some()
    }

    /// Kills the process, if there is one, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.phase = RouterPhase::Down;
    }

    /// Returns the resource usage of the process; `None` if there is no process or its usage cannot be read.
    pub fn usage(&self) -> Option<Usage> {
        let process = PathBuf::from(format!("/proc/{}", self.child.as_ref()?.id()));
        let status = fs::read_to_string(process.join("status")).ok()?;
        let peak_memory = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let memory_kb = peak_memory.split_whitespace().next()?.parse().ok()?;
        let descriptors = fs::read_dir(process.join("fd")).ok()?.count();
        Some(Usage { memory_kb, descriptors, cpu: cpu_time(&process)? })
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Preloads the library that injects the faults into the process.
fn preload_shim(command: &mut Command, shim: &Path, faults: &ProcessFaults) {
    command.env("LD_PRELOAD", shim);
    command.env("FAULT_SHIM_SLOWDOWN", faults.slowdown.max(NO_SLOWDOWN).to_string());
    command.env("FAULT_SHIM_CLOCK_STEP_MS", faults.clock_step_ms.to_string());
    command.env("FAULT_SHIM_CLOCK_STEP_AT_MS", faults.clock_step_at_ms.to_string());
    command.env("FAULT_SHIM_FAIL_EVERY", faults.fail_every.to_string());
}

/// Makes the kernel kill the process when the soak ends, even if the soak is killed.
fn kill_with_parent(command: &mut Command) {
    let set_death_signal = || {
        // SAFETY: the system call takes no pointer.
        let result = unsafe { libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) };
        if result == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
    };
    // SAFETY: the closure allocates no memory and makes one system call, which is safe after a fork.
    unsafe { command.pre_exec(set_death_signal) };
}

/// Returns the processor time of a process, in user and kernel mode together; `None` if it cannot be read.
fn cpu_time(process: &Path) -> Option<Duration> {
    // Indices of the fields of `/proc/PID/stat` after the program's name; the process's state has index 0.
    const USER_TIME: usize = 11;
    const KERNEL_TIME: usize = 12;
    /// The unit of both times on Linux.
    const TICKS_PER_SECOND: u64 = 100;
    const MS_PER_SECOND: u64 = 1000;
    let stat = fs::read_to_string(process.join("stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |field: usize| fields.get(field)?.parse::<u64>().ok();
    let total_ticks = ticks(USER_TIME)? + ticks(KERNEL_TIME)?;
    Some(Duration::from_millis(total_ticks * MS_PER_SECOND / TICKS_PER_SECOND))
}
