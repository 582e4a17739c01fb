//! Reloading the configuration and the operator's file.

use super::RouterLoop;
use crate::bootstrap::Bootstrap;
use crate::error::ConfigError;
use crate::timers::Timer;
use std::time::Duration;

/// A configuration that could not be read may still be being written: it is read again at this interval, for
/// [`RETRY_WINDOW`]. Events of the discovery service count as delivered 4 s after SIGHUP.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
const RETRY_WINDOW: Duration = Duration::from_secs(3);

/// A reload that failed and is tried again.
pub(super) struct ReloadRetry {
    /// When the configuration is read again.
    pub next_attempt: Duration,
    /// No more attempts after this time.
    give_up_at: Duration,
}

impl RouterLoop {
    /// Reads the configuration again. The discovery service's address and the operator's file take effect, all
    /// else takes a restart; open requests, connections and what was learned stay. A file that can't be read or
    /// is another router's changes nothing, and is read again for a while.
    pub(super) fn reload(&mut self) {
        let retry = self.reload_retry.take();
        match self.read_own_bootstrap() {
            Ok(bootstrap) => self.apply_reload(bootstrap),
            Err(error) => self.retry_reload(&error, retry),
        }
    }

    fn read_own_bootstrap(&self) -> Result<Bootstrap, ConfigError> {
        let bootstrap = (self.read_bootstrap)()?;
        if bootstrap.config.name != self.server.dispatcher.config.name {
            return Err(ConfigError::OtherRouter { name: bootstrap.config.name });
        }
        Ok(bootstrap)
    }

    fn apply_reload(&mut self, bootstrap: Bootstrap) {
        let Bootstrap { config, orders, .. } = bootstrap;
        self.server.context().counters.count("reloads");
        let restart_only = self.server.dispatcher.config.restart_only_changes(&config);
        if !restart_only.is_empty() {
            log::warn!("configuration change needs a restart: changed={}", restart_only.join(", "));
        }
        self.server.apply_teams(orders.teams);
        log::info!("configuration reloaded: discovery_address={}", config.discovery_address);
        self.server.dispatcher.config.discovery_address = config.discovery_address;
        self.dial_discovery();
    }

    /// Schedules another attempt, unless the attempts before have taken too long.
    fn retry_reload(&mut self, error: &ConfigError, retry: Option<ReloadRetry>) {
        let context = self.server.context();
        let now = context.now();
        let give_up_at = match retry {
            Some(retry) => retry.give_up_at,
            None => {
                log::error!("configuration not reloaded, the old one stays in effect: {error}");
                context.counters.count("reloads_refused");
                now + RETRY_WINDOW
            }
        };
        if now >= give_up_at {
            log::error!("configuration not reloaded, no more attempts: {error}");
            return;
        }
        let next_attempt = now + RETRY_INTERVAL;
        context.timers.set(next_attempt, Timer::Reload);
        self.reload_retry = Some(ReloadRetry { next_attempt, give_up_at });
    }
}
