//! The decisions of emberflow, a router for query engines with limited memory, as a library without I/O,
//! clock or wire format.
//!
//! The caller builds one [`Scheduler`] from the [`Fleet`], the [`RequestClass`]es and the [`AttemptLimits`]. The
//! caller reports each event by a method call that takes the time of the event and an [`Actions`] sink. The scheduler
//! passes its decisions to that sink before the call returns. It keeps track of requests and engines itself.
//!
//! Times are durations since the start of the caller. Requests, engines and ordering keys are identified by numbers
//! that the caller assigns: [`RequestId`], [`EngineId`] and [`KeyId`].
//!
//! `settings` and `input` define the data that callers pass in, `handlers` the inputs and queries, `state` the
//! records, `policy` the decisions, and `scheduler` the order in which the decisions are taken.

// Engineers learn the crate from its documentation, so every public item must be documented.
#![warn(missing_docs)]

mod actions;
mod fingerprint;
mod handlers;
mod ids;
mod input;
mod policy;
mod samples;
mod scheduler;
mod settings;
mod state;

pub use actions::{Actions, SendLimits};
pub use fingerprint::{FingerprintContext, HeldCounts};
pub use handlers::Capacity;
pub use ids::{EngineId, KeyId, RequestId};
pub use input::{
    Arrival, AttemptEnded, AttemptOutcome, Endpoint, EndpointUpdate, Lifecycle, LoadReport, ProgressUpdate,
    SendCondition, Usage,
};
pub use scheduler::Scheduler;
pub use settings::{AttemptLimits, EngineKind, Fleet, Idempotency, KeyScope, RequestClass, RetryBudget};
