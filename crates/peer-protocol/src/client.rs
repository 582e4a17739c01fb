//! A client's side of its connection to a router: the JSON-RPC lines that it sends and those that it reads.

use crate::number::shortest;
use base64::prelude::{BASE64_STANDARD, Engine as _};
use serde_json::{Map, Value, json};
use std::time::Duration;

/// Limit of the open requests of one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;
const VERSION: &str = "2.0";
const STATUS_METHOD: &str = "status";
const CANCEL_METHOD: &str = "withdraw";
const WAIT_METHOD: &str = "waiting";
const REJECTED_CODE: i64 = -32011;
const FAILED_CODE: i64 = -32000;
const MS_PER_SECOND: f64 = 1e3;

/// A request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The id of the message, new on its connection.
    pub id: u64,
    /// The request class, which is the method.
    pub class: String,
    /// The id of the request; see [`request_id`](crate::request_id).
    pub request_id: String,
    /// How long the client waits for the complete answer.
    pub timeout: Duration,
    /// The estimate of the work, in milliseconds on one core.
    pub work_ms: f64,
    /// The estimate of the memory, in MB.
    pub memory_mb: f64,
    /// The bytes of the statement, which the line carries in base64.
    pub statement: Vec<u8>,
    /// The name of the team in the operator's file; `None` omits the parameter.
    pub team: Option<String>,
    /// 0 for ordinary requests, up to 3.
    pub urgency: Option<u8>,
    /// The same for all retries of a request.
    pub idempotency_key: Option<String>,
    /// Whether the client has sent the request before.
    pub is_retry: bool,
    /// Parameters that the operator's file names.
    pub further_parameters: Map<String, Value>,
}

impl ClientRequest {
    /// Returns a request with a statement and no optional parameter.
    pub fn new(id: u64, class: &str, request_id: &str, timeout: Duration, statement: &[u8]) -> Self {
        Self {
            id,
            class: class.to_owned(),
            request_id: request_id.to_owned(),
            timeout,
            work_ms: 0.0,
            memory_mb: 0.0,
            statement: statement.to_owned(),
            team: None,
            urgency: None,
            idempotency_key: None,
            is_retry: false,
            further_parameters: Map::new(),
        }
    }

    /// Encodes the request as a line.
    pub fn encode(&self) -> Vec<u8> {
        let mut params = self.further_parameters.clone();
        let mut set = |name: &str, value: Value| params.insert(name.to_owned(), value);
        set("req", json!(self.request_id));
        set("timeout", json!(self.timeout.as_millis() as u64));
        set("ms", json!(self.work_ms));
        set("memory", shortest(self.memory_mb));
        set("data", json!(BASE64_STANDARD.encode(&self.statement)));
        if let Some(team) = &self.team {
            set("team", json!(team));
        }
        if let Some(urgency) = self.urgency {
            set("urgency", json!(urgency));
        }
        if let Some(key) = &self.idempotency_key {
            set("opkey", json!(key));
        }
        if self.is_retry {
            set("resent", json!(1));
        }
        line(json!({"jsonrpc": VERSION, "id": self.id, "method": self.class, "params": params}))
    }
}

/// Encodes the line with which a client cancels a request.
pub fn encode_cancellation(request_id: &str) -> Vec<u8> {
    line(json!({"jsonrpc": VERSION, "method": CANCEL_METHOD, "params": {"req": request_id}}))
}

/// Encodes a status request: the answer says whether the router serves.
pub fn encode_status_request(id: u64) -> Vec<u8> {
    line(json!({"jsonrpc": VERSION, "id": id, "method": STATUS_METHOD, "params": {}}))
}

fn line(message: Value) -> Vec<u8> {
    format!("{message}\n").into_bytes()
}

/// A message from a router.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterMessage {
    /// The answer to a request or a status request.
    Response(Response),
    /// How long an open request may still be queued.
    WaitAnnouncement(WaitAnnouncement),
    /// Valid JSON that answers nothing.
    Other,
}

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The id of the message that is answered.
    pub id: u64,
    /// The result, the status or the error in the answer.
    pub outcome: Outcome,
}

/// The content of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A result; `None` in place of rows that are missing or not valid base64.
    Result {
        /// The rows of all pages, decoded from base64.
        rows: Option<Vec<u8>>,
    },
    /// The answer to a status request.
    Status {
        /// Whether the router accepts requests.
        is_serving: bool,
    },
    /// A retry is harmless, after `retry_after` if the router names it.
    Rejected {
        /// Time that the client waits before the retry.
        retry_after: Option<Duration>,
    },
    /// The request may have run.
    Failed,
    /// Any other error: the request itself is invalid.
    Invalid {
        /// The error code of JSON-RPC.
        code: i64,
    },
}

/// The router's estimate of a request's wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitAnnouncement {
    /// The id of the message with the request.
    pub id: u64,
    /// Lower end of the range that should contain nine of ten waits, in seconds.
    pub least_s: f64,
    /// Median of the estimated wait, in seconds.
    pub likely_s: f64,
    /// Upper end of the range that should contain nine of ten waits, in seconds.
    pub most_s: f64,
}

impl RouterMessage {
    /// Decodes a line, with or without its line feed.
    pub fn decode(line: &[u8]) -> Result<Self, serde_json::Error> {
        let message: Value = serde_json::from_slice(line)?;
        if message["method"] == WAIT_METHOD {
            return Ok(Self::WaitAnnouncement(decode_wait(&message["params"])));
        }
        let Some(id) = message["id"].as_u64() else { return Ok(Self::Other) };
        Ok(Self::Response(Response { id, outcome: decode_outcome(&message) }))
    }
}

fn decode_wait(params: &Value) -> WaitAnnouncement {
    let seconds = |name: &str| params[name].as_f64().unwrap_or(0.0) / MS_PER_SECOND;
    WaitAnnouncement {
        id: params["id"].as_u64().unwrap_or_default(),
        least_s: seconds("leastMs"),
        likely_s: seconds("likelyMs"),
        most_s: seconds("mostMs"),
    }
}

fn decode_outcome(message: &Value) -> Outcome {
    let error = &message["error"];
    match error["code"].as_i64() {
        Some(REJECTED_CODE) => {
            let retry_after_ms = error["data"]["holdoff"].as_u64();
            Outcome::Rejected { retry_after: retry_after_ms.map(Duration::from_millis) }
        }
        Some(FAILED_CODE) => Outcome::Failed,
        Some(code) => Outcome::Invalid { code },
        None => decode_result(&message["result"]),
    }
}

fn decode_result(result: &Value) -> Outcome {
    if let Some(is_serving) = result["serving"].as_bool() {
        return Outcome::Status { is_serving };
    }
    let encoded = result["data"].as_str();
    Outcome::Result { rows: encoded.and_then(|encoded| BASE64_STANDARD.decode(encoded).ok()) }
}

/// Removes the first complete line from `input` and returns it with its line feed.
pub fn take_line(input: &mut Vec<u8>) -> Option<Vec<u8>> {
    let end = input.iter().position(|byte| *byte == b'\n')?;
    Some(input.drain(..=end).collect())
}
