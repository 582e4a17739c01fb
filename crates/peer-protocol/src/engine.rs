//! An engine's side of its connections to routers: the commands that it reads and the replies that it sends.

use crate::resp::encode_array;
use std::time::Duration;

/// The fields of a message without fields.
const NO_FIELDS: &str = "-";

/// A command from a router.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineCommand {
    /// Runs a statement.
    Call(Call),
    /// Ends a call without a reply.
    Cancel {
        /// The id of the request that the call serves.
        request_id: String,
    },
    /// Changes the priority of a call; no reply.
    SetPriority {
        /// The id of the request that the call serves.
        request_id: String,
        /// The new priority as text, which is a number from 0 to 3 in a valid command.
        priority: String,
    },
    /// Requests a page of a result, from 1.
    ReadPage {
        /// The id of the request that the call serves.
        request_id: String,
        /// Index of the page as text; the reply with the result carries page 0.
        page: String,
    },
    /// Ends the pages of a result; no reply.
    ClosePages {
        /// The id of the request that the call serves.
        request_id: String,
    },
    /// Requests a pong with the same tag.
    Ping {
        /// An id that the router chooses and the pong repeats.
        tag: String,
    },
    /// Words that the protocol does not have.
    Unknown(Vec<String>),
}

impl EngineCommand {
    /// Decodes the words of a RESP array. A missing word is read as empty.
    pub fn decode(words: &[String]) -> Self {
        let word = |index: usize| words.get(index).cloned().unwrap_or_default();
        match words.first().map(String::as_str) {
            Some("GET") => {
                let fields = CallFields::decode(&word(2));
                Self::Call(Call { request_id: word(1), fields, statement: word(3) })
            }
            Some("DROP") => Self::Cancel { request_id: word(1) },
            Some("RANK") => Self::SetPriority { request_id: word(1), priority: word(2) },
            Some("PAGE") => Self::ReadPage { request_id: word(1), page: word(2) },
            Some("CLOSE") => Self::ClosePages { request_id: word(1) },
            Some("PING") => Self::Ping { tag: word(1) },
            _ => Self::Unknown(words.to_vec()),
        }
    }
}

/// A call: one attempt of a request as its engine reads it.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The id of the request, under which the engine replies.
    pub request_id: String,
    /// The optional parameters of the call.
    pub fields: CallFields,
    /// The text of the statement.
    pub statement: String,
}

/// The fields of a call. A field is `None` if it is absent or is not a number where it must be one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallFields {
    /// The request class.
    pub class: Option<String>,
    /// How long the router waits for the reply.
    pub time_left: Option<Duration>,
    /// The client's idempotency key.
    pub idempotency_key: Option<String>,
    /// The memory that the router grants, in MB; `None` also for 0, with which the engine decides.
    pub granted_memory_mb: Option<f64>,
    /// The priority, from 0 to 3.
    pub priority: Option<u8>,
}

impl CallFields {
    /// Decodes a list `name=value,name=value`.
    pub fn decode(list: &str) -> Self {
        Self {
            class: field(list, "queue").map(str::to_owned),
            time_left: number(list, "budget").map(|ms| Duration::from_millis(ms as u64)),
            idempotency_key: field(list, "uniq").map(str::to_owned),
            granted_memory_mb: number(list, "mem").filter(|mb| *mb > 0.0),
            priority: field(list, "prio").and_then(|priority| priority.parse().ok()),
        }
    }
}

fn field<'a>(list: &'a str, name: &str) -> Option<&'a str> {
    list.split(',').find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
}

fn number(list: &str, name: &str) -> Option<f64> {
    field(list, name)?.parse().ok()
}

/// The work and memory that a call has used, which its result reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsedResources {
    /// Milliseconds on one core.
    pub work_ms: f64,
    /// The memory that the call needs to run at full speed, in MB.
    pub memory_mb: f64,
}

/// The progress of a running call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// The part of the work that is done, from 0 to 1.
    PartDone(f64),
    /// The call spills to disk because this many MB of memory are missing.
    MissingMemoryMb(f64),
    /// The call is stalled until memory is free.
    StalledByMemory,
    /// The call is stalled until a load has ended.
    StalledByLoad,
}

/// A reply to a command, without the id of its request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineReply<'a> {
    /// The first page of a result, and the number of all its pages.
    Result {
        /// Number of pages of the result, of which this reply carries the first.
        pages: u32,
        /// Resources that the call has used; `None` omits them from the reply.
        used: Option<UsedResources>,
        /// The rows of the first page, as lines with columns separated by tabs.
        rows: &'a [u8],
    },
    /// A further page of a result, from 1.
    Page {
        /// Index of the page; the first page of a result has index 0.
        page: u32,
        /// The rows of the page, as lines with columns separated by tabs.
        rows: &'a [u8],
    },
    /// The engine is full; the call has not run.
    Overloaded,
    /// The call has failed and may have run.
    Failed,
    /// The time of the call was over; it has not run.
    Expired,
    /// The call is running.
    Progress(Option<Progress>),
    /// The reply to a ping.
    Pong,
}

impl EngineReply<'_> {
    /// Encodes the reply under the id of its request or the tag of its ping.
    pub fn encode(&self, id: &str) -> Vec<u8> {
        let fields = self.fields();
        encode_array(&[id.as_bytes(), self.wire_name().as_bytes(), fields.as_bytes(), self.body()])
    }

    /// The name of the reply on the wire.
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
                Progress::PartDone(part) => format!("detail=advance,v={part}"),
                Progress::MissingMemoryMb(mb) => format!("detail=disk,v={mb}"),
                Progress::StalledByMemory => "detail=stall,v=1".to_owned(),
                Progress::StalledByLoad => "detail=stall,v=2".to_owned(),
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
