//! The peers' side of the router's protocol: the messages that discovery, engines and clients send to a router, and those
//! that they read from it. Emulated peers and tests use it; it shares no code with the router, so that a fault of the router's codecs
//! cannot hide behind the same fault here.
//!
//! The words of the protocol are used in this crate only, and mapped to the terms of the field:
//!
//! | on the wire | here |
//! | --- | --- |
//! | `queue`, `budget`, `uniq`, `mem`, `prio` of a call | [`CallFields`](engine::CallFields): class, time left, idempotency key, granted memory, priority |
//! | `GET`, `DROP`, `RANK`, `PAGE`, `CLOSE`, `PING` | [`EngineCommand`](engine::EngineCommand) |
//! | `HIT`, `PART`, `SHED`, `FAULT`, `LATE`, `INFO`, `PONG` | [`EngineReply`](engine::EngineReply) |
//! | `req`, `timeout`, `opkey`, `resent`, `ms`, `memory` of a request | [`ClientRequest`](client::ClientRequest) |
//! | `withdraw`, `holdoff`, `waiting` | cancellation, Retry-After, [`WaitAnnouncement`](client::WaitAnnouncement) |
//! | bulletin, roster, `phase` | discovery, endpoint list, [`EngineState`](discovery::EngineState) |

// Engineers learn the crate from its documentation, so every public item must be explained.
#![warn(missing_docs)]

pub mod client;
pub mod discovery;
pub mod engine;
mod number;
pub mod resp;

/// Returns the text of a request id: 16 hexadecimal digits.
pub fn request_id(number: u64) -> String {
    format!("{number:016x}")
}
