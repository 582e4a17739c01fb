//! The calls that fail, and their errors.

use crate::settings::settings;
use libc::c_int;
use std::sync::atomic::{AtomicU64, Ordering};

/// The injected failures of one function: errors after which a repeated call may succeed.
pub struct Failures {
    /// Number of calls.
    calls: AtomicU64,
    errors: &'static [c_int],
}

impl Failures {
    /// Returns the failures of a function, whose errors follow one another.
    pub const fn new(errors: &'static [c_int]) -> Self {
        Self { calls: AtomicU64::new(0), errors }
    }

    /// Counts a call. Returns the error with which it fails, which is also in `errno`, or `None` if it does not fail.
    pub fn next(&self) -> Option<c_int> {
        let every = settings().fail_every;
        let call = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        if every == 0 || !call.is_multiple_of(every) {
            return None;
        }
        let error = self.errors[(call / every) as usize % self.errors.len()];
        // SAFETY: the location belongs to this thread and is valid for a write.
        unsafe { *libc::__errno_location() = error };
        Some(error)
    }
}
