//! Short traces of decisions, which show how the scheduler applies its limits and handles failures. Running the tests
//! with `UPDATE_EXPECT=1` updates the expected texts; read the diff before you commit it.

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

/// Returns a load report with the fractions of cores and memory in use.
fn cores_and_memory(cores: f64, memory: f64) -> LoadReport {
    LoadReport { core_utilization: Some(cores), memory_utilization: Some(memory), ..LoadReport::default() }
}

/// Returns a load report with only the fraction of cores in use.
fn cores_only(cores: f64) -> LoadReport {
    LoadReport { core_utilization: Some(cores), ..LoadReport::default() }
}

/// Returns a load report with only the fraction of memory in use.
fn memory_only(memory: f64) -> LoadReport {
    LoadReport { memory_utilization: Some(memory), ..LoadReport::default() }
}

/// Returns a load report with only the number of requests that the engine runs or queues.
fn in_flight_only(requests: f64) -> Option<LoadReport> {
    Some(LoadReport { in_flight: Some(requests), ..LoadReport::default() })
}

/// Continues a trace with two requests without estimates: accepts the first one, ends it with success at `elapsed_ms`
/// with a report of the engine's requests in flight, and then accepts the second one.
fn measure_without_estimates(trace: &mut Trace, elapsed_ms: u64, requests_in_flight: f64) {
    trace.accept(SHORT, 0, 0.0).at(elapsed_ms).succeeded_after(
        0,
        0,
        elapsed_ms,
        in_flight_only(requests_in_flight),
    );
    trace.accept(SHORT, 0, 0.0);
}

/// Starts a trace with one engine and a request without estimates that used 50 ms of work and 100 MB.
fn trace_with_one_reported_usage() -> Trace {
    let mut trace = Trace::with_engines(1);
    trace.accept(SHORT, 0, 0.0).at(50).succeeded_with_usage(0, 0, 50, 100.0);
    trace
}
