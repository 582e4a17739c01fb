//! Whose turn it is among teams that share engines: each has a share, a budget and a bound on what waits. What
//! waits long gains ground, what is urgent passes what is less so, and every wait can be told honestly. It holds
//! no socket, clock or name: teams and requests are numbers, times are since the start.

pub mod budget;
pub mod charter;
pub mod order;
pub mod queues;
pub mod waits;

pub use charter::{Allowance, Charter, Firm, Team};
pub use queues::{Asking, Outcome, Queues, Reason, Refusal, Ticket};
pub use waits::Wait;
