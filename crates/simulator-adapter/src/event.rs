//! Decodes the simulator's messages to an instance into inputs of the scheduler.
//!
//! The decoded events still contain the simulator's names of requests, engines and keys. The instance maps them to
//! numbers.

use crate::error::AdapterError;
use emberflow::{AttemptOutcome, EndpointUpdate, Lifecycle, ProgressUpdate, Usage};
use emberflow_settings::{Fields, SettingsError, from_ms};
use serde_json::Value;
use std::time::Duration;

/// An input of an instance's scheduler. `engine` and `request` are the simulator's names.
pub enum Event<'a> {
    /// The endpoint list could not be read.
    EndpointListFailed,
    /// The endpoint list has changed. The table with this number contains the complete list or the changed endpoints.
    EndpointsChanged { update: EndpointUpdate, table: u64 },
    /// The instance has received a request from a client.
    RequestArrived(ArrivedRequest<'a>),
    /// The engine has answered an attempt, or the attempt has ended without an answer.
    AttemptEnded(EndedAttempt<'a>),
    /// An engine has reported the progress of an attempt.
    Progress { request: &'a str, attempt: usize, update: ProgressUpdate },
    /// The client of a request has cancelled it or disconnected.
    ClientLeft { request: &'a str },
    /// The scheduler's wake-up is due.
    Wake,
    /// An engine has answered a health check, with the figures of its load report if there is one.
    ProbeEnded { engine: &'a str, report_figures: Option<&'a [Value]> },
    /// A message that is not an input of the scheduler.
    Ignored,
}

/// The properties of a request at its arrival.
pub struct ArrivedRequest<'a> {
    /// The request's name.
    pub request: &'a str,
    /// The index of the request class.
    pub class: usize,
    /// Requests with the same key run in order of arrival, if their class requires it.
    pub key: Option<&'a str>,
    /// Expected time on one core.
    pub estimated_work: Option<Duration>,
    /// Expected memory, in MB.
    pub estimated_memory_mb: Option<f64>,
    /// Time from the arrival to the request's deadline.
    pub deadline: Duration,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
    /// The number of the group of tables that the request uses, if known.
    pub table_group: Option<u64>,
}

/// The outcome of an attempt, and the engine's usage and load at its end.
pub struct EndedAttempt<'a> {
    /// The request's name.
    pub request: &'a str,
    /// The attempt's number within the request, counted from 0.
    pub attempt: usize,
    /// The engine's name.
    pub engine: &'a str,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Time since the attempt was sent.
    pub elapsed: Duration,
    /// The work and memory that the attempt used; `None` if the message does not say.
    pub usage: Option<Usage>,
    /// The figures of the engine's load report, in the order of the settings; `None` without a report.
    pub report_figures: Option<&'a [Value]>,
    /// Whether the request has been answered, by this attempt or before.
    pub request_done: bool,
}

/// A row of a table of endpoints.
pub struct EndpointRow<'a> {
    /// The engine's name.
    pub engine: &'a str,
    /// The index of the engine's location, counted from 0.
    pub location: usize,
    /// The index of the engine's kind, counted from 0.
    pub kind: usize,
    /// The number of the failure domain within the location.
    pub cell: u64,
    /// Whether the engine is ready, draining or removed.
    pub lifecycle: Lifecycle,
    /// The time at which the engine was started, if known.
    pub launched_at: Option<Duration>,
}

/// `sort` of a progress message whose `value` is the completed fraction of the work.
const FRACTION_PROGRESS: u64 = 1;
/// `sort` of a progress message whose `value` is the missing memory in MB.
const SPILLING_PROGRESS: u64 = 2;
/// `sort` of a progress message whose `value` is the reason of a wait.
const WAITING_PROGRESS: u64 = 3;
/// `value` of a progress message about a wait for memory.
const WAIT_FOR_MEMORY: f64 = 1.0;
/// `value` of a progress message about a wait for a bulk load.
const WAIT_FOR_LOAD: f64 = 2.0;

/// `usedUp` is the work of an attempt in milliseconds, times this factor, plus the memory in units of
/// [`USAGE_MEMORY_UNIT_MB`].
const USAGE_WORK_FACTOR: u64 = 4096;
/// Unit of the memory in `usedUp`, in MB.
const USAGE_MEMORY_UNIT_MB: u64 = 4;

