//! Decodes the replies of engines, which are RESP arrays.

use super::protocol_error::EngineProtocolError;
use super::reply_fields::EncodedFields;
use crate::resp::{self, Array};

/// Limit of the size of a reply's id. Those of requests have 16 bytes.
const MAX_ID_BYTES: usize = 256;
/// Limit of the size of a reply's type.
const MAX_TYPE_BYTES: usize = 64;
/// Limit of the size of a reply's fields.
const MAX_FIELDS_BYTES: usize = 4096;
/// Limit of the size of a page of a result, by the protocol.
const MAX_PAGE_BYTES: usize = 6_000;
/// The limits of the parts of a reply, in their order.
const MAX_PART_BYTES: [usize; 4] = [MAX_ID_BYTES, MAX_TYPE_BYTES, MAX_FIELDS_BYTES, MAX_PAGE_BYTES];
/// Largest number of bytes of an encoded reply.
pub(super) const MAX_REPLY_BYTES: usize = resp::max_array_bytes(&MAX_PART_BYTES);

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

/// A message from an engine.
pub(super) struct EngineReply {
    /// The name of the attempt's request, or the id of a health check.
    pub id: String,
    pub kind: ReplyKind,
    /// The fields. Those of an ignored reply are not decoded, so that they cause no error.
    pub fields: EncodedFields,
    pub body: Vec<u8>,
}

impl EngineReply {
    /// Decodes the first reply in `bytes`, and returns it with its encoded length in bytes. Returns `None` until the
    /// reply is complete.
    ///
    /// # Errors
    /// Fails unless the bytes are the beginning of an array of exactly an id, a type, fields and a body, each within its
    /// limit. With any other number of parts, it is unknown where the reply ends, and its body may be missing.
    pub fn decode(bytes: &[u8]) -> Result<Option<(Self, usize)>, EngineProtocolError> {
        let Some(Array { parts, length }) = resp::parse_array(bytes, &MAX_PART_BYTES)? else {
            return Ok(None);
        };
        let [id, kind, fields, body] = parts;
        let reply = Self {
            id: decode_text(id, "id")?,
            kind: ReplyKind::decode(&decode_text(kind, "type")?),
            fields: EncodedFields(decode_text(fields, "fields")?),
            body: body.to_vec(),
        };
        Ok(Some((reply, length)))
    }
}

fn decode_text(part: &[u8], name: &'static str) -> Result<String, EngineProtocolError> {
    let text = std::str::from_utf8(part);
    text.map(str::to_owned).map_err(|source| EngineProtocolError::NotUtf8 { part: name, source })
}
