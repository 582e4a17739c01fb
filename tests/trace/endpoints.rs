//! Inputs of a trace from the endpoint list and from probes.

use super::{Trace, ms};
use emberflow::{Endpoint, EndpointUpdate, EngineId, Lifecycle, LoadReport};

impl Trace {
    /// Changes some rows of the endpoint list.
    pub fn update_endpoints(&mut self, rows: Vec<Endpoint>) -> &mut Self {
        self.send_endpoint_update(EndpointUpdate::Changes, rows)
    }

    /// Changes the row of one engine of a small trace.
    pub fn update_endpoint(&mut self, engine: usize, lifecycle: Lifecycle, launched: Option<u64>) -> &mut Self {
        self.update_endpoints(vec![self.row(engine, lifecycle, launched)])
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

    /// Returns the row of an engine of a small trace.
    pub(super) fn row(&self, engine: usize, lifecycle: Lifecycle, launched: Option<u64>) -> Endpoint {
        let (location, cell) = self.positions[engine];
        Endpoint { location, cell, ..endpoint(engine, lifecycle, launched) }
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

/// A row of the endpoint list. Engines alternate between two locations, and two neighbours share a cell.
pub fn endpoint(engine: usize, lifecycle: Lifecycle, launched: Option<u64>) -> Endpoint {
    Endpoint {
        engine: EngineId(engine),
        location: engine % 2,
        kind: 0,
        cell: engine as u64 / 2,
        lifecycle,
        launched: launched.map(ms),
    }
}
