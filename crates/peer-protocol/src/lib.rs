//! The peers' side of the router's protocols: the messages that discovery, engines and clients send to a router, and
//! those that they read from it. Emulated peers and tests use the crate. It shares no code with the router: otherwise
//! a fault in a common codec would go unnoticed, since both sides would have it.
//!
//! The names on the wire occur in this crate only. The API uses the terms of the field instead:
//!
//! | on the wire | in the API |
//! | --- | --- |
//! | `queue`, `budget`, `uniq`, `mem`, `prio` of a call | [`CallFields`](engine::CallFields): class, time left, idempotency key, granted memory, priority |
//! | `GET`, `DROP`, `RANK`, `PAGE`, `CLOSE`, `PING` | [`EngineCommand`](engine::EngineCommand) |
//! | `HIT`, `PART`, `SHED`, `FAULT`, `LATE`, `INFO`, `PONG` | [`EngineReply`](engine::EngineReply) |
//! | `req`, `timeout`, `opkey`, `resent`, `ms`, `memory` of a request | [`ClientRequest`](client::ClientRequest) |
//! | `withdraw`, `holdoff`, `waiting` | cancellation of a request, Retry-After of a rejection, [`WaitAnnouncement`](client::WaitAnnouncement) |
//! | `bulletin`, `roster`, `phase` | discovery, endpoint list, [`EngineState`](discovery::EngineState) |

// Engineers learn the crate from its documentation, so every public item needs a doc comment.
#![warn(missing_docs)]

pub mod client;
pub mod discovery;
pub mod engine;
mod number;
pub mod resp;

/// Returns a request id on the wire: `number` as 16 hexadecimal digits.
pub fn request_id(number: u64) -> String {
    format!("{number:016x}")
}
