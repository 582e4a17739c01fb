//! JSON-RPC 2.0 between clients and the router, one message a line.

use crate::clock::whole_ms;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use emberflow_settings::Fields;
use emberflow_teams::WaitEstimate;
use serde::Serialize;
use serde_json::Value;
use std::error::Error as StdError;
use thiserror::Error;

const VERSION: &str = "2.0";
const WITHDRAW_METHOD: &str = "withdraw";

/// The code of an error response: those of the standard, and two of the router's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorCode {
    ParseError,
    InvalidRequest,
    MethodNotFound,
    InvalidParams,
    /// The request was not run, so that a retry is harmless.
    Rejected,
    /// The request has failed and may have run.
    Failed,
}

impl ErrorCode {
    /// The code's number on the wire.
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

/// Why a client's message is answered with an error.
#[derive(Debug, Error)]
#[error("{kind}")]
pub struct RequestError {
    /// The message's id, where it has one by which the client can tell the answer.
    pub id: Option<u64>,
    pub kind: RequestErrorKind,
}

impl RequestError {
    /// An error in answer to the message with this id.
    pub fn new(id: Option<u64>, kind: RequestErrorKind) -> Self {
        Self { id, kind }
    }

    /// The code of the error response.
    pub fn code(&self) -> ErrorCode {
        self.kind.code()
    }
}

/// What is wrong with a client's message. Its text is the message of the error response.
#[derive(Debug, Error)]
pub enum RequestErrorKind {
    #[error("malformed JSON: {0}")]
    MalformedJson(#[from] serde_json::Error),
    #[error("a line without end")]
    LineTooLong,
    #[error("a line that stopped short")]
    LineIncomplete,
    #[error("a request is one object")]
    NotAnObject,
    #[error("`jsonrpc` is not 2.0")]
    Version,
    #[error("`id` is not a whole number from 1 up")]
    Id,
    #[error("`method` is not text")]
    Method,
    #[error("no method `{0}`")]
    UnknownMethod(String),
    #[error("`status` without an id")]
    StatusWithoutId,
    #[error("a task without an id")]
    RequestWithoutId,
    #[error("`id` is open already")]
    IdOpen,
    #[error("`req` is open already")]
    NameOpen,
    /// On the client's connection.
    #[error("too many open requests")]
    TooManyOpenOnConnection,
    /// In the whole router.
    #[error("too many tasks are open")]
    TooManyOpen,
    #[error("its client has left")]
    ClientLeft,
    #[error("{0}")]
    InvalidParams(#[source] Box<dyn StdError + Send + Sync>),
}

impl RequestErrorKind {
    /// An error in a request's parameters.
    pub fn invalid_params(error: impl StdError + Send + Sync + 'static) -> Self {
        Self::InvalidParams(Box::new(error))
    }

    /// The code of the error response.
    pub fn code(&self) -> ErrorCode {
        match self {
            Self::MalformedJson(_) | Self::LineTooLong | Self::LineIncomplete => ErrorCode::ParseError,
            Self::NotAnObject
            | Self::Version
            | Self::Id
            | Self::Method
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
    /// `None` for a notification.
    pub id: Option<u64>,
    pub method: String,
    /// Null if there are none.
    pub params: Value,
}

/// What a client has stopped waiting for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Withdrawal {
    /// The request's `req`; empty if none is given.
    pub name: String,
    /// The request's id on the client's connection.
    pub id: Option<u64>,
}

impl Withdrawal {
    /// Decodes the parameters of a withdrawal. A message's own id counts where the parameters hold none.
    pub fn decode(message_id: Option<u64>, params: Fields<'_>) -> Self {
        let name = params.text("req").unwrap_or_default().to_owned();
        let id = params.unsigned("id").ok().or(message_id);
        Self { name, id }
    }

    /// Decodes a line, if it is a withdrawal.
    pub fn decode_line(line: &[u8]) -> Option<Self> {
        let mentions_method =
            line.windows(WITHDRAW_METHOD.len()).any(|part| part == WITHDRAW_METHOD.as_bytes());
        if !mentions_method {
            return None;
        }
        let request = parse_request(line).ok().filter(|request| request.method == WITHDRAW_METHOD)?;
        Some(Self::decode(request.id, Fields::of(&request.params)))
    }
}

/// The first line of `bytes`, and its length with the newline; `None` until it is complete. No newline is among the
/// first `scanned` bytes.
pub fn split_line(bytes: &[u8], scanned: usize) -> Option<(&[u8], usize)> {
    let end = scanned + bytes.get(scanned..)?.iter().position(|byte| *byte == b'\n')?;
    Some((&bytes[..end], end + 1))
}

/// Decodes a client's message.
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
        return Err(invalid(RequestErrorKind::Version));
    }
    if has_id && id.is_none() {
        return Err(invalid(RequestErrorKind::Id));
    }
    let method = message.get("method").and_then(Value::as_str).map(str::to_owned);
    let method = method.ok_or_else(|| invalid(RequestErrorKind::Method))?;
    let params = message.get_mut("params").map_or(Value::Null, Value::take);
    Ok(RpcRequest { id, method, params })
}

/// Decodes a statement or a result, which is base64 on the wire.
pub fn decode_body(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}

/// A response with a result. Like all messages here, its fields are in the order that they have on the wire.
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

/// The response to a request that has succeeded.
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

/// The response to a status request.
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

/// The notification of how long an open request may still be queued, and how many of its team are ahead of it.
pub fn waiting_line(id: u64, wait: &WaitEstimate) -> Vec<u8> {
    let params = WaitingParams {
        id,
        least_ms: whole_ms(wait.low),
        likely_ms: whole_ms(wait.median),
        most_ms: whole_ms(wait.high),
        place: wait.position,
    };
    encode_line(&WaitingNotification { jsonrpc: VERSION, method: "waiting", params })
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

/// An error response; the client may retry after `retry_after_ms`, where that is given.
pub fn error_line(id: Option<u64>, code: ErrorCode, message: &str, retry_after_ms: Option<u64>) -> Vec<u8> {
    let data = retry_after_ms.map(|retry_after_ms| ErrorData { retry_after_ms });
    let error = ErrorObject { code: code.number(), data, message };
    encode_line(&ErrorResponse { error, id, jsonrpc: VERSION })
}

fn encode_line(message: &impl Serialize) -> Vec<u8> {
    let mut line = serde_json::to_vec(message).expect("a message of numbers and text is valid JSON");
    line.push(b'\n');
    line
}
