//! The signals that the router handles: SIGTERM and SIGINT begin a graceful shutdown, SIGHUP reloads the
//! configuration, and SIGUSR1 logs the counters.

use crate::error::ServeError;
use calloop::LoopHandle;
use calloop::signals::{Event, Signal, Signals};

const WATCHED_SIGNALS: [Signal; 4] = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGUSR1];

/// Blocks the default actions of [`WATCHED_SIGNALS`]. The loop calls `on_signal` for each of them instead.
///
/// # Errors
/// Fails if the signals cannot be blocked or registered with the loop.
pub(super) fn watch<T>(
    loop_handle: &LoopHandle<'static, T>,
    on_signal: impl Fn(&mut T, Signal) + 'static,
) -> Result<(), ServeError> {
    let source = Signals::new(&WATCHED_SIGNALS).map_err(ServeError::event_loop("blocking signals"))?;
    let callback = move |event: Event, _: &mut (), data: &mut T| on_signal(data, event.signal());
    let inserted = loop_handle.insert_source(source, callback);
    inserted.map_err(|error| ServeError::event_loop("watching signals")(error.into()))?;
    Ok(())
}
