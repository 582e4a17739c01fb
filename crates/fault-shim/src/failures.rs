//! Which calls fail, and how.

use crate::settings::settings;
use libc::c_int;
use std::sync::atomic::{AtomicU64, Ordering};

/// The errors of one function that pass by themselves.
pub struct Failures {
    calls: AtomicU64,
    errors: &'static [c_int],
}

impl Failures {
    /// Failures of a function, taken in turn.
    pub const fn new(errors: &'static [c_int]) -> Self {
        Self { calls: AtomicU64::new(0), errors }
    }

    /// The error that this call fails with, which is left in `errno`; `None` if it is let through.
    pub fn next(&self) -> Option<c_int> {
        let every = settings().fail_every;
        let call = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        if every == 0 || !call.is_multiple_of(every) {
            return None;
        }
        let error = self.errors[(call / every) as usize % self.errors.len()];
        // SAFETY: the location is this thread's own.
        unsafe { *libc::__errno_location() = error };
        Some(error)
    }
}
