//! A library that is preloaded (`LD_PRELOAD`) into a router under test. It takes the place of some functions of the C
//! library and injects, as environment variables order:
//!
//! | variable | effect |
//! | --- | --- |
//! | `FAULT_SHIM_SLOWDOWN` | each span of processor time takes so many times as long: a part of a core |
//! | `FAULT_SHIM_CLOCK_STEP_MS`, `FAULT_SHIM_CLOCK_STEP_AT_MS` | the wall clock steps by so much, so long after the first look at it |
//! | `FAULT_SHIM_FAIL_EVERY` | each call of that ordinal of `accept4`, `socket`, `connect`, `recv` and `send` fails as Linux documents |
//!
//! The delay of a slow processor is taken whenever the program asks for the monotonic time, as it does between events.

mod clock;
mod failures;
mod settings;
mod sockets;
