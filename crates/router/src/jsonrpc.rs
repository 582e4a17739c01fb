//! The messages between clients and the router: JSON-RPC 2.0, one message per line. The texts of errors are sent to
//! clients, so they must not change.

use crate::clock::whole_ms;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use emberflow_settings::Fields;
use emberflow_teams::WaitEstimate;
use serde::Serialize;
use serde_json::Value;
use std::error::Error as StdError;
use thiserror::Error;

/// The version of JSON-RPC, which each message carries.
const VERSION: &str = "2.0";
/// The method of a status request.
pub const STATUS_METHOD: &str = "status";
/// The method of a cancellation.
pub const CANCEL_METHOD: &str = "withdraw";
/// The method of a notification that informs a client of the estimated wait of its request.
const WAITING_METHOD: &str = "waiting";

/// The code of an error response. The protocol adds `Rejected` and `Failed` to the codes of JSON-RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorCode {
    /// The line is not JSON, too long or incomplete.
    ParseError,
    /// The message is not a valid JSON-RPC request, conflicts with an open request, or exceeds the limit of its
    /// connection.
    InvalidRequest,
    /// The method is neither a request class of the settings nor another method of the protocol.
    MethodNotFound,
    /// A parameter is missing or invalid.
    InvalidParams,
    /// The request was not run, or is idempotent, so a retry is harmless.
    Rejected,
    /// The request has failed and may have run.
    Failed,
}

impl ErrorCode {
    /// Returns the number of the code on the wire.
    pub fn number(self) -> i64 {
        match self {
            Self::ParseError => -32700,
            Self::InvalidRequest => -32600,
            Self::MethodNotFound => -32601,
            Self::InvalidParams => -32602,
            Self::Rejected => -32011,
            Self::Failed => -32000,
        }
    }
}

/// An error in a client's message, which is answered with an error response.
#[derive(Debug, Error)]
#[error("{kind}")]
pub struct RequestError {
    /// The id that the error response carries; `None` if it carries a null id.
    pub id: Option<u64>,
    /// The cause of the error.
    pub kind: RequestErrorKind,
}

impl RequestError {
    /// Creates an error in response to the message with this id.
    pub fn new(id: Option<u64>, kind: RequestErrorKind) -> Self {
        Self { id, kind }
    }

    /// Returns the code of the error response.
    pub fn code(&self) -> ErrorCode {
        self.kind.code()
    }
}

