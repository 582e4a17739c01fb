//! The settings of the faults, read once from environment variables.

use std::sync::OnceLock;

const NO_SLOWDOWN: f64 = 1.0;

/// The settings of the faults; see the crate's documentation for the environment variables.
pub struct Settings {
    /// Factor by which computations are slowed down; 1 for no delay.
    pub slowdown: f64,
    /// Step of the wall clock, in milliseconds; 0 for none.
    pub clock_step_ms: i64,
    /// Time from the process's first read of the wall clock to the step, in milliseconds.
    pub clock_step_at_ms: i64,
    /// Every Nth call of each socket function fails; 0 for none.
    pub fail_every: u64,
}

/// Returns the settings of this process.
pub fn settings() -> &'static Settings {
    static SETTINGS: OnceLock<Settings> = OnceLock::new();
    SETTINGS.get_or_init(|| Settings {
        slowdown: number_from_env("FAULT_SHIM_SLOWDOWN").unwrap_or(NO_SLOWDOWN),
        clock_step_ms: number_from_env("FAULT_SHIM_CLOCK_STEP_MS").unwrap_or(0.0) as i64,
        clock_step_at_ms: number_from_env("FAULT_SHIM_CLOCK_STEP_AT_MS").unwrap_or(0.0) as i64,
        fail_every: number_from_env("FAULT_SHIM_FAIL_EVERY").unwrap_or(0.0) as u64,
    })
}

/// Returns the value of an environment variable; `None` if it is not set or not a number.
fn number_from_env(name: &str) -> Option<f64> {
    std::env::var(name).ok()?.parse().ok()
}
