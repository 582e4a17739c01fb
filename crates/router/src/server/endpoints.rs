//! Changes of the list of engines, from the configuration and from the discovery service.

use super::Server;
use crate::discovery::{EndpointEvent, EventScope};
use crate::dispatch::Dispatcher;
use crate::error::DiscoveryError;

impl Server {
    /// Applies a change of the list of engines.
    pub fn endpoints_changed(&mut self, event: &EndpointEvent) {
        let Dispatcher { engines, context, .. } = &mut self.dispatcher;
        let is_snapshot = event.scope == EventScope::Snapshot;
        if is_snapshot {
            engines.only(&event.endpoints, context);
        }
        let endpoints: Vec<_> =
            event.endpoints.iter().map(|endpoint| engines.listed(endpoint, context)).collect();
        self.dispatcher.had_ready_endpoint |= endpoints.iter().any(|endpoint| endpoint.ready);
        self.dispatcher.context.counters.count("list_events");
        let now = self.dispatcher.context.now();
        self.scheduler.endpoints_changed(now, is_snapshot, endpoints, &mut self.dispatcher);
        self.process_events();
    }

    /// Applies all complete frames that the discovery service has sent; returns whether there were any.
    pub fn receive_endpoint_events(&mut self) -> Result<bool, DiscoveryError> {
        let mut received_any = false;
        while let Some(frame) = self.discovery.next_frame(&mut self.dispatcher.context.counters)? {
            received_any = true;
            if let Some(event) = frame.event {
                let engines = event.endpoints.len();
                log::info!("endpoint event {} received: engines={engines}", frame.number);
                self.endpoints_changed(&event);
            }
        }
        Ok(received_any)
    }
}