/// The cause of an error response. Its text is sent to the client as the message of the response.
#[derive(Debug, Error)]
pub enum RequestErrorKind {
    /// The line is not JSON.
    #[error("malformed JSON: {0}")]
    MalformedJson(#[from] serde_json::Error),
    /// The line exceeds the limit of bytes. The router discards all further input of the client.
    #[error("a line without end")]
    LineTooLong,
    /// The client sent the beginning of a line and did not send its end in time. The router closes the connection.
    #[error("a line that stopped short")]
    LineIncomplete,
    /// The line is JSON, but not an object.
    #[error("a request is one object")]
    NotAnObject,
    /// The member `jsonrpc` is absent or has another value.
    #[error("`jsonrpc` is not 2.0")]
    InvalidVersion,
    /// The id is neither null nor a positive integer.
    #[error("`id` is not a whole number from 1 up")]
    InvalidId,
    /// The method is absent or not a string.
    #[error("`method` is not text")]
    InvalidMethod,
    /// No request class of the settings has the name of this method.
    #[error("no method `{0}`")]
    UnknownMethod(String),
    /// The status request is a notification, so its answer could not carry an id.
    #[error("`status` without an id")]
    StatusWithoutId,
    /// The request is a notification, so its answer could not carry an id.
    #[error("a task without an id")]
    RequestWithoutId,
    /// An open request on the same connection has the same message id.
    #[error("`id` is open already")]
    IdOpen,
    /// An open request of this or another client has the same name (`req`).
    #[error("`req` is open already")]
    NameOpen,
    /// The limit of open requests on the client's connection is reached.
    #[error("too many open requests")]
    TooManyOpenOnConnection,
    /// The router's limit of open requests or of statement bytes is reached.
    #[error("too many tasks are open")]
    TooManyOpen,
    /// The client has shut down its sending side, so it may have disconnected.
    #[error("its client has left")]
    ClientLeft,
    /// A parameter is missing or invalid. The text of the error names the parameter.
    #[error("{0}")]
    InvalidParams(#[source] Box<dyn StdError + Send + Sync>),
}

impl RequestErrorKind {
    /// Creates the cause for an error in a request's parameters.
    pub fn invalid_params(error: impl StdError + Send + Sync + 'static) -> Self {
        Self::InvalidParams(Box::new(error))
    }

    /// Returns the code of the error response.
    pub fn code(&self) -> ErrorCode {
        match self {
            Self::MalformedJson(_) | Self::LineTooLong | Self::LineIncomplete => ErrorCode::ParseError,
            Self::NotAnObject
            | Self::InvalidVersion
            | Self::InvalidId
            | Self::InvalidMethod
            | Self::StatusWithoutId
            | Self::RequestWithoutId
            | Self::IdOpen
            | Self::NameOpen
            | Self::TooManyOpenOnConnection => ErrorCode::InvalidRequest,
            Self::UnknownMethod(_) => ErrorCode::MethodNotFound,
            Self::InvalidParams(_) => ErrorCode::InvalidParams,
            Self::TooManyOpen | Self::ClientLeft => ErrorCode::Rejected,
        }
    }
}

/// A client's message.
#[derive(Debug)]
pub struct RpcRequest {
    /// The id of the message; `None` for a notification.
    pub id: Option<u64>,
    /// The request class, [`STATUS_METHOD`] or [`CANCEL_METHOD`] in a valid message.
    pub method: String,
    /// The parameters; null if the message has none.
    pub params: Value,
}

/// A client's cancellation of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Cancellation {
    /// The request's name (`req`); empty if the cancellation does not give it.
    pub name: String,
    /// The id of the JSON-RPC message that sent the request, on the same connection; `None` if the cancellation does
    /// not give it.
    pub id: Option<u64>,
}

impl Cancellation {
    /// Decodes the parameters of a cancellation. `message_id` is the id of the cancellation message itself, and
    /// identifies the request if the parameters contain no valid id.
    pub fn decode(message_id: Option<u64>, params: Fields<'_>) -> Self {
        let name = params.text("req").unwrap_or_default().to_owned();
        let id = params.unsigned("id").ok().or(message_id);
        Self { name, id }
    }

    /// Whether the cancellation refers to the request with this name and message id. The id is compared only if the
    /// cancellation gives no name.
    pub fn matches(&self, name: &str, id: u64) -> bool {
        if self.name.is_empty() { self.id == Some(id) } else { self.name == name }
    }

