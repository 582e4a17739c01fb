//! Short scenarios of the queues. Each scenario's log is compared with the expected one.

mod budgets;
mod harness;
mod priorities;
mod quotas;
mod rejections;
mod shares;
