//! The scripted engine of the connection model: the commands that it reads and the bytes that it sends.

use super::scenario::EngineMessage;
use super::state::{AttemptRecord, EngineSide, page, statement};
use crate::wire::{pong, take_commands};
use emberflow_peer_protocol::engine::{EngineCommand, EngineReply, Progress};
use emberflow_peer_protocol::request_id;
use emberflow_peer_protocol::resp::encode_array;

/// The number of a request id that no request has.
const UNKNOWN_REQUEST: u64 = u64::MAX;
/// The result that is sent for [`UNKNOWN_REQUEST`].
const UNKNOWN_RESULT: &[u8] = b"x\ty\tz\n";
/// The beginning of a reply in which a length is not a number.
const MALFORMED_REPLY: &[u8] = b"*4\r\n$x";
/// Offset of the number of parts in an encoded reply.
const PART_COUNT_OFFSET: usize = 1;
/// The type and the fields of a first page with noise in place of the number of pages.
const NOISY_FIRST_PAGE: [&[u8]; 2] = [b"HIT", b"p#g~s=2"];
/// Approximate size of a page that is larger than the 6,000 bytes that the protocol allows.
const LARGE_PAGE_BYTES: usize = 18_000;
/// The progress that the engine reports, as a fraction of the work.
const REPORTED_PROGRESS: f64 = 0.5;

/// Whether the message counts towards
/// [`ConnectionScenario::max_faults`](super::scenario::ConnectionScenario::max_faults).
pub fn is_fault(message: EngineMessage) -> bool {
    matches!(
        message,
        EngineMessage::FirstHalf
            | EngineMessage::RepeatedResult
            | EngineMessage::UnknownId
            | EngineMessage::Malformed
    ) || is_spoilt(message)
}

/// Whether the message is a result that the engine has spoilt. The pool must reject it.
pub fn is_spoilt(message: EngineMessage) -> bool {
    matches!(message, EngineMessage::ShortArray | EngineMessage::NoisyFields | EngineMessage::LargeFirstPage)
}

/// Returns a result whose array announces three parts in place of four.
fn with_short_array(mut result: Vec<u8>) -> Vec<u8> {
    result[PART_COUNT_OFFSET] = b'3';
    result
}

/// Lets the engine read the complete commands. Returns the attempts whose calls have arrived.
pub fn receive_commands(side: &mut EngineSide, attempts: &[AttemptRecord]) -> Vec<usize> {
    let mut arrived = Vec::new();
    for command in take_commands(&mut side.peer.inbox) {
        match command {
            EngineCommand::Call(call) => {
                let is_called =
                    |attempt: &AttemptRecord| call.statement == statement(attempt.request, attempt.number);
                let Some(attempt) = attempts.iter().position(is_called) else { continue };
                side.received_calls.push(attempt);
                arrived.push(attempt);
            }
            EngineCommand::Ping { .. } => side.peer.unanswered_pings += 1,
            EngineCommand::ReadPage { request_id: id, .. } => {
                let has_id = |attempt: &&usize| request_id(attempts[**attempt].request as u64) == id;
                let attempt = side.received_calls.iter().rfind(has_id).copied();
                side.requested_pages.extend(attempt);
            }
            _ => {}
        }
    }
    arrived
}

/// Returns the bytes of a reply to the attempt with this index and record.
pub fn answer_bytes(
    side: &mut EngineSide,
    attempt: usize,
    record: &AttemptRecord,
    message: EngineMessage,
) -> Vec<u8> {
    let id = request_id(record.request as u64);
    let page = |index| page(record.request, record.number, index);
    let result = |pages| EngineReply::Result { pages, used: None, rows: page(0).as_bytes() }.encode(&id);
    side.is_corrupted |= is_spoilt(message);
    match message {
        EngineMessage::ShortArray => with_short_array(result(1)),
        EngineMessage::NoisyFields => {
            let [kind, fields] = NOISY_FIRST_PAGE;
            encode_array(&[id.as_bytes(), kind, fields, page(0).as_bytes()])
        }
        EngineMessage::LargeFirstPage => {
            let rows = page(0).repeat(LARGE_PAGE_BYTES / page(0).len());
            EngineReply::Result { pages: 2, used: None, rows: rows.as_bytes() }.encode(&id)
        }
        EngineMessage::FirstOfTwoPages => result(2),
        EngineMessage::SecondPage => {
            side.requested_pages.retain(|requested| *requested != attempt);
            EngineReply::Page { page: 1, rows: page(1).as_bytes() }.encode(&id)
        }
        EngineMessage::Overloaded => EngineReply::Overloaded.encode(&id),
        EngineMessage::Failed => EngineReply::Failed.encode(&id),
        EngineMessage::ProgressUpdate => {
            EngineReply::Progress(Some(Progress::FractionDone(REPORTED_PROGRESS))).encode(&id)
        }
        EngineMessage::FirstHalf => {
            let mut first_half = result(1);
            side.unsent_half = first_half.split_off(first_half.len() / 2);
            first_half
        }
        _ => result(1),
    }
}

/// Returns the bytes of a message that answers no attempt, or of the second half of an answer.
pub fn other_message_bytes(side: &mut EngineSide, message: EngineMessage) -> Vec<u8> {
    match message {
        EngineMessage::SecondHalf => std::mem::take(&mut side.unsent_half),
        EngineMessage::Pong => {
            side.peer.unanswered_pings -= 1;
            pong()
        }
        EngineMessage::UnknownId => {
            let reply = EngineReply::Result { pages: 1, used: None, rows: UNKNOWN_RESULT };
            reply.encode(&request_id(UNKNOWN_REQUEST))
        }
        _ => {
            side.is_corrupted = true;
            MALFORMED_REPLY.to_vec()
        }
    }
}

/// Records an answer or a progress update that the engine has sent for an attempt.
pub fn record_answer(attempt: &mut AttemptRecord, message: EngineMessage) {
    match message {
        EngineMessage::Result | EngineMessage::FirstHalf | EngineMessage::ShortArray => {
            attempt.pages = Some(1);
        }
        EngineMessage::FirstOfTwoPages | EngineMessage::NoisyFields | EngineMessage::LargeFirstPage => {
            attempt.pages = Some(2);
        }
        EngineMessage::Overloaded | EngineMessage::Failed => attempt.pages = Some(0),
        EngineMessage::ProgressUpdate => attempt.has_progress_update = true,
        _ => {}
    }
}
