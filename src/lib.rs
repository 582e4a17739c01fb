//! emberflow: the front for query engines with limited memory, as a library without I/O, clock or JSON.
//!
//! A caller builds one [`Scheduler`] from the [`Fleet`], the [`RequestClass`]es and the [`AttemptLimits`].
//! It reports everything that happens by a method call that takes the time and an [`Actions`] sink. The
//! scheduler answers through that sink before the call returns, and keeps the requests and engines itself.
//!
//! Times are spans since the caller's start. Requests, engines and keys are small indices that the caller
//! gives out.
//!
//! `handlers` has the inputs, `state` what is remembered, `policy` the decisions, and `scheduler` the order
//! in which they run.

mod actions;
mod fingerprint;
mod handlers;
mod ids;
mod input;
mod policy;
mod samples;
mod scheduler;
mod state;

pub use actions::Actions;
pub use fingerprint::{Fingerprint, HeldCounts};
pub use handlers::Capacity;
pub use ids::{EngineId, KeyId, RequestId};
pub use input::{
    Arrival, AttemptEnded, AttemptLimits, AttemptOutcome, Effect, Endpoint, EndpointUpdate, EngineKind,
    Fleet, KeyScope, Lifecycle, LoadReport, ProgressUpdate, RequestClass, RetryBudget, Usage,
};
pub use scheduler::Scheduler;
