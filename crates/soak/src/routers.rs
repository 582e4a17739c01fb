//! The routers under test: real processes, their signals, and what they use.

use crate::records::Usage;
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::Duration;

/// Where a router's process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterPhase {
    /// Started, and not ready yet.
    Starting,
    Serving,
    /// Notified to end.
    Ending,
    /// Stopped by a signal, until it is told to go on.
    Stopped,
    Dead,
}

/// The faults that are injected into a router's own process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessFaults {
    /// How many times as long a span of processor time takes; 0 for no delay.
    pub slowdown: f64,
    pub clock_step_ms: i64,
    pub clock_step_at_ms: u64,
    /// Each system call of that ordinal fails; 0 for none.
    pub fail_every: u64,
}

/// One router of the soak.
pub struct Router {
    pub address: SocketAddr,
    pub phase: RouterPhase,
    pub started_at: Duration,
    pub faults: ProcessFaults,
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    starts: u32,
}

impl Router {
    /// A router that is not started yet, with files in `directory`.
    pub fn new(index: usize, address: SocketAddr, directory: &Path, faults: ProcessFaults) -> Self {
        Self {
            address,
            phase: RouterPhase::Dead,
            started_at: Duration::ZERO,
            faults,
            config: directory.join(format!("router-{index}.json")),
            log: directory.join(format!("router-{index}.log")),
            child: None,
            starts: 0,
        }
    }

    /// Writes the configuration and starts the process.
    pub fn start(&mut self, program: &Path, shim: &Path, config: &str, now: Duration) -> io::Result<()> {
        fs::write(&self.config, config)?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(program);
        command.arg("serve").env("EDGE_CONFIG", &self.config).env("RUST_LOG", "debug");
        command.stdout(log.try_clone()?).stderr(log);
        if self.faults != ProcessFaults::default() {
            let ProcessFaults { slowdown, clock_step_ms, clock_step_at_ms, fail_every } = self.faults;
            command.env("LD_PRELOAD", shim);
            command.env("FAULT_SHIM_SLOWDOWN", slowdown.max(1.0).to_string());
            command.env("FAULT_SHIM_CLOCK_STEP_MS", clock_step_ms.to_string());
            command.env("FAULT_SHIM_CLOCK_STEP_AT_MS", clock_step_at_ms.to_string());
            command.env("FAULT_SHIM_FAIL_EVERY", fail_every.to_string());
        }
        end_with_parent(&mut command);
        self.child = Some(command.spawn()?);
        self.starts += 1;
        self.phase = RouterPhase::Starting;
        self.started_at = now;
        Ok(())
    }

    /// The path of its log.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Sends a signal, if the process is there.
    pub fn signal(&self, signal: libc::c_int) {
        if let Some(child) = &self.child {
            // SAFETY: a process id of our own child that was not waited for.
            unsafe { libc::kill(child.id() as libc::pid_t, signal) };
        }
    }

    /// Whether the process has ended by itself; it is gone then.
    pub fn has_exited(&mut self) -> Option<bool> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.success())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.phase = RouterPhase::Dead;
    }

    /// What the process uses now.
    pub fn usage(&self) -> Option<Usage> {
        let process = PathBuf::from(format!("/proc/{}", self.child.as_ref()?.id()));
        let status = fs::read_to_string(process.join("status")).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let memory_kb = peak.split_whitespace().next()?.parse().ok()?;
        let descriptors = fs::read_dir(process.join("fd")).ok()?.count();
        Some(Usage { memory_kb, descriptors, cpu: cpu_time(&process)? })
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Has a process killed when this one ends, however it ends.
fn end_with_parent(command: &mut Command) {
    let arrange = || {
        // SAFETY: a system call without memory; the child has not begun its program yet.
        let result = unsafe { libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) };
        if result == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
    };
    // SAFETY: the closure allocates nothing and makes one system call.
    unsafe { command.pre_exec(arrange) };
}

/// Processor time of a process, in user and kernel mode.
fn cpu_time(process: &Path) -> Option<Duration> {
    /// Fields of `/proc/PID/stat` behind the program's name, from its state on.
    const USER_TIME: usize = 11;
    const KERNEL_TIME: usize = 12;
    /// Of Linux on all usual machines.
    const TICKS_PER_SECOND: u64 = 100;
    let stat = fs::read_to_string(process.join("stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |field: usize| fields.get(field)?.parse::<u64>().ok();
    let ticks = ticks(USER_TIME)? + ticks(KERNEL_TIME)?;
    Some(Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND))
}
