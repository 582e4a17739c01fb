//! Encodes the messages from the router to engines as RESP arrays.

use crate::clock::whole_ms;
use crate::resp;
use std::time::Duration;

/// The smallest memory grant that is sent to an engine, in MB.
const MIN_GRANT_MB: f64 = 1.0;

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
