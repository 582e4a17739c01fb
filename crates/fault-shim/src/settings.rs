//! The faults that the environment names, read once.

use std::sync::OnceLock;

const NO_SLOWDOWN: f64 = 1.0;

/// The faults that are injected.
pub struct Settings {
    /// Factor of the time that computations take; 1 for no delay.
    pub slowdown: f64,
    /// Step of the wall clock, in milliseconds; 0 for none.
    pub clock_step_ms: i64,
    /// When the wall clock steps, in milliseconds after the process has read it first.
    pub clock_step_at_ms: i64,
    /// Each call whose number is a multiple of this one fails; 0 for none.
    pub fail_every: u64,
}

/// Returns the settings of this process.
pub fn settings() -> &'static Settings {
    static SETTINGS: OnceLock<Settings> = OnceLock::new();
    SETTINGS.get_or_init(|| Settings {
        slowdown: number("FAULT_SHIM_SLOWDOWN").unwrap_or(NO_SLOWDOWN),
        clock_step_ms: number("FAULT_SHIM_CLOCK_STEP_MS").unwrap_or(0.0) as i64,
        clock_step_at_ms: number("FAULT_SHIM_CLOCK_STEP_AT_MS").unwrap_or(0.0) as i64,
        fail_every: number("FAULT_SHIM_FAIL_EVERY").unwrap_or(0.0) as u64,
    })
}

fn number(name: &str) -> Option<f64> {
    std::env::var(name).ok()?.parse().ok()
}
