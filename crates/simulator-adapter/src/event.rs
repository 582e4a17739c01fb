//! The simulator's messages to an instance, decoded into the scheduler's terms.
//!
//! Requests, engines and keys still have the simulator's names; the instance maps them to numbers.

use crate::error::AdapterError;
use emberflow::{AttemptOutcome, EndpointUpdate, Lifecycle, ProgressUpdate, Usage};
use emberflow_settings::{Fields, SettingsError, from_ms};
use serde_json::Value;
use std::time::Duration;

/// An event that an instance's scheduler is told of.
pub enum Event<'a> {
    /// The endpoint list could not be read.
    EndpointListFailed,
    /// The endpoint list is, or changes by, the rows of a table.
    EndpointsChanged { update: EndpointUpdate, table: u64 },
    /// A request arrives.
    Accept(Accept<'a>),
    /// An attempt has ended.
    AttemptEnded(AttemptEnd<'a>),
    /// An engine reports an attempt's progress.
    Progress { request: &'a str, attempt: usize, note: ProgressUpdate },
    /// The client of a request has left.
    ClientLeft { request: &'a str },
    /// A wait that the scheduler asked for is over.
    Wake,
    /// An engine has answered a health check.
    Probed { engine: &'a str, stats: Option<&'a [Value]> },
    /// A message that the scheduler has no use for.
    Ignored,
}

/// A request that arrives.
pub struct Accept<'a> {
    pub request: &'a str,
    /// Index of its class.
    pub class: usize,
    pub key: Option<&'a str>,
    pub cost: Option<Duration>,
    pub memory_mb: Option<f64>,
    pub deadline: Duration,
    /// Whether it is marked as a retry.
    pub is_retry: bool,
    pub group: Option<u64>,
}

/// The end of an attempt.
pub struct AttemptEnd<'a> {
    pub request: &'a str,
    pub attempt: usize,
    pub engine: &'a str,
    pub outcome: AttemptOutcome,
    pub elapsed: Duration,
    pub usage: Option<Usage>,
    pub stats: Option<&'a [Value]>,
    /// Whether the request was answered with it.
    pub request_done: bool,
}

/// A row of a table of endpoints.
pub struct EndpointRow<'a> {
    pub engine: &'a str,
    pub location: usize,
    pub kind: usize,
    pub cell: u64,
    pub lifecycle: Lifecycle,
    pub launched: Option<Duration>,
}

impl<'a> Event<'a> {
    /// Decodes a message whose `op` is `operation`.
    pub fn decode(operation: &str, line: Fields<'a>) -> Result<Self, AdapterError> {
        Ok(match operation {
            "ANNOUNCE" => Self::decode_announcement(line)?,
            "ACCEPT" => Self::Accept(Accept::decode(line)?),
            "ENDED" => Self::AttemptEnded(AttemptEnd::decode(line)?),
            "NOTICE" => Self::decode_progress(line)?,
            "CANCELLED_BY_CLIENT" => Self::ClientLeft { request: line.text("ref")? },
            "BELL" => Self::Wake,
            "PROBE_DONE" => Self::Probed { engine: line.text("engine")?, stats: stats(line) },
            "INBOX" | "STARTED" => Self::Ignored,
            _ => return Err(AdapterError::UnknownOperation { operation: operation.to_owned() }),
        })
    }

    fn decode_announcement(line: Fields<'_>) -> Result<Self, AdapterError> {
        let update = match line.text("mode")? {
            "broken" => return Ok(Self::EndpointListFailed),
            "patch" => EndpointUpdate::Changes,
            _ => EndpointUpdate::FullList,
        };
        Ok(Self::EndpointsChanged { update, table: line.unsigned("ref")? })
    }

    fn decode_progress(line: Fields<'a>) -> Result<Self, AdapterError> {
        let request = line.text("ref")?;
        let attempt = line.index("hop")?;
        let value = line.number("value")?;
        let note = match (line.unsigned("sort")?, value) {
            (1, fraction) => ProgressUpdate::Fraction(fraction),
            (2, missing_mb) => ProgressUpdate::Spilling(missing_mb),
            (3, 1.0) => ProgressUpdate::WaitingForMemory,
            (3, 2.0) => ProgressUpdate::WaitingForLoad,
            (sort, value) => return Err(AdapterError::UnknownProgressNote { sort, value }),
        };
        Ok(Self::Progress { request, attempt, note })
    }
}

impl<'a> Accept<'a> {
    fn decode(line: Fields<'a>) -> Result<Self, SettingsError> {
        Ok(Self {
            request: line.text("ref")?,
            class: line.index("qos")?,
            key: line.optional("table", Fields::text)?,
            cost: line.get_time("estimateMs").filter(|cost| !cost.is_zero()),
            memory_mb: line.get_number("needMb").filter(|memory| *memory > 0.0),
            deadline: from_ms(line.number("graceMs")?),
            is_retry: line.get_flag("repeat"),
            group: line.get_number("tableGroup").map(|group| group as u64),
        })
    }
}

impl<'a> AttemptEnd<'a> {
    fn decode(line: Fields<'a>) -> Result<Self, AdapterError> {
        Ok(Self {
            request: line.text("ref")?,
            attempt: line.index("hop")?,
            engine: line.text("engine")?,
            outcome: attempt_outcome(line.text("result")?)?,
            elapsed: line.time("delaySeenMs")?,
            usage: usage(line),
            stats: stats(line),
            request_done: line.flag("noMore")?,
        })
    }
}

impl<'a> EndpointRow<'a> {
    /// Decodes a row; paths in errors start at the row.
    pub fn decode(row: &'a Value) -> Result<Self, SettingsError> {
        let row = Fields::of(row);
        Ok(Self {
            engine: row.text("engine")?,
            location: row.index("site")?,
            kind: row.index("flavor")?,
            cell: row.unsigned("cohort")?,
            lifecycle: match row.text("condition")? {
                "healthy" => Lifecycle::Ready,
                "deregistered" => Lifecycle::Removed,
                _ => Lifecycle::Draining,
            },
            launched: row.get_time("launchedMs").filter(|at| !at.is_zero()),
        })
    }
}

/// What an attempt used: milliseconds of work times `MEMORY_STEPS`, plus memory in steps.
fn usage(line: Fields<'_>) -> Option<Usage> {
    const MEMORY_STEPS: u64 = 4096;
    const STEP_MB: u64 = 4;
    let used = line.get_number("usedUp").unwrap_or(0.0) as u64;
    (used > 0).then(|| Usage {
        cost: Duration::from_millis(used / MEMORY_STEPS),
        memory_mb: (used % MEMORY_STEPS * STEP_MB) as f64,
    })
}

/// The figures of a load report, in the order that the settings name.
fn stats(line: Fields<'_>) -> Option<&[Value]> {
    line.get("stats")?.as_array().map(Vec::as_slice)
}

fn attempt_outcome(result: &str) -> Result<AttemptOutcome, AdapterError> {
    Ok(match result {
        "success" => AttemptOutcome::Succeeded,
        "failure" => AttemptOutcome::Failed,
        "overloaded" => AttemptOutcome::Overloaded,
        "timed_out" => AttemptOutcome::TimedOut,
        "unreachable" => AttemptOutcome::Unreachable,
        "broken" => AttemptOutcome::Broken,
        "withdrawn" => AttemptOutcome::Cancelled,
        "void" => AttemptOutcome::NotSent,
        other => return Err(AdapterError::UnknownResult(other.to_owned())),
    })
}
