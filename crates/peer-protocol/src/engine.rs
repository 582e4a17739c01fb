//! The engine's side of a connection to a router: decodes the router's commands and encodes the engine's replies.

use crate::resp::encode_array;
use std::time::Duration;

/// The encoding of an empty field list.
const NO_FIELDS: &str = "-";

/// A command from a router.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineCommand {
    /// Runs a statement.
    Call(Call),
    /// Cancels a call; no reply.
    Cancel {
        /// The id of the request that the call serves.
        request_id: String,
    },
    /// Changes the priority of a running call; no reply.
    SetPriority {
        /// The id of the request that the call serves.
        request_id: String,
        /// The new priority as text; a number from 0 to 3 if the command is valid.
        priority: String,
    },
    /// Requests a further page of a result.
    ReadPage {
        /// The id of the request that the call serves.
        request_id: String,
        /// Index of the page as text, from 1; the reply to the call contains page 0.
        page: String,
    },
    /// Releases the remaining pages of a result; no reply.
    ClosePages {
        /// The id of the request that the call serves.
        request_id: String,
    },
    /// Requests a pong with the same tag.
    Ping {
        /// An id that the router chooses and the pong must repeat.
        tag: String,
    },
    /// The parts of an array that is no command of the protocol.
    Unknown(Vec<String>),
}

impl EngineCommand {
    /// Decodes the parts of a RESP array. A missing part is read as empty.
    pub fn decode(parts: &[String]) -> Self {
        let part = |index: usize| parts.get(index).cloned().unwrap_or_default();
        match parts.first().map(String::as_str) {
            Some("GET") => {
                let fields = CallFields::decode(&part(2));
                Self::Call(Call { request_id: part(1), fields, statement: part(3) })
            }
            Some("DROP") => Self::Cancel { request_id: part(1) },
            Some("RANK") => Self::SetPriority { request_id: part(1), priority: part(2) },
            Some("PAGE") => Self::ReadPage { request_id: part(1), page: part(2) },
            Some("CLOSE") => Self::ClosePages { request_id: part(1) },
            Some("PING") => Self::Ping { tag: part(1) },
            _ => Self::Unknown(parts.to_vec()),
        }
    }
}

/// A call: one attempt of a request, as the engine receives it.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The id of the request, which each reply to the call repeats.
    pub request_id: String,
    /// The optional parameters of the call.
    pub fields: CallFields,
    /// The text of the statement.
    pub statement: String,
}

/// The fields of a call. A field is `None` if it is absent, or if a number is required and the value is not one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallFields {
    /// The request class.
    pub class: Option<String>,
    /// How long the router waits for the reply.
    pub time_left: Option<Duration>,
    /// The client's idempotency key.
    pub idempotency_key: Option<String>,
    /// The memory that the router grants, in MB. `None` also for 0, which leaves the amount to the engine.
    pub granted_memory_mb: Option<f64>,
    /// The priority, from 0 to 3; calls with a higher priority run first.
    pub priority: Option<u8>,
}

impl CallFields {
    /// Decodes a field list `name=value,name=value`.
    pub fn decode(field_list: &str) -> Self {
        Self {
            class: field(field_list, "queue").map(str::to_owned),
            time_left: number_field(field_list, "budget").map(|ms| Duration::from_millis(ms as u64)),
            idempotency_key: field(field_list, "uniq").map(str::to_owned),
            granted_memory_mb: number_field(field_list, "mem").filter(|mb| *mb > 0.0),
            priority: field(field_list, "prio").and_then(|priority| priority.parse().ok()),
        }
    }
}

fn field<'a>(field_list: &'a str, name: &str) -> Option<&'a str> {
    field_list.split(',').find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
}

fn number_field(field_list: &str, name: &str) -> Option<f64> {
    field(field_list, name)?.parse().ok()
}

/// The work and memory of a call, as reported with its result.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsedResources {
    /// The work done, in milliseconds on one core.
    pub work_ms: f64,
    /// The memory that the call needs to run at full speed, in MB.
    pub memory_mb: f64,
}

/// The progress of a running call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// The fraction of the work that is done, from 0 to 1.
    FractionDone(f64),
    /// The call spills to disk because it lacks this much memory, in MB.
    MissingMemoryMb(f64),
    /// The call waits for free memory.
    WaitingForMemory,
    /// The call waits until a bulk load has ended.
    WaitingForLoad,
}

/// A reply of an engine, without the id of the request or ping.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineReply<'a> {
    /// The first page of a result, and the number of all its pages.
    Result {
        /// Number of pages of the result; this reply contains the first.
        pages: u32,
        /// Work and memory of the call; `None` omits them from the reply.
        used: Option<UsedResources>,
        /// The rows of the first page, as lines with columns separated by tabs.
        rows: &'a [u8],
    },
    /// A further page of a result.
    Page {
        /// Index of the page, from 1; the result itself contains page 0.
        page: u32,
        /// The rows of the page, as lines with columns separated by tabs.
        rows: &'a [u8],
    },
    /// The engine is overloaded; the call has not run.
    Overloaded,
    /// The call has failed and may have run.
    Failed,
    /// The deadline of the call had passed; the call has not run.
    Expired,
    /// The call is still running; `None` gives no details.
    Progress(Option<Progress>),
    /// The reply to a ping.
    Pong,
}

impl EngineReply<'_> {
    /// Encodes the reply; `id` is the id of the request or the tag of the ping.
    pub fn encode(&self, id: &str) -> Vec<u8> {
        let fields = self.fields();
        encode_array(&[id.as_bytes(), self.wire_name().as_bytes(), fields.as_bytes(), self.body()])
    }

    /// Returns the name of the reply on the wire.
    pub fn wire_name(&self) -> &'static str {
        match self {
            Self::Result { .. } => "HIT",
            Self::Page { .. } => "PART",
            Self::Overloaded => "SHED",
            Self::Failed => "FAULT",
            Self::Expired => "LATE",
            Self::Progress(_) => "INFO",
            Self::Pong => "PONG",
        }
    }

    fn fields(&self) -> String {
        match *self {
            Self::Result { pages, used: None, .. } => format!("pages={pages}"),
            Self::Result { pages, used: Some(UsedResources { work_ms, memory_mb }), .. } => {
                format!("pages={pages},cost={work_ms:.1},need={memory_mb:.1}")
            }
            Self::Page { page, .. } => format!("page={page}"),
            Self::Progress(Some(progress)) => match progress {
                Progress::FractionDone(fraction) => format!("detail=advance,v={fraction}"),
                Progress::MissingMemoryMb(mb) => format!("detail=disk,v={mb}"),
                Progress::WaitingForMemory => "detail=stall,v=1".to_owned(),
                Progress::WaitingForLoad => "detail=stall,v=2".to_owned(),
            },
            _ => NO_FIELDS.to_owned(),
        }
    }

    fn body(&self) -> &[u8] {
        match self {
            Self::Result { rows, .. } | Self::Page { rows, .. } => rows,
            _ => b"",
        }
    }
}
