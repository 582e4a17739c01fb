//! Fair queueing of requests among teams that share engines.
//!
//! Organizations share the engines by weights, and teams share what their organization has. Each team may have a
//! budget and a bound on its waiting requests. A request gains priority by urgency and by age, so that none waits
//! for ever, and the wait of each one can be estimated.
//!
//! The crate holds no socket, clock or name: teams and requests are numbers, and every call is passed the time since
//! the start. The router's admission queue is built on it.

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
