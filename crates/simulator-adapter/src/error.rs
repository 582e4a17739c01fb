//! What can be wrong with the simulator's input or with the output.

use emberflow_settings::SettingsError;
use std::fmt::{Display, Formatter};
use thiserror::Error;

/// An error, and the line of input that led to it.
#[derive(Debug, Error)]
pub struct InputError {
    /// From 1 up; none where the input as a whole is wrong.
    pub line: Option<usize>,
    /// What is wrong.
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

/// Why the adapter stops.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input can't be read.
    #[error("input: {0}")]
    Input(std::io::Error),
    /// Standard output can't be written.
    #[error("output: {0}")]
    Output(std::io::Error),
    /// A line is no JSON.
    #[error("malformed JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A field of a message, or of the settings in it, is missing or makes no sense.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// A batch begins before the former one has ended.
    #[error("a batch begins inside another")]
    NestedBatch,
    /// A message stands outside of a batch.
    #[error("`{operation}` outside a batch")]
    OutsideBatch {
        /// The message's `op`.
        operation: String,
    },
    /// A message of an unknown kind.
    #[error("unknown `op` {operation}")]
    UnknownOperation {
        /// The message's `op`.
        operation: String,
    },
    /// A message to an instance that was not started or has been killed.
    #[error("event for the unknown instance {0}")]
    UnknownInstance(u64),
    /// An announcement refers to a table that was not sent.
    #[error("`ref` names no table")]
    UnknownTable,
    /// An attempt ended in an unknown way.
    #[error("unknown `result` {0}")]
    UnknownResult(String),
    /// A progress note of an unknown kind.
    #[error("`sort` {sort} with `value` {value} is unknown")]
    UnknownProgressNote {
        /// The note's `sort`.
        sort: u64,
        /// The note's `value`.
        value: f64,
    },
    /// The input ended before a batch did.
    #[error("input ended inside a batch")]
    UnfinishedBatch,
}
