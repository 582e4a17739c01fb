//! Fair queueing of requests among teams that share engines.
//!
//! Organizations share the engines by weight, and teams share their organization's part by weight. Each team has a
//! limit of waiting requests and may have a budget. A request gains priority by urgency and by age, so that no request
//! starves. The wait of each request can be estimated.
//!
//! The crate uses no socket and no clock: the caller identifies teams and requests by numbers, and passes the time
//! since its start. The router's admission queue is built on it.

// Engineers learn the crate from its documentation, so every public item must be documented.
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
