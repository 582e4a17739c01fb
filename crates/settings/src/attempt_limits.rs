//! Decodes the limits of attempts and retries, and whether clients mark their retries.

use crate::{Fields, Problem, SettingsError};
use emberflow::{AttemptLimits, RetryBudget};
use std::time::Duration;

/// Name of the setting for the time window over which retries are counted. A retry budget requires it.
const RETRY_WINDOW: &str = "countedOverMs";

/// Decodes the limits that hold for the attempts of all requests. `settings` is the settings' object.
///
/// # Errors
/// Returns the first value that is missing or invalid.
pub fn decode_attempt_limits(settings: Fields<'_>) -> Result<AttemptLimits, SettingsError> {
    let caps = settings.object("caps")?;
    let rules = settings.object("rules")?;
    let retry_budget = retry_budget(rules)?;
    let max_retry_after = caps.optional("maxRetryAfterMs", Fields::time)?;
    Ok(AttemptLimits {
        max_attempts: caps.positive_integer("mostTries")?,
        may_cancel: caps.flag("cancel")?,
        may_probe: caps.optional("probes", Fields::flag)?.unwrap_or(false),
        start_capacity_fraction: rules.fraction("startCapacity")?,
        warm_up: rules.positive_time("warmUpMs")?,
        overload_factor: rules.positive("overloadFactor")?,
        overload_window: rules.positive_time("fallMs")?,
        key_cooldown: rules.optional("keyQuietMs", Fields::time)?,
        retry_budget,
        max_retry_after: caps.flag("retryAfter")?.then_some(max_retry_after).flatten(),
    })
}

/// Decodes the retry budget; returns `None` if the settings have none.
fn retry_budget(rules: Fields<'_>) -> Result<Option<RetryBudget>, SettingsError> {
    let window = rules.optional(RETRY_WINDOW, Fields::positive_time)?;
    let min_retries = budget_amount(rules, "spareAttempts", window)?;
    let per_request = budget_amount(rules, "extraPerRequest", window)?;
    Ok(window.map(|window| RetryBudget { min_retries, per_request, window }))
}

/// Decodes a number of the retry budget, which is 0 if it is absent. Fails if the settings have the number but no
/// window, since the number would then have no effect.
fn budget_amount(rules: Fields<'_>, name: &str, window: Option<Duration>) -> Result<f64, SettingsError> {
    let amount = rules.optional(name, Fields::non_negative)?;
    if amount.is_some() && window.is_none() {
        return Err(rules.field(name)?.error(Problem::RequiresField { required: RETRY_WINDOW }));
    }
    Ok(amount.unwrap_or(0.0))
}

/// Decodes whether clients mark their retries; false if the settings do not say.
///
/// # Errors
/// Returns the first value that is invalid.
pub fn clients_mark_retries(settings: Fields<'_>) -> Result<bool, SettingsError> {
    let Some(client_behavior) = settings.optional("clientHabits", Fields::object)? else { return Ok(false) };
    Ok(client_behavior.optional("marksRetry", Fields::flag)?.unwrap_or(false))
}
