//! The messages between the router and engines, as RESP arrays.

use crate::clock::whole_ms;
use crate::resp::{self, RespError};
use emberflow::{LoadReport, ProgressUpdate, Usage};
use emberflow_settings::{build_load_report, from_ms};
use std::str::Utf8Error;
use std::time::Duration;
use thiserror::Error;

/// Pages of the largest result.
const MAX_PAGES: usize = 256;
/// The smallest memory grant that is sent to an engine, in MB.
const MIN_GRANT_MB: f64 = 1.0;
/// Separators of a reply's fields, and of the figures within its load report.
const FIELD_SEPARATORS: (char, char) = (',', '=');
const LOAD_SEPARATORS: (char, char) = (';', ':');

/// Why what an engine sent makes no sense; its connection is closed.
#[derive(Debug, Error)]
pub enum EngineProtocolError {
    /// The bytes are no RESP array.
    #[error("decoding a reply: {0}")]
    Resp(#[from] RespError),
    #[error("decoding the {part} of a reply: {source}")]
    NotUtf8 { part: &'static str, source: Utf8Error },
    #[error("reply of unknown type `{0}`")]
    UnknownReply(String),
    #[error("field `{name}` is not a number: {value}")]
    NotANumber { name: String, value: String },
    #[error("result of {0} pages")]
    PageCount(f64),
    #[error("page without its number")]
    NoPageNumber,
    #[error("progress note of detail {detail:?} and value {value:?}")]
    UnknownProgress { detail: Option<String>, value: Option<f64> },
    /// A page is not made of complete rows.
    #[error("page that is not made of complete rows of three columns")]
    MalformedRows,
    #[error("result of {0} bytes")]
    ResultTooLarge(usize),
}

/// A message to an engine. Engines know an attempt by the id of its request.
pub(super) enum EngineCommand<'a> {
    /// Runs a statement.
    Run(RunCommand<'a>),
    /// Requests a further page of a result.
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
    /// Encodes the message.
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
    /// Memory that the statement may use. A grant below 1 MB is not sent.
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
    /// A note on an attempt's progress.
    Progress,
    /// The engine has shed the attempt, or found it too late to run.
    Overloaded,
    /// The statement has failed.
    Failed,
    /// The answer to a ping.
    Pong,
    /// Refused once it is known that the reply names an attempt.
    Unknown(String),
}

impl ReplyKind {
    fn decode(word: &str) -> Self {
        match word {
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

/// A message from an engine. Its fields are decoded by whoever needs them: those of a reply that is ignored may
/// be malformed.
pub(super) struct EngineReply {
    /// The id of the request that it is about.
    pub id: String,
    pub kind: ReplyKind,
    pub fields: ReplyFields,
    pub body: Vec<u8>,
}

impl EngineReply {
    /// Decodes the first reply in `bytes` and returns it with its length; `None` until it is complete.
    pub fn decode(bytes: &[u8]) -> Result<Option<(Self, usize)>, EngineProtocolError> {
        let Some(array) = resp::parse_array(bytes)? else { return Ok(None) };
        let part = |at: usize| array.parts.get(at).copied().unwrap_or_default();
        let text = |at: usize, name: &'static str| {
            let text = std::str::from_utf8(part(at));
            text.map(str::to_owned).map_err(|source| EngineProtocolError::NotUtf8 { part: name, source })
        };
        let id = text(0, "id")?;
        let kind = ReplyKind::decode(&text(1, "type")?);
        let fields = ReplyFields(text(2, "fields")?);
        let body = part(3).to_vec();
        Ok(Some((Self { id, kind, fields, body }, array.length)))
    }
}

/// The fields of a reply, as `name=value` with commas between.
pub(super) struct ReplyFields(String);

impl ReplyFields {
    fn text(&self, name: &str) -> Option<&str> {
        resp::field(&self.0, name, FIELD_SEPARATORS)
    }

    /// A number; a negative one counts as 0.
    fn number(&self, name: &str) -> Result<Option<f64>, EngineProtocolError> {
        let number = self.text(name).map(|value| parse_number(name, value)).transpose()?;
        Ok(number.map(|number| number.max(0.0)))
    }

    /// The load that the engine reports along with the reply.
    pub fn load_report(&self) -> Result<Option<LoadReport>, EngineProtocolError> {
        self.text("use").map(parse_load_report).transpose()
    }

    /// Whether a result has further pages.
    pub fn has_further_pages(&self) -> Result<bool, EngineProtocolError> {
        Ok(self.number("pages")?.is_some_and(|pages| pages > 1.0))
    }

    /// How many pages a result has.
    pub fn page_count(&self) -> Result<usize, EngineProtocolError> {
        let pages = self.number("pages")?.unwrap_or(1.0);
        if !(1.0..=MAX_PAGES as f64).contains(&pages) {
            return Err(EngineProtocolError::PageCount(pages));
        }
        Ok(pages as usize)
    }

    /// The number of a further page.
    pub fn page_number(&self) -> Result<usize, EngineProtocolError> {
        let page = self.number("page")?.ok_or(EngineProtocolError::NoPageNumber)?;
        Ok(page as usize)
    }

    /// What a result has cost its engine, where it says both figures.
    pub fn usage(&self) -> Result<Option<Usage>, EngineProtocolError> {
        let figures = self.number("cost")?.zip(self.number("need")?);
        Ok(figures.map(|(ms, memory_mb)| Usage { cost: from_ms(ms), memory_mb }))
    }

    /// What a progress reply says.
    pub fn progress(&self) -> Result<ProgressUpdate, EngineProtocolError> {
        let value = self.number("v")?;
        match (self.text("detail"), value) {
            (Some("advance"), Some(fraction)) => Ok(ProgressUpdate::Fraction(fraction)),
            (Some("disk"), Some(missing_mb)) => Ok(ProgressUpdate::Spilling(missing_mb)),
            (Some("stall"), Some(1.0)) => Ok(ProgressUpdate::WaitingForMemory),
            (Some("stall"), Some(2.0)) => Ok(ProgressUpdate::WaitingForLoad),
            (None, _) => Ok(ProgressUpdate::Running),
            (detail, value) => {
                let detail = detail.map(str::to_owned);
                Err(EngineProtocolError::UnknownProgress { detail, value })
            }
        }
    }
}

/// Decodes a load report, in which a figure may stand under any of its names.
fn parse_load_report(text: &str) -> Result<LoadReport, EngineProtocolError> {
    build_load_report(|names| {
        let found = names.iter().find_map(|name| Some((*name, resp::field(text, name, LOAD_SEPARATORS)?)));
        found.map(|(name, value)| parse_number(name, value)).transpose()
    })
}

fn parse_number(name: &str, value: &str) -> Result<f64, EngineProtocolError> {
    let number = value.parse().ok().filter(|number: &f64| number.is_finite());
    let malformed = || EngineProtocolError::NotANumber { name: name.to_owned(), value: value.to_owned() };
    number.ok_or_else(malformed)
}
