//! The client's side of a connection to a router: encodes the JSON-RPC lines to the router and decodes those from it.

use crate::number::json_number;
use base64::prelude::{BASE64_STANDARD, Engine as _};
use serde_json::{Map, Value, json};
use std::time::Duration;

/// Maximum number of open requests of one connection; the router answers any further request with an error.
pub const MAX_OPEN_REQUESTS: usize = 32;
const JSON_RPC_VERSION: &str = "2.0";
const STATUS_METHOD: &str = "status";
const CANCEL_METHOD: &str = "withdraw";
const WAIT_METHOD: &str = "waiting";
const REJECTED_CODE: i64 = -32011;
const FAILED_CODE: i64 = -32000;
const MS_PER_SECOND: f64 = 1e3;

/// A request from a client to a router.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The id of the message; it must not have been used on its connection before.
    pub id: u64,
    /// The request class, which is the JSON-RPC method.
    pub class: String,
    /// The id of the request; see [`request_id`](crate::request_id).
    pub request_id: String,
    /// How long the client waits for the complete answer.
    pub timeout: Duration,
    /// Estimated work, in milliseconds on one core.
    pub work_ms: f64,
    /// Estimated memory, in MB.
    pub memory_mb: f64,
    /// The statement; the line contains it in base64.
    pub statement: Vec<u8>,
    /// The name of the team in the operator's file; `None` omits the parameter.
    pub team: Option<String>,
    /// The urgency, from 0 (ordinary) to 3; `None` omits the parameter.
    pub urgency: Option<u8>,
    /// The idempotency key, the same in all retries of a request; `None` omits the parameter.
    pub idempotency_key: Option<String>,
    /// Whether the client has sent the request before.
    pub is_retry: bool,
    /// Additional parameters by name, such as those that the operator's file defines.
    pub further_parameters: Map<String, Value>,
}

impl ClientRequest {
    /// Returns a request with estimates of 0 and no optional parameter.
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

    /// Encodes the request as a line, with its line feed.
    pub fn encode(&self) -> Vec<u8> {
        let mut params = self.further_parameters.clone();
        let mut set = |name: &str, value: Value| params.insert(name.to_owned(), value);
        set("req", json!(self.request_id));
        set("timeout", json!(self.timeout.as_millis() as u64));
        set("ms", json!(self.work_ms));
        set("memory", json_number(self.memory_mb));
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
        line(json!({"jsonrpc": JSON_RPC_VERSION, "id": self.id, "method": self.class, "params": params}))
    }
}

/// Encodes the line with which a client cancels a request.
pub fn encode_cancellation(request_id: &str) -> Vec<u8> {
    line(json!({"jsonrpc": JSON_RPC_VERSION, "method": CANCEL_METHOD, "params": {"req": request_id}}))
}

/// Encodes a status request. The answer, [`Outcome::Status`], says whether the router accepts requests.
pub fn encode_status_request(id: u64) -> Vec<u8> {
    line(json!({"jsonrpc": JSON_RPC_VERSION, "id": id, "method": STATUS_METHOD, "params": {}}))
}

fn line(message: Value) -> Vec<u8> {
    format!("{message}\n").into_bytes()
}

/// A decoded line from a router.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterMessage {
    /// The answer to a request or a status request.
    Response(Response),
    /// An estimate of how long an open request will still be queued.
    WaitAnnouncement(WaitAnnouncement),
    /// Valid JSON that is neither a response nor an announcement.
    Other,
}

/// An answer to a request or a status request.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The id of the message to which this is the answer.
    pub id: u64,
    /// The result, the status or the error in the answer.
    pub outcome: Outcome,
}

/// The content of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The result of a request.
    Result {
        /// The rows of all pages, decoded from base64; `None` if they are missing or not valid base64.
        rows: Option<Vec<u8>>,
    },
    /// The answer to a status request.
    Status {
        /// Whether the router accepts requests.
        is_serving: bool,
    },
    /// The request was rejected; a retry is safe.
    Rejected {
        /// How long the client should wait before the retry; `None` if the router does not say.
        retry_after: Option<Duration>,
    },
    /// The request has failed and may have run.
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
    /// The id of the message that contained the request.
    pub id: u64,
    /// Lower end of the range that should contain nine in ten actual waits, in seconds.
    pub least_s: f64,
    /// Median of the estimated wait, in seconds.
    pub likely_s: f64,
    /// Upper end of the range that should contain nine in ten actual waits, in seconds.
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
