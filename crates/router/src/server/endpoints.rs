//! Applies events of the endpoint list, which come from the configuration and from the discovery service.

use super::Server;
use crate::discovery::EndpointEvent;
use crate::dispatch::Dispatcher;
use crate::error::DiscoveryError;
use emberflow::{EndpointUpdate, Lifecycle};

impl Server {
    /// Applies an event of the endpoint list to the engine pool and the scheduler.
    pub fn endpoints_changed(&mut self, event: &EndpointEvent) {
        let Dispatcher { engines, context, .. } = &mut self.dispatcher;
        if event.update == EndpointUpdate::FullList {
            engines.drain_unlisted(&event.endpoints, context);
        }
        let endpoints: Vec<_> =
            event.endpoints.iter().map(|endpoint| engines.update_endpoint(endpoint, context)).collect();
        self.dispatcher.had_ready_endpoint |=
            endpoints.iter().any(|endpoint| endpoint.lifecycle == Lifecycle::Ready);
        self.dispatcher.context.counters.count("list_events");
        let now = self.dispatcher.context.now();
        self.scheduler.endpoints_changed(now, event.update, endpoints, &mut self.dispatcher);
        self.process_events();
    }

    /// Applies all complete frames that were received; returns whether there were any, heartbeats included.
    ///
    /// # Errors
    /// Returns the error of the first invalid frame. The caller must then replace the connection.
    pub fn receive_endpoint_events(&mut self) -> Result<bool, DiscoveryError> {
        let mut received_any = false;
        while let Some(frame) = self.discovery.next_frame(&mut self.dispatcher.context.counters)? {
            received_any = true;
            if let Some(event) = frame.event {
                let engines = event.endpoints.len();
                log::info!("endpoint event received: number={} engines={engines}", frame.event_number);
                self.endpoints_changed(&event);
            }
        }
        Ok(received_any)
    }
}
