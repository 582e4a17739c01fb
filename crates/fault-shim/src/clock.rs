//! The clocks: a slow processor, and a wall clock that steps.

use crate::settings::settings;
use libc::{c_int, c_long, clockid_t, timespec};
use std::cell::Cell;
use std::sync::OnceLock;

const NANOS_PER_SECOND: i64 = 1_000_000_000;
const NANOS_PER_MS: i64 = 1_000_000;
/// Delays are collected until they are worth a sleep.
const SHORTEST_SLEEP_NANOS: i64 = 100_000;

thread_local! {
    /// Processor time of this thread up to which its delay was taken.
    static PAID_UNTIL: Cell<i64> = const { Cell::new(-1) };
}

/// Asks the kernel itself, without the function that this library replaces.
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

/// Sleeps for the time that the processor time since the last call would have taken longer on a part of a core.
fn pay_for_processor_time() {
    let extra = settings().slowdown - 1.0;
    if extra <= 0.0 {
        return;
    }
    let used = nanos(kernel_time(libc::CLOCK_THREAD_CPUTIME_ID));
    let paid = PAID_UNTIL.get();
    if paid < 0 {
        return PAID_UNTIL.set(used);
    }
    let delay = ((used - paid) as f64 * extra) as i64;
    if delay < SHORTEST_SLEEP_NANOS {
        return;
    }
    let request = from_nanos(delay);
    // SAFETY: `request` is valid for a read; the remaining time is not asked for.
    unsafe { libc::nanosleep(&raw const request, std::ptr::null_mut()) };
    PAID_UNTIL.set(nanos(kernel_time(libc::CLOCK_THREAD_CPUTIME_ID)));
}

/// How far the wall clock is off now.
fn wall_clock_offset() -> i64 {
    static FIRST_LOOK: OnceLock<i64> = OnceLock::new();
    let now = nanos(kernel_time(libc::CLOCK_MONOTONIC));
    let since = now - *FIRST_LOOK.get_or_init(|| now);
    let has_stepped = since >= settings().clock_step_at_ms * NANOS_PER_MS;
    if has_stepped { settings().clock_step_ms * NANOS_PER_MS } else { 0 }
}

/// In place of the C library's function.
///
/// # Safety
/// `time` must be valid for a write, as for the function that this replaces.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    if clock == libc::CLOCK_MONOTONIC {
        pay_for_processor_time();
    }
    let mut now = kernel_time(clock);
    if clock == libc::CLOCK_REALTIME && settings().clock_step_ms != 0 {
        now = from_nanos(nanos(now) + wall_clock_offset());
    }
    // SAFETY: by this function's contract.
    unsafe { time.write(now) };
    0
}
