//! Short traces of decisions, one for each limit and each failure. `UPDATE_EXPECT=1` renews the expected
//! texts; read the diff before it is committed.

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
use trace::{SHORT, Trace};

/// A load report with the fractions of cores and memory in use.
fn cores_and_memory(cores: f64, memory: f64) -> LoadReport {
    LoadReport { core_utilization: Some(cores), memory_utilization: Some(memory), ..LoadReport::default() }
}

/// A load report with the fraction of cores in use only.
fn cores_only(cores: f64) -> LoadReport {
    LoadReport { core_utilization: Some(cores), ..LoadReport::default() }
}

/// A load report with the fraction of memory in use only.
fn memory_only(memory: f64) -> LoadReport {
    LoadReport { memory_utilization: Some(memory), ..LoadReport::default() }
}

/// A load report with the number of requests in flight only.
fn in_flight(requests: f64) -> Option<LoadReport> {
    Some(LoadReport { in_flight: Some(requests), ..LoadReport::default() })
}

/// Continues a trace with a request without estimates that succeeds after an elapsed time in milliseconds,
/// with a report of the engine's requests in flight, and with a second such request, which is sent at once.
fn measure_without_estimates(trace: &mut Trace, elapsed: u64, requests_in_flight: f64) {
    trace.accept(SHORT, 0, 0.0).at(elapsed).succeeded_after(0, 0, elapsed, in_flight(requests_in_flight));
    trace.accept(SHORT, 0, 0.0);
}

/// Starts a trace with one engine and a request without estimates that was billed for 100 MB.
fn trace_with_one_reported_usage() -> Trace {
    let mut trace = Trace::with_engines(1);
    trace.accept(SHORT, 0, 0.0).at(50).succeeded_with_usage(0, 0, 50, 100.0);
    trace
}
