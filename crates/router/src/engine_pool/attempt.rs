//! One attempt of a request at an engine.

use super::commands::{EngineCommand, RunCommand};
use super::result_pages::ResultPages;
use crate::slots::Slot;
use emberflow::{EngineId, RequestId, SendLimits};
use std::time::Duration;

/// An attempt to be sent. The request's name, class, idempotency key and statement are forwarded unchanged.
pub struct Call<'a> {
    /// The scheduler's id of the request.
    pub request: RequestId,
    /// The attempt's number within its request, from 0.
    pub number: usize,
    /// The request's name (`req` in the client's message), by which the engine identifies the request.
    pub request_name: &'a str,
    /// The request class, by its name in the settings.
    pub class: &'a str,
    /// The key by which the engine recognizes a repeated request; `None` if the client gave none.
    pub idempotency_key: Option<&'a str>,
    /// The bytes of the statement, decoded from base64.
    pub statement: &'a [u8],
    /// Memory granted to the attempt, in MB. A grant below 1 MB is not sent.
    pub grant_mb: f64,
    /// The attempt's priority at the engine; a higher number is served first.
    pub priority: u8,
    /// The times within which the call must be written and the attempt must end, on the router's clock.
    pub limits: SendLimits,
}

/// A call that has not been written. The call carries the time left until the deadline, so it is encoded immediately
/// before it is written.
#[derive(Clone)]
pub(super) struct UnwrittenCall {
    class: String,
    idempotency_key: Option<String>,
    statement: Vec<u8>,
    grant_mb: f64,
    priority: u8,
    /// Encoded messages to be sent directly after the call.
    pub followed_by: Vec<u8>,
    /// Length of the encoded call and the messages after it; 0 until they are part of the connection's output.
    pub encoded_bytes: usize,
}

impl UnwrittenCall {
    fn new(call: &Call<'_>) -> Self {
        Self {
            class: call.class.to_owned(),
            idempotency_key: call.idempotency_key.map(str::to_owned),
            statement: call.statement.to_vec(),
            grant_mb: call.grant_mb,
            priority: call.priority,
            followed_by: Vec::new(),
            encoded_bytes: 0,
        }
    }

    /// Encodes the call and the messages that follow it. `time_left` is the time until the attempt's deadline.
    pub fn encode(&self, request_name: &str, time_left: Duration) -> Vec<u8> {
        let run = EngineCommand::Run(RunCommand {
            id: request_name,
            class: &self.class,
            time_left,
            idempotency_key: self.idempotency_key.as_deref(),
            grant_mb: self.grant_mb,
            priority: self.priority,
            statement: &self.statement,
        });
        let mut bytes = run.encode();
        bytes.extend(&self.followed_by);
        bytes
    }
}

/// An attempt in flight.
#[derive(Clone)]
pub(super) struct Attempt {
    pub request: RequestId,
    /// The attempt's number within its request, from 0.
    pub number: usize,
    pub engine: EngineId,
    /// The connection that carries the attempt; `None` until one is assigned, and after it was closed.
    pub connection: Option<Slot>,
    /// The request's name, which engines use as the attempt's id.
    pub request_name: String,
    /// The attempt's call; `None` once the call has been written.
    pub call: Option<UnwrittenCall>,
    pub sent_at: Duration,
    /// Time at which the attempt times out.
    pub deadline: Duration,
    /// Time from which the call must not be written, by [`SendLimits::key_window_end`].
    pub key_window_end: Option<Duration>,
    /// Offset of the call in the stream of all output of its connection; `None` until the call is part of that output.
    pub call_offset: Option<u64>,
    /// Connections that may still deliver a reply to an earlier attempt of the same request.
    pub excluded_connections: Vec<Slot>,
    /// Whether the attempt was already moved from a connection that closed before the call was written. An attempt is
    /// moved at most once.
    pub reassigned: bool,
    /// Whether the attempt must not be moved to another connection, because its client may have disconnected.
    pub resend_disabled: bool,
    /// Time at which the attempt was cancelled, if the engine has to acknowledge the cancellation.
    pub cancelled_at: Option<Duration>,
    /// The result, of which further pages may still be missing; `None` until its first page has arrived.
    pub result: Option<ResultPages>,
}

impl Attempt {
    /// Creates an attempt that is sent at `now`, without a connection.
    pub fn new(call: &Call<'_>, engine_id: EngineId, excluded_connections: &[Slot], now: Duration) -> Self {
        Self {
            request: call.request,
            number: call.number,
            engine: engine_id,
            connection: None,
            request_name: call.request_name.to_owned(),
            call: Some(UnwrittenCall::new(call)),
            sent_at: now,
            deadline: call.limits.timeout_at,
            key_window_end: call.limits.key_window_end,
            call_offset: None,
            excluded_connections: excluded_connections.to_vec(),
            reassigned: false,
            resend_disabled: false,
            cancelled_at: None,
            result: None,
        }
    }

    /// Whether the attempt was cancelled and its engine has not acknowledged the cancellation.
    pub fn is_cancellation_pending(&self) -> bool {
        self.cancelled_at.is_some()
    }

    /// Returns the times within which the call must be written.
    pub fn send_limits(&self) -> SendLimits {
        SendLimits { timeout_at: self.deadline, key_window_end: self.key_window_end }
    }

    /// Whether the call is not part of any connection's output, so that no byte of it can have been written.
    pub fn is_unsent(&self) -> bool {
        self.call_offset.is_none()
    }

    /// Whether any byte of the call is among the first `written` bytes in the stream of its connection's output.
    pub fn write_has_begun(&self, written: u64) -> bool {
        self.call_offset.is_some_and(|offset| written > offset)
    }
}
