//! Selects the calls that fail, and their errors.

use crate::settings::settings;
use libc::c_int;
use std::sync::atomic::{AtomicU64, Ordering};

/// The injected failures of one function of the C library.
pub struct Failures {
    /// Number of calls of the function in this process, including those that failed.
    calls: AtomicU64,
    /// The values of `errno` of the failures, used in turn. A repeated call may succeed after any of them.
    errors: &'static [c_int],
}

impl Failures {
    /// Returns the failures of a function, with the errors that they use in turn.
    pub const fn new(errors: &'static [c_int]) -> Self {
        Self { calls: AtomicU64::new(0), errors }
    }

    /// Counts a call. If the call must fail, sets `errno` and returns the error; otherwise returns `None`.
    pub fn fail_next_call(&self) -> Option<c_int> {
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
