//! Errors of the adapter's input and output.

use emberflow_settings::SettingsError;
use std::fmt::{Display, Formatter};
use thiserror::Error;

/// An error with the line of the input at which it occurred.
#[derive(Debug, Error)]
pub struct InputError {
    /// The number of the line, counted from 1; `None` if the error is at the end of the input.
    pub line: Option<usize>,
    /// The cause.
    #[source]
    pub error: AdapterError,
}

impl Display for InputError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        if let Some(line) = self.line {
            write!(formatter, "line {line}: ")?;
        }
        write!(formatter, "{}", self.error)
    }
}

/// Errors that stop the adapter.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("standard input cannot be read: {0}")]
    Input(std::io::Error),
    /// Standard output cannot be written.
    #[error("standard output cannot be written: {0}")]
    Output(std::io::Error),
    /// A line of the input is not JSON.
    #[error("malformed JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A field of a message, or of the settings in it, is missing or invalid.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// A batch begins before the previous one has ended.
    #[error("`BEGIN_BATCH` inside a batch, expected `END` first")]
    NestedBatch,
    /// A message is outside a batch.
    #[error("`{operation}` outside a batch, expected `BEGIN_BATCH` first")]
    OutsideBatch {
        /// The message's `op`.
        operation: String,
    },
    /// The operation of a message is unknown.
    #[error("unknown operation: `op` is {operation}")]
    UnknownOperation {
        /// The message's `op`.
        operation: String,
    },
    /// A message is addressed to an instance that was not started or was killed.
    #[error("unknown instance: `who` is {0}, which was not started or was killed")]
    UnknownInstance(u64),
    /// An announcement refers to a table of endpoints that was not sent.
    #[error("unknown table of endpoints: `ref` is {0}")]
    UnknownTable(u64),
    /// The outcome of an attempt is unknown.
    #[error("unknown outcome of an attempt: `result` is {0}")]
    UnknownResult(String),
    /// The kind of a progress update is unknown, or the reason of a wait.
    #[error("unknown progress update: `sort` is {sort} and `value` is {value}")]
    UnknownProgress {
        /// The message's `sort`.
        sort: u64,
        /// The message's `value`.
        value: f64,
    },
    /// The input ended inside a batch.
    #[error("input ended inside a batch, expected `END` first")]
    UnfinishedBatch,
}
