//! What the environment orders, read once.

use std::sync::OnceLock;

/// The orders of the environment; zero or one where nothing is ordered.
pub struct Settings {
    /// How many times as long a span of processor time takes.
    pub slowdown: f64,
    pub clock_step_ms: i64,
    pub clock_step_at_ms: i64,
    /// Each call of this ordinal fails; 0 for none.
    pub fail_every: u64,
}

/// The settings of this process.
pub fn settings() -> &'static Settings {
    static SETTINGS: OnceLock<Settings> = OnceLock::new();
    SETTINGS.get_or_init(|| Settings {
        slowdown: number("FAULT_SHIM_SLOWDOWN").unwrap_or(1.0),
        clock_step_ms: number("FAULT_SHIM_CLOCK_STEP_MS").unwrap_or(0.0) as i64,
        clock_step_at_ms: number("FAULT_SHIM_CLOCK_STEP_AT_MS").unwrap_or(0.0) as i64,
        fail_every: number("FAULT_SHIM_FAIL_EVERY").unwrap_or(0.0) as u64,
    })
}

fn number(name: &str) -> Option<f64> {
    std::env::var(name).ok()?.parse().ok()
}
