//! Reloads the configuration and the operator's file.

use super::RouterLoop;
use super::reload_retry::ReloadRetry;
use crate::bootstrap::Bootstrap;
use crate::error::ConfigError;
use crate::timers::Timer;

impl RouterLoop {
    /// Reads the configuration again. The discovery service's address and the operator's file take effect at once;
    /// other changes need a restart. Open requests, connections and learned estimates are not affected. A file that is
    /// invalid or configures another router changes nothing, and the reload is retried for a few seconds.
    pub(super) fn reload(&mut self) {
        let retry = self.reload_retry.take();
        match self.read_bootstrap_of_this_router() {
            Ok(bootstrap) => self.apply_reload(bootstrap),
            Err(error) => self.retry_reload(&error, retry),
        }
    }

    /// Reads the configuration; fails if it is that of a router with another name.
    fn read_bootstrap_of_this_router(&self) -> Result<Bootstrap, ConfigError> {
        let bootstrap = (self.read_bootstrap)()?;
        if bootstrap.config.name != self.server.dispatcher.config.name {
            let expected = self.server.dispatcher.config.name.clone();
            return Err(ConfigError::OtherRouter { expected, found: bootstrap.config.name });
        }
        Ok(bootstrap)
    }

    /// Applies the parts of a configuration that take effect without a restart, and logs the others that have changed.
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

    /// Schedules a retry of a failed reload, unless the time for retries is over. `previous` is the retry that has
    /// failed; `None` if the first attempt has failed.
    fn retry_reload(&mut self, error: &ConfigError, previous: Option<ReloadRetry>) {
        let context = self.server.context();
        if previous.is_none() {
            log::error!("configuration not reloaded, the previous one stays in effect: {error}");
            context.counters.count("reloads_refused");
        }
        let Some(retry) = ReloadRetry::next(previous, context.now()) else {
            log::error!("configuration not reloaded, the time for retries is over: {error}");
            return;
        };
        context.timers.set(retry.next_attempt, Timer::ReloadRetry);
        self.reload_retry = Some(retry);
    }

    /// Reloads at once. A scheduled retry of an earlier reload is cancelled.
    pub(super) fn reload_by_signal(&mut self) {
        if let Some(retry) = self.reload_retry.take() {
            self.server.context().timers.clear(retry.next_attempt, Timer::ReloadRetry);
        }
        self.reload();
    }
}
