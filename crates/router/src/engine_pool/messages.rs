//! The messages between the router and engines: encodes commands and decodes replies, both of which are RESP arrays.

use super::result_pages::MAX_RESULT_BYTES;
use crate::clock::whole_ms;
use crate::resp::{self, RespError};
use emberflow::{LoadReport, ProgressUpdate, Usage};
use emberflow_settings::{build_load_report, from_ms};
use std::str::Utf8Error;
use std::time::Duration;
use thiserror::Error;

/// Limit of the number of pages of a result.
const MAX_PAGES: usize = 256;
/// The smallest memory grant that is sent to an engine, in MB.
const MIN_GRANT_MB: f64 = 1.0;
/// The separator between the fields of a reply, and the separator between a field's name and its value.
const FIELD_SEPARATORS: (char, char) = (',', '=');
/// The same separators within a load report.
const LOAD_SEPARATORS: (char, char) = (';', ':');
/// Value of a `stall` report if the attempt waits for memory.
const STALLED_FOR_MEMORY: f64 = 1.0;
/// Value of a `stall` report if the attempt waits for a bulk load of its table group.
const STALLED_FOR_BULK_LOAD: f64 = 2.0;

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

/// A message to an engine. Its `id` is the name of the attempt's request, or the id of a health check.
pub(super) enum EngineCommand<'a> {
    /// Runs a statement.
    Run(RunCommand<'a>),
    /// Requests a further page of a result; the first page has the number 0.
    Page { id: &'a str, page: usize },
    /// Changes the priority of a running statement.
    Priority { id: &'a str, priority: u8 },
    /// Cancels a running statement.
    Cancel { id: &'a str },
    /// Discards a result whose pages were not all fetched.
    Discard { id: &'a str },
    /// Requests a [`ReplyKind::Pong`] under the same id.
    Ping { id: &'a str },
}

impl EngineCommand<'_> {
    /// Encodes the message as a RESP array.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Self::Run(run) => resp::encode_array(&[
                b"GET",
                run.id.as_bytes(),
                run.encode_fields().as_bytes(),
                run.statement,
            ]),
            Self::Page { id, page } => {
                resp::encode_array(&[b"PAGE", id.as_bytes(), page.to_string().as_bytes()])
            }
            Self::Priority { id, priority } => {
                resp::encode_array(&[b"RANK", id.as_bytes(), priority.to_string().as_bytes()])
            }
            Self::Cancel { id } => resp::encode_array(&[b"DROP", id.as_bytes()]),
            Self::Discard { id } => resp::encode_array(&[b"CLOSE", id.as_bytes()]),
            Self::Ping { id } => resp::encode_array(&[b"PING", id.as_bytes()]),
        }
    }
}

/// The command that runs a statement.
pub(super) struct RunCommand<'a> {
    pub id: &'a str,
    /// The request class, by its name in the settings.
    pub class: &'a str,
    /// Time until the deadline; at least 1 ms is sent.
    pub time_left: Duration,
    pub idempotency_key: Option<&'a str>,
    /// Memory that the statement may use, in MB. A grant below 1 MB is not sent.
    pub grant_mb: f64,
    pub priority: u8,
    pub statement: &'a [u8],
}

impl RunCommand<'_> {
    fn encode_fields(&self) -> String {
        let mut fields =
            vec![format!("queue={}", self.class), format!("budget={}", whole_ms(self.time_left).max(1))];
        if let Some(key) = self.idempotency_key {
            fields.push(format!("uniq={key}"));
        }
        if self.grant_mb >= MIN_GRANT_MB {
            fields.push(format!("mem={}", self.grant_mb.round() as u64));
        }
        fields.push(format!("prio={}", self.priority));
        fields.join(",")
    }
}

/// The type of a reply.
#[derive(Debug, PartialEq)]
pub(super) enum ReplyKind {
    /// The first page of a result.
    Result,
    /// A further page of a result.
    Page,
    /// A report of an attempt's progress.
    Progress,
    /// The engine did not run the attempt, because it was overloaded or because the attempt's deadline had passed.
    Overloaded,
    /// The statement has failed.
    Failed,
    /// The answer to a ping.
    Pong,
    /// A type that the protocol does not define. It is an error only in a reply to an attempt in flight.
    Unknown(String),
}

impl ReplyKind {
    fn decode(reply_type: &str) -> Self {
        match reply_type {
            "HIT" => Self::Result,
            "PART" => Self::Page,
            "INFO" => Self::Progress,
            "SHED" | "LATE" => Self::Overloaded,
            "FAULT" => Self::Failed,
            "PONG" => Self::Pong,
            unknown => Self::Unknown(unknown.to_owned()),
        }
    }
}

/// A message from an engine. The fields are decoded on access, so that malformed fields of an ignored reply cause no
/// error.
pub(super) struct EngineReply {
    /// The name of the attempt's request, or the id of a health check.
    pub id: String,
    pub kind: ReplyKind,
    pub fields: ReplyFields,
    pub body: Vec<u8>,
}

