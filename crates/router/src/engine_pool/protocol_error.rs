//! Errors in the replies of engines.

use super::reply_fields::MAX_PAGES;
use super::result_pages::MAX_RESULT_BYTES;
use crate::resp::RespError;
use std::str::Utf8Error;
use thiserror::Error;

/// An error in a reply of an engine. The router logs the error and closes the connection.
#[derive(Debug, Error)]
pub enum EngineProtocolError {
    /// The bytes are not a RESP array.
    #[error("engine reply is not a valid RESP array: {0}")]
    Resp(#[from] RespError),
    /// The id, the type or the fields of a reply are not UTF-8.
    #[error("{part} of an engine reply is not UTF-8: {source}")]
    NotUtf8 {
        /// Name of the part: `id`, `type` or `fields`.
        part: &'static str,
        /// The decoding error, with the position of the first invalid byte.
        source: Utf8Error,
    },
    /// A reply to an attempt in flight has this type, which the protocol does not define.
    #[error("engine reply has the unknown type `{0}`")]
    UnknownReply(String),
    /// A numeric field of a reply or a load report is not a finite number.
    #[error("field `{name}` of an engine reply is not a finite number: `{value}`")]
    NotANumber {
        /// Name of the field on the wire.
        name: String,
        /// The value that was received.
        value: String,
    },
    /// A result has this number of pages, which is below 1 or above the limit.
    #[error("result has {0} pages, expected 1 to {max}", max = MAX_PAGES)]
    PageCount(f64),
    /// A further page of a result does not carry its number.
    #[error("result page has no field `page` with its number")]
    NoPageNumber,
    /// A progress report has an unknown kind, or no valid value for its kind.
    #[error("progress report has an unknown kind or value: detail={detail:?} v={value:?}")]
    UnknownProgress {
        /// The kind of the report (`detail`).
        detail: Option<String>,
        /// The value of the report (`v`).
        value: Option<f64>,
    },
    /// A page is not UTF-8, ends within a row, or has a row without exactly three columns.
    #[error("result page is not UTF-8 text in complete rows of three columns")]
    MalformedRows,
    /// The pages of a result have this number of bytes in total, which exceeds the limit.
    #[error("result has {0} bytes, more than the limit of {max}", max = MAX_RESULT_BYTES)]
    ResultTooLarge(usize),
}
