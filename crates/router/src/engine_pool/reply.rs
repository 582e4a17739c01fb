//! Decodes the replies of engines, which are RESP arrays.

use super::protocol_error::EngineProtocolError;
use super::reply_fields::ReplyFields;
use crate::resp;

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