impl EngineReply {
    /// Decodes the first reply in `bytes`, and returns it with its encoded length in bytes. Returns `None` until the
    /// reply is complete.
    pub fn decode(bytes: &[u8]) -> Result<Option<(Self, usize)>, EngineProtocolError> {
        let Some(array) = resp::parse_array(bytes)? else { return Ok(None) };
        // A reply may omit parts at its end; they count as empty.
        let mut parts = array.parts.iter().copied();
        let mut next_part = || parts.next().unwrap_or_default();
        let id = decode_text(next_part(), "id")?;
        let kind = ReplyKind::decode(&decode_text(next_part(), "type")?);
        let fields = ReplyFields(decode_text(next_part(), "fields")?);
        let body = next_part().to_vec();
        Ok(Some((Self { id, kind, fields, body }, array.length)))
    }
}

fn decode_text(part: &[u8], name: &'static str) -> Result<String, EngineProtocolError> {
    let text = std::str::from_utf8(part);
    text.map(str::to_owned).map_err(|source| EngineProtocolError::NotUtf8 { part: name, source })
}

/// The fields of a reply, as `name=value` separated by commas.
pub(super) struct ReplyFields(String);

impl ReplyFields {
    fn text(&self, name: &str) -> Option<&str> {
        resp::field_value(&self.0, name, FIELD_SEPARATORS)
    }

    /// Decodes a numeric field; `None` if the reply does not have it. A negative number counts as 0.
    fn number(&self, name: &str) -> Result<Option<f64>, EngineProtocolError> {
        let number = self.text(name).map(|value| parse_number(name, value)).transpose()?;
        Ok(number.map(|number| number.max(0.0)))
    }

    /// Decodes the load report, if the reply carries one.
    pub fn load_report(&self) -> Result<Option<LoadReport>, EngineProtocolError> {
        self.text("use").map(parse_load_report).transpose()
    }

    /// Whether a result has more than one page. A reply that does not give the number of pages has one.
    pub fn has_further_pages(&self) -> Result<bool, EngineProtocolError> {
        Ok(self.number("pages")?.is_some_and(|pages| pages > 1.0))
    }

    /// Decodes the number of pages of a result, which is 1 if the reply does not give it.
    pub fn page_count(&self) -> Result<usize, EngineProtocolError> {
        let pages = self.number("pages")?.unwrap_or(1.0);
        if !(1.0..=MAX_PAGES as f64).contains(&pages) {
            return Err(EngineProtocolError::PageCount(pages));
        }
        Ok(pages as usize)
    }

    /// Decodes the number of a further page of a result.
    pub fn page_number(&self) -> Result<usize, EngineProtocolError> {
        let page = self.number("page")?.ok_or(EngineProtocolError::NoPageNumber)?;
        Ok(page as usize)
    }

    /// Decodes the resources that the engine used for a result: the cost in ms and the memory in MB. Returns `None`
    /// unless the reply has both.
    pub fn usage(&self) -> Result<Option<Usage>, EngineProtocolError> {
        let cost_and_memory = self.number("cost")?.zip(self.number("need")?);
        Ok(cost_and_memory.map(|(ms, memory_mb)| Usage { work: from_ms(ms), memory_mb }))
    }

    /// Decodes a progress report.
    pub fn progress(&self) -> Result<ProgressUpdate, EngineProtocolError> {
        let value = self.number("v")?;
        match (self.text("detail"), value) {
            (Some("advance"), Some(fraction)) => Ok(ProgressUpdate::Fraction(fraction)),
            (Some("disk"), Some(missing_mb)) => Ok(ProgressUpdate::Spilling(missing_mb)),
            (Some("stall"), Some(STALLED_FOR_MEMORY)) => Ok(ProgressUpdate::WaitingForMemory),
            (Some("stall"), Some(STALLED_FOR_BULK_LOAD)) => Ok(ProgressUpdate::WaitingForBulkLoad),
            (None, _) => Ok(ProgressUpdate::Running),
            (detail, value) => {
                let detail = detail.map(str::to_owned);
                Err(EngineProtocolError::UnknownProgress { detail, value })
            }
        }
    }
}

/// Decodes a load report. Each of its values may be given under one of several names.
fn parse_load_report(text: &str) -> Result<LoadReport, EngineProtocolError> {
    build_load_report(|names| {
        for name in names {
            if let Some(value) = resp::field_value(text, name, LOAD_SEPARATORS) {
                return parse_number(name, value).map(Some);
            }
        }
        Ok(None)
    })
}

fn parse_number(name: &str, value: &str) -> Result<f64, EngineProtocolError> {
    let number = value.parse().ok().filter(|number: &f64| number.is_finite());
    let malformed = || EngineProtocolError::NotANumber { name: name.to_owned(), value: value.to_owned() };
    number.ok_or_else(malformed)
}
