//! JSON-RPC 2.0, one message a line.

use crate::clock::whole_ms;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use emberflow_settings::Fields;
use emberflow_teams::WaitEstimate;
use serde_json::{Value, json};

/// The standard's codes, and those of the two answers that are no result.
pub const PARSE: i64 = -32700;
pub const INVALID: i64 = -32600;
pub const NO_METHOD: i64 = -32601;
pub const BAD_PARAMS: i64 = -32602;
pub const REJECTED: i64 = -32011;
pub const FAILED: i64 = -32000;

/// The first whole line of `bytes` and its length with the end; `None` until that has come.
pub fn split_line(bytes: &[u8], seen: usize) -> Option<(&[u8], usize)> {
    let end = seen + bytes.get(seen..)?.iter().position(|b| *b == b'\n')?;
    Some((&bytes[..end], end + 1))
}

/// Why a request is answered with an error: its id, where one is known, the code, the message.
pub type Objection = (Option<u64>, i64, String);

/// The id, method and parameters of a request; a notification has no id.
pub fn parse_request(line: &[u8]) -> Result<(Option<u64>, String, Value), Objection> {
    let mut value: Value =
        serde_json::from_slice(line).map_err(|e| (None, PARSE, format!("malformed JSON: {e}")))?;
    let given = value.get("id").filter(|id| !id.is_null()).cloned();
    let id = given.as_ref().and_then(Value::as_u64).filter(|id| *id > 0);
    let invalid = |what: &str| (id, INVALID, what.to_owned());
    if !value.is_object() {
        return Err(invalid("a request is one object"));
    }
    if value.get("jsonrpc").and_then(Value::as_str) != Some("2.0") {
        return Err(invalid("`jsonrpc` is not 2.0"));
    }
    if given.is_some() && id.is_none() {
        return Err(invalid("`id` is not a whole number from 1 up"));
    }
    let Some(method) = value.get("method").and_then(Value::as_str).map(str::to_owned) else {
        return Err(invalid("`method` is not text"));
    };
    let params = value.get_mut("params").map_or(Value::Null, Value::take);
    Ok((id, method, params))
}

/// What a client has stopped waiting for, by its `req` and by its id on the connection.
pub type Withdrawal = (String, Option<u64>);

pub fn withdrawal_of(id: Option<u64>, params: Fields) -> Withdrawal {
    (params.text("req").unwrap_or_default().to_owned(), params.unsigned("id").ok().or(id))
}

/// What a line takes back, if it does.
pub fn parse_withdrawal(line: &[u8]) -> Option<Withdrawal> {
    const METHOD: &str = "withdraw";
    line.windows(METHOD.len()).any(|part| part == METHOD.as_bytes()).then_some(())?;
    let (id, _, params) = parse_request(line).ok().filter(|(_, method, _)| method == METHOD)?;
    Some(withdrawal_of(id, Fields::of(&params)))
}

pub fn decode_body(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}

pub fn result_line(id: u64, body: &[u8]) -> Vec<u8> {
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"data\":\"{}\"}}}}\n", STANDARD.encode(body))
        .into()
}

pub fn status_line(id: u64, serving: bool) -> Vec<u8> {
    format!("{}\n", json!({"jsonrpc": "2.0", "id": id, "result": {"serving": serving}})).into()
}

/// How long an open request will wait yet, and how many of its team stand before it.
pub fn waiting_line(id: u64, wait: &WaitEstimate) -> Vec<u8> {
    let [least, likely, most] = [wait.low, wait.median, wait.high].map(whole_ms);
    let params =
        json!({"id": id, "place": wait.position, "leastMs": least, "likelyMs": likely, "mostMs": most});
    format!("{}\n", json!({"jsonrpc": "2.0", "method": "waiting", "params": params})).into()
}

pub fn error_line(id: Option<u64>, code: i64, message: &str, holdoff_ms: Option<u64>) -> Vec<u8> {
    let mut error = json!({"code": code, "message": message});
    if let Some(ms) = holdoff_ms {
        error["data"] = json!({"holdoff": ms});
    }
    format!("{}\n", json!({"jsonrpc": "2.0", "id": id, "error": error})).into()
}
