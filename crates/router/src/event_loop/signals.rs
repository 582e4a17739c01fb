//! Signals: SIGTERM and SIGINT begin a graceful shutdown, SIGHUP reloads the configuration, SIGUSR1 logs the counters.

use super::RouterLoop;
use crate::error::ServeError;
use crate::timers::Timer;
use calloop::LoopHandle;
use calloop::signals::{Event, Signal, Signals};

const WATCHED_SIGNALS: [Signal; 4] = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGUSR1];

/// Blocks the signals' default actions; the loop records them instead.
pub(super) fn watch(loop_handle: &LoopHandle<'static, RouterLoop>) -> Result<(), ServeError> {
    let source = Signals::new(&WATCHED_SIGNALS).map_err(ServeError::event_loop("blocking signals"))?;
    let record_signal = |event: Event, _: &mut (), router_loop: &mut RouterLoop| {
        router_loop.signals.push(event.signal());
    };
    let inserted = loop_handle.insert_source(source, record_signal);
    inserted.map_err(|error| ServeError::event_loop("watching signals")(error.into()))?;
    Ok(())
}

impl RouterLoop {
    /// Logs the counters and handles a signal.
    pub(super) fn handle_signal(&mut self, signal: Signal) {
        self.update_time();
        log::info!("counters: {}", self.server.dispatcher.counters_line());
        match signal {
            Signal::SIGHUP => self.reload_by_signal(),
            Signal::SIGUSR1 => {}
            _ => self.server.begin_shutdown(),
        }
        self.apply_changes();
    }

    /// Reloads at once. A scheduled retry of an earlier reload is dropped.
    fn reload_by_signal(&mut self) {
        if let Some(retry) = self.reload_retry.take() {
            self.server.context().timers.clear(retry.next_attempt, Timer::Reload);
        }
        self.reload();
    }
}
