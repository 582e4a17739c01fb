//! Inputs of a trace: updates of the endpoint list, and ends of probes.

use super::{Trace, ms};
use emberflow::{Endpoint, EndpointUpdate, EngineId, Lifecycle, LoadReport};

impl Trace {
    /// Sends changed rows of the endpoint list.
    pub fn update_endpoints(&mut self, rows: Vec<Endpoint>) -> &mut Self {
        self.send_endpoint_update(EndpointUpdate::Changes, rows)
    }

    /// Sends the changed row of one engine of a small trace. `launched_ms` is the time of its last start.
    pub fn update_endpoint(
        &mut self,
        engine: usize,
        lifecycle: Lifecycle,
        launched_ms: Option<u64>,
    ) -> &mut Self {
        self.update_endpoints(vec![self.row(engine, lifecycle, launched_ms)])
    }

    /// Sends a full endpoint list without rows.
    #[allow(dead_code, reason = "called by counterexamples that the model checker prints")]
    pub fn empty_endpoint_list(&mut self) -> &mut Self {
        self.send_endpoint_update(EndpointUpdate::FullList, Vec::new())
    }

    fn send_endpoint_update(&mut self, update: EndpointUpdate, rows: Vec<Endpoint>) -> &mut Self {
        self.scheduler.endpoints_changed(self.now(), update, rows, &mut self.log);
        self
    }

    /// Returns the row of an engine of a small trace, in the engine's location and cell.
    pub(super) fn row(&self, engine: usize, lifecycle: Lifecycle, launched_ms: Option<u64>) -> Endpoint {
        let (location, cell) = self.positions[engine];
        Endpoint { location, cell, ..endpoint(engine, lifecycle, launched_ms) }
    }

    /// Reports that the endpoint list can't be read.
    pub fn endpoint_list_failed(&mut self) -> &mut Self {
        self.scheduler.endpoint_list_failed(self.now(), &mut self.log);
        self
    }

    /// Ends a probe, with a load report if the engine answered.
    pub fn probe_ended(&mut self, engine: usize, load_report: Option<LoadReport>) -> &mut Self {
        self.scheduler.probe_ended(self.now(), EngineId(engine), load_report, &mut self.log);
        self
    }
}

/// Returns a row of the endpoint list. Engines alternate between two locations, and each two of successive ids share a
/// cell. `launched_ms` is the time of the engine's last start.
pub fn endpoint(engine: usize, lifecycle: Lifecycle, launched_ms: Option<u64>) -> Endpoint {
    Endpoint {
        engine: EngineId(engine),
        location: engine % 2,
        kind: 0,
        cell: engine as u64 / 2,
        lifecycle,
        launched_at: launched_ms.map(ms),
    }
}
