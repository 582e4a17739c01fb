//! Errors in the replies of engines.

use super::reply_fields::MAX_PAGES;
use super::result_pages::MAX_RESULT_BYTES;
use crate::config::MAX_PEER_NUMBER;
use crate::field_list::FieldListError;
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
    /// The fields of a reply, or the figures of its load report, are not a list of names and values.
    #[error("fields of an engine reply are malformed: {0}")]
    Fields(#[from] FieldListError),
    /// A reply to an attempt in flight has this type, which the protocol does not define.
    #[error("engine reply has the unknown type `{}`", .0.escape_debug())]
    UnknownReply(String),
    /// A numeric field of a reply or a load report is not a number in the accepted range.
    #[error(
        "field `{name}` of an engine reply is not a number from 0 to {max}: `{}`",
        .value.escape_debug(),
        max = MAX_PEER_NUMBER
    )]
    NotANumber {
        /// Name of the field on the wire.
        name: String,
        /// The value that was received.
        value: String,
    },
    /// A field of a reply that counts pages is not a whole number.
    #[error("field `{name}` of an engine reply is not a whole number: {value}")]
    NotWhole {
        /// Name of the field on the wire.
        name: String,
        /// The value that was received.
        value: f64,
    },
    /// The first page of a result does not carry the number of pages.
    #[error("result has no field `pages` with the number of its pages")]
    NoPageCount,
    /// A result has this number of pages, which is below 1 or above the limit.
    #[error("result has {0} pages, expected 1 to {max}", max = MAX_PAGES)]
    PageCount(usize),
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
    /// A page of a result of several pages has no rows.
    #[error("page {0} of a result of several pages has no rows")]
    EmptyPage(usize),
    /// A page of a result, or its number of pages, was repeated with other content.
    #[error("page {0} of a result was repeated with other content")]
    ContradictoryPage(usize),
    /// An engine has reported that an attempt never ran after it had sent a page of the attempt's result.
    #[error("engine reported that an attempt never ran after a page of its result")]
    RejectedAfterResult,
    /// A page is not UTF-8, ends within a row, or has a row without exactly three columns.
    #[error("result page is not UTF-8 text in complete rows of three columns")]
    MalformedRows,
    /// The pages of a result have this number of bytes in total, which exceeds the limit.
    #[error("result has {0} bytes, more than the limit of {max}", max = MAX_RESULT_BYTES)]
    ResultTooLarge(usize),
}
