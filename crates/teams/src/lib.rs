//! Fair queueing of requests among teams that share engines.
//!
//! Organizations share the engines by weight, and teams share their organization's part by weight. Each team may have
//! a budget and has a bound on its waiting requests. A request gains priority by urgency and by age, so that no request
//! starves. The wait of each request can be estimated.
//!
//! The crate uses no socket and no clock: teams and requests are numbers, and the caller passes the time since the
//! start. The router's admission queue is built on it.

// Engineers learn the crate from its documentation, so every public item must be explained.
#![warn(missing_docs)]

pub mod budget;
pub mod fair_order;
pub mod queues;
pub mod quotas;
pub mod request;
pub mod service_rate;

mod identity_charges;
mod key_order;
mod team_queue;

pub use queues::Queues;
pub use quotas::{Allowance, Organization, QuotaError, Quotas, Team};
pub use request::{NewRequest, Outcome, RejectReason, Rejection, RequestId};
pub use service_rate::WaitEstimate;
