//! Reloads the configuration and the operator's file.

use super::RouterLoop;
use crate::bootstrap::Bootstrap;
use crate::error::ConfigError;
use crate::timers::Timer;
use std::time::Duration;

/// Time between two attempts of a reload. A file that is invalid now may be incomplete because it is still written.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time from the first failure of a reload to the last attempt. Events from a new address of the discovery service must
/// take effect within 4 s of SIGHUP.
const RETRY_WINDOW: Duration = Duration::from_secs(3);

/// A scheduled retry of a reload that failed.
pub(super) struct ReloadRetry {
    /// The time of the next attempt.
    pub next_attempt: Duration,
    /// The time after which no more attempts are made.
    last_attempt_by: Duration,
}

impl RouterLoop {
    /// Reads the configuration again. The discovery service's address and the operator's file take effect at once;
    /// other changes need a restart. Open requests, connections and learned estimates are not affected. A file that is
    /// invalid or belongs to another router changes nothing, and is read again for [`RETRY_WINDOW`].
    pub(super) fn reload(&mut self) {
        let retry = self.reload_retry.take();
        match self.read_bootstrap_of_this_router() {
            Ok(bootstrap) => self.apply_reload(bootstrap),
            Err(error) => self.retry_reload(&error, retry),
        }
    }

    /// Reads the configuration; fails if it is another router's.
    fn read_bootstrap_of_this_router(&self) -> Result<Bootstrap, ConfigError> {
        let bootstrap = (self.read_bootstrap)()?;
        if bootstrap.config.name != self.server.dispatcher.config.name {
            return Err(ConfigError::OtherRouter { name: bootstrap.config.name });
        }
        Ok(bootstrap)
    }

    fn apply_reload(&mut self, bootstrap: Bootstrap) {
        let Bootstrap { config, operator_config, .. } = bootstrap;
        self.server.context().counters.count("reloads");
        let restart_only = self.server.dispatcher.config.restart_only_changes(&config);
        if !restart_only.is_empty() {
            log::warn!("configuration change needs a restart: changed={}", restart_only.join(", "));
        }
        self.server.apply_teams(operator_config.teams);
        log::info!("configuration reloaded: discovery_address={}", config.discovery_address);
        self.server.dispatcher.config.discovery_address = config.discovery_address;
        self.dial_discovery();
    }

    /// Schedules another attempt, unless the time for retries is over.
    fn retry_reload(&mut self, error: &ConfigError, retry: Option<ReloadRetry>) {
        let context = self.server.context();
        let now = context.now();
        let last_attempt_by = match retry {
            Some(retry) => retry.last_attempt_by,
            None => {
                log::error!("configuration not reloaded, the previous one stays in effect: {error}");
                context.counters.count("reloads_refused");
                now + RETRY_WINDOW
            }
        };
        if now >= last_attempt_by {
            log::error!("configuration not reloaded, retries ended: {error}");
            return;
        }
        let next_attempt = now + RETRY_INTERVAL;
        context.timers.set(next_attempt, Timer::Reload);
        self.reload_retry = Some(ReloadRetry { next_attempt, last_attempt_by });
    }
}
