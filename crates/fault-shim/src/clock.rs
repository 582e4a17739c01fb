//! The clocks: the delay of a slow processor, and a wall clock that steps.

use crate::settings::settings;
use libc::{c_int, c_long, clockid_t, timespec};
use std::cell::Cell;
use std::sync::OnceLock;

const NANOS_PER_SECOND: i64 = 1_000_000_000;
const NANOS_PER_MS: i64 = 1_000_000;
/// Delays accumulate until a sleep of this length is due.
const MIN_SLEEP_NANOS: i64 = 100_000;

thread_local! {
    /// Processor time of this thread, in nanoseconds, for which the delay was taken; `None` before the first call.
    static DELAYED_UNTIL: Cell<Option<i64>> = const { Cell::new(None) };
}

/// Returns a clock's time from the kernel, without a call of the replaced function.
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

/// Sleeps for the additional time that the computations since the last call take on a fraction of a core.
fn delay_computations() {
    // Each second of processor time is extended by this many seconds.
    let extra = settings().slowdown - 1.0;
    if extra <= 0.0 {
        return;
    }
    let used = nanos(kernel_time(libc::CLOCK_THREAD_CPUTIME_ID));
    let Some(delayed_until) = DELAYED_UNTIL.get() else { return DELAYED_UNTIL.set(Some(used)) };
    let delay = ((used - delayed_until) as f64 * extra) as i64;
    if delay < MIN_SLEEP_NANOS {
        return;
    }
    let request = from_nanos(delay);
    // SAFETY: `request` is valid for a read; the pointer to the remaining time may be null.
    unsafe { libc::nanosleep(&raw const request, std::ptr::null_mut()) };
    DELAYED_UNTIL.set(Some(nanos(kernel_time(libc::CLOCK_THREAD_CPUTIME_ID))));
}

/// Returns the offset of the wall clock, in nanoseconds.
fn wall_clock_offset() -> i64 {
    static FIRST_READ_AT: OnceLock<i64> = OnceLock::new();
    let now = nanos(kernel_time(libc::CLOCK_MONOTONIC));
    let elapsed = now - *FIRST_READ_AT.get_or_init(|| now);
    let has_stepped = elapsed >= settings().clock_step_at_ms * NANOS_PER_MS;
    if has_stepped { settings().clock_step_ms * NANOS_PER_MS } else { 0 }
}

/// Replaces the C library's function.
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
        now = from_nanos(nanos(now) + wall_clock_offset());
    }
    // SAFETY: the caller guarantees that `time` is valid for a write.
    unsafe { time.write(now) };
    0
}