    /// Decodes a line; `None` if the line is not a cancellation.
    pub fn decode_line(line: &[u8]) -> Option<Self> {
        // Most lines are not cancellations. Searching for the method first avoids parsing each of them twice.
        let mentions_method = line.windows(CANCEL_METHOD.len()).any(|part| part == CANCEL_METHOD.as_bytes());
        if !mentions_method {
            return None;
        }
        let request = parse_request(line).ok().filter(|request| request.method == CANCEL_METHOD)?;
        Some(Self::decode(request.id, Fields::of(&request.params)))
    }
}

/// Returns the first line of `bytes` without its newline, and its length in bytes with the newline. Returns `None`
/// until the line is complete. The caller knows that the first `scanned` bytes hold no newline.
pub fn split_line(bytes: &[u8], scanned: usize) -> Option<(&[u8], usize)> {
    let end = scanned + bytes.get(scanned..)?.iter().position(|byte| *byte == b'\n')?;
    Some((&bytes[..end], end + 1))
}

/// Decodes a client's message.
///
/// # Errors
/// Returns the error to be answered if the line is not a valid JSON-RPC request.
pub fn parse_request(line: &[u8]) -> Result<RpcRequest, RequestError> {
    let mut message: Value =
        serde_json::from_slice(line).map_err(|error| RequestError::new(None, error.into()))?;
    let given_id = message.get("id").filter(|id| !id.is_null());
    let has_id = given_id.is_some();
    let id = given_id.and_then(Value::as_u64).filter(|id| *id > 0);
    let invalid = |kind: RequestErrorKind| RequestError::new(id, kind);
    if !message.is_object() {
        return Err(invalid(RequestErrorKind::NotAnObject));
    }
    if message.get("jsonrpc").and_then(Value::as_str) != Some(VERSION) {
        return Err(invalid(RequestErrorKind::InvalidVersion));
    }
    if has_id && id.is_none() {
        return Err(invalid(RequestErrorKind::InvalidId));
    }
    let method = message.get("method").and_then(Value::as_str).map(str::to_owned);
    let method = method.ok_or_else(|| invalid(RequestErrorKind::InvalidMethod))?;
    let params = message.get_mut("params").map_or(Value::Null, Value::take);
    Ok(RpcRequest { id, method, params })
}

/// Decodes a statement or a result from base64; `None` if the text is not base64.
pub fn decode_body(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}

/// A response with a result. The fields of all messages are declared in the order in which they are sent.
#[derive(Serialize)]
struct ResultResponse {
    jsonrpc: &'static str,
    id: u64,
    result: ResultBody,
}

#[derive(Serialize)]
struct ResultBody {
    data: String,
}

/// Encodes the response to a request that has succeeded.
pub fn result_line(id: u64, body: &[u8]) -> Vec<u8> {
    let result = ResultBody { data: STANDARD.encode(body) };
    encode_line(&ResultResponse { jsonrpc: VERSION, id, result })
}

#[derive(Serialize)]
struct StatusResponse {
    id: u64,
    jsonrpc: &'static str,
    result: Status,
}

#[derive(Serialize)]
struct Status {
    serving: bool,
}

/// Encodes the response to a status request.
pub fn status_line(id: u64, serving: bool) -> Vec<u8> {
    encode_line(&StatusResponse { id, jsonrpc: VERSION, result: Status { serving } })
}

#[derive(Serialize)]
struct WaitingNotification {
    jsonrpc: &'static str,
    method: &'static str,
    params: WaitingParams,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WaitingParams {
    id: u64,
    least_ms: u64,
    likely_ms: u64,
    most_ms: u64,
    place: usize,
}

/// Encodes the notification of the estimated time for which an open request will still be queued, and of the number of
/// requests of its team that are dispatched earlier.
pub fn waiting_line(id: u64, wait: &WaitEstimate) -> Vec<u8> {
    let params = WaitingParams {
        id,
        least_ms: whole_ms(wait.low),
        likely_ms: whole_ms(wait.median),
        most_ms: whole_ms(wait.high),
        place: wait.position,
    };
    encode_line(&WaitingNotification { jsonrpc: VERSION, method: WAITING_METHOD, params })
}

#[derive(Serialize)]
struct ErrorResponse<'a> {
    error: ErrorObject<'a>,
    id: Option<u64>,
    jsonrpc: &'static str,
}

#[derive(Serialize)]
struct ErrorObject<'a> {
    code: i64,
    #[serde(skip_serializing_if = "Option::is_none")]
    data: Option<ErrorData>,
    message: &'a str,
}

#[derive(Serialize)]
struct ErrorData {
    #[serde(rename = "holdoff")]
    retry_after_ms: u64,
}

/// Encodes an error response. `retry_after_ms` is the time after which the client may retry; `None` is not sent.
pub fn error_line(id: Option<u64>, code: ErrorCode, message: &str, retry_after_ms: Option<u64>) -> Vec<u8> {
    let data = retry_after_ms.map(|retry_after_ms| ErrorData { retry_after_ms });
    let error = ErrorObject { code: code.number(), data, message };
    encode_line(&ErrorResponse { error, id, jsonrpc: VERSION })
}

fn encode_line(message: &impl Serialize) -> Vec<u8> {
    let mut line = serde_json::to_vec(message).expect("a message of numbers and text can be encoded as JSON");
    line.push(b'\n');
    line
}
