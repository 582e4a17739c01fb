//! Replaces `clock_gettime`: reads of the monotonic clock delay a slow process, and the wall clock steps.

use crate::settings::settings;
use libc::{c_int, c_long, clockid_t, timespec};
use std::cell::Cell;
use std::sync::OnceLock;

const NANOS_PER_SECOND: i64 = 1_000_000_000;
const NANOS_PER_MS: i64 = 1_000_000;
/// Shortest sleep; shorter delays accumulate until they reach it.
const MIN_SLEEP_NANOS: i64 = 100_000;

thread_local! {
    /// Processor time of this thread, in nanoseconds, up to which it has been delayed; `None` before the first call.
    static DELAYED_CPU_NANOS: Cell<Option<i64>> = const { Cell::new(None) };
}

/// Returns a clock's time by a system call, since the C library's function is replaced.
fn kernel_time(clock: clockid_t) -> timespec {
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is valid for a write, and the system call writes nothing else.
    unsafe { libc::syscall(libc::SYS_clock_gettime, clock as c_long, &raw mut time) };
    time
}

fn nanos(time: timespec) -> i64 {
    time.tv_sec * NANOS_PER_SECOND + time.tv_nsec
}

fn from_nanos(nanos: i64) -> timespec {
    timespec { tv_sec: nanos.div_euclid(NANOS_PER_SECOND), tv_nsec: nanos.rem_euclid(NANOS_PER_SECOND) }
}

/// Sleeps for the additional time that the computations since the last sleep would take on a fraction of a core.
fn delay_computations() {
    // Seconds of delay for each second of processor time.
    let delay_factor = settings().slowdown - 1.0;
    if delay_factor <= 0.0 {
        return;
    }
    let cpu_nanos = nanos(kernel_time(libc::CLOCK_THREAD_CPUTIME_ID));
    let Some(delayed_cpu_nanos) = DELAYED_CPU_NANOS.get() else {
        return DELAYED_CPU_NANOS.set(Some(cpu_nanos));
    };
    let delay_nanos = ((cpu_nanos - delayed_cpu_nanos) as f64 * delay_factor) as i64;
    if delay_nanos < MIN_SLEEP_NANOS {
        return;
    }
    let request = from_nanos(delay_nanos);
    // SAFETY: `request` is valid for a read; the pointer to the remaining time may be null.
    unsafe { libc::nanosleep(&raw const request, std::ptr::null_mut()) };
    DELAYED_CPU_NANOS.set(Some(nanos(kernel_time(libc::CLOCK_THREAD_CPUTIME_ID))));
}

/// Returns the current offset of the wall clock, in nanoseconds.
fn wall_clock_offset_nanos() -> i64 {
    static FIRST_READ_AT: OnceLock<i64> = OnceLock::new();
    let now = nanos(kernel_time(libc::CLOCK_MONOTONIC));
    let elapsed = now - *FIRST_READ_AT.get_or_init(|| now);
    let has_stepped = elapsed >= settings().clock_step_at_ms * NANOS_PER_MS;
    if has_stepped { settings().clock_step_ms * NANOS_PER_MS } else { 0 }
}

/// Replaces the C library's function; delays the process or shifts the wall clock according to the settings.
///
/// # Safety
/// `time` must be valid for a write, as for the replaced function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    if clock == libc::CLOCK_MONOTONIC {
        delay_computations();
    }
    let mut now = kernel_time(clock);
    if clock == libc::CLOCK_REALTIME && settings().clock_step_ms != 0 {
        now = from_nanos(nanos(now) + wall_clock_offset_nanos());
    }
    // SAFETY: the caller guarantees that `time` is valid for a write.
    unsafe { time.write(now) };
    0
}