impl<'a> Event<'a> {
    /// Decodes a message to an instance. `operation` is the message's `op`.
    ///
    /// # Errors
    /// Fails if the operation is unknown, or if a field is missing or invalid.
    pub fn decode(operation: &str, message: Fields<'a>) -> Result<Self, AdapterError> {
        Ok(match operation {
            "ANNOUNCE" => Self::decode_announcement(message)?,
            "ACCEPT" => Self::RequestArrived(ArrivedRequest::decode(message)?),
            "ENDED" => Self::AttemptEnded(EndedAttempt::decode(message)?),
            "NOTICE" => Self::decode_progress(message)?,
            "CANCELLED_BY_CLIENT" => Self::ClientLeft { request: message.text("ref")? },
            "BELL" => Self::Wake,
            "PROBE_DONE" => {
                Self::ProbeEnded { engine: message.text("engine")?, report_figures: report_figures(message) }
            }
            "INBOX" | "STARTED" => Self::Ignored,
            _ => return Err(AdapterError::UnknownOperation { operation: operation.to_owned() }),
        })
    }

    fn decode_announcement(message: Fields<'_>) -> Result<Self, AdapterError> {
        let update = match message.text("mode")? {
            "broken" => return Ok(Self::EndpointListFailed),
            "patch" => EndpointUpdate::Changes,
            _ => EndpointUpdate::FullList,
        };
        Ok(Self::EndpointsChanged { update, table: message.unsigned("ref")? })
    }

    fn decode_progress(message: Fields<'a>) -> Result<Self, AdapterError> {
        let request = message.text("ref")?;
        let attempt = message.index("hop")?;
        let value = message.number("value")?;
        let update = match (message.unsigned("sort")?, value) {
            (FRACTION_PROGRESS, fraction) => ProgressUpdate::Fraction(fraction),
            (SPILLING_PROGRESS, missing_mb) => ProgressUpdate::Spilling(missing_mb),
            (WAITING_PROGRESS, WAIT_FOR_MEMORY) => ProgressUpdate::WaitingForMemory,
            (WAITING_PROGRESS, WAIT_FOR_LOAD) => ProgressUpdate::WaitingForBulkLoad,
            (sort, value) => return Err(AdapterError::UnknownProgress { sort, value }),
        };
        Ok(Self::Progress { request, attempt, update })
    }
}

impl<'a> ArrivedRequest<'a> {
    fn decode(message: Fields<'a>) -> Result<Self, SettingsError> {
        Ok(Self {
            request: message.text("ref")?,
            class: message.index("qos")?,
            key: message.optional("table", Fields::text)?,
            estimated_work: message.get_time("estimateMs").filter(|work| !work.is_zero()),
            estimated_memory_mb: message.get_number("needMb").filter(|memory| *memory > 0.0),
            deadline: from_ms(message.number("graceMs")?),
            is_retry: message.get_flag("repeat"),
            table_group: message.get_number("tableGroup").map(|group| group as u64),
        })
    }
}

impl<'a> EndedAttempt<'a> {
    fn decode(message: Fields<'a>) -> Result<Self, AdapterError> {
        Ok(Self {
            request: message.text("ref")?,
            attempt: message.index("hop")?,
            engine: message.text("engine")?,
            outcome: attempt_outcome(message.text("result")?)?,
            elapsed: message.time("delaySeenMs")?,
            usage: usage(message),
            report_figures: report_figures(message),
            request_done: message.flag("noMore")?,
        })
    }
}

impl<'a> EndpointRow<'a> {
    /// Decodes a row of a table. Paths in errors start at the row.
    ///
    /// # Errors
    /// Fails if a field is missing or invalid.
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
            launched_at: row.get_time("launchedMs").filter(|at| !at.is_zero()),
        })
    }
}

/// Decodes the work and memory that an attempt used. See [`USAGE_WORK_FACTOR`] for the encoding.
fn usage(message: Fields<'_>) -> Option<Usage> {
    let encoded = message.get_number("usedUp").unwrap_or(0.0) as u64;
    (encoded > 0).then(|| Usage {
        work: Duration::from_millis(encoded / USAGE_WORK_FACTOR),
        memory_mb: (encoded % USAGE_WORK_FACTOR * USAGE_MEMORY_UNIT_MB) as f64,
    })
}

/// Returns the figures of a load report, in the order of the settings; `None` if the message has no report.
fn report_figures(message: Fields<'_>) -> Option<&[Value]> {
    message.get("stats")?.as_array().map(Vec::as_slice)
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
