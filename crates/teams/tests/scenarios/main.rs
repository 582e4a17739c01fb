//! Short scenarios of the queues, compared as logs of their results.

mod budgets;
mod harness;
mod priorities;
mod quotas;
mod rejections;
mod shares;
