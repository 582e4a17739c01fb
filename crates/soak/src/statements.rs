//! The statements that clients send and the rows that engines return for them. A statement specifies its work. The rows
//! contain the request id, the engine and the attempt, so that a client recognizes a wrong result.

use std::time::Duration;

const WORK_FIELD: &str = "work_ms=";
const MS_PER_SECOND: f64 = 1e3;

/// Returns work in milliseconds on one core.
pub fn work_ms(work: Duration) -> f64 {
    work.as_secs_f64() * MS_PER_SECOND
}

/// Returns a statement that specifies this work.
pub fn statement(work: Duration) -> String {
    format!("{WORK_FIELD}{}", work_ms(work))
}

/// Returns the work of a statement; `None` if the statement does not specify it.
pub fn work_of(statement: &str) -> Option<Duration> {
    let work_ms: f64 = statement.strip_prefix(WORK_FIELD)?.parse().ok()?;
    Some(Duration::from_secs_f64(work_ms / MS_PER_SECOND))
}

/// Returns a page of the result of an attempt of a request; `engine` and `attempt` are indices.
pub fn result_page(request_id: &str, engine: usize, attempt: usize, page: u32) -> String {
    match page {
        0 => format!("{request_id}\t{engine}\t{attempt}\n"),
        page => format!("{request_id}\t{engine}\t{attempt}.{page}\n"),
    }
}

/// Returns all rows of the result of an attempt, in their order.
pub fn result_rows(request_id: &str, engine: usize, attempt: usize, pages: u32) -> String {
    (0..pages).map(|page| result_page(request_id, engine, attempt, page)).collect()
}
