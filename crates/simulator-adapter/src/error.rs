//! Errors of the simulator's input and of the output.

use emberflow_settings::SettingsError;
use std::fmt::{Display, Formatter};
use thiserror::Error;

/// An error with the line of input that led to it.
#[derive(Debug, Error)]
pub struct InputError {
    /// The number of the line, counted from 1; `None` if the error is at the end of the input.
    pub line: Option<usize>,
    /// The error.
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
    #[error("reading standard input: {0}")]
    Input(std::io::Error),
    /// Standard output cannot be written.
    #[error("writing standard output: {0}")]
    Output(std::io::Error),
    /// A line is not JSON.
    #[error("malformed JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A field of a message, or of the settings in it, is missing or invalid.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// A batch begins before the previous one has ended.
    #[error("a batch begins inside another")]
    NestedBatch,
    /// A message is outside a batch.
    #[error("`{operation}` outside a batch")]
    OutsideBatch {
        /// The message's `op`.
        operation: String,
    },
    /// A message has an unknown kind.
    #[error("unknown `op` {operation}")]
    UnknownOperation {
        /// The message's `op`.
        operation: String,
    },
    /// A message is addressed to an instance that was not started or was killed.
    #[error("event for the unknown instance {0}")]
    UnknownInstance(u64),
    /// An announcement refers to a table that was not sent.
    #[error("`ref` names no table")]
    UnknownTable,
    /// An attempt ended in an unknown way.
    #[error("unknown `result` {0}")]
    UnknownResult(String),
    /// A progress update has an unknown kind.
    #[error("`sort` {sort} with `value` {value} is unknown")]
    UnknownProgress {
        /// The message's `sort`.
        sort: u64,
        /// The message's `value`.
        value: f64,
    },
    /// The input ended before a batch did.
    #[error("input ended inside a batch")]
    UnfinishedBatch,
}
