//! Short traces of decisions, one for each limit and failure met; expected ones are renewed with UPDATE_EXPECT=1
//! and read before they are committed.

mod admission;
mod deadlines;
mod estimates;
mod lifecycle;
mod outliers;
mod placement;
mod retries;
#[path = "../trace/mod.rs"]
mod trace;

use emberflow::LoadReport;

/// A load report of the parts of cores and memory in use.
fn busy_and_memory(busy: f64, memory: f64) -> LoadReport {
    LoadReport { busy: Some(busy), memory: Some(memory), ..LoadReport::default() }
}

/// A load report of the part of the cores in use alone.
fn busy_only(busy: f64) -> LoadReport {
    LoadReport { busy: Some(busy), ..LoadReport::default() }
}

/// A load report of the part of the memory in use alone.
fn memory_only(memory: f64) -> LoadReport {
    LoadReport { memory: Some(memory), ..LoadReport::default() }
}

/// A load report of so many requests in flight alone.
fn in_flight(requests: f64) -> Option<LoadReport> {
    Some(LoadReport { in_flight: Some(requests), ..LoadReport::default() })
}
